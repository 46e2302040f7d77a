//! Reconciliation of the tasks that a heartbeat lists with the leader's slots of the machine.
//! The worker's list is authoritative: slots are updated to match it.

use tokio::time::Instant;

use crate::coordination::leader::Leader;
use crate::coordination::workers::slot::SlotState;
use crate::maps::HashSet;
use crate::protocol::jobs::{JobId, TaskId};
use crate::protocol::workers::{ExitCause, Heartbeat, MachineId, TaskState, TaskStatus};

impl Leader {
    /// Reconciles the machine's slots with the tasks listed by a heartbeat with this epoch's
    /// fencing token.
    pub(super) fn reconcile_tasks(&mut self, now: Instant, heartbeat: &Heartbeat) {
        let machine = &heartbeat.machine;
        let mut present: HashSet<&TaskId> = HashSet::default();
        let mut has_orphan_tasks = false;
        for status in &heartbeat.tasks {
            let state = match status.state {
                TaskState::Exited(cause) => {
                    self.handle_task_exit(now, machine, status, cause);
                    continue;
                }
                TaskState::Fetching => SlotState::Fetching,
                TaskState::Running => SlotState::Running,
                TaskState::Saving => SlotState::Saving,
            };
            let has_job = self.reconcile_present_task(now, machine, status, state);
            has_orphan_tasks |= !has_job;
            present.insert(&status.task);
        }
        self.set_orphan_tasks(heartbeat, has_orphan_tasks);
        self.remove_unlisted_slots(now, heartbeat, &present);
    }

    /// Records whether the machine has orphan tasks, i.e. tasks whose job is not in memory.
    fn set_orphan_tasks(&mut self, heartbeat: &Heartbeat, has_orphan_tasks: bool) {
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return };
        let had_orphan_tasks = std::mem::replace(&mut machine.has_orphan_tasks, has_orphan_tasks);
        if has_orphan_tasks && !had_orphan_tasks {
            self.record_orphan_tasks(heartbeat);
        }
    }

    /// Logs and counts the orphan tasks of a machine that had none before. The tasks are stopped,
    /// and until they are gone the machine's whole capacity counts against every team's limit.
    fn record_orphan_tasks(&mut self, heartbeat: &Heartbeat) {
        let mut orphans = heartbeat
            .tasks
            .iter()
            .filter(|status| !status.state.has_exited() && !self.jobs.contains_key(&status.task.job));
        let count = orphans.clone().count();
        if let Some(first) = orphans.next() {
            tracing::error!(
                epoch = self.term.epoch(),
                machine = %heartbeat.machine,
                count,
                job = %first.task.job,
                task = first.task.index,
                attempt = first.attempt,
                "orphan tasks found, whose job is not in memory; stopping them"
            );
        }
        self.counters.orphan_tasks += count as u64;
        // The capacity of machines with orphan tasks is counted when the queue is ordered.
        self.queue.invalidate();
    }

    /// Removes the slots whose tasks the heartbeat does not list. Either the task has ended, or its
    /// start was in the reply to an earlier heartbeat, which the worker drops if it arrives only
    /// now. A start in the reply to this heartbeat or a later one cannot be listed yet, so its
    /// slot is kept.
    fn remove_unlisted_slots(&mut self, now: Instant, heartbeat: &Heartbeat, present: &HashSet<&TaskId>) {
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return };
        let is_sent_later = |state: SlotState| matches!(state, SlotState::StartSent { sequence } if sequence >= heartbeat.sequence);
        let unlisted =
            machine.slots.iter().filter(|(task, slot)| !present.contains(task) && !is_sent_later(slot.state));
        let has_lost_start =
            unlisted.clone().any(|(_, slot)| matches!(slot.state, SlotState::StartSent { .. }));
        let unlisted: Vec<TaskId> = unlisted.map(|(task, _)| task.clone()).collect();
        if has_lost_start {
            // The reply that carried the start did not reach the worker in time.
            machine.worker.acks.record_missed(now);
        }
        for task in unlisted {
            self.remove_slot(now, &heartbeat.machine, &task);
        }
    }

    /// Reconciles a task that is on the machine and has not exited. Returns false if its job is
    /// not in memory.
    fn reconcile_present_task(
        &mut self,
        now: Instant,
        machine: &MachineId,
        status: &TaskStatus,
        state: SlotState,
    ) -> bool {
        if self.update_slot_state(now, machine, status, state) {
            return true;
        }
        // The worker has another attempt than the one that this leader sent, if it sent any. It
        // refuses the sent one because the task is already there; the listed one is adopted.
        self.remove_slot(now, machine, &status.task);
        self.adopt_task(now, machine, status, state)
    }

    /// Updates the state of the listed attempt's slot. Returns false if the machine has no slot
    /// for this attempt.
    fn update_slot_state(
        &mut self,
        now: Instant,
        machine: &MachineId,
        status: &TaskStatus,
        state: SlotState,
    ) -> bool {
        let Some(machine) = self.machines.get_mut(machine) else { return false };
        let slot = machine.slots.get_mut(&status.task);
        let Some(slot) = slot.filter(|slot| slot.attempt == status.attempt) else { return false };
        if matches!(slot.state, SlotState::StartSent { .. }) {
            machine.worker.acks.record_acknowledged();
        }
        if slot.state == state {
            return true;
        }
        let was_running = slot.state == SlotState::Running;
        let is_running = state == SlotState::Running;
        slot.state = state;
        slot.since = now;
        if let Some(job) = self.jobs.get_mut(&status.task.job) {
            job.tasks.running_count =
                (job.tasks.running_count + u32::from(is_running)).saturating_sub(u32::from(was_running));
            if is_running {
                machine.images.record_use(&job.record.spec, self.catalog.get(machine.machine_type));
            }
        }
        true
    }

    /// Adds a slot for a task that an earlier leader started. The task is assigned to the
    /// machine, or stopped if it should not be there. Returns false if its job is not in memory.
    fn adopt_task(
        &mut self,
        now: Instant,
        machine: &MachineId,
        status: &TaskStatus,
        state: SlotState,
    ) -> bool {
        let task = &status.task;
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let is_wanted = job.is_startable()
            && !job.record.done.contains(task.index)
            && !job.tasks.assigned.contains_key(&task.index);
        self.add_slot(now, machine, task.clone(), status.attempt, state, is_wanted);
        if !is_wanted
            && let Some(slot) = self.machines.get_mut(machine).and_then(|machine| machine.slots.get_mut(task))
        {
            slot.stop_grace_s = Some(0.0);
        }
        true
    }

    /// Handles a listed task that has exited. Its slot is removed if it belongs to this attempt.
    fn handle_task_exit(&mut self, now: Instant, machine: &MachineId, status: &TaskStatus, cause: ExitCause) {
        let task = &status.task;
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.recent_starts.record_exited(task, status.attempt);
        }
        let slot = self
            .machines
            .get(machine)
            .and_then(|machine| machine.slots.get(task))
            .filter(|slot| slot.attempt == status.attempt);
        let has_slot = slot.is_some();
        let confirms_start = slot.is_some_and(|slot| matches!(slot.state, SlotState::StartSent { .. }));
        if let Some(slot) = slot.filter(|slot| cause == ExitCause::Done && slot.state == SlotState::Running) {
            let run_s = now.saturating_duration_since(slot.since).as_secs_f64();
            self.record_run(&task.job, run_s);
        }
        match cause {
            ExitCause::Done => self.handle_task_done(now, machine, task),
            ExitCause::Error | ExitCause::Unknown if has_slot => {
                self.record_task_failure(now, machine, &task.job);
            }
            _ => {}
        }
        if confirms_start && let Some(machine) = self.machines.get_mut(machine) {
            machine.worker.acks.record_acknowledged();
        }
        if has_slot {
            tracing::debug!(%machine, job = %task.job, task = task.index, ?cause, "task exited");
            self.remove_slot(now, machine, task);
        }
    }

    /// Handles a task that was completed on the machine, by any attempt.
    fn handle_task_done(&mut self, now: Instant, machine: &MachineId, task: &TaskId) {
        self.mark_task_done(now, &task.job, task.index);
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.failures.clear();
        }
        // The result is kept, so another machine that also runs the task does redundant work.
        let job = self.jobs.get(&task.job);
        let assigned = job.and_then(|job| job.tasks.assigned.get(&task.index)).cloned();
        if let Some(other) = assigned.filter(|assigned| assigned != machine) {
            self.stop_task(now, &other, task, 0.0);
        }
    }

    /// Records the run time of a completed task for the run time estimates.
    fn record_run(&mut self, job: &JobId, run_s: f64) {
        let Some(job) = self.jobs.get_mut(job) else { return };
        job.record_run(run_s);
        self.run_estimates.record(job.spec(), run_s);
    }
}
