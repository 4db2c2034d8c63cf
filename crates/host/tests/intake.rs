//! Which connections give way at the bounds of a listener.

use std::rc::Rc;

use host::intake::{Bounds, Intake, Place};
use poll::is_ready;

/// Polls a future once.
mod poll {
    use std::pin::pin;
    use std::task::{Context, Waker};

    pub fn is_ready(future: impl Future<Output = ()>) -> bool {
        pin!(future).poll(&mut Context::from_waker(Waker::noop())).is_ready()
    }
}

fn intake(max_connections: usize, max_body_bytes: usize) -> Rc<Intake> {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Rc::new(Intake::new(Bounds { max_connections, max_body_bytes }, log))
}

fn admit(intake: &Rc<Intake>) -> Place {
    intake.admit().expect("another connection gives way")
}

/// Completes a request on a connection, which is then idle.
fn serve_request(place: &Place) {
    place.begin_body();
    place.begin_handling();
    place.end_request();
}

fn is_closed(place: &Place) -> bool {
    is_ready(place.closed())
}

fn is_refused(place: &Place) -> bool {
    is_ready(place.refused())
}

/// Guards against callers with idle connections that are closed for a crowd without requests.
#[test]
fn admit_closes_oldest_without_request_first() {
    let intake = intake(3, 1000);
    let idle = admit(&intake);
    serve_request(&idle);
    let (first, second) = (admit(&intake), admit(&intake));
    second.begin_body();
    let third = admit(&intake);
    assert!(is_closed(&first) && !is_closed(&second) && !is_closed(&idle));
    let fourth = admit(&intake);
    assert!(is_closed(&second) && !is_closed(&idle));
    drop((third, fourth));
    let served = [admit(&intake), admit(&intake)];
    served.iter().for_each(serve_request);
    let _new = admit(&intake);
    assert!(is_closed(&idle), "it is idle for longest");
}

/// Guards against requests that are cut off while they are handled, and may have an effect.
#[test]
fn admit_never_closes_connection_whose_request_is_handled() {
    let intake = intake(2, 1000);
    let places = [admit(&intake), admit(&intake)];
    for place in &places {
        place.begin_body();
        place.begin_handling();
    }
    assert!(intake.admit().is_none());
    assert!(!places.iter().any(is_closed));
    places[0].end_request();
    let _new = admit(&intake);
    assert!(is_closed(&places[0]) && !is_closed(&places[1]));
}

/// Guards against places that are lost, so that the bound shrinks.
#[test]
fn dropped_places_are_free() {
    let intake = intake(2, 1000);
    for _ in 0..10 {
        let first = admit(&intake);
        let second = admit(&intake);
        first.begin_body();
        assert!(first.hold_body(900));
        assert!(!is_closed(&first) && !is_closed(&second));
    }
}

/// Guards against many large bodies that each are within the limit, and refuse small ones.
#[test]
fn hold_body_refuses_largest_unfinished() {
    let intake = intake(10, 100_000);
    let [large, middle, complete, small] = [0, 1, 2, 3].map(|_| admit(&intake));
    for (place, bytes) in [(&large, 40_000), (&middle, 30_000), (&complete, 25_000)] {
        place.begin_body();
        assert!(place.hold_body(bytes));
    }
    complete.begin_handling();
    small.begin_body();
    assert!(small.hold_body(9000));
    assert!(is_refused(&large) && !is_refused(&middle) && !is_refused(&complete));
    assert!(!large.hold_body(41_000), "it is refused already");
    assert!(!middle.hold_body(90_000), "it is the largest now");
    middle.end_request();
    assert!(small.hold_body(20_000));
}

/// Guards against ordinary requests that are refused while complete bodies fill the bound.
#[test]
fn hold_body_takes_small_body_beyond_bound() {
    let intake = intake(10, 100_000);
    let complete = admit(&intake);
    complete.begin_body();
    assert!(complete.hold_body(100_000));
    complete.begin_handling();
    let [small, other] = [0, 1].map(|_| admit(&intake));
    small.begin_body();
    assert!(small.hold_body(8192));
    other.begin_body();
    assert!(!other.hold_body(8193));
    complete.end_request();
    assert!(small.hold_body(50_000));
}
