//! Placement of waiting tasks: reservations on racks, and starts.
//!
//! A request's tasks that still need a place are reserved on up to [`MAX_RACKS_TRIED`] racks.
//! Once all of them have a place, the attempts are recorded, and the starts follow when the
//! record is durable. Otherwise the reservations are released and the request backs off.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use common::Name;
use jiff::Timestamp;
use journal::event::{AttemptPlacement, Event, RequestKey};
use journal::request_table::{Request, State, Task};
use settings::Rules;
use settings::rules::{Class, Mode};
use wire::Body;

use super::{AttemptEnd, FollowUp, GrantedPlace, Home, Progress, to_wire};
use crate::node::action::{Action, Waiter};
use crate::node::call::Purpose;
use crate::node::shared::Shared;

/// Maximum number of requests of one home that reserve at the same time.
const MAX_RESERVING: usize = 32;

/// Maximum number of waiting requests considered in one pass over the queue.
const MAX_SCANNED: usize = 256;

/// Base of the exponential backoff after a refusal; its maximum for urgent requests.
const BACKOFF_BASE: Duration = Duration::from_millis(250);

/// Maximum backoff after repeated refusals.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Maximum number of racks asked for one request before it backs off.
const MAX_RACKS_TRIED: usize = 4;

impl Home {
    /// Places the waiting requests that are ready, in the order of the queue policy.
    pub(super) fn place_waiting(&mut self, shared: &mut Shared) {
        if self.waiting.is_empty() || !shared.versions.is_complete() {
            return;
        }
        let wall_ms = shared.wall_ms();
        let scanned = self.waiting.iter().take(MAX_SCANNED);
        let mut ready: Vec<(policy::order::QueuedRequest, RequestKey)> = Vec::new();
        for (_, _, key) in scanned {
            if self.is_ready(key, shared.now)
                && let Some(request) = self.request_table.get(key)
            {
                ready.push((candidate(request, shared), key.clone()));
            }
        }
        ready
            .sort_by(|(left, _), (right, _)| policy::order::compare_priority(left, right, wall_ms));
        for (_, key) in ready {
            if self.reserving >= MAX_RESERVING {
                break;
            }
            self.place(shared, &key);
        }
    }

    /// Whether a request can be placed now: nothing pending, reserving, cancelled or delayed.
    pub(super) fn is_ready(&self, key: &RequestKey, now: Instant) -> bool {
        self.progress.get(key).is_some_and(|progress| {
            progress.pending == 0
                && !progress.is_reserving
                && !progress.wants_cancel
                && progress.retry_at.is_none_or(|at| at <= now)
        })
    }

    /// Starts the placement of a request's waiting tasks if the rules allow it.
    pub(super) fn place(&mut self, shared: &mut Shared, key: &RequestKey) {
        let Some(request) = self.open_request(key) else { return };
        if let Err(reason) = check_start_allowed(request, shared) {
            return self.back_off(shared, key, reason);
        }
        if request.terms.mode == Mode::Quick {
            return self.place_quick(shared, key);
        }
        self.reserve_next(shared, key);
    }

    /// Asks the next suitable rack to reserve places for the unplaced tasks.
    pub(super) fn reserve_next(&mut self, shared: &mut Shared, key: &RequestKey) {
        let Some(request) = self.request_table.get(key) else { return };
        let Some(progress) = self.progress.get_mut(key) else { return };
        let unplaced = unplaced_tasks(request, &progress.grants);
        let size = request.terms.size;
        let mut tried_racks = progress.tried_racks.clone();
        if request.terms.mode == Mode::Service {
            tried_racks.extend(crowded_racks(request, shared, &tried_racks));
        }
        let rack = if progress.tried_racks.len() >= MAX_RACKS_TRIED {
            None
        } else {
            let free = shared.digests.choose(&size, &tried_racks, &mut shared.random);
            // A full rack may preempt tasks for urgent work.
            let is_urgent = request.terms.class == Class::Urgent;
            free.or_else(|| {
                is_urgent
                    .then(|| shared.digests.choose_any(&tried_racks, &mut shared.random))
                    .flatten()
            })
        };
        let Some(rack) = rack else {
            return self.release_and_back_off(shared, key);
        };
        let avoid = request.tasks[unplaced[0] as usize].failed_on.iter();
        let reserve = wire::Reserve {
            key: Some(to_wire(key)),
            rack: rack.to_string(),
            cpu: size.cpu,
            memory: size.memory,
            accelerators: size.accelerators,
            count: unplaced.len() as u32,
            partition_epoch: self.claim.epoch,
            partition: self.partition,
            avoid: avoid.map(ToString::to_string).collect(),
            task: unplaced[0],
            is_urgent: request.terms.class == Class::Urgent,
        };
        if !progress.is_reserving {
            progress.is_reserving = true;
            self.reserving += 1;
        }
        progress.tried_racks.push(rack.clone());
        let purpose =
            Purpose::Reserve { partition: self.partition, key: key.clone(), rack: rack.clone() };
        self.actions.push(Action::CallRack(rack, Body::Reserve(reserve), purpose));
    }

    /// Handles a rack's reply to a reservation; `None` if the reply was lost.
    pub fn handle_grant(
        &mut self,
        shared: &mut Shared,
        key: &RequestKey,
        rack: &Name,
        grant: Option<wire::Grant>,
    ) {
        let is_expected = self.progress.get(key).is_some_and(|progress| progress.is_reserving);
        if !is_expected {
            if let Some(grant) = grant {
                self.release(rack, grant.places.iter().map(|place| place.reservation).collect());
            }
            return;
        }
        let (Some(request), Some(progress)) =
            (self.request_table.get(key), self.progress.get_mut(key))
        else {
            return;
        };
        if let Some(grant) = grant {
            let unplaced = unplaced_tasks(request, &progress.grants);
            if !grant.text.is_empty() {
                progress.reason = format!("rack {rack}: {}", grant.text);
            }
            for (task, place) in unplaced.into_iter().zip(grant.places) {
                progress.grants.push(GrantedPlace {
                    task,
                    rack: rack.clone(),
                    epoch: grant.rack_epoch,
                    reservation: place.reservation,
                    worker: Name::from(place.worker),
                });
            }
        }
        let is_open = request.answer.is_none() && !progress.wants_cancel;
        if !is_open {
            self.stop_reserving(key);
        } else if unplaced_tasks(request, &progress.grants).is_empty() {
            self.record_start(shared, key);
        } else {
            self.reserve_next(shared, key);
        }
    }

    /// Records the attempts on all granted places; the starts follow once that is durable.
    pub(super) fn record_start(&mut self, shared: &Shared, key: &RequestKey) {
        let (Some(request), Some(progress)) =
            (self.request_table.get(key), self.progress.get_mut(key))
        else {
            return;
        };
        let place = |grant: &GrantedPlace| AttemptPlacement {
            task: grant.task,
            attempt: request.tasks[grant.task as usize].attempts + 1,
            rack: grant.rack.clone(),
            worker: grant.worker.clone(),
            rack_epoch: grant.epoch,
        };
        let places: Vec<AttemptPlacement> = progress.grants.iter().map(place).collect();
        progress.is_reserving = false;
        progress.tried_racks.clear();
        progress.refusals = 0;
        progress.placed_us = shared.wall_us;
        self.reserving = self.reserving.saturating_sub(1);
        let event = Event::Started { key: key.clone(), places: places.clone() };
        self.append(event, FollowUp::Started(places), None);
    }

    /// Releases the granted places and backs off.
    pub(super) fn release_and_back_off(&mut self, shared: &mut Shared, key: &RequestKey) {
        self.stop_reserving(key);
        let reason =
            self.progress.get(key).map(|progress| progress.reason.clone()).unwrap_or_default();
        let reason = if reason.is_empty() {
            "no rack reports enough free capacity".to_owned()
        } else {
            reason
        };
        self.back_off(shared, key, reason);
    }

    /// Ends the placement of a request and releases its granted places.
    pub(super) fn stop_reserving(&mut self, key: &RequestKey) {
        let Some(progress) = self.progress.get_mut(key) else { return };
        if progress.is_reserving {
            progress.is_reserving = false;
            self.reserving = self.reserving.saturating_sub(1);
        }
        progress.tried_racks.clear();
        let grants = std::mem::take(&mut progress.grants);
        for grant in grants {
            self.release(&grant.rack, vec![grant.reservation]);
        }
    }

    /// Releases reservations on a rack; does nothing if there are none.
    pub(super) fn release(&mut self, rack: &Name, reservations: Vec<u64>) {
        if reservations.is_empty() {
            return;
        }
        let release = wire::Release { rack: rack.to_string(), reservations };
        self.actions.push(Action::NotifyRack(rack.clone(), Body::Release(release)));
    }

    /// Delays the next placement of a request, by exponential backoff with jitter.
    pub(super) fn back_off(&mut self, shared: &mut Shared, key: &RequestKey, reason: String) {
        use rand::RngExt;
        let Some(progress) = self.progress.get_mut(key) else { return };
        progress.refusals += 1;
        let is_urgent =
            self.request_table.get(key).is_some_and(|request| request.terms.class == Class::Urgent);
        let max_delay = if is_urgent { BACKOFF_BASE } else { BACKOFF_MAX };
        let delay = BACKOFF_BASE.saturating_mul(1 << progress.refusals.min(4)).min(max_delay);
        let jitter = shared.random.random_range(0.5..1.0);
        progress.retry_at = Some(shared.now + delay.mul_f64(jitter));
        progress.reason = reason;
    }

    /// Sends the starts of attempts whose record is durable.
    pub(super) fn send_starts(
        &mut self,
        shared: &Shared,
        key: &RequestKey,
        places: &[AttemptPlacement],
    ) {
        let (Some(request), Some(progress)) =
            (self.request_table.get(key), self.progress.get_mut(key))
        else {
            return;
        };
        let grants = std::mem::take(&mut progress.grants);
        if request.terms.mode == Mode::Quick {
            let call = quick_call(key, request, progress, &places[0], shared);
            let purpose = Purpose::QuickOnce {
                partition: self.partition,
                key: key.clone(),
                attempt: places[0].attempt,
            };
            self.actions.push(Action::CallRack(places[0].rack.clone(), Body::Quick(call), purpose));
            return;
        }
        let spec = serde_json::to_vec(&request.spec).unwrap_or_default();
        let may_yield = is_preemptible(request, shared);
        for place in places {
            let grant = grants.iter().find(|grant| grant.task == place.task);
            let start = wire::Start {
                key: Some(to_wire(key)),
                rack: place.rack.to_string(),
                rack_epoch: place.rack_epoch,
                reservation: grant.map_or(0, |grant| grant.reservation),
                worker: place.worker.to_string(),
                task: place.task,
                attempt: place.attempt,
                spec: spec.clone(),
                partition: self.partition,
                partition_epoch: self.claim.epoch,
                trace: progress.trace.clone(),
                may_yield,
            };
            progress.confirmed.remove(&place.task);
            progress.stops_sent.remove(&place.task);
            progress.probed_at = Some(shared.now);
            let purpose = Purpose::Start {
                partition: self.partition,
                key: key.clone(),
                task: place.task,
                attempt: place.attempt,
            };
            self.actions.push(Action::CallRack(place.rack.clone(), Body::Start(start), purpose));
        }
    }

    /// Handles a rack owner's reply to a start; `None` if the reply was lost.
    pub fn handle_start_ack(
        &mut self,
        shared: &Shared,
        key: &RequestKey,
        task: u32,
        attempt: u32,
        ack: Option<wire::Ack>,
    ) {
        // After a lost reply, the next probe shows the state of the attempt.
        let Some(ack) = ack else { return };
        if ack.code == 0 {
            self.confirm(shared, key, task, attempt);
            return;
        }
        let reason = format!("start refused: {}", ack.text);
        self.retry_task(key, task, attempt, AttemptEnd::NotSent, reason, None);
    }

    /// Notes that the current owner of the rack has the attempt.
    pub(super) fn confirm(&mut self, shared: &Shared, key: &RequestKey, task: u32, attempt: u32) {
        let place = self.current_place(key, task, attempt).cloned();
        if let (Some(place), Some(progress)) = (place, self.progress.get_mut(key)) {
            let epoch = shared.rack_epoch(&place.rack).unwrap_or(place.rack_epoch);
            progress.confirmed.insert(task, epoch);
        }
    }

    /// Place of an attempt; `None` unless it is its task's current attempt.
    pub(super) fn current_place(
        &self,
        key: &RequestKey,
        task: u32,
        attempt: u32,
    ) -> Option<&AttemptPlacement> {
        let request = self.open_request(key)?;
        let place = request.tasks.get(task as usize)?.place()?;
        (place.attempt == attempt).then_some(place)
    }

    /// Records that an attempt ended and its task waits again.
    pub(super) fn retry_task(
        &mut self,
        key: &RequestKey,
        task: u32,
        attempt: u32,
        end: AttemptEnd,
        reason: String,
        ack: Option<Waiter>,
    ) {
        if self.current_place(key, task, attempt).is_none() {
            return;
        }
        if let Some(progress) = self.progress.get_mut(key) {
            progress.confirmed.remove(&task);
            progress.reason.clone_from(&reason);
        }
        let event = Event::Requeued {
            key: key.clone(),
            task,
            attempt,
            may_have_run: end != AttemptEnd::NotSent,
            has_yielded: end == AttemptEnd::Preempted,
            reason,
        };
        self.append(event, FollowUp::Retry, ack);
    }

    /// Records the attempt of a quick request on a rack with a free slot.
    pub(super) fn place_quick(&mut self, shared: &mut Shared, key: &RequestKey) {
        let Some(request) = self.request_table.get(key) else { return };
        let kind = shared.versions.rules.kinds.get(&request.spec.kind);
        let service = kind.and_then(|kind| kind.service.clone()).unwrap_or_default();
        let rack = shared.digests.choose_slot(&service, &[], &mut shared.random);
        let epoch = rack.as_ref().and_then(|rack| shared.rack_epoch(rack));
        let (Some(rack), Some(epoch)) = (rack, epoch) else {
            return self.back_off(shared, key, format!("no executor of {service} has a free slot"));
        };
        let attempt = request.tasks[0].attempts + 1;
        let place =
            AttemptPlacement { task: 0, attempt, worker: rack.clone(), rack, rack_epoch: epoch };
        let event = Event::Started { key: key.clone(), places: vec![place.clone()] };
        self.append(event, FollowUp::Started(vec![place]), None);
    }
}

/// The earlier of start deadline and due time of the rules, in Unix milliseconds.
fn deadline_ms(request: &Request, rules: &Rules) -> Option<i64> {
    let kind = rules.kinds.get(&request.spec.kind);
    let admitted_at = Timestamp::from_millisecond(request.terms.admitted_ms).ok();
    let due = kind.zip(admitted_at).and_then(|(kind, admitted_at)| rules.due_at(kind, admitted_at));
    let due = due.map(Timestamp::as_millisecond);
    request.terms.start_by_ms.into_iter().chain(due).min()
}

/// Builds the input of the queue policy for a request.
pub(super) fn candidate(request: &Request, shared: &Shared) -> policy::order::QueuedRequest {
    let customer = &request.spec.customer;
    let weight = shared.versions.rules.customers.get(customer).map_or(1, |rules| rules.weight);
    let held = shared.usages.total(customer).size.cpu as f64;
    policy::order::QueuedRequest {
        class: request.terms.class,
        admitted_ms: request.terms.admitted_ms,
        start_by_ms: deadline_ms(request, &shared.versions.rules),
        share: held / settings::quantity::MILLIS_PER_CPU / f64::from(weight),
    }
}

/// Checks whether the rules allow a request's tasks to start now.
///
/// # Errors
///
/// Returns the rule that forbids the start.
pub(super) fn check_start_allowed(request: &Request, shared: &Shared) -> Result<(), String> {
    let rules = &shared.versions.rules;
    let Some(kind) = rules.kinds.get(&request.spec.kind) else {
        return Err(format!("the rules no longer have kind {}", request.spec.kind));
    };
    if !rules.is_window_open(kind, shared.wall()) {
        let name = kind.window.clone().unwrap_or_default();
        let next =
            rules.window(kind).and_then(|window| window.next_opening(&rules.clock, shared.wall()));
        let next = next.map(|at| rules.clock.to_local(at).to_string()).unwrap_or_default();
        return Err(format!("window {name} is closed; it opens at {next} local time"));
    }
    let customer = &request.spec.customer;
    let quota = rules.customers.get(customer).and_then(|customer| customer.quota);
    if let Some(quota) = quota {
        let held = shared.usages.total(customer).size.plus(&request.terms.size);
        if let Some(dimension) = held.first_exceeded(&quota) {
            return Err(format!("customer {customer} has reached its quota of {dimension}"));
        }
    }
    Ok(())
}

/// Whether a request's tasks may be preempted: patient, repeatable and able to checkpoint.
fn is_preemptible(request: &Request, shared: &Shared) -> bool {
    let kind = shared.versions.rules.kinds.get(&request.spec.kind);
    let can_checkpoint = kind.is_some_and(|kind| kind.can_checkpoint);
    can_checkpoint && request.terms.is_repeatable && request.terms.class == Class::Patient
}

/// Indexes of the tasks that need a place before the request's next start.
pub(super) fn unplaced_tasks(request: &Request, grants: &[GrantedPlace]) -> Vec<u32> {
    let waiting = request.tasks.iter().enumerate();
    let waiting = waiting.filter(|(_, task)| task.state == State::Waiting);
    let mut unplaced: Vec<u32> = waiting.map(|(index, _)| index as u32).collect();
    if request.terms.mode == Mode::Service {
        // The tasks of a service are placed one by one, so that they spread over domains.
        unplaced.truncate(1);
    }
    unplaced.retain(|task| grants.iter().all(|grant| grant.task != *task));
    unplaced
}

/// Untried racks outside the failure domains with the fewest tasks of the request.
pub(super) fn crowded_racks(request: &Request, shared: &Shared, tried_racks: &[Name]) -> Vec<Name> {
    let inventory = &shared.versions.inventory;
    let domain = |rack: &Name| inventory.racks.get(rack).map(|rack| rack.domain.clone());
    let mut load: HashMap<Name, usize> = HashMap::new();
    for name in request.tasks.iter().filter_map(Task::place).filter_map(|place| domain(&place.rack))
    {
        *load.entry(name).or_default() += 1;
    }
    let untried: Vec<&Name> =
        inventory.racks.keys().filter(|rack| !tried_racks.contains(rack)).collect();
    let load_of = |rack: &Name| domain(rack).and_then(|name| load.get(&name).copied()).unwrap_or(0);
    let least = untried.iter().map(|rack| load_of(rack)).min().unwrap_or(0);
    untried.into_iter().filter(|rack| load_of(rack) > least).cloned().collect()
}

/// Builds the call that runs a quick request on a rack.
pub(super) fn quick_call(
    key: &RequestKey,
    request: &Request,
    progress: &Progress,
    place: &AttemptPlacement,
    shared: &Shared,
) -> wire::Quick {
    let kind = shared.versions.rules.kinds.get(&request.spec.kind);
    let service = kind.and_then(|kind| kind.service.as_ref()).map(ToString::to_string);
    wire::Quick {
        key: Some(to_wire(key)),
        rack: place.rack.to_string(),
        service: service.unwrap_or_default(),
        body: request.spec.payload.clone().into_bytes(),
        remaining_ms: shared.config.bounds.max_wait.as_millis() as u64,
        trace: progress.trace.clone(),
    }
}
