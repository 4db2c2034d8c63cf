//! One blocking HTTP exchange, its bounds, and what its failure means.

use std::io::ErrorKind;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::{Agent, Timeout};

use crate::Error;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Buffer of each connection, each way, in bytes.
const BUFFER: usize = 8 * 1024;

/// Largest answer, in bytes.
const ANSWER_LIMIT: u64 = 64 * 1024 * 1024;

/// An agent that keeps connections open to one kind of server.
pub(super) fn agent(connections: usize, timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_global(Some(timeout))
        .max_redirects(0)
        .input_buffer_size(BUFFER)
        .output_buffer_size(BUFFER)
        .max_idle_connections(connections)
        .max_idle_connections_per_host(connections)
        .build();
    config.new_agent()
}

/// Says whether a failed exchange may have taken effect.
pub(super) fn failure(error: &ureq::Error) -> Error {
    let text = error.to_string();
    let is_unsent = match error {
        ureq::Error::HostNotFound | ureq::Error::ConnectionFailed => true,
        ureq::Error::Timeout(at) => matches!(at, Timeout::Resolve | Timeout::Connect),
        ureq::Error::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    };
    if is_unsent { Error::Unsent { text } } else { Error::Lost { text } }
}

/// Posts JSON and reads JSON.
pub(super) fn post<I, O>(agent: &Agent, url: &str, body: &I) -> Result<O, Error>
where
    I: Serialize,
    O: DeserializeOwned,
{
    let answer = agent.post(url).send_json(body).map_err(|error| failure(&error))?;
    let bytes = read(answer)?;
    serde_json::from_slice(&bytes).map_err(|error| Error::Lost { text: error.to_string() })
}

/// Reads an answer's body; a status other than success is an error.
pub(super) fn read(mut answer: ureq::http::Response<ureq::Body>) -> Result<Vec<u8>, Error> {
    let status = answer.status().as_u16();
    let body = answer.body_mut().with_config().limit(ANSWER_LIMIT).read_to_vec();
    let body = body.map_err(|error| Error::Lost { text: error.to_string() })?;
    match status {
        200..=299 => Ok(body),
        400..=499 => Err(Error::Refused { text: String::from_utf8_lossy(&body).into_owned() }),
        _ => Err(Error::Lost { text: format!("status {status}") }),
    }
}

/// The answer of a pool that is full.
pub(super) fn busy<T>() -> Result<T, Error> {
    Err(Error::Unsent { text: "too many calls in progress".to_owned() })
}
