//! Metrics in Prometheus text format.

use std::time::{Duration, Instant};

use metrics::{counter, gauge, histogram, with_local_recorder};
use telemetry::recorder::MetricRecorder;

const BOUNDS: &[f64] = &[0.1, 1.0];

#[test]
fn metrics_are_rendered_with_escaped_labels_and_cumulative_buckets() {
    let recorder = MetricRecorder::new(BOUNDS);
    with_local_recorder(&recorder, || {
        counter!("calls_total", "reason" => "a \"b\"\\\n").increment(2);
        counter!("calls_total").increment(1);
        gauge!("open").set(1.5);
        for sample in [0.1, 0.5, 3.0] {
            histogram!("seconds", "class" => "read").record(sample);
        }
    });
    let expected = r#"# TYPE calls_total counter
calls_total 1
calls_total{reason="a \"b\"\\\n"} 2
# TYPE open gauge
open 1.5
# TYPE seconds histogram
seconds_bucket{class="read",le="0.1"} 1
seconds_bucket{class="read",le="1"} 2
seconds_bucket{class="read",le="+Inf"} 3
seconds_sum{class="read"} 3.6
seconds_count{class="read"} 3
"#;
    assert_eq!(recorder.render(), expected);
}

// A restarted instance calibrated the processor clock of its recorder for 200 ms before it served.
#[test]
fn a_recorder_is_created_at_once() {
    let started_at = Instant::now();
    MetricRecorder::new(BOUNDS);
    assert!(started_at.elapsed() < Duration::from_millis(5));
}
