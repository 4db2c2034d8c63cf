//! HTTP/1.1 server with limits on requests and graceful shutdown of its connections.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use snafu::Snafu;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::intake::{Intake, Place};

/// Delay after a failed accept, for example when no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Delay after which a client whose body was refused may send it again.
const REFUSED_BODY_RETRY: Duration = Duration::from_secs(1);

common::key! {
    /// Progress of the server's graceful shutdown.
    pub enum ShutdownStage {
        /// Connections are accepted and kept alive.
        Serving,
        /// Connections are accepted; each response carries `Connection: close`.
        Draining,
        /// No connections are accepted; open ones close after their current request.
        Closed,
    }

    /// Limits on the size and timing of requests.
    pub struct RequestLimits {
        /// Largest request body, in bytes.
        pub max_body_bytes: usize,
        /// Largest request header, in bytes; at least 8192 are allowed.
        pub max_header_bytes: usize,
        /// Longest time that a body may take to arrive.
        pub body_timeout: Duration,
        /// Longest time that a header may take to arrive; raised to `idle_timeout` if below it.
        pub header_timeout: Duration,
        /// Longest time that a connection may stay idle between requests.
        pub idle_timeout: Duration,
    }
}

/// HTTP request whose body has been read completely.
#[derive(Debug)]
pub struct HttpRequest {
    /// Method, URI and headers.
    pub head: hyper::http::request::Parts,
    /// Complete body; empty if the request has none.
    pub body: Bytes,
}

/// Handler error for a request that gets no response; its connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("request ended without a response"))]
pub struct NoResponse;

/// Reason for which a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyError {
    /// It exceeds the limit.
    TooLarge,
    /// It is not valid, or the client has gone.
    Invalid,
    /// All bodies together exceed their bound.
    Refused,
}

/// Produces the responses of a server.
pub trait Handler {
    /// Handles one request; an error closes the connection without a response.
    fn handle(
        &self,
        request: HttpRequest,
    ) -> impl Future<Output = Result<Response<Full<Bytes>>, NoResponse>>;

    /// Responds to a request whose body is refused with a status and was not read to its end.
    fn refuse(
        &self,
        _head: &hyper::http::request::Parts,
        status: StatusCode,
    ) -> impl Future<Output = Result<Response<Full<Bytes>>, NoResponse>> {
        std::future::ready(Ok(empty_response(status)))
    }
}

/// Accepts and serves connections until the shutdown stage is `Closed`.
///
/// Returns before open connections have ended; each shuts down gracefully in its own task.
pub async fn serve<H>(
    listener: TcpListener,
    handler: Rc<H>,
    intake: Rc<Intake>,
    limit_updates: watch::Receiver<RequestLimits>,
    mut stage: watch::Receiver<ShutdownStage>,
) where
    H: Handler + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            closed = stage.wait_for(|stage| *stage == ShutdownStage::Closed) => {
                drop(closed);
                return;
            }
        };
        match accepted {
            Ok((stream, _)) => {
                // Without a place, the connection is closed.
                let Some(place) = intake.admit() else { continue };
                let connection = handle_connection(
                    stream,
                    Rc::clone(&handler),
                    place,
                    limit_updates.clone(),
                    stage.clone(),
                );
                tokio::task::spawn_local(connection);
                if intake.is_full() {
                    // Connections that give way are closed by their own tasks.
                    tokio::task::yield_now().await;
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn handle_connection<H>(
    stream: TcpStream,
    handler: Rc<H>,
    place: Place,
    limit_updates: watch::Receiver<RequestLimits>,
    mut stage: watch::Receiver<ShutdownStage>,
) where
    H: Handler + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = *limit_updates.borrow();
    let request_stage = stage.clone();
    let place = Rc::new(place);
    let request_place = Rc::clone(&place);
    let service = service_fn(move |request| {
        let (handler, request_stage) = (Rc::clone(&handler), request_stage.clone());
        let place = Rc::clone(&request_place);
        let limits = *limit_updates.borrow();
        async move {
            let response = respond(&*handler, request, limits, &place, &request_stage).await;
            place.end_request();
            response
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout));
    builder.max_buf_size(limits.max_header_bytes.max(8192));
    let http_connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(http_connection);
    tokio::select! {
        // A connection that gives way begins no request.
        biased;
        () = place.closed() => {}
        result = &mut http_connection => drop(result),
        closed = stage.wait_for(|stage| *stage == ShutdownStage::Closed) => {
            drop(closed);
            http_connection.as_mut().graceful_shutdown();
            drop(http_connection.await);
        }
    }
}

async fn respond<H: Handler>(
    handler: &H,
    request: Request<Incoming>,
    limits: RequestLimits,
    place: &Place,
    stage: &watch::Receiver<ShutdownStage>,
) -> Result<Response<Full<Bytes>>, NoResponse> {
    let (head, body) = request.into_parts();
    place.begin_body();
    let body = read_body(body, limits.max_body_bytes, place);
    let mut response = match tokio::time::timeout(limits.body_timeout, body).await {
        Ok(Ok(body)) => {
            place.begin_handling();
            handler.handle(HttpRequest { head, body }).await?
        }
        Ok(Err(BodyError::TooLarge)) => {
            place.begin_handling();
            handler.refuse(&head, StatusCode::PAYLOAD_TOO_LARGE).await?
        }
        Ok(Err(BodyError::Invalid)) => {
            place.begin_handling();
            handler.refuse(&head, StatusCode::BAD_REQUEST).await?
        }
        Ok(Err(BodyError::Refused)) => {
            let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
            set_retry_after(&mut response, REFUSED_BODY_RETRY);
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            response
        }
        Err(_) => empty_response(StatusCode::REQUEST_TIMEOUT),
    };
    if *stage.borrow() != ShutdownStage::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Reads a body of at most `max_bytes` into memory that its place in the intake holds.
async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    place: &Place,
) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    // The frames are copied: each keeps the whole buffer that it was read into.
    let mut bytes = Vec::new();
    loop {
        let frame = tokio::select! {
            biased;
            () = place.refused() => return Err(BodyError::Refused),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { return Ok(Bytes::from(bytes)) };
        // Trailers are not used.
        let Ok(data) = frame.map_err(|_error| BodyError::Invalid)?.into_data() else { continue };
        if bytes.len() + data.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        bytes.extend_from_slice(&data);
        if !place.hold_body(bytes.capacity()) {
            return Err(BodyError::Refused);
        }
    }
}

/// Builds a response without a body.
pub fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Builds a response with a JSON body.
pub fn json_response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Sets `Retry-After` to a delay, rounded up to whole seconds and at least 1.
pub fn set_retry_after(response: &mut Response<Full<Bytes>>, delay: Duration) {
    let seconds = delay.as_millis().div_ceil(1000).max(1);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds as u64));
}

/// Binds a TCP listener to an address.
///
/// # Errors
///
/// The system's error, for example if the address is in use.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}
