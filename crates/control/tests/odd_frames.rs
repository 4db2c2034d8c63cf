//! Frames and head rows with random changes, as another version or a damaged row would give them.

mod support;

use std::time::Duration;

use control::{
    Advice, AdviceRequest, Announcement, Answer, Body, Frame, Head, Heartbeat, Hello, Members,
    Reply, Request, RequestLimits, Resignation, Ticket, Welcome,
};
use prost::Message;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use scheduler::JobState;
use support::{Simulation, job, step};

/// Changed frames of each kind.
const FRAMES_PER_KIND: u32 = 400;

/// Changed head rows.
const HEAD_ROWS: u32 = 60;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One frame of each kind.
fn valid_frames() -> Vec<Frame> {
    let epoch = 1;
    let address = || "a0".to_owned();
    let mut members = Members { bounds: Some(RequestLimits::default()), ..Members::default() };
    members.push("a0", control::Capacity { cpu_millis: 500, link_kbps: 10_000 });
    members.push("a1", control::Capacity { cpu_millis: 120, link_kbps: 10_000 });
    let submission = job("j9", vec![step(2, 500), step(1, 500)]);
    let ticket = Ticket { worker: "w0".to_owned(), ticket: "t".to_owned() };
    let bodies = [
        Body::Hello(Hello {
            member: "n1".to_owned(),
            epoch,
            address: address(),
            ..Hello::default()
        }),
        Body::Welcome(Welcome { epoch, is_serving: true, known_epoch: 1, known_leader: address() }),
        Body::Beat(Heartbeat { epoch, store_age_ms: 10, is_serving: true, ..Heartbeat::default() }),
        Body::Request(Request {
            id: 5,
            host: support::HOST.to_owned(),
            path: support::PREFIX.to_owned(),
            op: 1,
            submission: Some(Box::new(submission)),
            ..Request::default()
        }),
        Body::Reply(Reply { id: 5, answer: 7, value: 500, queued_us: 90, ..Reply::default() }),
        Body::Ask(AdviceRequest {
            id: 6,
            job: "j9".to_owned(),
            step: 0,
            workers: vec!["w0".to_owned(), "w1".to_owned()],
            timeout_ms: 900,
        }),
        Body::Advice(Advice { id: 6, is_answered: true, allowed: vec![ticket], validity_ms: 900 }),
        Body::Resign(Resignation { epoch, successor: "n1".to_owned() }),
        Body::Members(members),
        Body::Announce(Announcement { epoch, address: address() }),
        Body::Request(Request {
            id: 7,
            host: support::HOST.to_owned(),
            path: support::PREFIX.to_owned(),
            op: 10,
            key_digest: vec![7; 32],
            ..Request::default()
        }),
    ];
    bodies.into_iter().map(Frame::from).collect()
}

/// Changes, removes or inserts one to four bytes.
fn mutated(random: &mut SmallRng, valid: &[u8]) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    for _ in 0..random.random_range(1..=4) {
        let at = random.random_range(0..bytes.len().max(1));
        match random.random_range(0..3) {
            _ if at >= bytes.len() => bytes.push(random.random_range(0..=255)),
            0 => bytes[at] = random.random_range(0..=255),
            1 => drop(bytes.remove(at)),
            _ => bytes.insert(at, random.random_range(0..=255)),
        }
    }
    bytes
}

fn start_cell(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 3, 2);
    assert!(sim.run_until(ms(5000), |sim| sim.leader().is_some()));
    sim.run(ms(500));
    sim
}

/// Asserts that a job is accepted and completes, at the latest after the grace of a takeover.
fn assert_serves(sim: &mut Simulation, id: &str) {
    sim.run(ms(5000));
    assert_eq!(sim.submit(job(id, vec![step(1, 300)])), Some(Answer::Accepted));
    assert!(sim.wait_for_state(id, JobState::Completed, ms(10_000)));
}

/// Guards against a frame that ends the daemons which get it, or stops the cell.
#[test]
fn frames_random_changes_cell_serves() {
    for (kind, frame) in valid_frames().iter().enumerate() {
        let mut random = SmallRng::seed_from_u64(kind as u64);
        let mut sim = start_cell(kind as u64);
        let valid = frame.encode_to_vec();
        let mut decoded = 0;
        for _ in 0..FRAMES_PER_KIND {
            let Ok(frame) = Frame::decode(&*mutated(&mut random, &valid)) else { continue };
            decoded += 1;
            for node in 0..sim.slots.len() {
                sim.deliver(node, &frame);
            }
            sim.run(ms(5));
        }
        assert!(decoded > 0, "some frames of kind {kind} decode");
        assert_serves(&mut sim, "last");
    }
}

/// Guards against a request for more tasks than fit in memory, from a daemon that did not check it.
#[test]
fn request_of_peer_with_too_many_tasks_is_not_accepted() {
    let mut sim = start_cell(1);
    let leader = sim.leader().expect("a node leads");
    for (number, count) in [10_001, u32::MAX].into_iter().enumerate() {
        let submission = job(&format!("big{number}"), vec![step(count, 500); 2]);
        let queue = "quick".to_owned();
        let request = Request {
            id: 5,
            op: 1,
            submission: Some(Box::new(submission)),
            queue,
            ..Request::default()
        };
        sim.deliver(leader, &Frame::from(Body::Request(request)));
    }
    assert_serves(&mut sim, "last");
    assert_eq!(sim.state("big0"), Some(Answer::JobNotFound));
    assert_eq!(sim.state("big1"), Some(Answer::JobNotFound));
}

/// Guards against a damaged head row that ends the daemons which read it.
#[test]
fn head_row_random_changes_daemons_go_on() {
    let mut random = SmallRng::seed_from_u64(1);
    for number in 0..HEAD_ROWS {
        let mut sim = start_cell(number.into());
        let (valid, version) = sim.store.rows.get("head").cloned().expect("the head row exists");
        let changed = mutated(&mut random, &valid);
        sim.store.rows.insert("head".into(), (changed.clone(), version + 1));
        sim.store.version += 1;
        sim.run(ms(5000));
        if Head::from_row(&changed).is_ok_and(|head| head.epoch < u64::MAX / 2) {
            assert_serves(&mut sim, "last");
        }
    }
}

/// Guards against a head row with the largest numbers that ends each daemon which claims on it.
#[test]
fn head_row_largest_numbers_daemons_go_on() {
    for field in 0..4 {
        let mut sim = start_cell(field);
        let (valid, version) = sim.store.rows.get("head").cloned().expect("the head row exists");
        let mut head = Head::from_row(&valid).expect("the row is a head");
        let number = match field {
            0 => &mut head.commit,
            1 => &mut head.slow_ms,
            2 => &mut head.promotion_ms,
            _ => &mut head.epoch,
        };
        *number = u64::MAX;
        sim.store.rows.insert("head".into(), (head.to_row(), version + 1));
        sim.store.version += 1;
        if field < 3 {
            assert_serves(&mut sim, "last");
        } else {
            sim.run(ms(5000));
            assert!(sim.leader().is_none(), "no later epoch exists");
        }
    }
}
