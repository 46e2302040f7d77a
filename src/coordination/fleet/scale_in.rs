//! Scaling in: deletes machines in the cloud that are not needed or no longer usable.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::cloud::CloudCall;
use crate::coordination::fleet::machine::{Machine, Phase};
use crate::coordination::leader::Leader;
use crate::coordination::leader::effects::PendingOperation;
use crate::coordination::workers::failure_detector::FailureDetector;
use crate::protocol::cloud::MAX_MACHINES_PER_DELETION;
use crate::protocol::workers::MachineId;

/// The minimum time that the cloud bills for a machine. Deleting it earlier saves nothing.
pub(crate) const MIN_BILLING_PERIOD: Duration = Duration::from_secs(60);

/// Why a machine is deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ScaleInReason {
    /// Its worker has sent no heartbeat for longer than a boot may take.
    NeverStarted,
    /// The failure detector considers it dead.
    Dead,
    /// It is cordoned or the cloud has announced its preemption, and no task is on it.
    CordonedOrPreempted,
    /// No task has been on it for a while, and no demand relies on it.
    Idle,
}

impl ScaleInReason {
    /// The reason as it appears in the log, where operators search for it.
    fn as_str(self) -> &'static str {
        match self {
            ScaleInReason::NeverStarted => "never started",
            ScaleInReason::Dead => "dead",
            ScaleInReason::CordonedOrPreempted => "cordoned or preempted",
            ScaleInReason::Idle => "idle",
        }
    }
}

impl Leader {
    /// Deletes machines that are idle and not needed, and machines that are no longer usable.
    /// Before this call, the autoscaler's tick records on each machine whether it is needed.
    pub(crate) fn scale_in(&mut self, now: Instant) {
        let detector = self.liveness.detector(now, &self.config, &self.machines);
        let mut to_delete = Vec::new();
        for machine in self.machines.values() {
            if machine.phase == Phase::Deleting {
                // Its deletion failed, possibly after the cloud carried it out. It is repeated
                // until it succeeds, with a pause before each attempt.
                if !machine.deletion_in_flight && !self.cloud_health.is_in_retry_pause(now) {
                    to_delete.push(machine.id.clone());
                }
                continue;
            }
            let Some(reason) = self.scale_in_reason(now, machine, &detector) else { continue };
            let is_lost = reason == ScaleInReason::Dead || machine.preempted_at.is_some();
            if machine.spot && is_lost && machine.phase == Phase::Up {
                self.autoscaler.spot_losses.record_loss();
            }
            let (epoch, reason) = (self.term.epoch(), reason.as_str());
            tracing::info!(epoch, machine = %machine.id, reason, "returning machine");
            to_delete.push(machine.id.clone());
        }
        if !to_delete.is_empty() {
            self.delete_machines(now, &to_delete);
        }
    }

    /// Why the machine is to be deleted now, if it is.
    fn scale_in_reason(
        &self,
        now: Instant,
        machine: &Machine,
        detector: &FailureDetector,
    ) -> Option<ScaleInReason> {
        let tuning = &self.config.tuning;
        let boot = Duration::from_secs_f64(self.catalog.boot_s(machine.machine_type));
        let is_empty = machine.slots.is_empty() && machine.reconciled;
        match machine.phase {
            Phase::Deleting => None,
            Phase::Booting => {
                let boot_limit = boot.mul_f64(tuning.boot_limit_boots).max(MIN_BILLING_PERIOD);
                (now > machine.requested_at + boot_limit).then_some(ScaleInReason::NeverStarted)
            }
            Phase::Up if detector.is_dead(machine) => Some(ScaleInReason::Dead),
            Phase::Up if is_empty && (machine.cordoned || machine.preempted_at.is_some()) => {
                Some(ScaleInReason::CordonedOrPreempted)
            }
            Phase::Up => {
                let is_long_idle = now > machine.idle_since + boot.mul_f64(tuning.idle_boots);
                let is_billed = now > machine.requested_at + MIN_BILLING_PERIOD;
                let is_cloud_up = !self.cloud_health.is_down(now);
                let is_unneeded = !machine.need.is_needed;
                (is_empty && is_long_idle && is_billed && is_cloud_up && is_unneeded)
                    .then_some(ScaleInReason::Idle)
            }
        }
    }

    /// Requests the deletion of machines, unless this controller may no longer act as the leader.
    pub(crate) fn delete_machines(&mut self, now: Instant, machines: &[MachineId]) {
        let Ok(permit) = self.term.leader_permit(now) else { return };
        for chunk in machines.chunks(MAX_MACHINES_PER_DELETION) {
            for id in chunk {
                if let Some(machine) = self.machines.get_mut(id) {
                    machine.phase = Phase::Deleting;
                    machine.deletion_in_flight = true;
                }
            }
            self.outbox.change_cloud(
                permit,
                PendingOperation::DeleteMachines(chunk.to_vec()),
                CloudCall::Delete(chunk.to_vec()),
            );
        }
    }

    /// Handles a successful deletion: the machines and all tasks on them are provably gone.
    pub(crate) fn handle_machines_deleted(&mut self, now: Instant, machines: &[MachineId]) {
        for id in machines {
            self.clear_slots(now, id);
            let Some(deleted) = self.machines.remove_deleted(id) else { continue };
            if let Some(pool) = self.node_pools.get_mut(&deleted.node_pool) {
                pool.remove_machine(id);
            }
            self.write_node_pool(&deleted.node_pool);
        }
        self.check_failover_complete();
    }

    /// Handles a failed deletion, which the cloud may have carried out: `scale_in` repeats it.
    pub(crate) fn handle_deletion_failed(&mut self, machines: &[MachineId]) {
        for id in machines {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.deletion_in_flight = false;
            }
        }
    }
}
