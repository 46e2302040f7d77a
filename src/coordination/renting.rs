//! Renting machines: demand is covered with those that are there, the cheapest first,
//! and what is missing is asked of the cloud. A rental is recorded before it is asked
//! for, and asked again under its own name until it is answered.

use std::time::Duration;

use tokio::time::Instant;

use super::cloud::{CloudCall, CloudError, CloudReply, CloudResult};
use super::demand::{Demand, GroupKey};
use super::leader::{Leader, Ticket};
use super::model::{Phase, Rental};
use crate::maps::HashSet;
use crate::protocol::cloud::{MAX_RENTAL, RentalRequest};
use crate::protocol::workers::MachineId;
use crate::storage::records::RentalRecord;
use crate::storage::service::StoreError;

/// What to rent: type, zone, spot or not, how many.
type RentOption = (usize, String, bool, u32);

/// When a type, zone and kind may be tried again after a refusal.
#[derive(Debug, Clone, Copy)]
pub(super) struct Backoff {
    pub(super) until: Instant,
    pub(super) wait: Duration,
}

/// Whether so many of all are the exception, and to be believed.
fn few(count: usize, all: usize) -> bool {
    count * 2 <= all.max(1) || count <= 2
}

impl Leader {
    /// Covers every group's need with machines, the cheapest first, and rents
    /// what is missing. Returns the machines that are wanted.
    pub(super) fn rent(&mut self, now: Instant) -> HashSet<MachineId> {
        let tuning = &self.config.tuning;
        let headroom = tuning.headroom;
        let spot_weight = tuning.spot_price_weight;
        let mut groups: Vec<(GroupKey, Demand)> =
            self.demand.iter().map(|(k, d)| (k.clone(), d.clone())).collect();
        // Those with the fewest choices first.
        groups.sort_by_key(|(k, _)| (k.types.len(), k.zone.is_none(), k.spot, k.clone()));
        // What does not hear us does no work, and goes back once it is empty;
        // unless it is most of them, when the fault is more likely on this side.
        let silence = self.silence(now);
        let doubted = self.machines.values().filter(|m| m.doubted).count();
        let trust_doubt = few(doubted, self.machines.len());
        let mut left: Vec<(MachineId, usize, String, bool, f64)> = self
            .machines
            .values()
            .filter(|m| m.phase != Phase::Deleting && !m.condemned && m.taken_at.is_none())
            .filter(|m| !silence.is_silent(m))
            .filter(|m| !(m.doubted && trust_doubt))
            .map(|m| (m.id.clone(), m.kind, m.zone.clone(), m.spot, 1.0))
            .collect();
        let price = |kind: usize, spot: bool| -> f64 {
            self.catalog.get(kind).map_or(f64::MAX, |k| {
                (if spot { k.spot_price * spot_weight } else { k.price }) / k.cpus.max(1.0)
            })
        };
        // At one price those with the most on them, so that the others empty.
        // Prices are not negative: their bits are in the same order.
        left.sort_by_cached_key(|(id, kind, _, spot, _)| {
            let load = self.machines.get(id).map_or(0, |m| m.slots.len());
            (price(*kind, *spot).to_bits(), std::cmp::Reverse(load), id.clone())
        });
        // Machines asked for but not named yet count as if they were there.
        let mut coming: Vec<(usize, String, bool, f64)> = self
            .rentals
            .values()
            .filter(|h| h.record.machines.is_none())
            .map(|h| {
                let r = &h.record.request;
                let kind = self.kind_of(&r.machine_type);
                (kind, r.zone.clone(), r.spot, f64::from(r.count))
            })
            .collect();
        let mut wanted = HashSet::default();
        let mut orders: Vec<RentOption> = Vec::new();
        let rentals = self.config.settings.cluster.cloud.rps.max(1.0);
        for (key, demand) in groups {
            // What may wait queues for a while instead of finding machines ready.
            let usual = if key.patient {
                demand.mean * tuning.patient_ratio
            } else {
                demand.mean * tuning.mean_ratio + demand.spread() * headroom
            };
            let backlog = demand.mean + demand.drain;
            let at_once = demand.active + demand.pending;
            let mut need = usual.max(backlog.min(at_once));
            if demand.quiet_since.is_some_and(|since| now > since + self.longest_boot()) {
                // Nothing has come for as long as a machine takes to boot:
                // what is kept warm costs more than it saves.
                need = 0.0;
            }
            tracing::debug!(
                spot = key.spot,
                mean = demand.mean,
                spread = demand.spread(),
                active = demand.active,
                pending = demand.pending,
                need,
                "demand"
            );
            let allows = |kind: usize, zone: &str, spot: bool| {
                key.types.contains(&kind)
                    && key.zone.as_deref().is_none_or(|z| z == zone)
                    && (key.spot || !spot)
            };
            // What ordinary machines cover.
            let mut dear = 0.0;
            for (id, kind, zone, spot, part) in &mut left {
                if need <= 0.0 {
                    break;
                }
                let units = self.units(*kind, &demand, key.gpus);
                if *part <= 0.0 || units <= 0.0 || !allows(*kind, zone, *spot) {
                    continue;
                }
                let taken = (need / units).min(*part);
                *part -= taken;
                need -= taken * units;
                if !*spot {
                    dear += taken * units;
                }
                // For a small rest no whole machine is kept.
                if taken > 0.2 || wanted.is_empty() {
                    wanted.insert(id.clone());
                }
            }
            for (kind, zone, spot, count) in &mut coming {
                let units = self.units(*kind, &demand, key.gpus);
                if need + dear > 0.0 && units > 0.0 && allows(*kind, zone, *spot) {
                    let taken = ((need + dear) / units).min(*count);
                    *count -= taken;
                    need -= taken * units;
                }
            }
            if need > 0.0 {
                // After a wave hundreds of machines are missing: as many rentals as
                // the cloud takes in a second, instead of one.
                let room = (rentals as usize).saturating_sub(orders.len()).max(1);
                for _ in 0..room {
                    let Some(option) = self.choose_option(now, &key, &demand, need, &orders) else { break };
                    need -= f64::from(option.3) * self.units(option.0, &demand, key.gpus);
                    orders.push(option);
                }
            } else if key.spot && need + dear > 0.0 {
                // Ordinary machines do what spot ones could: take those when
                // they are to be had; the others then empty and go back.
                let option = self.choose_option(now, &key, &demand, need + dear, &orders);
                orders.extend(option.filter(|o| o.2));
            }
        }
        for (kind, zone, spot, count) in orders {
            self.request_rental(now, kind, zone, spot, count);
        }
        wanted
    }

    /// The cheapest way to get what is missing, beside what is chosen already;
    /// evens out zones at one price.
    pub(super) fn choose_option(
        &self,
        now: Instant,
        key: &GroupKey,
        demand: &Demand,
        need: f64,
        chosen: &[RentOption],
    ) -> Option<RentOption> {
        let busy = |kind: usize, zone: &str, spot: bool| {
            chosen.iter().any(|o| o.0 == kind && o.1 == zone && o.2 == spot)
                || self.rentals.values().any(|h| {
                    let r = &h.record.request;
                    h.record.machines.is_none()
                        && r.zone == zone
                        && r.spot == spot
                        && self.catalog.get(kind).is_some_and(|k| k.name == r.machine_type)
                })
                || self.backoff.get(&(kind, zone.to_owned(), spot)).is_some_and(|b| now < b.until)
        };
        let mut best: Option<(f64, usize, RentOption)> = None;
        for &at in &key.types {
            let kind = self.catalog.get(at)?;
            let units = self.units(at, demand, key.gpus);
            if units <= 0.0 {
                continue;
            }
            let count = (need / units - 0.05).ceil().max(0.0) as u32;
            if count == 0 {
                continue;
            }
            for zone in kind.zones.iter().filter(|z| key.zone.as_ref().is_none_or(|k| k == *z)) {
                let coming = chosen.iter().filter(|o| o.1 == *zone).map(|o| o.3 as usize).sum::<usize>();
                let here = self.machines.values().filter(|m| m.zone == *zone).count() + coming;
                for spot in [true, false] {
                    if (spot && !key.spot) || busy(at, zone, spot) {
                        continue;
                    }
                    let weight = self.config.tuning.spot_price_weight;
                    let cost = f64::from(count) * if spot { kind.spot_price * weight } else { kind.price };
                    let better = best
                        .as_ref()
                        .is_none_or(|(c, n, _)| cost < c * 0.99 || (cost < c * 1.01 && here < *n));
                    if better {
                        best = Some((cost, here, (at, zone.clone(), spot, count.min(MAX_RENTAL))));
                    }
                }
            }
        }
        best.map(|(_, _, option)| option)
    }

    pub(super) fn request_rental(&mut self, now: Instant, kind: usize, zone: String, spot: bool, count: u32) {
        let Some(machine_type) = self.catalog.get(kind).map(|k| k.name.clone()) else { return };
        self.next_rental += 1;
        // Epoch and counter: never used twice, by whichever controller.
        let name = format!("{}-{}", self.epoch, self.next_rental);
        tracing::info!(rental = %name, %machine_type, %zone, spot, count, "renting");
        let request = RentalRequest { name: name.clone(), machine_type, zone, spot, count };
        let record = RentalRecord { request, machines: None, used: Default::default() };
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
        for id in rental.record.used.clone() {
            if let Some(m) = self.machines.get_mut(&id) {
                m.used = true;
                m.marking = false;
            }
        }
        if self.rentals.get(&name).is_some_and(|h| h.record.machines.is_none()) {
            self.ask_rental(now, &name);
        }
    }

    pub(super) fn ask_rental(&mut self, now: Instant, name: &str) {
        let Some(rental) = self.rentals.get_mut(name) else { return };
        if rental.asking || rental.version == 0 {
            return;
        }
        rental.asking = true;
        rental.asked_at = now;
        let request = rental.record.request.clone();
        self.call_cloud(Ticket::AskRental(name.to_owned()), CloudCall::Rent(request));
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
        let option = (kind, request.zone.clone(), request.spot);
        self.write_rental(name);
        self.enter_rented(now, name);
        if short {
            let boot = self.catalog.get(kind).map_or(30.0, |k| k.boot_s).max(1.0);
            let first = Duration::from_secs_f64(boot / 2.0);
            let wait = self.backoff.get(&option).map_or(first, |b| (b.wait * 2).min(first * 2));
            self.backoff.insert(option, Backoff { until: now + wait, wait });
        } else {
            self.backoff.remove(&option);
        }
    }
}
