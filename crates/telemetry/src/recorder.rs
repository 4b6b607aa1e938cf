//! Recorder of metrics, rendered in Prometheus text format.
//!
//! It takes no time stamps. Recorders that do calibrate a processor clock when they are created, which
//! delays the start of a process by up to 200 ms.

use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use metrics::atomics::AtomicU64 as AtomicValue;
use metrics::{
    Counter, Gauge, Histogram, HistogramFn, Key, KeyName, Metadata, Recorder, SharedString, Unit,
};
use metrics_util::registry::{Registry, Storage};

/// Samples of one histogram, counted by bucket.
#[derive(Debug)]
pub struct BucketHistogram {
    /// Upper bounds of the buckets, ascending. One more bucket holds the samples above the last.
    bounds: &'static [f64],
    counts: Vec<AtomicU64>,
    /// Bits of the sum of all samples.
    sum_bits: AtomicU64,
}

impl BucketHistogram {
    fn new(bounds: &'static [f64]) -> Self {
        let counts = (0..=bounds.len()).map(|_| AtomicU64::new(0)).collect();
        Self { bounds, counts, sum_bits: AtomicU64::new(0.0_f64.to_bits()) }
    }
}

impl HistogramFn for BucketHistogram {
    fn record(&self, value: f64) {
        let index = self.bounds.partition_point(|bound| *bound < value);
        self.counts[index].fetch_add(1, Ordering::Relaxed);
        let add = |bits| Some((f64::from_bits(bits) + value).to_bits());
        // The update function never returns `None`.
        let _ = self.sum_bits.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }
}

/// Creates the values of new metrics.
#[derive(Debug)]
struct ValueStorage {
    histogram_bounds: &'static [f64],
}

impl Storage<Key> for ValueStorage {
    type Counter = Arc<AtomicValue>;
    type Gauge = Arc<AtomicValue>;
    type Histogram = Arc<BucketHistogram>;

    fn counter(&self, _key: &Key) -> Self::Counter {
        Arc::new(AtomicValue::new(0))
    }

    fn gauge(&self, _key: &Key) -> Self::Gauge {
        Arc::new(AtomicValue::new(0))
    }

    fn histogram(&self, _key: &Key) -> Self::Histogram {
        Arc::new(BucketHistogram::new(self.histogram_bounds))
    }
}

/// Recorder of all metrics of a process. Clones share their values.
#[derive(Clone)]
pub struct MetricRecorder {
    registry: Arc<Registry<Key, ValueStorage>>,
}

impl MetricRecorder {
    /// Creates a recorder whose histograms have buckets with these ascending upper bounds.
    pub fn new(histogram_bounds: &'static [f64]) -> Self {
        Self { registry: Arc::new(Registry::new(ValueStorage { histogram_bounds })) }
    }

    /// Returns all metrics in Prometheus text format, sorted by name and labels.
    pub fn render(&self) -> String {
        let mut counters = Vec::new();
        let mut gauges = Vec::new();
        let mut histograms = Vec::new();
        self.registry.visit_counters(|key, value| {
            counters.push((key.clone(), value.load(Ordering::Relaxed).to_string()));
        });
        self.registry.visit_gauges(|key, value| {
            let value = f64::from_bits(value.load(Ordering::Relaxed));
            gauges.push((key.clone(), value.to_string()));
        });
        self.registry.visit_histograms(|key, value| histograms.push((key.clone(), value.clone())));
        let mut text = String::new();
        render_values(&mut text, "counter", counters);
        render_values(&mut text, "gauge", gauges);
        render_histograms(&mut text, histograms);
        text
    }
}

impl Recorder for MetricRecorder {
    fn describe_counter(&self, _key: KeyName, _unit: Option<Unit>, _description: SharedString) {}

    fn describe_gauge(&self, _key: KeyName, _unit: Option<Unit>, _description: SharedString) {}

    fn describe_histogram(&self, _key: KeyName, _unit: Option<Unit>, _description: SharedString) {}

    fn register_counter(&self, key: &Key, _metadata: &Metadata<'_>) -> Counter {
        self.registry.get_or_create_counter(key, |value| Counter::from_arc(value.clone()))
    }

    fn register_gauge(&self, key: &Key, _metadata: &Metadata<'_>) -> Gauge {
        self.registry.get_or_create_gauge(key, |value| Gauge::from_arc(value.clone()))
    }

    fn register_histogram(&self, key: &Key, _metadata: &Metadata<'_>) -> Histogram {
        self.registry.get_or_create_histogram(key, |value| Histogram::from_arc(value.clone()))
    }
}

fn render_values(text: &mut String, kind: &str, mut values: Vec<(Key, String)>) {
    values.sort();
    let mut last_name = String::new();
    for (key, value) in values {
        render_type(text, &mut last_name, &key, kind);
        push_line(text, key.name(), &render_labels(&key, None), &value);
    }
}

fn render_histograms(text: &mut String, mut histograms: Vec<(Key, Arc<BucketHistogram>)>) {
    histograms.sort_by(|(left, _), (right, _)| left.cmp(right));
    let mut last_name = String::new();
    for (key, histogram) in histograms {
        render_type(text, &mut last_name, &key, "histogram");
        let name = key.name();
        let bounds = histogram.bounds.iter().map(f64::to_string).chain(["+Inf".to_owned()]);
        let mut total = 0;
        for (bound, count) in bounds.zip(&histogram.counts) {
            total += count.load(Ordering::Relaxed);
            let labels = render_labels(&key, Some(&bound));
            push_line(text, &format!("{name}_bucket"), &labels, &total.to_string());
        }
        let sum = f64::from_bits(histogram.sum_bits.load(Ordering::Relaxed));
        let labels = render_labels(&key, None);
        push_line(text, &format!("{name}_sum"), &labels, &sum.to_string());
        push_line(text, &format!("{name}_count"), &labels, &total.to_string());
    }
}

/// Appends the type of a metric before its first line.
fn render_type(text: &mut String, last_name: &mut String, key: &Key, kind: &str) {
    if last_name != key.name() {
        key.name().clone_into(last_name);
        push_line(text, "# TYPE", &format!(" {last_name}"), kind);
    }
}

fn render_labels(key: &Key, bucket_bound: Option<&str>) -> String {
    let labels = key.labels().map(|label| (label.key(), label.value()));
    let mut text = String::new();
    for (name, value) in labels.chain(bucket_bound.map(|bound| ("le", bound))) {
        let separator = if text.is_empty() { '{' } else { ',' };
        let value = value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
        // Writing to a string cannot fail.
        let _ = write!(text, "{separator}{name}=\"{value}\"");
    }
    if !text.is_empty() {
        text.push('}');
    }
    text
}

fn push_line(text: &mut String, name: &str, labels: &str, value: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{name}{labels} {value}");
}
