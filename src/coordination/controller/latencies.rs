//! Histograms of the time in which a controller handles messages.

use ciborium::value::Value;
use hdrhistogram::Histogram;
use tokio::time::Instant;

use crate::protocol::cbor::MapBuilder;

/// Maximum latency that can be recorded, in microseconds; longer ones are recorded as this value.
const MAX_MICROS: u64 = 60_000_000;
/// Significant decimal digits of a latency; with two, a histogram takes a few kilobytes.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Latencies in microseconds, recorded since the controller started. A latency is the time from
/// when a message enters the actor's queue until the actor has handled it. For a request that is
/// answered later, for example after a read or a call to another controller, the time until the
/// answer is not included.
///
/// Not counted are messages refused before they enter the queues, and heartbeats that are
/// dropped, deferred or relayed, or for which no leader is known.
pub(super) struct LatencyHistograms {
    heartbeats: Histogram<u32>,
    requests: Histogram<u32>,
}

impl LatencyHistograms {
    /// Creates empty histograms.
    pub(super) fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS).expect("constant and valid bounds");
        LatencyHistograms { heartbeats: histogram(), requests: histogram() }
    }

    /// Records the latency of a heartbeat that entered the queue at `arrived`.
    pub(super) fn record_heartbeat(&mut self, arrived: Instant) {
        self.heartbeats.saturating_record(micros_since(arrived));
    }

    /// Records the latency of a request that entered the queue at `arrived`.
    pub(super) fn record_request(&mut self, arrived: Instant) {
        self.requests.saturating_record(micros_since(arrived));
    }

    /// Returns the number of requests recorded.
    #[cfg(test)]
    pub(super) fn requests_recorded(&self) -> u64 {
        self.requests.len()
    }

    /// Formats the latencies for a log line.
    pub(super) fn summary(&self) -> String {
        let format_histogram = |histogram: &Histogram<u32>| {
            format!("{} p99 {:.1} ms", histogram.len(), quantile_ms(histogram, 0.99))
        };
        format!("reports {} users {}", format_histogram(&self.heartbeats), format_histogram(&self.requests))
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

/// Converts microseconds to milliseconds. An `f64` represents the microseconds exactly, since a
/// latency is at most [`MAX_MICROS`].
fn micros_to_ms(micros: u64) -> f64 {
    micros as f64 / 1000.0
}

fn micros_since(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}
