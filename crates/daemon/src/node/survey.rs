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
const SURVEY_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum number of queued requests that one member lists.
const MAX_QUEUE_ROWS: usize = 200;

/// Survey that awaits parts from other members.
#[derive(Debug)]
struct Survey {
    token: Token,
    /// Number of peers that have not answered.
    pending: usize,
    deadline: Instant,
    rows: Vec<Value>,
    /// Number of peers that failed to answer.
    failed: usize,
}

/// Surveys in progress, by number.
#[derive(Debug, Default)]
pub struct Surveys {
    next: u64,
    open: HashMap<u64, Survey>,
}

impl Node {
    /// Starts a survey with this daemon's part and queries the peers.
    pub(super) fn start_survey(&mut self, cx: CX![], token: Token, view: &Name) {
        let rows = self.survey_rows(view);
        let peers = self.shared.membership.peers();
        self.surveys.next += 1;
        let number = self.surveys.next;
        let deadline = self.shared.now + SURVEY_TIMEOUT;
        let survey = Survey { token, pending: peers.len(), deadline, rows, failed: 0 };
        self.surveys.open.insert(number, survey);
        for peer in peers {
            let body = Body::Survey(wire::Survey { what: view.to_string(), key: None });
            self.call_member(cx, Some(peer.name), body, Purpose::Survey(number));
        }
        self.finish_surveys();
    }

    /// Answers a peer's survey with this daemon's part.
    pub(super) fn answer_survey(&mut self, cx: CX![], from: &Waiter, survey: &wire::Survey) {
        let rows = self.survey_rows(&survey.what);
        let body = serde_json::to_vec(&rows).unwrap_or_default();
        self.reply(cx, from, Body::View(wire::View { body }));
    }

    /// Adds a peer's part to a survey.
    pub(super) fn add_survey_part(&mut self, number: u64, body: Option<Body>) {
        let Some(survey) = self.surveys.open.get_mut(&number) else {
            return;
        };
        survey.pending -= 1;
        match body {
            Some(Body::View(view)) => {
                let rows: Vec<Value> = serde_json::from_slice(&view.body).unwrap_or_default();
                survey.rows.extend(rows);
            }
            _ => survey.failed += 1,
        }
    }

    /// Answers the surveys that are complete or have timed out.
    pub(super) fn finish_surveys(&mut self) {
        let now = self.shared.now;
        let is_finished = |survey: &Survey| survey.pending == 0 || survey.deadline <= now;
        let finished: Vec<Survey> = self
            .surveys
            .open
            .extract_if(|_, survey| is_finished(survey))
            .map(|(_, survey)| survey)
            .collect();
        for survey in finished {
            let failed = survey.failed + survey.pending;
            let body = json!({ "rows": survey.rows, "members_missing": failed });
            self.interfaces.http.answer(survey.token, front::Answer { status: 200, body });
        }
    }

    /// This daemon's part of a survey.
    fn survey_rows(&self, view: &str) -> Vec<Value> {
        match view {
            "members" => vec![self.member_row()],
            "workers" => self.worker_rows(),
            "queue" => self.queue_rows(),
            _ => Vec::new(),
        }
    }

    fn member_row(&self) -> Value {
        let me = self.shared.membership.own_member();
        let store = &self.shared.store;
        let (sent, received) = self.interfaces.mesh.byte_counts();
        json!({
            "member": me.name,
            "domain": me.domain,
            "http": me.http_address.to_string(),
            "peer": me.peer_address.to_string(),
            "leaving": me.is_leaving,
            "lease": self.shared.can_act_as_owner(),
            "settings": self.shared.versions.head.version,
            "partitions": self.homes.len(),
            "racks": self.allocators.keys().collect::<Vec<_>>(),
            "open_requests": self.homes.values().map(super::Home::open_requests).sum::<usize>(),
            "open_quick": self.quick_tracker.open(),
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
            for (name, capacity, used, tasks, status) in allocator.rack.worker_statuses(now) {
                rows.push(json!({
                    "rack": allocator.name,
                    "worker": name,
                    "standing": status,
                    "tasks": tasks,
                    "room": capacity,
                    "used": used,
                }));
            }
        }
        rows
    }

    fn queue_rows(&self) -> Vec<Value> {
        let mut rows = Vec::new();
        for home in self.homes.values() {
            for (key, request) in
                home.queued_requests(MAX_QUEUE_ROWS - rows.len().min(MAX_QUEUE_ROWS))
            {
                rows.push(json!({
                    "customer": key.customer,
                    "id": key.id,
                    "kind": request.spec.kind,
                    "class": request.terms.class.as_str(),
                    "state": request.status_word(),
                    "admitted_ms": request.terms.admitted_ms,
                    "tasks": request.terms.tasks,
                }));
            }
        }
        rows
    }
}
