//! Bounds on what all connections of a listener take up together.
//!
//! The limits on a single request leave open how many come at a time. At the bound on
//! connections the oldest one without a complete request gives way, then the longest idle one; at
//! the bound on bodies the largest unfinished one. So callers who end their requests are served beside
//! a crowd that does not. Requests that are being handled never give way: what they do may
//! have an effect.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use control::Event;
use slog::Logger;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Size up to which a body is read even if all bodies exceed their bound.
const SMALL_BODY_BYTES: usize = 8 * 1024;

/// Shortest interval between two log lines of a listener.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

common::key! {
    /// Bounds on the connections of a listener.
    pub struct Bounds {
        /// Most open connections.
        pub max_connections: usize,
        /// Most bytes of their requests' bodies.
        pub max_body_bytes: usize,
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
    /// Memory that its request's body takes up, in bytes.
    body_bytes: usize,
    /// Whether its body has to be refused.
    is_refused: bool,
    /// Notified when it is to be closed.
    closing: Rc<Notify>,
    /// Notified when its body is to be refused.
    refusing: Rc<Notify>,
}

/// The open connections of a listener.
#[derive(Debug)]
pub struct Intake {
    bounds: Bounds,
    connections: RefCell<BTreeMap<u64, Connection>>,
    /// Sum over the connections, in bytes.
    body_bytes: Cell<usize>,
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
    refusing: Rc<Notify>,
}

impl Intake {
    /// Creates the intake of a listener without connections.
    pub fn new(bounds: Bounds, log: Logger) -> Self {
        Self {
            bounds,
            connections: RefCell::default(),
            body_bytes: Cell::new(0),
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
        let (closing, refusing) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let connection = Connection {
            phase: Phase::Waiting,
            since: id,
            is_proven: false,
            body_bytes: 0,
            is_refused: false,
            closing: Rc::clone(&closing),
            refusing: Rc::clone(&refusing),
        };
        self.connections.borrow_mut().insert(id, connection);
        Some(Place { intake: Rc::clone(self), id, closing, refusing })
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
        let connection = self.connections.borrow_mut().remove(&id)?;
        self.body_bytes.set(self.body_bytes.get() - connection.body_bytes);
        Some(connection)
    }

    /// Refuses the largest unfinished body; false if that is the body of `own`.
    fn refuse_one(&self, own: u64) -> bool {
        let mut connections = self.connections.borrow_mut();
        let unfinished = connections
            .iter_mut()
            .filter(|(_, other)| other.phase == Phase::Receiving && !other.is_refused);
        let Some((id, largest)) = unfinished.max_by_key(|(_, other)| other.body_bytes) else {
            return false;
        };
        if *id == own {
            return false;
        }
        self.body_bytes.set(self.body_bytes.get() - largest.body_bytes);
        largest.body_bytes = 0;
        largest.is_refused = true;
        largest.refusing.notify_one();
        true
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
            "connections" => self.connections.borrow().len(),
            "body_bytes" => self.body_bytes.get());
    }
}

impl Place {
    /// Waits until the connection has to be closed.
    pub async fn closed(&self) {
        self.closing.notified().await;
    }

    /// Waits until the body that it receives has to be refused.
    pub async fn refused(&self) {
        self.refusing.notified().await;
    }

    /// Begins a phase.
    fn begin(&self, phase: Phase) {
        let since = self.intake.next_number();
        let mut connections = self.intake.connections.borrow_mut();
        let Some(connection) = connections.get_mut(&self.id) else { return };
        connection.phase = phase;
        connection.since = since;
        connection.is_proven |= phase == Phase::Handling;
        connection.is_refused &= phase != Phase::Receiving;
    }

    /// Records that a request's head has arrived.
    pub fn begin_body(&self) {
        self.begin(Phase::Receiving);
    }

    /// Records that a request is complete.
    pub fn begin_handling(&self) {
        self.begin(Phase::Handling);
    }

    /// Records that a request has its response, and that its body takes up no more memory.
    pub fn end_request(&self) {
        self.begin(Phase::Waiting);
        // A connection that was refused or closed holds none.
        self.set_body_bytes(0);
    }

    /// Takes up memory for a body, as a total in bytes; false if the body has to be refused.
    pub fn hold_body(&self, bytes: usize) -> bool {
        if !self.set_body_bytes(bytes) {
            return false;
        }
        while self.intake.body_bytes.get() > self.intake.bounds.max_body_bytes {
            self.intake.report("bodies");
            if !self.intake.refuse_one(self.id) {
                return bytes <= SMALL_BODY_BYTES;
            }
        }
        true
    }

    /// Sets the memory of the body, in bytes; false if the body has been refused.
    fn set_body_bytes(&self, bytes: usize) -> bool {
        let mut connections = self.intake.connections.borrow_mut();
        let Some(connection) = connections.get_mut(&self.id) else { return false };
        if connection.is_refused {
            return false;
        }
        let others = self.intake.body_bytes.get() - connection.body_bytes;
        connection.body_bytes = bytes;
        self.intake.body_bytes.set(others + bytes);
        true
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        // It is gone already if the connection was closed to make room.
        drop(self.intake.remove(self.id));
    }
}
