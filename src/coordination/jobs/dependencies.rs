//! The leader's handling of dependencies: checks those of a submission, restores those of the
//! jobs that a new leader reads, and makes jobs ready when a dependency is done.
//!
//! A job is ready only once the completion of its last dependency is committed, so that every
//! later leader comes to the same result. The edges are stored in
//! [`crate::coordination::jobs::dependency_graph`].

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::authority::Violation;
use crate::coordination::jobs::dependency_graph::{Cancellation, NewDependent, Urgency};
use crate::coordination::jobs::dependency_state::{DependencyState, DependencyStates};
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::topological_order::dependents_first;
use crate::coordination::leader::Leader;
use crate::protocol::jobs::{JobId, JobSpec};

/// Upper bound on the deadlines used in urgencies, in seconds.
const MAX_DEADLINE_S: f64 = 1e7;
/// Upper bound on the expected time to fetch an image, in seconds.
const MAX_FETCH_S: f64 = 1e4;

/// The result of checking the dependencies of a submission.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum DependencyCheck {
    /// The states of all dependencies are known, and the job may be admitted.
    Known(KnownDependencies),
    /// These dependencies are not in memory: their records have to be read.
    Unread(Vec<JobId>),
    /// The job can never run, for this reason.
    Infeasible(&'static str),
    /// The state of a dependency cannot be determined at present, for this reason.
    Undetermined(&'static str),
}

/// The dependencies of a job that are not done, and their effect on the job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KnownDependencies {
    /// Dependencies that are neither done nor cancelled.
    pub(crate) unmet: BTreeSet<JobId>,
    /// Whether a dependency is cancelled.
    pub(crate) cancellation: Cancellation,
}

impl KnownDependencies {
    /// The value before any dependency is considered.
    fn none() -> Self {
        KnownDependencies { unmet: BTreeSet::new(), cancellation: Cancellation::NotCancelled }
    }

    /// Whether the job has to wait for a dependency, or must never start.
    fn prevents_start(&self) -> bool {
        !self.unmet.is_empty() || self.cancellation == Cancellation::Cancelled
    }
}

impl Leader {
    /// Checks the jobs that a submission depends on. `read_states`: the states that were read
    /// of jobs that are not in memory.
    pub(crate) fn check_dependencies(
        &self,
        spec: &JobSpec,
        read_states: &DependencyStates,
    ) -> DependencyCheck {
        if spec.dependencies.contains(&spec.id) {
            return DependencyCheck::Infeasible("a job cannot await itself");
        }
        let (mut known, mut unread) = (KnownDependencies::none(), Vec::new());
        for dependency in &spec.dependencies {
            let is_in_memory = self.jobs.contains_key(dependency);
            if !is_in_memory && self.admissions.contains(dependency) {
                return DependencyCheck::Undetermined("an awaited job is being accepted");
            }
            match self.dependency_state(dependency, read_states) {
                None => unread.push(dependency.clone()),
                Some(DependencyState::Absent) => {
                    return DependencyCheck::Infeasible("an awaited job was never accepted");
                }
                Some(DependencyState::Service) => {
                    return DependencyCheck::Infeasible("a service cannot be awaited");
                }
                Some(DependencyState::Unfinished) if !is_in_memory => {
                    return DependencyCheck::Undetermined("an awaited job is not known yet");
                }
                Some(DependencyState::Unreadable) => {
                    return DependencyCheck::Undetermined("an awaited job cannot be read");
                }
                Some(DependencyState::Unfinished) => drop(known.unmet.insert(dependency.clone())),
                Some(DependencyState::Done { .. }) => {}
                Some(DependencyState::Cancelled) => known.cancellation = Cancellation::Cancelled,
            }
        }
        if unread.is_empty() { DependencyCheck::Known(known) } else { DependencyCheck::Unread(unread) }
    }

    /// The state of a dependency from memory, or else from the states that were read.
    fn dependency_state(
        &self,
        dependency: &JobId,
        read_states: &DependencyStates,
    ) -> Option<DependencyState> {
        match self.jobs.get(dependency) {
            Some(job) if job.cancellation.by_dependency => Some(DependencyState::Cancelled),
            Some(job) => Some(DependencyState::of(Some(&job.record))),
            None => read_states.get(dependency).copied(),
        }
    }

    /// Adds a job to the graph if it has dependencies.
    pub(crate) fn add_to_dependency_graph(
        &mut self,
        spec: &JobSpec,
        submitted_at: Instant,
        known: KnownDependencies,
    ) {
        if spec.dependencies.is_empty() {
            return;
        }
        let KnownDependencies { unmet, mut cancellation } = known;
        // This job is cancelled too only once the cancellation of the dependency is committed.
        let is_being_cancelled =
            |id: &JobId| self.jobs.get(id).is_some_and(|job| job.cancellation.is_requested);
        if unmet.iter().any(is_being_cancelled) {
            cancellation = cancellation.max(Cancellation::Pending);
        }
        let deadline = spec.deadline_s.map(|deadline_s| deadline_s.min(MAX_DEADLINE_S));
        let finish_by = deadline.map(|deadline_s| submitted_at + Duration::from_secs_f64(deadline_s));
        let urgency = Urgency { priority: spec.priority, finish_by };
        let duration = self.expected_duration(spec);
        self.dependencies.insert(&spec.id, NewDependent { unmet, cancellation, urgency, duration });
    }

    /// Expected time from when a job is ready to its completion: one heartbeat interval for
    /// starting its tasks and reporting their ends, the fetch of its image, and its run time.
    fn expected_duration(&self, spec: &JobSpec) -> Duration {
        let rates = self.catalog.types().iter().map(|machine_type| machine_type.fetch_gb_per_s);
        let best_rate = rates.fold(0.0, f64::max);
        let fetch_s = if best_rate > 0.0 { spec.image_gb / best_rate } else { 0.0 };
        let seconds = self.run_estimates.expected_run_s(spec) + fetch_s.min(MAX_FETCH_S);
        self.config.settings.cluster.workers.heartbeat_interval() + Duration::from_secs_f64(seconds)
    }

    /// Marks the dependents that waited only for this job as ready, once its completion is
    /// committed.
    pub(crate) fn mark_dependents_ready(&mut self, now: Instant, job_id: &JobId) {
        let now_ms = self.clock.unix_time_ms(now);
        for ready_id in self.dependencies.complete(job_id) {
            let Some(ready) = self.jobs.get_mut(&ready_id) else { continue };
            tracing::debug!(job = %ready_id, "job ready");
            ready.ready_at = Some(now);
            ready.record.ready_ms = Some(now_ms);
            let spec = ready.record.spec.clone();
            if self.is_latency_sensitive(&spec) {
                self.latency_classes.record_new_work();
            }
            self.queue.invalidate();
            // Its tasks start only once the raised high-water mark is committed.
            self.raise_started_high_water(now, &ready_id);
        }
    }

    /// Orders jobs in memory so that each comes before those of them that it depends on.
    pub(crate) fn dependents_first(&self, jobs: &[JobId]) -> Vec<JobId> {
        dependents_first(jobs, |id| self.jobs.get(id).map_or(&[], |job| &job.spec().dependencies))
    }

    /// Restores the dependencies of a job that was read from the store. The job waits for each
    /// dependency that is not known to be done or cancelled, including those that are neither in
    /// memory nor in `read_states`.
    pub(crate) fn restore_dependencies(
        &mut self,
        now: Instant,
        now_ms: u64,
        job_id: &JobId,
        read_states: &DependencyStates,
    ) {
        let Some(job) = self.jobs.get(job_id) else { return };
        if job.spec().dependencies.is_empty() || job.record.terminal_state().is_some() {
            return;
        }
        let (spec, submitted_at, mut ready_ms) = (job.spec().clone(), job.submitted_at, job.record.ready_ms);
        let is_recorded_as_started = job.stored.started_high_water > 0;
        let has_started = is_recorded_as_started && !self.has_unmet_dependency_in_memory(job);
        if is_recorded_as_started && !has_started {
            self.record_violation(Violation::StartedBeforeDependencies, job_id);
        }
        let mut known = KnownDependencies::none();
        // Only a ready job starts, so a started job has no unmet dependency.
        for dependency in spec.dependencies.iter().filter(|_| !has_started) {
            let in_memory = self.jobs.get(dependency).map(|job| DependencyState::of(Some(&job.record)));
            match in_memory.or_else(|| read_states.get(dependency).copied()) {
                Some(DependencyState::Done { at_ms }) => ready_ms = ready_ms.max(at_ms),
                Some(DependencyState::Cancelled) => known.cancellation = Cancellation::Cancelled,
                _ => drop(known.unmet.insert(dependency.clone())),
            }
        }
        let must_not_start = known.prevents_start();
        self.add_to_dependency_graph(&spec, submitted_at, known);
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        let since_ready = ready_ms.map(|at_ms| Duration::from_millis(now_ms.saturating_sub(at_ms)));
        let ready_at = since_ready.and_then(|since| now.checked_sub(since)).unwrap_or(submitted_at);
        job.ready_at = (!must_not_start).then_some(ready_at.max(submitted_at));
    }

    fn has_unmet_dependency_in_memory(&self, job: &Job) -> bool {
        let is_unmet = |id: &JobId| self.jobs.get(id).is_some_and(|dependency| !dependency.record.completed);
        job.spec().dependencies.iter().any(is_unmet)
    }
}
