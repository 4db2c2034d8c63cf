//! What the sends of a start prove about its run.

use std::time::Duration;

use scheduler::Fate;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A start with one send, which got no answer within 350 ms.
fn unanswered() -> Fate {
    let mut fate = Fate::default();
    fate.record_send();
    fate.record_unanswered(ms(350));
    fate
}

#[test]
fn refused_and_unsent_starts_have_not_started() {
    let mut fate = Fate::default();
    assert!(fate.not_started().is_some());
    fate.record_send();
    assert!(fate.not_started().is_none(), "a send is open");
    fate.record_without_effect(ms(1));
    assert!(fate.not_started().is_some());
}

/// Guards against a further send without effect that decides about an unanswered one.
#[test]
fn unanswered_send_then_refused_one_may_have_started() {
    let mut fate = unanswered();
    fate.record_send();
    fate.record_without_effect(ms(400));
    assert!(fate.not_started().is_none());
    assert!(!fate.is_decided(ms(500)));
}

/// Guards against a listed run that counts as not started after a send without effect.
#[test]
fn listed_run_then_refused_send_has_started() {
    let mut fate = Fate::default();
    fate.record_send();
    fate.record_listed();
    fate.record_without_effect(ms(400));
    assert!(fate.not_started().is_none());
}

/// Guards against a stop that is taken for proof that the run never started.
#[test]
fn confirmed_stop_is_no_proof() {
    let mut fate = unanswered();
    let mark = fate.mark_stop();
    fate.record_stopped(mark);
    assert!(fate.not_started().is_none(), "the run may have ended before the stop");
    assert!(fate.is_decided(ms(500)), "it can no longer start");
}

/// Guards against a stop that counts for a send that ended after the stop was sent.
#[test]
fn stop_sent_before_unanswered_send_does_not_decide() {
    let mut fate = Fate::default();
    fate.record_send();
    let mark = fate.mark_stop();
    fate.record_unanswered(ms(350));
    fate.record_stopped(mark);
    assert!(!fate.is_decided(ms(500)));
    let mark = fate.mark_stop();
    fate.record_stopped(mark);
    assert!(fate.is_decided(ms(500)));
}

/// Guards against a listing that was asked for before the send that it would decide about.
#[test]
fn listing_requested_before_answer_does_not_decide() {
    let mut fate = Fate::default();
    fate.record_send();
    assert!(!fate.is_decided(ms(500)), "a send is open");
    fate.record_started(ms(100));
    assert!(!fate.is_decided(ms(100)));
    assert!(fate.is_decided(ms(101)));
}
