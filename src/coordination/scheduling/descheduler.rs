//! The descheduler: moves replicas of services off machines that no demand needs.
//!
//! Services do not end by themselves: a machine that was provisioned for a peak, or that is
//! more expensive than others by now, would otherwise be paid for as long as a single replica
//! runs on it. A replica is down from its stop until it starts elsewhere, so one is moved only
//! when a machine that stays has free capacity for it and its image, few are moved at a time,
//! and none soon after its start.

use tokio::time::Instant;

use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::coordination::workers::slot::{Slot, SlotState};
use crate::maps::HashMap;
use crate::protocol::jobs::TaskId;
use crate::protocol::workers::MachineId;

/// A replica stays where it started for this many heartbeat intervals.
const MIN_HEARTBEATS_BEFORE_MOVE: u32 = 10;
/// A machine has not been needed for this part of the longest boot before it is drained.
const UNNEEDED_BOOT_DIVISOR: u32 = 2;

impl Leader {
    /// Chooses at most one machine to drain, once all replicas moved before run again.
    pub(crate) fn rebalance(&mut self, now: Instant) {
        let is_steady =
            self.failover.is_complete() && !self.cloud_health.is_down(now) && self.liveness.is_mostly_live();
        for machine in self.machines.values_mut().filter(|machine| machine.need.is_draining) {
            machine.need.is_draining = is_steady && !machine.need.is_needed;
        }
        let has_waiting_replicas = self.jobs.values().any(|job| job.is_service() && job.pending() > 0);
        if !is_steady || has_waiting_replicas {
            return;
        }
        if let Some(machine) = self.choose_machine_to_drain(now) {
            self.drain(now, &machine);
        }
    }

    /// Stops all replicas on the machine, so that they start elsewhere; nothing is placed on
    /// it any more.
    fn drain(&mut self, now: Instant, machine: &MachineId) {
        let Some(drained) = self.machines.get_mut(machine) else { return };
        drained.need.is_draining = true;
        let replicas: Vec<TaskId> = drained.slots.keys().cloned().collect();
        tracing::info!(%machine, replicas = replicas.len(), "machine draining: replicas move elsewhere");
        for replica in replicas {
            self.stop_task(now, machine, &replica, 0.0);
        }
    }

    /// The most expensive machine by CPU that may be drained and whose replicas fit elsewhere;
    /// among equals the one with the fewest.
    fn choose_machine_to_drain(&self, now: Instant) -> Option<MachineId> {
        let mut candidates: Vec<&Machine> =
            self.machines.values().filter(|machine| self.may_drain(now, machine)).collect();
        let price = |machine: &Machine| self.price_per_cpu(machine.machine_type, machine.spot);
        candidates.sort_by(|a, b| {
            let by_price = price(b).total_cmp(&price(a));
            by_price.then(a.slots.len().cmp(&b.slots.len()))
        });
        candidates.into_iter().find(|machine| self.others_can_host(machine)).map(|machine| machine.id.clone())
    }

    /// Whether no demand has needed the machine for a while and it holds nothing but replicas
    /// that may be moved.
    fn may_drain(&self, now: Instant, machine: &Machine) -> bool {
        let min_unneeded = self.catalog.longest_boot() / UNNEEDED_BOOT_DIVISOR;
        machine.has_usable_capacity()
            && machine.need.unneeded_since.is_some_and(|since| now >= since + min_unneeded)
            && !machine.slots.is_empty()
            && machine.slots.iter().all(|(task, slot)| self.may_move(now, task, slot))
    }

    /// Whether the slot holds a replica of a service that has run for long enough and is not
    /// being stopped.
    fn may_move(&self, now: Instant, task: &TaskId, slot: &Slot) -> bool {
        let min_run = self.config.settings.cluster.workers.heartbeat_interval() * MIN_HEARTBEATS_BEFORE_MOVE;
        slot.state == SlotState::Running
            && slot.assigned
            && slot.stop_grace_s.is_none()
            && now >= slot.since + min_run
            && self.jobs.get(&task.job).is_some_and(|job| job.is_startable() && job.is_service())
    }

    /// Whether machines that stay have free capacity, and the images, for all replicas of the
    /// machine at once.
    fn others_can_host(&self, machine: &Machine) -> bool {
        let mut promised: HashMap<&MachineId, Resources> = HashMap::default();
        machine.slots.keys().all(|task| {
            let Some(job) = self.jobs.get(&task.job) else { return false };
            let host = self.machines.values().find(|other| {
                let mut free = other.free;
                if let Some(promised) = promised.get(&other.id) {
                    free.sub(promised);
                }
                other.id != machine.id && self.can_host(job, other, &free)
            });
            host.is_some_and(|host| {
                promised.entry(&host.id).or_default().add(&Resources::of(job.spec()));
                true
            })
        })
    }

    /// Whether the machine stays, has the job's image, and takes a replica into this free
    /// capacity.
    fn can_host(&self, job: &Job, machine: &Machine, free: &Resources) -> bool {
        machine.need.is_needed
            && machine.has_usable_capacity()
            && Resources::of(job.spec()).fits(free)
            && machine.images.contains(&job.spec().image)
            && self.passes_filters(job, machine)
    }
}
