//! Stopping tasks: those of terminal and cancelled jobs, until they are proven gone, and those
//! on machines that the cloud is about to preempt.

use tokio::time::Instant;

use crate::coordination::fleet::machine::{Machine, Phase};
use crate::coordination::jobs::job::Job;
use crate::coordination::leader::Leader;
use crate::coordination::workers::reply_commands::MAX_COMMANDS;
use crate::coordination::workers::slot::{Slot, SlotState};
use crate::maps::HashMap;
use crate::protocol::jobs::{JobId, TaskId};
use crate::protocol::workers::{Command, Heartbeat, MachineId};

/// The stop of a cancelled job's task.
struct CancellationStop {
    /// When the job's cancellation was committed.
    committed_at: Instant,
    /// The stop command.
    command: Command,
}

impl Leader {
    /// Stops a task: immediately by a pushed command, and again in every reply to its machine
    /// until the task is gone. `grace_s`: seconds that the task has to save a checkpoint. Does
    /// nothing if the task is already being stopped with the same or a shorter grace period.
    pub(crate) fn stop_task(&mut self, now: Instant, machine: &MachineId, task: &TaskId, grace_s: f64) {
        let Some(entry) = self.machines.get_mut(machine) else { return };
        let Some(slot) = entry.slots.get_mut(task) else { return };
        if slot.stop_grace_s.is_some_and(|earlier| earlier <= grace_s) {
            return;
        }
        slot.stop_grace_s = Some(grace_s);
        let command = Command::Stop { task: task.clone(), attempt: slot.attempt, grace_s };
        self.outbox.extend(entry.push_commands(now, self.term.epoch(), vec![command]));
        self.outbox.add_machine_with_command(machine.clone());
    }

    /// Stops all tasks of a terminal job, whose results are no longer needed.
    pub(crate) fn stop_remaining_tasks(&mut self, now: Instant, job: &JobId) {
        for (machine, task) in self.slots_of(job) {
            self.stop_task(now, &machine, &task, 0.0);
        }
    }

    /// Returns the tasks in all slots of the job, with their machines.
    fn slots_of(&self, job_id: &JobId) -> Vec<(MachineId, TaskId)> {
        let Some(job) = self.jobs.get(job_id) else { return Vec::new() };
        let all_slots_assigned = job.tasks.assigned_count() == job.tasks.slot_count;
        if all_slots_assigned {
            let task_id = |index: u32| TaskId { job: job_id.clone(), index };
            let assigned = job.tasks.assigned.iter();
            return assigned.map(|(index, machine)| (machine.clone(), task_id(*index))).collect();
        }
        // Some slots hold tasks that should not be on their machine and are not in `assigned`.
        // Only the machines list those.
        let slots = |machine: &Machine| {
            let of_job = machine.slots.keys().filter(|task| &task.job == job_id);
            of_job.map(|task| (machine.id.clone(), task.clone())).collect::<Vec<_>>()
        };
        self.machines.values().flat_map(slots).collect()
    }

    /// Pushes the stops of cancelled jobs to their machines again until the tasks are proven
    /// gone, because a command can be lost, and a machine that cannot reach any controller may
    /// still be reachable. This also happens without a valid lease, since a repeated stop decides
    /// nothing new.
    ///
    /// A machine that has sent no heartbeat since the cancellation is deleted once half of the
    /// time that a cancellation may take has passed: when the cloud confirms the deletion, the
    /// tasks are proven gone.
    pub(crate) fn resend_stops(&mut self, now: Instant) {
        if self.is_fenced() || !self.has_cancelled_tasks() {
            return;
        }
        let workers = &self.config.settings.cluster.workers;
        let (push_interval, delete_after) = (workers.heartbeat_interval(), workers.cancellation() / 2);
        let may_delete = self.holds_lease(now) && !self.cloud_health.is_down(now);
        let mut silent_machines = Vec::new();
        for machine in self.machines.values_mut().filter(|machine| !machine.slots.is_empty()) {
            let stops = cancellation_stops(&self.jobs, machine);
            let Some(first_cancelled_at) = stops.iter().map(|stop| stop.committed_at).min() else { continue };
            let is_silent = machine.worker.heartbeat_at.is_none_or(|at| at < first_cancelled_at);
            let is_overdue = now >= first_cancelled_at + delete_after;
            if may_delete && is_silent && is_overdue && machine.phase == Phase::Up {
                silent_machines.push(machine.id.clone());
            }
            if machine.worker.commands_pushed_at.is_some_and(|at| now < at + push_interval) {
                continue;
            }
            let commands = stops.into_iter().map(|stop| stop.command).take(MAX_COMMANDS).collect();
            self.outbox.extend(machine.push_commands(now, self.term.epoch(), commands));
        }
        if !silent_machines.is_empty() {
            tracing::info!(
                count = silent_machines.len(),
                "silent machines may hold cancelled tasks; deleting them"
            );
            self.delete_machines(now, &silent_machines);
        }
    }

    /// Whether any task of a job whose cancellation is committed may still be on a machine.
    fn has_cancelled_tasks(&self) -> bool {
        self.jobs.values().any(|job| job.cancellation.committed_at.is_some() && job.tasks.slot_count > 0)
    }

    /// Whether the heartbeat lists a task that has not exited although the cancellation of its
    /// job was committed at least [`Config::cancelled_task_reply_window`] ago. The worker must
    /// then lose its lease. The window starts with the cancellation, even if the worker has not
    /// received the stops.
    ///
    /// [`Config::cancelled_task_reply_window`]: crate::coordination::config::Config::cancelled_task_reply_window
    pub(crate) fn ignores_cancellation_stops(&self, now: Instant, heartbeat: &Heartbeat) -> bool {
        let reply_window = self.config.cancelled_task_reply_window();
        let cancelled_at = |job: &JobId| self.jobs.get(job).and_then(|job| job.cancellation.committed_at);
        heartbeat.tasks.iter().any(|status| {
            !status.state.has_exited()
                && cancelled_at(&status.task.job).is_some_and(|at| now >= at + reply_window)
        })
    }

    /// Stops tasks on the machine if the cloud has announced its preemption.
    pub(super) fn stop_for_preemption_notice(&mut self, now: Instant, machine: &MachineId) {
        let Some(entry) = self.machines.get(machine) else { return };
        let Some(preempted_at) = entry.preempted_at else { return };
        let remaining_s = preempted_at.saturating_duration_since(now).as_secs_f64();
        let mut stops = Vec::new();
        for (task, slot) in &entry.slots {
            let Some(job) = self.jobs.get(&task.job) else { continue };
            if let Some(grace_s) = self.stop_grace_before_preemption(now, job, slot, remaining_s) {
                stops.push((task.clone(), grace_s));
            }
        }
        for (task, grace_s) in stops {
            self.stop_task(now, machine, &task, grace_s);
        }
    }

    /// Returns the grace period in seconds with which a task is stopped because its machine is
    /// preempted in `remaining_s` seconds; `None` if the task is not stopped.
    ///
    /// A task that can save a checkpoint before the preemption saves it now. Any other running task
    /// runs on if it is expected to finish in time, or is a replica of a service. Otherwise it is
    /// stopped immediately: its work is lost anyway, and it restarts elsewhere sooner than it
    /// could after the machine has been preempted and is proven gone. A task that is not running
    /// yet is stopped immediately, too.
    fn stop_grace_before_preemption(
        &self,
        now: Instant,
        job: &Job,
        slot: &Slot,
        remaining_s: f64,
    ) -> Option<f64> {
        if slot.stop_grace_s.is_some() {
            return None;
        }
        match slot.state {
            SlotState::StartSent { .. } | SlotState::Fetching => Some(0.0),
            SlotState::Saving => None,
            SlotState::Running => {
                let spec = job.spec();
                let can_save = spec.checkpoint_interval_s > 0.0 && spec.checkpoint_save_s < remaining_s;
                if can_save {
                    return Some(remaining_s);
                }
                let ran_s = now.saturating_duration_since(slot.since).as_secs_f64();
                let run_s = job.mean_run_s().unwrap_or_else(|| self.run_estimates.expected_run_s(spec));
                // Once the announced time has passed, the task runs on: the preemption may come
                // at any moment, but also late enough for the task to finish.
                let ends_too_late = remaining_s > 0.0 && run_s - ran_s > remaining_s;
                (!job.is_service() && ends_too_late).then_some(0.0)
            }
        }
    }
}

/// Returns the stops for all tasks on the machine whose job's cancellation is committed.
fn cancellation_stops(jobs: &HashMap<JobId, Job>, machine: &Machine) -> Vec<CancellationStop> {
    let stop = |(task, slot): (&TaskId, &Slot)| {
        let committed_at = jobs.get(&task.job)?.cancellation.committed_at?;
        let command = Command::Stop { task: task.clone(), attempt: slot.attempt, grace_s: 0.0 };
        Some(CancellationStop { committed_at, command })
    };
    machine.slots.iter().filter_map(stop).collect()
}
