//! JSON over HTTP, a thread for each request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::Value;
use tiny_http::{Header, Response, Server};

/// A request, read whole.
#[derive(Debug)]
pub struct Request {
    /// Its method and path, without the query.
    pub call: String,
    /// The query's fields.
    pub query: HashMap<String, String>,
    /// The life of a worker that the call is meant for, if it says.
    pub expected_life: Option<String>,
    /// The body; null where there is none.
    pub body: Value,
}

/// Status and body.
pub type Answer = (u16, Value);

/// Serves requests on a port that the system chooses.
pub fn serve(
    handler: impl Fn(&Request) -> Answer + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let server = Server::http("127.0.0.1:0").map_err(std::io::Error::other)?;
    let address = server.server_addr().to_ip().ok_or(std::io::ErrorKind::AddrNotAvailable)?;
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for request in server.incoming_requests() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || answer(request, &*handler));
        }
    });
    Ok(address)
}

fn answer(mut request: tiny_http::Request, handler: &dyn Fn(&Request) -> Answer) {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let life = request.headers().iter().find(|header| header.field.equiv("Expect-Instance"));
    let expected_life = life.map(|header| header.value.to_string());
    let call = format!("{} {path}", request.method());
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    let query = fields.map(|(name, value)| (name.to_owned(), plain(value))).collect();
    let body = serde_json::from_reader(request.as_reader()).unwrap_or(Value::Null);
    let (status, body) = handler(&Request { call, query, expected_life, body });
    let json = Header::from_bytes("Content-Type", "application/json").expect("a valid header");
    let response = Response::from_string(body.to_string()).with_status_code(status);
    // A caller that left needs no answer.
    drop(request.respond(response.with_header(json)));
}

/// Decodes percent signs.
fn plain(text: &str) -> String {
    percent_encoding::percent_decode_str(text).decode_utf8_lossy().into_owned()
}
