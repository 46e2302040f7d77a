//! How urgent waiting work is: the users' aims and deadlines as times by which a job's
//! tasks should start, what a job inherits from those that need it, guarantees, the bound
//! on starvation, and work that is to start promptly.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::quota::QuotaId;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::coordination::scheduling::latency::LatencySensitiveTask;
use crate::maps::HashMap;
use crate::protocol::jobs::{JobId, JobSpec, Priority};
use crate::settings::Objective;

impl Leader {
    /// When a job's tasks must start for the next of the users' aims that can
    /// still be met. With all of them missed it goes behind those for whom
    /// haste still helps, by a boot time, and then by age.
    pub(crate) fn latest_start(&self, job: &Job, now: Instant) -> Instant {
        let next = self.objective_start_times(job, now).filter(|&at| at > now).min();
        next.unwrap_or_else(|| {
            let age = now.saturating_duration_since(job.waiting_since(now));
            now + self.catalog.longest_boot().mul_f64(1.0 / (1.0 + age.as_secs_f64() / 600.0))
        })
    }

    /// A job's own priority, or that of a job that needs it.
    pub(crate) fn priority(&self, job: &Job) -> Priority {
        let own = job.spec().priority;
        self.dependencies.inherited(job.id()).map_or(own, |inherited| own.max(inherited.priority))
    }

    /// When a job's tasks should have started, by each of the users' aims for its class,
    /// by its deadline and by those of the jobs that need it.
    fn objective_start_times<'a>(&'a self, job: &'a Job, now: Instant) -> impl Iterator<Item = Instant> + 'a {
        let (spec, released) = (job.spec(), job.waiting_since(now));
        let run = Duration::from_secs_f64(self.run_estimates.expected_run_s(spec));
        let after_release = self.start_limits_after_ready(spec).map(move |after| released + after);
        let by_deadline = self.start_limits_by_deadline(spec).map(move |after| job.submitted_at + after);
        let inherited = self.dependencies.inherited(job.id()).and_then(|urgency| urgency.finish_by);
        let inherited = inherited.map(move |finish_by| finish_by.checked_sub(run).unwrap_or(finish_by));
        after_release.chain(by_deadline).chain(inherited)
    }

    /// How long after its release a job's tasks should have started, by the users' aims
    /// for its class.
    pub(crate) fn start_limits_after_ready<'a>(
        &'a self,
        spec: &'a JobSpec,
    ) -> impl Iterator<Item = Duration> + 'a {
        let run = self.run_estimates.expected_run_s(spec);
        let aims = self.objectives_for(spec).filter_map(move |aim| match (aim.kind.as_str(), aim.within_s) {
            ("wait", Some(within)) => Some(within),
            ("finished", Some(within)) => Some(within - run),
            _ => None,
        });
        aims.filter_map(duration_from_seconds)
    }

    /// How long after its submission a job's tasks should have started to meet its
    /// deadline, and the multiples of it that the users aim at.
    pub(crate) fn start_limits_by_deadline<'a>(
        &'a self,
        spec: &'a JobSpec,
    ) -> impl Iterator<Item = Duration> + 'a {
        let run = self.run_estimates.expected_run_s(spec);
        let aims = self.objectives_for(spec).filter(|aim| aim.kind == "deadline");
        let times = aims.map(|aim| aim.times.unwrap_or(1.0)).chain(std::iter::once(1.0));
        let deadline = spec.deadline_s;
        times.filter_map(move |times| Some(deadline? * times - run)).filter_map(duration_from_seconds)
    }

    fn objectives_for<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = &'a Objective> + 'a {
        let aims = self.config.settings.cluster.objectives.iter();
        aims.filter(|aim| aim.class.as_ref().is_none_or(|class| *class == spec.class))
    }

    /// The aims at the job's start that are shorter than a report interval.
    fn latency_objectives<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = f64> + 'a {
        let report = self.config.settings.cluster.workers.report_s;
        self.config
            .settings
            .cluster
            .objectives
            .iter()
            .filter(|aim| aim.kind == "wait" && aim.class.as_ref().is_none_or(|c| *c == spec.class))
            .filter_map(|aim| aim.within_s)
            .filter(move |&within| within > 0.0 && within < report)
    }

    pub(crate) fn is_latency_sensitive(&self, spec: &JobSpec) -> bool {
        self.latency_objectives(spec).next().is_some()
    }

    /// Whether a task that starts on the machine now still meets an aim at its start
    /// that is shorter than a report interval. No machine that reports later could be
    /// expected to meet it; but one that would have to fetch the image first may miss
    /// it as surely, and then is compared with the others like any other.
    pub(crate) fn meets_latency_objective(&self, now: Instant, job: &Job, machine: &Machine) -> bool {
        let waited = now.saturating_duration_since(job.waiting_since(now)).as_secs_f64();
        let fetch = self.image_fetch_s(job.spec(), machine);
        if job.is_service() && !job.tasks.assigned.is_empty() && fetch <= 0.0 {
            // One of its replicas is down: each second counts.
            return true;
        }
        self.latency_objectives(job.spec()).any(|within| waited + fetch < within)
    }

    /// Notes what a task of a latency-sensitive job takes: others like it are likely to come.
    pub(crate) fn record_latency_sensitive_class(&mut self, spec: &JobSpec) {
        if self.is_latency_sensitive(spec) {
            let task = LatencySensitiveTask { resources: Resources::of(spec), allows_spot: spec.spot };
            self.latency_classes.record(&spec.class, task);
        }
    }

    /// Whether latency-sensitive jobs may use room on the machine.
    pub(crate) fn expects_latency_sensitive_start(&self, machine: &Machine) -> bool {
        machine.has_usable_capacity() && self.latency_classes.could_use(&machine.free, machine.spot)
    }

    /// Whether a job has waited for half the time within which every job must
    /// begin, and has not begun. However urgent other work is, a first task of
    /// it goes before: else a stream of more urgent, or smaller, work could
    /// keep it out for ever.
    pub(crate) fn is_starved(&self, job: &Job, now: Instant) -> bool {
        job.tasks.assigned.is_empty()
            && job.record.done.is_empty()
            && now >= job.waiting_since(now) + self.config.tuning.begin_within / 2
    }

    /// Jobs that fit into their team's guarantee together with the team's
    /// earlier unfinished jobs, with what they may still take.
    pub(crate) fn within_guarantees(&self) -> HashMap<JobId, Resources> {
        let mut by_team: HashMap<QuotaId, Vec<&Job>> = HashMap::default();
        for job in self.jobs.values().filter(|j| j.is_startable() && !j.waits_for_dependencies()) {
            if let Some(team) = job.team.filter(|&t| self.quotas.get(t).guaranteed != Resources::default()) {
                by_team.entry(team).or_default().push(job);
            }
        }
        let mut found = HashMap::default();
        for (team, mut jobs) in by_team {
            jobs.sort_by_key(|j| (j.ready_at, j.id().clone()));
            let guaranteed = self.quotas.get(team).guaranteed;
            let mut total = Resources::default();
            for job in jobs {
                let tasks = f64::from(job.unfinished());
                let need = Resources {
                    cpus: job.spec().cpus * tasks,
                    gpus: job.spec().gpus * tasks,
                    memory_gb: 0.0,
                };
                total.add(&need);
                if total.fits(&guaranteed) {
                    found.insert(job.id().clone(), need);
                }
            }
        }
        found
    }
}

/// Seconds as a duration, a negative number of them as none.
fn duration_from_seconds(seconds: f64) -> Option<Duration> {
    seconds.is_finite().then(|| Duration::from_secs_f64(seconds.clamp(0.0, 1e7)))
}
