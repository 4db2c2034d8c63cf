//! Reservations, room for urgent work, and what the peers are told of both.

use std::time::{Duration, Instant};

use border::workers::{Run, Stop};
use common::{Kind, Name};
use policy::rack::{Demand, Refusal};
use settings::quantity::Size;

use super::{Allocator, Candidate, Order, Phase, Preemption, TrackedAttempt};
use crate::node::digests;
use crate::node::shared::Shared;

/// How long a reservation stands unused.
const RESERVATION_TTL: Duration = Duration::from_secs(5);

/// Longest time between two digests of a rack that does not change.
const MAX_DIGEST_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes of a digest that has not been told yet.
const DEFAULT_DIGEST_BYTES: usize = 80;

/// How long room that was made is kept for urgent work.
const PREEMPTED_HOLD: Duration = Duration::from_secs(3);

/// Between two rounds of stopping tasks for urgent work.
const PREEMPT_INTERVAL: Duration = Duration::from_millis(500);

impl Allocator {
    /// Sets room aside.
    pub fn reserve(&mut self, shared: &Shared, reserve: &wire::Reserve) -> wire::Grant {
        if self.is_closing {
            return self.refuse(Kind::NoOwner, "the rack moves to another daemon");
        }
        let fence = self.fences.get(&reserve.partition).copied().unwrap_or(0);
        if reserve.partition_epoch < fence {
            return self.refuse(Kind::NoOwner, "the partition has a newer owner");
        }
        let size =
            Size { cpu: reserve.cpu, memory: reserve.memory, accelerators: reserve.accelerators };
        let avoid: Vec<Name> = reserve.avoid.iter().map(|name| Name::new(name)).collect();
        let expires = shared.now + RESERVATION_TTL;
        let demand = Demand {
            size,
            count: reserve.count.max(1) as usize,
            avoid: &avoid,
            is_urgent: reserve.is_urgent,
        };
        match self.rack.reserve(&demand, shared.now, expires) {
            Ok(places) => wire::Grant {
                rack_epoch: self.claim.epoch,
                places: places.into_iter().map(to_place).collect(),
                digest: Some(self.digest(shared)),
                ..Default::default()
            },
            Err(refusal) => {
                if reserve.is_urgent && matches!(refusal, Refusal::Full(_)) {
                    self.preempt(shared, &size);
                }
                let mut grant = self.refuse(Kind::Overloaded, &describe(&refusal));
                grant.digest = Some(self.digest(shared));
                grant
            }
        }
    }

    /// Stops tasks that may yield, on the worker where that loses the least work.
    pub(super) fn preempt(&mut self, shared: &Shared, size: &Size) {
        if self.preempted_at.is_some_and(|at| shared.now < at + PREEMPT_INTERVAL) {
            return;
        }
        let candidates: Vec<Candidate> = self.runs.iter().filter_map(candidate).collect();
        let victims = policy::yielding::victims(&self.rack, &candidates, size);
        if victims.is_empty() {
            return;
        }
        self.preempted_at = Some(shared.now);
        for run in victims {
            if let Some(tracked) = self.runs.get_mut(&run) {
                tracked.preemption = Preemption::Ordered;
                self.rack.hold(&tracked.worker, shared.now + PREEMPTED_HOLD);
                let order = Stop { run, fence: self.claim.epoch, checkpoint: true };
                self.orders.push(Order::Stop(tracked.worker.clone(), order));
            }
        }
    }

    /// Looks at a worker soon, after an order that changed its tasks.
    pub fn look_soon(&mut self, worker: &str, now: Instant) {
        if let Some(renewal) = self.renewal_states.get_mut(worker) {
            renewal.next_at = now;
        }
    }

    pub(super) fn refuse(&self, kind: Kind, text: &str) -> wire::Grant {
        wire::Grant {
            code: kind.code(),
            text: text.to_owned(),
            rack_epoch: self.claim.epoch,
            ..Default::default()
        }
    }

    /// Gives reservations back.
    pub fn release(&mut self, reservations: &[u64]) {
        for number in reservations {
            self.rack.release(*number);
        }
    }

    pub(super) fn digest(&mut self, shared: &Shared) -> wire::Digest {
        self.sequence += 1;
        digests::digest(&self.name, self.claim.epoch, self.sequence, &self.rack, shared.now)
    }

    /// A digest, where it differs from the last one or that one is old.
    ///
    /// Homes take what they send off the digest, so even an unchanged one must be told
    /// again for their figures to recover.
    pub fn news(&mut self, shared: &Shared) -> Option<wire::Digest> {
        let mut digest = self.digest(shared);
        if self.is_closing {
            digest =
                wire::Digest { cpu: 0, memory: 0, accelerators: 0, slots: Vec::new(), ..digest };
        }
        let is_same = self.sent_digest.as_ref().is_some_and(|sent| {
            wire::Digest { sequence: sent.sequence, ..digest.clone() } == *sent
        });
        if is_same && shared.now < self.digest_sent_at + MAX_DIGEST_INTERVAL {
            return None;
        }
        self.digest_sent_at = shared.now;
        self.sent_digest = Some(digest.clone());
        Some(digest)
    }

    /// Bytes of the digest last told, or a guess before the first.
    pub fn digest_bytes(&self) -> usize {
        use wire::Message;
        self.sent_digest.as_ref().map_or(DEFAULT_DIGEST_BYTES, Message::encoded_len)
    }

    /// The digest last told, for a peer that has just connected.
    pub fn told(&self) -> Option<wire::Digest> {
        self.sent_digest.clone()
    }
}

/// An attempt that may be stopped for urgent work.
fn candidate((run, tracked): (&Run, &TrackedAttempt)) -> Option<Candidate> {
    let is_running = matches!(tracked.phase, Phase::Running { .. });
    let is_candidate = is_running && tracked.preemption == Preemption::Allowed;
    is_candidate.then(|| Candidate {
        run: run.clone(),
        worker: tracked.worker.clone(),
        size: tracked.size,
        lost_ms: tracked.cpu_ms,
    })
}

fn describe(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Full(dimension) => format!("not enough free {dimension}"),
        Refusal::Withheld => {
            "room is there, on workers that are unknown, leaving, quarantined or avoided".to_owned()
        }
        Refusal::Impossible(dimension) => format!("no worker has so much {dimension}"),
        Refusal::NoSlot => "no free slot".to_owned(),
    }
}

fn to_place(place: policy::rack::Place) -> wire::Place {
    wire::Place { reservation: place.reservation, worker: place.worker.to_string() }
}
