//! Slack: how long waiting work may still wait. Objectives and deadlines, including those
//! inherited from a job's dependents, determine the latest start of the job's tasks. This module
//! also covers guarantees, the starvation limit, and latency-sensitive work.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::quota::QuotaId;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::coordination::scheduling::latency::LatencySensitiveTask;
use crate::maps::{HashMap, HashSet};
use crate::protocol::jobs::{JobId, JobSpec, Priority};
use crate::settings::Objective;

/// [`Objective::kind`]: the job's tasks start within a time after the job is ready.
const KIND_WAIT: &str = "wait";
/// [`Objective::kind`]: the job ends within a time after it is ready.
const KIND_FINISHED: &str = "finished";
/// [`Objective::kind`]: the job ends within a multiple of its own deadline.
const KIND_DEADLINE: &str = "deadline";

/// Seconds of waiting after which a job that has missed all its objectives has half the slack
/// of a new one.
const HALF_SLACK_AGE_S: f64 = 600.0;
/// Upper bound for the time to the start that an objective or a deadline allows, in seconds.
const MAX_LIMIT_S: f64 = 1e7;

impl Leader {
    /// The latest time at which a job's tasks may start to meet its next objective, of those that
    /// can still be met. A job that has missed all its objectives gets up to the longest boot time
    /// from now as slack, which ranks it behind jobs that need to start sooner to meet an
    /// objective. This slack shrinks with the job's age.
    pub(crate) fn latest_start(&self, job: &Job, now: Instant) -> Instant {
        let next = self.objective_start_times(job, now).filter(|&at| at > now).min();
        next.unwrap_or_else(|| {
            let age = now.saturating_duration_since(job.waiting_since(now));
            let by_age = 1.0 / (1.0 + age.as_secs_f64() / HALF_SLACK_AGE_S);
            now + self.catalog.longest_boot().mul_f64(by_age)
        })
    }

    /// The highest of a job's own priority and those of its dependents.
    pub(crate) fn priority(&self, job: &Job) -> Priority {
        let own = job.spec().priority;
        self.dependencies.inherited(job.id()).map_or(own, |inherited| own.max(inherited.priority))
    }

    /// The times by which a job's tasks should have started: one for each objective of its
    /// class, those for its own deadline, and the one inherited from its dependents.
    fn objective_start_times<'a>(&'a self, job: &'a Job, now: Instant) -> impl Iterator<Item = Instant> + 'a {
        let (spec, ready_at) = (job.spec(), job.waiting_since(now));
        let run = Duration::from_secs_f64(self.run_estimates.expected_run_s(spec));
        let after_ready = self.start_limits_after_ready(spec).map(move |limit| ready_at + limit);
        let by_deadline = self.start_limits_by_deadline(spec).map(move |limit| job.submitted_at + limit);
        let finish_by = self.dependencies.inherited(job.id()).and_then(|urgency| urgency.finish_by);
        let inherited = finish_by.map(move |finish_by| finish_by.checked_sub(run).unwrap_or(finish_by));
        after_ready.chain(by_deadline).chain(inherited)
    }

    /// Time limits for the start of the job's tasks, counted from when the job becomes ready: one
    /// for each objective of its class.
    pub(crate) fn start_limits_after_ready<'a>(
        &'a self,
        spec: &'a JobSpec,
    ) -> impl Iterator<Item = Duration> + 'a {
        let run_s = self.run_estimates.expected_run_s(spec);
        let limits_s = self.objectives_for(spec).filter_map(move |objective| {
            match (objective.kind.as_str(), objective.within_s) {
                (KIND_WAIT, Some(within_s)) => Some(within_s),
                (KIND_FINISHED, Some(within_s)) => Some(within_s - run_s),
                _ => None,
            }
        });
        limits_s.filter_map(limit_from_seconds)
    }

    /// Time limits for the start of the job's tasks, counted from the job's submission: one for
    /// its deadline, and one for each multiple of the deadline that an objective names.
    pub(crate) fn start_limits_by_deadline<'a>(
        &'a self,
        spec: &'a JobSpec,
    ) -> impl Iterator<Item = Duration> + 'a {
        let run_s = self.run_estimates.expected_run_s(spec);
        let objectives = self.objectives_for(spec).filter(|objective| objective.kind == KIND_DEADLINE);
        let multiples =
            objectives.map(|objective| objective.times.unwrap_or(1.0)).chain(std::iter::once(1.0));
        let deadline_s = spec.deadline_s;
        let limits_s = multiples.filter_map(move |multiple| Some(deadline_s? * multiple - run_s));
        limits_s.filter_map(limit_from_seconds)
    }

    /// The objectives in the settings that apply to the job's class or to all classes.
    fn objectives_for<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = &'a Objective> + 'a {
        let objectives = self.config.settings.cluster.objectives.iter();
        objectives.filter(|objective| objective.class.as_ref().is_none_or(|class| *class == spec.class))
    }

    /// The time limits, in seconds, of those objectives for the job's start that are shorter than
    /// a heartbeat interval.
    fn latency_objectives<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = f64> + 'a {
        let heartbeat_interval_s = self.config.settings.cluster.workers.heartbeat_interval_s;
        self.objectives_for(spec)
            .filter(|objective| objective.kind == KIND_WAIT)
            .filter_map(|objective| objective.within_s)
            .filter(move |&within_s| within_s > 0.0 && within_s < heartbeat_interval_s)
    }

    /// Whether an objective requires the job to start within less than a heartbeat interval.
    pub(crate) fn is_latency_sensitive(&self, spec: &JobSpec) -> bool {
        self.latency_objectives(spec).next().is_some()
    }

    /// Whether a task that is started on the machine now meets an objective for its start that is
    /// shorter than a heartbeat interval. Machines that send their heartbeats later cannot be
    /// expected to meet it. If the machine would miss the objective as well, because it has to
    /// fetch the image first, it is compared with the others as for any other job. Also true for
    /// a further replica of a service if the machine has the image.
    pub(crate) fn meets_latency_objective(&self, now: Instant, job: &Job, machine: &Machine) -> bool {
        let waited_s = now.saturating_duration_since(job.waiting_since(now)).as_secs_f64();
        let fetch_s = self.image_fetch_s(job.spec(), machine);
        if job.is_service() && !job.tasks.assigned.is_empty() && fetch_s <= 0.0 {
            // The service runs with a replica missing, which should be started without delay.
            return true;
        }
        self.latency_objectives(job.spec()).any(|within_s| waited_s + fetch_s < within_s)
    }

    /// Remembers the resources of a latency-sensitive job's task, because similar tasks are
    /// likely to follow. Does nothing for other jobs.
    pub(crate) fn record_latency_sensitive_class(&mut self, spec: &JobSpec) {
        if self.is_latency_sensitive(spec) {
            let task = LatencySensitiveTask { resources: Resources::of(spec), allows_spot: spec.spot };
            self.latency_classes.record(&spec.class, task);
        }
    }

    /// Whether a latency-sensitive task could use free capacity of the machine.
    pub(crate) fn expects_latency_sensitive_start(&self, machine: &Machine) -> bool {
        machine.has_usable_capacity() && self.latency_classes.could_use(&machine.free, machine.spot)
    }

    /// Whether the job is starved: it has not started, and has waited for half the time within
    /// which every job must start. Its first task then precedes all other work, however urgent.
    /// Otherwise a stream of more urgent or smaller work could keep the job waiting forever.
    pub(crate) fn is_starved(&self, job: &Job, now: Instant) -> bool {
        job.tasks.assigned.is_empty() && job.record.done.is_empty() && self.has_waited_too_long(job, now)
    }

    /// Whether the job has waited for half the time within which every job must start.
    pub(super) fn has_waited_too_long(&self, job: &Job, now: Instant) -> bool {
        now >= job.waiting_since(now) + self.config.tuning.start_within / 2
    }

    /// Jobs that fit into their team's guarantee together with the team's earlier unfinished
    /// jobs.
    pub(crate) fn within_guarantees(&self) -> HashSet<JobId> {
        let mut within = HashSet::default();
        for (team, mut jobs) in self.jobs_of_guaranteed_teams() {
            jobs.sort_by_key(|job| (job.ready_at, job.id().clone()));
            let guaranteed = self.quotas.get(team).guaranteed;
            let mut total = Resources::default();
            for job in jobs {
                total.add(&unfinished_resources(job));
                if total.fits(&guaranteed) {
                    within.insert(job.id().clone());
                }
            }
        }
        within
    }

    /// The jobs that may start tasks, grouped by team. Only teams with a guarantee are included.
    fn jobs_of_guaranteed_teams(&self) -> HashMap<QuotaId, Vec<&Job>> {
        let has_guarantee = |team: &QuotaId| self.quotas.get(*team).guaranteed != Resources::default();
        let mut by_team: HashMap<QuotaId, Vec<&Job>> = HashMap::default();
        for job in self.jobs.values().filter(|job| job.is_startable() && !job.waits_for_dependencies()) {
            if let Some(team) = job.team.filter(has_guarantee) {
                by_team.entry(team).or_default().push(job);
            }
        }
        by_team
    }
}

/// CPUs and GPUs that all tasks of the job that are not done require together. Guarantees do not cover
/// memory.
fn unfinished_resources(job: &Job) -> Resources {
    let tasks = f64::from(job.unfinished());
    let spec = job.spec();
    Resources { cpus: spec.cpus * tasks, gpus: spec.gpus * tasks, memory_gb: 0.0 }
}

/// Converts seconds to a duration between zero and [`MAX_LIMIT_S`]; values outside are clamped.
/// Returns `None` if the value is not finite.
fn limit_from_seconds(seconds: f64) -> Option<Duration> {
    seconds.is_finite().then(|| Duration::from_secs_f64(seconds.clamp(0.0, MAX_LIMIT_S)))
}
