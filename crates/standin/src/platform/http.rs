//! Minimal HTTP server for JSON bodies, with one thread per request.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use serde_json::Value;
use tiny_http::{Header, Response, Server};

/// A request that was read completely.
#[derive(Debug)]
pub struct Request {
    /// Method and path separated by a space, without the query.
    pub method_and_path: String,
    /// Decoded parameters of the query.
    pub query: HashMap<String, String>,
    /// Worker instance in the `Expect-Instance` header; `None` without the header.
    pub expected_instance: Option<String>,
    /// Body; null if it is empty or not JSON.
    pub body: Value,
}

/// HTTP status and JSON body of a reply.
pub type Reply = (u16, Value);

/// Serves requests on a loopback port that the system chooses; returns its address.
pub fn serve(
    handler: impl Fn(&Request) -> Reply + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    serve_at(any_port, move |request| Some(handler(request)))
}

/// Serves requests on an address; a request whose reply is `None` gets no response.
pub fn serve_at(
    listen: SocketAddr,
    handler: impl Fn(&Request) -> Option<Reply> + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let server = Server::http(listen).map_err(std::io::Error::other)?;
    let address = server.server_addr().to_ip().ok_or(std::io::ErrorKind::AddrNotAvailable)?;
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for request in server.incoming_requests() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || handle_request(request, &*handler));
        }
    });
    Ok(address)
}

fn handle_request(mut request: tiny_http::Request, handler: &dyn Fn(&Request) -> Option<Reply>) {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let instance = request.headers().iter().find(|header| header.field.equiv("Expect-Instance"));
    let expected_instance = instance.map(|header| header.value.to_string());
    let method_and_path = format!("{} {path}", request.method());
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    let query = fields.map(|(name, value)| (name.to_owned(), decode_percent(value))).collect();
    let body = serde_json::from_reader(request.as_reader()).unwrap_or(Value::Null);
    let parsed = Request { method_and_path, query, expected_instance, body };
    let Some((status, body)) = handler(&parsed) else {
        // A dropped request would be answered 500; a dropped writer sends nothing.
        drop(request.into_writer());
        return;
    };
    let json = Header::from_bytes("Content-Type", "application/json").expect("a valid header");
    let response = Response::from_string(body.to_string()).with_status_code(status);
    // The caller may have closed the connection already.
    drop(request.respond(response.with_header(json)));
}

/// Decodes percent-encoded text.
fn decode_percent(text: &str) -> String {
    percent_encoding::percent_decode_str(text).decode_utf8_lossy().into_owned()
}
