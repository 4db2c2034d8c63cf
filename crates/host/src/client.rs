//! HTTP/1.1 client that reuses connections and has a timeout on every call.
//!
//! A request counts as not sent only if the HTTP library hands it back unwritten. A connection
//! leads to one process for its lifetime; a caller that must not reach another process under the
//! same address names the connection on which that process answered before.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use common::Name;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Largest response body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Most idle connections kept for each address.
const MAX_IDLE_PER_ADDRESS: usize = 16;

/// Longest time that connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest time that an idle connection is kept for reuse.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Error of a call that got no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The request was certainly not sent.
    #[snafu(display("cannot connect"))]
    NotSent,
    /// The request may have been sent and carried out.
    #[snafu(display("no complete response"))]
    OutcomeUnknown,
}

/// Identifies a connection of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionId(u64);

/// HTTP response whose body has been read completely.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Complete body, at most 8 MiB.
    pub body: Bytes,
    /// Connection on which it arrived.
    pub connection: ConnectionId,
}

type RequestSender = SendRequest<Full<Bytes>>;

/// Limit on the open connections of several clients; clones share it.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Each open connection holds a weak reference.
    open: Rc<()>,
    max_open: usize,
}

impl Budget {
    /// Creates a budget; above it, idle connections are closed, and calls still connect.
    pub fn new(max_open: usize) -> Self {
        Self { open: Rc::new(()), max_open }
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        Rc::weak_count(&self.open)
    }

    fn is_exceeded(&self) -> bool {
        self.open_connections() > self.max_open
    }
}

/// An open connection.
#[derive(Debug)]
struct Connection {
    id: ConnectionId,
    sender: RequestSender,
    /// Time since which it is idle.
    idle_since: Instant,
    /// Counts it as open.
    _open: Weak<()>,
}

/// Idle connections of all addresses.
#[derive(Debug)]
struct IdleConnections {
    by_address: HashMap<Name, Vec<Connection>>,
    /// Each connection that became idle, in that order; some are in use or closed by now.
    order: VecDeque<(Name, ConnectionId, Instant)>,
    count: usize,
    budget: Budget,
    last_id: u64,
}

impl IdleConnections {
    fn next_id(&mut self) -> ConnectionId {
        self.last_id += 1;
        ConnectionId(self.last_id)
    }

    /// Removes a connection of an address for use; closed ones are dropped.
    fn take(&mut self, address: &Name, wanted: Option<ConnectionId>) -> Option<Connection> {
        let connections = self.by_address.get_mut(address)?;
        let before = connections.len();
        let oldest = Instant::now().checked_sub(IDLE_TIMEOUT);
        connections.retain(|connection| {
            connection.sender.is_ready() && oldest.is_none_or(|at| connection.idle_since >= at)
        });
        let position = match wanted {
            Some(id) => connections.iter().position(|connection| connection.id == id),
            None => connections.len().checked_sub(1),
        };
        let taken = position.map(|position| connections.remove(position));
        self.count -= before - connections.len();
        taken
    }

    /// Keeps a connection for reuse.
    fn store(&mut self, address: &Name, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let connections = self.by_address.entry(address.clone()).or_default();
        if connections.len() >= MAX_IDLE_PER_ADDRESS {
            return;
        }
        self.order.push_back((address.clone(), connection.id, connection.idle_since));
        connections.push(connection);
        self.count += 1;
        self.close_oldest();
    }

    /// Closes connections that are idle for too long, and the oldest above the budget.
    fn close_oldest(&mut self) {
        let now = Instant::now();
        while let Some((_, _, idle_since)) = self.order.front()
            && (self.budget.is_exceeded() || *idle_since + IDLE_TIMEOUT < now)
        {
            let Some((address, id, idle_since)) = self.order.pop_front() else { return };
            let Some(connections) = self.by_address.get_mut(&address) else { continue };
            let before = connections.len();
            connections
                .retain(|connection| connection.id != id || connection.idle_since != idle_since);
            self.count -= before - connections.len();
            if connections.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }

    /// Closes all connections of an address.
    fn close_address(&mut self, address: &Name) {
        let closed = self.by_address.remove(address);
        self.count -= closed.map_or(0, |closed| closed.len());
    }
}

/// HTTP client whose clones share their idle connections.
#[derive(Debug, Clone)]
pub struct Client {
    idle: Rc<RefCell<IdleConnections>>,
}

impl Client {
    /// Creates a client that closes idle connections above a budget.
    pub fn new(budget: &Budget) -> Self {
        let idle = IdleConnections {
            by_address: HashMap::new(),
            order: VecDeque::new(),
            count: 0,
            budget: budget.clone(),
            last_id: 0,
        };
        Self { idle: Rc::new(RefCell::new(idle)) }
    }

    /// Number of idle connections.
    pub fn idle_connections(&self) -> usize {
        self.idle.borrow().count
    }

    /// Sends a request and reads the whole response before a timeout.
    ///
    /// # Errors
    ///
    /// [`Error`] if no complete response arrives in time.
    pub async fn call(
        &self,
        address: &Name,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let deadline = Instant::now() + timeout;
        let result = self.attempt(address, request, deadline).await;
        if result.is_err() {
            self.close_idle(address);
        }
        result
    }

    /// Sends a request on an idle connection to the process that answered on it before.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if that connection is closed or in use, else as [`Client::call`].
    pub async fn call_on(
        &self,
        connection: ConnectionId,
        address: &Name,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let deadline = Instant::now() + timeout;
        let taken = self.idle.borrow_mut().take(address, Some(connection));
        let Some(connection) = taken else { return Err(Error::NotSent) };
        let result = self.send(address, connection, request, deadline).await;
        if matches!(result, Err(SendError::OutcomeUnknown)) {
            self.close_idle(address);
        }
        result.map_err(Error::from)
    }

    /// Closes the idle connections of an address; if one fails, the others have often failed too.
    fn close_idle(&self, address: &Name) {
        self.idle.borrow_mut().close_address(address);
    }

    async fn attempt(
        &self,
        address: &Name,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response, Error> {
        loop {
            let idle = self.idle.borrow_mut().take(address, None);
            let Some(connection) = idle else { break };
            match self.send(address, connection, request, deadline).await {
                Err(SendError::Unsent(unsent)) => request = *unsent,
                result => return result.map_err(Error::from),
            }
        }
        let (id, open) = {
            let mut idle = self.idle.borrow_mut();
            let open = Rc::downgrade(&idle.budget.open);
            idle.close_oldest();
            (idle.next_id(), open)
        };
        let connection = connect(id, open, address, deadline).await?;
        Ok(self.send(address, connection, request, deadline).await?)
    }

    /// Sends a request on a connection and reads the response.
    async fn send(
        &self,
        address: &Name,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response, SendError> {
        let sent = timeout_at(deadline, connection.sender.try_send_request(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => {
                let unsent = error.take_message().map(Box::new);
                return Err(unsent.map_or(SendError::OutcomeUnknown, SendError::Unsent));
            }
            Err(_elapsed) => return Err(SendError::OutcomeUnknown),
        };
        let status = response.status();
        let body =
            timeout_at(deadline, Limited::new(response.into_body(), MAX_BODY_BYTES).collect());
        match body.await {
            Ok(Ok(body)) => {
                let id = connection.id;
                connection.idle_since = Instant::now();
                self.idle.borrow_mut().store(address, connection);
                Ok(Response { status, body: body.to_bytes(), connection: id })
            }
            Ok(Err(_)) | Err(_) => Err(SendError::OutcomeUnknown),
        }
    }
}

/// Error of one send.
#[derive(Debug)]
enum SendError {
    /// Nothing of the request was written; it can be sent again.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The request may have been sent and carried out.
    OutcomeUnknown,
}

impl From<SendError> for Error {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Unsent(_) => Self::NotSent,
            SendError::OutcomeUnknown => Self::OutcomeUnknown,
        }
    }
}

async fn connect(
    id: ConnectionId,
    open: Weak<()>,
    address: &Name,
    deadline: Instant,
) -> Result<Connection, Error> {
    let now = Instant::now();
    let connected =
        timeout_at(deadline.min(now + CONNECT_TIMEOUT), TcpStream::connect(&**address)).await;
    let stream = connected.ok().and_then(Result::ok).ok_or(Error::NotSent)?;
    stream.set_nodelay(true).map_err(|_error| Error::NotSent)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_error| Error::NotSent)?;
    tokio::task::spawn_local(async move {
        // The sender reports a failure of the connection to the caller.
        drop(connection.await);
    });
    Ok(Connection { id, sender, idle_since: now, _open: open })
}
