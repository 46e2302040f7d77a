//! How long a controller takes to answer.

use ciborium::value::Value;
use hdrhistogram::Histogram;
use tokio::time::Instant;

use crate::protocol::cbor::MapBuilder;

/// Longest latency that is recorded as it is, in microseconds; longer ones count as this.
const MAX_MICROS: u64 = 60_000_000;
/// Significant decimal digits of a latency; two take a few kilobytes a histogram.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Latencies in microseconds, since the controller started. Refusals at the edge, before the
/// actor's queues, are not counted.
pub(super) struct LatencyHistograms {
    heartbeats: Histogram<u32>,
    requests: Histogram<u32>,
}

impl LatencyHistograms {
    /// Nothing recorded yet.
    pub(super) fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS).expect("constant and valid bounds");
        LatencyHistograms { heartbeats: histogram(), requests: histogram() }
    }

    /// A heartbeat was handled that entered the queue at that time.
    pub(super) fn record_heartbeat(&mut self, arrived: Instant) {
        self.heartbeats.saturating_record(micros_since(arrived));
    }

    /// A user's request was handled that entered the queue at that time.
    pub(super) fn record_request(&mut self, arrived: Instant) {
        self.requests.saturating_record(micros_since(arrived));
    }

    /// The part of a log line about latencies.
    pub(super) fn summary(&self) -> String {
        let part = |histogram: &Histogram<u32>| {
            format!("{} p99 {:.1} ms", histogram.len(), quantile_ms(histogram, 0.99))
        };
        format!("reports {} users {}", part(&self.heartbeats), part(&self.requests))
    }

    /// Adds the latencies to the metrics of `/status`.
    pub(super) fn metrics(&self, metrics: MapBuilder) -> MapBuilder {
        metrics
            .set("reports", histogram_metrics(&self.heartbeats))
            .set("users", histogram_metrics(&self.requests))
    }
}

fn histogram_metrics(histogram: &Histogram<u32>) -> Value {
    MapBuilder::new()
        .set("count", histogram.len())
        .set("p50Ms", quantile_ms(histogram, 0.5))
        .set("p99Ms", quantile_ms(histogram, 0.99))
        .set("maxMs", micros_to_ms(histogram.max()))
        .build()
}

fn quantile_ms(histogram: &Histogram<u32>, quantile: f64) -> f64 {
    micros_to_ms(histogram.value_at_quantile(quantile))
}

/// Exact, since a latency in microseconds is at most [`MAX_MICROS`].
fn micros_to_ms(micros: u64) -> f64 {
    micros as f64 / 1000.0
}

fn micros_since(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}
