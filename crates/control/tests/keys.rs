//! Callers' keys, workspaces, and who may use which job, in a simulated cell.

mod support;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::Name;
use control::{
    Answer, CallerRequest, Counter, Credential, Gauge, Meter, Operation, Role, Target, Timing, View,
};
use scheduler::{JobState, KeyDigest, Queue, Resources, Rules, Workspace, Workspaces};
use support::{HOST, PREFIX, Simulation, job, step};

/// Path prefix of the public queue.
const PUBLIC: &str = "/open/";

/// Path prefix that no queue has.
const UNKNOWN: &str = "/none/";

/// Longest time until a version of the rules that the store has acknowledged is applied.
const APPLY_TIME: Duration = Duration::from_secs(3);

/// Daemons of a cell.
const NODES: usize = 3;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn key(text: &str) -> Credential {
    Credential::Key(KeyDigest::of(text.as_bytes()))
}

/// Rules with a queue that needs keys, a public one, and workspaces with their keys.
fn rules(version: u64, workspaces: &[(&str, &[&str])]) -> Rules {
    let mut rules = support::rules(false);
    let open = Queue {
        name: Name::new("open"),
        prefix: Name::new(PUBLIC),
        is_public: true,
        ..rules.queues[0].clone()
    };
    rules.queues.push(open);
    rules.version = version;
    rules.workspaces = Workspaces::new(workspaces.iter().map(|(name, keys)| Workspace {
        name: Name::new(name),
        weight: 1,
        limit: Resources::default(),
        keys: keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
    }));
    rules
}

/// Rules in which workspace `a` has the key `ka` and `b` has `kb`.
fn two_workspaces(version: u64) -> Rules {
    rules(version, &[("a", &["ka"]), ("b", &["kb"])])
}

/// Starts a cell whose leader and followers know the rules.
fn start(seed: u64, rules: Rules) -> Simulation {
    start_with(Simulation::new(seed, NODES, 4), rules)
}

fn start_with(mut sim: Simulation, rules: Rules) -> Simulation {
    sim.rules = rules;
    assert!(sim.run_until(ms(5000), |sim| sim.leader().is_some()));
    sim.run(ms(500));
    sim
}

fn follower(sim: &Simulation) -> usize {
    let leader = sim.leader().expect("a node leads");
    let follows = |node: &usize| *node != leader && sim.slots[*node].node.is_some();
    (0..NODES).find(follows).expect("a node follows")
}

/// Puts rules into force, as the page on workspaces allows: within 3 s.
fn apply(sim: &mut Simulation, rules: Rules) {
    sim.rules = rules;
    sim.run(APPLY_TIME);
}

/// Sends a request at a node for a path and waits for its answer.
fn ask_at(
    sim: &mut Simulation,
    node: usize,
    prefix: &str,
    op: Operation,
    credential: &Credential,
) -> Option<Answer> {
    let id = match &op {
        Operation::Submit(job) => job.id.clone(),
        Operation::GetState(id) | Operation::Cancel(id) => id.to_string(),
        _ => String::new(),
    };
    let path = Name::from(format!("{prefix}{id}").as_str());
    let target = Target::Route { host: Name::new(HOST), path };
    let credential = credential.clone();
    let call = CallerRequest { target, op, credential, timeout: ms(3000) };
    let token = sim.send_request(node, call);
    sim.run_until(ms(4000), |sim| sim.answers.contains_key(&token));
    sim.answers.get(&token).cloned()
}

/// Sends a request at a follower on the queue that needs keys.
fn ask(sim: &mut Simulation, op: Operation, credential: &Credential) -> Option<Answer> {
    let node = follower(sim);
    ask_at(sim, node, PREFIX, op, credential)
}

fn submit(id: &str) -> Operation {
    Operation::Submit(job(id, vec![step(1, 300)]))
}

fn state(id: &str) -> Operation {
    Operation::GetState(Name::new(id))
}

fn cancel(id: &str) -> Operation {
    Operation::Cancel(Name::new(id))
}

/// A request of each kind that callers can send.
fn all_operations(id: &str) -> [Operation; 5] {
    [submit(id), state(id), cancel(id), Operation::CountPending, Operation::CheckAccess]
}

/// Whether a submission with a credential is accepted at each running node.
fn accepts(sim: &mut Simulation, ids: &str, credential: &Credential) -> Vec<Option<Answer>> {
    let running: Vec<usize> = (0..NODES).filter(|node| sim.slots[*node].node.is_some()).collect();
    let ask_node =
        |node: usize| ask_at(sim, node, PREFIX, submit(&format!("{ids}{node}")), credential);
    running.into_iter().map(ask_node).collect()
}

fn workspace_of(sim: &Simulation, id: &str) -> String {
    let leader = sim.leader().expect("a node leads");
    let node = sim.slots[leader].node.as_ref().expect("the leader runs");
    let scheduler = node.scheduler().expect("the node leads");
    scheduler.jobs.get(id).map_or("no job".to_owned(), |job| job.workspace.to_string())
}

fn version_of(sim: &Simulation) -> u64 {
    let leader = sim.leader().expect("a node leads");
    let node = sim.slots[leader].node.as_ref().expect("the leader runs");
    let rules = node.scheduler().and_then(|scheduler| scheduler.rules.as_ref());
    rules.map_or(0, |rules| rules.version)
}

// Guards against a method, or a daemon, that serves callers without a known key.
#[test]
fn request_without_known_key_is_unauthorized() {
    let mut sim = start(1, two_workspaces(1));
    assert_eq!(ask(&mut sim, submit("known"), &key("ka")), Some(Answer::Accepted));
    for node in 0..NODES {
        for credential in [Credential::Missing, key("kc")] {
            for op in all_operations("new").into_iter().chain(all_operations("known")) {
                let answer = ask_at(&mut sim, node, PREFIX, op.clone(), &credential);
                assert_eq!(answer, Some(Answer::Unauthorized), "{node} {op:?} {credential:?}");
            }
        }
    }
    assert_eq!(ask(&mut sim, state("new"), &key("ka")), Some(Answer::JobNotFound));
    assert!(sim.wait_for_state_with("known", &key("ka")), "the job was not cancelled");
}

// Guards against a known key that opens only some methods or daemons.
#[test]
fn request_with_known_key_is_served() {
    let mut sim = start(2, two_workspaces(1));
    for node in 0..NODES {
        let id = format!("j{node}");
        let answers = all_operations(&id)
            .map(|op| ask_at(&mut sim, node, PREFIX, op, &key("kb")).expect("an answer"));
        assert!(
            matches!(
                &answers,
                [
                    Answer::Accepted,
                    Answer::State(_),
                    Answer::Cancelled,
                    Answer::Pending(_),
                    Answer::Authorized
                ]
            ),
            "{answers:?}"
        );
        assert_eq!(workspace_of(&sim, &id), "b");
    }
}

// Guards against callers that see the views of operators.
#[test]
fn view_needs_operator() {
    let mut sim = start(3, two_workspaces(1));
    let view = || Operation::View(View::Queues);
    for credential in [Credential::Missing, key("ka")] {
        assert_eq!(ask(&mut sim, view(), &credential), Some(Answer::Unauthorized));
    }
    assert!(matches!(ask(&mut sim, view(), &Credential::Operator), Some(Answer::View(_))));
}

// Guards against a removed key that still opens a daemon, and against a new one that does not.
#[test]
fn key_removed_and_added_takes_effect_at_each_daemon() {
    let mut sim = start(4, two_workspaces(1));
    assert_eq!(accepts(&mut sim, "x", &key("ka")), vec![Some(Answer::Accepted); NODES]);
    apply(&mut sim, rules(5, &[("a", &["ka2"]), ("b", &["kb"])]));
    assert_eq!(accepts(&mut sim, "y", &key("ka")), vec![Some(Answer::Unauthorized); NODES]);
    for node in 0..NODES {
        for op in all_operations("x0") {
            let answer = ask_at(&mut sim, node, PREFIX, op.clone(), &key("ka"));
            assert_eq!(answer, Some(Answer::Unauthorized), "{op:?}");
        }
    }
    assert_eq!(accepts(&mut sim, "z", &key("ka2")), vec![Some(Answer::Accepted); NODES]);
    // A workspace may lose its last key.
    apply(&mut sim, rules(6, &[("a", &[]), ("b", &["kb"])]));
    assert_eq!(accepts(&mut sim, "u", &key("ka2")), vec![Some(Answer::Unauthorized); NODES]);
    assert_eq!(accepts(&mut sim, "v", &key("kb")), vec![Some(Answer::Accepted); NODES]);
}

// Guards against a key that still opens the workspace that it belonged to before.
#[test]
fn keys_exchanged_open_the_other_workspace() {
    let mut sim = start(5, two_workspaces(1));
    assert_eq!(ask(&mut sim, submit("old"), &key("ka")), Some(Answer::Accepted));
    apply(&mut sim, rules(9, &[("a", &["kb"]), ("b", &["ka"])]));
    assert_eq!(ask(&mut sim, submit("new"), &key("ka")), Some(Answer::Accepted));
    assert_eq!((workspace_of(&sim, "old"), workspace_of(&sim, "new")), ("a".into(), "b".into()));
    assert_eq!(ask(&mut sim, state("old"), &key("ka")), Some(Answer::JobNotFound));
    assert_eq!(ask(&mut sim, cancel("old"), &key("ka")), Some(Answer::JobNotFound));
    assert_eq!(ask(&mut sim, submit("old"), &key("ka")), Some(Answer::IdInUse));
    assert_eq!(ask(&mut sim, submit("old"), &key("kb")), Some(Answer::Accepted));
    assert!(matches!(ask(&mut sim, state("old"), &key("kb")), Some(Answer::State(_))));
}

// Guards against a process that returns to rules that it has left, and against versions that are
// missed because they do not follow one another.
#[test]
fn key_over_versions_that_skip_and_regress() {
    let mut sim = start(6, two_workspaces(3));
    let with_key = |version| rules(version, &[("a", &["ka"])]);
    let without_key = |version| rules(version, &[("a", &["other"])]);
    // Version as stored, whether it has the key, whether the key is valid after it.
    let steps = [
        (7, false, false),
        (6, true, false),
        (19, true, true),
        (18, false, true),
        (1, false, true),
        (1000, false, false),
        (19, true, false),
        (1001, true, true),
    ];
    for (number, (version, has_key, is_valid)) in steps.into_iter().enumerate() {
        apply(&mut sim, if has_key { with_key(version) } else { without_key(version) });
        let expected = if is_valid { Answer::Accepted } else { Answer::Unauthorized };
        let answers = accepts(&mut sim, &format!("s{number}-"), &key("ka"));
        assert_eq!(answers, vec![Some(expected); NODES], "step {number}");
    }
}

// Guards against a process that leads again and takes up an older version than it had applied.
#[test]
fn reelected_leader_keeps_newer_rules() {
    let mut sim = start(7, rules(10, &[("a", &["new"])]));
    let first = sim.leader().expect("a node leads");
    let second = (first + 1) % NODES;
    sim.rules = rules(8, &[("a", &["old"])]);
    let leads = |sim: &Simulation, node: usize| {
        sim.slots[node].node.as_ref().is_some_and(|node| node.role() == Role::Leading)
    };
    for next in [second, first] {
        sim.cut_from_store = (0..NODES).filter(|node| *node != next).collect();
        assert!(sim.run_until(ms(10_000), |sim| leads(sim, next)), "n{next} leads");
        sim.run(ms(500));
        let (version, valid, invalid) =
            if next == first { (10, "new", "old") } else { (8, "old", "new") };
        assert_eq!(version_of(&sim), version);
        let answer = ask_at(&mut sim, next, PREFIX, submit(valid), &key(valid));
        assert_eq!(answer, Some(Answer::Accepted));
        let answer = ask_at(&mut sim, next, PREFIX, submit(invalid), &key(invalid));
        assert_eq!(answer, Some(Answer::Unauthorized));
    }
}

// Guards against a public queue that asks for keys, or that loses the workspace of a known one.
#[test]
fn public_route_needs_no_key_and_counts_known_ones() {
    let mut sim = start(8, two_workspaces(1));
    let node = follower(&sim);
    for (id, credential, workspace) in
        [("p1", Credential::Missing, ""), ("p2", key("kc"), ""), ("p3", key("ka"), "a")]
    {
        for op in [submit(id), Operation::CountPending, Operation::CheckAccess, state(id)] {
            let answer = ask_at(&mut sim, node, PUBLIC, op, &credential).expect("an answer");
            assert_ne!(answer, Answer::Unauthorized);
            assert_ne!(answer, Answer::JobNotFound);
        }
        assert_eq!(workspace_of(&sim, id), workspace);
    }
    // Without a key, a workspace's job is not known there.
    for credential in [Credential::Missing, key("kb")] {
        let answer = ask_at(&mut sim, node, PUBLIC, state("p3"), &credential);
        assert_eq!(answer, Some(Answer::JobNotFound));
        let answer = ask_at(&mut sim, node, PUBLIC, cancel("p3"), &credential);
        assert_eq!(answer, Some(Answer::JobNotFound));
        let answer = ask_at(&mut sim, node, PUBLIC, submit("p3"), &credential);
        assert_eq!(answer, Some(Answer::IdInUse));
    }
    // A job without a workspace is any caller's, as it was before there were workspaces.
    let answer = ask_at(&mut sim, node, PREFIX, state("p1"), &key("kb"));
    assert!(matches!(answer, Some(Answer::State(_))), "{answer:?}");
}

// Guards against an answer on an unknown route that depends on the key, or that needs none.
#[test]
fn unknown_route_is_not_found_and_jobs_need_their_key() {
    let mut sim = start(9, two_workspaces(1));
    sim.run_time = Some(ms(20_000));
    assert_eq!(ask(&mut sim, submit("j1"), &key("ka")), Some(Answer::Accepted));
    let node = follower(&sim);
    for credential in [Credential::Missing, key("kc"), key("ka"), key("kb")] {
        for op in [submit("new"), Operation::CountPending, Operation::CheckAccess] {
            let answer = ask_at(&mut sim, node, UNKNOWN, op.clone(), &credential);
            assert_eq!(answer, Some(Answer::QueueNotFound), "{op:?} {credential:?}");
        }
    }
    for credential in [Credential::Missing, key("kc")] {
        for op in [state("j1"), cancel("j1"), state("none"), cancel("none")] {
            let answer = ask_at(&mut sim, node, UNKNOWN, op, &credential);
            assert_eq!(answer, Some(Answer::Unauthorized));
        }
        let answer = ask_at(&mut sim, node, UNKNOWN, submit("j1"), &credential);
        assert_eq!(answer, Some(Answer::QueueNotFound));
    }
    let answer = ask_at(&mut sim, node, UNKNOWN, state("j1"), &key("kb"));
    assert_eq!(answer, Some(Answer::JobNotFound));
    let answer = ask_at(&mut sim, node, UNKNOWN, submit("j1"), &key("kb"));
    assert_eq!(answer, Some(Answer::QueueNotFound));
    let answer = ask_at(&mut sim, node, UNKNOWN, state("j1"), &key("ka"));
    assert!(matches!(answer, Some(Answer::State(_))), "{answer:?}");
    let answer = ask_at(&mut sim, node, UNKNOWN, cancel("j1"), &key("ka"));
    assert_eq!(answer, Some(Answer::Cancelled));
}

// Guards against a workspace that sees, stops or takes over another one's job.
#[test]
fn other_workspaces_job_is_unknown_and_its_id_in_use() {
    let mut sim = start(10, two_workspaces(1));
    sim.run_time = Some(ms(20_000));
    assert_eq!(ask(&mut sim, submit("j1"), &key("ka")), Some(Answer::Accepted));
    assert!(sim.run_until(ms(2000), |sim| sim.started_runs == 1));
    for node in 0..NODES {
        let mut ask_b = |op| ask_at(&mut sim, node, PREFIX, op, &key("kb"));
        assert_eq!(ask_b(state("j1")), Some(Answer::JobNotFound));
        assert_eq!(ask_b(cancel("j1")), Some(Answer::JobNotFound));
        assert_eq!(ask_b(submit("j1")), Some(Answer::IdInUse));
    }
    assert_eq!(ask(&mut sim, state("j1"), &key("ka")), Some(Answer::State(JobState::Running)));
    assert_eq!(ask(&mut sim, submit("j1"), &key("ka")), Some(Answer::Accepted));
    assert_eq!((workspace_of(&sim, "j1"), sim.started_runs), ("a".to_owned(), 1));
}

// Guards against a query that waits for a commit and then tells of a job that came meanwhile.
#[test]
fn query_before_other_workspaces_submission_finds_no_job() {
    let mut sim = start(11, two_workspaces(1));
    let leader = sim.leader().expect("a node leads");
    // The query may be answered after the commit that stores the job, depending on when it comes.
    for offset in 0..60 {
        let id = format!("j{offset}");
        sim.credential = key("ka");
        let earlier = sim.call(leader, submit(&format!("{id}-earlier")));
        sim.run(ms(offset % 20));
        sim.credential = key("kb");
        let query = sim.call(leader, state(&id));
        let stop = sim.call(leader, cancel(&id));
        sim.run(ms(offset / 20));
        sim.credential = key("ka");
        let submission = sim.call(leader, submit(&id));
        sim.credential = key("kb");
        let other = sim.call(leader, submit(&id));
        sim.run(ms(100));
        assert_eq!(sim.answers.get(&query), Some(&Answer::JobNotFound), "{offset}");
        assert_eq!(sim.answers.get(&stop), Some(&Answer::JobNotFound), "{offset}");
        assert_eq!(sim.answers.get(&earlier), Some(&Answer::Accepted), "{offset}");
        assert_eq!(sim.answers.get(&submission), Some(&Answer::Accepted), "{offset}");
        assert_eq!(sim.answers.get(&other), Some(&Answer::IdInUse), "{offset}");
    }
}

// Guards against accepted work that is dropped or lost to its workspace with the key.
#[test]
fn job_of_removed_key_completes() {
    let mut sim = start(12, two_workspaces(1));
    sim.run_time = Some(ms(6000));
    assert_eq!(ask(&mut sim, submit("j1"), &key("ka")), Some(Answer::Accepted));
    apply(&mut sim, rules(2, &[("a", &["ka2"]), ("b", &["kb"])]));
    assert_eq!(ask(&mut sim, state("j1"), &key("ka")), Some(Answer::Unauthorized));
    assert!(sim.wait_for_state_with("j1", &key("ka2")));
    assert_eq!((workspace_of(&sim, "j1"), sim.started_runs), ("a".to_owned(), 1));
    assert_eq!(sim.violations, Vec::<String>::new());
}

// Guards against a next leader that does not know whose a job is, be it open or ended.
#[test]
fn workspace_is_known_after_change_of_leader() {
    let mut sim = start(13, two_workspaces(1));
    assert_eq!(ask(&mut sim, submit("ended"), &key("ka")), Some(Answer::Accepted));
    assert!(sim.wait_for_state_with("ended", &key("ka")));
    sim.run_time = Some(ms(30_000));
    assert_eq!(ask(&mut sim, submit("open"), &key("ka")), Some(Answer::Accepted));
    // Long enough for the details of the ended job to be dropped.
    sim.run(ms(3000));
    let former = sim.leader().expect("a node leads");
    sim.kill(former);
    assert!(sim.run_until(ms(5000), |sim| sim.leader().is_some()));
    sim.run(ms(500));
    for (id, expected) in [("ended", JobState::Completed), ("open", JobState::Running)] {
        assert_eq!(workspace_of(&sim, id), "a");
        assert_eq!(ask(&mut sim, state(id), &key("kb")), Some(Answer::JobNotFound));
        assert_eq!(ask(&mut sim, submit(id), &key("kb")), Some(Answer::IdInUse));
        assert_eq!(ask(&mut sim, state(id), &key("ka")), Some(Answer::State(expected)));
    }
}

// Guards against operators that need a key, and against jobs of workspaces that do not exist.
#[test]
fn operators_need_no_key_and_name_workspaces() {
    let mut sim = start(14, two_workspaces(1));
    let operator = Credential::Operator;
    let with_workspace = |id: &str, workspace: &str| {
        let mut submission = job(id, vec![step(1, 300)]);
        workspace.clone_into(&mut submission.workspace);
        Operation::Submit(submission)
    };
    let mut ask_operator = |op| ask(&mut sim, op, &operator);
    assert_eq!(ask_operator(with_workspace("o1", "b")), Some(Answer::Accepted));
    assert_eq!(ask_operator(with_workspace("o2", "")), Some(Answer::Accepted));
    assert_eq!(ask_operator(with_workspace("o3", "none")), Some(Answer::Unauthorized));
    assert_eq!(ask_operator(with_workspace("o1", "a")), Some(Answer::IdInUse));
    assert!(matches!(ask_operator(state("o1")), Some(Answer::State(_))));
    assert!(matches!(ask_operator(Operation::CountPending), Some(Answer::Pending(_))));
    assert_eq!(ask_operator(cancel("o1")), Some(Answer::Cancelled));
    assert_eq!((workspace_of(&sim, "o1"), workspace_of(&sim, "o2")), ("b".into(), String::new()));
    assert_eq!(workspace_of(&sim, "o3"), "no job");
}

// Guards against callers that choose the workspace of their jobs themselves.
#[test]
fn workspace_named_by_caller_is_ignored() {
    for (rules, expected) in [(two_workspaces(1), "a"), (rules(1, &[]), "")] {
        let mut sim = start(15, rules);
        let mut submission = job("j1", vec![step(1, 300)]);
        "b".clone_into(&mut submission.workspace);
        let answer = ask(&mut sim, Operation::Submit(submission), &key("ka"));
        assert_eq!(answer, Some(Answer::Accepted));
        assert_eq!(workspace_of(&sim, "j1"), expected);
    }
}

// Guards against deployments without workspaces that notice the keys.
#[test]
fn rules_without_workspaces_need_no_keys() {
    let mut sim = start(16, rules(1, &[]));
    for (number, credential) in [Credential::Missing, key("ka")].iter().enumerate() {
        let id = format!("j{number}");
        assert_eq!(ask(&mut sim, submit(&id), credential), Some(Answer::Accepted));
        for other in [Credential::Missing, key("kb")] {
            assert!(matches!(ask(&mut sim, state(&id), &other), Some(Answer::State(_))));
        }
        // A job whose route is gone is still known.
        let node = follower(&sim);
        let answer = ask_at(&mut sim, node, UNKNOWN, submit(&id), &Credential::Missing);
        assert_eq!(answer, Some(Answer::Accepted));
    }
    // An invalid body is refused at once, also without a leader.
    let node = follower(&sim);
    sim.cut_from_peers.insert(node);
    sim.run(ms(3000));
    let before = sim.now;
    let answer = ask_at(&mut sim, node, PREFIX, Operation::CheckAccess, &Credential::Missing);
    assert_eq!(answer, Some(Answer::Authorized));
    assert!(sim.now <= before + ms(10), "it took {:?}", sim.now.saturating_sub(before));
}

// Guards against jobs that their callers lose when workspaces are introduced or abolished.
#[test]
fn jobs_from_before_workspaces_stay_known() {
    let mut sim = start(17, rules(1, &[]));
    assert_eq!(ask(&mut sim, submit("before"), &Credential::Missing), Some(Answer::Accepted));
    apply(&mut sim, two_workspaces(2));
    assert!(matches!(ask(&mut sim, state("before"), &key("ka")), Some(Answer::State(_))));
    assert_eq!(ask(&mut sim, submit("before"), &key("ka")), Some(Answer::Accepted));
    assert_eq!(ask(&mut sim, state("before"), &Credential::Missing), Some(Answer::Unauthorized));
    assert_eq!(ask(&mut sim, submit("during"), &key("ka")), Some(Answer::Accepted));
    apply(&mut sim, rules(3, &[]));
    assert!(matches!(ask(&mut sim, state("during"), &Credential::Missing), Some(Answer::State(_))));
}

// Guards against daemons that do not notice when keys begin or cease to be needed.
#[test]
fn invalid_request_follows_introduction_of_workspaces() {
    let mut sim = start(24, rules(1, &[]));
    let steps = [
        (rules(1, &[]), Answer::Authorized),
        (two_workspaces(2), Answer::Unauthorized),
        (rules(3, &[("a", &[])]), Answer::Unauthorized),
        (rules(4, &[]), Answer::Authorized),
    ];
    for (number, (rules, expected)) in steps.into_iter().enumerate() {
        apply(&mut sim, rules);
        for node in 0..NODES {
            let check = Operation::CheckAccess;
            let answer = ask_at(&mut sim, node, PREFIX, check, &Credential::Missing);
            assert_eq!(answer.as_ref(), Some(&expected), "step {number}, n{node}");
        }
    }
}

// Guards against a daemon that answers from memory whether a key is valid.
#[test]
fn follower_without_leader_refuses_known_and_unknown_keys() {
    let mut sim = start(18, two_workspaces(1));
    let node = follower(&sim);
    sim.cut_from_peers.insert(node);
    sim.run(ms(3000));
    sim.rules = rules(2, &[("a", &[]), ("b", &["kb"])]);
    for credential in [Credential::Missing, key("ka"), key("kb")] {
        for op in all_operations("j1") {
            let answer = ask_at(&mut sim, node, PREFIX, op, &credential);
            assert!(matches!(answer, Some(Answer::Refused { .. })), "{answer:?}");
        }
    }
}

// Guards against a daemon that tells that a body is invalid before it knows whether keys are needed.
#[test]
fn daemon_that_heard_no_rules_asks_for_access() {
    let mut sim = start(19, two_workspaces(1));
    let node = follower(&sim);
    sim.kill(node);
    sim.run(ms(100));
    sim.start(node);
    let answer = ask_at(&mut sim, node, PREFIX, Operation::CheckAccess, &Credential::Missing);
    assert_eq!(answer, Some(Answer::Unauthorized));
    let answer = ask_at(&mut sim, node, PREFIX, Operation::CheckAccess, &key("ka"));
    assert_eq!(answer, Some(Answer::Authorized));
}

// Guards against a 401 for a job that runs, as its key was removed while the leader changed.
#[test]
fn resent_submission_of_removed_key_is_not_denied() {
    let mut sim = start(20, two_workspaces(1));
    let (former, node) = (sim.leader().expect("a node leads"), follower(&sim));
    sim.credential = key("ka");
    let token = sim.call(node, submit("j1"));
    // The leader stores the job and dies, and its answer does not reach the follower.
    sim.run(ms(5));
    sim.cut_from_peers.insert(former);
    sim.run(ms(100));
    assert_eq!(sim.answers.get(&token), None);
    sim.kill(former);
    sim.cut_from_peers.clear();
    sim.rules = rules(2, &[("a", &[]), ("b", &["kb"])]);
    sim.run(ms(4000));
    assert_ne!(workspace_of(&sim, "j1"), "no job", "the former leader stored the job");
    assert_eq!(sim.answers.get(&token), Some(&Answer::OutcomeUnknown));
}

/// A meter that collects the counts of denied requests.
#[derive(Debug, Default)]
struct DeniedCounts(RefCell<HashMap<&'static str, u64>>);

impl Meter for DeniedCounts {
    fn add(&self, counter: Counter, label: &'static str, by: u64) {
        if counter == Counter::Denied {
            *self.0.borrow_mut().entry(label).or_default() += by;
        }
    }

    fn record_duration(&self, _timing: Timing, _duration: Duration) {}

    fn set_gauge(&self, _gauge: Gauge, _value: u64) {}
}

/// Collects log lines as text.
#[derive(Debug, Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for Lines {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no thread panics").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Lines {
    fn logger(&self) -> slog::Logger {
        use slog::Drain;
        let plain = slog_term::PlainSyncDecorator::new(self.clone());
        let drain = slog_term::FullFormat::new(plain).build().ignore_res();
        slog::Logger::root(drain, slog::o!())
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.lock().expect("no thread panics")).into_owned()
    }

    fn count(&self, text: &str) -> usize {
        self.text().lines().filter(|line| line.contains(text)).count()
    }
}

/// Starts a cell whose log lines and counts of denied requests are collected.
fn start_logged(seed: u64) -> (Simulation, Lines, Rc<DeniedCounts>) {
    let (lines, counts) = (Lines::default(), Rc::new(DeniedCounts::default()));
    let mut sim = Simulation::new(seed, NODES, 4);
    sim.meter = Rc::<DeniedCounts>::clone(&counts);
    sim.log = Some(lines.logger());
    for node in 0..NODES {
        sim.kill(node);
        sim.start(node);
    }
    (start_with(sim, two_workspaces(17)), lines, counts)
}

// Guards against a 401, 409 or 410 whose reason nobody can find.
#[test]
fn denied_requests_are_logged_and_counted_by_reason() {
    let (mut sim, lines, counts) = start_logged(21);
    assert_eq!(ask(&mut sim, submit("j1"), &key("ka")), Some(Answer::Accepted));
    ask(&mut sim, submit("j2"), &Credential::Missing);
    ask(&mut sim, Operation::CountPending, &key("kc"));
    ask(&mut sim, state("j1"), &key("kb"));
    ask(&mut sim, cancel("j1"), &key("kb"));
    ask(&mut sim, submit("j1"), &key("kb"));
    let expected = HashMap::from([("no_key", 1), ("unknown_key", 1), ("other_workspace", 3)]);
    assert_eq!(*counts.0.borrow(), expected);
    let text = lines.text();
    let denied: Vec<&str> =
        text.lines().filter(|line| line.contains("request not authorized")).collect();
    assert_eq!(denied.len(), 5, "{denied:#?}");
    for (line, reason, method) in [
        (denied[0], "reason: no key", "method: POST"),
        (denied[1], "reason: unknown key", "method: GET"),
        (denied[2], "reason: other workspace", "method: GET"),
        (denied[3], "reason: other workspace", "method: DELETE"),
        (denied[4], "reason: other workspace", "method: POST"),
    ] {
        for field in [reason, method, "route: quick", "rules: 17"] {
            assert!(line.contains(field), "{line} lacks {field}");
        }
    }
}

// Guards against a log that a caller without a key fills, and against a reason that it hides.
#[test]
fn denied_flood_logs_few_lines() {
    let (mut sim, lines, counts) = start_logged(22);
    let node = follower(&sim);
    for _ in 0..200 {
        sim.call(node, submit("flood"));
        sim.run(ms(5));
    }
    ask(&mut sim, submit("j1"), &key("kc"));
    assert_eq!(counts.0.borrow()["no_key"], 200);
    let logged = lines.count("reason: no key");
    assert!((5..=10).contains(&logged), "{logged} lines");
    assert_eq!(lines.count("reason: unknown key"), 1);
    sim.run(ms(1000));
    ask(&mut sim, submit("j1"), &Credential::Missing);
    let text = lines.text();
    let last = text.lines().rfind(|line| line.contains("reason: no key")).expect("a line");
    assert!(last.contains("left_out: ") && !last.contains("left_out: 0"), "{last}");
}

// Guards against a log or a view that shows a key or the digest that opens a workspace.
#[test]
fn keys_and_digests_are_in_no_log_line_or_view() {
    let (mut sim, lines, _) = start_logged(23);
    for (id, credential) in [("j1", key("ka")), ("j2", key("kc")), ("j1", key("kb"))] {
        for op in all_operations(id) {
            ask(&mut sim, op, &credential);
        }
    }
    apply(&mut sim, rules(18, &[("a", &["kc"]), ("b", &["ka"])]));
    let mut shown = lines.text();
    for view in [View::Queues, View::Workers, View::Members, View::Job(Name::new("j1"))] {
        let answer = ask(&mut sim, Operation::View(view), &Credential::Operator);
        let Some(Answer::View(text)) = answer else { panic!("{answer:?}") };
        shown += &text;
    }
    assert!(shown.contains("request not authorized"), "the requests were logged");
    for key in ["ka", "kb", "kc"] {
        // The first digits of the digest, which a derived implementation would show too.
        let digits = format!("{:?}", KeyDigest::of(key.as_bytes()));
        assert!(!shown.contains(&digits), "{key}");
    }
}

impl Simulation {
    /// Waits until a job has completed, as a caller with a credential sees it.
    fn wait_for_state_with(&mut self, id: &str, credential: &Credential) -> bool {
        self.credential = credential.clone();
        let has_completed = self.wait_for_state(id, JobState::Completed, ms(20_000));
        self.credential = Credential::Missing;
        has_completed
    }
}
