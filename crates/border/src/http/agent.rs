//! Blocking HTTP calls with timeouts and size limits, and classification of their errors.

use std::io::ErrorKind;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::{Agent, Timeout};

use crate::Error;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Size of each connection's input and output buffers, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// Maximum size of a reply body, in bytes.
const MAX_REPLY_BYTES: u64 = 64 * 1024 * 1024;

/// Creates an agent with a keep-alive connection pool and a timeout per call.
pub(super) fn build_agent(connections: usize, timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_global(Some(timeout))
        .max_redirects(0)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_idle_connections(connections)
        .max_idle_connections_per_host(connections)
        .build();
    config.new_agent()
}

/// Classifies a failed call by whether the request may have been sent.
pub(super) fn classify_error(error: &ureq::Error) -> Error {
    let text = error.to_string();
    let is_unsent = match error {
        ureq::Error::HostNotFound | ureq::Error::ConnectionFailed => true,
        ureq::Error::Timeout(phase) => matches!(phase, Timeout::Resolve | Timeout::Connect),
        ureq::Error::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    };
    if is_unsent { Error::NotSent { text } } else { Error::ReplyLost { text } }
}

/// Posts a JSON body and parses the JSON reply.
pub(super) fn post_json<I, O>(agent: &Agent, url: &str, body: &I) -> Result<O, Error>
where
    I: Serialize,
    O: DeserializeOwned,
{
    let response = agent.post(url).send_json(body).map_err(|error| classify_error(&error))?;
    let bytes = read_body(response)?;
    serde_json::from_slice(&bytes).map_err(|error| Error::ReplyLost { text: error.to_string() })
}

/// Reads a response's body; a status other than 2xx is an error.
pub(super) fn read_body(mut response: ureq::http::Response<ureq::Body>) -> Result<Vec<u8>, Error> {
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(MAX_REPLY_BYTES).read_to_vec();
    let body = body.map_err(|error| Error::ReplyLost { text: error.to_string() })?;
    match status {
        200..=299 => Ok(body),
        400..=499 => Err(Error::Refused { text: String::from_utf8_lossy(&body).into_owned() }),
        _ => Err(Error::ReplyLost { text: format!("HTTP status {status}") }),
    }
}

/// The error of a call that finds the queue of a thread pool full.
pub(super) fn queue_full<T>() -> Result<T, Error> {
    Err(Error::NotSent { text: "too many calls in progress".to_owned() })
}
