//! HTTP/1.1 client that reuses connections and has a timeout on every call.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
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
const MAX_IDLE_CONNECTIONS: usize = 16;

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

/// HTTP response whose body has been read completely.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Complete body, at most 8 MiB.
    pub body: Bytes,
}

type RequestSender = SendRequest<Full<Bytes>>;

/// Idle connections by address, each with the time since which it is idle.
#[derive(Debug, Default)]
struct IdleConnections {
    by_address: HashMap<Name, Vec<(RequestSender, Instant)>>,
}

/// HTTP client whose clones share their idle connections.
#[derive(Debug, Clone, Default)]
pub struct Client {
    idle: Rc<RefCell<IdleConnections>>,
}

impl Client {
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
            // If one connection to an address fails, its idle ones have often failed too.
            self.idle.borrow_mut().by_address.remove(address);
        }
        result
    }

    async fn attempt(
        &self,
        address: &Name,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response, Error> {
        while let Some(mut sender) = self.take_idle(address) {
            let sent = timeout_at(deadline, sender.try_send_request(request)).await;
            match sent.map_err(|_elapsed| Error::OutcomeUnknown)? {
                Ok(response) => {
                    return self.read_response(address, sender, response, deadline).await;
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Error::OutcomeUnknown),
                },
            }
        }
        let mut sender = connect(address, deadline).await?;
        let sent = timeout_at(deadline, sender.send_request(request)).await;
        match sent {
            Ok(Ok(response)) => self.read_response(address, sender, response, deadline).await,
            Ok(Err(error)) if error.is_canceled() => Err(Error::NotSent),
            Ok(Err(_)) | Err(_) => Err(Error::OutcomeUnknown),
        }
    }

    async fn read_response(
        &self,
        address: &Name,
        sender: RequestSender,
        response: hyper::Response<hyper::body::Incoming>,
        deadline: Instant,
    ) -> Result<Response, Error> {
        let status = response.status();
        let body =
            timeout_at(deadline, Limited::new(response.into_body(), MAX_BODY_BYTES).collect());
        match body.await {
            Ok(Ok(body)) => {
                self.store_idle(address, sender);
                Ok(Response { status, body: body.to_bytes() })
            }
            Ok(Err(_)) | Err(_) => Err(Error::OutcomeUnknown),
        }
    }

    fn take_idle(&self, address: &Name) -> Option<RequestSender> {
        let mut idle = self.idle.borrow_mut();
        let senders = idle.by_address.get_mut(address)?;
        let min_idle_since = Instant::now() - IDLE_TIMEOUT;
        while let Some((sender, idle_since)) = senders.pop() {
            if sender.is_ready() && idle_since >= min_idle_since {
                return Some(sender);
            }
        }
        None
    }

    fn store_idle(&self, address: &Name, sender: RequestSender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let senders = idle.by_address.entry(address.clone()).or_default();
        if senders.len() < MAX_IDLE_CONNECTIONS {
            senders.push((sender, Instant::now()));
        }
    }
}

async fn connect(address: &Name, deadline: Instant) -> Result<RequestSender, Error> {
    let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let connected = timeout_at(connect_deadline, TcpStream::connect(&**address)).await;
    let stream = connected.ok().and_then(Result::ok).ok_or(Error::NotSent)?;
    stream.set_nodelay(true).map_err(|_error| Error::NotSent)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_error| Error::NotSent)?;
    tokio::task::spawn_local(async move {
        // The sender reports a failure of the connection to the caller.
        drop(connection.await);
    });
    Ok(sender)
}
