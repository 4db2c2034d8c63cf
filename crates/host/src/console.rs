//! The operators' interface of a daemon: jobs, views of the pool, metrics.
//!
//! Any daemon answers; requests about the pool go to the leader as callers' requests do.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use common::{Kind, Name};
use control::{Answer, Call, Op, Target, View};
use http_body_util::Full;
use hyper::{Method, Response, StatusCode};
use scheduler::{Fault, Need, Step, Submission};
use serde::Deserialize;
use serde_json::{Value, json};
use slog::Logger;

use crate::run::Inputs;
use crate::server::{self, Dropped, Handler};
use crate::telemetry::Telemetry;
use crate::waiting::Waiting;

/// How long an operator waits for the leader.
const PATIENCE: Duration = Duration::from_secs(5);

/// Serves operators.
#[derive(Debug)]
pub struct Console {
    /// Where calls go.
    pub inputs: Inputs,
    /// Calls that wait.
    pub waiting: Waiting,
    /// What was measured.
    pub telemetry: Rc<Telemetry>,
    /// Where errors go.
    pub log: Logger,
}

/// A job as operators hand it in.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobBody {
    queue: Name,
    #[serde(default)]
    payload: String,
    steps: Vec<StepBody>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StepBody {
    #[serde(default = "one")]
    tasks: u32,
    /// In thousandths of a processor.
    #[serde(default)]
    cpu: u32,
    #[serde(default)]
    memory_mb: u32,
    #[serde(default)]
    accelerators: u32,
    #[serde(default)]
    estimate_ms: u32,
    #[serde(default)]
    after: Vec<u32>,
    #[serde(default)]
    gang: bool,
    #[serde(default)]
    same_rack: bool,
    #[serde(default)]
    label: String,
    #[serde(default)]
    near: String,
    #[serde(default)]
    most_per_worker: u32,
    #[serde(default)]
    checkpoints: bool,
}

fn one() -> u32 {
    1
}

impl JobBody {
    /// The submission under an id.
    fn submission(self, id: &str) -> Result<(Name, Submission), Fault> {
        let steps = self.steps.into_iter().map(StepBody::step).collect();
        let submission = Submission { id: id.to_owned(), payload: self.payload, steps };
        submission.check().map(|()| (self.queue, submission))
    }
}

impl StepBody {
    fn step(self) -> Step {
        Step {
            count: self.tasks,
            need: Need { cpu: self.cpu, mem: self.memory_mb, gpus: self.accelerators },
            estimate: self.estimate_ms,
            after: self.after,
            is_gang: self.gang,
            same_rack: self.same_rack,
            requirement: self.label,
            affinity: self.near,
            spread: self.most_per_worker,
            is_checkpointed: self.checkpoints,
            may_copy: false,
        }
    }
}

impl Console {
    fn metrics(&self) -> Response<Full<Bytes>> {
        match self.telemetry.text() {
            Ok(text) => Response::new(Full::from(text)),
            Err(error) => {
                slog::warn!(self.log, "metrics cannot be written"; "reason" => error);
                server::status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    async fn ask(&self, target: Name, op: Op) -> Response<Full<Bytes>> {
        let call = Call { target: Target::Queue(target), op, patience: PATIENCE };
        write(&self.waiting.ask(&self.inputs, call).await)
    }

    async fn submit(&self, id: &str, body: &[u8]) -> Response<Full<Bytes>> {
        let job: JobBody = match serde_json::from_slice(body) {
            Ok(job) => job,
            Err(error) => return failure(Kind::Malformed, &error.to_string()),
        };
        match job.submission(id) {
            Ok((queue, submission)) => self.ask(queue, Op::Submit(submission)).await,
            Err(fault) => failure(Kind::Malformed, &fault.to_string()),
        }
    }
}

impl Handler for Console {
    async fn handle(&self, call: server::Call) -> Result<Response<Full<Bytes>>, Dropped> {
        let path = call.head.uri.path();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let view = |view| self.ask(Name::default(), Op::View(view));
        Ok(match (&call.head.method, parts.as_slice()) {
            (&Method::GET, ["metrics"]) => self.metrics(),
            (&Method::GET, ["v1", "queues"]) => view(View::Queues).await,
            (&Method::GET, ["v1", "workers"]) => view(View::Workers).await,
            (&Method::GET, ["v1", "members"]) => view(View::Members).await,
            (&Method::GET, ["v1", "jobs", id, "explain"]) => view(View::Job(Name::new(id))).await,
            (&Method::GET, ["v1", "jobs", id]) => {
                self.ask(Name::default(), Op::State(Name::new(id))).await
            }
            (&Method::POST, ["v1", "jobs", id]) => self.submit(id, &call.body).await,
            (&Method::DELETE, ["v1", "jobs", id]) => {
                self.ask(Name::default(), Op::Cancel(Name::new(id))).await
            }
            _ => failure(Kind::NotFound, "no such path"),
        })
    }
}

/// The response for an answer of the node.
fn write(answer: &Answer) -> Response<Full<Bytes>> {
    let ok = |body: Value| server::json(StatusCode::OK, body.to_string());
    let state = |word: &str| ok(json!({ "state": word }));
    match answer {
        Answer::Accepted => state("accepted"),
        Answer::Cancelled => state("cancelled"),
        Answer::State(shown) => state(shown.word()),
        Answer::Pending(count) => ok(json!({ "pending": count })),
        Answer::View(text) => server::json(StatusCode::OK, text.clone()),
        Answer::NoQueue => failure(Kind::NotFound, "no such queue"),
        Answer::NoJob => failure(Kind::NotFound, "no such job, or it has ended otherwise"),
        Answer::Unknown => failure(Kind::Unknown, "the leader did not answer in time"),
        Answer::Refused { retry_after, .. } => {
            let mut response = failure(Kind::NoOwner, "no leader is reached");
            server::set_retry_after(&mut response, *retry_after);
            response
        }
    }
}

fn failure(kind: Kind, text: &str) -> Response<Full<Bytes>> {
    let status = StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let ran = kind.ran().word();
    let body = json!({ "error": kind.word(), "ran": ran, "text": text });
    server::json(status, body.to_string())
}
