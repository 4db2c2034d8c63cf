//! Metrics in the Prometheus text format, and spans exported by OTLP to a collector.

use std::time::{Duration, Instant};

use bronzeraild::node::forward::{Forward, Operation};
use bronzeraild::node::home::span;
use bronzeraild::telemetry::Metrics;
use common::Name;
use journal::event::RequestKey;

/// Valid `traceparent` of a caller.
const TRACE: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

/// Submitted request that carries [`TRACE`].
fn forward() -> Forward {
    Forward {
        token: 1,
        key: RequestKey { customer: Name::new("c"), id: Name::new("i") },
        operation: Operation::Submit {
            spec: Vec::new(),
            is_durable: false,
            trace: TRACE.to_owned(),
            wants_result: true,
        },
        deadline: Instant::now(),
        may_be_accepted: false,
        arrived_us: 1_000_000,
        retries: 0,
    }
}

#[test]
fn encode_has_metrics() {
    let metrics = Metrics::start("m", None).expect("the metrics start");
    metrics.record_answer(200, Duration::from_millis(3));
    metrics.record_quick_wait(Duration::from_micros(300));
    let text = metrics.encode();
    for name in ["bronzerail_answer_time", "bronzerail_quick_wait", "bronzerail_answers_total"] {
        assert!(text.contains(name), "metric {name} is missing in {text}");
    }
}

#[test]
fn trace_reaches_collector() {
    let collector = tiny_http::Server::http("127.0.0.1:0").expect("a port is available");
    let url = format!("http://{}", collector.server_addr());
    let received = std::thread::spawn(move || {
        let mut request = collector.recv().expect("a request arrives");
        let mut body = Vec::new();
        request.as_reader().read_to_end(&mut body).expect("the body is complete");
        let url = request.url().to_owned();
        request.respond(tiny_http::Response::empty(200)).expect("the response is sent");
        (url, body)
    });
    let metrics = Metrics::start("m", Some(&url)).expect("the exporter starts");
    let answer =
        wire::Answer { spans: vec![span("executor", "e-1", 1_000_100, 50)], ..Default::default() };
    metrics.export_spans(&forward(), &answer, &Name::new("m"), 1_000_500);
    metrics.flush();
    let (url, body) = received.join().expect("the collector thread ends");
    assert_eq!(url, "/v1/traces");
    let has = |text: &[u8]| body.windows(text.len()).any(|window| window == text);
    assert!(has(b"entry") && has(b"executor") && has(b"c/i"));
    let trace_id = 0x0af7_6519_16cd_43dd_8448_eb21_1c80_319c_u128.to_be_bytes();
    assert!(has(&trace_id), "the caller's trace id is missing");
}
