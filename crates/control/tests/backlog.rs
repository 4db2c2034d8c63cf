//! Order in which queued inputs are handled.

mod support;

use std::time::Duration;

use common::Name;
use control::{
    Action, AdviceResult, Backlog, Body, CallerRequest, CommitResult, Credential, Frame, Heartbeat,
    Hello, Input, Operation, OrderReply, PeerEvent, QueuedInput, Request, Target,
};

/// Requests that are queued before other inputs arrive.
const QUEUED_REQUESTS: u64 = 1000;

fn call(token: u64) -> Input {
    let target = Target::Queue(Name::new("queue"));
    let timeout = Duration::from_secs(3);
    let op = Operation::CountPending;
    Input::Call {
        token,
        call: CallerRequest { target, op, credential: Credential::Missing, timeout },
    }
}

fn frame(link: u64, body: Body) -> Input {
    Input::Peer { link, event: PeerEvent::Frame(Frame { body: Some(body) }) }
}

fn request(link: u64, id: u64) -> Input {
    frame(link, Body::Request(Request { id, ..Request::default() }))
}

fn commit() -> Input {
    Input::Commit { call: 1, commit: CommitResult::Unknown }
}

fn take_inputs(backlog: &mut Backlog) -> Vec<Input> {
    backlog.take_batch().into_iter().map(|queued| queued.input).collect()
}

/// Backlog of callers' and followers' requests.
fn backlog_of_requests() -> Backlog {
    let mut backlog = Backlog::default();
    for number in 0..QUEUED_REQUESTS {
        backlog.push(Duration::ZERO, call(number));
        backlog.push(Duration::ZERO, request(3, number));
    }
    backlog
}

// Guards against leaders that are replaced because the store's reply waits behind requests.
#[test]
fn batch_starts_with_control() {
    let mut backlog = backlog_of_requests();
    let beat = frame(3, Body::Beat(Heartbeat::default()));
    for input in [commit(), beat.clone()] {
        backlog.push(Duration::ZERO, input);
    }
    let batch = take_inputs(&mut backlog);
    assert_eq!(batch[..2], [commit(), beat]);
}

// Guards against a loop that reads no sockets and sends no heartbeats while it is flooded.
#[test]
fn batch_is_bounded() {
    let mut backlog = backlog_of_requests();
    let queued = backlog.len();
    let batch = backlog.take_batch();
    assert!(batch.len() < 200, "{}", batch.len());
    assert_eq!(backlog.len(), queued - batch.len());
}

// Guards against requests, advice or workers that are never served under a flood of others.
#[test]
fn batch_has_all_classes() {
    let mut backlog = backlog_of_requests();
    let reply = Input::Order { call: 1, reply: OrderReply::OutcomeUnknown };
    let result = AdviceResult { allowed: Vec::new(), validity: Duration::ZERO };
    let advice = Input::Advice { call: 1, result: Some(result) };
    for _ in 0..2 * QUEUED_REQUESTS {
        for input in [commit(), reply.clone(), advice.clone()] {
            backlog.push(Duration::ZERO, input);
        }
    }
    for _ in 0..10 {
        let batch = take_inputs(&mut backlog);
        assert!(batch.contains(&commit()));
        assert!(batch.contains(&reply));
        assert!(batch.contains(&advice));
        assert!(batch.iter().any(|input| matches!(input, Input::Call { .. })));
    }
}

// Guards against a request that is handled before the hello of its follower.
#[test]
fn batch_keeps_hello_before_requests() {
    let mut backlog = Backlog::default();
    let hello = frame(5, Body::Hello(Hello::default()));
    let arrived =
        [Input::Peer { link: 5, event: PeerEvent::Accepted }, hello, request(5, 1), request(5, 2)];
    for input in arrived.clone() {
        backlog.push(Duration::ZERO, input);
    }
    assert_eq!(take_inputs(&mut backlog), arrived);
    assert!(backlog.is_empty());
}

// Guards against a request that is admitted after its caller disconnected.
#[test]
fn batches_keep_disconnection_after_call() {
    let mut backlog = Backlog::default();
    for token in 0..QUEUED_REQUESTS {
        backlog.push(Duration::ZERO, call(token));
    }
    let last = QUEUED_REQUESTS - 1;
    backlog.push(Duration::ZERO, Input::CallerDisconnected { token: last });
    let mut handled = Vec::new();
    while !backlog.is_empty() {
        handled.extend(take_inputs(&mut backlog));
    }
    assert_eq!(
        handled[handled.len() - 2..],
        [call(last), Input::CallerDisconnected { token: last }]
    );
}

// Guards against a leader that was busy and drops followers whose heartbeats it has not read.
#[test]
fn batch_counts_heartbeats_before_silence() {
    let mut sim = support::Simulation::new(5, 4, 2);
    assert!(sim.run_until(Duration::from_secs(5), |sim| sim.leader().is_some()));
    sim.run(Duration::from_secs(2));
    let leader = sim.leader().expect("a node leads");
    let busy_until = sim.now + Duration::from_millis(700);
    let node = sim.slots[leader].node.as_mut().expect("the leader runs");
    // The followers' links are among these; heartbeats on others are ignored.
    let beats = (0..100).map(|link| frame(link, Body::Beat(Heartbeat::default())));
    let inputs = std::iter::once(call(1)).chain(beats);
    let batch = inputs.map(|input| QueuedInput { input, queued_at: sim.now });
    let actions = node.handle_batch(busy_until, batch, 0);
    let is_close = |action: &Action| matches!(action, Action::Close { .. });
    assert!(!actions.iter().any(is_close), "{actions:?}");
}
