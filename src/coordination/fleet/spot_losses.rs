//! The rate at which spot machines are lost.

/// The prior of the rate, which counts as observed at the beginning of an epoch: one loss in this
/// machine time, in seconds.
const PRIOR_SECONDS: f64 = 3600.0;
/// The losses of the prior.
const PRIOR_LOSSES: f64 = 1.0;

/// Losses of spot machines in this epoch against their time in use.
#[derive(Debug, Default)]
pub(crate) struct SpotLosses {
    /// The number of losses, without the prior.
    losses: f64,
    /// The time in use of all spot machines together, in seconds, without the prior.
    machine_seconds: f64,
}

impl SpotLosses {
    /// Records that a spot machine was preempted, or is dead.
    pub(crate) fn record_loss(&mut self) {
        self.losses += 1.0;
    }

    /// Adds a second in use of each of this number of spot machines.
    pub(crate) fn record_second(&mut self, machines: usize) {
        self.machine_seconds += machines as f64;
    }

    /// Losses per second of a spot machine's time in use: those observed, and the prior of one
    /// loss in one machine's hour.
    pub(crate) fn rate_per_s(&self) -> f64 {
        (self.losses + PRIOR_LOSSES) / (self.machine_seconds + PRIOR_SECONDS)
    }
}
