//! Entry of callers' requests: validation, forwarding to their homes, and answers.

use std::time::Duration;

use common::{ErrorKind, Name};
use journal::event::RequestKey;
use policy::rendezvous;
use serde_json::{Value, json};
use settings::RequestSpec;
use settings::rules::Mode;
use stakker::CX;
use wire::Body;

use super::action::{Refusal, Waiter};
use super::call::Purpose;
use super::claims::Scope;
use super::forward::{Forward, Operation};
use super::home::span;
use super::homes::UNCONFIRMED_TEXT;
use super::{Node, STATE_MOVED};
use crate::front::{self, Request, Token, api};

/// Longest wait for an admission if the caller does not wait for the result.
const ADMISSION_WAIT: Duration = Duration::from_secs(10);

/// Default wait of a quick request's caller.
const QUICK_WAIT: Duration = Duration::from_secs(30);

/// Longest wait for a status or explanation.
const STATUS_WAIT: Duration = Duration::from_secs(5);

/// Validated submission.
struct ValidSubmission {
    spec: RequestSpec,
    /// Whether a partition's owner is its home, rather than any daemon.
    is_durable: bool,
}

impl Node {
    /// Handles a request from a caller or operator.
    pub fn handle_request(&mut self, cx: CX![], token: Token, request: Request) {
        self.update_clock(cx);
        match request {
            Request::Submit { body, wait_ms, trace, arrived_us } => {
                self.submit(cx, token, body, wait_ms, trace);
                self.forwards.set_arrival(token, arrived_us);
            }
            Request::Status { key, wait_ms } => {
                let wants_result = wait_ms > 0;
                let wait = if wants_result { self.limit_wait(wait_ms) } else { STATUS_WAIT };
                self.forward(cx, token, key, Operation::Status { wants_result }, wait);
            }
            Request::Cancel { key } => {
                self.forward(cx, token, key, Operation::Cancel, ADMISSION_WAIT);
            }
            Request::Explain { key } => {
                self.forward(cx, token, key, Operation::Explain, STATUS_WAIT);
            }
            Request::GetSettings { file } => self.answer_settings(token, &file),
            Request::ApplySettings { file, base, author, text } => {
                self.apply(cx, token, file, base, author, text);
            }
            Request::Survey { view } => self.start_survey(cx, token, &view),
            Request::Readiness => self.answer_readiness(token),
        }
        self.perform_actions(cx);
    }

    /// Limits a caller's wait to the configured maximum.
    fn limit_wait(&self, wait_ms: u64) -> Duration {
        Duration::from_millis(wait_ms).min(self.shared.config.bounds.max_wait)
    }

    fn submit(
        &mut self,
        cx: CX![],
        token: Token,
        body: Vec<u8>,
        wait_ms: Option<u64>,
        trace: Option<String>,
    ) {
        let submission = match self.validate(&body) {
            Ok(submission) => submission,
            Err(refusal) => return self.respond(token, None, &refusal.answer()),
        };
        let key = RequestKey::from_spec(&submission.spec);
        let wants_result = !submission.is_durable || wait_ms.is_some_and(|wait| wait > 0);
        let wait = match wait_ms {
            Some(wait) if wait > 0 => self.limit_wait(wait),
            _ if submission.is_durable => ADMISSION_WAIT,
            _ => QUICK_WAIT.min(self.shared.config.bounds.max_wait),
        };
        let trace = trace.unwrap_or_else(|| self.new_trace());
        let operation = Operation::Submit {
            spec: body,
            is_durable: submission.is_durable,
            trace,
            wants_result,
        };
        self.forward(cx, token, key, operation, wait);
    }

    /// Generates a `traceparent` value.
    fn new_trace(&mut self) -> String {
        use rand::Rng;
        let (high, low) = (self.shared.random.next_u64(), self.shared.random.next_u64());
        format!("00-{high:016x}{low:016x}-{:016x}-01", low ^ high | 1)
    }

    /// Validates a submission and applies the customer's rate limit.
    fn validate(&mut self, body: &[u8]) -> Result<ValidSubmission, Refusal> {
        let spec =
            RequestSpec::parse(body).map_err(|text| Refusal::new(ErrorKind::Malformed, text))?;
        if self.refuses_submissions() {
            return Err(Refusal::new(
                ErrorKind::NoOwner,
                "this daemon is shutting down; retry on another daemon",
            ));
        }
        if !self.shared.has_confirmed_settings() {
            return Err(Refusal::new(ErrorKind::Unconfirmed, UNCONFIRMED_TEXT));
        }
        let rules = &self.shared.versions.rules;
        let kind =
            spec.resolve_kind(rules).map_err(|text| Refusal::new(ErrorKind::Malformed, text))?;
        let is_durable = kind.mode != Mode::Quick || !spec.is_repeatable(kind);
        if kind.mode == Mode::Quick {
            self.check_service(kind)?;
        } else {
            let size = spec.task_size(kind);
            self.shared.versions.inventory.check_task_fits(&size).map_err(|dimension| {
                Refusal::new(
                    ErrorKind::Impossible,
                    format!("no worker has enough {dimension} for one task"),
                )
            })?;
        }
        self.check_rate(&spec.customer)?;
        Ok(ValidSubmission { spec, is_durable })
    }

    /// Refuses a quick request if the inventory lists no executor of its service.
    fn check_service(&self, kind: &settings::rules::WorkKind) -> Result<(), Refusal> {
        let service = kind.service.clone().unwrap_or_default();
        let listed = self.shared.versions.inventory.services.get(&service);
        if listed.is_some_and(|service| !service.executors.is_empty()) {
            return Ok(());
        }
        Err(Refusal::new(
            ErrorKind::Impossible,
            format!("the inventory has no executor for service {service}"),
        ))
    }

    /// Applies this daemon's share of the customer's rate limit.
    fn check_rate(&mut self, customer: &Name) -> Result<(), Refusal> {
        let rate = self
            .shared
            .versions
            .rules
            .customers
            .get(customer)
            .map_or(1, |rules| rules.max_requests_per_s);
        let members = self.shared.membership.live().len().max(1) as f64;
        // Twice the even share: the balancer does not distribute evenly.
        let share = (f64::from(rate) * 2.0 / members).max(1.0);
        let now = self.shared.now;
        let bucket = self.rate_limits.entry(customer.clone());
        let bucket = bucket.or_insert_with(|| border::limit::TokenBucket::new(share, now));
        bucket.set_rate(share);
        if bucket.try_take(1.0, 0.0, now) {
            return Ok(());
        }
        Err(Refusal::new(
            ErrorKind::Quota,
            format!("customer {customer} exceeds its rate of {rate} requests per second"),
        ))
    }

    fn forward(
        &mut self,
        cx: CX![],
        token: Token,
        key: RequestKey,
        operation: Operation,
        wait: Duration,
    ) {
        let forward = Forward {
            token,
            key,
            operation,
            deadline: self.shared.now + wait,
            may_be_accepted: false,
            arrived_us: self.shared.wall_us,
            retries: 0,
        };
        self.forwards.insert(forward);
        self.send_to_home(cx, token);
    }

    /// Sends a request to its home; schedules a retry if the home is unknown.
    fn send_to_home(&mut self, cx: CX![], token: Token) {
        let Some(forward) = self.forwards.get(token) else { return };
        let home = if forward.is_durable() {
            let partition = forward.key.partition(self.shared.config.partition_count);
            self.shared.owner_of(&Scope::Partition(partition))
        } else {
            self.quick_home(&forward.key)
        };
        let body = forward.build_body(self.shared.now);
        match home {
            Some(me) if me == *self.shared.own_name() => self.handle_locally(cx, token, body),
            Some(home) => self.call_member(cx, Some(home), body, Purpose::Forward(token)),
            None => self.schedule_retry(token),
        }
    }

    /// Handles a request whose home is this daemon.
    fn handle_locally(&mut self, cx: CX![], token: Token, body: Body) {
        let from = Waiter::Caller(token);
        match body {
            Body::Submit(submit) => self.handle_submit(cx, from, submit),
            Body::Query(query) => self.handle_query(cx, from, &query),
            Body::Cancel(cancel) => self.handle_cancel(cx, from, &cancel),
            _ => {}
        }
    }

    /// Chooses the home of a quick request; any member works if all choose the same.
    fn quick_home(&self, key: &RequestKey) -> Option<Name> {
        let peers = self.connected_peers();
        let me = self.shared.own_name();
        let is_available = |name: &Name| {
            *name == *me && self.stop.is_none()
                || peers.get(name).is_some_and(|state| !state.is_leaving)
        };
        let live = self.shared.membership.live().iter();
        let available: Vec<Name> = live.filter(|name| is_available(name)).cloned().collect();
        let picked = rendezvous::pick_member(&key.to_string(), &available).cloned();
        picked.or_else(|| Some(me.clone()))
    }

    /// Handles the reply to a forwarded request; `None` if lost or never sent.
    pub(super) fn on_forward_reply(
        &mut self,
        cx: CX![],
        token: Token,
        body: Option<Body>,
        is_sent: bool,
    ) {
        if let Some(Body::Answer(answer)) = body {
            return self.answer(cx, Waiter::Caller(token), answer);
        }
        if let Some(forward) = self.forwards.get_mut(token) {
            forward.may_be_accepted |= is_sent;
        }
        self.schedule_retry(token);
    }

    /// Schedules a retry of a request; answers it if its deadline would pass.
    fn schedule_retry(&mut self, token: Token) {
        self.schedule_read_if_stale();
        if let Some(forward) =
            self.forwards.schedule_retry(token, &mut self.shared.retries, self.shared.now)
        {
            let answer = forward.timeout_answer();
            self.respond(token, Some(&forward), &answer);
        }
    }

    /// Schedules a read of the ownership rows if they are stale: the home may have moved.
    fn schedule_read_if_stale(&mut self) {
        let read_at = self.shared.membership.read_at;
        let age = read_at.map(|at| self.shared.now.saturating_duration_since(at));
        if age.is_none_or(|age| age > Duration::from_millis(300)) {
            self.schedule_table_read();
        }
    }

    /// Sends the requests whose retry is due.
    pub(super) fn retry_due(&mut self, cx: CX![]) {
        for token in self.forwards.take_due(self.shared.now) {
            self.send_to_home(cx, token);
        }
    }

    // Answers.

    /// Answers a waiter; a caller's request whose home has moved is forwarded again.
    pub(super) fn answer(&mut self, cx: CX![], to: Waiter, answer: wire::Answer) {
        let token = match to {
            Waiter::Caller(token) => token,
            Waiter::Peer(..) => return self.reply(cx, &to, Body::Answer(answer)),
        };
        // That daemon is not the home, or cannot decide: the request may have a new home.
        let kind = ErrorKind::from_code(answer.code);
        let is_elsewhere = matches!(kind, Some(ErrorKind::NoOwner | ErrorKind::Unconfirmed));
        let Some(forward) = self.forwards.get_mut(token) else { return };
        if is_elsewhere {
            forward.may_be_accepted |= answer.state == STATE_MOVED;
            return self.schedule_retry(token);
        }
        let forward = self.forwards.remove(token);
        let uncertain = forward.as_ref().and_then(|forward| forward.uncertain_answer(kind));
        self.respond(token, forward.as_ref(), &uncertain.unwrap_or(answer));
    }

    /// Writes the answer to the caller and records its metrics.
    fn respond(&mut self, token: Token, forward: Option<&Forward>, answer: &wire::Answer) {
        let body = self.to_json(forward, answer);
        let status = match ErrorKind::from_code(answer.code) {
            Some(kind) => kind.http_status(),
            None if matches!(answer.state.as_str(), "queued" | "running" | "cancelling") => 202,
            None => 200,
        };
        if let Some(forward) = forward {
            let length = self.shared.wall_us.saturating_sub(forward.arrived_us);
            self.metrics.record_answer(status, Duration::from_micros(length));
            self.metrics.export_spans(forward, answer, self.shared.own_name(), self.shared.wall_us);
        }
        self.interfaces.http.answer(token, front::Answer { status, body });
    }

    fn to_json(&self, forward: Option<&Forward>, answer: &wire::Answer) -> Value {
        let kind = ErrorKind::from_code(answer.code);
        let mut json = json!({ "state": answer.state, "text": answer.text });
        if let Some(kind) = kind {
            json["error"] = json!(kind.as_str());
            json["ran"] = json!(kind.execution().as_str());
        }
        let Some(forward) = forward else { return json };
        json["customer"] = json!(forward.key.customer);
        json["id"] = json!(forward.key.id);
        json["results"] = results(forward, answer);
        json["worker"] = json!(answer.worker);
        json["attempt"] = json!(answer.attempt);
        let length = self.shared.wall_us.saturating_sub(forward.arrived_us);
        let mut spans = vec![span("entry", self.shared.own_name(), forward.arrived_us, length)];
        spans.extend(answer.spans.iter().cloned());
        json["trace"] = spans.iter().map(span_json).collect();
        if let Operation::Submit { trace, .. } = &forward.operation {
            json["traceparent"] = json!(trace);
        }
        json
    }

    fn answer_settings(&mut self, token: Token, file: &Name) {
        let versions = &self.shared.versions;
        let body = json!({
            "what": file,
            "version": versions.version_of(file),
            "author": versions.head.author,
            "at_ms": versions.head.at_ms,
            "text": versions.text_of(file),
        });
        self.interfaces.http.answer(token, front::Answer { status: 200, body });
    }

    fn answer_readiness(&mut self, token: Token) {
        let is_ready = self.stop.is_none() && self.shared.has_confirmed_settings();
        let status = if is_ready { 200 } else { ErrorKind::Unconfirmed.http_status() };
        let body = json!({
            "ready": is_ready,
            "leaving": self.stop.is_some(),
            "settings": self.shared.versions.head.version,
            "lease": self.shared.can_act_as_owner(),
        });
        self.interfaces.http.answer(token, front::Answer { status, body });
    }

    /// Answers an operator's request with an error.
    pub(super) fn refuse(&mut self, token: Token, kind: ErrorKind, text: &str) {
        self.interfaces.http.answer(token, api::error_answer(kind, text));
    }
}

fn span_json(span: &wire::Span) -> Value {
    json!({
        "hop": span.hop,
        "member": span.member,
        "start_us": span.start_us,
        "length_us": span.length_us,
    })
}

/// Results as a JSON list; a quick request has a single result.
fn results(forward: &Forward, answer: &wire::Answer) -> Value {
    if answer.body.is_empty() {
        return json!([]);
    }
    let as_list = || serde_json::from_slice(&answer.body).unwrap_or_else(|_error| json!([]));
    if forward.is_durable() { as_list() } else { json!([String::from_utf8_lossy(&answer.body)]) }
}
