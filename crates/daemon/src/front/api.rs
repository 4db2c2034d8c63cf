//! HTTP requests to typed requests.
//!
//! `POST /v1/requests`, `GET|DELETE /v1/requests/{customer}/{id}`, `GET .../explain`,
//! `GET|PUT /v1/settings/{inventory|rules}`, `GET /v1/{members|workers|queue}`,
//! `GET /readyz`. Everything else is not found.

use common::{Kind, Name};
use journal::event::Key;
use serde_json::{Value, json};

use super::{Answer, Request};

/// Parts of an HTTP request that matter.
#[derive(Debug, Clone, Copy)]
pub struct Parts<'a> {
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub url: &'a str,
    /// The `traceparent` header.
    pub trace: Option<&'a str>,
    /// The `x-author` header.
    pub author: Option<&'a str>,
}

/// Reads a request.
///
/// # Errors
///
/// The answer that says what is wrong.
pub fn parse(parts: Parts<'_>, body: Vec<u8>) -> Result<Request, Answer> {
    let (path, query) = parts.url.split_once('?').unwrap_or((parts.url, ""));
    let segments: Vec<&str> = path.split('/').filter(|segment| !segment.is_empty()).collect();
    match (parts.method, segments.as_slice()) {
        ("POST", ["v1", "requests"]) => {
            let wait_ms = number(query, "wait_ms")?;
            let trace = parts.trace.filter(|trace| is_trace(trace)).map(str::to_owned);
            Ok(Request::Submit { body, wait_ms, trace, arrived_us: 0 })
        }
        ("GET", ["v1", "requests", customer, id]) => {
            let wait_ms = number(query, "wait_ms")?.unwrap_or(0);
            Ok(Request::Status { key: key(customer, id), wait_ms })
        }
        ("GET", ["v1", "requests", customer, id, "explain"]) => {
            Ok(Request::Explain { key: key(customer, id) })
        }
        ("DELETE", ["v1", "requests", customer, id]) => {
            Ok(Request::Cancel { key: key(customer, id) })
        }
        ("GET", ["v1", "settings", what @ ("inventory" | "rules")]) => {
            Ok(Request::GetSettings { what: Name::new(what) })
        }
        ("PUT", ["v1", "settings", what @ ("inventory" | "rules")]) => {
            let base = number(query, "base")?;
            let base = base.ok_or_else(|| malformed("`base` is missing: the version changed"))?;
            let text = String::from_utf8(body).map_err(|_bad| malformed("body is not UTF-8"))?;
            let author = Name::new(parts.author.unwrap_or("unknown"));
            Ok(Request::Apply { what: Name::new(what), base, author, text })
        }
        ("GET", ["v1", what @ ("members" | "workers" | "queue")]) => {
            Ok(Request::Survey { what: Name::new(what) })
        }
        ("GET", ["readyz"]) => Ok(Request::Ready),
        _ => Err(error(Kind::NotFound, &format!("no {} {path}", parts.method))),
    }
}

fn key(customer: &str, id: &str) -> Key {
    Key { customer: Name::new(customer), id: Name::new(id) }
}

fn number(query: &str, name: &str) -> Result<Option<u64>, Answer> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next_back();
    let parsed = found.map(str::parse).transpose();
    parsed.map_err(|_bad| malformed(&format!("`{name}` is no whole number")))
}

/// Whether a text has the form of a W3C `traceparent`.
fn is_trace(text: &str) -> bool {
    let parts: Vec<&str> = text.split('-').collect();
    let is_hex = |part: &str| part.bytes().all(|byte| byte.is_ascii_hexdigit());
    let lengths: Vec<usize> = parts.iter().map(|part| part.len()).collect();
    lengths == [2, 32, 16, 2] && parts.iter().all(|part| is_hex(part))
}

fn malformed(text: &str) -> Answer {
    error(Kind::Malformed, text)
}

/// The answer for an error kind.
pub fn error(kind: Kind, text: &str) -> Answer {
    Answer { status: kind.status(), body: error_body(kind, text) }
}

fn error_body(kind: Kind, text: &str) -> Value {
    json!({ "error": kind.word(), "ran": kind.ran().word(), "text": text })
}
