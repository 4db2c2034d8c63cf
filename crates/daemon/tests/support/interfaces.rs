//! Fakes of the interfaces of one daemon.

use std::rc::Rc;
use std::time::Duration;

use border::executors::Call;
use border::table::{CommitResult, Query, ReadResult, Transaction};
use border::workers::{RenewRequest, StartRequest, StopRequest, ThrottleRequest};
use border::{Error, executors, fleet, objects, workers};
use bronzeraild::front::{Answer, Front, Token};
use bronzeraild::mesh::{Input, Mesh, Peer};
use bronzeraild::node::Interfaces;
use common::Name;
use stakker::{Ret, ret};
use wire::Frame;

use super::{SharedSimulation, link_between};

/// Latency of the table, the object store and the fleet's list, each way.
const TABLE_LATENCY: Duration = Duration::from_millis(5);
/// Latency of workers and executors, each way.
const WORKER_LATENCY: Duration = Duration::from_millis(5);
/// Latency of a frame between two daemons.
const LINK_LATENCY: Duration = Duration::from_millis(5);
/// Time after which a call without a reply fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Fakes of all interfaces of the daemon with this index.
#[derive(Clone)]
struct Fakes {
    simulation: SharedSimulation,
    index: usize,
}

/// Fakes of all interfaces of a daemon, by index.
pub fn for_daemon(simulation: &SharedSimulation, index: usize) -> Interfaces {
    let fakes = Fakes { simulation: Rc::clone(simulation), index };
    Interfaces {
        table: Box::new(fakes.clone()),
        objects: Box::new(fakes.clone()),
        workers: Box::new(fakes.clone()),
        executors: Box::new(fakes.clone()),
        vms: Box::new(fakes.clone()),
        mesh: Box::new(fakes.clone()),
        http: Box::new(fakes),
    }
}

fn lost<T>() -> Result<T, Error> {
    Err(Error::ReplyLost { text: "fault".to_owned() })
}

fn refused<T>(text: String) -> Result<T, Error> {
    Err(Error::Refused { text })
}

impl Fakes {
    /// Schedules a call's effect after the latency, and its reply after the same latency again.
    fn schedule_call<T: 'static>(
        &self,
        latency: Duration,
        is_lost: bool,
        ret: Ret<Result<T, Error>>,
        effect: impl FnOnce(&SharedSimulation) -> Result<T, Error> + 'static,
    ) {
        let index = self.index;
        let boot_number = self.simulation.borrow().boot_numbers[index];
        self.simulation.borrow_mut().schedule_after(latency, None, move |simulation| {
            let reply = effect(simulation);
            let (reply, reply_delay) =
                if is_lost { (lost(), CALL_TIMEOUT) } else { (reply, latency) };
            if simulation.borrow().boot_numbers[index] == boot_number {
                simulation
                    .borrow_mut()
                    .schedule_after(reply_delay, Some(index), move |_| ret!([ret], reply));
            }
        });
    }

    /// Fails a call after the timeout, without any effect.
    fn fail_call<T: 'static>(&self, ret: Ret<Result<T, Error>>) {
        let mut simulation = self.simulation.borrow_mut();
        simulation.schedule_after(CALL_TIMEOUT, Some(self.index), move |_| ret!([ret], lost()));
    }

    fn is_table_down(&self) -> bool {
        let simulation = self.simulation.borrow();
        simulation.faults.table_down || simulation.faults.table_down_for.contains(&self.index)
    }

    fn table_latency(&self) -> Duration {
        TABLE_LATENCY + self.simulation.borrow().faults.table_delay
    }

    fn is_silent(&self, worker: &Name) -> bool {
        self.simulation.borrow().faults.silent_workers.contains(worker)
    }
}

impl border::Table for Fakes {
    fn read(&mut self, query: Query, ret: Ret<ReadResult>) {
        if self.is_table_down() {
            return self.fail_call(ret);
        }
        self.schedule_call(self.table_latency(), false, ret, move |simulation| {
            Ok(simulation.borrow_mut().table.read(&query))
        });
    }

    fn commit(&mut self, transaction: Transaction, ret: Ret<CommitResult>) {
        if self.is_table_down() {
            return self.fail_call(ret);
        }
        let is_lost = {
            let mut simulation = self.simulation.borrow_mut();
            let share = simulation.faults.lose_commits;
            simulation.draw(share)
        };
        self.schedule_call(self.table_latency(), is_lost, ret, move |simulation| {
            Ok(simulation.borrow_mut().table.commit(transaction))
        });
    }
}

impl border::Objects for Fakes {
    fn get(&mut self, key: Name, ret: Ret<objects::ReadResult>) {
        if self.simulation.borrow().faults.objects_down {
            return self.fail_call(ret);
        }
        self.schedule_call(TABLE_LATENCY, false, ret, move |simulation| {
            Ok(simulation.borrow().objects.get(&key))
        });
    }

    fn put(&mut self, key: Name, value: Vec<u8>, ret: Ret<objects::WriteResult>) {
        if self.simulation.borrow().faults.objects_down {
            return self.fail_call(ret);
        }
        self.schedule_call(TABLE_LATENCY, false, ret, move |simulation| {
            simulation.borrow_mut().objects.put(&key, value);
            Ok(())
        });
    }

    fn delete(&mut self, key: Name, ret: Ret<objects::WriteResult>) {
        self.schedule_call(TABLE_LATENCY, false, ret, move |simulation| {
            simulation.borrow_mut().objects.delete(&key);
            Ok(())
        });
    }
}

impl border::Workers for Fakes {
    fn start(&mut self, worker: Name, start: StartRequest, ret: Ret<workers::CommandResult>) {
        if self.is_silent(&worker) {
            return self.fail_call(ret);
        }
        let is_lost = {
            let mut simulation = self.simulation.borrow_mut();
            let share = simulation.faults.lose_starts;
            simulation.draw(share)
        };
        let latency = WORKER_LATENCY + self.simulation.borrow().faults.start_delay;
        self.schedule_call(latency, is_lost, ret, move |simulation| {
            let now = simulation.borrow().now;
            simulation.borrow_mut().workers.start(&worker, start, now).or_else(refused)
        });
    }

    fn renew(&mut self, worker: Name, renew: RenewRequest, ret: Ret<workers::RenewResult>) {
        if self.is_silent(&worker) {
            return self.fail_call(ret);
        }
        self.schedule_call(WORKER_LATENCY, false, ret, move |simulation| {
            let now = simulation.borrow().now;
            simulation.borrow_mut().workers.renew(&worker, &renew, now).or_else(refused)
        });
    }

    fn stop(&mut self, worker: Name, stop: StopRequest, ret: Ret<workers::CommandResult>) {
        if self.is_silent(&worker) {
            return self.fail_call(ret);
        }
        self.schedule_call(WORKER_LATENCY, false, ret, move |simulation| {
            let now = simulation.borrow().now;
            simulation.borrow_mut().workers.stop(&worker, &stop, now).or_else(refused)
        });
    }

    fn throttle(
        &mut self,
        worker: Name,
        throttle: ThrottleRequest,
        ret: Ret<workers::CommandResult>,
    ) {
        self.schedule_call(WORKER_LATENCY, false, ret, move |simulation| {
            simulation.borrow_mut().workers.throttle(&worker, &throttle).or_else(refused)
        });
    }
}

impl border::Executors for Fakes {
    fn call(&mut self, call: Call, ret: Ret<executors::CallResult>) {
        let payload = String::from_utf8_lossy(&call.payload).into_owned();
        let work = standin::work::parse(&payload);
        let length = work.length.unwrap_or_default();
        let has_begun = {
            let mut simulation = self.simulation.borrow_mut();
            simulation.executors.begin(&call.executor, &call.request, work.is_once)
        };
        if !has_begun {
            let text = "the executor does not exist".to_owned();
            return self.schedule_call(WORKER_LATENCY, false, ret, move |_| refused(text));
        }
        self.schedule_call(WORKER_LATENCY + length, false, ret, move |simulation| {
            simulation.borrow_mut().executors.end(&call.executor);
            let body = format!("result of {}", call.request).into_bytes();
            Ok(executors::Reply { is_ok: !work.fails, body, sent_at_us: 0 })
        });
    }
}

impl border::VmList for Fakes {
    fn read(&mut self, ret: Ret<fleet::ListResult>) {
        self.schedule_call(TABLE_LATENCY, false, ret, move |simulation| {
            Ok(simulation.borrow().workers.vms())
        });
    }
}

impl Mesh for Fakes {
    fn send(&mut self, to: &Name, frame: &Frame) -> bool {
        let mut simulation = self.simulation.borrow_mut();
        let Some(other) = simulation.names.iter().position(|name| name == to) else {
            return false;
        };
        let link = link_between(self.index, other);
        if !simulation.connected.contains(&link) {
            return false;
        }
        if simulation.faults.cut_links.contains(&link) {
            return true;
        }
        let from = simulation.names[self.index].clone();
        simulation.send_input(other, LINK_LATENCY, Input::Frame(from, frame.clone()));
        true
    }

    fn set_peers(&mut self, peers: Vec<Peer>) {
        let mut simulation = self.simulation.borrow_mut();
        for peer in peers {
            if let Some(other) = simulation.names.iter().position(|name| *name == peer.name) {
                simulation.connect(link_between(self.index, other));
            }
        }
    }

    fn is_connected(&self, peer: &str) -> bool {
        let simulation = self.simulation.borrow();
        let other = simulation.names.iter().position(|name| **name == *peer);
        other.is_some_and(|other| simulation.connected.contains(&link_between(self.index, other)))
    }

    fn byte_counts(&self) -> (u64, u64) {
        (0, 0)
    }
}

impl Front for Fakes {
    fn answer(&mut self, token: Token, answer: Answer) {
        let mut simulation = self.simulation.borrow_mut();
        if simulation.answers.insert(token, answer).is_some() {
            simulation.answered_twice += 1;
        }
    }

    fn close_connections(&mut self) {}
}
