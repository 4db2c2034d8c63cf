//! HTTP/1.1 client with reused connections and a time limit on every call.

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
const MAX_BODY: usize = 8 << 20;

/// Idle connections kept for each address.
const MAX_IDLE: usize = 16;

/// Longest time that a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest time that an unused connection is kept.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

/// Why a call has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The request was certainly not sent.
    #[snafu(display("no connection"))]
    Unreachable,
    /// The request may have been carried out.
    #[snafu(display("no response"))]
    Unknown,
}

/// A response, read whole.
#[derive(Debug)]
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug, Default)]
struct Idle {
    senders: HashMap<Name, Vec<(Sender, Instant)>>,
}

/// A client whose clones share their connections.
#[derive(Debug, Clone, Default)]
pub struct Client {
    idle: Rc<RefCell<Idle>>,
}

impl Client {
    /// Sends a request and reads the response, within a time limit.
    ///
    /// # Errors
    ///
    /// [`Error`] where there is no whole response.
    pub async fn call(
        &self,
        address: &Name,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response, Error> {
        let deadline = Instant::now() + limit;
        let result = self.attempt(address, request, deadline).await;
        if result.is_err() {
            // Connections to one address often fall silent together.
            self.idle.borrow_mut().senders.remove(address);
        }
        result
    }

    async fn attempt(
        &self,
        address: &Name,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response, Error> {
        while let Some(mut sender) = self.take(address) {
            let sent = timeout_at(deadline, sender.try_send_request(request)).await;
            match sent.map_err(|_elapsed| Error::Unknown)? {
                Ok(response) => return self.finish(address, sender, response, deadline).await,
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Error::Unknown),
                },
            }
        }
        let mut sender = connect(address, deadline).await?;
        let sent = timeout_at(deadline, sender.send_request(request)).await;
        match sent {
            Ok(Ok(response)) => self.finish(address, sender, response, deadline).await,
            Ok(Err(error)) if error.is_canceled() => Err(Error::Unreachable),
            Ok(Err(_)) | Err(_) => Err(Error::Unknown),
        }
    }

    async fn finish(
        &self,
        address: &Name,
        sender: Sender,
        response: hyper::Response<hyper::body::Incoming>,
        deadline: Instant,
    ) -> Result<Response, Error> {
        let status = response.status();
        let body = timeout_at(deadline, Limited::new(response.into_body(), MAX_BODY).collect());
        match body.await {
            Ok(Ok(body)) => {
                self.keep(address, sender);
                Ok(Response { status, body: body.to_bytes() })
            }
            Ok(Err(_)) | Err(_) => Err(Error::Unknown),
        }
    }

    fn take(&self, address: &Name) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let senders = idle.senders.get_mut(address)?;
        let oldest = Instant::now() - MAX_IDLE_TIME;
        while let Some((sender, since)) = senders.pop() {
            if sender.is_ready() && since >= oldest {
                return Some(sender);
            }
        }
        None
    }

    fn keep(&self, address: &Name, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let senders = idle.senders.entry(address.clone()).or_default();
        if senders.len() < MAX_IDLE {
            senders.push((sender, Instant::now()));
        }
    }
}

async fn connect(address: &Name, deadline: Instant) -> Result<Sender, Error> {
    let limit = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let connected = timeout_at(limit, TcpStream::connect(&**address)).await;
    let stream = connected.ok().and_then(Result::ok).ok_or(Error::Unreachable)?;
    stream.set_nodelay(true).map_err(|_refused| Error::Unreachable)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_refused| Error::Unreachable)?;
    tokio::task::spawn_local(async move {
        // Its failure reaches the caller through the sender.
        drop(connection.await);
    });
    Ok(sender)
}
