//! Scores: how suitable a machine is for a task. A score is the negative sum of costs in seconds.

use tokio::time::Instant;

use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::job::Job;
use crate::coordination::leader::Leader;
use crate::protocol::cloud::MachineType;
use crate::protocol::jobs::JobSpec;

/// Cost in seconds of a machine that stays empty apart from the task, compared with one that the
/// task fills: tasks are packed onto few machines (bin packing).
const EMPTINESS_WEIGHT_S: f64 = 1.5;
/// Cost in seconds of an on-demand machine for a task that may run on spot machines.
const NON_SPOT_PENALTY_S: f64 = 2.0;
/// Cost in seconds of a machine that no demand needs.
const UNNEEDED_PENALTY_S: f64 = 2.0;

impl Leader {
    /// Returns the machine's score for a task of the job, in seconds; higher is better.
    /// `starts_at`: when the reply to the machine's heartbeat can carry the start.
    pub(crate) fn score(&self, now: Instant, job: &Job, machine: &Machine, starts_at: Instant) -> f64 {
        let spec = job.spec();
        let Some(machine_type) = self.catalog.get(machine.machine_type) else { return f64::MIN };
        let wait_s = starts_at.saturating_duration_since(now).as_secs_f64();
        let fetch_s = self.image_fetch_s(spec, machine);
        let emptiness_s = EMPTINESS_WEIGHT_S * emptiness(spec, machine, machine_type);
        let non_spot_s = non_spot_penalty_s(spec, machine);
        let unneeded_s = unneeded_penalty_s(machine);
        let spot_loss_s = self.expected_spot_loss_s(spec, machine);
        -(wait_s + fetch_s + emptiness_s + non_spot_s + unneeded_s + spot_loss_s)
    }

    /// Expected time, in seconds, for the machine to fetch the job's image; 0 if it has the image.
    pub(crate) fn image_fetch_s(&self, spec: &JobSpec, machine: &Machine) -> f64 {
        if machine.images.contains(&spec.image) {
            0.0
        } else {
            self.catalog.image_fetch_s(spec, machine.machine_type)
        }
    }

    /// Work that is expected to be lost through the loss of a spot machine, in seconds of run time
    /// multiplied by the policy's weight. Without checkpoints all work of a task is lost with its
    /// machine. A longer run makes the loss of the machine more likely, and more work is lost.
    fn expected_spot_loss_s(&self, spec: &JobSpec, machine: &Machine) -> f64 {
        let may_lose_all_work = machine.spot && spec.checkpoint_interval_s <= 0.0;
        if !may_lose_all_work {
            return 0.0;
        }
        let run_s = self.run_estimates.expected_run_s(spec);
        self.autoscaler.spot_losses.rate_per_s() * run_s * run_s * self.config.tuning.spot_risk
    }
}

/// Fraction of the machine's CPUs that stay free when the task is placed on it.
fn emptiness(spec: &JobSpec, machine: &Machine, machine_type: &MachineType) -> f64 {
    let remaining_cpus = machine.free.cpus - spec.cpus;
    if machine_type.cpus > 0.0 { remaining_cpus / machine_type.cpus } else { 0.0 }
}

/// Penalty that keeps work which may run on spot machines off on-demand ones, so that those stay
/// free for work that may not.
fn non_spot_penalty_s(spec: &JobSpec, machine: &Machine) -> f64 {
    if spec.spot && !machine.spot { NON_SPOT_PENALTY_S } else { 0.0 }
}

/// Penalty for a machine that no demand needs, so that it runs empty and can be deleted.
fn unneeded_penalty_s(machine: &Machine) -> f64 {
    if machine.need.is_needed { 0.0 } else { UNNEEDED_PENALTY_S }
}
