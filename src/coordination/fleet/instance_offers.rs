//! What the cloud offers, and when a refused offer may be tried again.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::catalog::MachineTypeId;
use crate::maps::HashMap;

/// What the cloud provisions: a machine type in a zone, as spot machines or not.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct InstanceOffer {
    /// The machine type.
    pub(crate) machine_type: MachineTypeId,
    /// The zone.
    pub(crate) zone: String,
    /// Whether spot machines.
    pub(crate) spot: bool,
}

#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Instant,
    wait: Duration,
}

/// Offers that the cloud could not fulfil, and until when they are not asked for again.
#[derive(Debug, Default)]
pub(crate) struct OfferBackoffs {
    backoffs: HashMap<InstanceOffer, Backoff>,
}

impl OfferBackoffs {
    /// Whether the offer was refused a moment ago.
    pub(crate) fn is_backing_off(&self, now: Instant, offer: &InstanceOffer) -> bool {
        self.backoffs.get(offer).is_some_and(|backoff| now < backoff.until)
    }

    /// The cloud had fewer machines than asked for. The first wait is half the type's boot
    /// time, later ones up to twice that.
    pub(crate) fn record_shortage(&mut self, now: Instant, offer: InstanceOffer, boot_s: f64) {
        let first = Duration::from_secs_f64(boot_s / 2.0);
        let wait = self.backoffs.get(&offer).map_or(first, |backoff| (backoff.wait * 2).min(first * 2));
        self.backoffs.insert(offer, Backoff { until: now + wait, wait });
    }

    /// The cloud had all that was asked for.
    pub(crate) fn clear(&mut self, offer: &InstanceOffer) {
        self.backoffs.remove(offer);
    }
}
