//! Load generator: callers submit requests at a given rate and record the outcome of each.

use std::collections::HashSet;
use std::io::ErrorKind;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::caller::Caller;

/// Content that all requests of one load share.
#[derive(Debug, Clone)]
pub struct RequestTemplate {
    /// Kind of work, as the rules name it.
    pub kind: String,
    /// Customer that the requests belong to.
    pub customer: String,
    /// Payload words, which the stand-in interprets.
    pub payload: String,
    /// Number of tasks in each request.
    pub tasks: u32,
    /// Longest wait for a result in milliseconds; 0 submits without waiting.
    pub wait_ms: u64,
    /// Whether to submit the work as not repeatable.
    pub is_once: bool,
}

/// Outcome of one request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Request id, unique within its customer.
    pub id: String,
    /// Kind of work, as the rules name it.
    pub kind: String,
    /// When the first try began.
    pub submitted_at: Instant,
    /// Time from the first try to the end of the last one.
    pub elapsed: Duration,
    /// Last answer; `None` if every try failed without one.
    pub answer: Option<Value>,
    /// Number of times that the request was submitted.
    pub tries: u32,
    /// Number of established connections that ended without an answer.
    pub broken_connections: u32,
    /// Microseconds from the entry to the call of an executor; `None` without both spans.
    pub placement_us: Option<u64>,
}

impl Outcome {
    /// Whether the last answer is a result.
    pub fn is_done(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| answer["state"] == "done")
    }

    /// The answer's `ran` field, which tells whether the work ran; empty if it is absent.
    pub fn reported_ran(&self) -> &str {
        self.answer.as_ref().and_then(|answer| answer["ran"].as_str()).unwrap_or("")
    }
}

/// Running callers and the outcomes of their requests.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    threads: Vec<JoinHandle<()>>,
}

/// Interval at which the simulated load balancer checks a daemon's readiness.
const READINESS_INTERVAL: Duration = Duration::from_millis(500);

/// Number of times that a caller submits one request before it gives up.
const MAX_TRIES: u32 = 20;

impl Load {
    /// Starts callers that together submit `rate` requests per second from one template.
    pub fn start(
        urls: &[String],
        callers: usize,
        rate: f64,
        prefix: &str,
        template: &RequestTemplate,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes = Arc::new(Mutex::new(Vec::new()));
        let next_number = Arc::new(AtomicU64::new(0));
        let began = Instant::now();
        let ready = watch_readiness(urls, &stop);
        let spawn = |index: usize| {
            let mut load_caller = LoadCaller {
                callers: urls.iter().map(|url| Caller::new(url)).collect(),
                daemon: index,
                ready: Arc::clone(&ready),
                template: template.clone(),
                prefix: prefix.to_owned(),
            };
            let (stop, outcomes, next_number) =
                (Arc::clone(&stop), Arc::clone(&outcomes), Arc::clone(&next_number));
            thread::spawn(move || {
                let mut thread_outcomes = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let number = next_number.fetch_add(1, Ordering::Relaxed);
                    let due = began + Duration::from_secs_f64(number as f64 / rate);
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    thread_outcomes.push(load_caller.submit_with_retries(number));
                }
                outcomes
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .append(&mut thread_outcomes);
            })
        };
        let threads = (0..callers).map(spawn).collect();
        Self { stop, outcomes, threads }
    }

    /// Stops submitting, waits for pending answers and returns all outcomes.
    pub fn finish(self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        std::mem::take(&mut *self.outcomes.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// One caller behind the simulated load balancer.
struct LoadCaller {
    callers: Vec<Caller>,
    /// Index of the daemon that the last try went to.
    daemon: usize,
    /// By daemon, whether the load balancer routes requests to it.
    ready: Arc<Vec<AtomicBool>>,
    template: RequestTemplate,
    prefix: String,
}

impl LoadCaller {
    /// Index of the next ready daemon, or of the next one if none is ready.
    fn next_ready(&self) -> usize {
        let count = self.callers.len();
        let mut candidates = (1..=count).map(|step| (self.daemon + step) % count);
        let found = candidates.find(|index| self.ready[*index].load(Ordering::Relaxed));
        found.unwrap_or((self.daemon + 1) % count)
    }

    /// Submits a request, on one daemon after another, until an answer is final.
    fn submit_with_retries(&mut self, number: u64) -> Outcome {
        let template = &self.template;
        let id = format!("{}-{number}", self.prefix);
        let mut body = json!({
            "customer": template.customer,
            "id": id,
            "kind": template.kind,
            "payload": template.payload,
        });
        if template.tasks > 1 {
            body["tasks"] = json!(template.tasks);
        }
        if template.is_once {
            body["repeatable"] = json!(false);
        }
        let submitted_at = Instant::now();
        let mut outcome = Outcome {
            id,
            kind: template.kind.clone(),
            submitted_at,
            elapsed: Duration::ZERO,
            answer: None,
            tries: 0,
            broken_connections: 0,
            placement_us: None,
        };
        for _ in 0..MAX_TRIES {
            outcome.tries += 1;
            self.daemon = self.next_ready();
            let answer = self.callers[self.daemon].submit(&body, template.wait_ms);
            if let Err(error) = &answer
                && is_broken_connection(&**error)
            {
                let after = submitted_at.elapsed().as_millis();
                eprintln!(
                    "{}: try {} lost its connection after {after} ms: {error}",
                    outcome.id, outcome.tries
                );
                outcome.broken_connections += 1;
            }
            if let Ok(answer) = answer {
                // Without a wait, acceptance is the final answer.
                let wants_result = template.wait_ms > 0;
                let is_open =
                    wants_result && (answer["state"] == "queued" || answer["state"] == "running");
                let is_refused = answer["ran"] == "not run" && answer["error"] != "cancelled";
                outcome.answer = Some(answer);
                if !is_open && !is_refused {
                    break;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        outcome.elapsed = submitted_at.elapsed();
        outcome.placement_us = outcome.answer.as_ref().and_then(placement_us);
        outcome
    }
}

/// Tracks the daemons' readiness, as a load balancer does, until the load stops.
fn watch_readiness(urls: &[String], stop: &Arc<AtomicBool>) -> Arc<Vec<AtomicBool>> {
    let ready: Arc<Vec<AtomicBool>> =
        Arc::new(urls.iter().map(|_| AtomicBool::new(true)).collect());
    for (index, url) in urls.iter().enumerate() {
        let (caller, stop, ready) = (Caller::new(url), Arc::clone(stop), Arc::clone(&ready));
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let answer = caller.get("/readyz");
                let is_ready = answer.is_ok_and(|answer| answer["ready"] == true);
                ready[index].store(is_ready, Ordering::Relaxed);
                thread::sleep(READINESS_INTERVAL);
            }
        });
    }
    ready
}

/// Whether an established connection ended without an answer.
fn is_broken_connection(error: &(dyn std::error::Error + 'static)) -> bool {
    match error.downcast_ref::<ureq::Error>() {
        Some(ureq::Error::ConnectionFailed) => false,
        Some(ureq::Error::Io(error)) => error.kind() != ErrorKind::ConnectionRefused,
        _ => true,
    }
}

/// Microseconds in a trace from the entry until the rack's owner calls an executor.
fn placement_us(answer: &Value) -> Option<u64> {
    let spans = answer["trace"].as_array()?;
    let start = |hop: &str| {
        spans.iter().find(|span| span["hop"] == hop).and_then(|span| span["start_us"].as_u64())
    };
    start("executor")?.checked_sub(start("entry")?)
}

/// Counts of broken guarantees, from callers' outcomes and the stand-in's counters.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Audit {
    /// Number of all requests.
    pub requests: usize,
    /// Requests without a final answer.
    pub lost: usize,
    /// Tasks that ran in two places at once, or more than once although not repeatable.
    pub doubled: u64,
    /// Requests that ran although the answer says that they did not.
    pub false_not_run: usize,
    /// Starts that exceeded a worker's capacity or an executor's slots.
    pub over_capacity: u64,
    /// Requests whose answer holds another request's result.
    pub wrong_answer: usize,
}

impl Audit {
    /// Compares outcomes with the replies of the stand-in's `/counts` and `/ran`.
    pub fn check(outcomes: &[Outcome], counts: &Value, ran: &Value) -> Self {
        let ran: HashSet<&str> =
            ran["ran"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
        let customer = |outcome: &Outcome| {
            outcome
                .answer
                .as_ref()
                .and_then(|answer| answer["customer"].as_str())
                .map(str::to_owned)
        };
        let has_run = |outcome: &Outcome| {
            customer(outcome)
                .is_some_and(|customer| ran.contains(&*format!("{customer}/{}", outcome.id)))
        };
        let has_foreign_result = |outcome: &Outcome| {
            let results = outcome.answer.as_ref().and_then(|answer| answer["results"].as_array());
            results.into_iter().flatten().filter_map(Value::as_str).any(|text| {
                let own_suffix = format!("/{}", outcome.id);
                text.starts_with("result of ")
                    && !text.split(' ').any(|word| word.ends_with(&own_suffix))
            })
        };
        let count = |part: &str, name: &str| counts[part][name].as_u64().unwrap_or(0);
        let is_final = |outcome: &Outcome| outcome.is_done() || !outcome.reported_ran().is_empty();
        Self {
            requests: outcomes.len(),
            lost: outcomes.iter().filter(|outcome| !is_final(outcome)).count(),
            doubled: count("workers", "doubled")
                + count("workers", "rerun_once")
                + count("executors", "rerun_once"),
            false_not_run: outcomes
                .iter()
                .filter(|outcome| outcome.reported_ran() == "not run" && has_run(outcome))
                .count(),
            over_capacity: count("workers", "over_capacity") + count("executors", "over_slots"),
            wrong_answer: outcomes.iter().filter(|outcome| has_foreign_result(outcome)).count(),
        }
    }

    /// Whether no guarantee was broken.
    pub fn is_clean(&self) -> bool {
        let Self { lost, doubled, false_not_run, over_capacity, wrong_answer, .. } = self;
        *lost == 0
            && *doubled == 0
            && *false_not_run == 0
            && *over_capacity == 0
            && *wrong_answer == 0
    }
}
