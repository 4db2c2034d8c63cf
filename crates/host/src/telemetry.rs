//! Metrics collected with OpenTelemetry and exported as Prometheus text.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use control::{Counter, Gauge, Meter, Timing, WorkspaceGauge, WorkspaceValues};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{self, AsyncInstrument, Histogram, MeterProvider};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Upper bounds of the histogram buckets, in seconds.
const BUCKET_BOUNDS: [f64; 13] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 60.0];

/// Metrics of a daemon.
pub struct Telemetry {
    registry: Registry,
    /// Time zero of the clock that measures work.
    started: Instant,
    /// Held because dropping the provider shuts it down.
    _provider: SdkMeterProvider,
    counters: Vec<metrics::Counter<u64>>,
    histograms: Vec<Histogram<f64>>,
    gauges: Vec<metrics::Gauge<u64>>,
    /// The latest values of each workspace; those of former ones are not exported.
    workspaces: Arc<Mutex<Vec<WorkspaceValues>>>,
}

impl fmt::Debug for Telemetry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Telemetry").finish_non_exhaustive()
    }
}

impl Telemetry {
    /// Registers all metrics and their exporter.
    ///
    /// # Errors
    ///
    /// The exporter's error message if it cannot be set up.
    pub fn start() -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build();
        let exporter = exporter.map_err(|error| error.to_string())?;
        let resource = Resource::builder_empty().with_service_name("bronzerail").build();
        let provider =
            SdkMeterProvider::builder().with_reader(exporter).with_resource(resource).build();
        let meter = provider.meter("bronzerail");
        let counter = |counter: Counter| meter.u64_counter(counter.name()).build();
        let histogram = |timing: Timing| {
            let builder = meter.f64_histogram(timing.name()).with_unit("s");
            builder.with_boundaries(BUCKET_BOUNDS.to_vec()).build()
        };
        let gauge = |gauge: Gauge| meter.u64_gauge(gauge.name()).build();
        let workspaces: Arc<Mutex<Vec<WorkspaceValues>>> = Arc::default();
        for gauge in WorkspaceGauge::ALL {
            let latest = Arc::clone(&workspaces);
            let observe = move |observer: &dyn AsyncInstrument<u64>| {
                for own in latest.lock().unwrap_or_else(PoisonError::into_inner).iter() {
                    let label = KeyValue::new("workspace", own.workspace.to_string());
                    observer.observe(own.values[gauge as usize], &[label]);
                }
            };
            meter.u64_observable_gauge(gauge.name()).with_callback(observe).build();
        }
        Ok(Self {
            counters: Counter::ALL.map(counter).into(),
            histograms: Timing::ALL.map(histogram).into(),
            gauges: Gauge::ALL.map(gauge).into(),
            workspaces,
            registry,
            started: Instant::now(),
            _provider: provider,
        })
    }

    /// Encodes all metrics as Prometheus text.
    ///
    /// # Errors
    ///
    /// The encoder's error message if a metric does not fit the format.
    pub fn encode_text(&self) -> Result<String, String> {
        let mut out = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        encoded.map_err(|error| error.to_string())?;
        Ok(String::from_utf8_lossy(&out).into_owned())
    }
}

impl Meter for Telemetry {
    fn add(&self, counter: Counter, label: &'static str, by: u64) {
        self.counters[counter as usize].add(by, &[KeyValue::new("kind", label)]);
    }

    fn record_duration(&self, timing: Timing, duration: Duration) {
        self.histograms[timing as usize].record(duration.as_secs_f64(), &[]);
    }

    fn set_gauge(&self, gauge: Gauge, value: u64) {
        self.gauges[gauge as usize].record(value, &[]);
    }

    fn set_workspaces(&self, workspaces: Vec<WorkspaceValues>) {
        *self.workspaces.lock().unwrap_or_else(PoisonError::into_inner) = workspaces;
    }

    fn work_clock(&self) -> Duration {
        self.started.elapsed()
    }
}
