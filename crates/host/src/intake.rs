//! Bound on the connections of a listener.
//!
//! The limits on a single request leave open how many come at a time. At the bound on
//! connections the oldest one without a complete request gives way, then the longest idle one. So
//! callers who end their requests are served beside a crowd that does not. Requests that are being
//! handled never give way: what they do may have an effect.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use control::Event;
use slog::Logger;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Shortest interval between two log lines of a listener.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

common::key! {
    /// Bounds on the connections of a listener.
    pub struct Bounds {
        /// Most open connections.
        pub max_connections: usize,
    }

    /// What a connection is doing.
    enum Phase {
        /// It waits for the head of a request.
        Waiting,
        /// It receives a request's body.
        Receiving,
        /// Its request is complete and has no response yet.
        Handling,
    }
}

#[derive(Debug)]
struct Connection {
    phase: Phase,
    /// Rises with each start of a phase in which it may give way.
    since: u64,
    /// Whether it has had a complete request.
    is_proven: bool,
    /// Notified when it is to be closed.
    closing: Rc<Notify>,
}

/// The open connections of a listener.
#[derive(Debug)]
pub struct Intake {
    bounds: Bounds,
    connections: RefCell<BTreeMap<u64, Connection>>,
    /// Number of the latest connection or phase.
    last_number: Cell<u64>,
    /// When the listener was last logged to be at a bound.
    logged_at: Cell<Option<Instant>>,
    log: Logger,
}

/// A connection's place in an [`Intake`], which it leaves when this is dropped.
#[derive(Debug)]
pub struct Place {
    intake: Rc<Intake>,
    id: u64,
    closing: Rc<Notify>,
}

impl Intake {
    /// Creates the intake of a listener without connections.
    pub fn new(bounds: Bounds, log: Logger) -> Self {
        Self {
            bounds,
            connections: RefCell::default(),
            last_number: Cell::new(0),
            logged_at: Cell::new(None),
            log,
        }
    }

    /// Adds a connection; closes another one at the bound, or returns `None` if none may give way.
    pub fn admit(self: &Rc<Self>) -> Option<Place> {
        if self.is_full() {
            self.report("connections");
            self.close_one()?;
        }
        let id = self.next_number();
        let closing = Rc::new(Notify::new());
        let connection = Connection {
            phase: Phase::Waiting,
            since: id,
            is_proven: false,
            closing: Rc::clone(&closing),
        };
        self.connections.borrow_mut().insert(id, connection);
        Some(Place { intake: Rc::clone(self), id, closing })
    }

    /// Whether another connection needs the place of an open one.
    pub fn is_full(&self) -> bool {
        self.connections.borrow().len() >= self.bounds.max_connections
    }

    fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    /// Closes the connection that gives way first; `None` if all are being handled.
    fn close_one(&self) -> Option<()> {
        let victim = {
            let connections = self.connections.borrow();
            let candidates = connections.iter().filter(|(_, other)| other.phase != Phase::Handling);
            let is_idle = |other: &Connection| other.phase == Phase::Waiting && other.is_proven;
            let first = candidates.min_by_key(|(_, other)| (is_idle(other), other.since));
            *first?.0
        };
        self.remove(victim)?.closing.notify_one();
        Some(())
    }

    /// Removes a connection, if it still has its place.
    fn remove(&self, id: u64) -> Option<Connection> {
        self.connections.borrow_mut().remove(&id)
    }

    /// Logs that the listener is at a bound, at most once in a while.
    fn report(&self, what: &str) {
        let now = Instant::now();
        if self.logged_at.get().is_some_and(|at| now < at + LOG_INTERVAL) {
            return;
        }
        self.logged_at.set(Some(now));
        slog::info!(self.log, "{}", Event::IntakeFull.text();
            "event" => Event::IntakeFull.number(), "bound" => what,
            "connections" => self.connections.borrow().len());
    }
}

impl Place {
    /// Waits until the connection has to be closed.
    pub async fn closed(&self) {
        self.closing.notified().await;
    }

    /// Begins a phase.
    fn begin(&self, phase: Phase) {
        let since = self.intake.next_number();
        let mut connections = self.intake.connections.borrow_mut();
        let Some(connection) = connections.get_mut(&self.id) else { return };
        connection.phase = phase;
        connection.since = since;
        connection.is_proven |= phase == Phase::Handling;
    }

    /// Records that a request's head has arrived.
    pub fn begin_body(&self) {
        self.begin(Phase::Receiving);
    }

    /// Records that a request is complete.
    pub fn begin_handling(&self) {
        self.begin(Phase::Handling);
    }

    /// Records that a request has its response.
    pub fn end_request(&self) {
        self.begin(Phase::Waiting);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        // It is gone already if the connection was closed to make room.
        drop(self.intake.remove(self.id));
    }
}
