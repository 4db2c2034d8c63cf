//! HTTP calls to a daemon.

use std::time::Duration;

use common::ErrorKind;
use serde_json::Value;
use ureq::Agent;
use ureq::http::Response;

use crate::config::Config;
use crate::error::Error;

/// Time allowed for an answer in addition to the wait that the call asks for.
const ANSWER_MARGIN: Duration = Duration::from_secs(15);

/// Timeout for the connection to the daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// An answer of a daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Body, parsed as JSON.
    pub body: Value,
}

/// HTTP client for one daemon.
#[derive(Debug)]
pub struct Client {
    server: String,
    agent: Agent,
}

impl Client {
    /// Creates a client whose calls may wait up to `wait` on the daemon.
    pub fn new(config: &Config, wait: Duration) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(wait + ANSWER_MARGIN))
            .build()
            .new_agent();
        Self { server: config.server.clone(), agent }
    }

    /// Sends a GET request for a path.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`] if the call fails or the answer is not JSON.
    pub fn get(&self, path: &str) -> Result<Answer, Error> {
        self.parse_answer(self.agent.get(self.url(path)).call())
    }

    /// Sends a DELETE request for a path.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`] if the call fails or the answer is not JSON.
    pub fn delete(&self, path: &str) -> Result<Answer, Error> {
        self.parse_answer(self.agent.delete(self.url(path)).call())
    }

    /// Sends a POST request with a body.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`] if the call fails or the answer is not JSON.
    pub fn post(&self, path: &str, body: &str) -> Result<Answer, Error> {
        self.parse_answer(self.agent.post(self.url(path)).send(body))
    }

    /// Sends a PUT request with a body; `author` is recorded as the author of the change.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`] if the call fails or the answer is not JSON.
    pub fn put(&self, path: &str, author: &str, body: &str) -> Result<Answer, Error> {
        let request = self.agent.put(self.url(path)).header("x-author", author);
        self.parse_answer(request.send(body))
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.server)
    }

    /// Reads the body of a response and parses it as JSON.
    fn parse_answer(
        &self,
        response: Result<Response<ureq::Body>, ureq::Error>,
    ) -> Result<Answer, Error> {
        let mut response = response.map_err(|error| self.no_answer(&error.to_string()))?;
        let status = response.status().as_u16();
        let body = response.body_mut().read_to_string();
        let body = body.map_err(|error| self.no_answer(&error.to_string()))?;
        let body = serde_json::from_str(&body);
        let body = body.map_err(|error| self.no_answer(&format!("answer is not JSON: {error}")))?;
        Ok(Answer { status, body })
    }

    /// Error for a call without a usable answer, with its cause.
    fn no_answer(&self, text: &str) -> Error {
        Error::NoAnswer { server: self.server.clone(), text: text.to_owned() }
    }
}

impl Answer {
    /// Value of a string field; empty if the body has no such field.
    pub fn str_field(&self, field: &str) -> &str {
        self.body[field].as_str().unwrap_or("")
    }

    /// Error reported by the answer; `None` if it reports none.
    pub fn error(&self) -> Option<Error> {
        let kind = ErrorKind::from_name(self.str_field("error"))?;
        let ran = self.str_field("ran");
        let text = format!("{} ({ran})", self.str_field("text"));
        Some(Error::Refused { kind, text })
    }
}
