//! Stopping tasks: of jobs that are over or cancelled, until they are proven gone, and of
//! machines that the cloud takes back.

use tokio::time::Instant;

use crate::coordination::fleet::machine::{Machine, Phase};
use crate::coordination::leader::Leader;
use crate::coordination::workers::heartbeats::MAX_COMMANDS;
use crate::coordination::workers::slot::SlotState;
use crate::protocol::jobs::{JobId, TaskId};
use crate::protocol::workers::{Command, Heartbeat, MachineId, TaskState};

impl Leader {
    /// Has a task stopped: at once, and again with every report until it is gone.
    pub(crate) fn stop_task(&mut self, now: Instant, machine: &MachineId, key: &TaskId, grace_s: f64) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        let Some(slot) = m.slots.get_mut(key) else { return };
        if slot.stop_grace_s.is_some_and(|before| before <= grace_s) {
            return;
        }
        slot.stop_grace_s = Some(grace_s);
        let task = key.clone();
        let order = Command::Stop { task, attempt: slot.attempt, grace_s };
        self.outbox.extend(m.push_commands(now, self.term.epoch(), vec![order]));
        self.outbox.add_machine_with_command(machine.clone());
    }

    /// The job is over: whatever runs of it is of no use.
    pub(crate) fn stop_remaining_tasks(&mut self, now: Instant, job: &JobId) {
        let Some(j) = self.jobs.get(job) else { return };
        let all_counted = j.tasks.assigned.len() as u32 == j.tasks.slot_count;
        let found: Vec<(MachineId, TaskId)> = if all_counted {
            let task_id = |index: &u32| TaskId { job: job.clone(), index: *index };
            j.tasks.assigned.iter().map(|(index, machine)| (machine.clone(), task_id(index))).collect()
        } else {
            // Some are where they should not be, and known to their machines alone.
            let slots = |m: &Machine| {
                let of_job = m.slots.keys().filter(|key| &key.job == job);
                of_job.map(|key| (m.id.clone(), key.clone())).collect::<Vec<_>>()
            };
            self.machines.values().flat_map(slots).collect()
        };
        for (machine, key) in found {
            self.stop_task(now, &machine, &key, 0.0);
        }
    }

    /// Sends the stops of cancelled jobs straight to their machines again, until
    /// the tasks are proven gone: one order can be lost, and a machine that reaches
    /// no controller may still be reached. In a lapse as well, since nothing is
    /// decided by it. A machine that has not been heard since, late in the time that
    /// a cancellation has, is deleted: the answer is the proof.
    pub(crate) fn resend_stops(&mut self, now: Instant) {
        if self.is_fenced()
            || !self.jobs.values().any(|j| j.cancellation.committed_at.is_some() && j.tasks.slot_count > 0)
        {
            return;
        }
        let workers = &self.config.settings.cluster.workers;
        let (pause, late) = (workers.report(), workers.cancellation() / 2);
        let may_delete = self.holds_lease(now) && !self.cloud_health.is_down(now);
        let mut lost = Vec::new();
        for m in self.machines.values_mut().filter(|m| !m.slots.is_empty()) {
            let stops: Vec<(Instant, Command)> = m
                .slots
                .iter()
                .filter_map(|(task, slot)| {
                    let at = self.jobs.get(&task.job)?.cancellation.committed_at?;
                    let task = task.clone();
                    Some((at, Command::Stop { task, attempt: slot.attempt, grace_s: 0.0 }))
                })
                .collect();
            let Some(first) = stops.iter().map(|(at, _)| *at).min() else { continue };
            let unheard = m.agent.heartbeat_at.is_none_or(|at| at < first);
            if may_delete && unheard && now >= first + late && m.phase == Phase::Up {
                lost.push(m.id.clone());
            }
            if m.agent.stops_pushed_at.is_some_and(|at| now < at + pause) {
                continue;
            }
            let orders = stops.into_iter().map(|(_, order)| order).take(MAX_COMMANDS).collect();
            self.outbox.extend(m.push_commands(now, self.term.epoch(), orders));
        }
        if !lost.is_empty() {
            tracing::info!(count = lost.len(), "silent machines may hold cancelled tasks; deleting them");
            self.delete_machines(now, lost);
        }
    }

    /// Whether the report shows that stops of a cancelled job have no effect, so
    /// late that the worker must now lose its lease for it. Counted from the
    /// cancellation, not from stops that were missed.
    pub(crate) fn ignores_its_stops(&self, now: Instant, report: &Heartbeat) -> bool {
        let patience = self.config.cancelled_task_reply_window();
        let since = |job: &JobId| self.jobs.get(job).and_then(|j| j.cancellation.committed_at);
        report.tasks.iter().any(|t| {
            !matches!(t.state, TaskState::Exited(_))
                && since(&t.task.job).is_some_and(|at| now >= at + patience)
        })
    }

    /// What can be saved before the cloud takes the machine is saved now. What
    /// cannot be saved may still finish in time; what will not is stopped at once,
    /// since its work is lost anyway, and it starts elsewhere that much sooner
    /// than once the machine has been taken and is known to be gone.
    pub(crate) fn stop_for_preemption_notice(&mut self, now: Instant, machine: &MachineId) {
        let Some(m) = self.machines.get(machine) else { return };
        let Some(taken_at) = m.preempted_at else { return };
        let left = taken_at.saturating_duration_since(now).as_secs_f64();
        let mut stops = Vec::new();
        for (key, slot) in &m.slots {
            let Some(job) = self.jobs.get(&key.job) else { continue };
            let spec = job.spec();
            let saves = spec.checkpoint_interval_s > 0.0
                && slot.state == SlotState::Running
                && spec.checkpoint_save_s < left;
            let waits = matches!(slot.state, SlotState::StartSent { .. } | SlotState::Fetching);
            let ran = now.saturating_duration_since(slot.since).as_secs_f64();
            let run = job.mean_run_s().unwrap_or_else(|| self.run_estimates.expected_run_s(spec));
            // Past the time that was named it may be taken at any moment, or later.
            let ends_late = left > 0.0 && run - ran > left;
            let in_vain = slot.state == SlotState::Running && !job.is_service() && ends_late;
            if slot.stop_grace_s.is_none() && (saves || waits || in_vain) {
                stops.push((key.clone(), if saves { left } else { 0.0 }));
            }
        }
        for (key, grace_s) in stops {
            self.stop_task(now, machine, &key, grace_s);
        }
    }
}
