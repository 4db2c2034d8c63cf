//! Calls over HTTP, as a caller or operator makes them.

use std::time::Duration;

use serde_json::Value;
use ureq::Agent;

use crate::bench::Result;

const TIMEOUT: Duration = Duration::from_secs(90);

/// Calls to one address.
#[derive(Debug, Clone)]
pub struct Caller {
    base: String,
    agent: Agent,
}

impl Caller {
    /// Calls to a base URL.
    pub fn new(base: &str) -> Self {
        let config = Agent::config_builder();
        let config = config.http_status_as_error(false).timeout_global(Some(TIMEOUT)).build();
        Self { base: base.to_owned(), agent: config.new_agent() }
    }

    /// Gets a path.
    ///
    /// # Errors
    ///
    /// Where there is no answer, or none in JSON.
    pub fn get(&self, path: &str) -> Result<Value> {
        let mut answer = self.agent.get(format!("{}{path}", self.base)).call()?;
        Ok(serde_json::from_str(&answer.body_mut().read_to_string()?)?)
    }

    /// Posts a body.
    ///
    /// # Errors
    ///
    /// Where there is no answer, or none in JSON.
    pub fn post(&self, path: &str, body: &str) -> Result<Value> {
        let mut answer = self.agent.post(format!("{}{path}", self.base)).send(body)?;
        Ok(serde_json::from_str(&answer.body_mut().read_to_string()?)?)
    }

    /// Puts a body.
    ///
    /// # Errors
    ///
    /// Where there is no answer, or none in JSON.
    pub fn put(&self, path: &str, body: &str) -> Result<Value> {
        let request = self.agent.put(format!("{}{path}", self.base)).header("x-author", "measure");
        let mut answer = request.send(body)?;
        Ok(serde_json::from_str(&answer.body_mut().read_to_string()?)?)
    }

    /// Submits a request; waits for its result up to a time in milliseconds.
    ///
    /// # Errors
    ///
    /// Where there is no answer, or none in JSON.
    pub fn submit(&self, body: &Value, wait_ms: u64) -> Result<Value> {
        self.post(&format!("/v1/requests?wait_ms={wait_ms}"), &body.to_string())
    }
}
