//! Surveys: operators' queries that every member answers for its part of the cell.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use common::Name;
use serde_json::{Value, json};
use stakker::CX;
use wire::Body;

use super::Node;
use super::action::Waiter;
use super::call::Purpose;
use crate::front::{self, Token};

/// Timeout for the members' parts.
const WAIT: Duration = Duration::from_millis(1500);

/// Most queued requests that one member lists.
const QUEUE_MAX: usize = 200;

#[derive(Debug)]
/// Survey that is pending parts from other members.
struct Survey {
    token: Token,
    /// Number of peers that have not answered.
    waiting: usize,
    until: Instant,
    rows: Vec<Value>,
    /// Number of peers that failed to answer.
    missing: usize,
}

/// Surveys in progress, by number.
#[derive(Debug, Default)]
pub struct Surveys {
    next: u64,
    open: HashMap<u64, Survey>,
}

impl Node {
    /// Starts a survey with this daemon's part and queries the peers.
    pub(super) fn survey(&mut self, cx: CX![], token: Token, what: &Name) {
        let rows = self.rows_of(what);
        let peers = self.shared.membership.peers();
        self.surveys.next += 1;
        let number = self.surveys.next;
        let until = self.shared.now + WAIT;
        let survey = Survey { token, waiting: peers.len(), until, rows, missing: 0 };
        self.surveys.open.insert(number, survey);
        for peer in peers {
            let body = Body::Survey(wire::Survey { what: what.to_string(), key: None });
            self.ask(cx, Some(peer.name), body, Purpose::Survey(number));
        }
        self.end_surveys();
    }

    /// Answers a peer's survey with this daemon's part.
    pub(super) fn surveyed(&mut self, cx: CX![], from: &Waiter, survey: &wire::Survey) {
        let rows = self.rows_of(&survey.what);
        let body = serde_json::to_vec(&rows).unwrap_or_default();
        self.reply(cx, from, Body::View(wire::View { body }));
    }

    /// Adds a peer's part to a survey.
    pub(super) fn survey_part(&mut self, number: u64, body: Option<Body>) {
        let Some(survey) = self.surveys.open.get_mut(&number) else {
            return;
        };
        survey.waiting -= 1;
        match body {
            Some(Body::View(view)) => {
                let rows: Vec<Value> = serde_json::from_slice(&view.body).unwrap_or_default();
                survey.rows.extend(rows);
            }
            _ => survey.missing += 1,
        }
    }

    /// Answers the surveys that are complete or have timed out.
    pub(super) fn end_surveys(&mut self) {
        let now = self.shared.now;
        let is_over = |survey: &Survey| survey.waiting == 0 || survey.until <= now;
        let over: Vec<Survey> =
            self.surveys.open.extract_if(|_, survey| is_over(survey)).map(|(_, one)| one).collect();
        for survey in over {
            let missing = survey.missing + survey.waiting;
            let body = json!({ "rows": survey.rows, "members_missing": missing });
            self.borders.front.answer(survey.token, front::Answer { status: 200, body });
        }
    }

    /// This daemon's part of a survey.
    fn rows_of(&self, what: &str) -> Vec<Value> {
        match what {
            "members" => vec![self.member_row()],
            "workers" => self.worker_rows(),
            "queue" => self.queue_rows(),
            _ => Vec::new(),
        }
    }

    fn member_row(&self) -> Value {
        let me = self.shared.membership.me();
        let store = &self.shared.store;
        let (sent, received) = self.borders.mesh.bytes();
        json!({
            "member": me.name,
            "domain": me.domain,
            "http": me.http_address.to_string(),
            "peer": me.peer_address.to_string(),
            "leaving": me.is_leaving,
            "lease": self.shared.may_own(),
            "settings": self.shared.versions.head.version,
            "partitions": self.homes.len(),
            "racks": self.allocators.keys().collect::<Vec<_>>(),
            "open_requests": self.homes.values().map(super::Home::open).sum::<usize>(),
            "open_quick": self.quicks.open(),
            "callers": self.forwards.open(),
            "live": self.shared.membership.live(),
            "table_commits": store.commits,
            "table_rows_written": store.rows_written,
            "table_reads": store.queries,
            "peer_bytes_sent": sent,
            "peer_bytes_received": received,
        })
    }

    fn worker_rows(&self) -> Vec<Value> {
        let now = self.shared.now;
        let mut rows = Vec::new();
        for allocator in self.allocators.values() {
            for (name, room, used, tasks, standing) in allocator.rack.view(now) {
                rows.push(json!({
                    "rack": allocator.name,
                    "worker": name,
                    "standing": standing,
                    "tasks": tasks,
                    "room": room,
                    "used": used,
                }));
            }
        }
        rows
    }

    fn queue_rows(&self) -> Vec<Value> {
        let mut rows = Vec::new();
        for home in self.homes.values() {
            for (key, request) in home.queue(QUEUE_MAX - rows.len().min(QUEUE_MAX)) {
                rows.push(json!({
                    "customer": key.customer,
                    "id": key.id,
                    "kind": request.spec.kind,
                    "class": request.terms.class.word(),
                    "state": request.word(),
                    "admitted_ms": request.terms.admitted_ms,
                    "tasks": request.terms.tasks,
                }));
            }
        }
        rows
    }
}
