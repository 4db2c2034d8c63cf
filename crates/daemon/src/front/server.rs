//! The HTTP server, by `tiny_http` on a bounded set of threads.
//!
//! Threads read requests and hand them to the loop; other threads write the answers.
//! Requests over the bound on open ones are refused at once.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use common::Kind;
use stakker::{Core, Fwd, Waker, fwd};
use tiny_http::{Header, Response, StatusCode};

use super::api::{self, Parts};
use super::{Answer, Request, Token};
use crate::telemetry::Metrics;

const READERS: usize = 32;
const WRITERS: usize = 8;
const POLL: Duration = Duration::from_millis(500);

type Exchange = tiny_http::Request;
type Open = Arc<Mutex<HashMap<Token, Exchange>>>;

/// The server's side that the loop holds.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    answers: Sender<(Token, Answer)>,
    is_closing: Arc<AtomicBool>,
}

struct Reader {
    is_closing: Arc<AtomicBool>,
    server: Arc<tiny_http::Server>,
    open: Open,
    next: Arc<AtomicU64>,
    requests: Sender<(Token, Request)>,
    waker: Arc<Waker>,
    metrics: Metrics,
    bounds: settings::daemon::Bounds,
}

impl Server {
    /// Listens and starts the threads; requests go to `fwd`.
    ///
    /// # Errors
    ///
    /// The system's error where the address cannot be bound.
    ///
    /// # Panics
    ///
    /// Where the system has no threads left.
    pub fn start(
        core: &mut Core,
        address: SocketAddr,
        bounds: settings::daemon::Bounds,
        metrics: &Metrics,
        fwd: Fwd<(Token, Request)>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        // Accepted connections inherit the option; small answers go out at once.
        socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
        let address = listener.local_addr()?;
        let server = tiny_http::Server::from_listener(listener, None);
        let server = Arc::new(server.map_err(std::io::Error::other)?);
        let (requests, arrived) = channel();
        let (answers, outbox) = channel();
        let open = Open::default();
        let is_closing = Arc::new(AtomicBool::new(false));
        let next = Arc::new(AtomicU64::new(1));
        let waker = Arc::new(core.waker(move |_, _| deliver(&arrived, &fwd)));
        for index in 0..READERS {
            let reader = Reader {
                is_closing: Arc::clone(&is_closing),
                server: Arc::clone(&server),
                open: Arc::clone(&open),
                next: Arc::clone(&next),
                requests: requests.clone(),
                waker: Arc::clone(&waker),
                metrics: metrics.clone(),
                bounds: bounds.clone(),
            };
            spawn(&format!("http-read-{index}"), move || reader.run());
        }
        let outbox = Arc::new(Mutex::new(outbox));
        for index in 0..WRITERS {
            let (outbox, open) = (Arc::clone(&outbox), Arc::clone(&open));
            let closing = Arc::clone(&is_closing);
            spawn(&format!("http-write-{index}"), move || write(&outbox, &open, &closing));
        }
        Ok(Self { address, answers, is_closing })
    }

    /// Where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl super::Front for Server {
    fn answer(&mut self, token: Token, answer: Answer) {
        // The writers live as long as the process.
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

fn deliver(arrived: &Receiver<(Token, Request)>, to: &Fwd<(Token, Request)>) {
    while let Ok(request) = arrived.try_recv() {
        fwd!([to], request);
    }
}

impl Reader {
    fn run(&self) {
        loop {
            match self.server.recv_timeout(POLL) {
                Ok(Some(exchange)) => self.take(exchange),
                Ok(None) => {}
                Err(_closed) => return,
            }
        }
    }

    fn is_last(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    fn take(&self, mut exchange: Exchange) {
        match exchange.url() {
            "/metrics" => return respond(exchange, 200, self.metrics.text(), "text/plain"),
            "/healthz" => return respond(exchange, 200, "ok\n".to_owned(), "text/plain"),
            _ => {}
        }
        let came_us = now_us();
        match self.read(&mut exchange) {
            Ok(mut request) => {
                if let Request::Submit { arrived_us, .. } = &mut request {
                    *arrived_us = came_us;
                }
                self.hand_over(exchange, request);
            }
            Err(answer) => respond_json(exchange, &answer, self.is_last()),
        }
    }

    fn read(&self, exchange: &mut Exchange) -> Result<Request, Answer> {
        let stated = exchange.body_length();
        let most = self.bounds.body;
        let too_large = || api::error(Kind::TooLarge, &format!("the body is over {most} bytes"));
        if stated.is_some_and(|length| length > most) {
            return Err(too_large());
        }
        let mut body = Vec::new();
        let read = exchange.as_reader().take(most as u64 + 1).read_to_end(&mut body);
        let truncated = || api::error(Kind::Malformed, "the body ends before its stated length");
        read.map_err(|_cut| truncated())?;
        if body.len() > most {
            return Err(too_large());
        }
        if stated.is_some_and(|length| length != body.len()) {
            return Err(truncated());
        }
        let parts = Parts {
            method: exchange.method().as_str(),
            url: exchange.url(),
            trace: header(exchange, "traceparent"),
            author: header(exchange, "x-author"),
        };
        api::parse(parts, body)
    }

    fn hand_over(&self, exchange: Exchange, request: Request) {
        let token = self.next.fetch_add(1, Ordering::Relaxed);
        let is_full = {
            let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
            if open.len() >= self.bounds.open {
                Some(exchange)
            } else {
                open.insert(token, exchange);
                None
            }
        };
        if let Some(exchange) = is_full {
            let answer = api::error(Kind::Overloaded, "too many requests in progress");
            return respond_json(exchange, &answer, self.is_last());
        }
        if self.requests.send((token, request)).is_ok() {
            self.waker.wake();
        }
    }
}

fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}

fn header<'e>(exchange: &'e Exchange, name: &'static str) -> Option<&'e str> {
    let mut headers = exchange.headers().iter();
    headers.find(|header| header.field.equiv(name)).map(|header| header.value.as_str())
}

fn write(outbox: &Mutex<Receiver<(Token, Answer)>>, open: &Open, is_closing: &AtomicBool) {
    loop {
        let next = outbox.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok((token, answer)) = next else { return };
        let exchange = open.lock().unwrap_or_else(PoisonError::into_inner).remove(&token);
        if let Some(exchange) = exchange {
            respond_json(exchange, &answer, is_closing.load(Ordering::Relaxed));
        }
    }
}

fn respond_json(exchange: Exchange, answer: &Answer, is_last: bool) {
    let body = answer.body.to_string();
    if is_last {
        respond_and_close(exchange, answer.status, &body);
    } else {
        respond(exchange, answer.status, body, "application/json");
    }
}

/// Answers and tells the caller that the connection ends, which the library cannot.
fn respond_and_close(exchange: Exchange, status: u16, body: &str) {
    let reason = StatusCode(status).default_reason_phrase();
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} {reason}\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n"
    );
    let mut writer = exchange.into_writer();
    // The caller may be gone; its request is accounted for all the same.
    let _ = writer.write_all(format!("{head}{body}").as_bytes());
    let _ = writer.flush();
}

fn respond(exchange: Exchange, status: u16, body: String, media: &str) {
    let header = Header::from_bytes("content-type", media).expect("the header is ASCII");
    let response = Response::from_string(body).with_status_code(status).with_header(header);
    // The caller may be gone; its request is accounted for all the same.
    let _ = exchange.respond(response);
}
