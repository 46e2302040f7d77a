//! What scaling out and in is based on.

use tokio::time::Instant;

use crate::coordination::fleet::demand::DemandTable;
use crate::coordination::fleet::instance_offers::OfferBackoffs;
use crate::coordination::fleet::spot_losses::SpotLosses;

/// The measured demand, the offers that the cloud refused, and the losses of spot machines.
#[derive(Debug)]
pub(crate) struct Autoscaler {
    pub(crate) demand: DemandTable,
    pub(crate) backoffs: OfferBackoffs,
    pub(crate) spot_losses: SpotLosses,
    /// When what was learned was last stored for the next leader.
    pub(crate) statistics_saved_at: Instant,
}

impl Autoscaler {
    /// Nothing is known yet.
    pub(crate) fn new(now: Instant) -> Self {
        Autoscaler {
            demand: DemandTable::default(),
            backoffs: OfferBackoffs::default(),
            spot_losses: SpotLosses::default(),
            statistics_saved_at: now,
        }
    }
}
