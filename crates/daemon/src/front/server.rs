//! HTTP server on `tiny_http`, with a fixed number of threads.
//!
//! Reader threads parse requests and send them to the event loop; writer threads write
//! the answers. Requests over the limit of open requests are rejected immediately.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use common::ErrorKind;
use stakker::{Core, Fwd, Waker, fwd};
use tiny_http::{Header, Response, StatusCode};

use super::api::{self, RequestParts};
use super::{Answer, Request, Token};
use crate::telemetry::Metrics;

/// Number of threads that read requests.
const READER_THREADS: usize = 32;
/// Number of threads that write answers.
const WRITER_THREADS: usize = 8;
/// Longest wait of a reader for one request, before it waits again.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(500);

/// HTTP request together with the connection that its answer goes to.
type Exchange = tiny_http::Request;
/// Requests that have no answer yet, by token.
type OpenExchanges = Arc<Mutex<HashMap<Token, Exchange>>>;

/// Handle of the event loop on the server's threads.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    /// Queue of the writer threads.
    answers: Sender<(Token, Answer)>,
    /// Whether connections close after their next answer.
    is_closing: Arc<AtomicBool>,
}

/// State of one reader thread.
struct Reader {
    is_closing: Arc<AtomicBool>,
    server: Arc<tiny_http::Server>,
    open: OpenExchanges,
    next_token: Arc<AtomicU64>,
    /// Queue of the event loop.
    requests: Sender<(Token, Request)>,
    /// Wakes the event loop to take queued requests.
    waker: Arc<Waker>,
    metrics: Metrics,
    bounds: settings::daemon::Limits,
}

impl Server {
    /// Binds the address and starts the threads; requests go to `fwd`.
    ///
    /// # Errors
    ///
    /// The system's error if the address cannot be bound.
    ///
    /// # Panics
    ///
    /// If the system cannot start a thread.
    pub fn start(
        core: &mut Core,
        address: SocketAddr,
        bounds: settings::daemon::Limits,
        metrics: &Metrics,
        fwd: Fwd<(Token, Request)>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        // Accepted connections inherit the option, which sends small answers without delay.
        socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
        let address = listener.local_addr()?;
        let server = tiny_http::Server::from_listener(listener, None);
        let server = Arc::new(server.map_err(std::io::Error::other)?);
        let (requests, arrived) = channel();
        let (answers, outbox) = channel();
        let open = OpenExchanges::default();
        let is_closing = Arc::new(AtomicBool::new(false));
        let next_token = Arc::new(AtomicU64::new(1));
        let waker = Arc::new(core.waker(move |_, _| forward_requests(&arrived, &fwd)));
        for index in 0..READER_THREADS {
            let reader = Reader {
                is_closing: Arc::clone(&is_closing),
                server: Arc::clone(&server),
                open: Arc::clone(&open),
                next_token: Arc::clone(&next_token),
                requests: requests.clone(),
                waker: Arc::clone(&waker),
                metrics: metrics.clone(),
                bounds: bounds.clone(),
            };
            spawn(&format!("http-read-{index}"), move || reader.run());
        }
        let outbox = Arc::new(Mutex::new(outbox));
        for index in 0..WRITER_THREADS {
            let (outbox, open) = (Arc::clone(&outbox), Arc::clone(&open));
            let closing = Arc::clone(&is_closing);
            spawn(&format!("http-write-{index}"), move || write_answers(&outbox, &open, &closing));
        }
        Ok(Self { address, answers, is_closing })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl super::Front for Server {
    fn answer(&mut self, token: Token, answer: Answer) {
        // The writers run as long as the process, so sending cannot fail.
        let _ = self.answers.send((token, answer));
    }

    fn close_connections(&mut self) {
        self.is_closing.store(true, Ordering::Relaxed);
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) {
    let thread = thread::Builder::new().name(name.to_owned());
    thread.spawn(run).expect("the system starts a thread");
}

/// Sends every request that the readers queued to the event loop.
fn forward_requests(arrived: &Receiver<(Token, Request)>, fwd: &Fwd<(Token, Request)>) {
    while let Ok(request) = arrived.try_recv() {
        fwd!([fwd], request);
    }
}

impl Reader {
    fn run(&self) {
        loop {
            match self.server.recv_timeout(RECEIVE_TIMEOUT) {
                Ok(Some(exchange)) => self.handle(exchange),
                Ok(None) => {}
                Err(_closed) => return,
            }
        }
    }

    /// Whether the connection closes after the next answer.
    fn should_close(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    /// Answers `/metrics` and `/healthz` here; dispatches every other request.
    fn handle(&self, mut exchange: Exchange) {
        match exchange.url() {
            "/metrics" => return respond(exchange, 200, self.metrics.encode(), "text/plain"),
            "/healthz" => return respond(exchange, 200, "ok\n".to_owned(), "text/plain"),
            _ => {}
        }
        let received_us = now_us();
        match self.read(&mut exchange) {
            Ok(mut request) => {
                if let Request::Submit { arrived_us, .. } = &mut request {
                    *arrived_us = received_us;
                }
                self.dispatch(exchange, request);
            }
            Err(answer) => respond_json(exchange, &answer, self.should_close()),
        }
    }

    /// Reads the body within its limit and parses the request.
    fn read(&self, exchange: &mut Exchange) -> Result<Request, Answer> {
        let content_length = exchange.body_length();
        let max_bytes = self.bounds.max_body_bytes;
        let too_large = || {
            api::error_answer(ErrorKind::TooLarge, &format!("the body exceeds {max_bytes} bytes"))
        };
        if content_length.is_some_and(|length| length > max_bytes) {
            return Err(too_large());
        }
        let mut body = Vec::new();
        let read = exchange.as_reader().take(max_bytes as u64 + 1).read_to_end(&mut body);
        let truncated = || {
            api::error_answer(ErrorKind::Malformed, "the body is shorter than its Content-Length")
        };
        read.map_err(|_error| truncated())?;
        if body.len() > max_bytes {
            return Err(too_large());
        }
        if content_length.is_some_and(|length| length != body.len()) {
            return Err(truncated());
        }
        let parts = RequestParts {
            method: exchange.method().as_str(),
            url: exchange.url(),
            traceparent: header(exchange, "traceparent"),
            author: header(exchange, "x-author"),
        };
        api::parse(parts, body)
    }

    /// Registers a request as open and sends it to the event loop, or rejects it.
    fn dispatch(&self, exchange: Exchange, request: Request) {
        let token = self.next_token.fetch_add(1, Ordering::Relaxed);
        let rejected = {
            let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
            if open.len() >= self.bounds.max_open_requests {
                Some(exchange)
            } else {
                open.insert(token, exchange);
                None
            }
        };
        if let Some(exchange) = rejected {
            let answer = api::error_answer(ErrorKind::Overloaded, "too many requests in progress");
            return respond_json(exchange, &answer, self.should_close());
        }
        if self.requests.send((token, request)).is_ok() {
            self.waker.wake();
        }
    }
}

/// Current time in Unix microseconds.
fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}

/// Value of a header, the first one if repeated.
fn header<'e>(exchange: &'e Exchange, name: &'static str) -> Option<&'e str> {
    let mut headers = exchange.headers().iter();
    headers.find(|header| header.field.equiv(name)).map(|header| header.value.as_str())
}

/// Writes answers until the event loop drops the server.
fn write_answers(
    outbox: &Mutex<Receiver<(Token, Answer)>>,
    open: &OpenExchanges,
    is_closing: &AtomicBool,
) {
    loop {
        let next = outbox.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok((token, answer)) = next else { return };
        let exchange = open.lock().unwrap_or_else(PoisonError::into_inner).remove(&token);
        if let Some(exchange) = exchange {
            respond_json(exchange, &answer, is_closing.load(Ordering::Relaxed));
        }
    }
}

fn respond_json(exchange: Exchange, answer: &Answer, should_close: bool) {
    let body = answer.body.to_string();
    if should_close {
        respond_and_close(exchange, answer.status, &body);
    } else {
        respond(exchange, answer.status, body, "application/json");
    }
}

/// Answers with `connection: close`, a header that `tiny_http` does not send.
fn respond_and_close(exchange: Exchange, status: u16, body: &str) {
    let reason = StatusCode(status).default_reason_phrase();
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} {reason}\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n"
    );
    let mut writer = exchange.into_writer();
    // The caller may have disconnected; its request stays recorded all the same.
    let _ = writer.write_all(format!("{head}{body}").as_bytes());
    let _ = writer.flush();
}

fn respond(exchange: Exchange, status: u16, body: String, content_type: &str) {
    let header = Header::from_bytes("content-type", content_type).expect("the header is ASCII");
    let response = Response::from_string(body).with_status_code(status).with_header(header);
    // The caller may have disconnected; its request stays recorded all the same.
    let _ = exchange.respond(response);
}
