//! Decides which replies are deferred because a start is likely to follow, and what a deferred
//! reply contains when it is sent. The controller keeps the deferred replies themselves, in
//! [`super::deferred_replies::DeferredReplies`].

use tokio::time::Instant;

use crate::coordination::fleet::machine::HeartbeatStamp;
use crate::coordination::leader::Leader;
use crate::coordination::workers::heartbeats::HeartbeatReply;
use crate::coordination::workers::reply_commands::MAX_COMMANDS;
use crate::protocol::workers::{Heartbeat, MachineId, TaskState, TaskStatus};

impl Leader {
    /// Whether the empty reply to a heartbeat that was just handled should be deferred because a
    /// latency-sensitive start on the machine is likely. The reply is not deferred if the
    /// machine has tasks that end by themselves, because its next heartbeat may show free
    /// capacity or results.
    pub fn may_defer_reply(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.fencing_token == self.term.epoch()
            && heartbeat.preemption_notice_s.is_none()
            && heartbeat.tasks.iter().all(|status| self.is_running_replica(status))
            && self
                .machines
                .get(&heartbeat.machine)
                .is_some_and(|machine| self.expects_latency_sensitive_start(machine))
    }

    /// Whether the task is a running replica of a service that is not being cancelled.
    fn is_running_replica(&self, status: &TaskStatus) -> bool {
        status.state == TaskState::Running
            && self.jobs.get(&status.task.job).is_some_and(|job| job.is_startable() && job.is_service())
    }

    /// Builds the deferred reply to a heartbeat that was handled earlier. The tasks that the
    /// heartbeat lists are already reconciled. The worker is redirected if a newer heartbeat of
    /// the machine was handled since, because only the reply to the newer one is valid.
    pub fn decide_deferred_reply(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatReply {
        if self.is_fenced()
            || !self.is_last_heartbeat(heartbeat)
            || self.ignores_cancellation_stops(now, heartbeat)
        {
            return HeartbeatReply::Redirect;
        }
        if !self.holds_lease(now) {
            return self.handle_heartbeat_after_lease(now, heartbeat);
        }
        let machine = &heartbeat.machine;
        let mut commands = self.stop_and_reap_commands(heartbeat);
        let max_starts = MAX_COMMANDS.saturating_sub(commands.len());
        let is_partitioned =
            self.machines.get(machine).is_some_and(|machine| machine.worker.one_way_partitioned);
        if max_starts > 0 && !is_partitioned {
            self.place_tasks(now, machine, heartbeat.sequence, max_starts, &mut commands);
        }
        HeartbeatReply::Commands { fencing_token: self.term.epoch(), commands }
    }

    /// Whether no newer heartbeat of the machine has been handled.
    fn is_last_heartbeat(&self, heartbeat: &Heartbeat) -> bool {
        let stamp = HeartbeatStamp::of(heartbeat);
        self.machines
            .get(&heartbeat.machine)
            .is_some_and(|machine| machine.worker.last_heartbeat == Some(stamp))
    }

    /// Returns the machines whose deferred replies should be decided now: those with new
    /// commands, or all of them if latency-sensitive work was queued since the last call. In the
    /// latter case machines that have an image of that work come first, then those that demand
    /// needs, then those with the least free CPUs.
    pub fn deferred_replies_to_decide<'a>(
        &mut self,
        deferred: impl Iterator<Item = &'a MachineId>,
    ) -> Vec<MachineId> {
        let with_commands = self.outbox.take_machines_with_commands();
        if !self.latency_classes.take_new_work() {
            return with_commands;
        }
        let waiting_images = self.images_of_latency_sensitive_work();
        let mut machines: Vec<MachineId> = deferred.cloned().collect();
        machines.sort_by_cached_key(|id| {
            let machine = self.machines.get(id);
            let has_image = machine
                .is_some_and(|machine| waiting_images.iter().any(|image| machine.images.contains(image)));
            let is_needed = machine.is_some_and(|machine| machine.need.is_needed);
            // The bits of a non-negative float sort like the float itself.
            let free_cpus = machine.map_or(0.0, |machine| machine.free.cpus).max(0.0).to_bits();
            (!has_image, !is_needed, free_cpus, id.clone())
        });
        machines
    }

    /// Images of the latency-sensitive jobs that have tasks to start.
    fn images_of_latency_sensitive_work(&self) -> Vec<&str> {
        let waiting = self.jobs.values().filter(|job| job.pending() > 0);
        let sensitive = waiting.filter(|job| self.is_latency_sensitive(job.spec()));
        sensitive.map(|job| job.spec().image.as_str()).collect()
    }
}
