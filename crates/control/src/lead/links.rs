//! Workers' leases and lists.
//!
//! A lease ends at a time on the worker's clock, which may run slow. The leader keeps the
//! latest end that it sent and takes a lease for lapsed only when even the slowest clock
//! must have passed it.

use std::collections::HashMap;
use std::time::Duration;

use common::Name;
use scheduler::{How, Report};

use crate::action::Action;
use crate::event::{note, note_job};
use crate::input::RenewReply;
use crate::lead::{Leader, journal::Effect};
use crate::meter::{Count, Hop};
use crate::node::Port;

/// Length of a lease, below the platform's bound.
const LEASE: Duration = Duration::from_secs(4);

/// How long a worker may wait for an end before it answers a renewal.
const LONG_WAIT: Duration = Duration::from_secs(1);

/// Added to the wait before a renewal is given up.
const ANSWER_SLACK: Duration = Duration::from_millis(600);

/// Pause before a renewal that failed is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Longest wait for the acknowledgement of listed ends to become durable.
const SEEN_PATIENCE: Duration = Duration::from_millis(500);

/// Age of a worker's latest answer up to which it is taken to be in the same life.
///
/// Shorter than any task of a new life could take to end.
const SAME_LIFE: Duration = Duration::from_millis(100);

/// Slowest rate of a worker's clock.
const SLOWEST_CLOCK: f64 = 0.98;

/// Added to a lease's end before it counts as lapsed.
const LAPSE_MARGIN: Duration = Duration::from_millis(150);

/// Pause between renewals of a worker that holds nothing.
const IDLE_PAUSE: Duration = Duration::from_secs(5);

/// A worker's clock as last heard.
#[derive(Debug, Clone, Copy)]
struct Clock {
    clock_ms: u64,
    heard: Duration,
}

#[derive(Debug)]
struct Link {
    address: Name,
    born: u64,
    clock: Option<Clock>,
    /// The latest lease end that may be in force, by the worker's clock, in ms.
    lease_end: u64,
    /// Position to acknowledge with the next renewal; 0 for none.
    ///
    /// It is sent once only: a new life under the same id counts anew, and would forget
    /// ends that nobody has seen.
    ack: u64,
    /// Highest position that was listed and not acknowledged; 0 for none.
    listed: u64,
    call: Option<(u64, Duration)>,
    next_at: Duration,
    failures: u32,
    since: Duration,
}

/// The leader's dealings with each worker.
#[derive(Debug)]
pub(crate) struct Links {
    links: HashMap<Name, Link>,
    calls: HashMap<u64, Name>,
    began: Duration,
}

impl Links {
    /// No worker is known yet.
    pub fn new(began: Duration) -> Self {
        Self { links: HashMap::new(), calls: HashMap::new(), began }
    }

    /// Takes a worker's report.
    pub fn report(&mut self, port: &Port, report: &Report) {
        if let Some(link) = self.links.get_mut(&report.id) {
            if report.born >= link.born {
                link.address = report.address.clone();
            }
            return;
        }
        note!(port, WorkerListed, "worker" => %report.id, "born" => report.born,
            "cpu" => report.capacity.cpu, "mem" => report.capacity.mem);
        let link = Link::new(report.address.clone(), report.born, self.began, port.now);
        self.links.insert(report.id.clone(), link);
    }

    /// Forgets a worker.
    pub fn remove(&mut self, id: &str) {
        self.links.remove(id);
    }

    /// Where a worker takes orders.
    pub fn address(&self, id: &str) -> Option<Name> {
        self.links.get(id).map(|link| link.address.clone())
    }

    /// The end of a lease that begins now, noted as possibly in force.
    pub fn lease_end(&mut self, id: &str, now: Duration) -> Option<u64> {
        self.links.get_mut(id)?.lend(now)
    }

    /// Takes a worker's clock from an answer to an order.
    pub fn heard(&mut self, id: &str, clock_ms: u64, now: Duration) {
        if let Some(link) = self.links.get_mut(id)
            && clock_ms > 0
            && link.clock.is_some_and(|clock| clock_ms > clock.clock_ms)
        {
            link.clock = Some(Clock { clock_ms, heard: now });
        }
    }

    /// Ends up to a position are durable.
    pub fn acknowledge(&mut self, now: Duration, id: &str, born: u64, number: u64) {
        if let Some(link) = self.links.get_mut(id).filter(|link| link.born == born) {
            link.ack = link.ack.max(number);
            link.next_at = link.next_at.min(now);
        }
    }

    /// Has a worker's next renewal made at once.
    pub fn hasten(&mut self, id: &str, now: Duration) {
        if let Some(link) = self.links.get_mut(id) {
            link.next_at = link.next_at.min(now);
        }
    }
}

impl Clock {
    /// The latest reading that the clock may show.
    fn latest(&self, now: Duration) -> u64 {
        self.clock_ms + now.saturating_sub(self.heard).as_millis() as u64
    }

    /// The earliest reading that the clock may show.
    fn earliest(&self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.heard).mul_f64(SLOWEST_CLOCK);
        self.clock_ms + elapsed.as_millis() as u64
    }
}

impl Link {
    fn new(address: Name, born: u64, began: Duration, now: Duration) -> Self {
        Self {
            address,
            born,
            clock: None,
            lease_end: 0,
            ack: 0,
            listed: 0,
            call: None,
            next_at: now,
            failures: 0,
            since: began,
        }
    }

    /// The end of a lease that begins now, noted as possibly in force; none before the
    /// worker's clock is known.
    fn lend(&mut self, now: Duration) -> Option<u64> {
        let end = self.clock?.latest(now) + LEASE.as_millis() as u64;
        self.lease_end = self.lease_end.max(end);
        Some(end)
    }

    /// Whether everything that ran there has surely ended, if it was not heard since.
    fn is_lapsed(&self, now: Duration, max_lease: Duration) -> bool {
        let Some(clock) = self.clock else {
            let longest = max_lease.mul_f64(1.0 / SLOWEST_CLOCK) + LAPSE_MARGIN;
            return now >= self.since + longest;
        };
        clock.earliest(now) > self.lease_end + LAPSE_MARGIN.as_millis() as u64
    }
}

impl Leader {
    /// Renews the workers that need it, and writes off those whose leases lapsed.
    pub(super) fn renew_workers(&mut self, port: &mut Port) {
        let mut lapsed = Vec::new();
        for worker in self.scheduler.pool.iter() {
            let id = &worker.report.id;
            let began = self.links.began;
            let link = self.links.links.entry(id.clone()).or_insert_with(|| {
                Link::new(worker.report.address.clone(), worker.report.born, began, port.now)
            });
            let holds = !worker.assigned.is_empty();
            if holds && link.failures > 0 && link.is_lapsed(port.now, port.config.max_lease) {
                lapsed.push(id.clone());
                continue;
            }
            if link.call.is_some() || link.address.is_empty() {
                if holds
                    && link.address.is_empty()
                    && link.is_lapsed(port.now, port.config.max_lease)
                {
                    lapsed.push(id.clone());
                }
                continue;
            }
            let is_needed = !worker.is_fenced || holds || link.listed > 0;
            let is_due =
                port.now >= link.next_at && (is_needed || port.now >= link.next_at + IDLE_PAUSE);
            if !is_due {
                continue;
            }
            let is_same_life = link.clock.is_some_and(|clock| clock.heard + SAME_LIFE >= port.now);
            let ack = if is_same_life { std::mem::take(&mut link.ack) } else { 0 };
            let is_quiet = worker.is_fenced && link.failures == 0 && link.listed <= ack;
            let wait = if is_quiet && holds { LONG_WAIT } else { Duration::ZERO };
            // A silent worker's lease is left to lapse, so that its runs can be written off.
            let lease_end = if link.failures == 0 { link.lend(port.now) } else { None };
            let call = port.call();
            link.call = Some((call, port.now));
            self.links.calls.insert(call, id.clone());
            port.out.push(Action::Renew {
                call,
                worker: id.clone(),
                address: link.address.clone(),
                fence: self.epoch,
                lease_end,
                seen: ack,
                wait,
                timeout: wait + ANSWER_SLACK,
            });
        }
        for id in lapsed {
            note!(port, WorkerWrittenOff, "worker" => %id, "reason" => "lease lapsed");
            self.write_off(port, &id);
        }
    }

    /// Gives up all runs of a worker.
    pub(super) fn write_off(&mut self, port: &mut Port, id: &Name) {
        port.meter.count(Count::Workers, "written_off", 1);
        let store_ms = self.store_ms(port.now);
        self.scheduler.write_off(id, port.now, store_ms);
        if self.scheduler.pool.get(id).is_none() {
            self.links.remove(id);
        }
        self.is_changed = true;
    }

    /// Takes the answer to a renewal.
    pub(super) fn listed(&mut self, port: &mut Port, call: u64, reply: RenewReply) {
        let Some(id) = self.links.calls.remove(&call) else { return };
        let Some(link) = self.links.links.get_mut(&id) else { return };
        let Some((_, sent)) = link.call.take_if(|(own, _)| *own == call) else { return };
        match reply {
            RenewReply::Listed { clock_ms, listing } => {
                self.take_listing(port, &id, sent, clock_ms, &listing);
            }
            RenewReply::Fenced => {
                link.next_at = port.now + RETRY_PAUSE;
                self.journal.confirm();
            }
            RenewReply::OtherLife => {
                note!(port, WorkerWrittenOff, "worker" => %id, "reason" => "another life answers");
                self.scheduler.unlist(&id);
                self.write_off(port, &id);
            }
            RenewReply::Failed => {
                link.failures += 1;
                link.ack = 0;
                link.next_at = port.now + RETRY_PAUSE;
                if let Some(worker) = self.scheduler.pool.get_mut(&id)
                    && worker.is_reachable
                {
                    worker.is_reachable = false;
                    port.meter.count(Count::Workers, "lost", 1);
                    note!(port, WorkerLost, "worker" => %id, "holds" => worker.assigned.len());
                }
            }
        }
    }

    fn take_listing(
        &mut self,
        port: &mut Port,
        id: &Name,
        sent: Duration,
        clock_ms: u64,
        listing: &scheduler::Listing,
    ) {
        let Some(link) = self.links.links.get_mut(id) else { return };
        let now = port.now;
        let is_new_life = listing.born > link.born && link.born > 0 && link.clock.is_some();
        if is_new_life {
            note!(port, WorkerNewLife, "worker" => %id, "born" => listing.born);
            link.ack = 0;
            link.clock = None;
            link.lease_end = 0;
        }
        link.born = listing.born.max(link.born);
        if link.failures > 0 {
            note!(port, WorkerBack, "worker" => %id, "failures" => link.failures);
        }
        link.failures = 0;
        if link.clock.is_none() {
            link.lease_end = clock_ms + port.config.max_lease.as_millis() as u64;
        }
        if link.clock.is_none_or(|clock| clock_ms >= clock.clock_ms) {
            link.clock = Some(Clock { clock_ms, heard: now });
        }
        let born = link.born;
        let store_ms = self.store_ms(now);
        let number = self.scheduler.listing(id, listing, is_new_life, sent, now, store_ms);
        self.note_ends(port, id);
        let Some(link) = self.links.links.get_mut(id) else { return };
        link.next_at = now;
        link.listed = number;
        if number > 0 && number > link.ack {
            link.next_at = now + SEEN_PATIENCE;
            self.journal.enqueue(std::mem::take(&mut self.scheduler.dirty));
            self.journal.after(Effect::Seen { worker: id.clone(), born, number });
        }
    }

    fn note_ends(&mut self, port: &mut Port, worker: &Name) {
        for ended in std::mem::take(&mut self.scheduler.ended) {
            let how = word(ended.how);
            port.meter.count(Count::Ends, how, 1);
            if ended.how == How::Done {
                port.meter.time(Hop::Run, ended.ran);
            }
            let key = &ended.key;
            note_job!(port, &key.job, TaskEnded, "step" => key.step, "index" => key.index,
                "run" => ended.run, "worker" => %worker, "how" => how,
                "ran_ms" => ended.ran.as_millis() as u64, "epoch" => self.epoch);
        }
    }
}

fn word(how: How) -> &'static str {
    match how {
        How::Done => "done",
        How::Failed => "failed",
        How::Stopped => "stopped",
        How::Lapsed => "lapsed",
        How::Broken => "broken",
        How::Alone => "alone",
    }
}
