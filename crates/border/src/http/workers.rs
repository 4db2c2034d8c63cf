//! Workers over HTTP: `POST {base}/{worker}/start`, `renew`, `stop`, `throttle`.

use std::time::Duration;

use common::Name;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use stakker::{Core, Ret};
use ureq::Agent;

use super::agent::{agent, busy, post};
use super::pool::Pool;
use crate::workers::{Done, Renew, Start, Stop, Task, Tasks, Throttle};

const THREADS: usize = 8;
const QUEUE: usize = 1024;
const TIMEOUT: Duration = Duration::from_millis(1500);

#[derive(Debug, Deserialize)]
struct Page {
    tasks: Vec<Task>,
}

/// Client of the workers.
#[derive(Debug)]
pub struct Workers {
    base: Name,
    agent: Agent,
    orders: Pool<Done>,
    renewals: Pool<Tasks>,
}

impl Workers {
    /// A client for a base URL.
    pub fn new(core: &mut Core, base: Name) -> Self {
        let orders = Pool::new(core, "worker-order", THREADS, QUEUE);
        let renewals = Pool::new(core, "worker-renew", THREADS, QUEUE);
        Self { base, agent: agent(2 * THREADS, TIMEOUT), orders, renewals }
    }

    fn order<T>(&mut self, worker: &Name, verb: &str, body: T, ret: Ret<Done>)
    where
        T: Serialize + Send + 'static,
    {
        let (agent, url) = (self.agent.clone(), format!("{}/{worker}/{verb}", self.base));
        let call = move || post(&agent, &url, &body).map(|_: IgnoredAny| ());
        self.orders.run(ret, busy(), call);
    }
}

impl crate::Workers for Workers {
    fn start(&mut self, worker: Name, start: Start, ret: Ret<Done>) {
        self.order(&worker, "start", start, ret);
    }

    fn renew(&mut self, worker: Name, renew: Renew, ret: Ret<Tasks>) {
        let (agent, url) = (self.agent.clone(), format!("{}/{worker}/renew", self.base));
        let call = move || post(&agent, &url, &renew).map(|page: Page| page.tasks);
        self.renewals.run(ret, busy(), call);
    }

    fn stop(&mut self, worker: Name, stop: Stop, ret: Ret<Done>) {
        self.order(&worker, "stop", stop, ret);
    }

    fn throttle(&mut self, worker: Name, throttle: Throttle, ret: Ret<Done>) {
        self.order(&worker, "throttle", throttle, ret);
    }
}
