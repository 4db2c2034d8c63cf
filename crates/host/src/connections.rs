//! Connections of a client: their reuse, the bound for each address, and the calls that wait.
//!
//! A connection counts against the bound of its address from the attempt to open it until its
//! socket is closed. Calls that find the bound reached wait, the most urgent first, and calls of
//! the same urgency in the order in which they were made.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use common::Name;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout_at};

/// Most idle connections kept for each address.
const MAX_IDLE_PER_ADDRESS: usize = 16;

/// Longest time that an idle connection is kept for reuse.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between checks for connections that are idle for too long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which no connection is opened beside others after the peer refused one.
const REFUSAL_PAUSE: Duration = Duration::from_millis(500);

/// Identifies a connection among those of all clients that share a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionId(u64);

/// Order in which waiting calls get connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Before all others.
    High,
    /// After the urgent ones.
    Normal,
}

/// Connections that a call may use.
#[derive(Debug, Clone, Copy)]
pub struct Access {
    /// Most connections of the client to the address, open and opening; at least 1.
    pub max_open: usize,
    /// Urgency among the calls that wait.
    pub urgency: Urgency,
}

impl Access {
    /// Access without a bound; such calls never wait.
    pub const UNBOUNDED: Self = Self { max_open: usize::MAX, urgency: Urgency::Normal };
}

/// Limit on the open connections of several clients; clones share it.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Each open connection holds a weak reference.
    open: Rc<()>,
    max_open: usize,
    /// Number of the latest connection.
    last_id: Rc<Cell<u64>>,
}

impl Budget {
    /// Creates a budget; above it, idle connections are closed, and calls still connect.
    pub fn new(max_open: usize) -> Self {
        Self { open: Rc::new(()), max_open, last_id: Rc::default() }
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        Rc::weak_count(&self.open)
    }

    /// The number of a new connection, and its mark as open.
    pub(crate) fn register(&self) -> (ConnectionId, Weak<()>) {
        self.last_id.set(self.last_id.get() + 1);
        (ConnectionId(self.last_id.get()), Rc::downgrade(&self.open))
    }

    fn is_exceeded(&self) -> bool {
        self.open_connections() > self.max_open
    }
}

/// An open connection; its socket is closed when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Identifies it.
    pub id: ConnectionId,
    /// Sends requests on it.
    pub sender: SendRequest<Full<Bytes>>,
    /// Time since which it is idle.
    pub idle_since: Instant,
    /// Counts it as open in the budget.
    pub _open: Weak<()>,
    /// Ends the task that owns the socket.
    pub _closer: oneshot::Sender<()>,
}

/// Right to have one connection to an address; dropped after the socket is closed.
#[derive(Debug)]
pub(crate) struct Permit {
    address: Name,
    connections: Weak<RefCell<State>>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(state) = self.connections.upgrade() {
            let connections = Connections { state };
            connections.state.borrow_mut().release(&self.address);
            connections.hand_on(&self.address);
        }
    }
}

/// What a call gets from the connections of its address.
#[derive(Debug)]
pub(crate) enum Grant {
    /// An idle connection.
    Reuse(Connection),
    /// The right to open one.
    Open(Permit),
}

/// Place of a call among those that wait.
pub(crate) type Ticket = (Urgency, u64);

/// Connections of one address.
#[derive(Debug, Default)]
struct Address {
    idle: Vec<Connection>,
    /// Connections that are open, opening or closing.
    open: usize,
    /// Bound that the latest call gave.
    max_open: usize,
    /// When the peer last refused a connection.
    refused_at: Option<Instant>,
    waiters: BTreeMap<Ticket, oneshot::Sender<Grant>>,
}

impl Address {
    /// Removes an idle connection for use; closed and old ones are dropped.
    fn take(&mut self, wanted: Option<ConnectionId>) -> Option<Connection> {
        let oldest = Instant::now().checked_sub(IDLE_TIMEOUT);
        self.idle.retain(|connection| {
            !connection.sender.is_closed() && oldest.is_none_or(|at| connection.idle_since >= at)
        });
        let position = match wanted {
            Some(id) => self.idle.iter().position(|connection| connection.id == id),
            None => self.idle.len().checked_sub(1),
        };
        position.map(|position| self.idle.remove(position))
    }

    /// Whether a connection may be opened.
    fn may_open(&self) -> bool {
        let is_refused = self.refused_at.is_some_and(|at| at.elapsed() < REFUSAL_PAUSE);
        self.open < self.max_open && !(is_refused && self.open > 0)
    }

    fn is_unused(&self) -> bool {
        self.open == 0 && self.idle.is_empty() && self.waiters.is_empty()
    }
}

/// Connections of all addresses.
#[derive(Debug)]
struct State {
    by_address: HashMap<Name, Address>,
    /// Each connection that became idle, in that order; some are in use or closed by now.
    order: VecDeque<(Name, ConnectionId, Instant)>,
    /// Whether a task closes connections that are idle for too long.
    has_sweeper: bool,
    budget: Budget,
    last_ticket: u64,
}

impl State {
    /// Counts a connection as closed.
    fn release(&mut self, address: &Name) {
        let Some(own) = self.by_address.get_mut(address) else { return };
        own.open = own.open.saturating_sub(1);
        own.waiters.retain(|_, waiter| !waiter.is_closed());
        if own.is_unused() {
            self.by_address.remove(address);
        }
    }

    /// Adds a call to those that wait for a connection of an address.
    fn enqueue(
        &mut self,
        address: &Name,
        ticket: Ticket,
        max_open: usize,
        waiter: oneshot::Sender<Grant>,
    ) {
        let own = self.by_address.entry(address.clone()).or_default();
        own.max_open = max_open;
        own.waiters.insert(ticket, waiter);
    }

    /// Keeps an idle connection, or closes it if its address has too many.
    fn keep(&mut self, address: &Name, connection: Connection) {
        let Some(own) = self.by_address.get_mut(address) else { return };
        if own.open > own.max_open || own.idle.len() >= MAX_IDLE_PER_ADDRESS {
            return;
        }
        self.order.push_back((address.clone(), connection.id, connection.idle_since));
        own.idle.push(connection);
        self.close_oldest();
    }

    /// Closes connections that are idle for too long, and the oldest above the budget.
    fn close_oldest(&mut self) {
        let now = Instant::now();
        while let Some((_, _, idle_since)) = self.order.front()
            && (self.budget.is_exceeded() || *idle_since + IDLE_TIMEOUT < now)
        {
            let Some((address, id, idle_since)) = self.order.pop_front() else { return };
            let Some(own) = self.by_address.get_mut(&address) else { continue };
            own.idle
                .retain(|connection| connection.id != id || connection.idle_since != idle_since);
            if own.is_unused() {
                self.by_address.remove(&address);
            }
        }
    }
}

/// Connections of a client; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct Connections {
    state: Rc<RefCell<State>>,
}

impl Connections {
    /// Creates an empty set that closes idle connections above a budget.
    pub fn new(budget: &Budget) -> Self {
        let state = State {
            by_address: HashMap::new(),
            order: VecDeque::new(),
            has_sweeper: false,
            budget: budget.clone(),
            last_ticket: 0,
        };
        Self { state: Rc::new(RefCell::new(state)) }
    }

    /// Number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.state.borrow().by_address.values().map(|own| own.idle.len()).sum()
    }

    /// The place of a new call.
    pub fn next_ticket(&self, urgency: Urgency) -> Ticket {
        let mut state = self.state.borrow_mut();
        state.last_ticket += 1;
        (urgency, state.last_ticket)
    }

    /// Waits for a connection of an address, or for the right to open one.
    ///
    /// `None` if there is none by the deadline.
    pub async fn acquire(
        &self,
        address: &Name,
        ticket: Ticket,
        max_open: usize,
        deadline: Instant,
    ) -> Option<Grant> {
        let (sender, receiver) = oneshot::channel();
        self.state.borrow_mut().enqueue(address, ticket, max_open, sender);
        self.hand_on(address);
        let grant = timeout_at(deadline, receiver).await.ok()?.ok()?;
        if Instant::now() < deadline {
            return Some(grant);
        }
        if let Grant::Reuse(connection) = grant {
            self.store(address, connection);
        }
        None
    }

    /// Takes a certain idle connection; `None` if it is closed or in use.
    pub fn take(&self, address: &Name, id: ConnectionId) -> Option<Connection> {
        self.state.borrow_mut().by_address.get_mut(address)?.take(Some(id))
    }

    /// Number and mark of a connection that is being opened.
    pub fn register(&self) -> (ConnectionId, Weak<()>) {
        let mut state = self.state.borrow_mut();
        let registered = state.budget.register();
        state.close_oldest();
        registered
    }

    /// Keeps a connection for reuse, or closes it if its address has too many.
    pub fn store(&self, address: &Name, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since = Instant::now();
        self.state.borrow_mut().keep(address, connection);
        self.start_sweeper();
        self.hand_on(address);
    }

    /// Closes the idle connections of an address.
    pub fn close_idle(&self, address: &Name) {
        if let Some(own) = self.state.borrow_mut().by_address.get_mut(address) {
            own.idle.clear();
        }
    }

    /// Notes that the peer refused a connection; true if others are open, whose use can be awaited.
    pub fn note_refusal(&self, address: &Name) -> bool {
        let mut state = self.state.borrow_mut();
        let Some(own) = state.by_address.get_mut(address) else { return false };
        own.refused_at = Some(Instant::now());
        own.open > 0
    }

    /// Passes free connections of an address to the calls that wait.
    fn hand_on(&self, address: &Name) {
        while let Some((waiter, grant)) = self.next_grant(address) {
            // A grant whose call has ended is dropped here, and handed on by that.
            drop(waiter.send(grant));
        }
    }

    /// The next waiting call and what it gets.
    fn next_grant(&self, address: &Name) -> Option<(oneshot::Sender<Grant>, Grant)> {
        let mut state = self.state.borrow_mut();
        let own = state.by_address.get_mut(address)?;
        let waiter = loop {
            let (ticket, waiter) = own.waiters.pop_first()?;
            if !waiter.is_closed() {
                break (ticket, waiter);
            }
        };
        if let Some(connection) = own.take(None) {
            return Some((waiter.1, Grant::Reuse(connection)));
        }
        if !own.may_open() {
            own.waiters.insert(waiter.0, waiter.1);
            return None;
        }
        own.open += 1;
        let connections = Rc::downgrade(&self.state);
        Some((waiter.1, Grant::Open(Permit { address: address.clone(), connections })))
    }

    /// Starts the task that closes connections that are idle for too long.
    fn start_sweeper(&self) {
        if std::mem::replace(&mut self.state.borrow_mut().has_sweeper, true) {
            return;
        }
        let state = Rc::downgrade(&self.state);
        tokio::task::spawn_local(async move {
            loop {
                sleep(SWEEP_INTERVAL).await;
                let Some(state) = state.upgrade() else { return };
                let mut state = state.borrow_mut();
                state.close_oldest();
                if state.order.is_empty() {
                    state.has_sweeper = false;
                    return;
                }
            }
        });
    }
}
