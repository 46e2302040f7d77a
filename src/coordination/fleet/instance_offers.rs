//! The cloud's offers, and the backoff of offers that the cloud refused.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::catalog::MachineTypeId;
use crate::coordination::fleet::machine::Machine;
use crate::maps::HashMap;

/// What the cloud provisions: a machine type in a zone, as spot or on-demand machines.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct InstanceOffer {
    /// The machine type.
    pub(crate) machine_type: MachineTypeId,
    /// The zone.
    pub(crate) zone: String,
    /// Whether the machines are spot machines instead of on-demand ones.
    pub(crate) spot: bool,
}

impl InstanceOffer {
    /// The offer that a machine was provisioned from.
    pub(crate) fn of(machine: &Machine) -> Self {
        InstanceOffer { machine_type: machine.machine_type, zone: machine.zone.clone(), spot: machine.spot }
    }
}

/// The backoff of one offer.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    /// When the offer may be requested again.
    until: Instant,
    /// The length of the backoff.
    duration: Duration,
}

/// Offers that the cloud could not fulfil, and until when they are not requested again.
#[derive(Debug, Default)]
pub(crate) struct OfferBackoffs {
    /// The last backoff of each refused offer. It is kept after its end, since the length of the next
    /// one depends on it.
    backoffs: HashMap<InstanceOffer, Backoff>,
}

impl OfferBackoffs {
    /// Whether the offer was refused recently and may not be requested again yet.
    pub(crate) fn is_backing_off(&self, now: Instant, offer: &InstanceOffer) -> bool {
        self.backoffs.get(offer).is_some_and(|backoff| now < backoff.until)
    }

    /// Records that the cloud had fewer machines than requested. The first backoff is half the
    /// type's boot time (`boot_s`, in seconds), and each later one is twice as long as the last, up
    /// to the whole boot time.
    pub(crate) fn record_shortage(&mut self, now: Instant, offer: InstanceOffer, boot_s: f64) {
        let first = Duration::from_secs_f64(boot_s / 2.0);
        let longest = first * 2;
        let duration = self.backoffs.get(&offer).map_or(first, |backoff| (backoff.duration * 2).min(longest));
        self.backoffs.insert(offer, Backoff { until: now + duration, duration });
    }

    /// Records that the cloud had all machines that were requested.
    pub(crate) fn clear(&mut self, offer: &InstanceOffer) {
        self.backoffs.remove(offer);
    }
}
