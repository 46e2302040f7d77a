//! Renting machines: demand is covered with those that are there, the cheapest first,
//! and what is missing is asked of the cloud. A rental is recorded before it is asked
//! for, and asked again under its own name until it is answered.

use std::time::Duration;

use tokio::time::Instant;

use super::cloud::{CloudCall, CloudError, CloudReply, CloudResult};
use super::demand::{Demand, GroupKey};
use super::leader::{Leader, PendingOperation};
use super::machines::{Phase, Rental};
use crate::maps::HashSet;
use crate::protocol::cloud::{MachineType, RentalRequest};
use crate::protocol::workers::MachineId;
use crate::storage::records::NodePoolRecord;
use crate::storage::service::StoreError;

/// What the cloud rents out: a machine type in a zone, as a spot machine or not.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Offer {
    pub(super) kind: usize,
    pub(super) zone: String,
    pub(super) spot: bool,
}

/// A number of machines to be rented.
#[derive(Debug)]
struct RentalOrder {
    offer: Offer,
    count: u32,
}

/// Machines that demand can count on, and how many of them no group has taken yet.
#[derive(Debug)]
struct Supply {
    offer: Offer,
    left: f64,
}

/// Part of a machine below which the rest of a group's need keeps no machine.
const SMALL_PART: f64 = 0.2;
/// Part of a machine that may be missing without renting another.
const SPARED_PART: f64 = 0.05;

/// When an offer may be tried again after a refusal.
#[derive(Debug, Clone, Copy)]
pub(super) struct Backoff {
    until: Instant,
    wait: Duration,
}

/// Whether so many of all are the exception, and to be believed.
fn few(count: usize, all: usize) -> bool {
    count * 2 <= all.max(1) || count <= 2
}

impl Leader {
    /// Covers every group's need with machines, the cheapest first, and rents
    /// what is missing. Returns the machines that are wanted.
    pub(super) fn rent(&mut self, now: Instant) -> HashSet<MachineId> {
        let mut groups: Vec<(GroupKey, Demand)> =
            self.demand.iter().map(|(k, d)| (k.clone(), d.clone())).collect();
        // Those with the fewest choices first.
        groups.sort_by_key(|(k, _)| (k.types.len(), k.zone.is_none(), k.spot, k.clone()));
        let mut present = self.present_supply(now);
        let mut coming = self.coming_supply();
        let mut wanted = HashSet::default();
        let mut orders: Vec<RentalOrder> = Vec::new();
        for (key, demand) in groups {
            let mut need = self.need(now, &key, &demand);
            let ordinary = self.cover(&key, &demand, &mut need, &mut present, &mut wanted);
            self.count_coming(&key, &demand, &mut need, ordinary, &mut coming);
            self.order_missing(now, &key, &demand, need, ordinary, &mut orders);
        }
        for order in orders {
            self.request_rental(now, order);
        }
        wanted
    }

    /// Machines that are there and may be counted on, the cheapest first.
    ///
    /// What does not hear us does no work, and goes back once it is empty; unless it is
    /// most of them, when the fault is more likely on this side.
    fn present_supply(&self, now: Instant) -> Vec<(MachineId, Supply)> {
        let silence = self.silence(now);
        let doubted = self.machines.values().filter(|m| m.one_way_partitioned).count();
        let trust_doubt = few(doubted, self.machines.len());
        let mut present: Vec<(MachineId, Supply)> = self
            .machines
            .values()
            .filter(|m| m.phase != Phase::Deleting && !m.cordoned && m.preempted_at.is_none())
            .filter(|m| !silence.is_silent(m))
            .filter(|m| !(m.one_way_partitioned && trust_doubt))
            .map(|m| {
                let offer = Offer { kind: m.kind, zone: m.zone.clone(), spot: m.spot };
                (m.id.clone(), Supply { offer, left: 1.0 })
            })
            .collect();
        // At one price those with the most on them, so that the others empty.
        // Prices are not negative: their bits are in the same order.
        present.sort_by_cached_key(|(id, supply)| {
            let load = self.machines.get(id).map_or(0, |m| m.slots.len());
            (
                self.price_per_cpu(supply.offer.kind, supply.offer.spot).to_bits(),
                std::cmp::Reverse(load),
                id.clone(),
            )
        });
        present
    }

    /// Machines asked for but not named yet count as if they were there.
    fn coming_supply(&self) -> Vec<Supply> {
        self.rentals
            .values()
            .filter(|rental| rental.record.machines.is_none())
            .map(|rental| {
                let request = &rental.record.request;
                let kind = self.kind_of(&request.machine_type);
                let offer = Offer { kind, zone: request.zone.clone(), spot: request.spot };
                Supply { offer, left: f64::from(request.count) }
            })
            .collect()
    }

    /// The price of a CPU, by which machines are compared.
    pub(super) fn price_per_cpu(&self, kind: usize, spot: bool) -> f64 {
        self.catalog.get(kind).map_or(f64::MAX, |kind| self.weighted_price(kind, spot) / kind.cpus.max(1.0))
    }

    /// The price of a machine, by which offers are compared.
    fn weighted_price(&self, kind: &MachineType, spot: bool) -> f64 {
        if spot { kind.spot_price * self.config.tuning.spot_price_weight } else { kind.price }
    }

    /// What a group's machines should be able to run at once.
    fn need(&self, now: Instant, key: &GroupKey, demand: &Demand) -> f64 {
        let tuning = &self.config.tuning;
        // What may wait queues for a while instead of finding machines ready.
        let usual = if key.patient {
            demand.mean * tuning.patient_ratio
        } else {
            demand.mean * tuning.mean_ratio + demand.spread() * tuning.headroom
        };
        let backlog = demand.mean + demand.drain;
        let at_once = demand.active + demand.pending;
        // Nothing has come for as long as a machine takes to boot: what is kept warm
        // costs more than it saves.
        let quiet = demand.quiet_since.is_some_and(|since| now > since + self.longest_boot());
        let need = if quiet { 0.0 } else { usual.max(backlog.min(at_once)) };
        tracing::debug!(
            spot = key.spot,
            mean = demand.mean,
            spread = demand.spread(),
            active = demand.active,
            pending = demand.pending,
            need,
            "demand"
        );
        need
    }

    /// Takes what a group needs of the machines that are there, and notes them as
    /// wanted. Returns how much of it ordinary machines cover.
    fn cover(
        &self,
        key: &GroupKey,
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
            let units = self.units(supply.offer.kind, demand, key.gpus);
            if supply.left <= 0.0 || units <= 0.0 || !key.allows(&supply.offer) {
                continue;
            }
            let taken = (*need / units).min(supply.left);
            supply.left -= taken;
            *need -= taken * units;
            if !supply.offer.spot {
                ordinary += taken * units;
            }
            if taken > SMALL_PART || wanted.is_empty() {
                wanted.insert(id.clone());
            }
        }
        ordinary
    }

    /// Takes what is still needed, or covered by ordinary machines, of those asked for.
    fn count_coming(
        &self,
        key: &GroupKey,
        demand: &Demand,
        need: &mut f64,
        ordinary: f64,
        coming: &mut [Supply],
    ) {
        for supply in coming {
            let units = self.units(supply.offer.kind, demand, key.gpus);
            if *need + ordinary > 0.0 && units > 0.0 && key.allows(&supply.offer) {
                let taken = ((*need + ordinary) / units).min(supply.left);
                supply.left -= taken;
                *need -= taken * units;
            }
        }
    }

    /// Orders what is missing. After a wave hundreds of machines are: as many rentals
    /// as the cloud takes in a second, instead of one.
    fn order_missing(
        &self,
        now: Instant,
        key: &GroupKey,
        demand: &Demand,
        mut need: f64,
        ordinary: f64,
        orders: &mut Vec<RentalOrder>,
    ) {
        if need > 0.0 {
            let rentals = self.config.settings.cluster.cloud.rps.max(1.0) as usize;
            for _ in 0..rentals.saturating_sub(orders.len()).max(1) {
                let Some(order) = self.choose_offer(now, key, demand, need, orders) else { break };
                need -= f64::from(order.count) * self.units(order.offer.kind, demand, key.gpus);
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
        key: &GroupKey,
        demand: &Demand,
        need: f64,
        chosen: &[RentalOrder],
    ) -> Option<RentalOrder> {
        let most = self.most_in_rental(None);
        let mut best: Option<(f64, usize, RentalOrder)> = None;
        for &at in &key.types {
            let kind = self.catalog.get(at)?;
            let units = self.units(at, demand, key.gpus);
            if units <= 0.0 {
                continue;
            }
            let count = (need / units - SPARED_PART).ceil().max(0.0) as u32;
            if count == 0 {
                continue;
            }
            for zone in &kind.zones {
                let ordered: usize =
                    chosen.iter().filter(|o| o.offer.zone == *zone).map(|o| o.count as usize).sum();
                let here = self.machines.values().filter(|m| m.zone == *zone).count() + ordered;
                for spot in [true, false] {
                    let offer = Offer { kind: at, zone: zone.clone(), spot };
                    if !key.allows(&offer) || self.is_busy(now, &offer, chosen) {
                        continue;
                    }
                    let cost = f64::from(count) * self.weighted_price(kind, spot);
                    let better = best
                        .as_ref()
                        .is_none_or(|(c, n, _)| cost < c * 0.99 || (cost < c * 1.01 && here < *n));
                    if better {
                        best = Some((cost, here, RentalOrder { offer, count: count.min(most) }));
                    }
                }
            }
        }
        best.map(|(_, _, order)| order)
    }

    /// Whether the offer is being asked for, or was refused a moment ago.
    fn is_busy(&self, now: Instant, offer: &Offer, chosen: &[RentalOrder]) -> bool {
        chosen.iter().any(|order| order.offer == *offer)
            || self.rentals.values().any(|rental| {
                let request = &rental.record.request;
                rental.record.machines.is_none()
                    && request.zone == offer.zone
                    && request.spot == offer.spot
                    && self.catalog.get(offer.kind).is_some_and(|k| k.name == request.machine_type)
            })
            || self.backoff.get(offer).is_some_and(|b| now < b.until)
    }

    /// Records a rental; it is asked for once the record is written.
    fn request_rental(&mut self, now: Instant, order: RentalOrder) {
        let RentalOrder { offer: Offer { kind, zone, spot }, count } = order;
        let Some(machine_type) = self.catalog.get(kind).map(|k| k.name.clone()) else { return };
        self.next_rental += 1;
        // Epoch and counter: never used twice, by whichever controller.
        let name = format!("{}-{}", self.epoch, self.next_rental);
        tracing::info!(rental = %name, %machine_type, %zone, spot, count, "renting");
        let request = RentalRequest { name: name.clone(), machine_type, zone, spot, count };
        let record = NodePoolRecord { request, machines: None, machines_used: Default::default() };
        self.rentals.insert(name.clone(), Rental::new(record, 0, now));
        self.write_rental(&name);
    }

    pub(super) fn rental_written(&mut self, now: Instant, name: String, result: Result<u64, StoreError>) {
        let Some(rental) = self.rentals.get_mut(&name) else { return };
        rental.writing = false;
        match result {
            Ok(version) => rental.version = version,
            Err(StoreError::Fenced) => return,
            Err(error) => {
                tracing::error!(rental = %name, ?error, "a fleet record cannot be written");
                rental.writing = true;
                return;
            }
        }
        if rental.dirty {
            // What was marked since is not recorded yet; wait for the next.
            return self.write_rental(&name);
        }
        if rental.record.machines.as_ref().is_some_and(Vec::is_empty) {
            self.rentals.remove(&name);
            return;
        }
        for id in rental.record.machines_used.clone() {
            if let Some(m) = self.machines.get_mut(&id) {
                m.use_recorded = true;
                m.use_record_in_flight = false;
            }
        }
        if self.rentals.get(&name).is_some_and(|h| h.record.machines.is_none()) {
            self.ask_rental(now, &name);
        }
    }

    pub(super) fn ask_rental(&mut self, now: Instant, name: &str) {
        let Ok(permit) = self.term().leader_permit(now) else { return };
        let Some(rental) = self.rentals.get_mut(name) else { return };
        if rental.asking || rental.version == 0 {
            return;
        }
        rental.asking = true;
        rental.asked_at = now;
        let request = rental.record.request.clone();
        self.change_cloud(
            permit,
            PendingOperation::ProvisionNodePool(name.to_owned()),
            CloudCall::Rent(request),
        );
    }

    pub(super) fn rental_answered(&mut self, now: Instant, name: &str, result: CloudResult) {
        let Some(rental) = self.rentals.get_mut(name) else { return };
        rental.asking = false;
        rental.asked_at = now;
        let request = rental.record.request.clone();
        let short = match result {
            Ok(CloudReply::Rented(machines)) => {
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
        let kind = self.kind_of(&request.machine_type);
        let offer = Offer { kind, zone: request.zone.clone(), spot: request.spot };
        self.write_rental(name);
        self.enter_rented(now, name);
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
