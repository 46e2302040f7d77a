//! The descheduler: moves replicas of services off machines that no demand needs.
//!
//! Services do not end by themselves. Without the descheduler, a machine that was provisioned
//! for a peak, or that has become more expensive than others, would be paid for as long as a
//! single replica runs on it. A replica is down from its stop until it starts elsewhere, so it
//! is moved only when a machine that stays has its image and free capacity for it. Few replicas
//! are moved at a time, and none soon after its start.

use tokio::time::Instant;

use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::coordination::workers::slot::{Slot, SlotState};
use crate::maps::HashMap;
use crate::protocol::jobs::TaskId;
use crate::protocol::workers::MachineId;

/// Heartbeat intervals that a replica must have run before it may be moved.
const MIN_HEARTBEATS_BEFORE_MOVE: u32 = 10;
/// Before a machine is drained, it must have been unneeded for the longest boot time divided by
/// this.
const UNNEEDED_BOOT_DIVISOR: u32 = 2;

impl Leader {
    /// Drains at most one machine, and only while no replica is waiting to start, so that replicas
    /// moved earlier are placed first. Machines that are needed again stop draining, as do all
    /// machines during a failover, an outage of the cloud, or while many workers are silent.
    pub(crate) fn run_descheduler(&mut self, now: Instant) {
        let is_stable =
            self.failover.is_complete() && !self.cloud_health.is_down(now) && self.liveness.is_mostly_live();
        for machine in self.machines.values_mut().filter(|machine| machine.need.is_draining) {
            machine.need.is_draining = is_stable && !machine.need.is_needed;
        }
        let has_waiting_replicas = self.jobs.values().any(|job| job.is_service() && job.pending() > 0);
        if !is_stable || has_waiting_replicas {
            return;
        }
        if let Some(machine) = self.choose_machine_to_drain(now) {
            self.drain(now, &machine);
        }
    }

    /// Stops all replicas on the machine, so that they start elsewhere, and marks the machine as
    /// draining, so that no tasks are placed on it.
    fn drain(&mut self, now: Instant, machine: &MachineId) {
        let Some(drained) = self.machines.get_mut(machine) else { return };
        drained.need.is_draining = true;
        let replicas: Vec<TaskId> = drained.slots.keys().cloned().collect();
        tracing::info!(%machine, replicas = replicas.len(), "machine draining: replicas move elsewhere");
        for replica in replicas {
            self.stop_task(now, machine, &replica, 0.0);
        }
    }

    /// Returns the machine with the highest price per CPU that may be drained and whose replicas
    /// fit elsewhere; among machines of equal price, the one with the fewest replicas.
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

    /// Whether no demand has needed the machine for a while, and it holds only replicas that may
    /// be moved.
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

    /// Whether machines that stay have the images and enough free capacity for all replicas of
    /// this machine together.
    fn others_can_host(&self, machine: &Machine) -> bool {
        let mut planned: HashMap<&MachineId, Resources> = HashMap::default();
        machine.slots.keys().all(|task| {
            let Some(job) = self.jobs.get(&task.job) else { return false };
            let host = self.machines.values().find(|other| {
                let mut free = other.free;
                if let Some(planned) = planned.get(&other.id) {
                    free.sub(planned);
                }
                other.id != machine.id && self.can_host(job, other, &free)
            });
            host.is_some_and(|host| {
                planned.entry(&host.id).or_default().add(&Resources::of(job.spec()));
                true
            })
        })
    }

    /// Whether the machine stays, has the job's image, and can hold a replica of the job in the
    /// given free capacity.
    fn can_host(&self, job: &Job, machine: &Machine, free: &Resources) -> bool {
        machine.need.is_needed
            && machine.has_usable_capacity()
            && Resources::of(job.spec()).fits(free)
            && machine.images.contains(&job.spec().image)
            && self.passes_filters(job, machine)
    }
}
