//! HTTP API for operators: jobs, views of the pool and metrics.
//!
//! Every daemon serves it. Requests about the pool are passed to the leader, as callers'
//! requests are; metrics are those of the daemon itself.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use common::{ErrorKind, Name};
use control::{Answer, CallerRequest, Credential, Operation, Target, View};
use http_body_util::Full;
use hyper::{Method, Response, StatusCode};
use scheduler::{Resources, Step, Submission, SubmissionError};
use serde::Deserialize;
use serde_json::{Value, json};
use slog::Logger;

use crate::pending_calls::PendingCalls;
use crate::run::InputQueue;
use crate::server::{self, Handler, NoResponse};
use crate::telemetry::Telemetry;

/// Longest time that an operator's request waits for the leader's answer.
const LEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Handler of the operators' API.
#[derive(Debug)]
pub struct OperatorApi {
    /// Queue that passes calls to the node.
    pub inputs: InputQueue,
    /// Calls that wait for the node's answer.
    pub pending_calls: PendingCalls,
    /// Metrics served at `/metrics`.
    pub telemetry: Rc<Telemetry>,
    /// Logger for errors.
    pub log: Logger,
}

/// Job as submitted by an operator.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobBody {
    queue: Name,
    /// Workspace that the job belongs to; empty for none.
    #[serde(default)]
    workspace: String,
    #[serde(default)]
    payload: String,
    steps: Vec<StepBody>,
}

/// Step of a submitted job; [`Step`] describes the fields.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StepBody {
    #[serde(default = "default_tasks")]
    tasks: u32,
    /// CPU of each task, in thousandths of a core.
    #[serde(default)]
    cpu: u32,
    #[serde(default)]
    memory_mb: u32,
    #[serde(default)]
    accelerators: u32,
    /// Estimated run time of a task, in ms; 0 for none.
    #[serde(default)]
    estimate_ms: u32,
    /// Numbers of earlier steps that must end first.
    #[serde(default)]
    after: Vec<u32>,
    #[serde(default)]
    gang: bool,
    #[serde(default)]
    same_rack: bool,
    /// Label that the worker must have; empty for none.
    #[serde(default)]
    label: String,
    /// Rack that holds the data; empty for none.
    #[serde(default)]
    near: String,
    /// Most tasks of the step on one worker; 0 for no limit.
    #[serde(default)]
    most_per_worker: u32,
    /// Whether tasks save checkpoints.
    #[serde(default)]
    checkpoints: bool,
}

fn default_tasks() -> u32 {
    1
}

impl JobBody {
    /// Converts and checks the job; returns its queue and submission.
    fn into_submission(self, id: &str) -> Result<(Name, Submission), SubmissionError> {
        let steps = self.steps.into_iter().map(StepBody::into_step).collect();
        let submission = Submission {
            id: id.to_owned(),
            payload: self.payload,
            steps,
            workspace: self.workspace,
        };
        submission.validate().map(|()| (self.queue, submission))
    }
}

impl StepBody {
    fn into_step(self) -> Step {
        Step {
            count: self.tasks,
            need: Resources { cpu: self.cpu, mem: self.memory_mb, gpus: self.accelerators },
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

impl OperatorApi {
    fn metrics_response(&self) -> Response<Full<Bytes>> {
        match self.telemetry.encode_text() {
            Ok(text) => Response::new(Full::from(text)),
            Err(error) => {
                slog::warn!(self.log, "cannot encode metrics"; "reason" => error);
                server::empty_response(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    async fn ask_leader(&self, queue_name: Name, op: Operation) -> Response<Full<Bytes>> {
        let call = CallerRequest {
            target: Target::Queue(queue_name),
            op,
            credential: Credential::Operator,
            timeout: LEADER_TIMEOUT,
        };
        answer_response(&self.pending_calls.ask(&self.inputs, call).await)
    }

    async fn submit(&self, id: &str, body: &[u8]) -> Response<Full<Bytes>> {
        let job: JobBody = match serde_json::from_slice(body) {
            Ok(job) => job,
            Err(error) => return error_response(ErrorKind::Malformed, &error.to_string()),
        };
        match job.into_submission(id) {
            Ok((queue, submission)) => self.ask_leader(queue, Operation::Submit(submission)).await,
            Err(error) => error_response(ErrorKind::Malformed, &error.to_string()),
        }
    }
}

impl Handler for OperatorApi {
    async fn handle(
        &self,
        request: server::HttpRequest,
    ) -> Result<Response<Full<Bytes>>, NoResponse> {
        let path = request.head.uri.path();
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let view = |view| self.ask_leader(Name::default(), Operation::View(view));
        Ok(match (&request.head.method, segments.as_slice()) {
            (&Method::GET, ["metrics"]) => self.metrics_response(),
            (&Method::GET, ["v1", "queues"]) => view(View::Queues).await,
            (&Method::GET, ["v1", "workers"]) => view(View::Workers).await,
            (&Method::GET, ["v1", "members"]) => view(View::Members).await,
            (&Method::GET, ["v1", "workspaces"]) => view(View::Workspaces).await,
            (&Method::GET, ["v1", "estimates"]) => view(View::Estimates).await,
            (&Method::GET, ["v1", "jobs", id, "explain"]) => view(View::Job(Name::new(id))).await,
            (&Method::GET, ["v1", "jobs", id]) => {
                self.ask_leader(Name::default(), Operation::GetState(Name::new(id))).await
            }
            (&Method::POST, ["v1", "jobs", id]) => self.submit(id, &request.body).await,
            (&Method::DELETE, ["v1", "jobs", id]) => {
                self.ask_leader(Name::default(), Operation::Cancel(Name::new(id))).await
            }
            _ => error_response(ErrorKind::NotFound, "no such path"),
        })
    }
}

/// Converts the leader's answer to an HTTP response.
fn answer_response(answer: &Answer) -> Response<Full<Bytes>> {
    let ok = |body: Value| server::json_response(StatusCode::OK, body.to_string());
    let state = |word: &str| ok(json!({ "state": word }));
    match answer {
        Answer::Accepted => state("accepted"),
        Answer::Cancelled => state("cancelled"),
        Answer::Authorized => state("authorized"),
        Answer::State(job_state) => state(job_state.as_str()),
        Answer::Pending(count) => ok(json!({ "pending": count })),
        Answer::View(text) => server::json_response(StatusCode::OK, text.clone()),
        Answer::QueueNotFound => error_response(ErrorKind::NotFound, "queue does not exist"),
        Answer::JobNotFound => {
            error_response(ErrorKind::NotFound, "job does not exist or has already ended")
        }
        Answer::TooLarge => {
            error_response(ErrorKind::TooLarge, "the job is too large to be stored")
        }
        Answer::Unauthorized => {
            error_response(ErrorKind::NotFound, "the rules have no workspace of this name")
        }
        Answer::IdInUse => error_response(ErrorKind::IdTaken, "another job has this id"),
        Answer::NeverFits(reason) => error_response(ErrorKind::Quota, reason),
        Answer::OutcomeUnknown => {
            error_response(ErrorKind::Unknown, "the leader did not answer in time")
        }
        Answer::Refused { retry_after, .. } => {
            let mut response = error_response(ErrorKind::NoOwner, "no leader can be reached");
            server::set_retry_after(&mut response, *retry_after);
            response
        }
    }
}

/// Builds a JSON error response with the status, word and meaning of a kind.
fn error_response(kind: ErrorKind, text: &str) -> Response<Full<Bytes>> {
    let status =
        StatusCode::from_u16(kind.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let ran = kind.execution().as_str();
    let body = json!({ "error": kind.as_str(), "ran": ran, "text": text });
    server::json_response(status, body.to_string())
}
