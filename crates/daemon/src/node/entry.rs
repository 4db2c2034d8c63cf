//! Entry of callers' requests: validation, forwarding to their homes, and answers.

use std::time::Duration;

use common::{Kind, Name};
use journal::event::Key;
use policy::rendezvous;
use serde_json::{Value, json};
use settings::Spec;
use settings::rules::Mode;
use stakker::CX;
use wire::Body;

use super::action::{Refusal, Waiter};
use super::call::Purpose;
use super::claims::Scope;
use super::forward::{Ask, Forward};
use super::home::span;
use super::homes::UNCONFIRMED;
use super::{MOVED, Node};
use crate::front::{self, Request, Token, api};

/// Longest wait for an admission if the caller does not wait for the result.
const ADMISSION_WAIT: Duration = Duration::from_secs(10);

/// Default wait of a quick request's caller.
const QUICK_WAIT: Duration = Duration::from_secs(30);

/// Longest wait for a status or explanation.
const QUESTION_WAIT: Duration = Duration::from_secs(5);

/// Validated submission.
struct Checked {
    spec: Spec,
    /// Whether a partition's owner is its home, rather than any daemon.
    is_durable: bool,
}

impl Node {
    /// Handles a request from a caller or operator.
    pub fn request(&mut self, cx: CX![], token: Token, request: Request) {
        self.touch(cx);
        match request {
            Request::Submit { body, wait_ms, trace, arrived_us } => {
                self.submit(cx, token, body, wait_ms, trace);
                self.forwards.stamp(token, arrived_us);
            }
            Request::Status { key, wait_ms } => {
                let wants_result = wait_ms > 0;
                let wait = if wants_result { self.bounded(wait_ms) } else { QUESTION_WAIT };
                self.forward(cx, token, key, Ask::Status { wants_result }, wait);
            }
            Request::Cancel { key } => {
                self.forward(cx, token, key, Ask::Cancel, ADMISSION_WAIT);
            }
            Request::Explain { key } => {
                self.forward(cx, token, key, Ask::Explain, QUESTION_WAIT);
            }
            Request::GetSettings { what } => self.show_settings(token, &what),
            Request::Apply { what, base, author, text } => {
                self.apply(cx, token, what, base, author, text);
            }
            Request::Survey { what } => self.survey(cx, token, &what),
            Request::Ready => self.show_readiness(token),
        }
        self.perform(cx);
    }

    /// Limits a caller's wait to the configured maximum.
    fn bounded(&self, wait_ms: u64) -> Duration {
        Duration::from_millis(wait_ms).min(self.shared.config.bounds.wait)
    }

    fn submit(
        &mut self,
        cx: CX![],
        token: Token,
        body: Vec<u8>,
        wait_ms: Option<u64>,
        trace: Option<String>,
    ) {
        let checked = match self.check(&body) {
            Ok(checked) => checked,
            Err(refusal) => return self.respond(token, None, &refusal.answer()),
        };
        let key = Key::of(&checked.spec);
        let wants_result = !checked.is_durable || wait_ms.is_some_and(|wait| wait > 0);
        let wait = match wait_ms {
            Some(wait) if wait > 0 => self.bounded(wait),
            _ if checked.is_durable => ADMISSION_WAIT,
            _ => QUICK_WAIT.min(self.shared.config.bounds.wait),
        };
        let trace = trace.unwrap_or_else(|| self.new_trace());
        let ask = Ask::Submit { spec: body, is_durable: checked.is_durable, trace, wants_result };
        self.forward(cx, token, key, ask, wait);
    }

    /// Generates a `traceparent` value.
    fn new_trace(&mut self) -> String {
        use rand::Rng;
        let (high, low) = (self.shared.random.next_u64(), self.shared.random.next_u64());
        format!("00-{high:016x}{low:016x}-{:016x}-01", low ^ high | 1)
    }

    /// Validates a submission; refuses what no daemon could accept.
    fn check(&mut self, body: &[u8]) -> Result<Checked, Refusal> {
        let spec = Spec::parse(body).map_err(|text| Refusal::new(Kind::Malformed, text))?;
        if self.is_shut() {
            return Err(Refusal::new(Kind::NoOwner, "this daemon is stopping; ask another"));
        }
        if !self.shared.may_decide() {
            return Err(Refusal::new(Kind::Unconfirmed, UNCONFIRMED));
        }
        let rules = &self.shared.versions.rules;
        let kind = spec.kind(rules).map_err(|text| Refusal::new(Kind::Malformed, text))?;
        let is_durable = kind.mode != Mode::Quick || !spec.is_repeatable(kind);
        if kind.mode == Mode::Quick {
            self.check_service(kind)?;
        } else {
            let size = spec.size(kind);
            self.shared.versions.inventory.could_hold(&size).map_err(|dimension| {
                Refusal::new(
                    Kind::Impossible,
                    format!("no worker has the {dimension} for one task"),
                )
            })?;
        }
        self.check_rate(&spec.customer)?;
        Ok(Checked { spec, is_durable })
    }

    /// Refuses a quick request if the inventory lists no executor of its service.
    fn check_service(&self, kind: &settings::rules::Kind) -> Result<(), Refusal> {
        let service = kind.service.clone().unwrap_or_default();
        let listed = self.shared.versions.inventory.services.get(&service);
        if listed.is_some_and(|service| !service.executors.is_empty()) {
            return Ok(());
        }
        Err(Refusal::new(Kind::Impossible, format!("the inventory has no executor of {service}")))
    }

    /// Applies this daemon's share of the customer's rate limit.
    fn check_rate(&mut self, customer: &Name) -> Result<(), Refusal> {
        let rate = self.shared.versions.rules.customers.get(customer).map_or(1, |one| one.rate);
        let members = self.shared.membership.live().len().max(1) as f64;
        // Twice the even share: the balancer does not distribute evenly.
        let share = (f64::from(rate) * 2.0 / members).max(1.0);
        let now = self.shared.now;
        let bucket = self.rates.entry(customer.clone());
        let bucket = bucket.or_insert_with(|| border::limit::Bucket::new(share, now));
        bucket.set_rate(share);
        if bucket.take(1.0, 0.0, now) {
            return Ok(());
        }
        Err(Refusal::new(Kind::Quota, format!("customer {customer} submits over {rate} a second")))
    }

    fn forward(&mut self, cx: CX![], token: Token, key: Key, ask: Ask, wait: Duration) {
        let forward = Forward {
            token,
            key,
            ask,
            until: self.shared.now + wait,
            may_be_kept: false,
            arrived_us: self.shared.wall_us,
            tries: 0,
        };
        self.forwards.insert(forward);
        self.pass_on(cx, token);
    }

    /// Sends a request to its home; parks it if the home is unknown.
    fn pass_on(&mut self, cx: CX![], token: Token) {
        let Some(forward) = self.forwards.get(token) else { return };
        let home = if forward.is_durable() {
            let partition = forward.key.partition(self.shared.config.partitions);
            self.shared.owner_of(&Scope::Partition(partition))
        } else {
            self.quick_home(&forward.key)
        };
        let body = forward.body(self.shared.now);
        match home {
            Some(me) if me == *self.shared.me() => self.take_here(cx, token, body),
            Some(home) => self.ask(cx, Some(home), body, Purpose::Forward(token)),
            None => self.park(token),
        }
    }

    /// Handles a request whose home is this daemon.
    fn take_here(&mut self, cx: CX![], token: Token, body: Body) {
        let from = Waiter::Front(token);
        match body {
            Body::Submit(submit) => self.submitted(cx, from, submit),
            Body::Query(query) => self.queried(cx, from, &query),
            Body::Cancel(cancel) => self.cancelled(cx, from, &cancel),
            _ => {}
        }
    }

    /// Chooses the home of a quick request; any member works if all choose the same.
    fn quick_home(&self, key: &Key) -> Option<Name> {
        let heard = self.heard_peers();
        let me = self.shared.me();
        let is_there = |name: &Name| {
            *name == *me && self.stop.is_none()
                || heard.get(name).is_some_and(|heard| !heard.is_leaving)
        };
        let live = self.shared.membership.live().iter();
        let there: Vec<Name> = live.filter(|name| is_there(name)).cloned().collect();
        let picked = rendezvous::pick(&key.to_string(), &there).cloned();
        picked.or_else(|| Some(me.clone()))
    }

    /// Handles the reply to a forwarded request; `None` if lost or never sent.
    pub(super) fn forward_ended(
        &mut self,
        cx: CX![],
        token: Token,
        body: Option<Body>,
        is_sent: bool,
    ) {
        if let Some(Body::Answer(answer)) = body {
            return self.answer(cx, Waiter::Front(token), answer);
        }
        if let Some(forward) = self.forwards.get_mut(token) {
            forward.may_be_kept |= is_sent;
        }
        self.park(token);
    }

    /// Schedules a retry of a request; answers it if its deadline would pass.
    fn park(&mut self, token: Token) {
        self.read_soon_if_stale();
        if let Some(forward) = self.forwards.park(token, &mut self.shared.retries, self.shared.now)
        {
            let answer = forward.give_up();
            self.respond(token, Some(&forward), &answer);
        }
    }

    /// Schedules a read of the ownership rows if they are stale: the home may have moved.
    fn read_soon_if_stale(&mut self) {
        let read_at = self.shared.membership.read_at;
        let age = read_at.map(|at| self.shared.now.saturating_duration_since(at));
        if age.is_none_or(|age| age > Duration::from_millis(300)) {
            self.read_soon();
        }
    }

    pub(super) fn retry_parked(&mut self, cx: CX![]) {
        for token in self.forwards.due(self.shared.now) {
            self.pass_on(cx, token);
        }
    }

    // Answers.

    /// Answers a waiter; a caller's request whose home has moved is forwarded again.
    pub(super) fn answer(&mut self, cx: CX![], to: Waiter, answer: wire::Answer) {
        let token = match to {
            Waiter::Front(token) => token,
            Waiter::Peer(..) => return self.reply(cx, &to, Body::Answer(answer)),
        };
        // An answer from a daemon that is not the home is not final: the request may have a new home.
        let kind = Kind::from_code(answer.code);
        let is_elsewhere = matches!(kind, Some(Kind::NoOwner | Kind::Unconfirmed));
        let Some(forward) = self.forwards.get_mut(token) else { return };
        if is_elsewhere {
            forward.may_be_kept |= answer.state == MOVED;
            return self.park(token);
        }
        let forward = self.forwards.remove(token);
        let doubted = forward.as_ref().and_then(|forward| forward.doubt(kind));
        self.respond(token, forward.as_ref(), &doubted.unwrap_or(answer));
    }

    /// Writes the answer to the caller and records its metrics.
    fn respond(&mut self, token: Token, forward: Option<&Forward>, answer: &wire::Answer) {
        let body = self.to_json(forward, answer);
        let status = match Kind::from_code(answer.code) {
            Some(kind) => kind.status(),
            None if matches!(answer.state.as_str(), "queued" | "running" | "cancelling") => 202,
            None => 200,
        };
        if let Some(forward) = forward {
            let length = self.shared.wall_us.saturating_sub(forward.arrived_us);
            self.metrics.answered(status, Duration::from_micros(length));
            self.metrics.trace(forward, answer, self.shared.me(), self.shared.wall_us);
        }
        self.borders.front.answer(token, front::Answer { status, body });
    }

    fn to_json(&self, forward: Option<&Forward>, answer: &wire::Answer) -> Value {
        let kind = Kind::from_code(answer.code);
        let mut json = json!({ "state": answer.state, "text": answer.text });
        if let Some(kind) = kind {
            json["error"] = json!(kind.word());
            json["ran"] = json!(kind.ran().word());
        }
        let Some(forward) = forward else { return json };
        json["customer"] = json!(forward.key.customer);
        json["id"] = json!(forward.key.id);
        json["results"] = results(forward, answer);
        json["worker"] = json!(answer.worker);
        json["attempt"] = json!(answer.attempt);
        let length = self.shared.wall_us.saturating_sub(forward.arrived_us);
        let mut spans = vec![span("entry", self.shared.me(), forward.arrived_us, length)];
        spans.extend(answer.spans.iter().cloned());
        json["trace"] = spans.iter().map(span_json).collect();
        if let Ask::Submit { trace, .. } = &forward.ask {
            json["traceparent"] = json!(trace);
        }
        json
    }

    fn show_settings(&mut self, token: Token, what: &Name) {
        let versions = &self.shared.versions;
        let body = json!({
            "what": what,
            "version": versions.version_of(what),
            "author": versions.head.author,
            "at_ms": versions.head.at_ms,
            "text": versions.text_of(what),
        });
        self.borders.front.answer(token, front::Answer { status: 200, body });
    }

    fn show_readiness(&mut self, token: Token) {
        let is_ready = self.stop.is_none() && self.shared.may_decide();
        let status = if is_ready { 200 } else { Kind::Unconfirmed.status() };
        let body = json!({
            "ready": is_ready,
            "leaving": self.stop.is_some(),
            "settings": self.shared.versions.head.version,
            "lease": self.shared.may_own(),
        });
        self.borders.front.answer(token, front::Answer { status, body });
    }

    /// Answers an operator's request with an error.
    pub(super) fn refuse(&mut self, token: Token, kind: Kind, text: &str) {
        self.borders.front.answer(token, api::error(kind, text));
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
    let as_list = || serde_json::from_slice(&answer.body).unwrap_or_else(|_bad| json!([]));
    if forward.is_durable() { as_list() } else { json!([String::from_utf8_lossy(&answer.body)]) }
}
