//! Parses HTTP requests into typed requests.
//!
//! `POST /v1/requests`, `GET|DELETE /v1/requests/{customer}/{id}`, `GET .../explain`,
//! `GET|PUT /v1/settings/{inventory|rules}`, `GET /v1/{members|workers|queue}`,
//! `GET /readyz`. Any other method or path gets status 404.

use common::{ErrorKind, Name};
use journal::event::RequestKey;
use serde_json::{Value, json};

use super::{Answer, Request};

/// Parts of an HTTP request that decide what it asks for, except its body.
#[derive(Debug, Clone, Copy)]
pub struct RequestParts<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query string.
    pub url: &'a str,
    /// Value of the `traceparent` header, not validated.
    pub traceparent: Option<&'a str>,
    /// Value of the `x-author` header.
    pub author: Option<&'a str>,
}

/// Parses a request.
///
/// # Errors
///
/// The answer to send if the path is unknown or a parameter is malformed.
pub fn parse(parts: RequestParts<'_>, body: Vec<u8>) -> Result<Request, Answer> {
    let (path, query) = parts.url.split_once('?').unwrap_or((parts.url, ""));
    let segments: Vec<&str> = path.split('/').filter(|segment| !segment.is_empty()).collect();
    match (parts.method, segments.as_slice()) {
        ("POST", ["v1", "requests"]) => {
            let wait_ms = query_number(query, "wait_ms")?;
            let trace = parts.traceparent.filter(|trace| is_traceparent(trace)).map(str::to_owned);
            Ok(Request::Submit { body, wait_ms, trace, arrived_us: 0 })
        }
        ("GET", ["v1", "requests", customer, id]) => {
            let wait_ms = query_number(query, "wait_ms")?.unwrap_or(0);
            Ok(Request::Status { key: request_key(customer, id), wait_ms })
        }
        ("GET", ["v1", "requests", customer, id, "explain"]) => {
            Ok(Request::Explain { key: request_key(customer, id) })
        }
        ("DELETE", ["v1", "requests", customer, id]) => {
            Ok(Request::Cancel { key: request_key(customer, id) })
        }
        ("GET", ["v1", "settings", file @ ("inventory" | "rules")]) => {
            Ok(Request::GetSettings { file: Name::new(file) })
        }
        ("PUT", ["v1", "settings", file @ ("inventory" | "rules")]) => {
            let base = query_number(query, "base")?;
            let base = base.ok_or_else(|| {
                malformed("`base` is missing: the version that the change is based on")
            })?;
            let text = String::from_utf8(body).map_err(|_error| malformed("body is not UTF-8"))?;
            let author = Name::new(parts.author.unwrap_or("unknown"));
            Ok(Request::ApplySettings { file: Name::new(file), base, author, text })
        }
        ("GET", ["v1", view @ ("members" | "workers" | "queue")]) => {
            Ok(Request::Survey { view: Name::new(view) })
        }
        ("GET", ["readyz"]) => Ok(Request::Readiness),
        _ => {
            Err(error_answer(ErrorKind::NotFound, &format!("no route for {} {path}", parts.method)))
        }
    }
}

fn request_key(customer: &str, id: &str) -> RequestKey {
    RequestKey { customer: Name::new(customer), id: Name::new(id) }
}

/// Value of a query parameter, the last one if repeated; `None` if it is missing.
fn query_number(query: &str, name: &str) -> Result<Option<u64>, Answer> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next_back();
    let parsed = found.map(str::parse).transpose();
    parsed.map_err(|_error| malformed(&format!("`{name}` is not a whole number")))
}

/// Whether the text has the form of a W3C `traceparent`.
fn is_traceparent(text: &str) -> bool {
    let parts: Vec<&str> = text.split('-').collect();
    let is_hex = |part: &str| part.bytes().all(|byte| byte.is_ascii_hexdigit());
    let lengths: Vec<usize> = parts.iter().map(|part| part.len()).collect();
    lengths == [2, 32, 16, 2] && parts.iter().all(|part| is_hex(part))
}

fn malformed(text: &str) -> Answer {
    error_answer(ErrorKind::Malformed, text)
}

/// Answer for an error: the kind's status, and a body with the kind and the text.
pub fn error_answer(kind: ErrorKind, text: &str) -> Answer {
    Answer { status: kind.http_status(), body: error_body(kind, text) }
}

fn error_body(kind: ErrorKind, text: &str) -> Value {
    json!({ "error": kind.as_str(), "ran": kind.execution().as_str(), "text": text })
}
