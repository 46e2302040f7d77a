//! The machines of the fleet: their types, how they are entered, and when they are
//! returned.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::cloud::{CloudCall, CloudError, CloudReply, CloudResult};
use crate::coordination::fleet::cloud_health::CLOUD_RETRY_PAUSE;
use crate::coordination::fleet::image_cache::ImageCache;
use crate::coordination::fleet::machine::{AgentContact, Listing, Machine, MachineNeed, Phase, UseRecord};
use crate::coordination::fleet::node_pool::NodePool;
use crate::coordination::fleet::unregistered::PoolShape;
use crate::coordination::leader::Leader;
use crate::coordination::leader::effects::{CloudQuery, PendingOperation};
use crate::maps::{HashMap, HashSet};
use crate::protocol::cloud::{
    MAX_MACHINES_PER_DELETION, MAX_MACHINES_PER_REQUEST, MachineType, NodePoolRequest, encode_catalog,
};
use crate::protocol::workers::MachineId;
use crate::storage::records::{CATALOG, NodePoolRecord};

/// The cloud bills at least this much of a machine.
const MIN_BILLED: Duration = Duration::from_secs(60);

impl Leader {
    pub(crate) fn apply_cloud_result(&mut self, now: Instant, ticket: PendingOperation, result: CloudResult) {
        if result == Err(CloudError::Failed) {
            self.cloud_health.record_failure(now);
        }
        match (ticket, result) {
            (PendingOperation::ReadCatalog, Ok(CloudReply::Catalog(types))) => {
                self.update_catalog(now, types)
            }
            (PendingOperation::ReadCatalog, _) => self.catalog.record_failed_read(now),
            (PendingOperation::ListMachines, Ok(CloudReply::List(page))) => {
                self.handle_inventory_page(now, page)
            }
            (PendingOperation::ListMachines, _) => self.inventory.abort(),
            (PendingOperation::ProvisionNodePool(name), result) => {
                self.handle_node_pool_provisioned(now, &name, result)
            }
            (PendingOperation::DeleteMachines(machines), Ok(_)) => {
                self.handle_machines_deleted(now, &machines)
            }
            (PendingOperation::DeleteMachines(machines), Err(_)) => {
                // Perhaps carried out, perhaps not: asked again until it is.
                for machine in machines {
                    if let Some(m) = self.machines.get_mut(&machine) {
                        m.deletion_in_flight = false;
                    }
                }
            }
            _ => {}
        }
    }

    /// Takes over the cloud's machine types. They are kept in the store, so that a failover
    /// while the cloud is down can tell what its machines are.
    pub(crate) fn update_catalog(&mut self, now: Instant, types: Vec<MachineType>) {
        let change = self.catalog.update(now, types);
        if change.has_changed {
            self.write_singleton(CATALOG, encode_catalog(self.catalog.types()));
        }
        if change.is_first {
            self.register_all_machines(now);
        }
    }

    /// Enters all recorded machines, once their types are known.
    pub(crate) fn register_all_machines(&mut self, now: Instant) {
        for name in self.node_pools.names() {
            self.register_pool_machines(now, &name);
        }
        self.check_failover_complete();
    }

    /// Enters the machines of a fleet record into the picture.
    pub(crate) fn register_pool_machines(&mut self, now: Instant, name: &str) {
        let Some(rental) = self.node_pools.get(name) else { return };
        let request = rental.record.request.clone();
        let used = rental.record.machines_used.clone();
        let ids = rental.record.machines.clone().unwrap_or_default();
        let kind = self.catalog.id_of(&request.machine_type);
        // One that had tasks has booted and worked before this epoch: what is
        // billed at the least is behind it. Counted from each takeover anew, it
        // kept hundreds of idle machines where leaders followed one another.
        let worked = now.checked_sub(MIN_BILLED).unwrap_or(now);
        for id in ids {
            if self.machines.contains(&id) || self.machines.is_deleted(&id) {
                continue;
            }
            let was_used = used.contains(&id);
            let use_record = if was_used { UseRecord::Recorded } else { UseRecord::NotRecorded };
            let machine = Machine {
                id: id.clone(),
                machine_type: kind,
                zone: request.zone.clone(),
                spot: request.spot,
                node_pool: name.to_owned(),
                phase: if was_used { Phase::Up } else { Phase::Booting },
                requested_at: if was_used { worked } else { now },
                agent: AgentContact::default(),
                // Nothing was ever started on a machine whose use is not recorded.
                reconciled: !was_used,
                use_record,
                deletion_in_flight: false,
                preempted_at: None,
                slots: HashMap::default(),
                free: self.catalog.resources(kind),
                has_orphan_tasks: false,
                images: ImageCache::default(),
                failures: Vec::new(),
                cordoned: false,
                idle_since: now,
                // One that had tasks was listed long ago: a failover need not see it listed
                // first to conclude from its absence.
                listing: Listing { was_listed: was_used, missed: u32::from(was_used) },
                need: MachineNeed { is_needed: true, unneeded_since: None, is_draining: false },
            };
            self.machines.insert(machine);
            if was_used {
                // What unheard machines may hold is counted with the queue's order.
                self.queue.invalidate();
            }
        }
    }

    /// A machine that no record knows: entered first, then used or returned. Those
    /// that show up together share a record and its write; many do where machines
    /// were up before the first controller was.
    pub(crate) fn record_unregistered(
        &mut self,
        now: Instant,
        id: &MachineId,
        kind: &str,
        zone: &str,
        spot: bool,
    ) {
        if self.catalog.is_empty() || self.machines.is_deleted(id) || self.unregistered.contains(id) {
            return;
        }
        // It may be of a request whose answer is still on its way.
        let asked = |h: &NodePool| {
            let r = &h.record.request;
            h.record.machines.is_none() && r.machine_type == kind && r.zone == zone && r.spot == spot
        };
        if self.node_pools.values().any(asked) {
            return;
        }
        let shape = PoolShape { machine_type: kind.to_owned(), zone: zone.to_owned(), spot };
        self.unregistered.add(now, id.clone(), shape);
    }

    /// Enters the machines that were not expected, each kind in one record. No
    /// record has named them, so nothing was ever started on them; the record says
    /// at once that they are used, which saves the write before their first start.
    pub(crate) fn register_unregistered(&mut self, now: Instant) {
        let wait = self.config.settings.cluster.workers.report() / 4;
        for (shape, mut ids) in self.unregistered.take_due(now, wait) {
            ids.retain(|id| !self.machines.contains(id) && !self.machines.is_deleted(id));
            let PoolShape { machine_type, zone, spot } = shape;
            let most = self.max_machines_per_pool(ids.iter().map(|id| id.as_str().len()).max());
            for ids in ids.chunks(most as usize) {
                let name = self.node_pools.next_unregistered_name(self.epoch());
                tracing::info!(count = ids.len(), %machine_type, %zone, spot, "machines that were not expected");
                let request = NodePoolRequest {
                    name: name.clone(),
                    machine_type: machine_type.clone(),
                    zone: zone.clone(),
                    spot,
                    count: ids.len() as u32,
                };
                let record = NodePoolRecord {
                    request,
                    machines: Some(ids.to_vec()),
                    machines_used: Default::default(),
                };
                self.node_pools.insert(NodePool::new(record, 0, now));
                self.register_pool_machines(now, &name);
                for id in ids {
                    if let Some(m) = self.machines.get_mut(id) {
                        m.use_record = UseRecord::InFlight;
                    }
                }
                if let Some(rental) = self.node_pools.get_mut(&name) {
                    rental.record.machines_used = ids.iter().cloned().collect();
                }
                self.write_node_pool(&name);
            }
        }
    }

    /// Most machines in one rental: so many that its record, which names each of them twice,
    /// fits into a value under both sets of limits.
    pub(crate) fn max_machines_per_pool(&self, longest_name: Option<usize>) -> u32 {
        /// What surrounds a name in a list, and what the record has beside the two lists.
        const AROUND_NAME: usize = 3;
        const BESIDE_LISTS: usize = 512;
        /// No machine is known yet: longer than any name so far.
        const UNKNOWN_NAME: usize = 16;
        let value = self.config.settings.cluster.state.within_both().value_bytes();
        let known = || self.machines.last_name().map(|id| id.as_str().len());
        let name = longest_name.or_else(known).unwrap_or(UNKNOWN_NAME);
        let fits = value.saturating_sub(BESIDE_LISTS) / (2 * (name + AROUND_NAME));
        u32::try_from(fits).unwrap_or(MAX_MACHINES_PER_REQUEST).clamp(1, MAX_MACHINES_PER_REQUEST)
    }

    pub(crate) fn handle_machines_deleted(&mut self, now: Instant, machines: &[MachineId]) {
        for id in machines {
            // The answer proves that the machine and all on it are gone.
            self.clear_slots(now, id);
            let Some(m) = self.machines.remove_deleted(id) else { continue };
            if let Some(rental) = self.node_pools.get_mut(&m.node_pool) {
                if let Some(list) = &mut rental.record.machines {
                    list.retain(|other| other != id);
                }
                rental.record.machines_used.remove(id);
            }
            self.write_node_pool(&m.node_pool);
        }
        self.check_failover_complete();
    }

    /// Has machines deleted, unless this leader may not decide that any more.
    pub(crate) fn delete_machines(&mut self, now: Instant, machines: Vec<MachineId>) {
        let Ok(permit) = self.term.leader_permit(now) else { return };
        for chunk in machines.chunks(MAX_MACHINES_PER_DELETION) {
            for id in chunk {
                if let Some(m) = self.machines.get_mut(id) {
                    m.phase = Phase::Deleting;
                    m.deletion_in_flight = true;
                }
            }
            self.outbox.change_cloud(
                permit,
                PendingOperation::DeleteMachines(chunk.to_vec()),
                CloudCall::Delete(chunk.to_vec()),
            );
        }
    }

    /// Once a second.
    pub(crate) fn autoscale(&mut self, now: Instant) {
        let lag = self.inventory_lag();
        let catalog_age = if self.catalog.is_empty() { Duration::from_secs(1) } else { lag * 10 };
        if !self.outbox.is_reading_catalog() && self.catalog.is_older_than(now, catalog_age) {
            self.outbox.read_cloud(CloudQuery::Catalog);
        }
        if self.catalog.is_empty() {
            return;
        }
        if self.inventory.is_due(now, lag) {
            self.inventory.begin(now);
            self.outbox.read_cloud(CloudQuery::Machines { from: String::new() });
        }
        let unresolved: Vec<String> = self
            .node_pools
            .values()
            .filter(|h| h.record.machines.is_none() && !h.write_in_flight && !h.request_in_flight)
            .filter(|h| h.version > 0 && now >= h.requested_at + CLOUD_RETRY_PAUSE)
            .map(|h| h.record.request.name.clone())
            .collect();
        for name in unresolved {
            self.provision_node_pool(now, &name);
        }
        let spot_machines = self.machines.values().filter(|m| m.spot && m.phase == Phase::Up).count();
        self.autoscaler.spot_losses.record_second(spot_machines);
        self.measure_demand(now);
        let boot = self.catalog.longest_boot();
        if now > self.autoscaler.statistics_saved_at + boot / 5 {
            self.autoscaler.statistics_saved_at = now;
            self.save_statistics(now);
        }
        self.liveness.record(now, &self.config, &self.machines);
        let wanted = self.scale_out(now);
        for m in self.machines.values_mut() {
            m.need.is_needed = wanted.contains(&m.id);
            m.need.unneeded_since = if m.need.is_needed { None } else { m.need.unneeded_since.or(Some(now)) };
        }
        self.rebalance(now);
        self.scale_in(now, &wanted);
    }

    /// Returns what is idle and not wanted, and what is of no use any more.
    fn scale_in(&mut self, now: Instant, wanted: &HashSet<MachineId>) {
        let tuning = &self.config.tuning;
        let silence = self.liveness.detector(now, &self.config, &self.machines);
        let cloud_down = self.cloud_health.is_down(now);
        let mut back = Vec::new();
        for m in self.machines.values() {
            let boot =
                Duration::from_secs_f64(self.catalog.get(m.machine_type).map_or(30.0, |k| k.boot_s).max(1.0));
            let idle = m.slots.is_empty() && m.reconciled;
            let reason = match m.phase {
                Phase::Deleting => None,
                Phase::Booting => {
                    let limit = boot.mul_f64(tuning.boot_limit_ratio).max(MIN_BILLED);
                    if now > m.requested_at + limit { Some("never started") } else { None }
                }
                Phase::Up if silence.is_dead(m) => Some("silent"),
                Phase::Up if idle && (m.cordoned || m.preempted_at.is_some()) => Some("sick or taken"),
                Phase::Up => {
                    let long = now > m.idle_since + boot.mul_f64(tuning.idle_ratio);
                    let billed = now > m.requested_at + MIN_BILLED;
                    (idle && long && billed && !cloud_down && !wanted.contains(&m.id)).then_some("idle")
                }
            };
            if m.phase == Phase::Deleting {
                // Perhaps not carried out: asked again, but not all the time.
                let pause = self.cloud_health.is_pausing(now);
                if !m.deletion_in_flight && !pause {
                    back.push(m.id.clone());
                }
            } else if let Some(reason) = reason {
                let lost = reason == "silent" || m.preempted_at.is_some();
                if m.spot && lost && m.phase == Phase::Up {
                    self.autoscaler.spot_losses.record_loss();
                }
                tracing::info!(epoch = self.term.epoch(), machine = %m.id, reason, "returning");
                back.push(m.id.clone());
            }
        }
        if !back.is_empty() {
            self.delete_machines(now, back);
        }
    }
}
