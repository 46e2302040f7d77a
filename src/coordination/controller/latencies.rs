//! How long a controller's answers take.

use hdrhistogram::Histogram;
use tokio::time::Instant;

use crate::protocol::cbor::MapBuilder;

/// Figures for operators: how long answers take, and how many are refused.
pub struct LatencyHistograms {
    heartbeats: Histogram<u32>,
    requests: Histogram<u32>,
}

fn micros(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}

fn ms(histogram: &Histogram<u32>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

impl LatencyHistograms {
    pub fn new() -> Self {
        // In microseconds; two digits take a few kilobytes, and what is beyond
        // the bound counts as the bound.
        let histogram = || Histogram::new_with_max(60_000_000, 2).expect("constant and valid bounds");
        LatencyHistograms { heartbeats: histogram(), requests: histogram() }
    }

    /// How long a message waited for the actor and was worked on.
    pub fn record_heartbeat(&mut self, arrived: Instant) {
        self.heartbeats.saturating_record(micros(arrived));
    }

    pub fn record_request(&mut self, arrived: Instant) {
        self.requests.saturating_record(micros(arrived));
    }

    pub fn summary(&self) -> String {
        let part = |h: &Histogram<u32>| format!("{} p99 {:.1} ms", h.len(), ms(h, 0.99));
        format!("reports {} users {}", part(&self.heartbeats), part(&self.requests))
    }

    pub fn metrics(&self, figures: MapBuilder) -> MapBuilder {
        let part = |h: &Histogram<u32>| {
            MapBuilder::new()
                .set("count", h.len())
                .set("p50Ms", ms(h, 0.5))
                .set("p99Ms", ms(h, 0.99))
                .set("maxMs", h.max() as f64 / 1000.0)
                .build()
        };
        figures.set("reports", part(&self.heartbeats)).set("users", part(&self.requests))
    }
}
