//! Measures the time that a leader takes for each kind of input.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::Name;
use control::{
    Action, AdviceResult, Body, CallerRequest, Capacity, Change, CommitResult, Config, Credential,
    Frame, Heartbeat, Hello, Input, Node, NoopMeter, Operation, OrderReply, Page, PeerEvent,
    RenewReply, Request, Role, Target, WatchResult, WatchTarget,
};
use hdrhistogram::Histogram;
use scheduler::{
    ActiveRun, Limits, Listing, Queue, Registration, Resources, Rules, Step, Submission, Workspaces,
};
use serde_json::{Value, json};
use slog::{Logger, o};

use crate::bench::Result;

/// Host and path prefix that are routed to the queue.
const HOST: &str = "host.example";
const PREFIX: &str = "/jobs/";

/// Simulated time between two inputs.
const INPUT_INTERVAL: Duration = Duration::from_millis(1);

/// Interval between heartbeats of a follower.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Inputs measured of each kind.
const INPUTS_PER_KIND: usize = 2000;

/// Longest measured time of one input, in ns.
const MAX_INPUT_NS: u64 = 10_000_000_000;

/// Tasks that a worker can run at a time.
const TASKS_PER_WORKER: u32 = 4;

/// Most inputs that it takes until the leader accepts requests.
const MAX_SETUP_INPUTS: usize = 200_000;

/// Size of the pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolSize {
    /// Workers of the pool.
    pub workers: usize,
    /// Open jobs of one task each.
    pub jobs: usize,
    /// Followers of the leader.
    pub followers: usize,
}

/// A leader, and the rest of the pool as it sees it.
struct World {
    node: Node,
    now: Duration,
    /// When the followers' next heartbeats are due.
    next_beat: Duration,
    store_version: u64,
    workers: usize,
    /// Inputs that result from actions and are due at once.
    replies: VecDeque<Input>,
    /// Renewals that their workers hold open, with the worker.
    held_renewals: VecDeque<(u64, Name)>,
    /// Runs by worker.
    runs: HashMap<Name, Vec<ActiveRun>>,
}

impl World {
    fn new(workers: usize) -> Self {
        let config = Config {
            member: Name::new("leader"),
            peer_address: Name::new("leader:1"),
            incarnation: 1,
            seed: 1,
            max_lease: Duration::from_secs(10),
            ended_job_retention: Duration::from_mins(2),
            grace_period: Duration::from_secs(6),
            max_transaction_rows: 100,
            max_transaction_bytes: 600_000,
            max_row_bytes: 48_000,
            compaction_row_limit: 200,
            initial_commit_latency: Duration::from_millis(8),
            capacity: Capacity::UNKNOWN,
        };
        let log = Logger::root(slog::Discard, o!());
        Self {
            node: Node::new(config, log, Rc::new(NoopMeter), Duration::ZERO),
            now: Duration::ZERO,
            next_beat: Duration::ZERO,
            store_version: 0,
            workers,
            replies: VecDeque::new(),
            held_renewals: VecDeque::new(),
            runs: HashMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        self.now.as_millis() as u64
    }

    /// Passes an input to the node, performs its actions, and returns the node's time for it.
    fn handle(&mut self, input: Input) -> Duration {
        let began = Instant::now();
        let actions = self.node.handle(self.now, input);
        let took = began.elapsed();
        for action in actions {
            self.perform(action);
        }
        took
    }

    /// Passes the due replies to the node, and those that result from them.
    fn settle(&mut self) {
        while let Some(reply) = self.replies.pop_front() {
            self.handle(reply);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Read { call, .. } => {
                let page =
                    Page { rows: Vec::new(), has_more: false, store_clock_ms: self.clock_ms() };
                self.replies.push_back(Input::Read { call, page: Some(page) });
            }
            Action::Commit { call, .. } => {
                self.store_version += 1;
                let commit = CommitResult::Committed {
                    version: self.store_version,
                    store_clock_ms: self.clock_ms(),
                };
                self.replies.push_back(Input::Commit { call, commit });
            }
            Action::Watch { call, target, cursor: None, .. } => {
                let result = WatchResult::Changed(self.snapshot(target));
                self.replies.push_back(Input::Watch { call, target, result });
            }
            Action::Renew { call, worker, max_wait, .. } => {
                if max_wait.is_zero() {
                    let reply = self.renewal_reply(call, &worker);
                    self.replies.push_back(reply);
                } else {
                    self.held_renewals.push_back((call, worker));
                }
            }
            Action::Start { call, start, .. } => {
                let run = ActiveRun {
                    key: Some(start.key),
                    run: start.run,
                    checkpoint: Name::default(),
                    percent: 0,
                };
                self.runs.entry(start.worker).or_default().push(run);
                let reply = OrderReply::Done { clock_ms: self.clock_ms() };
                self.replies.push_back(Input::Order { call, reply });
            }
            _ => {}
        }
    }

    fn renewal_reply(&self, call: u64, worker: &Name) -> Input {
        let running = self.runs.get(worker).cloned().unwrap_or_default();
        let listing = Listing { incarnation: 1, running, finished: Vec::new(), is_complete: true };
        Input::Renew { call, reply: RenewReply::Renewed { clock_ms: self.clock_ms(), listing } }
    }

    fn snapshot(&self, target: WatchTarget) -> Change {
        let registration = |number: usize| Registration {
            id: Name::from(format!("w{number}").as_str()),
            incarnation: 1,
            address: Name::from(format!("w{number}:1").as_str()),
            service: Name::new("service"),
            zone: Name::new("zone"),
            labels: Vec::new(),
            capacity: Resources { cpu: 1000 * TASKS_PER_WORKER, mem: 100_000, gpus: 0 },
            is_draining: false,
        };
        Change {
            cursor: 1,
            is_snapshot: target == WatchTarget::Workers,
            has_more: false,
            rules: (target == WatchTarget::Rules).then(|| Box::new(rules())),
            registrations: match target {
                WatchTarget::Workers => (0..self.workers).map(registration).collect(),
                WatchTarget::Rules => Vec::new(),
            },
            removed: Vec::new(),
            store_clock_ms: self.clock_ms(),
        }
    }

    /// Makes the node lead the given pool.
    fn set_up(&mut self, size: PoolSize) -> Result<()> {
        for _ in 0..MAX_SETUP_INPUTS {
            if self.node.role() == Role::Leading {
                break;
            }
            self.now += INPUT_INTERVAL;
            self.handle(Input::Tick);
            self.settle();
        }
        if self.node.role() != Role::Leading {
            return Err("the node does not lead".into());
        }
        for follower in 0..size.followers {
            self.handle(Input::Peer { link: link(follower), event: PeerEvent::Accepted });
            let hello = Hello {
                member: format!("f{follower}"),
                epoch: 0,
                address: format!("f{follower}:1"),
                ..Hello::default()
            };
            self.handle(frame(follower, Body::Hello(hello)));
        }
        for job in 0..size.jobs {
            let need = Resources { cpu: 1000, mem: 100, gpus: 0 };
            let step = Step { count: 1, need, estimate: 60_000, ..Step::default() };
            let submission = Submission {
                id: job_id(job),
                payload: "x".repeat(200),
                steps: vec![step],
                ..Submission::default()
            };
            self.handle(Input::Call {
                token: job as u64,
                call: call(&job_id(job), Operation::Submit(submission)),
            });
            if job % 100 == 0 {
                self.pause(size.followers, Duration::from_millis(100));
            }
        }
        self.pause(size.followers, Duration::from_secs(3));
        Ok(())
    }

    /// Lets time pass, with ticks and the followers' heartbeats.
    fn pause(&mut self, followers: usize, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now += INPUT_INTERVAL * 5;
            self.handle(Input::Tick);
            self.settle();
            self.beat(followers);
        }
    }

    /// Passes heartbeats of all followers if they are due.
    fn beat(&mut self, followers: usize) {
        if self.now >= self.next_beat {
            self.next_beat = self.now + HEARTBEAT_INTERVAL;
            for follower in 0..followers {
                self.handle(frame(follower, Body::Beat(Heartbeat::default())));
            }
            self.settle();
        }
    }

    /// Measures inputs of one kind; none of them is measured if the kind does not occur.
    fn measure(
        &mut self,
        followers: usize,
        mut next: impl FnMut(&mut Self, usize) -> Option<Input>,
    ) -> Value {
        let mut times =
            Histogram::<u64>::new_with_max(MAX_INPUT_NS, 3).expect("three digits are allowed");
        for number in 0..INPUTS_PER_KIND {
            self.now += INPUT_INTERVAL;
            self.beat(followers);
            if let Some(input) = next(self, number) {
                let took = self.handle(input);
                times.saturating_record(took.as_nanos() as u64);
            }
            self.settle();
        }
        let us = |ns: u64| ns as f64 / 1000.0;
        json!({
            "n": times.len(),
            "p50_us": us(times.value_at_quantile(0.5)),
            "p90_us": us(times.value_at_quantile(0.9)),
            "max_us": us(times.max()),
        })
    }
}

fn link(follower: usize) -> u64 {
    follower as u64 * 2 + 3
}

fn job_id(number: usize) -> String {
    format!("{number:016x}")
}

fn frame(follower: usize, body: Body) -> Input {
    let event = PeerEvent::Frame(Frame { body: Some(body) });
    Input::Peer { link: link(follower), event }
}

fn call(job: &str, op: Operation) -> CallerRequest {
    let path = Name::from(format!("{PREFIX}{job}").as_str());
    let target = Target::Route { host: Name::new(HOST), path };
    CallerRequest { target, op, credential: Credential::Missing, timeout: Duration::from_secs(3) }
}

fn rules() -> Rules {
    Rules {
        version: 1,
        queues: vec![Queue {
            name: Name::new("queue"),
            host: Name::new(HOST),
            prefix: Name::new(PREFIX),
            service: Name::new("service"),
            priority: 0,
            max_attempts: 2,
            target_factor: 1.5,
            target_offset: Duration::from_millis(250),
            advice: None,
            is_public: false,
        }],
        services: Vec::new(),
        limits: Limits {
            header_bytes: 16_384,
            body_bytes: 262_144,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        workspaces: Workspaces::default(),
    }
}

/// A follower's request.
fn request(follower: usize, id: usize, op: u32, job: &str) -> Input {
    let request = Request {
        id: id as u64,
        host: HOST.to_owned(),
        path: format!("{PREFIX}{job}"),
        op,
        job: job.to_owned(),
        ..Request::default()
    };
    frame(follower, Body::Request(request))
}

/// Runs the measurement; returns its JSON line.
///
/// # Errors
///
/// If the node does not become leader.
pub fn run(size: PoolSize) -> Result<Value> {
    let mut world = World::new(size.workers);
    world.set_up(size)?;
    let followers = size.followers;
    let mut kinds = BTreeMap::new();
    let tick = world.measure(followers, |_, _| Some(Input::Tick));
    kinds.insert("tick", tick);
    let beat = |_: &mut World, number: usize| {
        Some(frame(number % followers.max(1), Body::Beat(Heartbeat::default())))
    };
    kinds.insert("heartbeat", world.measure(followers, beat));
    let state = |_: &mut World, number: usize| {
        let job = job_id(number % size.jobs.max(1));
        Some(request(number % followers.max(1), number, 2, &job))
    };
    kinds.insert("get_state", world.measure(followers, state));
    let count =
        |_: &mut World, number: usize| Some(request(number % followers.max(1), number, 4, ""));
    kinds.insert("count_pending", world.measure(followers, count));
    let order = |_: &mut World, _| {
        let reply = OrderReply::Done { clock_ms: 0 };
        Some(Input::Order { call: u64::MAX, reply })
    };
    kinds.insert("order_reply", world.measure(followers, order));
    let advice = |_: &mut World, _| {
        let result = AdviceResult { allowed: Vec::new(), validity: Duration::ZERO };
        Some(Input::Advice { call: u64::MAX, result: Some(result) })
    };
    kinds.insert("advice", world.measure(followers, advice));
    let renewal = |world: &mut World, _| {
        let (call, worker) = world.held_renewals.pop_front()?;
        Some(world.renewal_reply(call, &worker))
    };
    kinds.insert("renewal_reply", world.measure(followers, renewal));
    let scheduler = world.node.scheduler();
    let open_jobs = scheduler.map_or(0, scheduler::Scheduler::open_jobs);
    Ok(json!({
        "measure": "leader",
        "workers": size.workers,
        "open_jobs": open_jobs,
        "followers": followers,
        "inputs": kinds,
    }))
}
