//! Choice of the leader among daemons of different capacity, and leaders under load.

mod support;

use std::time::Duration;

use control::{Answer, Capacity, Head, Hello, Members, Operation, Role};
use prost::Message;
use support::{NodeSlot, Simulation, job, step};

const LARGE: Capacity = Capacity { cpu_millis: 500, link_kbps: 200_000 };
const SMALL: Capacity = Capacity { cpu_millis: 120, link_kbps: 10_000 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Starts large nodes first and small ones once a large one leads; runs until all have joined.
fn start_cell(seed: u64, large: usize, small: usize) -> Simulation {
    let mut capacities = vec![LARGE; large];
    capacities.extend(vec![SMALL; small]);
    let mut sim = Simulation::with_capacities(seed, &capacities, 4);
    for node in large..large + small {
        sim.kill(node);
    }
    assert!(sim.run_until(ms(5000), |sim| sim.leader().is_some()));
    for node in large..large + small {
        sim.start(node);
    }
    sim.run(ms(1000));
    sim
}

fn capacity_of(sim: &Simulation, node: usize) -> Capacity {
    sim.capacities[node]
}

/// The head row; an empty one if there is none.
fn head(sim: &Simulation) -> Head {
    let row = sim.store.rows.get("head");
    row.map_or_else(Head::default, |(value, _)| Head::from_row(value).expect("a head"))
}

/// Number of the node that leads according to the head row, even if it does not serve yet.
fn elected(sim: &Simulation) -> Option<usize> {
    let head = Some(head(sim)).filter(|head| !head.is_released && !head.member.is_empty())?;
    let number = head.member[1..].parse().ok()?;
    let slot: &NodeSlot = &sim.slots[number];
    let role = slot.node.as_ref().filter(|_| !slot.is_suspended)?.role();
    matches!(role, Role::Leading | Role::Recovering).then_some(number)
}

/// Runs until another epoch has a leader, and returns that leader and the time that it took.
fn next_leader(sim: &mut Simulation, within: Duration) -> Option<(usize, Duration)> {
    let (epoch, start) = (sim.store.epoch(), sim.now);
    let found = sim.run_until(within, |sim| sim.store.epoch() > epoch && elected(sim).is_some());
    let leader = elected(sim).filter(|_| found);
    leader.map(|leader| (leader, sim.now.saturating_sub(start)))
}

/// Alternates a node between stalls and short times in which it handles its inputs.
fn stall_repeatedly(sim: &mut Simulation, node: usize, stall: Duration, times: u32) {
    for _ in 0..times {
        sim.suspend(node);
        sim.run(stall);
        sim.resume(node, Duration::ZERO);
        sim.run(ms(100));
    }
}

/// Guards against a small daemon that takes over from a dead leader while large ones live.
#[test]
fn leader_killed_large_follower_leads() {
    for seed in 100..130 {
        let mut sim = start_cell(seed, 3, 20);
        let leader = sim.leader().expect("a node leads");
        sim.run(ms(seed * 7 % 200));
        sim.kill(leader);
        let (next, took) = next_leader(&mut sim, ms(2000)).expect("another node leads");
        assert_eq!(capacity_of(&sim, next), LARGE, "seed {seed}, n{next}");
        assert!(took <= ms(1000), "seed {seed}: {took:?}");
    }
}

/// Guards against a small daemon that takes over from a silent leader while large ones live.
#[test]
fn leader_frozen_large_follower_leads() {
    for seed in 130..150 {
        let mut sim = start_cell(seed, 3, 20);
        let leader = sim.leader().expect("a node leads");
        sim.run(ms(seed * 7 % 200));
        sim.suspend(leader);
        let (next, _) = next_leader(&mut sim, ms(2500)).expect("another node leads");
        assert_eq!(capacity_of(&sim, next), LARGE, "seed {seed}, n{next}");
    }
}

/// Guards against a release to the quickest follower, which is an idle small daemon.
#[test]
fn leader_stopped_successor_is_large() {
    for seed in 150..170 {
        let mut sim = start_cell(seed, 3, 20);
        let leader = sim.leader().expect("a node leads");
        for node in (0..3).filter(|node| *node != leader) {
            sim.timer_lags.insert(node, ms(3));
        }
        sim.run(ms(3000));
        sim.stop(leader);
        let (next, took) = next_leader(&mut sim, ms(1000)).expect("another node leads");
        assert_eq!(capacity_of(&sim, next), LARGE, "seed {seed}, n{next}");
        assert!(took <= ms(500), "seed {seed}: {took:?}");
    }
}

/// Guards against a release to a follower that is stopping and makes no claim.
#[test]
fn leader_stopped_successor_is_not_stopping() {
    for seed in 340..350 {
        let mut sim = start_cell(seed, 3, 8);
        let leader = sim.leader().expect("a node leads");
        let others: Vec<usize> = (0..3).filter(|node| *node != leader).collect();
        sim.timer_lags.insert(others[1], ms(3));
        sim.run(ms(3000));
        sim.stop(others[0]);
        sim.run(ms(500));
        sim.stop(leader);
        let (next, took) = next_leader(&mut sim, ms(2000)).expect("another node leads");
        assert_eq!(next, others[1], "seed {seed}");
        assert!(took <= ms(200), "seed {seed}: {took:?}");
    }
}

/// Guards against a small leader that releases to a large follower which is stopping.
#[test]
fn small_leader_keeps_leadership_from_stopping_follower() {
    let mut sim = start_cell(350, 2, 8);
    let leader = sim.leader().expect("a node leads");
    sim.kill(1 - leader);
    sim.run(ms(1000));
    sim.stop(leader);
    let (small, _) = next_leader(&mut sim, ms(1000)).expect("another node leads");
    assert_eq!(capacity_of(&sim, small), SMALL);
    let epoch = sim.store.epoch();
    sim.run(ms(10_000));
    assert_eq!((sim.leader(), sim.store.epoch()), (Some(small), epoch));
}

/// Guards against a small daemon that claims first when all daemons restart.
#[test]
fn all_killed_large_daemon_leads_again() {
    for seed in 170..190 {
        let mut sim = start_cell(seed, 3, 20);
        for node in 0..23 {
            sim.kill(node);
        }
        sim.run(ms(500));
        for node in (0..23).rev() {
            sim.start(node);
            sim.run(ms(5));
        }
        sim.run_until(ms(2000), |sim| elected(sim).is_some());
        let leader = elected(&sim).expect("a node leads");
        assert_eq!(capacity_of(&sim, leader), LARGE, "seed {seed}, n{leader}");
    }
}

/// Guards against small daemons that wait long for large ones that are gone.
#[test]
fn large_daemons_killed_small_one_leads_soon() {
    for seed in 200..220 {
        let mut sim = start_cell(seed, 3, 20);
        for node in 0..3 {
            sim.kill(node);
        }
        let (_, took) = next_leader(&mut sim, ms(2000)).expect("a small node leads");
        assert!(took <= ms(1000), "seed {seed}: {took:?}");
    }
}

/// Guards against small daemons that wait for large ones that cannot claim.
#[test]
fn large_daemons_without_store_small_one_leads() {
    for seed in 220..230 {
        let mut sim = start_cell(seed, 3, 20);
        sim.cut_from_store.extend(0..3);
        let (next, took) = next_leader(&mut sim, ms(3000)).expect("a small node leads");
        assert_eq!(capacity_of(&sim, next), SMALL, "seed {seed}, n{next}");
        assert!(took <= ms(2000), "seed {seed}: {took:?}");
    }
}

/// Guards against a small leader that keeps leadership although large daemons are back.
#[test]
fn large_daemons_return_lead_again_once() {
    let mut sim = start_cell(230, 2, 10);
    sim.kill(0);
    sim.kill(1);
    let (small, _) = next_leader(&mut sim, ms(2000)).expect("a small node leads");
    assert_eq!(capacity_of(&sim, small), SMALL);
    sim.run(ms(3000));
    let epoch = sim.store.epoch();
    sim.start(0);
    sim.start(1);
    sim.run(ms(30_000));
    let leader = sim.leader().expect("a node leads");
    assert_eq!(capacity_of(&sim, leader), LARGE);
    assert_eq!(sim.store.epoch(), epoch + 1);
}

/// Guards against leadership that alternates between a small daemon and a failing large one.
#[test]
fn return_of_large_daemon_repeated_hands_over_rarely() {
    let mut sim = start_cell(231, 1, 10);
    let epoch = sim.store.epoch();
    // The large node fails soon after each time that it gets leadership.
    let end = sim.now + ms(60_000);
    while sim.now < end {
        if sim.leader() == Some(0) {
            sim.run(ms(200));
            sim.kill(0);
            sim.run(ms(1500));
            sim.start(0);
        }
        sim.run(ms(100));
    }
    let changes = sim.store.epoch() - epoch;
    assert!((3..=8).contains(&changes), "{changes}");
}

/// Guards against a busy large leader that releases to an idle small follower.
#[test]
fn busy_large_leader_keeps_leadership_from_small_followers() {
    let mut sim = start_cell(240, 1, 8);
    let (leader, epoch) = (sim.leader().expect("a node leads"), sim.store.epoch());
    sim.run(ms(7000));
    sim.timer_lags.insert(leader, ms(12));
    sim.run(ms(20_000));
    assert_eq!((sim.leader(), sim.store.epoch()), (Some(leader), epoch));
}

/// Guards against a slow leader that is never replaced (decision 017).
#[test]
fn slow_large_leader_hands_over_to_quick_large_follower() {
    let mut sim = start_cell(241, 3, 8);
    let leader = sim.leader().expect("a node leads");
    let quickest = (0..3).rev().find(|node| *node != leader).expect("there are other nodes");
    for node in (0..3).filter(|node| *node != leader && *node != quickest) {
        sim.timer_lags.insert(node, ms(3));
    }
    sim.run(ms(7000));
    sim.timer_lags.insert(leader, ms(12));
    let (next, _) = next_leader(&mut sim, ms(1500)).expect("another node leads");
    assert_eq!(next, quickest);
}

/// Guards against followers that depose a leader that is late, but still commits.
#[test]
fn stalling_leader_with_moving_head_stays() {
    for seed in 250..260 {
        let mut sim = start_cell(seed, 1, 8);
        let (leader, epoch) = (sim.leader().expect("a node leads"), sim.store.epoch());
        stall_repeatedly(&mut sim, leader, ms(600), 20);
        assert_eq!((sim.leader(), sim.store.epoch()), (Some(leader), epoch), "seed {seed}");
    }
}

/// Guards against a leader that releases because replies waited in its own queue.
#[test]
fn stalled_leader_does_not_take_itself_for_cut_off() {
    for seed in 260..270 {
        let mut sim = start_cell(seed, 1, 8);
        let (leader, epoch) = (sim.leader().expect("a node leads"), sim.store.epoch());
        stall_repeatedly(&mut sim, leader, ms(900), 5);
        sim.run(ms(3000));
        assert_eq!((sim.leader(), sim.store.epoch()), (Some(leader), epoch), "seed {seed}");
    }
}

/// Guards against followers that take the stall of a leader for a store that it cannot reach.
#[test]
fn stalled_leader_with_slow_commit_stays() {
    for seed in 290..310 {
        let mut sim = start_cell(seed, 1, 8);
        sim.run(ms(seed * 13 % 200));
        let (leader, epoch) = (sim.leader().expect("a node leads"), sim.store.epoch());
        sim.suspend(leader);
        sim.run(ms(440));
        sim.resume(leader, Duration::ZERO);
        // Only the leader's commit is slow, as a large one over a slow link.
        sim.faults.store_slowdown = 30;
        sim.run(Duration::ZERO);
        sim.faults.store_slowdown = 1;
        sim.run(ms(2000));
        assert_eq!((sim.leader(), sim.store.epoch()), (Some(leader), epoch), "seed {seed}");
    }
}

/// Guards against daemons of an older version that are never succeeded or never lead.
#[test]
fn unknown_capacity_takes_over_as_before() {
    for seed in 270..280 {
        let capacities = [LARGE, Capacity::UNKNOWN, SMALL, Capacity::UNKNOWN];
        let mut sim = Simulation::with_capacities(seed, &capacities, 4);
        assert!(sim.run_until(ms(5000), |sim| sim.leader().is_some()));
        sim.run(ms(8000));
        let leader = sim.leader().expect("a node leads");
        sim.kill(leader);
        assert!(next_leader(&mut sim, ms(1000)).is_some(), "seed {seed}");
        let answer = sim.submit(job("j1", vec![step(1, 300)]));
        assert_eq!(answer, Some(Answer::Accepted), "seed {seed}");
    }
}

/// Guards against messages of an older version that are refused or misread.
#[test]
fn messages_without_capacity_are_unknown() {
    let hello = Hello { member: "n1".to_owned(), ..Hello::default() };
    let hello = Hello::decode(&*hello.encode_to_vec()).expect("a hello");
    assert_eq!(hello.capacity(), Capacity::UNKNOWN);
    let members = Members { addresses: vec!["a1".to_owned()], ..Members::default() };
    let members = Members::decode(&*members.encode_to_vec()).expect("a list of members");
    assert_eq!(members.iter().collect::<Vec<_>>(), [("a1", Capacity::UNKNOWN)]);
}

/// Guards against daemons of which each waits for the other.
#[test]
fn outranks_is_a_strict_order() {
    let values = [0, 100, 110, 125, 250, 500];
    let mut all = Vec::new();
    for cpu_millis in values {
        all.extend(values.map(|link_kbps| Capacity { cpu_millis, link_kbps }));
    }
    for a in &all {
        assert!(!a.outranks(*a) && !a.outranks(Capacity::UNKNOWN));
        for b in &all {
            assert!(!(a.outranks(*b) && b.outranks(*a)), "{a:?}, {b:?}");
        }
    }
    let known = all.iter().filter(|one| one.cpu_millis > 0 && one.link_kbps > 0);
    for a in known.clone() {
        for b in known.clone().filter(|b| a.outranks(**b)) {
            assert!(known.clone().all(|c| !b.outranks(*c) || a.outranks(*c)), "{a:?}, {b:?}");
        }
    }
    assert!(LARGE.outranks(SMALL));
    assert!(!Capacity { cpu_millis: 124, ..SMALL }.outranks(Capacity { cpu_millis: 100, ..SMALL }));
}

/// Guards against commits that take so long on a slow link that the leader is replaced.
#[test]
fn leader_with_slow_link_and_large_commits_stays() {
    for seed in 320..325 {
        let slow = Capacity { cpu_millis: 120, link_kbps: 2000 };
        let mut sim = Simulation::with_capacities(seed, &[slow; 5], 4);
        for node in 0..5 {
            sim.network.bandwidths.insert(node, u64::from(slow.link_kbps) * 1000 / 8);
        }
        assert!(sim.run_until(ms(5000), |sim| sim.leader().is_some()));
        sim.run(ms(1000));
        let (leader, epoch) = (sim.leader().expect("a node leads"), sim.store.epoch());
        let submit = |sim: &mut Simulation, number| {
            let mut large = job(&format!("j{number}"), vec![step(1, 300)]);
            large.payload = "x".repeat(40_000);
            sim.call(leader, Operation::Submit(large))
        };
        let (sent, committed) = (sim.store.commits, head(&sim).commit);
        let tokens: Vec<u64> = (0..24).map(|number| submit(&mut sim, number)).collect();
        sim.run(ms(10_000));
        let resent = (sim.store.commits - sent) - (head(&sim).commit - committed);
        assert!(resent <= 1, "seed {seed}: {resent} transactions were sent twice");
        assert_eq!((sim.leader(), sim.store.epoch()), (Some(leader), epoch), "seed {seed}");
        // The daemon sends eight requests at a time; others may be refused.
        let accepted = tokens.iter().filter(|token| sim.answers[token] == Answer::Accepted);
        assert!(accepted.count() >= 8, "seed {seed}");
    }
}

/// Guards against a list of all members to all followers at each join of a takeover.
#[test]
fn takeover_member_lists_are_coalesced() {
    let mut sim = start_cell(280, 8, 32);
    let leader = sim.leader().expect("a node leads");
    let token = sim.call(39, Operation::Submit(job("j1", vec![step(1, 300)])));
    sim.run(ms(500));
    assert_eq!(sim.answers.get(&token), Some(&Answer::Accepted));
    sim.kill(leader);
    let before = sim.member_lists;
    next_leader(&mut sim, ms(2000)).expect("another node leads");
    sim.run(ms(1000));
    let sent = sim.member_lists - before;
    assert!((38..=10 * 38).contains(&sent), "{sent}");
}
