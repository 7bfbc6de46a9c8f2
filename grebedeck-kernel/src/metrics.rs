//! Counters, gauges and histograms, exported in the Prometheus text format.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Metrics of a process.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

/// A counter with one label.
#[derive(Clone)]
pub struct Counter {
    counter: opentelemetry::metrics::Counter<u64>,
    label: &'static str,
}

/// A histogram of durations with one label.
#[derive(Clone)]
pub struct Histogram {
    histogram: opentelemetry::metrics::Histogram<f64>,
    label: &'static str,
}

/// Upper bounds of the histogram buckets, from a network hop within a data hall to the longest
/// deadline.
const BOUNDS_S: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.08, 0.12, 0.25, 0.4, 0.8, 1.6, 3.2, 8.0];

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("exporter registers with a new registry");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();

        Metrics { registry, provider }
    }
}

impl Metrics {
    /// Creates a counter with the label `label`.
    pub fn counter(&self, name: &'static str, label: &'static str, help: &'static str) -> Counter {
        let meter = self.provider.meter("grebedeck");
        let counter = meter.u64_counter(name).with_description(help).build();

        Counter { counter, label }
    }

    /// Creates a histogram of durations in seconds with the label `label`.
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

    /// Registers a gauge. `read` is called at each export.
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

    /// Registers a gauge with the label `label`. `read` is called at each export and returns a
    /// value for each value of the label.
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

    /// Returns all metrics in the text format.
    pub fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

impl Histogram {
    /// Records a duration under a value of the label.
    pub fn record(&self, time: Duration, label: &'static str) {
        self.histogram.record(time.as_secs_f64(), &[KeyValue::new(self.label, label)]);
    }
}

impl Counter {
    /// Increments the count of a value of the label.
    pub fn add(&self, label: &'static str) {
        self.add_many(1, label);
    }

    /// Adds to the count of a value of the label.
    pub fn add_many(&self, count: u64, label: &'static str) {
        self.counter.add(count, &[KeyValue::new(self.label, label)]);
    }

    /// Increments the count of a value of the label for a service.
    pub fn add_for_service(&self, label: &'static str, service: &str) {
        let service = KeyValue::new("service", service.to_string());
        self.counter.add(1, &[KeyValue::new(self.label, label), service]);
    }
}
