//! Selection of the cheapest offer that covers a need with new machines.

use tokio::time::Instant;

use crate::coordination::fleet::catalog::MachineTypeId;
use crate::coordination::fleet::demand::DemandGroup;
use crate::coordination::fleet::instance_offers::InstanceOffer;
use crate::coordination::fleet::scale_out::ScaleOutRequest;
use crate::coordination::leader::Leader;
use crate::protocol::cloud::{MachineType, NodePoolRequest};

/// A candidate is clearly cheaper than another one if the ratio of their costs is below this.
const CLEARLY_CHEAPER_RATIO: f64 = 0.99;
/// A candidate that is not clearly cheaper than another one costs about the same if the ratio of
/// their costs is below this.
const EQUALLY_EXPENSIVE_RATIO: f64 = 1.01;

/// A need for which machines are to be requested.
pub(super) struct OfferNeed<'a> {
    /// The group of jobs that has the need.
    pub(super) group: &'a DemandGroup,
    /// The number of machines of an offer that cover the need; 0 if the offer does not help.
    pub(super) machines_needed: &'a dyn Fn(&InstanceOffer) -> u32,
}

/// A possible request to cover a need.
struct Candidate {
    /// The weighted price of all machines that are needed.
    cost: f64,
    /// The number of machines in its zone, including those that are being requested.
    machines_in_zone: usize,
    /// The request; its count is limited to the machines that one node pool may have.
    request: ScaleOutRequest,
}

impl Candidate {
    /// Whether this candidate is preferred: it is clearly cheaper, or it costs about the same and
    /// its zone has fewer machines.
    fn is_better_than(&self, other: &Candidate) -> bool {
        self.cost < other.cost * CLEARLY_CHEAPER_RATIO
            || (self.cost < other.cost * EQUALLY_EXPENSIVE_RATIO
                && self.machines_in_zone < other.machines_in_zone)
    }
}

impl Leader {
    /// Returns the cheapest request that covers the need, in addition to the requests in `chosen`.
    /// Among requests of about the same cost it prefers the zone with the fewest machines.
    pub(super) fn choose_offer(
        &self,
        now: Instant,
        need: &OfferNeed<'_>,
        chosen: &[ScaleOutRequest],
    ) -> Option<ScaleOutRequest> {
        let max_count = self.max_machines_per_pool(None);
        let mut best: Option<Candidate> = None;
        for &id in &need.group.machine_types {
            let Some(machine_type) = self.catalog.get(id) else { continue };
            for zone in &machine_type.zones {
                let machines_in_zone = self.machines_in_zone(zone, chosen);
                for spot in [true, false] {
                    let offer = InstanceOffer { machine_type: id, zone: zone.clone(), spot };
                    if !need.group.allows(&offer) || self.is_unavailable(now, &offer, chosen) {
                        continue;
                    }
                    let count = (need.machines_needed)(&offer);
                    if count == 0 {
                        continue;
                    }
                    let cost = f64::from(count) * self.weighted_price(machine_type, spot);
                    let request = ScaleOutRequest { offer, count: count.min(max_count) };
                    let candidate = Candidate { cost, machines_in_zone, request };
                    if best.as_ref().is_none_or(|best| candidate.is_better_than(best)) {
                        best = Some(candidate);
                    }
                }
            }
        }
        best.map(|best| best.request)
    }

    /// The number of machines in a zone, including those that are being requested.
    fn machines_in_zone(&self, zone: &str, chosen: &[ScaleOutRequest]) -> usize {
        let in_zone = chosen.iter().filter(|request| request.offer.zone == zone);
        let requested: usize =
            in_zone.map(|request| usize::try_from(request.count).unwrap_or(usize::MAX)).sum();
        self.machines.values().filter(|machine| machine.zone == zone).count() + requested
    }

    /// Whether the offer is being requested, or was refused recently.
    fn is_unavailable(&self, now: Instant, offer: &InstanceOffer, chosen: &[ScaleOutRequest]) -> bool {
        let is_same_offer = |request: &NodePoolRequest| {
            request.zone == offer.zone
                && request.spot == offer.spot
                && self
                    .catalog
                    .get(offer.machine_type)
                    .is_some_and(|listed| listed.name == request.machine_type)
        };
        chosen.iter().any(|request| request.offer == *offer)
            || self.node_pools.values().any(|pool| pool.is_pending() && is_same_offer(&pool.record.request))
            || self.autoscaler.backoffs.is_backing_off(now, offer)
    }

    /// The weighted price per CPU, by which machines are compared.
    pub(crate) fn price_per_cpu(&self, id: MachineTypeId, spot: bool) -> f64 {
        self.catalog.get(id).map_or(f64::MAX, |machine_type| {
            self.weighted_price(machine_type, spot) / machine_type.cpus.max(1.0)
        })
    }

    /// The price of a machine, by which offers are compared. The policy weights the price of spot
    /// machines, since they may be lost.
    fn weighted_price(&self, machine_type: &MachineType, spot: bool) -> f64 {
        if spot { machine_type.spot_price * self.config.tuning.spot_price_weight } else { machine_type.price }
    }
}
