//! Callers' requests at the leader.

use common::Name;
use scheduler::Submission;

use crate::answer::{Answer, Call, Op, Target};
use crate::entry::refused;
use crate::event::note_job;
use crate::lead::{Leader, journal::Effect};
use crate::node::Port;

/// Who asked.
#[derive(Debug, Clone)]
pub(crate) enum Caller {
    /// A caller of this process.
    Local(u64),
    /// A caller of a follower.
    Peer {
        /// The link to the follower.
        link: u64,
        /// The follower's number of the request.
        id: u64,
    },
}

impl Leader {
    /// Takes a request.
    pub fn request(&mut self, port: &mut Port, caller: Caller, call: Call) {
        let Some(rules) = &self.scheduler.rules else {
            self.answer(port, &caller, refused(false));
            return;
        };
        let queue = match &call.target {
            Target::Route { host, path } => rules.route(host, path),
            Target::Queue(name) => rules.queue(name),
        };
        let queue = queue.map(|queue| queue.name.clone());
        match call.op {
            Op::Submit(submission) => self.submit(port, caller, queue, submission),
            Op::State(id) => self.tell_state(port, caller, id),
            Op::Cancel(id) => self.cancel(port, caller, &id),
            Op::Pending => {
                let answer = queue.map_or(Answer::NoQueue, |queue| {
                    Answer::Pending(self.scheduler.pending(&queue) as u64)
                });
                self.answer(port, &caller, answer);
            }
            Op::View(view) => {
                let answer = self.view(port, &view);
                self.answer(port, &caller, answer);
            }
        }
    }

    fn submit(&mut self, port: &mut Port, caller: Caller, queue: Option<Name>, job: Submission) {
        let known = self.scheduler.jobs.get(&*job.id).map(|job| job.durable.is_some());
        match (known, queue) {
            (Some(true), _) => self.answer(port, &caller, Answer::Accepted),
            (Some(false), _) => self.journal.after(Effect::Answer(caller, Answer::Accepted)),
            (None, None) => self.answer(port, &caller, Answer::NoQueue),
            (None, Some(queue)) => {
                let version = self.scheduler.rules.as_ref().map_or(0, |rules| rules.version);
                note_job!(port, &job.id, JobAccepted, "queue" => %queue, "rules" => version,
                    "steps" => job.steps.len(), "epoch" => self.epoch);
                let store_ms = self.store_ms(port.now);
                self.scheduler.submit(job, queue, port.now, store_ms);
                self.journal.enqueue(std::mem::take(&mut self.scheduler.dirty));
                self.journal.after(Effect::Answer(caller, Answer::Accepted));
                self.is_changed = true;
            }
        }
    }

    /// The state of a job that the store has.
    pub(super) fn state(&self, id: &str) -> Option<Answer> {
        self.scheduler.jobs.get(id)?.shown().map(Answer::State)
    }

    fn tell_state(&mut self, port: &mut Port, caller: Caller, id: Name) {
        match self.state(&id) {
            Some(answer) => self.answer(port, &caller, answer),
            None => self.journal.after(Effect::State(caller, id)),
        }
    }

    fn cancel(&mut self, port: &mut Port, caller: Caller, id: &str) {
        let store_ms = self.store_ms(port.now);
        let answer =
            if self.scheduler.cancel(id, store_ms) { Answer::Cancelled } else { Answer::NoJob };
        self.journal.enqueue(std::mem::take(&mut self.scheduler.dirty));
        self.journal.after(Effect::Answer(caller, answer));
        self.is_changed = true;
    }
}
