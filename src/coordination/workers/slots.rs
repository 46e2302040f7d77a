//! Slots: the single place where room on machines and of teams is counted.

use tokio::time::Instant;

use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::coordination::workers::slot::{Slot, SlotState};
use crate::protocol::jobs::TaskId;
use crate::protocol::workers::MachineId;

impl Leader {
    pub(crate) fn add_slot(
        &mut self,
        now: Instant,
        machine: &MachineId,
        key: TaskId,
        attempt: u64,
        state: SlotState,
        wanted: bool,
    ) {
        let (Some(m), Some(job)) = (self.machines.get_mut(machine), self.jobs.get_mut(&key.job)) else {
            return;
        };
        let room = Resources::of(job.spec());
        m.free.sub(&room);
        if let Some(team) = job.team {
            self.quotas.charge(team, &room);
        }
        job.tasks.slot_count += 1;
        if state == SlotState::Running {
            job.tasks.running_count += 1;
            m.images.record_use(&job.record.spec, self.catalog.get(m.machine_type));
        }
        if wanted {
            job.tasks.assigned.insert(key.index, machine.clone());
        }
        let slot = Slot {
            attempt,
            state,
            resources: room,
            team: job.team,
            since: now,
            stop_grace_s: None,
            assigned: wanted,
        };
        m.slots.insert(key, slot);
    }

    /// The task is provably not on the machine any more.
    pub(crate) fn remove_slot(&mut self, now: Instant, machine: &MachineId, key: &TaskId) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        let Some(slot) = m.slots.remove(key) else { return };
        m.free.add(&slot.resources);
        if m.slots.is_empty() {
            m.idle_since = now;
            m.free = self.catalog.resources(m.machine_type);
        }
        if let Some(team) = slot.team {
            self.quotas.release(team, &slot.resources);
        }
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        job.tasks.slot_count = job.tasks.slot_count.saturating_sub(1);
        job.tasks.running_count =
            job.tasks.running_count.saturating_sub(u32::from(slot.state == SlotState::Running));
        if slot.assigned && job.tasks.assigned.get(&key.index) == Some(machine) {
            job.tasks.assigned.remove(&key.index);
            if !job.record.done.contains(key.index) {
                job.tasks.requeued.insert(key.index);
                if job.is_service() {
                    self.latency_classes.announce_work();
                }
                // A job that had nothing waiting is not in the queue.
                if job.pending() == 1 {
                    self.queue.invalidate();
                }
            }
        }
        if job.tasks.slot_count == 0 {
            self.try_archive(&key.job);
        }
    }

    pub(crate) fn clear_slots(&mut self, now: Instant, machine: &MachineId) {
        let keys: Vec<TaskId> =
            self.machines.get(machine).map(|m| m.slots.keys().cloned().collect()).unwrap_or_default();
        for key in keys {
            self.remove_slot(now, machine, &key);
        }
    }
}
