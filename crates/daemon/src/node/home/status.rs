//! State of requests as reported to callers and operators.

use journal::event::RequestKey;
use journal::request_table::{Request, State, Task};

use super::placement::check_start_allowed;
use super::{Home, QueueKey, span};
use crate::node::action::{Action, Waiter};
use crate::node::shared::Shared;

impl Home {
    /// Queues an answer.
    pub(super) fn answer(&mut self, to: Waiter, answer: wire::Answer) {
        self.actions.push(Action::Answer(to, Box::new(answer)));
    }

    /// Reports a request's current state; `queued` if its admission is not durable.
    pub fn describe(&self, key: &RequestKey) -> wire::Answer {
        let Some(request) = self.request_table.get(key) else {
            return wire::Answer { state: "queued".to_owned(), ..Default::default() };
        };
        let progress = self.progress.get(key);
        let last_task = request.tasks.last();
        let place = request.tasks.iter().find_map(Task::place);
        let mut answer = wire::Answer {
            code: request.answer.as_ref().map_or(0, |answer| answer.code),
            state: request.status_word().to_owned(),
            text: request.answer.as_ref().map(|answer| answer.text.clone()).unwrap_or_default(),
            body: encode_results(request),
            spans: self.spans_for(key),
            attempt: last_task.map_or(0, |task| task.attempts),
            worker: place.map(|place| place.worker.to_string()).unwrap_or_default(),
        };
        if let Some(progress) =
            progress.filter(|progress| progress.arrived_us > 0 && progress.placed_us > 0)
        {
            let waited = progress.placed_us.saturating_sub(progress.arrived_us);
            answer.spans.insert(0, span("home-queue", "", progress.arrived_us, waited));
        }
        answer
    }

    /// Explains in one sentence why a request waits, or where it runs.
    pub fn explain(&self, key: &RequestKey, shared: &Shared) -> String {
        let Some(request) = self.request_table.get(key) else {
            return format!("no request {key}");
        };
        if let Some(answer) = &request.answer {
            return format!("closed: {} {}", request.status_word(), answer.text);
        }
        let running: Vec<String> = request
            .tasks
            .iter()
            .filter_map(Task::place)
            .map(|place| {
                format!(
                    "task {} attempt {} on {} in rack {}",
                    place.task, place.attempt, place.worker, place.rack
                )
            })
            .collect();
        if !running.is_empty() {
            return format!("{}; best fit on the rack", running.join("; "));
        }
        if let Err(reason) = check_start_allowed(request, shared) {
            return format!("waiting: {reason}");
        }
        let queue_key = queue_key(key, request);
        let ahead = self.waiting.range(..&queue_key).count();
        let reason = self.progress.get(key).map_or("", |progress| progress.reason.as_str());
        let reason = if reason.is_empty() { "placement not tried yet" } else { reason };
        format!("waiting: {reason}; {ahead} ahead in its partition")
    }

    /// First `limit` open requests: waiting ones in queue order, then running ones.
    ///
    /// A request with waiting and running tasks appears twice.
    pub fn queued_requests(&self, limit: usize) -> Vec<(&RequestKey, &Request)> {
        let waiting = self.waiting.iter().map(|(_, _, key)| key);
        let running = self.running.iter();
        let both = waiting.chain(running).take(limit);
        both.filter_map(|key| self.request_table.get(key).map(|request| (key, request))).collect()
    }

    /// Removes the requests answered before a time, in Unix milliseconds, from the request table.
    pub fn remove_answered_before(&mut self, before_ms: i64) {
        self.request_table.remove_answered_before(before_ms);
    }
}

/// Position of a request in the queue.
pub(super) fn queue_key(key: &RequestKey, request: &Request) -> QueueKey {
    (request.terms.class, request.terms.admitted_ms, key.clone())
}

/// Result text of each task; empty for tasks that have not ended.
pub(super) fn task_results(request: &Request) -> Vec<String> {
    let text = |task: &Task| match &task.state {
        State::Ended { result, .. } => result.clone(),
        State::Waiting | State::Started(_) => String::new(),
    };
    request.tasks.iter().map(text).collect()
}

/// Results of a closed request as a JSON array; empty while it is open.
pub(super) fn encode_results(request: &Request) -> Vec<u8> {
    let results = request.answer.as_ref().map(|answer| &answer.results);
    results.map(|results| serde_json::to_vec(results).unwrap_or_default()).unwrap_or_default()
}
