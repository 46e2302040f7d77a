//! How often spot machines are lost.

/// Machine time that counts as seen before anything was, in seconds, with one loss in it.
const PRIOR_SECONDS: f64 = 3600.0;

/// Losses of spot machines in this epoch against their time in use.
#[derive(Debug, Default)]
pub(crate) struct SpotLosses {
    losses: f64,
    machine_seconds: f64,
}

impl SpotLosses {
    /// A spot machine was preempted, or is dead.
    pub(crate) fn record_loss(&mut self) {
        self.losses += 1.0;
    }

    /// So many spot machines were up for a second.
    pub(crate) fn record_second(&mut self, machines: usize) {
        self.machine_seconds += machines as f64;
    }

    /// Losses per second of a spot machine's life: what was seen, beside one loss in one
    /// machine's hour to begin with.
    pub(crate) fn rate_per_s(&self) -> f64 {
        (self.losses + 1.0) / (self.machine_seconds + PRIOR_SECONDS)
    }
}
