//! The rate at which spot machines are lost.

/// The machine time of the prior, in seconds. Each epoch begins with a prior of one loss in this
/// time.
const PRIOR_SECONDS: f64 = 3600.0;
/// The number of losses of the prior.
const PRIOR_LOSSES: f64 = 1.0;

/// The losses of spot machines in this epoch, and their time in use.
#[derive(Debug, Default)]
pub(crate) struct SpotLosses {
    /// The number of losses, without the prior.
    losses: f64,
    /// The total time in use of all spot machines, in seconds, without the prior.
    machine_seconds: f64,
}

impl SpotLosses {
    /// Records that a spot machine was preempted or died.
    pub(crate) fn record_loss(&mut self) {
        self.losses += 1.0;
    }

    /// Records that this number of spot machines was in use for a second.
    pub(crate) fn record_second_of_use(&mut self, machines: usize) {
        self.machine_seconds += machines as f64;
    }

    /// The estimated losses per second of a spot machine's time in use, from the observed losses
    /// and the prior of one loss per machine hour.
    pub(crate) fn rate_per_s(&self) -> f64 {
        (self.losses + PRIOR_LOSSES) / (self.machine_seconds + PRIOR_SECONDS)
    }
}
