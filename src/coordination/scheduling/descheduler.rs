//! Moves replicas of services off machines that no demand counts on.
//!
//! Services do not end by themselves: a machine that was rented for a peak, or that
//! is dearer than others by now, would otherwise be paid for as long as a single
//! replica runs on it. A replica is down from its stop until it starts elsewhere, so
//! one is moved only when a machine that stays has room for it and its image, few
//! are moved at a time, and none soon after its start.

use tokio::time::Instant;

use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::coordination::workers::slot::SlotState;
use crate::maps::HashMap;
use crate::protocol::jobs::TaskId;
use crate::protocol::workers::MachineId;

/// A replica stays where it started for this many report intervals.
const MIN_HEARTBEATS_BEFORE_MOVE: u32 = 10;

impl Leader {
    /// Chooses at most one machine to empty, once all replicas moved before run again.
    pub(crate) fn rebalance(&mut self, now: Instant) {
        let steady =
            self.failover.is_complete() && !self.cloud_health.is_down(now) && self.liveness.is_mostly_live();
        for machine in self.machines.values_mut().filter(|m| m.need.is_draining) {
            machine.need.is_draining = steady && !machine.need.is_needed;
        }
        let waiting = self.jobs.values().any(|job| job.is_service() && job.pending() > 0);
        if !steady || waiting {
            return;
        }
        let Some(machine) = self.choose_machine_to_drain(now) else { return };
        let Some(emptied) = self.machines.get_mut(&machine) else { return };
        emptied.need.is_draining = true;
        let replicas: Vec<TaskId> = emptied.slots.keys().cloned().collect();
        tracing::info!(%machine, replicas = replicas.len(), "moving replicas elsewhere");
        for replica in replicas {
            self.stop_task(now, &machine, &replica, 0.0);
        }
    }

    /// The dearest machine that holds nothing but replicas for which others have room.
    fn choose_machine_to_drain(&self, now: Instant) -> Option<MachineId> {
        let mut candidates: Vec<&Machine> =
            self.machines.values().filter(|m| self.may_drain(now, m)).collect();
        candidates.sort_by(|a, b| {
            let by_price = self
                .price_per_cpu(b.machine_type, b.spot)
                .total_cmp(&self.price_per_cpu(a.machine_type, a.spot));
            by_price.then(a.slots.len().cmp(&b.slots.len()))
        });
        candidates.into_iter().find(|m| self.others_can_host(m)).map(|m| m.id.clone())
    }

    fn may_drain(&self, now: Instant, machine: &Machine) -> bool {
        let settled = self.config.settings.cluster.workers.report() * MIN_HEARTBEATS_BEFORE_MOVE;
        let boot = self.catalog.longest_boot();
        machine.has_usable_capacity()
            && machine.need.unneeded_since.is_some_and(|since| now >= since + boot / 2)
            && !machine.slots.is_empty()
            && machine.slots.iter().all(|(key, slot)| {
                slot.state == SlotState::Running
                    && slot.assigned
                    && slot.stop_grace_s.is_none()
                    && now >= slot.since + settled
                    && self.jobs.get(&key.job).is_some_and(|job| job.is_startable() && job.is_service())
            })
    }

    /// Whether machines that stay have room, and the images, for all its replicas.
    fn others_can_host(&self, machine: &Machine) -> bool {
        let mut taken: HashMap<&MachineId, Resources> = HashMap::default();
        machine.slots.keys().all(|task| {
            let Some(job) = self.jobs.get(&task.job) else { return false };
            let need = Resources::of(job.spec());
            let target = self.machines.values().find(|other| {
                let mut room = other.free;
                if let Some(taken) = taken.get(&other.id) {
                    room.sub(taken);
                }
                other.need.is_needed
                    && other.id != machine.id
                    && other.has_usable_capacity()
                    && need.fits(&room)
                    && other.images.contains(&job.spec().image)
                    && self.passes_filters(job, other)
            });
            target.is_some_and(|other| {
                taken.entry(&other.id).or_default().add(&need);
                true
            })
        })
    }
}
