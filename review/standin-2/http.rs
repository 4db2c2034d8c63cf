//! HTTP/1.1 over TCP with JSON bodies: a server with a thread a connection, and a client.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::json::Json;

/// A request that was read completely.
#[derive(Debug, Default)]
pub struct Request {
    /// Method and path, separated by a space, without the query.
    pub call: String,
    /// Decoded parameters of the query.
    pub query: HashMap<String, String>,
    /// Headers by their names in lower case.
    pub headers: HashMap<String, String>,
    /// Body; null if there is none.
    pub body: Json,
}

/// Status and body of a response.
pub type Reply = (u16, Json);

/// Serves requests on an address; returns the address that it got.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(&Request) -> Reply + Send + Sync + 'static,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            // A connection that fails is closed; its client sees that.
            std::thread::spawn(move || drop(serve_connection(stream, &*handler)));
        }
    });
    Ok(address)
}

/// Status of a reply that is lost; its connection ends.
pub const NO_RESPONSE: u16 = 0;

fn serve_connection(stream: TcpStream, handler: &dyn Fn(&Request) -> Reply) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((first, headers)) = read_head(&mut reader)? {
        let mut words = first.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = pairs.map(|(name, value)| (name.to_owned(), decode_percent(value))).collect();
        let body = read_body(&mut reader, &headers)?;
        let request = Request {
            call: format!("{method} {path}"),
            query,
            headers,
            body: Json::parse(&body).unwrap_or_default(),
        };
        let (status, body) = handler(&request);
        if status == NO_RESPONSE {
            return Ok(());
        }
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

/// Reads the first line and the headers; `None` if the connection has ended.
fn read_head(
    reader: &mut BufReader<TcpStream>,
) -> Result<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.split_once(':') else { break };
        headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
    }
    Ok(Some((first.trim().to_owned(), headers)))
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &HashMap<String, String>,
) -> Result<String> {
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    String::from_utf8(body).map_err(Error::other)
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        let digits = others.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let code = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(code) if *first == b'%' => {
                bytes.push(code);
                rest = &others[2..];
            }
            _ => {
                bytes.push(*first);
                rest = others;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A client's call.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    pub address: SocketAddr,
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub body: Option<&'a Json>,
    /// How long the client waits, which it tells the server.
    pub timeout: Duration,
}

/// Response to a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    pub status: u16,
    pub retry_after: Option<u64>,
    pub body: Json,
}

impl Call<'_> {
    /// Sends the call on a connection of its own and reads the whole response.
    pub fn send(&self) -> Result<Response> {
        let mut stream = TcpStream::connect_timeout(&self.address, self.timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.timeout))?;
        let body = self.body.map(ToString::to_string).unwrap_or_default();
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nTimeout-Ms: {}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n",
            self.method,
            self.path,
            self.host,
            self.timeout.as_millis(),
            body.len()
        );
        stream.write_all((head + &body).as_bytes())?;
        let mut reader = BufReader::new(stream);
        let (first, headers) = read_head(&mut reader)?.ok_or(ErrorKind::UnexpectedEof)?;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
        let status = status.ok_or(ErrorKind::InvalidData)?;
        let retry_after = headers.get("retry-after").and_then(|text| text.parse().ok());
        let body = read_body(&mut reader, &headers)?;
        Ok(Response { status, retry_after, body: Json::parse(&body).unwrap_or_default() })
    }
}
