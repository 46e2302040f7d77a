//! Scores: how good a place a machine is for a task.

use tokio::time::Instant;

use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::job::Job;
use crate::coordination::leader::Leader;
use crate::protocol::jobs::JobSpec;

impl Leader {
    /// How good a place is, in seconds saved: larger is better.
    pub(crate) fn score(&self, now: Instant, job: &Job, machine: &Machine, report: Instant) -> f64 {
        let spec = job.spec();
        let Some(kind) = self.catalog.get(machine.machine_type) else { return f64::MIN };
        let wait = report.saturating_duration_since(now).as_secs_f64();
        let fetch = self.image_fetch_s(spec, machine);
        let left = machine.free.cpus - spec.cpus;
        let emptiness = if kind.cpus > 0.0 { left / kind.cpus } else { 0.0 };
        // Work that may run on spot machines leaves the others to work that
        // may not.
        let dear = if spec.spot && !machine.spot { 2.0 } else { 0.0 };
        // What nobody counts on is left to run empty and be returned.
        let spare = if machine.need.is_needed { 0.0 } else { 2.0 };
        // Without checkpoints all of a task's work is lost with the machine;
        // the longer it runs, the likelier and the more.
        let risk = if machine.spot && spec.checkpoint_interval_s <= 0.0 {
            let run = self.run_estimates.expected_run_s(spec);
            self.autoscaler.spot_losses.rate_per_s() * run * run * self.config.tuning.spot_risk
        } else {
            0.0
        };
        -(wait + fetch + 1.5 * emptiness + dear + spare + risk)
    }

    /// How long the machine is expected to fetch the image of the job.
    pub(crate) fn image_fetch_s(&self, spec: &JobSpec, machine: &Machine) -> f64 {
        if machine.images.contains(&spec.image) {
            0.0
        } else {
            self.catalog.image_fetch_s(spec, machine.machine_type)
        }
    }
}
