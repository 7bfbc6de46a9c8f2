//! Counters and histograms, exposed in the text form that scrapers read.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// A process's metrics.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

/// A counter with one optional label.
#[derive(Clone)]
pub struct Counter {
    counter: opentelemetry::metrics::Counter<u64>,
    label: &'static str,
}

/// A histogram of times with one optional label.
#[derive(Clone)]
pub struct Histogram {
    histogram: opentelemetry::metrics::Histogram<f64>,
    label: &'static str,
}

/// Upper bounds of the histograms' buckets, in seconds: from a hop within a hall to the longest deadline.
const BOUNDS_S: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.08, 0.12, 0.25, 0.4, 0.8, 1.6, 3.2, 8.0];

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a fresh registry takes an exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();

        Metrics { registry, provider }
    }
}

impl Metrics {
    /// Makes a counter whose values are told apart by `label`.
    pub fn counter(&self, name: &'static str, label: &'static str, help: &'static str) -> Counter {
        let meter = self.provider.meter("grebedeck");
        let counter = meter.u64_counter(name).with_description(help).build();

        Counter { counter, label }
    }

    /// Makes a histogram of times in seconds, told apart by `label`.
    pub fn histogram(
        &self,
        name: &'static str,
        label: &'static str,
        help: &'static str,
    ) -> Histogram {
        let meter = self.provider.meter("grebedeck");
        let histogram = meter
            .f64_histogram(name)
            .with_description(help)
            .with_boundaries(BOUNDS_S.to_vec())
            .build();

        Histogram { histogram, label }
    }

    /// Adds a gauge that is read when the metrics are.
    pub fn gauge(
        &self,
        name: &'static str,
        help: &'static str,
        read: impl Fn() -> f64 + Send + Sync + 'static,
    ) {
        let meter = self.provider.meter("grebedeck");
        let gauge = meter.f64_observable_gauge(name).with_description(help);

        gauge.with_callback(move |observer| observer.observe(read(), &[])).build();
    }

    /// Adds a gauge that is read when the metrics are, with values told apart by `label`.
    pub fn labelled_gauge(
        &self,
        name: &'static str,
        label: &'static str,
        help: &'static str,
        read: impl Fn() -> Vec<(&'static str, f64)> + Send + Sync + 'static,
    ) {
        let meter = self.provider.meter("grebedeck");
        let gauge = meter.f64_observable_gauge(name).with_description(help);
        let observe = move |observer: &dyn AsyncInstrument<f64>| {
            for (value, number) in read() {
                observer.observe(number, &[KeyValue::new(label, value)]);
            }
        };

        gauge.with_callback(observe).build();
    }

    /// Gets all metrics as text.
    pub fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

impl Histogram {
    /// Notes a time.
    pub fn record(&self, time: Duration, label: &'static str) {
        self.histogram.record(time.as_secs_f64(), &[KeyValue::new(self.label, label)]);
    }
}

impl Counter {
    /// Adds one.
    pub fn add(&self, label: &'static str) {
        self.add_many(1, label);
    }

    /// Adds a number.
    pub fn add_many(&self, count: u64, label: &'static str) {
        self.counter.add(count, &[KeyValue::new(self.label, label)]);
    }
}
