//! Renting machines: demand is covered with those that are there, the cheapest first,
//! and what is missing is asked of the cloud. A rental is recorded before it is asked
//! for, and asked again under its own name until it is answered.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::cloud::{CloudCall, CloudError, CloudReply, CloudResult};
use crate::coordination::fleet::demand::{Demand, DemandGroup};
use crate::coordination::fleet::machine::{NodePool, Phase};
use crate::coordination::leader::{Leader, PendingOperation};
use crate::maps::HashSet;
use crate::protocol::cloud::{MachineType, NodePoolRequest};
use crate::protocol::workers::MachineId;
use crate::storage::kv::KvError;
use crate::storage::records::NodePoolRecord;

/// What the cloud rents out: a machine type in a zone, as a spot machine or not.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct InstanceOffer {
    pub(crate) machine_type: usize,
    pub(crate) zone: String,
    pub(crate) spot: bool,
}

/// A number of machines to be rented.
#[derive(Debug)]
struct ScaleOutRequest {
    offer: InstanceOffer,
    count: u32,
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

/// When an offer may be tried again after a refusal.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backoff {
    until: Instant,
    wait: Duration,
}

/// Whether so many of all are the exception, and to be believed.
fn is_minority(count: usize, all: usize) -> bool {
    count * 2 <= all.max(1) || count <= 2
}

impl Leader {
    /// Covers every group's need with machines, the cheapest first, and rents
    /// what is missing. Returns the machines that are wanted.
    pub(crate) fn scale_out(&mut self, now: Instant) -> HashSet<MachineId> {
        let mut groups: Vec<(DemandGroup, Demand)> =
            self.demand.iter().map(|(k, d)| (k.clone(), d.clone())).collect();
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
        let silence = self.failure_detector(now);
        let doubted = self.machines.values().filter(|m| m.one_way_partitioned).count();
        let trust_doubt = is_minority(doubted, self.machines.len());
        let mut present: Vec<(MachineId, Supply)> = self
            .machines
            .values()
            .filter(|m| m.phase != Phase::Deleting && !m.cordoned && m.preempted_at.is_none())
            .filter(|m| !silence.is_suspected(m))
            .filter(|m| !(m.one_way_partitioned && trust_doubt))
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
                let kind = self.machine_type_index(&request.machine_type);
                let offer =
                    InstanceOffer { machine_type: kind, zone: request.zone.clone(), spot: request.spot };
                Supply { offer, unclaimed: f64::from(request.count) }
            })
            .collect()
    }

    /// The price of a CPU, by which machines are compared.
    pub(crate) fn price_per_cpu(&self, kind: usize, spot: bool) -> f64 {
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
        let quiet = demand.idle_since.is_some_and(|since| now > since + self.longest_boot());
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
            let units = self.capacity_units(supply.offer.machine_type, demand, key.gpus);
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
            let units = self.capacity_units(supply.offer.machine_type, demand, key.gpus);
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
                need -=
                    f64::from(order.count) * self.capacity_units(order.offer.machine_type, demand, key.gpus);
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
            let units = self.capacity_units(at, demand, key.gpus);
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
            || self.backoff.get(offer).is_some_and(|b| now < b.until)
    }

    /// Records a rental; it is asked for once the record is written.
    fn create_node_pool(&mut self, now: Instant, order: ScaleOutRequest) {
        let ScaleOutRequest { offer: InstanceOffer { machine_type: kind, zone, spot }, count } = order;
        let Some(machine_type) = self.catalog.get(kind).map(|k| k.name.clone()) else { return };
        self.last_node_pool += 1;
        // Epoch and counter: never used twice, by whichever controller.
        let name = format!("{}-{}", self.epoch, self.last_node_pool);
        tracing::info!(rental = %name, %machine_type, %zone, spot, count, "renting");
        let request = NodePoolRequest { name: name.clone(), machine_type, zone, spot, count };
        let record = NodePoolRecord { request, machines: None, machines_used: Default::default() };
        self.node_pools.insert(name.clone(), NodePool::new(record, 0, now));
        self.write_node_pool(&name);
    }

    pub(crate) fn handle_node_pool_written(
        &mut self,
        now: Instant,
        name: String,
        result: Result<u64, KvError>,
    ) {
        let Some(rental) = self.node_pools.get_mut(&name) else { return };
        rental.write_in_flight = false;
        match result {
            Ok(version) => rental.version = version,
            Err(KvError::Fenced) => return,
            Err(error) => {
                tracing::error!(rental = %name, ?error, "a fleet record cannot be written");
                rental.write_in_flight = true;
                return;
            }
        }
        if rental.rewrite_needed {
            // What was marked since is not recorded yet; wait for the next.
            return self.write_node_pool(&name);
        }
        if rental.record.machines.as_ref().is_some_and(Vec::is_empty) {
            self.node_pools.remove(&name);
            return;
        }
        for id in rental.record.machines_used.clone() {
            if let Some(m) = self.machines.get_mut(&id) {
                m.use_recorded = true;
                m.use_record_in_flight = false;
            }
        }
        if self.node_pools.get(&name).is_some_and(|h| h.record.machines.is_none()) {
            self.provision_node_pool(now, &name);
        }
    }

    pub(crate) fn provision_node_pool(&mut self, now: Instant, name: &str) {
        let Ok(permit) = self.term().leader_permit(now) else { return };
        let Some(rental) = self.node_pools.get_mut(name) else { return };
        if rental.request_in_flight || rental.version == 0 {
            return;
        }
        rental.request_in_flight = true;
        rental.requested_at = now;
        let request = rental.record.request.clone();
        self.change_cloud(
            permit,
            PendingOperation::ProvisionNodePool(name.to_owned()),
            CloudCall::Provision(request),
        );
    }

    pub(crate) fn handle_node_pool_provisioned(&mut self, now: Instant, name: &str, result: CloudResult) {
        let Some(rental) = self.node_pools.get_mut(name) else { return };
        rental.request_in_flight = false;
        rental.requested_at = now;
        let request = rental.record.request.clone();
        let short = match result {
            Ok(CloudReply::Provisioned(machines)) => {
                let short = (machines.len() as u32) < request.count;
                rental.record.machines = Some(machines);
                short
            }
            Err(CloudError::NoCapacity | CloudError::Rejected) => {
                rental.record.machines = Some(Vec::new());
                true
            }
            // Unknown: the same request again, which then tells what it got.
            _ => return,
        };
        let kind = self.machine_type_index(&request.machine_type);
        let offer = InstanceOffer { machine_type: kind, zone: request.zone.clone(), spot: request.spot };
        self.write_node_pool(name);
        self.register_pool_machines(now, name);
        if short {
            let boot = self.catalog.get(kind).map_or(30.0, |k| k.boot_s).max(1.0);
            let first = Duration::from_secs_f64(boot / 2.0);
            let wait = self.backoff.get(&offer).map_or(first, |b| (b.wait * 2).min(first * 2));
            self.backoff.insert(offer, Backoff { until: now + wait, wait });
        } else {
            self.backoff.remove(&offer);
        }
    }
}
