//! Adds and removes slots. Slots are added and removed only here, so that each change also
//! updates the machine's free capacity and the team's quota use.

use tokio::time::Instant;

use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::coordination::workers::slot::{Slot, SlotState};
use crate::protocol::jobs::TaskId;
use crate::protocol::workers::MachineId;

impl Leader {
    /// Adds a slot for an attempt of a task, and charges its resources to the machine and to
    /// the team's quota. `is_assigned` tells whether the task is assigned to this machine; a
    /// task that is not should not be on it. Does nothing if the machine or the job is not in
    /// memory.
    pub(crate) fn add_slot(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        task: TaskId,
        attempt: u64,
        state: SlotState,
        is_assigned: bool,
    ) {
        let Some(machine) = self.machines.get_mut(machine_id) else { return };
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let resources = Resources::of(job.spec());
        machine.free.sub(&resources);
        if let Some(team) = job.team {
            self.quotas.charge(team, &resources);
        }
        job.tasks.slot_count += 1;
        if state == SlotState::Running {
            job.tasks.running_count += 1;
            machine.images.record_use(&job.record.spec, self.catalog.get(machine.machine_type));
        }
        if is_assigned {
            job.tasks.assigned.insert(task.index, machine_id.clone());
        }
        let slot = Slot {
            attempt,
            state,
            resources,
            team: job.team,
            since: now,
            stop_grace_s: None,
            assigned: is_assigned,
        };
        machine.slots.insert(task, slot);
    }

    /// Removes a slot whose task is provably no longer on the machine, and releases its
    /// resources. If the task was assigned to this machine and is not done, it is requeued.
    pub(crate) fn remove_slot(&mut self, now: Instant, machine_id: &MachineId, task: &TaskId) {
        let Some(machine) = self.machines.get_mut(machine_id) else { return };
        let Some(slot) = machine.slots.remove(task) else { return };
        machine.free.add(&slot.resources);
        if machine.slots.is_empty() {
            machine.idle_since = now;
            // Resets the floating-point error that sums and differences accumulate.
            machine.free = self.catalog.resources(machine.machine_type);
        }
        if let Some(team) = slot.team {
            self.quotas.release(team, &slot.resources);
        }
        self.release_task(machine_id, task, &slot);
    }

    /// Updates the job's counts and task assignment after a slot was removed.
    fn release_task(&mut self, machine_id: &MachineId, task: &TaskId, slot: &Slot) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let was_running = u32::from(slot.state == SlotState::Running);
        job.tasks.slot_count = job.tasks.slot_count.saturating_sub(1);
        job.tasks.running_count = job.tasks.running_count.saturating_sub(was_running);
        if slot.assigned && job.tasks.assigned.get(&task.index) == Some(machine_id) {
            job.tasks.assigned.remove(&task.index);
            if !job.record.done.contains(task.index) {
                job.tasks.requeued.insert(task.index);
                if job.is_service() {
                    self.latency_classes.record_new_work();
                }
                // The job had no task to start until now, so the queue may not contain it.
                if job.pending() == 1 {
                    self.queue.invalidate();
                }
            }
        }
        if job.tasks.slot_count == 0 {
            self.try_archive(&task.job);
        }
    }

    /// Removes all slots of a machine that provably holds no tasks.
    pub(crate) fn clear_slots(&mut self, now: Instant, machine_id: &MachineId) {
        let Some(machine) = self.machines.get(machine_id) else { return };
        let tasks: Vec<TaskId> = machine.slots.keys().cloned().collect();
        for task in tasks {
            self.remove_slot(now, machine_id, &task);
        }
    }
}
