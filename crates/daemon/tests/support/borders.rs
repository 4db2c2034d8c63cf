//! The fakes at one daemon's borders.

use std::rc::Rc;
use std::time::Duration;

use border::executors::Call;
use border::table::{Committed, Query, Rows, Transaction};
use border::workers::{Renew, Start, Stop, Throttle};
use border::{Error, executors, fleet, objects, workers};
use bronzeraild::front::{Answer, Front, Token};
use bronzeraild::mesh::{Input, Mesh, Peer};
use bronzeraild::node::Borders;
use common::Name;
use stakker::{Ret, ret};
use wire::Frame;

use super::{Shared, pair};

const TABLE_TIME: Duration = Duration::from_millis(5);
const WORKER_TIME: Duration = Duration::from_millis(5);
const LINK_TIME: Duration = Duration::from_millis(5);
const TIMEOUT: Duration = Duration::from_millis(1500);

#[derive(Clone)]
struct Border {
    world: Shared,
    index: usize,
}

pub fn all(world: &Shared, index: usize) -> Borders {
    let border = Border { world: Rc::clone(world), index };
    Borders {
        table: Box::new(border.clone()),
        objects: Box::new(border.clone()),
        workers: Box::new(border.clone()),
        executors: Box::new(border.clone()),
        fleet: Box::new(border.clone()),
        mesh: Box::new(border.clone()),
        front: Box::new(border),
    }
}

fn lost<T>() -> Result<T, Error> {
    Err(Error::Lost { text: "fault".to_owned() })
}

fn refused<T>(text: String) -> Result<T, Error> {
    Err(Error::Refused { text })
}

impl Border {
    /// Lets a call take effect after a while and its answer arrive a while later.
    fn exchange<T: 'static>(
        &self,
        there: Duration,
        is_lost: bool,
        ret: Ret<Result<T, Error>>,
        effect: impl FnOnce(&Shared) -> Result<T, Error> + 'static,
    ) {
        let index = self.index;
        let life = self.world.borrow().lives[index];
        self.world.borrow_mut().after(there, None, move |world| {
            let answer = effect(world);
            let (answer, back) = if is_lost { (lost(), TIMEOUT) } else { (answer, there) };
            if world.borrow().lives[index] == life {
                world.borrow_mut().after(back, Some(index), move |_| ret!([ret], answer));
            }
        });
    }

    /// Fails a call without any effect.
    fn fail<T: 'static>(&self, ret: Ret<Result<T, Error>>) {
        let mut world = self.world.borrow_mut();
        world.after(TIMEOUT, Some(self.index), move |_| ret!([ret], lost()));
    }

    fn is_table_down(&self) -> bool {
        let world = self.world.borrow();
        world.faults.table_down || world.faults.table_down_for.contains(&self.index)
    }

    fn table_time(&self) -> Duration {
        TABLE_TIME + self.world.borrow().faults.table_delay
    }

    fn is_silent(&self, worker: &Name) -> bool {
        self.world.borrow().faults.silent_workers.contains(worker)
    }
}

impl border::Table for Border {
    fn read(&mut self, query: Query, ret: Ret<Rows>) {
        if self.is_table_down() {
            return self.fail(ret);
        }
        self.exchange(self.table_time(), false, ret, move |world| {
            Ok(world.borrow_mut().table.read(&query))
        });
    }

    fn commit(&mut self, transaction: Transaction, ret: Ret<Committed>) {
        if self.is_table_down() {
            return self.fail(ret);
        }
        let is_lost = {
            let mut world = self.world.borrow_mut();
            let share = world.faults.lose_commits;
            world.chance(share)
        };
        self.exchange(self.table_time(), is_lost, ret, move |world| {
            Ok(world.borrow_mut().table.commit(transaction))
        });
    }
}

impl border::Objects for Border {
    fn get(&mut self, key: Name, ret: Ret<objects::Object>) {
        if self.world.borrow().faults.objects_down {
            return self.fail(ret);
        }
        self.exchange(TABLE_TIME, false, ret, move |world| Ok(world.borrow().objects.get(&key)));
    }

    fn put(&mut self, key: Name, value: Vec<u8>, ret: Ret<objects::Done>) {
        if self.world.borrow().faults.objects_down {
            return self.fail(ret);
        }
        self.exchange(TABLE_TIME, false, ret, move |world| {
            world.borrow_mut().objects.put(&key, value);
            Ok(())
        });
    }

    fn delete(&mut self, key: Name, ret: Ret<objects::Done>) {
        self.exchange(TABLE_TIME, false, ret, move |world| {
            world.borrow_mut().objects.delete(&key);
            Ok(())
        });
    }
}

impl border::Workers for Border {
    fn start(&mut self, worker: Name, start: Start, ret: Ret<workers::Done>) {
        if self.is_silent(&worker) {
            return self.fail(ret);
        }
        let is_lost = {
            let mut world = self.world.borrow_mut();
            let share = world.faults.lose_starts;
            world.chance(share)
        };
        let there = WORKER_TIME + self.world.borrow().faults.start_delay;
        self.exchange(there, is_lost, ret, move |world| {
            let now = world.borrow().now;
            world.borrow_mut().workers.start(&worker, start, now).or_else(refused)
        });
    }

    fn renew(&mut self, worker: Name, renew: Renew, ret: Ret<workers::Tasks>) {
        if self.is_silent(&worker) {
            return self.fail(ret);
        }
        self.exchange(WORKER_TIME, false, ret, move |world| {
            let now = world.borrow().now;
            world.borrow_mut().workers.renew(&worker, &renew, now).or_else(refused)
        });
    }

    fn stop(&mut self, worker: Name, stop: Stop, ret: Ret<workers::Done>) {
        if self.is_silent(&worker) {
            return self.fail(ret);
        }
        self.exchange(WORKER_TIME, false, ret, move |world| {
            let now = world.borrow().now;
            world.borrow_mut().workers.stop(&worker, &stop, now).or_else(refused)
        });
    }

    fn throttle(&mut self, worker: Name, throttle: Throttle, ret: Ret<workers::Done>) {
        self.exchange(WORKER_TIME, false, ret, move |world| {
            world.borrow_mut().workers.throttle(&worker, &throttle).or_else(refused)
        });
    }
}

impl border::Executors for Border {
    fn call(&mut self, call: Call, ret: Ret<executors::Answer>) {
        let payload = String::from_utf8_lossy(&call.payload).into_owned();
        let work = standin::work::parse(&payload);
        let length = work.length.unwrap_or_default();
        let begun = {
            let mut world = self.world.borrow_mut();
            world.executors.begin(&call.executor, &call.request, work.is_once)
        };
        if !begun {
            let text = "no such executor".to_owned();
            return self.exchange(WORKER_TIME, false, ret, move |_| refused(text));
        }
        self.exchange(WORKER_TIME + length, false, ret, move |world| {
            world.borrow_mut().executors.end(&call.executor);
            let body = format!("result of {}", call.request).into_bytes();
            Ok(executors::Reply { is_ok: !work.fails, body, asked_us: 0 })
        });
    }
}

impl border::Fleet for Border {
    fn list(&mut self, ret: Ret<fleet::Vms>) {
        self.exchange(TABLE_TIME, false, ret, move |world| Ok(world.borrow().workers.vms()));
    }
}

impl Mesh for Border {
    fn send(&mut self, to: &Name, frame: &Frame) -> bool {
        let mut world = self.world.borrow_mut();
        let Some(other) = world.names.iter().position(|name| name == to) else {
            return false;
        };
        let link = pair(self.index, other);
        if !world.up.contains(&link) {
            return false;
        }
        if world.faults.cuts.contains(&link) {
            return true;
        }
        let from = world.names[self.index].clone();
        world.input(other, LINK_TIME, Input::Frame(from, frame.clone()));
        true
    }

    fn set_peers(&mut self, peers: Vec<Peer>) {
        let mut world = self.world.borrow_mut();
        for peer in peers {
            if let Some(other) = world.names.iter().position(|name| *name == peer.name) {
                world.link_up(pair(self.index, other));
            }
        }
    }

    fn is_connected(&self, peer: &str) -> bool {
        let world = self.world.borrow();
        let other = world.names.iter().position(|name| **name == *peer);
        other.is_some_and(|other| world.up.contains(&pair(self.index, other)))
    }

    fn bytes(&self) -> (u64, u64) {
        (0, 0)
    }
}

impl Front for Border {
    fn answer(&mut self, token: Token, answer: Answer) {
        let mut world = self.world.borrow_mut();
        if world.answers.insert(token, answer).is_some() {
            world.answered_twice += 1;
        }
    }

    fn close_connections(&mut self) {}
}
