//! HTTP client of the list of VMs: `GET {base}`.

use std::time::Duration;

use common::Name;
use serde::Deserialize;
use stakker::{Core, Ret};
use ureq::Agent;

use super::agent::{build_agent, classify_error, queue_full, read_body};
use super::pool::ThreadPool;
use crate::Error;
use crate::fleet::{ListResult, Vm};

/// Maximum number of threads.
const MAX_THREADS: usize = 1;
/// Maximum number of calls waiting for a thread.
const MAX_QUEUED: usize = 4;
/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(1);

/// JSON body of the reply.
#[derive(Debug, Deserialize)]
struct ListReply {
    vms: Vec<Vm>,
}

/// HTTP client of the list of VMs.
#[derive(Debug)]
pub struct Fleet {
    base: Name,
    agent: Agent,
    reads: ThreadPool<ListResult>,
}

impl Fleet {
    /// Creates a client for a base URL.
    pub fn new(core: &mut Core, base: Name) -> Self {
        let reads = ThreadPool::new(core, "fleet", MAX_THREADS, MAX_QUEUED);
        Self { base, agent: build_agent(MAX_THREADS, TIMEOUT), reads }
    }
}

fn fetch(agent: &Agent, url: &str) -> ListResult {
    let response = agent.get(url).call().map_err(|error| classify_error(&error))?;
    let bytes = read_body(response)?;
    let reply: ListReply = serde_json::from_slice(&bytes)
        .map_err(|error| Error::ReplyLost { text: error.to_string() })?;
    Ok(reply.vms)
}

impl crate::VmList for Fleet {
    fn read(&mut self, ret: Ret<ListResult>) {
        let (agent, url) = (self.agent.clone(), self.base.to_string());
        self.reads.run(ret, queue_full(), move || fetch(&agent, &url));
    }
}
