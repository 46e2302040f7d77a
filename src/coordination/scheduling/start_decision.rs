//! Decides whether a job's next task starts on a given machine now, or waits for a write, for
//! reconciliation, or for a better machine.

use tokio::time::Instant;

use crate::coordination::fleet::machine::Machine;
use crate::coordination::fleet::machine_table::MachineTable;
use crate::coordination::jobs::job::Job;
use crate::coordination::leader::Leader;
use crate::coordination::scheduling::queue::QueuedJob;
use crate::protocol::workers::MachineId;

/// A machine is clearly better than another if its score is higher by more than this, in seconds.
const MIN_SCORE_ADVANTAGE_S: f64 = 0.5;

impl Leader {
    /// Whether the job's next task may and should start on this machine. The conditions are
    /// checked in order of increasing cost; the last one draws a random sample.
    pub(super) fn should_start(&mut self, now: Instant, queued: &QueuedJob, machine_id: &MachineId) -> bool {
        let failover_complete = self.failover.is_complete();
        let Some(job) = self.jobs.get_mut(&queued.job) else { return false };
        if job.pending() == 0
            || job.must_back_off(now)
            || must_await_orphan_tasks(now, job, &self.machines)
            || must_await_failover(job, failover_complete)
        {
            return false;
        }
        let Some(task) = job.next_pending(first_startable_task(job, failover_complete)) else { return false };
        if task >= job.stored.started_high_water {
            // Before the task starts, the record must say that it may have started.
            self.raise_started_high_water(now, &queued.job);
            return false;
        }
        let Some(job) = self.jobs.get(&queued.job) else { return false };
        let Some(machine) = self.machines.get(machine_id) else { return false };
        if !self.passes_filters(job, machine) || !self.is_within_quota(job) {
            return false;
        }
        if queued.starved {
            // Only the first task of a starved job precedes all other work.
            return job.tasks.assigned.is_empty();
        }
        // A better machine would send its heartbeat too late.
        if self.meets_latency_objective(now, job, machine) {
            return true;
        }
        if self.should_await_machine_with_image(job, machine) || self.should_leave_empty(job, machine) {
            return false;
        }
        let score_here = self.score(now, job, machine, now);
        !self.better_machines_suffice(now, queued, machine_id, score_here)
    }

    /// Whether a latency-sensitive task should wait for a machine that has its image, because
    /// such a machine will send a heartbeat before this one has fetched the image. All such
    /// machines are checked rather than a sample: with a sample, one of many machines without the
    /// image would start the task prematurely.
    fn should_await_machine_with_image(&self, job: &Job, machine: &Machine) -> bool {
        self.is_latency_sensitive(job.spec())
            && self.image_fetch_s(job.spec(), machine) > 0.0
            && self.fits_on_machines_with_image(job)
    }

    /// Whether the machine should be left to run empty: no demand needs it, and the needed
    /// machines have free capacity for all waiting tasks of the job.
    fn should_leave_empty(&self, job: &Job, machine: &Machine) -> bool {
        !machine.need.is_needed && self.fits_on_needed_machines(job)
    }

    /// Whether machines that are clearly better than this one have capacity for all waiting tasks
    /// of the job. Estimated from a random sample of the machines with free capacity.
    fn better_machines_suffice(
        &mut self,
        now: Instant,
        queued: &QueuedJob,
        machine_id: &MachineId,
        score_here: f64,
    ) -> bool {
        let heartbeat_interval = self.config.settings.cluster.workers.heartbeat_interval();
        let task = queued.task_resources;
        let sample = self.sample_candidates(machine_id, &task);
        let Some(job) = self.jobs.get(&queued.job) else { return true };
        let better_capacity: u32 = sample
            .machines
            .iter()
            .filter_map(|id| self.machines.get(id))
            .filter(|other| self.passes_filters(job, other))
            .filter(|other| {
                let last_heartbeat = other.worker.heartbeat_at;
                let next_heartbeat = last_heartbeat.map_or(now, |at| (at + heartbeat_interval).max(now));
                self.score(now, job, other, next_heartbeat) > score_here + MIN_SCORE_ADVANTAGE_S
            })
            .map(|other| task.times_in(&other.free))
            .fold(0, u32::saturating_add);
        let sampled = sample.machines.len().max(1) as f64;
        let estimated_better_capacity = f64::from(better_capacity) * sample.population / sampled;
        estimated_better_capacity >= f64::from(job.pending())
    }
}

/// Index of the first task of the job that may start. During a failover, the tasks below it may
/// still be running on a machine that is not reconciled. Tasks that never started, and tasks of
/// jobs admitted in this epoch, cannot.
pub(super) fn first_startable_task(job: &Job, failover_complete: bool) -> u32 {
    if failover_complete { 0 } else { job.tasks.unreconciled_below }
}

/// Whether machines may still hold orphan tasks of a job that was restored after the failover,
/// because it was believed terminal or its record was unreadable. None of its tasks is started
/// until `not_before`, when every machine has sent a heartbeat or its lease has expired, and until
/// the orphan tasks on all machines are gone.
fn must_await_orphan_tasks(now: Instant, job: &Job, machines: &MachineTable) -> bool {
    let has_orphan_tasks = || machines.values().any(|machine| machine.has_orphan_tasks);
    job.not_before.is_some_and(|not_before| now < not_before || has_orphan_tasks())
}

/// Whether all tasks of the job have to wait until the failover is complete. Some of them may be
/// running on unreconciled machines, and their zones decide where the other tasks may start.
fn must_await_failover(job: &Job, failover_complete: bool) -> bool {
    let is_bound_to_zones = job.spec().one_zone || job.spec().spread;
    !failover_complete && job.tasks.unreconciled_below > 0 && is_bound_to_zones
}
