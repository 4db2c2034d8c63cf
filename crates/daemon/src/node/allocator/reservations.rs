//! Reservations, preemption for urgent work, and the digests that tell peers the free capacity.

use std::time::{Duration, Instant};

use border::workers::{AttemptId, StopRequest};
use common::{ErrorKind, Name};
use policy::rack::{ReserveError, ReserveRequest};
use settings::quantity::Resources;

use super::{Allocator, Candidate, Phase, Preemption, TrackedAttempt, WorkerCall};
use crate::node::digests;
use crate::node::shared::Shared;

/// Time after which an unused reservation expires.
const RESERVATION_TTL: Duration = Duration::from_secs(5);

/// Maximum interval between digests of a rack that does not change.
const MAX_DIGEST_INTERVAL: Duration = Duration::from_secs(1);

/// Assumed size in bytes of the first digest, before one was sent.
const DEFAULT_DIGEST_BYTES: usize = 80;

/// How long a worker's free capacity is held for urgent work after a preemption.
const PREEMPTED_HOLD: Duration = Duration::from_secs(3);

/// Minimum interval between preemptions on one rack.
const PREEMPT_INTERVAL: Duration = Duration::from_millis(500);

impl Allocator {
    /// Reserves capacity for up to the requested number of tasks.
    ///
    /// If the rack is full, an urgent request is refused too, but tasks are preempted for it.
    pub fn reserve(&mut self, shared: &Shared, reserve: &wire::Reserve) -> wire::Grant {
        if self.is_handing_over {
            return self.refuse(ErrorKind::NoOwner, "the rack is moving to another daemon");
        }
        let fence = self.fences.get(&reserve.partition).copied().unwrap_or(0);
        if reserve.partition_epoch < fence {
            return self.refuse(ErrorKind::NoOwner, "the partition has a newer owner");
        }
        let size = Resources {
            cpu: reserve.cpu,
            memory: reserve.memory,
            accelerators: reserve.accelerators,
        };
        let avoid: Vec<Name> = reserve.avoid.iter().map(|name| Name::new(name)).collect();
        let expires = shared.now + RESERVATION_TTL;
        let demand = ReserveRequest {
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
                if reserve.is_urgent && matches!(refusal, ReserveError::Full(_)) {
                    self.preempt(shared, &size);
                }
                let mut grant = self.refuse(ErrorKind::Overloaded, &describe(&refusal));
                grant.digest = Some(self.digest(shared));
                grant
            }
        }
    }

    /// Preempts tasks on the worker where that loses the least work.
    pub(super) fn preempt(&mut self, shared: &Shared, size: &Resources) {
        if self.preempted_at.is_some_and(|at| shared.now < at + PREEMPT_INTERVAL) {
            return;
        }
        let candidates: Vec<Candidate> = self.runs.iter().filter_map(candidate).collect();
        let victims = policy::preemption::select_victims(&self.rack, &candidates, size);
        if victims.is_empty() {
            return;
        }
        self.preempted_at = Some(shared.now);
        for run in victims {
            if let Some(tracked) = self.runs.get_mut(&run) {
                tracked.preemption = Preemption::Ordered;
                self.rack.hold_for_urgent(&tracked.worker, shared.now + PREEMPTED_HOLD);
                let request = StopRequest { run, fence: self.claim.epoch, checkpoint: true };
                self.worker_calls.push(WorkerCall::Stop(tracked.worker.clone(), request));
            }
        }
    }

    /// Makes a worker's renewal due, to see the effect of a stop.
    pub fn renew_soon(&mut self, worker: &str, now: Instant) {
        if let Some(renewal) = self.renewal_states.get_mut(worker) {
            renewal.next_at = now;
        }
    }

    /// Builds the reply that refuses a reservation.
    pub(super) fn refuse(&self, kind: ErrorKind, text: &str) -> wire::Grant {
        wire::Grant {
            code: kind.code(),
            text: text.to_owned(),
            rack_epoch: self.claim.epoch,
            ..Default::default()
        }
    }

    /// Releases reservations; unknown ones are ignored.
    pub fn release(&mut self, reservations: &[u64]) {
        for number in reservations {
            self.rack.release(*number);
        }
    }

    /// Builds a digest with the next sequence number.
    pub(super) fn digest(&mut self, shared: &Shared) -> wire::Digest {
        self.sequence += 1;
        digests::build_digest(&self.name, self.claim.epoch, self.sequence, &self.rack, shared.now)
    }

    /// Digest to send now; `None` if it is unchanged and was sent recently.
    ///
    /// A home subtracts its own placements from the digest it has, so an unchanged digest
    /// must be sent again to correct the home's figures.
    pub fn take_due_digest(&mut self, shared: &Shared) -> Option<wire::Digest> {
        let mut digest = self.digest(shared);
        if self.is_handing_over {
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

    /// Size in bytes of the last sent digest; `DEFAULT_DIGEST_BYTES` before the first.
    pub fn last_digest_bytes(&self) -> usize {
        use wire::Message;
        self.sent_digest.as_ref().map_or(DEFAULT_DIGEST_BYTES, Message::encoded_len)
    }

    /// Last sent digest, for a peer that has just connected; `None` before the first.
    pub fn sent_digest(&self) -> Option<wire::Digest> {
        self.sent_digest.clone()
    }
}

/// The attempt as a candidate for preemption; `None` if it must not be preempted.
fn candidate((run, tracked): (&AttemptId, &TrackedAttempt)) -> Option<Candidate> {
    let is_running = matches!(tracked.phase, Phase::Running { .. });
    let is_candidate = is_running && tracked.preemption == Preemption::Allowed;
    is_candidate.then(|| Candidate {
        task: run.clone(),
        worker: tracked.worker.clone(),
        size: tracked.size,
        lost_cpu_ms: tracked.cpu_ms,
    })
}

/// Text that explains a refusal.
fn describe(refusal: &ReserveError) -> String {
    match refusal {
        ReserveError::Full(dimension) => format!("not enough free {dimension}"),
        ReserveError::Unavailable => {
            "capacity is free only on workers that are unknown, leaving, quarantined or avoided"
                .to_owned()
        }
        ReserveError::Infeasible(dimension) => format!("no worker has that much {dimension}"),
        ReserveError::NoSlot => "no free slot".to_owned(),
    }
}

/// Converts a reserved place to its protocol form.
fn to_place(place: policy::rack::Placement) -> wire::Place {
    wire::Place { reservation: place.reservation, worker: place.worker.to_string() }
}
