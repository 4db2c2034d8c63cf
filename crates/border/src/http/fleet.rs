//! The list of VMs over HTTP: `GET {base}`.

use std::time::Duration;

use common::Name;
use serde::Deserialize;
use stakker::{Core, Ret};
use ureq::Agent;

use super::agent::{agent, busy, failure, read};
use super::pool::Pool;
use crate::Error;
use crate::fleet::{Vm, Vms};

const THREADS: usize = 1;
const QUEUE: usize = 4;
const TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, Deserialize)]
struct Page {
    vms: Vec<Vm>,
}

/// Client of the list.
#[derive(Debug)]
pub struct Fleet {
    base: Name,
    agent: Agent,
    reads: Pool<Vms>,
}

impl Fleet {
    /// A client for a base URL.
    pub fn new(core: &mut Core, base: Name) -> Self {
        let reads = Pool::new(core, "fleet", THREADS, QUEUE);
        Self { base, agent: agent(THREADS, TIMEOUT), reads }
    }
}

fn fetch(agent: &Agent, url: &str) -> Vms {
    let answer = agent.get(url).call().map_err(|error| failure(&error))?;
    let bytes = read(answer)?;
    let page: Page =
        serde_json::from_slice(&bytes).map_err(|error| Error::Lost { text: error.to_string() })?;
    Ok(page.vms)
}

impl crate::Fleet for Fleet {
    fn list(&mut self, ret: Ret<Vms>) {
        let (agent, url) = (self.agent.clone(), self.base.to_string());
        self.reads.run(ret, busy(), move || fetch(&agent, &url));
    }
}
