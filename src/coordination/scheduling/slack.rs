//! Slack: how long waiting work may still wait. Objectives and deadlines become the latest
//! start of a job's tasks, with what a job inherits from its dependents; beside them stand
//! guarantees, the bound on starvation, and latency-sensitive work.

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

/// [`Objective::kind`] of a start within a time of being ready.
const KIND_WAIT: &str = "wait";
/// [`Objective::kind`] of an end within a time of being ready.
const KIND_FINISHED: &str = "finished";
/// [`Objective::kind`] of an end within a multiple of the job's own deadline.
const KIND_DEADLINE: &str = "deadline";

/// After so many seconds of waiting a job that has missed all its objectives has half the
/// slack of a new one.
const HALF_SLACK_AGE_S: f64 = 600.0;
/// Longest time that an objective or deadline is taken for, in seconds.
const MAX_LIMIT_S: f64 = 1e7;

impl Leader {
    /// The latest start of a job's tasks at which the next of its objectives that can still be
    /// met is met. A job that has missed all of them goes behind those for which haste still
    /// helps, by a boot time, and then by age.
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

    /// When a job's tasks should have started: by each objective for its class, by its
    /// deadline, and by those of its dependents.
    fn objective_start_times<'a>(&'a self, job: &'a Job, now: Instant) -> impl Iterator<Item = Instant> + 'a {
        let (spec, ready_at) = (job.spec(), job.waiting_since(now));
        let run = Duration::from_secs_f64(self.run_estimates.expected_run_s(spec));
        let after_ready = self.start_limits_after_ready(spec).map(move |limit| ready_at + limit);
        let by_deadline = self.start_limits_by_deadline(spec).map(move |limit| job.submitted_at + limit);
        let finish_by = self.dependencies.inherited(job.id()).and_then(|urgency| urgency.finish_by);
        let inherited = finish_by.map(move |finish_by| finish_by.checked_sub(run).unwrap_or(finish_by));
        after_ready.chain(by_deadline).chain(inherited)
    }

    /// How long after the job became ready its tasks should have started, by each objective
    /// for its class.
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

    /// How long after its submission a job's tasks should have started to meet its deadline,
    /// and the multiples of the deadline that objectives name.
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

    /// The objectives in the settings that are for the job's class, or for all classes.
    fn objectives_for<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = &'a Objective> + 'a {
        let objectives = self.config.settings.cluster.objectives.iter();
        objectives.filter(|objective| objective.class.as_ref().is_none_or(|class| *class == spec.class))
    }

    /// The objectives for the job's start that are shorter than a heartbeat interval, in
    /// seconds.
    fn latency_objectives<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = f64> + 'a {
        let heartbeat_interval_s = self.config.settings.cluster.workers.heartbeat_interval_s;
        self.objectives_for(spec)
            .filter(|objective| objective.kind == KIND_WAIT)
            .filter_map(|objective| objective.within_s)
            .filter(move |&within_s| within_s > 0.0 && within_s < heartbeat_interval_s)
    }

    /// Whether an objective asks for the job's start within less than a heartbeat interval.
    pub(crate) fn is_latency_sensitive(&self, spec: &JobSpec) -> bool {
        self.latency_objectives(spec).next().is_some()
    }

    /// Whether a task that starts on the machine now still meets an objective for its start
    /// that is shorter than a heartbeat interval. No machine that sends its heartbeat later
    /// could be expected to meet it; but one that would have to fetch the image first may miss
    /// it as surely, and then is compared with the others as for any other job.
    pub(crate) fn meets_latency_objective(&self, now: Instant, job: &Job, machine: &Machine) -> bool {
        let waited_s = now.saturating_duration_since(job.waiting_since(now)).as_secs_f64();
        let fetch_s = self.image_fetch_s(job.spec(), machine);
        if job.is_service() && !job.tasks.assigned.is_empty() && fetch_s <= 0.0 {
            // One of its replicas is down: each second counts.
            return true;
        }
        self.latency_objectives(job.spec()).any(|within_s| waited_s + fetch_s < within_s)
    }

    /// Notes what a task of a latency-sensitive job takes: further tasks like it are likely to
    /// come.
    pub(crate) fn record_latency_sensitive_class(&mut self, spec: &JobSpec) {
        if self.is_latency_sensitive(spec) {
            let task = LatencySensitiveTask { resources: Resources::of(spec), allows_spot: spec.spot };
            self.latency_classes.record(&spec.class, task);
        }
    }

    /// Whether latency-sensitive jobs may use free capacity of the machine.
    pub(crate) fn expects_latency_sensitive_start(&self, machine: &Machine) -> bool {
        machine.has_usable_capacity() && self.latency_classes.could_use(&machine.free, machine.spot)
    }

    /// Whether the job is starved: it has waited for half the time within which every job must
    /// start, and has not started. However urgent other work is, a first task of it goes
    /// before: otherwise a stream of more urgent, or smaller, work could keep it waiting for
    /// ever.
    pub(crate) fn is_starved(&self, job: &Job, now: Instant) -> bool {
        job.tasks.assigned.is_empty() && job.record.done.is_empty() && self.has_waited_too_long(job, now)
    }

    /// Whether half the time is over within which every job must start.
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

    /// The jobs that may start tasks, by team; of teams that are guaranteed anything.
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

/// CPUs and GPUs that all unfinished tasks of the job take together. Guarantees do not count
/// memory.
fn unfinished_resources(job: &Job) -> Resources {
    let tasks = f64::from(job.unfinished());
    let spec = job.spec();
    Resources { cpus: spec.cpus * tasks, gpus: spec.gpus * tasks, memory_gb: 0.0 }
}

/// Seconds as a duration, with a negative number of them as zero; `None` if there is no such
/// duration.
fn limit_from_seconds(seconds: f64) -> Option<Duration> {
    seconds.is_finite().then(|| Duration::from_secs_f64(seconds.clamp(0.0, MAX_LIMIT_S)))
}
