//! HTTP/1.1 server whose connections end politely when the daemon stops.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use snafu::Snafu;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Pause after an accept that failed, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

common::key! {
    /// How far a daemon's stop is.
    pub enum Stage {
        /// It takes connections and keeps them.
        Open,
        /// It takes connections, and asks callers to open new ones elsewhere.
        Leaving,
        /// It takes no connections; idle ones are closed.
        Closed,
    }

    /// Bounds on requests.
    pub struct Bounds {
        /// Largest body, in bytes.
        pub body_bytes: usize,
        /// Largest header, in bytes.
        pub header_bytes: usize,
        /// Longest time for a body to arrive.
        pub body_timeout: Duration,
        /// Longest time for a header to arrive.
        pub header_timeout: Duration,
        /// Longest time that a connection may be idle.
        pub idle_timeout: Duration,
    }
}

/// A request, read whole.
#[derive(Debug)]
pub struct Call {
    /// Method, path and headers.
    pub head: hyper::http::request::Parts,
    /// The body.
    pub body: Bytes,
}

/// A request that ends without a response; its connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("no response can be given"))]
pub struct Dropped;

/// Answers requests.
pub trait Handler {
    /// Answers one request.
    fn handle(&self, call: Call) -> impl Future<Output = Result<Response<Full<Bytes>>, Dropped>>;
}

/// Serves connections until the stage is closed and the last one has ended.
pub async fn serve<H>(
    listener: TcpListener,
    handler: Rc<H>,
    bounds: watch::Receiver<Bounds>,
    mut stage: watch::Receiver<Stage>,
) where
    H: Handler + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            closed = stage.wait_for(|stage| *stage == Stage::Closed) => {
                drop(closed);
                return;
            }
        };
        match accepted {
            Ok((stream, _)) => {
                let connection =
                    connection(stream, Rc::clone(&handler), bounds.clone(), stage.clone());
                tokio::task::spawn_local(connection);
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn connection<H>(
    stream: TcpStream,
    handler: Rc<H>,
    bounds: watch::Receiver<Bounds>,
    mut stage: watch::Receiver<Stage>,
) where
    H: Handler + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = *bounds.borrow();
    let watched = stage.clone();
    let service = service_fn(move |request| {
        let (handler, watched) = (Rc::clone(&handler), watched.clone());
        let limits = *bounds.borrow();
        async move { answer(&*handler, request, limits, &watched).await }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout));
    builder.max_buf_size(limits.header_bytes.max(8192));
    let served = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    tokio::select! {
        result = &mut served => drop(result),
        closed = stage.wait_for(|stage| *stage == Stage::Closed) => {
            drop(closed);
            served.as_mut().graceful_shutdown();
            drop(served.await);
        }
    }
}

async fn answer<H: Handler>(
    handler: &H,
    request: Request<Incoming>,
    limits: Bounds,
    stage: &watch::Receiver<Stage>,
) -> Result<Response<Full<Bytes>>, Dropped> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, limits.body_bytes).collect();
    let mut response = match tokio::time::timeout(limits.body_timeout, body).await {
        Ok(Ok(body)) => handler.handle(Call { head, body: body.to_bytes() }).await?,
        Ok(Err(error)) if error.is::<LengthLimitError>() => status(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => status(StatusCode::BAD_REQUEST),
        Err(_) => status(StatusCode::REQUEST_TIMEOUT),
    };
    if *stage.borrow() != Stage::Open {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// A response without a body.
pub fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// A response with a JSON body.
pub fn json(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Tells the caller when to come back, in whole seconds.
pub fn set_retry_after(response: &mut Response<Full<Bytes>>, pause: Duration) {
    let seconds = pause.as_millis().div_ceil(1000).max(1);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds as u64));
}

/// Binds a listener.
///
/// # Errors
///
/// The system's error, for example for an address in use.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}
