//! Duration of a placement pass over many open jobs.

use std::time::{Duration, Instant};

use common::Name;
use scheduler::{
    AdviceCapacity, AdvicePolicy, CallClass, Limits, Queue, Registration, Resources, Rules,
    Scheduler, Step, Submission, Workspace, Workspaces,
};
use serde_json::{Map, Value};

use crate::bench::Result;
use crate::leader::PoolSize;

/// Passes whose mean duration is reported.
const PASSES: u32 = 200;

/// Numbers of workspaces that share the pool.
const WORKSPACES: [usize; 3] = [0, 20, 500];

/// Simulated time between two passes.
const PASS_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which the tickets of an advice answer are valid.
const TICKET_VALIDITY: Duration = Duration::from_millis(1500);

/// Capacity of a worker, in thousandths of a core.
const WORKER_CPU: u32 = 16_000;

/// Time of the first pass, which leaves room for times before it.
const START: Duration = Duration::from_secs(10);

/// Measures the mean duration of a pass in pools with and without room.
///
/// # Errors
///
/// Fails if the result cannot be expressed in JSON.
pub fn run(size: PoolSize) -> Result<Value> {
    let tasks = |count: u32| Step {
        count,
        need: Resources { cpu: 1000, mem: 100, gpus: 0 },
        estimate: 1000,
        ..Step::default()
    };
    let gang = Step { is_gang: true, ..tasks(4) };
    let labelled = Step { requirement: "none".to_owned(), ..tasks(4) };
    let cases = [
        ("no room", false, 900, tasks(4)),
        ("one task a job, room", false, WORKER_CPU, tasks(1)),
        ("no worker with the label", false, 1500, labelled),
        ("gangs with advice, no room", true, 900, gang),
        ("advice, some room", true, 2000, tasks(4)),
    ];
    let mut durations = Map::new();
    for (name, needs_advice, free_cpu, step) in cases {
        for workspaces in WORKSPACES {
            let mut scheduler = new_pool(size, workspaces, needs_advice, free_cpu);
            for number in 0..size.jobs {
                let id = format!("{number:016x}");
                let job = Submission {
                    id,
                    payload: String::new(),
                    steps: vec![step.clone()],
                    workspace: workspace_name(number, workspaces).to_string(),
                };
                scheduler.submit(job, Name::new("q"), START, 0);
            }
            let duration = mean_pass(&mut scheduler, size.followers / 3);
            let name = match workspaces {
                0 => name.to_owned(),
                _ => format!("{name}, {workspaces} workspaces"),
            };
            println!("{name}: {duration:?}");
            durations.insert(name, Value::from(duration.as_secs_f64() * 1e6));
        }
    }
    Ok(Value::Object(Map::from_iter([("pass_us".to_owned(), Value::Object(durations))])))
}

/// Name of the workspace of a job or run, of a number of them; empty if there are none.
fn workspace_name(number: usize, workspaces: usize) -> Name {
    match workspaces {
        0 => Name::default(),
        _ => Name::from(format!("workspace-{:03}", number % workspaces)),
    }
}

/// A pool whose workers have `free_cpu` left; workspaces use the rest in runs of a core each.
fn new_pool(size: PoolSize, workspaces: usize, needs_advice: bool, free_cpu: u32) -> Scheduler {
    let mut scheduler = Scheduler::default();
    let names = (0..workspaces).map(|number| workspace_name(number, workspaces));
    let workspaces_of_rules = names.zip(1..).map(|(name, weight)| Workspace {
        name,
        weight,
        limit: Resources::default(),
        keys: Vec::new(),
    });
    scheduler.set_rules(Rules {
        workspaces: Workspaces::new(workspaces_of_rules),
        ..rules(needs_advice)
    });
    for number in 0..size.workers {
        let id = Name::from(format!("worker-{number:04}").as_str());
        scheduler.pool.register(Registration {
            id: id.clone(),
            incarnation: 1,
            address: Name::new("a"),
            service: Name::new("s"),
            zone: Name::new("z"),
            labels: vec![Name::new("kind"), Name::new("rack")],
            capacity: Resources { cpu: WORKER_CPU, mem: 64_000, gpus: 0 },
            is_draining: false,
        });
        let worker = scheduler.pool.get_mut(&id).expect("the worker was registered");
        worker.has_current_token = true;
        worker.allocated = Resources { cpu: WORKER_CPU - free_cpu, mem: 0, gpus: 0 };
        let runs = ((WORKER_CPU - free_cpu) / 1000) as usize;
        for run in 0..runs.min(workspaces) {
            let number = number * runs + run;
            let used = Resources { cpu: 1000, mem: 0, gpus: 0 };
            worker.used_by.insert(workspace_name(number, workspaces), used);
        }
    }
    scheduler
}

/// Rules with one queue.
fn rules(needs_advice: bool) -> Rules {
    let second = Duration::from_secs(1);
    let advice = AdvicePolicy {
        base_duration: Duration::from_millis(7),
        duration_per_worker: Duration::from_micros(100),
        validity: TICKET_VALIDITY,
    };
    let queue = Queue {
        name: Name::new("q"),
        host: Name::new("h"),
        prefix: Name::new("/p/"),
        service: Name::new("s"),
        priority: 0,
        max_attempts: 2,
        target_factor: 2.0,
        target_offset: second,
        advice: needs_advice.then_some(advice),
        is_public: false,
    };
    let limits =
        Limits { header_bytes: 1, body_bytes: 1, header_timeout: second, idle_timeout: second };
    Rules {
        version: 1,
        queues: vec![queue],
        services: Vec::new(),
        limits,
        workspaces: Workspaces::default(),
    }
}

/// Mean duration of a pass; the answers to its advice calls arrive before the next one.
fn mean_pass(scheduler: &mut Scheduler, daemons: usize) -> Duration {
    let mut total = Duration::ZERO;
    for pass in 0..PASSES {
        let now = START + PASS_INTERVAL * pass;
        let mut capacity = AdviceCapacity::default();
        for class in CallClass::ALL {
            for _ in 0..daemons {
                capacity.add_daemon(&[class], None, Duration::ZERO);
            }
        }
        let started = Instant::now();
        scheduler.plan(now, Duration::ZERO, capacity);
        total += started.elapsed();
        scheduler.starts.clear();
        for call in std::mem::take(&mut scheduler.advice_calls) {
            let allowed = call.workers.into_iter().step_by(2);
            let allowed = allowed.map(|id| (id, Name::new("ticket"))).collect();
            scheduler.apply_advice(&call.key, Some((allowed, TICKET_VALIDITY)), now);
        }
    }
    total / PASSES
}
