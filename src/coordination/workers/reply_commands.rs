//! Commands in a heartbeat's reply for the tasks that the heartbeat lists: stops and reaps.

use crate::coordination::fleet::machine::Machine;
use crate::coordination::leader::Leader;
use crate::protocol::jobs::TaskId;
use crate::protocol::workers::{Command, ExitCause, Heartbeat, TaskState, TaskStatus};

/// Maximum number of commands in one reply; further ones are sent in reply to the next
/// heartbeat. Keeps the reply well below its size limit.
pub(super) const MAX_COMMANDS: usize = 200;

impl Leader {
    /// Returns stops for tasks that must not continue, then reaps for exited tasks that the
    /// worker no longer needs to list; at most [`MAX_COMMANDS`].
    pub(super) fn stop_and_reap_commands(&self, heartbeat: &Heartbeat) -> Vec<Command> {
        let Some(machine) = self.machines.get(&heartbeat.machine) else { return Vec::new() };
        let mut commands: Vec<Command> =
            heartbeat.tasks.iter().filter_map(|status| self.command_for_task(machine, status)).collect();
        // Stops come first, so that reaps cannot displace them: the reply renews the lease under
        // which the tasks to be stopped run.
        commands.sort_by_key(|command| matches!(command, Command::Reap { .. }));
        commands.truncate(MAX_COMMANDS);
        commands
    }

    /// Returns the stop or reap for one listed task, if it needs one.
    fn command_for_task(&self, machine: &Machine, status: &TaskStatus) -> Option<Command> {
        let (task, attempt) = (status.task.clone(), status.attempt);
        if let TaskState::Exited(cause) = status.state {
            // While the worker lists the attempt, a copy of its start has no effect.
            let must_stay_listed = (cause == ExitCause::Done && self.may_be_uncommitted(&task))
                || machine.recent_starts.contains(&task, attempt);
            return (!must_stay_listed).then_some(Command::Reap { task, attempt });
        }
        let Some(slot) = machine.slots.get(&task) else {
            // The task's job is not in memory: it is terminal, unreadable or was never admitted.
            return Some(Command::Stop { task, attempt, grace_s: 0.0 });
        };
        let grace_s = slot.stop_grace_s?;
        // A task that saves a checkpoint is already stopping; only a stop without grace may
        // interrupt it.
        let is_needed = status.state != TaskState::Saving || grace_s <= 0.0;
        is_needed.then_some(Command::Stop { task, attempt, grace_s })
    }

    /// Whether the task, which is done, may still be missing among the done tasks in its job's
    /// stored record. While it may, the worker must keep listing the task. If the job is not in
    /// memory, its record may be unreadable; otherwise the job is terminal, and the task need not
    /// be recorded.
    fn may_be_uncommitted(&self, task: &TaskId) -> bool {
        match self.jobs.get(&task.job) {
            Some(job) => {
                job.record.terminal_state().is_none()
                    && !job.is_service()
                    && !job.stored.done.contains(task.index)
            }
            None => self.failover.unreadable().contains_job(&task.job),
        }
    }
}
