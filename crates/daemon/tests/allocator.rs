//! One allocator in isolation: which starts it accepts, and how it reports unknown attempts.

mod support;

use std::time::{Duration, Instant};

use border::Error;
use bronzeraild::node::allocator::{Allocator, WorkerCall};
use bronzeraild::node::claims::{Claim, Claims};
use bronzeraild::node::digests::Digests;
use bronzeraild::node::membership::{Member, Membership};
use bronzeraild::node::retries::Retries;
use bronzeraild::node::shared::Shared;
use bronzeraild::node::store::Store;
use bronzeraild::node::usage::Usages;
use bronzeraild::node::versions::Versions;
use common::Name;
use rand::SeedableRng;
use rand::rngs::StdRng;
use settings::Inventory;
use wire::AttemptStatus;

/// Rack of the allocator under test.
const RACK: &str = "bilbao-a-r1";

/// State of a daemon with the settings of the example `es-north` in force.
fn shared() -> Shared {
    let now = Instant::now();
    let config =
        settings::Daemon::parse(&support::example("daemon.jsonc")).expect("the file is valid");
    let inventory =
        Inventory::parse(&support::example("inventory.jsonc")).expect("the file is valid");
    let me = Member {
        name: config.member.clone(),
        incarnation: 1,
        domain: config.domain.clone(),
        peer_address: config.peer_address,
        http_address: config.http_address,
        beat: 0,
        is_leaving: false,
    };
    let mut versions = Versions::default();
    versions.inventory = inventory.into();
    Shared {
        membership: Membership::new(me, config.timing.member_lease, now),
        versions,
        digests: Digests::default(),
        claims: Claims::default(),
        usages: Usages::default(),
        store: Store::new(100, 100, now),
        retries: Retries::new(10),
        random: StdRng::seed_from_u64(1),
        now,
        wall_us: 1,
        is_outage_agreed: false,
        config,
    }
}

/// Allocator with the given epoch that knows the tasks of all its workers.
fn allocator(shared: &Shared, epoch: u64) -> Allocator {
    let mut allocator = Allocator::new(Name::new(RACK), Claim { epoch, version: epoch }, shared);
    let workers: Vec<Name> = allocator.rack.workers().cloned().collect();
    for worker in workers {
        allocator.rack.set_reconciled(&worker, true);
    }
    allocator
}

fn key() -> wire::Key {
    wire::Key { customer: "c".to_owned(), id: "i".to_owned() }
}

/// Reserves capacity for one task and returns the start that uses the reservation.
fn reserve(allocator: &mut Allocator, shared: &Shared, partition_epoch: u64) -> wire::Start {
    let reserve = wire::Reserve {
        key: Some(key()),
        rack: RACK.to_owned(),
        cpu: 1000,
        memory: 1024,
        count: 1,
        partition: 5,
        partition_epoch,
        ..Default::default()
    };
    let grant = allocator.reserve(shared, &reserve);
    wire::Start {
        key: Some(key()),
        rack: RACK.to_owned(),
        rack_epoch: grant.rack_epoch,
        reservation: grant.places[0].reservation,
        worker: grant.places[0].worker.clone(),
        attempt: 1,
        partition: 5,
        partition_epoch,
        ..Default::default()
    }
}

/// Probe for the attempt that [`reserve`] prepares.
fn probe(rack_epoch: u64, partition_epoch: u64) -> wire::Probe {
    wire::Probe {
        key: Some(key()),
        rack: RACK.to_owned(),
        worker: "es-north-w01".to_owned(),
        attempt: 1,
        partition: 5,
        partition_epoch,
        rack_epoch,
        ..Default::default()
    }
}

#[test]
fn reserve_before_first_list_refused() {
    let shared = shared();
    let claim = Claim { epoch: 1, version: 1 };
    let mut allocator = Allocator::new(Name::new(RACK), claim, &shared);
    let reserve = wire::Reserve { cpu: 1000, memory: 1024, count: 1, ..Default::default() };
    let grant = allocator.reserve(&shared, &reserve);
    assert!(grant.places.is_empty(), "a worker whose tasks are unknown must count as full");
    assert!(allocator.take_worker_calls().is_empty());
    allocator.tick(&shared);
    assert_eq!(allocator.take_worker_calls().len(), 6, "not every worker is asked for its tasks");
}

#[test]
fn start_of_earlier_epoch_refused() {
    let shared = shared();
    let old = reserve(&mut allocator(&shared, 1), &shared, 1);
    let mut allocator = allocator(&shared, 2);
    // The new epoch happens to grant the same reservation number on the same worker.
    let new = reserve(&mut allocator, &shared, 1);
    assert_eq!((old.reservation, &old.worker), (new.reservation, &new.worker));
    allocator.start(&shared, &old).expect_err("the reservation belongs to another epoch");
    assert!(allocator.take_worker_calls().is_empty());
}

#[test]
fn start_by_older_home_refused() {
    let shared = shared();
    let mut allocator = allocator(&shared, 1);
    let old = reserve(&mut allocator, &shared, 1);
    let report = allocator.probe(&shared, &probe(0, 2));
    assert_eq!(AttemptStatus::from_code(report.fate), AttemptStatus::Undetermined);
    allocator.start(&shared, &old).expect_err("a newer home has probed the attempt");
    assert!(allocator.take_worker_calls().is_empty());
}

#[test]
fn start_after_not_sent_refused() {
    let shared = shared();
    let mut allocator = allocator(&shared, 1);
    let late = reserve(&mut allocator, &shared, 1);
    let report = allocator.probe(&shared, &probe(1, 1));
    assert_eq!(AttemptStatus::from_code(report.fate), AttemptStatus::NotSent);
    allocator.start(&shared, &late).expect_err("the attempt was reported as not sent");
    assert!(allocator.take_worker_calls().is_empty());
}

#[test]
fn start_expired_refused() {
    let mut shared = shared();
    let mut allocator = allocator(&shared, 1);
    let late = reserve(&mut allocator, &shared, 1);
    shared.now += Duration::from_secs(6);
    allocator.tick(&shared);
    allocator.start(&shared, &late).expect_err("the reservation has expired");
}

#[test]
fn start_twice_one_call() {
    let shared = shared();
    let mut allocator = allocator(&shared, 1);
    let start = reserve(&mut allocator, &shared, 1);
    allocator.start(&shared, &start).expect("the start is valid");
    allocator.start(&shared, &start).expect("a repeated start is accepted");
    assert_eq!(allocator.take_worker_calls().len(), 1);
    let report = allocator.probe(&shared, &probe(1, 1));
    assert_eq!(AttemptStatus::from_code(report.fate), AttemptStatus::Running);
}

// Guards against a task that runs on two workers at a time: a daemon that has lost its rack to
// another one without knowing it renewed the leases of the rack's workers.
#[test]
fn owner_without_member_lease_extends_none() {
    for may_act in [true, false] {
        let mut shared = shared();
        shared.is_outage_agreed = may_act;
        let mut allocator = allocator(&shared, 1);
        allocator.tick(&shared);
        let extends =
            |call: &WorkerCall| matches!(call, WorkerCall::Renew(_, renew) if renew.lease_ms > 0);
        let calls = allocator.take_worker_calls();
        assert_eq!(calls.len(), 6);
        assert_eq!(calls.iter().any(extends), may_act);
    }
}

// Guards against the same fault by a start that is sent again.
#[test]
fn owner_without_member_lease_repeats_no_start() {
    for may_act in [true, false] {
        let mut shared = shared();
        shared.is_outage_agreed = may_act;
        let mut allocator = allocator(&shared, 1);
        let start = reserve(&mut allocator, &shared, 1);
        allocator.start(&shared, &start).expect("the start is valid");
        let calls = allocator.take_worker_calls();
        let [WorkerCall::Start(_, sent)] = &*calls else { panic!("{calls:?}") };
        let lost = Err(Error::NotSent { text: "refused".to_owned() });
        allocator.handle_start_result(&shared, &sent.run, lost);
        shared.now += Duration::from_secs(1);
        allocator.tick(&shared);
        let calls = allocator.take_worker_calls();
        let is_start = |call: &WorkerCall| matches!(call, WorkerCall::Start(..));
        assert_eq!(calls.iter().any(is_start), may_act);
    }
}
