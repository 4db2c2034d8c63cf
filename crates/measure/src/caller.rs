//! HTTP client that calls daemons as callers and operators do.

use std::time::Duration;

use serde_json::Value;
use ureq::Agent;

use crate::bench::Result;

/// Timeout of one call, from connecting to the end of the reply.
const CALL_TIMEOUT: Duration = Duration::from_secs(90);

/// HTTP client for one base URL.
#[derive(Debug, Clone)]
pub struct Caller {
    base: String,
    agent: Agent,
}

impl Caller {
    /// Creates a client for a base URL.
    pub fn new(base: &str) -> Self {
        let config = Agent::config_builder();
        let config = config.http_status_as_error(false).timeout_global(Some(CALL_TIMEOUT)).build();
        Self { base: base.to_owned(), agent: config.new_agent() }
    }

    /// Sends a GET request for a path and returns the JSON reply.
    ///
    /// # Errors
    ///
    /// If there is no reply or it is not JSON.
    pub fn get(&self, path: &str) -> Result<Value> {
        let mut response = self.agent.get(format!("{}{path}", self.base)).call()?;
        Ok(serde_json::from_str(&response.body_mut().read_to_string()?)?)
    }

    /// Sends a POST request with a body and returns the JSON reply.
    ///
    /// # Errors
    ///
    /// If there is no reply or it is not JSON.
    pub fn post(&self, path: &str, body: &str) -> Result<Value> {
        let mut response = self.agent.post(format!("{}{path}", self.base)).send(body)?;
        Ok(serde_json::from_str(&response.body_mut().read_to_string()?)?)
    }

    /// Sends a PUT request with a body and returns the JSON reply.
    ///
    /// # Errors
    ///
    /// If there is no reply or it is not JSON.
    pub fn put(&self, path: &str, body: &str) -> Result<Value> {
        let request = self.agent.put(format!("{}{path}", self.base)).header("x-author", "measure");
        let mut response = request.send(body)?;
        Ok(serde_json::from_str(&response.body_mut().read_to_string()?)?)
    }

    /// Submits a request and waits up to `wait_ms` for its result.
    ///
    /// # Errors
    ///
    /// If there is no reply or it is not JSON.
    pub fn submit(&self, body: &Value, wait_ms: u64) -> Result<Value> {
        self.post(&format!("/v1/requests?wait_ms={wait_ms}"), &body.to_string())
    }
}
