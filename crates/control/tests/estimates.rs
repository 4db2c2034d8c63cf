//! The operators' view of learned run times and speeds, asked at a follower.

mod support;

use std::time::Duration;

use control::{Answer, Operation, View};
use scheduler::JobState;
use serde_json::Value;
use support::{Simulation, job, step};

/// Real run time of all tasks; they are estimated at 0.5 s.
const RUN_TIME: Duration = Duration::from_secs(3);

/// The view, asked at a daemon that does not lead.
fn estimates(sim: &mut Simulation) -> Value {
    let leader = sim.leader().expect("a daemon leads");
    let follower = (0..3).find(|node| *node != leader).expect("there are three daemons");
    let token = sim.call(follower, Operation::View(View::Estimates));
    sim.run(Duration::from_secs(2));
    match sim.answers.get(&token) {
        Some(Answer::View(text)) => serde_json::from_str(text).expect("the view is JSON"),
        other => panic!("the follower answers with the view: {other:?}"),
    }
}

// Guards against wrong predictions that no operator can see, and against a leader whose learned run
// times are those of daemons that led before.
#[test]
fn estimates_view_shows_what_leader_learned() {
    let mut sim = Simulation::new(31, 3, 4);
    sim.run_time = Some(RUN_TIME);
    assert!(sim.run_until(Duration::from_secs(10), |sim| sim.leader().is_some()));
    sim.run(Duration::from_secs(2));
    assert_eq!(estimates(&mut sim)["rows"].as_array().map(Vec::len), Some(0));
    for number in 0..30 {
        let id = format!("j{number}");
        assert_eq!(sim.submit(job(&id, vec![step(1, 500)])), Some(Answer::Accepted));
        assert!(sim.wait_for_state(&id, JobState::Completed, Duration::from_secs(10)));
    }
    let view = estimates(&mut sim);
    let row = &view["rows"][0];
    assert_eq!((&row["runs"], &row["gang"]), (&30.into(), &false.into()), "{view}");
    assert_ne!(row["source"], "estimate", "{view}");
    let median = row["median_ms"].as_u64().expect("a number");
    assert!((2800..3500).contains(&median), "{view}");
    assert_eq!(view["speeds_differ"], false);
    assert!(view["speeds"]["rows"].as_array().is_some_and(|rows| !rows.is_empty()), "{view}");

    let leader = sim.leader().expect("a daemon leads");
    sim.kill(leader);
    assert!(sim.run_until(Duration::from_secs(30), |sim| sim.leader().is_some()));
    sim.start(leader);
    sim.run(Duration::from_secs(5));
    assert_eq!(estimates(&mut sim)["rows"].as_array().map(Vec::len), Some(0));
}
