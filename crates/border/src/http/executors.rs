//! HTTP client of the executors: `POST {base}/{executor}` with the payload as body.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use common::Name;
use stakker::{Core, Ret};
use ureq::Agent;

use super::agent::{build_agent, classify_error, queue_full, read_body};
use super::pool::ThreadPool;
use crate::Error;
use crate::executors::{Call, CallResult, Reply};

/// Default timeout of the agent; each call overrides it.
const TIMEOUT: Duration = Duration::from_mins(5);

/// HTTP client of the executors of all services.
#[derive(Debug)]
pub struct Executors {
    base: Name,
    agent: Agent,
    calls: ThreadPool<CallResult>,
}

impl Executors {
    /// Creates a client for a base URL with at most `max_calls` calls in progress.
    pub fn new(core: &mut Core, base: Name, max_calls: usize) -> Self {
        Self {
            base,
            agent: build_agent(max_calls, TIMEOUT),
            calls: ThreadPool::new(core, "executor", max_calls, max_calls),
        }
    }
}

/// Current time, in Unix microseconds.
fn now_us() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_micros() as u64
}

/// Sends a request and waits for the reply.
fn send_call(agent: &Agent, url: &str, call: &Call) -> CallResult {
    let sent_at_us = now_us();
    let request = agent.post(url).header("x-request", &call.request);
    let request = request.header("traceparent", &call.trace);
    let request = request.config().timeout_global(Some(call.timeout)).build();
    let response = request.send(&call.payload).map_err(|error| classify_error(&error))?;
    if response.status().as_u16() == 422 {
        return read_failure(response, sent_at_us);
    }
    read_body(response).map(|body| Reply { is_ok: true, body, sent_at_us })
}

/// Reads the error message of work that failed (status 422).
fn read_failure(mut response: ureq::http::Response<ureq::Body>, sent_at_us: u64) -> CallResult {
    let body = response.body_mut().read_to_vec();
    let body = body.map_err(|error| Error::ReplyLost { text: error.to_string() })?;
    Ok(Reply { is_ok: false, body, sent_at_us })
}

impl crate::Executors for Executors {
    fn call(&mut self, call: Call, ret: Ret<CallResult>) {
        let (agent, url) = (self.agent.clone(), format!("{}/{}", self.base, call.executor));
        self.calls.run(ret, queue_full(), move || send_call(&agent, &url, &call));
    }
}
