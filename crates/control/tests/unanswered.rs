//! Requests that a leader has received and not answered.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use common::Name;
use control::{
    Action, Answer, Body, Counter, Frame, Gauge, Input, Meter, Operation, PeerEvent, Reply,
    Request, Role, Timing,
};
use support::{Simulation, job, step};

/// Number of daemons.
const NODES: usize = 9;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Starts a cell whose daemons have followed their leader for a while.
fn start_cell(seed: u64) -> (Simulation, usize) {
    let mut sim = Simulation::new(seed, NODES, 4);
    assert!(sim.run_until(ms(5000), |sim| sim.leader().is_some()));
    sim.run(ms(3000));
    let leader = sim.leader().expect("a node leads");
    (sim, leader)
}

/// Sends a request at each daemon but the leader, which receives them all.
fn send_at_followers(
    sim: &mut Simulation,
    leader: usize,
    request: impl Fn(usize) -> Operation,
) -> Vec<u64> {
    let followers = (0..NODES).filter(|node| *node != leader);
    let tokens = followers.map(|node| sim.call(node, request(node))).collect();
    sim.run(ms(4));
    tokens
}

fn submission(node: usize) -> Operation {
    Operation::Submit(job(&format!("j{node}"), vec![step(1, 300)]))
}

/// A query that is answered after a commit.
fn query_of_unknown_job(_node: usize) -> Operation {
    Operation::GetState(Name::new("none"))
}

/// Asserts that requests are answered by the time at which their callers leave.
fn assert_answered(sim: &mut Simulation, tokens: &[u64], expected: &Answer, left: Duration) {
    sim.run(left);
    let answers: Vec<_> = tokens.iter().map(|token| sim.answers.get(token)).collect();
    assert!(answers.iter().all(|answer| *answer == Some(expected)), "{answers:?}");
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// Sends requests to a leader that then loses the store, and is replaced by a daemon that claims
/// while the others follow it.
fn announce_next_leader(seed: u64, request: impl Fn(usize) -> Operation) -> (Simulation, Vec<u64>) {
    let (mut sim, leader) = start_cell(seed);
    let next = (leader + 1) % NODES;
    sim.faults.store_slowdown = 20;
    sim.cut_from_store.extend((0..NODES).filter(|node| *node != next));
    let tokens = send_at_followers(&mut sim, leader, request);
    (sim, tokens)
}

// Guards against submissions that are broken off when the next leader announces itself.
#[test]
fn next_leader_announced_sent_submissions_are_answered() {
    for seed in 1..=5 {
        let (mut sim, tokens) = announce_next_leader(seed, submission);
        assert_answered(&mut sim, &tokens, &Answer::Accepted, ms(2990));
    }
}

// Guards against a time without a leader that is counted from an earlier loss: the queries of
// daemons that change from a living leader to the next one are refused at once then.
#[test]
fn next_leader_announced_queries_are_answered() {
    for seed in 6..=10 {
        let (mut sim, tokens) = announce_next_leader(seed, query_of_unknown_job);
        assert_answered(&mut sim, &tokens, &Answer::JobNotFound, ms(2890));
    }
}

// Guards against submissions that are broken off when their daemon claims leadership in vain.
#[test]
fn claim_refused_sent_submissions_are_answered() {
    for seed in 11..=15 {
        let (mut sim, leader) = start_cell(seed);
        sim.faults.is_store_busy = true;
        let tokens = send_at_followers(&mut sim, leader, submission);
        sim.run(ms(1500));
        sim.faults.is_store_busy = false;
        assert_answered(&mut sim, &tokens, &Answer::Accepted, ms(1490));
    }
}

// Guards against submissions that are broken off while the next leader is awaited.
#[test]
fn next_leader_late_sent_submissions_are_answered() {
    for seed in 21..=25 {
        let (mut sim, leader) = start_cell(seed);
        sim.faults.is_store_busy = true;
        let tokens = send_at_followers(&mut sim, leader, submission);
        sim.kill(leader);
        sim.run(ms(1700));
        sim.faults.is_store_busy = false;
        assert_answered(&mut sim, &tokens, &Answer::Accepted, ms(1290));
    }
}

// Guards against submissions that are broken off while their daemon joins its leader again.
#[test]
fn leader_unreachable_for_a_moment_sent_submissions_are_answered() {
    for seed in 26..=30 {
        let (mut sim, leader) = start_cell(seed);
        let tokens = send_at_followers(&mut sim, leader, submission);
        let cut = (leader + 1) % NODES;
        sim.cut_from_peers.insert(cut);
        sim.run(ms(1650));
        sim.cut_from_peers.clear();
        assert_answered(&mut sim, &tokens, &Answer::Accepted, ms(1340));
    }
}

// Guards against submissions that are sent to the leader and broken off in the same moment.
#[test]
fn little_time_left_submissions_are_refused() {
    let (mut sim, leader) = start_cell(31);
    for node in [leader, (leader + 1) % NODES] {
        for left in [0, 1, 50, 99] {
            let id = format!("j{node}x{left}");
            let call = Operation::Submit(job(&id, vec![step(1, 300)]));
            let token = sim.call_within(node, call, ms(left));
            sim.run(ms(300));
            let answer = sim.answers.get(&token);
            assert!(matches!(answer, Some(Answer::Refused { .. })), "{left} ms left: {answer:?}");
            assert!(!sim.has_run(&id), "{left} ms left");
        }
    }
}

// Guards against submissions that end without an answer although no leader had received them.
#[test]
fn leader_found_late_submissions_have_an_answer() {
    let (mut sim, leader) = start_cell(32);
    sim.kill(leader);
    sim.run(ms(10));
    let followers: Vec<_> = (0..NODES).filter(|node| *node != leader).collect();
    let timeouts = (100..2000).step_by(5).map(ms);
    let submit = |(number, timeout)| {
        let node = followers[number % followers.len()];
        (timeout, sim.call_within(node, submission(number), timeout))
    };
    let calls: Vec<_> = timeouts.enumerate().map(submit).collect();
    sim.run(ms(3000));
    for (timeout, token) in calls {
        let answer = sim.answers.get(&token);
        let has_answer = matches!(answer, Some(Answer::Refused { .. } | Answer::Accepted));
        assert!(has_answer, "{timeout:?}: {answer:?}");
    }
}

// Guards against submissions that are sent to a leader which no longer knows that their jobs have ended.
#[test]
fn ended_job_forgotten_submission_runs_once() {
    let (mut sim, leader) = start_cell(33);
    for node in 0..NODES {
        sim.reload(node, |config| config.ended_job_retention = ms(1000));
    }
    sim.run(ms(100));
    let node = (leader + 1) % NODES;
    let token = sim.call_within(node, submission(node), ms(6000));
    sim.run(ms(4));
    sim.cut_from_peers.insert(node);
    sim.run(ms(4000));
    sim.cut_from_peers.clear();
    sim.run(ms(4000));
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.started_runs, 1);
    assert_eq!(sim.answers.get(&token), Some(&Answer::OutcomeUnknown));
}

// Guards against refusals of what a leader may have carried out.
#[test]
fn no_next_leader_sent_requests_are_not_refused() {
    let (mut sim, leader) = start_cell(34);
    let node = (leader + 1) % NODES;
    sim.call(node, submission(node));
    sim.run(ms(100));
    sim.faults.is_store_down = true;
    let cancellation = Operation::Cancel(Name::from(format!("j{node}").as_str()));
    let tokens = [submission(node + NODES), cancellation].map(|op| sim.call(node, op));
    sim.run(ms(4));
    sim.kill(leader);
    sim.run(ms(3500));
    for token in tokens {
        assert_eq!(sim.answers.get(&token), Some(&Answer::OutcomeUnknown));
    }
}

// Guards against requests that a stopping daemon sends and breaks off as it exits.
#[test]
fn exit_near_submissions_are_refused() {
    for before in [1, 20, 60, 99] {
        let (mut sim, leader) = start_cell(35);
        let node = (leader + 1) % NODES;
        sim.stop(node);
        sim.run(ms(2600));
        sim.faults.is_store_busy = true;
        sim.call_within(node, submission(node), ms(60_000));
        sim.run(ms(2900 - before));
        let token = sim.call(node, submission(node + NODES));
        sim.run(ms(300));
        assert!(sim.exited_nodes.contains(&node));
        let answer = sim.answers.get(&token);
        assert!(matches!(answer, Some(Answer::Refused { .. })), "{before} ms before: {answer:?}");
    }
}

// Guards against daemons that leave the present leader for a head row that they read before it led.
#[test]
fn head_row_read_late_leader_is_not_left() {
    for silent_for in (1000..=1100).step_by(20) {
        let (mut sim, leader) = start_cell(41);
        sim.suspend(leader);
        sim.run(ms(silent_for));
        // Head rows that are read now are answered when the next leader is known.
        sim.faults.store_slowdown = 150;
        sim.run(ms(20));
        sim.faults.store_slowdown = 1;
        let mut has_joined = [false; NODES];
        for _ in 0..3500 {
            sim.run(ms(1));
            for (node, slot) in sim.slots.iter().enumerate().filter(|(node, _)| *node != leader) {
                let role = slot.node.as_ref().map(control::Node::role);
                let is_following = role == Some(Role::Following);
                assert!(!has_joined[node] || is_following, "n{node}, {silent_for} ms: {role:?}");
                has_joined[node] |= is_following && sim.store.epoch() == 2;
            }
        }
        assert_eq!(sim.store.epoch(), 2);
    }
}

/// An input on a link that the daemon no longer uses.
fn on_former_link(body: Body) -> Input {
    Input::Peer { link: u64::MAX - 1, event: PeerEvent::Frame(Frame::from(body)) }
}

// Guards against jobs that run although a copy of their submission on a newer link was refused.
#[test]
fn former_link_submission_is_not_taken() {
    let (mut sim, leader) = start_cell(36);
    let request = Request {
        id: 1,
        host: support::HOST.to_owned(),
        path: format!("{}late", support::PREFIX),
        op: 1,
        submission: Some(Box::new(job("late", vec![step(1, 300)]))),
        ..Request::default()
    };
    let now = sim.now;
    let node = sim.slots[leader].node.as_mut().expect("the leader runs");
    node.handle(now, on_former_link(Body::Request(request)));
    let scheduler = node.scheduler().expect("the node leads");
    assert!(!scheduler.jobs.contains_key("late"));
}

// Guards against refusals by a former leader of what was sent to the present one since.
#[test]
fn former_link_refusal_is_no_answer() {
    let (mut sim, leader) = start_cell(37);
    let node = (leader + 1) % NODES;
    sim.faults.is_store_busy = true;
    let token = sim.call(node, submission(node));
    sim.run(ms(4));
    let now = sim.now;
    let follower = sim.slots[node].node.as_mut().expect("the follower runs");
    // Refused, no queue, unauthorized, id in use, never fits.
    for answer in [7, 5, 11, 12, 13] {
        let refusal = Reply { id: 1, answer, value: 500, ..Reply::default() };
        let actions = follower.handle(now, on_former_link(Body::Reply(refusal)));
        let is_answered = actions.iter().any(|action| matches!(action, Action::Answer { .. }));
        assert!(!is_answered, "{answer}: {actions:?}");
    }
    sim.faults.is_store_busy = false;
    sim.run(ms(1000));
    assert_eq!(sim.answers.get(&token), Some(&Answer::Accepted));
}

/// Labels under which answers were counted.
#[derive(Debug, Default)]
struct AnswerLabels(RefCell<Vec<&'static str>>);

impl Meter for AnswerLabels {
    fn add(&self, counter: Counter, label: &'static str, _by: u64) {
        if counter == Counter::Answers {
            self.0.borrow_mut().push(label);
        }
    }

    fn record_duration(&self, _timing: Timing, _duration: Duration) {}

    fn set_gauge(&self, _gauge: Gauge, _value: u64) {}
}

// Guards against submissions without an answer that no metric shows, as their callers left first.
#[test]
fn caller_left_is_counted() {
    let (mut sim, leader) = start_cell(38);
    let labels = Rc::new(AnswerLabels::default());
    sim.meter = Rc::clone(&labels) as Rc<dyn Meter>;
    let node = (leader + 1) % NODES;
    sim.kill(node);
    sim.start(node);
    sim.run(ms(1000));
    sim.faults.is_store_busy = true;
    let tokens = [submission(node), Operation::CountPending].map(|op| sim.call(node, op));
    sim.run(ms(4));
    let now = sim.now;
    let follower = sim.slots[node].node.as_mut().expect("the follower runs");
    for token in tokens {
        follower.handle(now, Input::CallerDisconnected { token });
    }
    assert_eq!(*labels.0.borrow(), ["pending", "caller_left"]);
}
