//! Metrics in Prometheus text, and traces by OTLP where a collector is set.

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

use crate::node::forward::{Ask, Forward};

mod exporter;

/// Bounds of the histograms of short times, in milliseconds.
const SHORT_MS: [f64; 12] =
    [0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 1000.0, 5000.0];

/// Everything that is counted and traced; clones share the counts.
#[derive(Clone)]
pub struct Metrics {
    inner: Arc<Inner>,
}

struct Inner {
    registry: Registry,
    _meters: SdkMeterProvider,
    tracing: Option<(SdkTracerProvider, SdkTracer)>,
    placements: Counter<u64>,
    answers: Counter<u64>,
    answer_ms: Histogram<f64>,
    quick_wait_ms: Histogram<f64>,
    commit_ms: Histogram<f64>,
    settings_ms: Histogram<f64>,
    lag_ms: Histogram<f64>,
}

impl std::fmt::Debug for Metrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

impl Metrics {
    /// Starts counting, and tracing where a collector's URL is given.
    ///
    /// # Errors
    ///
    /// A text where the exporters cannot be set up.
    pub fn start(member: &str, otlp: Option<&str>) -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build();
        let exporter = exporter.map_err(|error| error.to_string())?;
        let resource = Resource::builder().with_service_name("bronzeraild").build();
        let meters =
            SdkMeterProvider::builder().with_reader(exporter).with_resource(resource).build();
        let meter = meters.meter("bronzeraild");
        let histogram = |name: &'static str, text: &'static str| {
            let builder = meter.f64_histogram(name).with_description(text).with_unit("ms");
            builder.with_boundaries(SHORT_MS.to_vec()).build()
        };
        let tracing = otlp.map(|url| tracing(member, url)).transpose()?;
        let inner = Inner {
            placements: meter.u64_counter("bronzerail_placements").build(),
            answers: meter.u64_counter("bronzerail_answers").build(),
            answer_ms: histogram("bronzerail_answer_time", "from arrival to answer"),
            quick_wait_ms: histogram("bronzerail_quick_wait", "from home to rack, first sending"),
            commit_ms: histogram("bronzerail_commit_time", "of one journal segment"),
            settings_ms: histogram("bronzerail_settings_spread", "from acceptance to all members"),
            lag_ms: histogram("bronzerail_loop_lag", "of the loop behind its timer"),
            registry,
            _meters: meters,
            tracing,
        };
        Ok(Self { inner: Arc::new(inner) })
    }

    /// Everything counted, in Prometheus text.
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        // Encoding into memory fails only for metrics that do not fit the format.
        let _ = TextEncoder::new().encode(&self.inner.registry.gather(), &mut out);
        String::from_utf8_lossy(&out).into_owned()
    }

    /// Counts a quick request handed to an executor.
    pub fn placed(&self) {
        self.inner.placements.add(1, &[]);
    }

    /// Counts an answer to a caller.
    pub fn answered(&self, status: u16, time: Duration) {
        self.inner.answers.add(1, &[KeyValue::new("status", i64::from(status))]);
        self.inner.answer_ms.record(millis(time), &[]);
    }

    /// Counts a quick request's wait at its home.
    pub fn quick_wait(&self, time: Duration) {
        self.inner.quick_wait_ms.record(millis(time), &[]);
    }

    /// Counts a journal segment's commit.
    pub fn commit(&self, time: Duration) {
        self.inner.commit_ms.record(millis(time), &[]);
    }

    /// Counts the spread of a change of the settings.
    pub fn settings_spread(&self, time: Duration) {
        self.inner.settings_ms.record(millis(time), &[]);
    }

    /// Counts how far the loop was behind.
    pub fn loop_lag(&self, time: Duration) {
        self.inner.lag_ms.record(millis(time), &[]);
    }

    /// Exports the spans that wait; a collector that is gone is no error.
    pub fn flush(&self) {
        if let Some((provider, _)) = &self.inner.tracing {
            let _ = provider.force_flush();
        }
    }

    /// Exports a request's spans, where a collector is set.
    pub fn trace(&self, forward: &Forward, answer: &wire::Answer, me: &Name, now_us: u64) {
        let (Some((_, tracer)), Ask::Submit { trace, .. }) = (&self.inner.tracing, &forward.ask)
        else {
            return;
        };
        let Some(parent) = parent_of(trace) else { return };
        let context = opentelemetry::Context::new().with_remote_span_context(parent);
        let length = now_us.saturating_sub(forward.arrived_us);
        let entry = crate::node::home::span("entry", me, forward.arrived_us, length);
        for span in std::iter::once(&entry).chain(&answer.spans) {
            let start = time_of(span.start_us);
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

fn time_of(us: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_micros(us)
}

/// The span context of a `traceparent`.
fn parent_of(trace: &str) -> Option<SpanContext> {
    let mut parts = trace.split('-').skip(1);
    let trace_id = TraceId::from_hex(parts.next()?).ok()?;
    let span_id = SpanId::from_hex(parts.next()?).ok()?;
    let state = TraceState::default();
    Some(SpanContext::new(trace_id, span_id, TraceFlags::SAMPLED, true, state))
}

fn tracing(member: &str, url: &str) -> Result<(SdkTracerProvider, SdkTracer), String> {
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
