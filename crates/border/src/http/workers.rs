//! HTTP client of the workers: `POST {base}/{worker}/start`, `renew`, `stop`, `throttle`.

use std::time::Duration;

use common::Name;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use stakker::{Core, Ret};
use ureq::Agent;

use super::agent::{build_agent, post_json, queue_full};
use super::pool::ThreadPool;
use crate::workers::{
    AttemptReport, CommandResult, RenewRequest, RenewResult, StartRequest, StopRequest,
    ThrottleRequest,
};

/// Maximum number of threads of each pool.
const MAX_THREADS: usize = 8;
/// Maximum number of calls waiting for a thread of each pool.
const MAX_QUEUED: usize = 1024;
/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_millis(1500);

/// JSON body of a renewal reply.
#[derive(Debug, Deserialize)]
struct RenewReply {
    tasks: Vec<AttemptReport>,
}

/// HTTP client of the workers of all racks.
#[derive(Debug)]
pub struct Workers {
    base: Name,
    agent: Agent,
    commands: ThreadPool<CommandResult>,
    renewals: ThreadPool<RenewResult>,
}

impl Workers {
    /// Creates a client for a base URL.
    pub fn new(core: &mut Core, base: Name) -> Self {
        let commands = ThreadPool::new(core, "worker-order", MAX_THREADS, MAX_QUEUED);
        let renewals = ThreadPool::new(core, "worker-renew", MAX_THREADS, MAX_QUEUED);
        Self { base, agent: build_agent(2 * MAX_THREADS, TIMEOUT), commands, renewals }
    }

    /// Posts a command to a worker; the reply's body is ignored.
    fn send_command<T>(&mut self, worker: &Name, command: &str, body: T, ret: Ret<CommandResult>)
    where
        T: Serialize + Send + 'static,
    {
        let (agent, url) = (self.agent.clone(), format!("{}/{worker}/{command}", self.base));
        let call = move || post_json(&agent, &url, &body).map(|_: IgnoredAny| ());
        self.commands.run(ret, queue_full(), call);
    }
}

impl crate::Workers for Workers {
    fn start(&mut self, worker: Name, start: StartRequest, ret: Ret<CommandResult>) {
        self.send_command(&worker, "start", start, ret);
    }

    fn renew(&mut self, worker: Name, renew: RenewRequest, ret: Ret<RenewResult>) {
        let (agent, url) = (self.agent.clone(), format!("{}/{worker}/renew", self.base));
        let call = move || post_json(&agent, &url, &renew).map(|reply: RenewReply| reply.tasks);
        self.renewals.run(ret, queue_full(), call);
    }

    fn stop(&mut self, worker: Name, stop: StopRequest, ret: Ret<CommandResult>) {
        self.send_command(&worker, "stop", stop, ret);
    }

    fn throttle(&mut self, worker: Name, throttle: ThrottleRequest, ret: Ret<CommandResult>) {
        self.send_command(&worker, "throttle", throttle, ret);
    }
}
