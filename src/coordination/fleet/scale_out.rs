//! Scaling out: demand is covered with the machines that are there, the cheapest first, and
//! what is missing is asked of the cloud in new node pools.

use tokio::time::Instant;

use crate::coordination::fleet::catalog::MachineTypeId;
use crate::coordination::fleet::demand::{Demand, DemandGroup};
use crate::coordination::fleet::instance_offers::InstanceOffer;
use crate::coordination::fleet::machine::Phase;
use crate::coordination::leader::Leader;
use crate::maps::HashSet;
use crate::protocol::cloud::MachineType;
use crate::protocol::workers::MachineId;

/// A number of machines to be asked of the cloud.
#[derive(Debug)]
pub(crate) struct ScaleOutRequest {
    /// What is asked for.
    pub(crate) offer: InstanceOffer,
    /// How many machines.
    pub(crate) count: u32,
}

/// Machines that demand can count on, and how many of them no group has taken yet.
#[derive(Debug)]
struct Supply {
    offer: InstanceOffer,
    unclaimed: f64,
}

/// Part of a machine below which the rest of a group's need keeps no machine.
const MIN_USEFUL_SHARE: f64 = 0.2;
/// Part of a machine that may be missing without renting another.
const TOLERATED_SHORTFALL: f64 = 0.05;

/// Whether so many of all are the exception, and to be believed.
fn is_minority(count: usize, all: usize) -> bool {
    count * 2 <= all.max(1) || count <= 2
}

impl Leader {
    /// Covers every group's need with machines, the cheapest first, and rents
    /// what is missing. Returns the machines that are wanted.
    pub(crate) fn scale_out(&mut self, now: Instant) -> HashSet<MachineId> {
        let mut groups: Vec<(DemandGroup, Demand)> =
            self.autoscaler.demand.iter().map(|(k, d)| (k.clone(), d.clone())).collect();
        // Those with the fewest choices first.
        groups.sort_by_key(|(k, _)| (k.machine_types.len(), k.zone.is_none(), k.spot, k.clone()));
        let mut present = self.present_supply(now);
        let mut coming = self.pending_supply();
        let mut wanted = HashSet::default();
        let mut orders: Vec<ScaleOutRequest> = Vec::new();
        for (key, demand) in groups {
            let mut need = self.target_capacity(now, &key, &demand);
            let ordinary = self.claim_present(&key, &demand, &mut need, &mut present, &mut wanted);
            self.claim_pending(&key, &demand, &mut need, ordinary, &mut coming);
            self.request_missing(now, &key, &demand, need, ordinary, &mut orders);
        }
        for order in orders {
            self.create_node_pool(now, order);
        }
        wanted
    }

    /// Machines that are there and may be counted on, the cheapest first.
    ///
    /// What does not hear us does no work, and goes back once it is empty; unless it is
    /// most of them, when the fault is more likely on this side.
    fn present_supply(&self, now: Instant) -> Vec<(MachineId, Supply)> {
        let silence = self.liveness.detector(now, &self.config, &self.machines);
        let doubted = self.machines.values().filter(|m| m.agent.one_way_partitioned).count();
        let trust_doubt = is_minority(doubted, self.machines.len());
        let mut present: Vec<(MachineId, Supply)> = self
            .machines
            .values()
            .filter(|m| m.phase != Phase::Deleting && !m.cordoned && m.preempted_at.is_none())
            .filter(|m| !silence.is_suspected(m))
            .filter(|m| !(m.agent.one_way_partitioned && trust_doubt))
            .map(|m| {
                let offer =
                    InstanceOffer { machine_type: m.machine_type, zone: m.zone.clone(), spot: m.spot };
                (m.id.clone(), Supply { offer, unclaimed: 1.0 })
            })
            .collect();
        // At one price those with the most on them, so that the others empty.
        // Prices are not negative: their bits are in the same order.
        present.sort_by_cached_key(|(id, supply)| {
            let load = self.machines.get(id).map_or(0, |m| m.slots.len());
            (
                self.price_per_cpu(supply.offer.machine_type, supply.offer.spot).to_bits(),
                std::cmp::Reverse(load),
                id.clone(),
            )
        });
        present
    }

    /// Machines asked for but not named yet count as if they were there.
    fn pending_supply(&self) -> Vec<Supply> {
        self.node_pools
            .values()
            .filter(|rental| rental.record.machines.is_none())
            .map(|rental| {
                let request = &rental.record.request;
                let kind = self.catalog.id_of(&request.machine_type);
                let offer =
                    InstanceOffer { machine_type: kind, zone: request.zone.clone(), spot: request.spot };
                Supply { offer, unclaimed: f64::from(request.count) }
            })
            .collect()
    }

    /// The price of a CPU, by which machines are compared.
    pub(crate) fn price_per_cpu(&self, kind: MachineTypeId, spot: bool) -> f64 {
        self.catalog.get(kind).map_or(f64::MAX, |kind| self.weighted_price(kind, spot) / kind.cpus.max(1.0))
    }

    /// The price of a machine, by which offers are compared.
    fn weighted_price(&self, kind: &MachineType, spot: bool) -> f64 {
        if spot { kind.spot_price * self.config.tuning.spot_price_weight } else { kind.price }
    }

    /// What a group's machines should be able to run at once.
    fn target_capacity(&self, now: Instant, key: &DemandGroup, demand: &Demand) -> f64 {
        let tuning = &self.config.tuning;
        // What may wait queues for a while instead of finding machines ready.
        let usual = if key.delay_tolerant {
            demand.mean * tuning.patient_ratio
        } else {
            demand.mean * tuning.mean_ratio + demand.standard_deviation() * tuning.headroom
        };
        let backlog = demand.mean + demand.backlog_rate;
        let at_once = demand.active + demand.pending;
        // Nothing has come for as long as a machine takes to boot: what is kept warm
        // costs more than it saves.
        let quiet = demand.idle_since.is_some_and(|since| now > since + self.catalog.longest_boot());
        let need = if quiet { 0.0 } else { usual.max(backlog.min(at_once)) };
        tracing::debug!(
            spot = key.spot,
            mean = demand.mean,
            spread = demand.standard_deviation(),
            active = demand.active,
            pending = demand.pending,
            need,
            "demand"
        );
        need
    }

    /// Takes what a group needs of the machines that are there, and notes them as
    /// wanted. Returns how much of it ordinary machines cover.
    fn claim_present(
        &self,
        key: &DemandGroup,
        demand: &Demand,
        need: &mut f64,
        present: &mut [(MachineId, Supply)],
        wanted: &mut HashSet<MachineId>,
    ) -> f64 {
        let mut ordinary = 0.0;
        for (id, supply) in present {
            if *need <= 0.0 {
                break;
            }
            let units = self.units_on(supply.offer.machine_type, demand, key);
            if supply.unclaimed <= 0.0 || units <= 0.0 || !key.allows(&supply.offer) {
                continue;
            }
            let taken = (*need / units).min(supply.unclaimed);
            supply.unclaimed -= taken;
            *need -= taken * units;
            if !supply.offer.spot {
                ordinary += taken * units;
            }
            if taken > MIN_USEFUL_SHARE || wanted.is_empty() {
                wanted.insert(id.clone());
            }
        }
        ordinary
    }

    /// Takes what is still needed, or covered by ordinary machines, of those asked for.
    fn claim_pending(
        &self,
        key: &DemandGroup,
        demand: &Demand,
        need: &mut f64,
        ordinary: f64,
        coming: &mut [Supply],
    ) {
        for supply in coming {
            let units = self.units_on(supply.offer.machine_type, demand, key);
            if *need + ordinary > 0.0 && units > 0.0 && key.allows(&supply.offer) {
                let taken = ((*need + ordinary) / units).min(supply.unclaimed);
                supply.unclaimed -= taken;
                *need -= taken * units;
            }
        }
    }

    /// Orders what is missing. After a wave hundreds of machines are: as many rentals
    /// as the cloud takes in a second, instead of one.
    fn request_missing(
        &self,
        now: Instant,
        key: &DemandGroup,
        demand: &Demand,
        mut need: f64,
        ordinary: f64,
        orders: &mut Vec<ScaleOutRequest>,
    ) {
        if need > 0.0 {
            let rentals = self.config.settings.cluster.cloud.rps.max(1.0) as usize;
            for _ in 0..rentals.saturating_sub(orders.len()).max(1) {
                let Some(order) = self.choose_offer(now, key, demand, need, orders) else { break };
                need -= f64::from(order.count) * self.units_on(order.offer.machine_type, demand, key);
                orders.push(order);
            }
        } else if key.spot && need + ordinary > 0.0 {
            // Ordinary machines do what spot ones could: take those when
            // they are to be had; the others then empty and go back.
            let order = self.choose_offer(now, key, demand, need + ordinary, orders);
            orders.extend(order.filter(|order| order.offer.spot));
        }
    }

    /// The cheapest way to get what is missing, beside what is chosen already;
    /// evens out zones at one price.
    fn choose_offer(
        &self,
        now: Instant,
        key: &DemandGroup,
        demand: &Demand,
        need: f64,
        chosen: &[ScaleOutRequest],
    ) -> Option<ScaleOutRequest> {
        let most = self.max_machines_per_pool(None);
        let mut best: Option<(f64, usize, ScaleOutRequest)> = None;
        for &at in &key.machine_types {
            let kind = self.catalog.get(at)?;
            let units = self.units_on(at, demand, key);
            if units <= 0.0 {
                continue;
            }
            let count = (need / units - TOLERATED_SHORTFALL).ceil().max(0.0) as u32;
            if count == 0 {
                continue;
            }
            for zone in &kind.zones {
                let ordered: usize =
                    chosen.iter().filter(|o| o.offer.zone == *zone).map(|o| o.count as usize).sum();
                let here = self.machines.values().filter(|m| m.zone == *zone).count() + ordered;
                for spot in [true, false] {
                    let offer = InstanceOffer { machine_type: at, zone: zone.clone(), spot };
                    if !key.allows(&offer) || self.is_unavailable(now, &offer, chosen) {
                        continue;
                    }
                    let cost = f64::from(count) * self.weighted_price(kind, spot);
                    let better = best
                        .as_ref()
                        .is_none_or(|(c, n, _)| cost < c * 0.99 || (cost < c * 1.01 && here < *n));
                    if better {
                        best = Some((cost, here, ScaleOutRequest { offer, count: count.min(most) }));
                    }
                }
            }
        }
        best.map(|(_, _, order)| order)
    }

    /// Units of a group's work that a machine of the type takes; none if it is not known.
    fn units_on(&self, machine_type: MachineTypeId, demand: &Demand, group: &DemandGroup) -> f64 {
        self.catalog.get(machine_type).map_or(0.0, |kind| demand.units_on(kind, group.gpus))
    }

    /// Whether the offer is being asked for, or was refused a moment ago.
    fn is_unavailable(&self, now: Instant, offer: &InstanceOffer, chosen: &[ScaleOutRequest]) -> bool {
        chosen.iter().any(|order| order.offer == *offer)
            || self.node_pools.values().any(|rental| {
                let request = &rental.record.request;
                rental.record.machines.is_none()
                    && request.zone == offer.zone
                    && request.spot == offer.spot
                    && self.catalog.get(offer.machine_type).is_some_and(|k| k.name == request.machine_type)
            })
            || self.autoscaler.backoffs.is_backing_off(now, offer)
    }
}
