//! Metrics in the Prometheus text format, and spans exported by OTLP if a collector is set.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use common::Name;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry::trace::{
    Span as _, SpanContext, SpanId, SpanKind, TraceContextExt, TraceFlags, TraceId, TraceState,
    Tracer as _, TracerProvider as _,
};
use opentelemetry_otlp::{WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider};
use prometheus::{Encoder, Registry, TextEncoder};

use crate::node::forward::{Forward, Operation};

mod exporter;

/// Upper bounds of the histogram buckets, in milliseconds.
const BUCKETS_MS: [f64; 12] =
    [0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 1000.0, 5000.0];

/// Metrics and span exporter of the daemon; clones share the same values.
#[derive(Clone)]
pub struct Metrics {
    inner: Arc<Inner>,
}

/// Shared state: the registry, the instruments and the span exporter.
struct Inner {
    registry: Registry,
    _meter_provider: SdkMeterProvider,
    /// Span exporter; `None` if no collector is set.
    tracing: Option<(SdkTracerProvider, SdkTracer)>,
    placements: Counter<u64>,
    answers: Counter<u64>,
    answer_ms: Histogram<f64>,
    quick_wait_ms: Histogram<f64>,
    commit_ms: Histogram<f64>,
    settings_spread_ms: Histogram<f64>,
    loop_lag_ms: Histogram<f64>,
}

impl std::fmt::Debug for Metrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

/// Duration in fractional milliseconds.
fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

impl Metrics {
    /// Registers the metrics, and starts the span exporter if a collector's URL is given.
    ///
    /// # Errors
    ///
    /// The exporter's message if one cannot be set up.
    pub fn start(member: &str, otlp: Option<&str>) -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build();
        let exporter = exporter.map_err(|error| error.to_string())?;
        let resource = Resource::builder().with_service_name("bronzeraild").build();
        let meter_provider =
            SdkMeterProvider::builder().with_reader(exporter).with_resource(resource).build();
        let meter = meter_provider.meter("bronzeraild");
        let histogram = |name: &'static str, text: &'static str| {
            let builder = meter.f64_histogram(name).with_description(text).with_unit("ms");
            builder.with_boundaries(BUCKETS_MS.to_vec()).build()
        };
        let tracing = otlp.map(|url| start_tracing(member, url)).transpose()?;
        let inner = Inner {
            placements: meter.u64_counter("bronzerail_placements").build(),
            answers: meter.u64_counter("bronzerail_answers").build(),
            answer_ms: histogram("bronzerail_answer_time", "from arrival to answer"),
            quick_wait_ms: histogram("bronzerail_quick_wait", "from home to rack, first sending"),
            commit_ms: histogram("bronzerail_commit_time", "of one journal segment"),
            settings_spread_ms: histogram(
                "bronzerail_settings_spread",
                "from acceptance to all members",
            ),
            loop_lag_ms: histogram("bronzerail_loop_lag", "of the loop behind its timer"),
            registry,
            _meter_provider: meter_provider,
            tracing,
        };
        Ok(Self { inner: Arc::new(inner) })
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut out = Vec::new();
        // Encoding into memory fails only for metrics that the format cannot express.
        let _ = TextEncoder::new().encode(&self.inner.registry.gather(), &mut out);
        String::from_utf8_lossy(&out).into_owned()
    }

    /// Counts a quick request sent to an executor.
    pub fn count_placement(&self) {
        self.inner.placements.add(1, &[]);
    }

    /// Counts an answer to a caller, and records the time since the request arrived.
    pub fn record_answer(&self, status: u16, time: Duration) {
        self.inner.answers.add(1, &[KeyValue::new("status", i64::from(status))]);
        self.inner.answer_ms.record(millis(time), &[]);
    }

    /// Records how long a quick request waited at its home.
    pub fn record_quick_wait(&self, time: Duration) {
        self.inner.quick_wait_ms.record(millis(time), &[]);
    }

    /// Records the duration of a journal segment's commit.
    pub fn record_commit(&self, time: Duration) {
        self.inner.commit_ms.record(millis(time), &[]);
    }

    /// Records the time from accepting new settings until all members have them.
    pub fn record_settings_spread(&self, time: Duration) {
        self.inner.settings_spread_ms.record(millis(time), &[]);
    }

    /// Records how far the event loop lags behind its timer.
    pub fn record_loop_lag(&self, time: Duration) {
        self.inner.loop_lag_ms.record(millis(time), &[]);
    }

    /// Exports the queued spans; an unreachable collector is ignored.
    pub fn flush(&self) {
        if let Some((provider, _)) = &self.inner.tracing {
            let _ = provider.force_flush();
        }
    }

    /// Exports a request's spans, if a collector is set and its `traceparent` is valid.
    pub fn export_spans(
        &self,
        forward: &Forward,
        answer: &wire::Answer,
        member: &Name,
        now_us: u64,
    ) {
        let (Some((_, tracer)), Operation::Submit { trace, .. }) =
            (&self.inner.tracing, &forward.operation)
        else {
            return;
        };
        let Some(parent) = parse_traceparent(trace) else { return };
        let context = opentelemetry::Context::new().with_remote_span_context(parent);
        let length = now_us.saturating_sub(forward.arrived_us);
        let entry = crate::node::home::span("entry", member, forward.arrived_us, length);
        for span in std::iter::once(&entry).chain(&answer.spans) {
            let start = system_time(span.start_us);
            let mut exported = tracer
                .span_builder(span.hop.clone())
                .with_kind(SpanKind::Internal)
                .with_start_time(start)
                .with_attributes([
                    KeyValue::new("member", span.member.clone()),
                    KeyValue::new("request", forward.key.to_string()),
                ])
                .start_with_context(tracer, &context);
            exported.end_with_timestamp(start + Duration::from_micros(span.length_us));
        }
    }
}

/// Time of a Unix timestamp in microseconds.
fn system_time(us: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_micros(us)
}

/// Span context of a `traceparent`; `None` if it has no valid ids.
fn parse_traceparent(trace: &str) -> Option<SpanContext> {
    let mut parts = trace.split('-').skip(1);
    let trace_id = TraceId::from_hex(parts.next()?).ok()?;
    let span_id = SpanId::from_hex(parts.next()?).ok()?;
    let state = TraceState::default();
    Some(SpanContext::new(trace_id, span_id, TraceFlags::SAMPLED, true, state))
}

/// Starts the OTLP exporter, which sends spans in batches to the collector.
fn start_tracing(member: &str, url: &str) -> Result<(SdkTracerProvider, SdkTracer), String> {
    let exporter = opentelemetry_otlp::SpanExporter::builder()
        .with_http()
        .with_endpoint(format!("{url}/v1/traces"))
        .with_http_client(exporter::Client::default())
        .build()
        .map_err(|error| error.to_string())?;
    let resource = Resource::builder()
        .with_service_name("bronzeraild")
        .with_attribute(KeyValue::new("service.instance.id", member.to_owned()))
        .build();
    let provider =
        SdkTracerProvider::builder().with_batch_exporter(exporter).with_resource(resource).build();
    let tracer = provider.tracer("bronzeraild");
    Ok((provider, tracer))
}
