//! Tests of the checker: each rule broken and held, with hand-written events.

use soak::check::{Checker, Rule, Settings, State, Violation};
use standin::platform::event::{Event, Kind};

/// Job of most tests.
const JOB: &str = "00000000000000a1";

/// Task of most tests.
const TASK: &str = "00000000000000a1.0.0.0";

/// Start of the soak, in microseconds.
const ORIGIN_US: u64 = 70_000_000;

/// Time in microseconds of a millisecond of the soak.
fn at(ms: u64) -> u64 {
    ORIGIN_US + ms * 1000
}

/// A checker to which events can be told in a line each.
struct Tale(Checker);

impl Tale {
    /// A soak in which the job was accepted.
    fn new() -> Self {
        let mut tale = Self::silent(true);
        tale.0.submitted(JOB);
        tale.0.accepted(JOB);
        tale
    }

    /// A soak in which no client sent anything.
    fn silent(judges_cancellations: bool) -> Self {
        let settings = Settings { origin_us: ORIGIN_US, max_attempts: 2, judges_cancellations };
        Self(Checker::new(settings))
    }

    fn event_of(&mut self, ms: u64, worker: &str, incarnation: u64, kind: Kind) -> &mut Self {
        let event = Event { at_us: at(ms), worker: worker.into(), incarnation, kind };
        self.0.worker_event(event);
        self
    }

    fn event(&mut self, ms: u64, worker: &str, kind: Kind) -> &mut Self {
        self.event_of(ms, worker, 1, kind)
    }

    fn started(&mut self, ms: u64, worker: &str, run: u64) -> &mut Self {
        self.event(ms, worker, start(run))
    }

    fn ended(&mut self, ms: u64, worker: &str, run: u64, how: &str) -> &mut Self {
        self.event(ms, worker, Kind::Ended { task: TASK.into(), run, how: how.into() })
    }

    fn noted(&mut self, ms: u64, worker: &str, run: u64) -> &mut Self {
        self.event(ms, worker, Kind::Noted { task: TASK.into(), run })
    }

    /// Rules broken so far, in order.
    fn broken(&self) -> Vec<Rule> {
        self.0.violations().iter().map(|violation| violation.rule).collect()
    }

    /// The only violation.
    fn only(&self) -> Violation {
        let mut violations = self.0.violations();
        assert_eq!(violations.len(), 1, "{violations:?}");
        violations.remove(0)
    }
}

fn start(run: u64) -> Kind {
    Kind::Started { task: TASK.into(), run, token: 10 + run }
}

#[test]
fn twice_two_runs_at_once() {
    let mut tale = Tale::new();
    tale.started(0, "a", 1).started(900, "b", 2).ended(1000, "a", 1, "lapsed");
    let violation = tale.only();
    assert_eq!((violation.rule, violation.at_us), (Rule::Twice, at(900)));
    let expected = "Twice: task 00000000000000a1.0.0.0: run 2 on b (incarnation 1, token 12) from \
                    0.900 s, still on, while run 1 on a (incarnation 1, token 11) from 0.000 s, \
                    ended lapsed at 1.000 s";
    assert_eq!(violation.to_string(), expected);
}

#[test]
fn twice_overlap_with_a_run_before_the_last() {
    let mut tale = Tale::new();
    tale.started(0, "a", 1).started(100, "b", 2).ended(200, "b", 2, "stopped");
    tale.started(300, "c", 3).ended(400, "a", 1, "lapsed").ended(500, "c", 3, "lapsed");
    assert_eq!(tale.broken(), [Rule::Twice, Rule::Twice]);
}

#[test]
fn twice_held_by_one_run_after_the_other() {
    let mut tale = Tale::new();
    tale.started(0, "a", 1).ended(1000, "a", 1, "lapsed").started(1000, "b", 2);
    tale.ended(1500, "b", 2, "done").noted(1600, "b", 2);
    assert_eq!(tale.broken(), []);
}

#[test]
fn twice_events_in_any_order() {
    let mut tale = Tale::new();
    // The worker was stopped, and reports only later that the run had ended in time.
    tale.started(0, "a", 1).started(1100, "b", 2);
    assert_eq!(tale.broken(), [Rule::Twice]);
    tale.ended(1000, "a", 1, "lapsed");
    assert_eq!(tale.broken(), []);
}

#[test]
fn twice_run_of_a_killed_worker_ends_at_the_kill() {
    let mut tale = Tale::new();
    tale.started(0, "a", 1).started(700, "b", 2);
    tale.0.worker_down("a", at(600));
    assert_eq!(tale.broken(), []);

    let mut tale = Tale::new();
    tale.started(0, "a", 1).started(700, "b", 2);
    tale.0.worker_down("a", at(800));
    assert_eq!(tale.broken(), [Rule::Twice]);
}

#[test]
fn twice_run_of_a_stopped_and_killed_worker_ends_with_its_lease() {
    let mut tale = Tale::new();
    tale.event(0, "a", Kind::Leased { until_us: at(500) });
    tale.started(0, "a", 1).started(700, "b", 2);
    tale.0.worker_down("a", at(9000));
    assert_eq!(tale.broken(), []);

    let mut tale = Tale::new();
    tale.event(0, "a", Kind::Leased { until_us: at(800) });
    tale.started(0, "a", 1).started(700, "b", 2);
    tale.0.worker_down("a", at(9000));
    assert_eq!(tale.broken(), [Rule::Twice]);
}

#[test]
fn twice_run_under_a_lease_that_lasts_is_still_on() {
    let mut tale = Tale::new();
    tale.event(0, "a", Kind::Leased { until_us: at(4000) });
    tale.started(0, "a", 1).started(700, "b", 2);
    assert!(tale.only().text.ends_with("token 11) from 0.000 s, still on"));
    tale.event(4001, "b", Kind::LeaseExpired);
    assert!(tale.only().text.ends_with("gone with its worker or lease at 4.000 s"));
}

#[test]
fn twice_run_ends_when_its_worker_begins_anew() {
    let mut tale = Tale::new();
    tale.started(0, "a", 1).event_of(500, "a", 2, Kind::Up { address: "x".into() });
    tale.event_of(600, "a", 2, start(2));
    assert_eq!(tale.broken(), []);
    // A kill of the first incarnation doesn't end the runs of the second.
    tale.0.worker_down("a", at(400));
    tale.started(700, "b", 3);
    assert_eq!(tale.broken(), [Rule::Twice]);
}

#[test]
fn twice_start_after_a_noted_success() {
    let mut tale = Tale::new();
    tale.started(0, "a", 1).ended(300, "a", 1, "done").noted(400, "a", 1).started(500, "b", 2);
    let violation = tale.only();
    assert_eq!((violation.rule, violation.at_us), (Rule::Twice, at(500)));
    assert!(violation.text.ends_with("ended done at 0.300 s, which was noted at 0.400 s"));
}

#[test]
fn twice_start_before_the_success_is_noted() {
    let mut tale = Tale::new();
    tale.started(0, "a", 1).ended(300, "a", 1, "done").started(400, "b", 2);
    assert_eq!(tale.broken(), []);
    tale.noted(500, "a", 1);
    assert_eq!(tale.broken(), [Rule::Twice]);
}

#[test]
fn twice_held_if_the_lease_expired_before_the_note() {
    let mut tale = Tale::new();
    tale.started(0, "a", 1).ended(300, "a", 1, "done").event(350, "a", Kind::LeaseExpired);
    tale.noted(400, "a", 1).started(500, "b", 2);
    assert_eq!(tale.broken(), []);
}

#[test]
fn twice_not_held_by_other_expiries() {
    let mut tale = Tale::new();
    // One before the end, one after the note, and one of another worker.
    tale.event(200, "a", Kind::LeaseExpired).event(350, "b", Kind::LeaseExpired);
    tale.started(250, "a", 1).ended(300, "a", 1, "done").noted(400, "a", 1);
    tale.event(450, "a", Kind::LeaseExpired).started(500, "b", 2);
    assert_eq!(tale.broken(), [Rule::Twice]);
}

#[test]
fn twice_held_after_ends_that_are_not_successes() {
    for how in ["failed", "stopped", "lapsed"] {
        let mut tale = Tale::new();
        tale.started(0, "a", 1).ended(300, "a", 1, how).noted(400, "a", 1).started(500, "b", 2);
        assert_eq!(tale.broken(), [], "{how}");
    }
}

#[test]
fn over_room_start_beyond_capacity() {
    let mut tale = Tale::new();
    tale.started(0, "a", 1);
    assert_eq!(tale.broken(), []);
    tale.event(0, "a", Kind::OverRoom { used: 4500 });
    assert_eq!(tale.only().rule, Rule::OverRoom);
}

#[test]
fn unasked_start_of_a_job_that_no_client_sent() {
    let mut tale = Tale::silent(true);
    tale.started(0, "a", 1);
    assert_eq!(tale.only().rule, Rule::Unasked);
    tale.0.submitted(JOB);
    assert_eq!(tale.broken(), []);
}

#[test]
fn unasked_start_after_a_cancellation() {
    let tell = |started_ms, judges_cancellations| {
        let mut tale = Tale::silent(judges_cancellations);
        tale.0.submitted(JOB);
        tale.0.cancel_acked(JOB, at(100));
        tale.0.cancel_acked(JOB, at(2000));
        tale.started(started_ms, "a", 1);
        tale.broken()
    };
    assert_eq!(tell(3101, true), [Rule::Unasked]);
    assert_eq!(tell(3100, true), []);
    assert_eq!(tell(3101, false), []);
}

#[test]
fn unasked_held_by_a_disturbance_after_the_cancellation() {
    let tell = |from_ms, until_ms| {
        let mut tale = Tale::new();
        tale.0.cancel_acked(JOB, at(100));
        tale.0.disturbed(at(from_ms), at(until_ms));
        tale.started(5000, "a", 1);
        tale.broken()
    };
    assert_eq!(tell(4000, 4500), []);
    assert_eq!(tell(0, 9000), []);
    assert_eq!(tell(0, 50), [Rule::Unasked]);
    assert_eq!(tell(5001, 9000), [Rule::Unasked]);
}

#[test]
fn refused_start_of_a_rejected_job() {
    let mut tale = Tale::silent(true);
    tale.0.submitted(JOB);
    tale.started(0, "a", 1);
    assert_eq!(tale.broken(), []);
    tale.0.refused(JOB);
    assert_eq!(tale.only().rule, Rule::Refused);
    // A later attempt succeeded after all, and an even later one changes nothing.
    tale.0.accepted(JOB);
    tale.0.refused(JOB);
    assert_eq!(tale.broken(), []);
}

#[test]
fn lost_accepted_job_at_the_end() {
    let lost = |state: Option<State>| {
        let mut tale = Tale::new();
        if let Some(state) = state {
            tale.0.state(JOB, state, at(900));
        }
        assert_eq!(tale.broken(), []);
        tale.0.end(at(1000));
        tale.broken()
    };
    for state in [State::Queued, State::Running, State::Cancelled, State::Failed, State::Unknown] {
        assert_eq!(lost(Some(state)), [Rule::Lost], "{state:?}");
    }
    assert_eq!(lost(None), [Rule::Lost]);
    assert_eq!(lost(Some(State::Completed)), []);
}

#[test]
fn lost_last_state_counts() {
    let mut tale = Tale::new();
    tale.0.end(at(1000));
    tale.0.state(JOB, State::Running, at(900));
    tale.0.state(JOB, State::Unknown, at(100));
    assert!(tale.only().text.contains("shown as Running at 0.900 s"));
    // A completed job may be forgotten.
    tale.0.state(JOB, State::Completed, at(950));
    tale.0.state(JOB, State::Unknown, at(990));
    assert_eq!(tale.broken(), []);
}

#[test]
fn lost_held_for_jobs_not_accepted_or_cancelled() {
    let mut tale = Tale::silent(true);
    tale.0.submitted("00000000000000b1");
    tale.0.submitted("00000000000000b2");
    tale.0.refused("00000000000000b2");
    tale.0.accepted("00000000000000b3");
    // The cancellation got no answer, so the job may be in any state.
    tale.0.cancel_sent("00000000000000b3");
    tale.0.end(at(1000));
    assert_eq!(tale.broken(), []);
}

#[test]
fn lost_failed_without_enough_failed_runs() {
    let mut tale = Tale::new();
    tale.started(0, "a", 1).ended(100, "a", 1, "failed").started(200, "b", 2);
    tale.0.state(JOB, State::Failed, at(500));
    tale.0.end(at(1000));
    tale.ended(300, "b", 2, "lapsed");
    assert!(tale.only().text.contains("after at most 1 failed runs of a task, 2 allowed"));
    tale.started(400, "a", 3).ended(450, "a", 3, "failed");
    assert_eq!(tale.broken(), []);
}

#[test]
fn take_new_returns_each_violation_once() {
    let mut tale = Tale::new();
    tale.started(0, "a", 1).started(100, "b", 2);
    assert_eq!(tale.0.take_new().len(), 1);
    // The end of the earlier run is known now, which changes only the text.
    tale.ended(150, "a", 1, "lapsed");
    assert_eq!(tale.0.take_new(), []);
    tale.started(200, "c", 3);
    assert_eq!(tale.0.take_new().len(), 1);
    assert_eq!(tale.0.violations().len(), 2);
}

#[test]
fn state_from_name_of_a_reply() {
    assert_eq!(State::from_name("completed"), Some(State::Completed));
    assert_eq!(State::from_name("other"), None);
}

/// Guards against an answer against a key that is told during the soak and forgotten at its end.
#[test]
fn key_answer_against_it_is_broken_and_told_once() {
    let mut tale = Tale::silent(true);
    tale.0.key_violation("127.0.0.1:8000", at(1500), "a removed key was served".to_owned());
    assert_eq!(tale.0.take_new().len(), 1);
    assert_eq!(tale.0.take_new(), Vec::<Violation>::new());
    tale.0.end(at(2000));
    let violation = tale.only();
    assert_eq!((violation.rule, violation.at_us), (Rule::Key, at(1500)));
    assert_eq!(violation.text, "a removed key was served at 1.500 s");
}
