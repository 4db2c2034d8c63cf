//! The object store over HTTP: `GET`, `PUT` and `DELETE {base}/{key}`.

use std::time::Duration;

use common::Name;
use stakker::{Core, Ret};
use ureq::Agent;

use super::agent::{agent, busy, failure, read};
use super::pool::Pool;
use crate::Error;
use crate::objects::{Done, Object};

const THREADS: usize = 2;
const QUEUE: usize = 64;
const TIMEOUT: Duration = Duration::from_secs(5);

/// Client of the object store.
#[derive(Debug)]
pub struct Objects {
    base: Name,
    agent: Agent,
    reads: Pool<Object>,
    writes: Pool<Done>,
}

impl Objects {
    /// A client for a base URL.
    pub fn new(core: &mut Core, base: Name) -> Self {
        let reads = Pool::new(core, "object-read", THREADS, QUEUE);
        let writes = Pool::new(core, "object-write", THREADS, QUEUE);
        Self { base, agent: agent(2 * THREADS, TIMEOUT), reads, writes }
    }

    fn url(&self, key: &str) -> String {
        format!("{}/{key}", self.base)
    }
}

fn fetch(agent: &Agent, url: &str) -> Object {
    let answer = agent.get(url).call().map_err(|error| failure(&error))?;
    if answer.status().as_u16() == 404 {
        return Ok(None);
    }
    read(answer).map(Some)
}

impl crate::Objects for Objects {
    fn get(&mut self, key: Name, ret: Ret<Object>) {
        let (agent, url) = (self.agent.clone(), self.url(&key));
        self.reads.run(ret, busy(), move || fetch(&agent, &url));
    }

    fn put(&mut self, key: Name, value: Vec<u8>, ret: Ret<Done>) {
        let (agent, url) = (self.agent.clone(), self.url(&key));
        self.writes.run(ret, busy(), move || {
            let answer = agent.put(&url).send(&value).map_err(|error| failure(&error))?;
            read(answer).map(drop)
        });
    }

    fn delete(&mut self, key: Name, ret: Ret<Done>) {
        let (agent, url) = (self.agent.clone(), self.url(&key));
        self.writes.run(ret, busy(), move || {
            let answer = agent.delete(&url).call().map_err(|error| failure(&error))?;
            match read(answer) {
                Ok(_) | Err(Error::Refused { .. }) => Ok(()),
                Err(error) => Err(error),
            }
        });
    }
}
