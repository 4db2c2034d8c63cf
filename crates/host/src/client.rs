//! HTTP/1.1 client that reuses connections and has a timeout on every call.
//!
//! A request counts as not sent only if the HTTP library hands it back unwritten, or if it never
//! got a connection. A connection leads to one process for its lifetime; a caller that must not
//! reach another process under the same address names the connection on which that process
//! answered before.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use common::Name;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

pub use crate::connections::{Access, Budget, ConnectionId, Urgency};
use crate::connections::{Connection, Connections, Grant, Permit};

/// Largest response body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Longest time that connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Error of a call that got no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No connection was free in time; the request was certainly not sent.
    #[snafu(display("no connection was free in time"))]
    NotSent,
    /// The peer refused a connection or closed it at once; the request was certainly not sent.
    #[snafu(display("connection refused"))]
    Refused,
    /// The peer is silent, or cannot be addressed; the request was certainly not sent.
    #[snafu(display("cannot connect"))]
    Unreachable,
    /// The request may have been sent and carried out.
    #[snafu(display("no complete response"))]
    OutcomeUnknown,
}

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

/// HTTP client whose clones share their connections.
#[derive(Debug, Clone)]
pub struct Client {
    connections: Connections,
}

impl Client {
    /// Creates a client that closes idle connections above a budget.
    pub fn new(budget: &Budget) -> Self {
        Self { connections: Connections::new(budget) }
    }

    /// Number of idle connections.
    pub fn idle_connections(&self) -> usize {
        self.connections.idle_count()
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
        self.call_within(Access::UNBOUNDED, address, request, timeout).await
    }

    /// Like [`Client::call`], on a bounded number of connections; a wait for one counts within the
    /// timeout.
    ///
    /// # Errors
    ///
    /// [`Error`] if no complete response arrives in time.
    pub async fn call_within(
        &self,
        access: Access,
        address: &Name,
        mut request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let deadline = Instant::now() + timeout;
        let ticket = self.connections.next_ticket(access.urgency);
        let mut was_refused = false;
        loop {
            let grant = self.connections.acquire(address, ticket, access.max_open, deadline).await;
            let (connection, is_new) = match grant {
                Some(Grant::Reuse(connection)) => (connection, false),
                Some(Grant::Open(permit)) => match self.connect(permit, address, deadline).await {
                    Ok(connection) => (connection, true),
                    Err(Error::Refused)
                        if self.connections.note_refusal(address) && !was_refused =>
                    {
                        was_refused = true;
                        continue;
                    }
                    Err(error) => return Err(error),
                },
                None => return Err(Error::NotSent),
            };
            match self.send(address, connection, request, deadline).await {
                Ok(response) => return Ok(response),
                Err(SendError::OutcomeUnknown) => return Err(Error::OutcomeUnknown),
                Err(SendError::TooLate) => return Err(Error::NotSent),
                Err(SendError::Unsent(unsent)) => {
                    if is_new && (!self.connections.note_refusal(address) || was_refused) {
                        return Err(Error::Refused);
                    }
                    was_refused |= is_new;
                    request = *unsent;
                }
            }
        }
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
        let taken = self.connections.take(address, connection);
        let Some(connection) = taken else { return Err(Error::NotSent) };
        self.send(address, connection, request, deadline).await.map_err(|error| match error {
            SendError::Unsent(_) | SendError::TooLate => Error::NotSent,
            SendError::OutcomeUnknown => Error::OutcomeUnknown,
        })
    }

    /// Opens a connection.
    async fn connect(
        &self,
        permit: Permit,
        address: &Name,
        deadline: Instant,
    ) -> Result<Connection, Error> {
        let (id, open) = self.connections.register();
        let now = Instant::now();
        let connected =
            timeout_at(deadline.min(now + CONNECT_TIMEOUT), TcpStream::connect(&**address)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                use ErrorKind::{ConnectionAborted, ConnectionRefused, ConnectionReset};
                let is_refusal =
                    matches!(error.kind(), ConnectionRefused | ConnectionReset | ConnectionAborted);
                return Err(if is_refusal { Error::Refused } else { Error::Unreachable });
            }
            Err(_elapsed) => {
                self.connections.close_idle(address);
                return Err(Error::Unreachable);
            }
        };
        stream.set_nodelay(true).map_err(|_error| Error::Refused)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|_error| Error::Refused)?;
        let (closer, end) = oneshot::channel::<()>();
        tokio::task::spawn_local(async move {
            // The sender reports a failure of the connection to the caller.
            tokio::select! {
                ended = driver => drop(ended),
                dropped = end => drop(dropped),
            }
            drop(permit);
        });
        Ok(Connection { id, sender, idle_since: now, _open: open, _closer: closer })
    }

    /// Sends a request on a connection and reads the response.
    ///
    /// If the peer is silent, its idle connections are closed: others have often failed too.
    async fn send(
        &self,
        address: &Name,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response, SendError> {
        match timeout_at(deadline, connection.sender.ready()).await {
            Ok(Ok(())) => {}
            Ok(Err(_closed)) => return Err(SendError::Unsent(Box::new(request))),
            Err(_elapsed) => return Err(SendError::TooLate),
        }
        if Instant::now() >= deadline {
            self.connections.store(address, connection);
            return Err(SendError::TooLate);
        }
        let sent = timeout_at(deadline, connection.sender.try_send_request(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => {
                let unsent = error.take_message().map(Box::new);
                return Err(unsent.map_or(SendError::OutcomeUnknown, SendError::Unsent));
            }
            Err(_elapsed) => {
                self.connections.close_idle(address);
                return Err(SendError::OutcomeUnknown);
            }
        };
        let status = response.status();
        let body =
            timeout_at(deadline, Limited::new(response.into_body(), MAX_BODY_BYTES).collect());
        match body.await {
            Ok(Ok(body)) => {
                let id = connection.id;
                self.connections.store(address, connection);
                Ok(Response { status, body: body.to_bytes(), connection: id })
            }
            Ok(Err(_)) => Err(SendError::OutcomeUnknown),
            Err(_elapsed) => {
                self.connections.close_idle(address);
                Err(SendError::OutcomeUnknown)
            }
        }
    }
}

/// Error of one send.
#[derive(Debug)]
enum SendError {
    /// Nothing of the request was written; it can be sent again.
    Unsent(Box<Request<Full<Bytes>>>),
    /// Nothing of the request was written, and its time is over.
    TooLate,
    /// The request may have been sent and carried out.
    OutcomeUnknown,
}
