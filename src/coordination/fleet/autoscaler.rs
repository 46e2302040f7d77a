//! The autoscaler's state.

use tokio::time::Instant;

use crate::coordination::fleet::demand::DemandTable;
use crate::coordination::fleet::instance_offers::OfferBackoffs;
use crate::coordination::fleet::spot_losses::SpotLosses;

/// The measured demand, the offers that the cloud refused, and the losses of spot machines.
#[derive(Debug)]
pub(crate) struct Autoscaler {
    /// Demand of each group of jobs that may use the same machines.
    pub(crate) demand: DemandTable,
    /// Offers that the cloud refused recently.
    pub(crate) backoffs: OfferBackoffs,
    /// The rate at which spot machines are lost.
    pub(crate) spot_losses: SpotLosses,
    /// Where the next check of waiting tasks continues, counted in different requirements.
    pub(crate) next_checked_shape: usize,
    /// When the learned statistics were last stored for the next leader.
    pub(crate) statistics_saved_at: Instant,
}

impl Autoscaler {
    /// The state at the beginning of an epoch.
    pub(crate) fn new(now: Instant) -> Self {
        Autoscaler {
            demand: DemandTable::default(),
            backoffs: OfferBackoffs::default(),
            spot_losses: SpotLosses::default(),
            next_checked_shape: 0,
            statistics_saved_at: now,
        }
    }
}
