//! Executors over HTTP: `POST {base}/{executor}`, the payload as body.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use common::Name;
use stakker::{Core, Ret};
use ureq::Agent;

use super::agent::{agent, busy, failure, read};
use super::pool::Pool;
use crate::Error;
use crate::executors::{Answer, Call, Reply};

const TIMEOUT: Duration = Duration::from_mins(5);

/// Client of the executors.
#[derive(Debug)]
pub struct Executors {
    base: Name,
    agent: Agent,
    calls: Pool<Answer>,
}

impl Executors {
    /// A client for a base URL with at most `calls` calls in progress.
    pub fn new(core: &mut Core, base: Name, calls: usize) -> Self {
        Self {
            base,
            agent: agent(calls, TIMEOUT),
            calls: Pool::new(core, "executor", calls, calls),
        }
    }
}

fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}

fn exchange(agent: &Agent, url: &str, call: &Call) -> Answer {
    let asked_us = now_us();
    let request = agent.post(url).header("x-request", &call.request);
    let request = request.header("traceparent", &call.trace);
    let request = request.config().timeout_global(Some(call.timeout)).build();
    let answer = request.send(&call.payload).map_err(|error| failure(&error))?;
    if answer.status().as_u16() == 422 {
        return failed(answer, asked_us);
    }
    read(answer).map(|body| Reply { is_ok: true, body, asked_us })
}

fn failed(mut answer: ureq::http::Response<ureq::Body>, asked_us: u64) -> Answer {
    let body = answer.body_mut().read_to_vec();
    let body = body.map_err(|error| Error::Lost { text: error.to_string() })?;
    Ok(Reply { is_ok: false, body, asked_us })
}

impl crate::Executors for Executors {
    fn call(&mut self, call: Call, ret: Ret<Answer>) {
        let (agent, url) = (self.agent.clone(), format!("{}/{}", self.base, call.executor));
        self.calls.run(ret, busy(), move || exchange(&agent, &url, &call));
    }
}
