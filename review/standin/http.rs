//! HTTP/1.1 with JSON bodies: a server with a thread for each connection, and a client.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::json::Json;

pub struct Request {
    /// Method and path without the query, separated by a space.
    pub call: String,
    pub query: HashMap<String, String>,
    /// Headers by name in lower case.
    pub headers: HashMap<String, String>,
    pub body: Json,
}

/// A server that can be taken off the network and put back.
///
/// While it is cut, nothing that was sent to it arrives and nothing that it sent leaves; what was
/// under way is lost. A closed one refuses connections.
pub struct Server {
    pub address: SocketAddr,
    is_cut: AtomicBool,
    is_open: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

type Handler = dyn Fn(&Request) -> (u16, Json) + Send + Sync;

impl Server {
    /// Serves requests at a free port of 127.0.0.1.
    pub fn start(handler: impl Fn(&Request) -> (u16, Json) + Send + Sync + 'static) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let server = Arc::new(Self {
            address,
            is_cut: AtomicBool::new(false),
            is_open: AtomicBool::new(true),
            connections: Mutex::default(),
        });
        let handler: Arc<Handler> = Arc::new(handler);
        let own = Arc::clone(&server);
        std::thread::spawn(move || own.accept(listener, &handler));
        server
    }

    fn accept(self: Arc<Self>, first: TcpListener, handler: &Arc<Handler>) {
        let mut listener = Some(first);
        loop {
            if !self.is_open.load(Ordering::SeqCst) {
                listener = None;
                std::thread::sleep(Duration::from_millis(2));
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let Some(open) = &listener else { continue };
            open.set_nonblocking(true).expect("a socket");
            if self.is_cut.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(2));
                continue;
            }
            match open.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).expect("a socket");
                    let (own, handler) = (Arc::clone(&self), Arc::clone(handler));
                    if let Ok(copy) = stream.try_clone() {
                        self.connections.lock().unwrap().push(copy);
                    }
                    std::thread::spawn(move || own.serve(stream, &*handler));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream, handler: &Handler) {
        drop(stream.set_nodelay(true));
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Some(request) = read_request(&mut reader) {
            if self.is_cut.load(Ordering::SeqCst) || !self.is_open.load(Ordering::SeqCst) {
                // The request did not arrive; the connection ends when the cut does.
                return std::mem::forget(stream);
            }
            let (status, body) = handler(&request);
            if self.is_cut.load(Ordering::SeqCst) || !self.is_open.load(Ordering::SeqCst) {
                return std::mem::forget(stream);
            }
            let body = if body == Json::Null { String::new() } else { body.to_string() };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                break;
            }
        }
        drop(stream.shutdown(Shutdown::Both));
    }

    /// Cuts the server off.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
    }

    /// Ends a cut. Connections that were open or opened during it are reset, without delivery.
    pub fn heal(&self) {
        self.is_open.store(false, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(10));
        self.end_connections();
        self.is_cut.store(false, Ordering::SeqCst);
        self.is_open.store(true, Ordering::SeqCst);
    }

    /// Closes the server, as a process that has ended.
    pub fn close(&self) {
        self.is_open.store(false, Ordering::SeqCst);
        self.end_connections();
    }

    /// Opens the server again at the same address.
    pub fn open(&self) {
        self.end_connections();
        self.is_open.store(true, Ordering::SeqCst);
    }

    fn end_connections(&self) {
        for stream in self.connections.lock().unwrap().drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (line, headers, body) = read_message(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?, words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    let query = fields.map(|(name, value)| (name.to_owned(), decode(value))).collect();
    Some(Request { call: format!("{method} {path}"), query, headers, body: Json::parse(&body) })
}

/// Reads a message: its first line, headers and body.
fn read_message(
    reader: &mut BufReader<TcpStream>,
) -> Option<(String, HashMap<String, String>, Vec<u8>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim_end().to_owned(), headers, body))
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(0));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a request on a new connection; `None` without a complete response in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, Json)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nTimeout-Ms: {}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (line, _, body) = read_message(&mut reader)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    Some((status, Json::parse(&body)))
}
