//! Mesh over TCP; of two daemons, the one whose name sorts first dials.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::Name;
use stakker::{ActorOwn, CX, Fwd, Stakker, actor, after, fwd, fwd_to, ret_nop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, Ready};
use wire::{Body, Frame, Greeting};

use super::link::{Link, ReadOutcome, check_greeting};
use super::{Input, Mesh, Peer};

/// Interval between checks for silent links and unconnected peers.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);

/// State shared by the mesh handle and its actor.
type SharedState = Rc<RefCell<State>>;

/// Mesh over TCP, for use outside tests.
pub struct Tcp {
    state: SharedState,
    _manager: ActorOwn<ConnectionManager>,
    address: SocketAddr,
}

impl std::fmt::Debug for Tcp {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Tcp").field("address", &self.address).finish_non_exhaustive()
    }
}

/// Identity of this daemon, sent in greetings.
#[derive(Debug, Clone)]
struct Identity {
    cell: Name,
    member: Name,
    incarnation: u64,
}

/// Links to the peers, by link id, and the ids of the links in use.
struct State {
    identity: Identity,
    /// All links, including those whose greeting has not arrived yet.
    links: HashMap<u64, Link>,
    /// Link id of each connected peer.
    by_peer: BTreeMap<Name, u64>,
    /// Daemons to keep connections with.
    peers: Vec<Peer>,
    /// Links with frames queued since the last flush.
    unflushed: Vec<u64>,
    /// Id of the newest link.
    last_id: u64,
    /// Total bytes queued for sending.
    sent: u64,
    /// Total bytes received.
    received: u64,
}

/// Actor that accepts, dials, reads and closes links.
struct ConnectionManager {
    state: SharedState,
    poll: MioPoll,
    listener: MioSource<TcpListener>,
    /// Receiver of frames and connection changes.
    inputs: Fwd<Input>,
}

impl Tcp {
    /// Binds the peer address; frames and connection changes go to `inputs`.
    ///
    /// # Errors
    ///
    /// The system's error if the address cannot be bound.
    pub fn start(
        stakker: &mut Stakker,
        poll: &MioPoll,
        settings: &settings::Daemon,
        incarnation: u64,
        inputs: Fwd<Input>,
    ) -> std::io::Result<Self> {
        let identity =
            Identity { cell: settings.cell.clone(), member: settings.member.clone(), incarnation };
        let listener = TcpListener::bind(settings.peer_address)?;
        let address = listener.local_addr()?;
        let state = Rc::new(RefCell::new(State::new(identity)));
        let manager = actor!(
            stakker,
            ConnectionManager::init(Rc::clone(&state), poll.clone(), listener, inputs),
            ret_nop!()
        );
        Ok(Self { state, _manager: manager, address })
    }

    /// Address that the mesh listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Function that flushes all queued frames, to call after each run of the event loop.
    pub fn flusher(&self) -> impl Fn() + use<> {
        let state = Rc::clone(&self.state);
        move || state.borrow_mut().flush()
    }
}

impl Mesh for Tcp {
    fn send(&mut self, to: &Name, frame: &Frame) -> bool {
        self.state.borrow_mut().send(to, frame)
    }

    fn set_peers(&mut self, peers: Vec<Peer>) {
        self.state.borrow_mut().peers = peers;
    }

    fn is_connected(&self, peer: &str) -> bool {
        self.state.borrow().by_peer.contains_key(peer)
    }

    fn byte_counts(&self) -> (u64, u64) {
        let state = self.state.borrow();
        (state.sent, state.received)
    }
}

impl State {
    fn new(identity: Identity) -> Self {
        Self {
            identity,
            links: HashMap::new(),
            by_peer: BTreeMap::new(),
            peers: Vec::new(),
            unflushed: Vec::new(),
            last_id: 0,
            sent: 0,
            received: 0,
        }
    }

    fn send(&mut self, to: &Name, frame: &Frame) -> bool {
        let Some(id) = self.by_peer.get(to).copied() else {
            return false;
        };
        self.send_on(id, frame)
    }

    fn send_on(&mut self, id: u64, frame: &Frame) -> bool {
        let Some(link) = self.links.get_mut(&id) else {
            return false;
        };
        let before = link.sent;
        let is_usable = link.send(frame);
        self.sent += link.sent - before;
        self.unflushed.push(id);
        is_usable
    }

    /// Writes the frames queued since the last flush.
    fn flush(&mut self) {
        let mut unflushed = std::mem::take(&mut self.unflushed);
        unflushed.sort_unstable();
        unflushed.dedup();
        for id in unflushed {
            if let Some(link) = self.links.get_mut(&id) {
                // After a failure, the next read reports the end of the stream.
                let _ = link.flush();
            }
        }
    }

    /// Flushes and reads one link; `None` if it no longer exists.
    fn flush_and_read(&mut self, id: u64, now: Instant) -> Option<ReadOutcome> {
        let link = self.links.get_mut(&id)?;
        let is_broken = !link.flush();
        let before = link.received;
        let mut outcome = link.read(now);
        self.received += link.received - before;
        outcome.is_closed |= is_broken;
        Some(outcome)
    }

    /// Sends this daemon's greeting on a new link.
    fn greet(&mut self, id: u64) {
        let greeting = Greeting {
            version: wire::PROTOCOL_VERSION,
            cell: self.identity.cell.to_string(),
            member: self.identity.member.to_string(),
            incarnation: self.identity.incarnation,
        };
        self.send_on(id, &Frame::new_notice(Body::Greeting(greeting)));
        self.flush();
    }

    /// Removes a link; returns its peer if no other link to it has replaced this one.
    fn drop_link(&mut self, id: u64) -> Option<Name> {
        let peer = self.links.remove(&id)?.peer?;
        if self.by_peer.get(&peer) == Some(&id) {
            self.by_peer.remove(&peer);
            return Some(peer);
        }
        None
    }

    fn silent_links(&self, now: Instant) -> Vec<u64> {
        let silent = self.links.iter().filter(|(_, link)| link.is_silent(now));
        silent.map(|(id, _)| *id).collect()
    }

    /// Unconnected peers that this daemon has to dial and is not dialling yet.
    fn peers_to_dial(&self) -> Vec<Peer> {
        let is_dialled =
            |peer: &Peer| self.links.values().any(|link| link.dialled.as_ref() == Some(&peer.name));
        let ours = self.peers.iter().filter(|peer| self.identity.member < peer.name);
        let missing = ours.filter(|peer| !self.by_peer.contains_key(&peer.name));
        missing.filter(|peer| !is_dialled(peer)).cloned().collect()
    }
}

impl ConnectionManager {
    fn init(
        cx: CX![],
        state: SharedState,
        poll: MioPoll,
        listener: TcpListener,
        inputs: Fwd<Input>,
    ) -> Option<Self> {
        let ready = fwd_to!([cx], accept() as (Ready));
        let listener = poll.add(listener, Interest::READABLE, 5, ready).ok()?;
        after!(MAINTENANCE_INTERVAL, [cx], maintain());
        Some(Self { state, poll, listener, inputs })
    }

    fn accept(&mut self, cx: CX![], _ready: Ready) {
        while let Ok((stream, _from)) = self.listener.accept() {
            self.add_link(cx, stream, None);
        }
    }

    /// Registers a new connection and sends the greeting on it.
    fn add_link(&mut self, cx: CX![], stream: TcpStream, dialled: Option<Name>) {
        let id = {
            let mut state = self.state.borrow_mut();
            state.last_id += 1;
            state.last_id
        };
        let ready = fwd_to!([cx], handle_ready(id) as (Ready));
        if let Ok(link) = Link::new(&self.poll, stream, dialled, cx.now(), ready) {
            let mut state = self.state.borrow_mut();
            state.links.insert(id, link);
            state.greet(id);
        }
    }

    /// Handles readiness of a link: flushes it and handles the frames read.
    fn handle_ready(&mut self, cx: CX![], id: u64, _ready: Ready) {
        let now = cx.now();
        let Some(outcome) = self.state.borrow_mut().flush_and_read(id, now) else {
            return;
        };
        let mut is_closed = outcome.is_closed;
        for frame in outcome.frames {
            is_closed |= !self.handle_frame(id, frame);
        }
        if is_closed {
            self.drop_link(id);
        }
    }

    /// Handles one frame; false if the link must be closed.
    fn handle_frame(&mut self, id: u64, frame: Frame) -> bool {
        let peer = {
            let state = self.state.borrow();
            state.links.get(&id).and_then(|link| link.peer.clone())
        };
        if let Some(peer) = peer {
            fwd!([self.inputs], Input::Frame(peer, frame));
            return true;
        }
        let cell = self.state.borrow().identity.cell.clone();
        match check_greeting(&frame, &cell) {
            Ok(peer) => {
                self.register_peer(id, peer);
                true
            }
            Err(reason) => {
                fwd!([self.inputs], Input::Rejected(reason));
                false
            }
        }
    }

    /// Assigns a link to the peer that greeted on it, replacing an older link.
    fn register_peer(&mut self, id: u64, peer: Name) {
        let previous = {
            let mut state = self.state.borrow_mut();
            if let Some(link) = state.links.get_mut(&id) {
                link.peer = Some(peer.clone());
            }
            let previous = state.by_peer.insert(peer.clone(), id);
            if let Some(previous) = previous {
                state.links.remove(&previous);
            }
            previous
        };
        if previous.is_some() {
            fwd!([self.inputs], Input::Disconnected(peer.clone()));
        }
        fwd!([self.inputs], Input::Connected(peer));
    }

    /// Closes a link and reports the loss of its peer.
    fn drop_link(&mut self, id: u64) {
        let peer = self.state.borrow_mut().drop_link(id);
        if let Some(peer) = peer {
            fwd!([self.inputs], Input::Disconnected(peer));
        }
    }

    /// Closes silent links and dials unconnected peers, periodically.
    fn maintain(&mut self, cx: CX![]) {
        let silent = self.state.borrow().silent_links(cx.now());
        for id in silent {
            let peer = self.state.borrow().links.get(&id).and_then(|link| link.peer.clone());
            if let Some(peer) = peer {
                fwd!([self.inputs], Input::TimedOut(peer));
            }
            self.drop_link(id);
        }
        let unconnected = self.state.borrow().peers_to_dial();
        for peer in unconnected {
            if let Ok(stream) = TcpStream::connect(peer.address) {
                self.add_link(cx, stream, Some(peer.name));
            }
        }
        after!(MAINTENANCE_INTERVAL, [cx], maintain());
    }
}
