//! Calls to a daemon.

use std::time::Duration;

use common::Kind;
use serde_json::Value;
use ureq::Agent;
use ureq::http::Response;

use crate::config::Config;
use crate::error::Error;

/// Time beyond a request's own wait.
const GRACE: Duration = Duration::from_secs(15);

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A daemon's answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Value,
}

/// A connection with one daemon.
#[derive(Debug)]
pub struct Client {
    server: String,
    agent: Agent,
}

impl Client {
    /// A client that waits up to a time for each answer, and a while more.
    pub fn new(config: &Config, wait: Duration) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(wait + GRACE))
            .build()
            .new_agent();
        Self { server: config.server.clone(), agent }
    }

    /// Gets a path.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`].
    pub fn get(&self, path: &str) -> Result<Answer, Error> {
        self.read(self.agent.get(self.url(path)).call())
    }

    /// Deletes a path.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`].
    pub fn delete(&self, path: &str) -> Result<Answer, Error> {
        self.read(self.agent.delete(self.url(path)).call())
    }

    /// Posts a body to a path.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`].
    pub fn post(&self, path: &str, body: &str) -> Result<Answer, Error> {
        self.read(self.agent.post(self.url(path)).send(body))
    }

    /// Puts a body to a path, in somebody's name.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`].
    pub fn put(&self, path: &str, author: &str, body: &str) -> Result<Answer, Error> {
        let request = self.agent.put(self.url(path)).header("x-author", author);
        self.read(request.send(body))
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.server)
    }

    fn read(&self, answer: Result<Response<ureq::Body>, ureq::Error>) -> Result<Answer, Error> {
        let mut answer = answer.map_err(|error| self.silent(&error.to_string()))?;
        let status = answer.status().as_u16();
        let body = answer.body_mut().read_to_string();
        let body = body.map_err(|error| self.silent(&error.to_string()))?;
        let body = serde_json::from_str(&body);
        let body = body.map_err(|error| self.silent(&format!("not an answer: {error}")))?;
        Ok(Answer { status, body })
    }

    fn silent(&self, text: &str) -> Error {
        Error::NoAnswer { server: self.server.clone(), text: text.to_owned() }
    }
}

impl Answer {
    /// A field that holds a text; empty where there is none.
    pub fn text(&self, field: &str) -> &str {
        self.body[field].as_str().unwrap_or("")
    }

    /// The error in the answer, where it is one.
    pub fn error(&self) -> Option<Error> {
        let kind = Kind::from_word(self.text("error"))?;
        let ran = self.text("ran");
        let text = format!("{} ({ran})", self.text("text"));
        Some(Error::Refused { kind, text })
    }
}
