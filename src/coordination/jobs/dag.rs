//! Jobs that wait for others: what a submission may name, who is released when a job is
//! done, and who is cancelled with one.
//!
//! A job is released only once the settle of its last need is committed, so that every
//! later leader comes to the same verdict. Who depends on whom is the business of
//! [`crate::coordination::jobs::dependency_graph`].

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::authority::Violation;
use crate::coordination::jobs::dependency_graph::{Cancellation, NewDependent, Urgency};
use crate::coordination::jobs::dependency_state::{DependencyState, DependencyStates};
use crate::coordination::jobs::job::Job;
use crate::coordination::leader::Leader;
use crate::protocol::jobs::{JobId, JobSpec};

/// The needs of a submission as far as they can be judged now.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum DependencyCheck {
    /// Known: those that are not over, and whether one is cancelled.
    Known { unmet: BTreeSet<JobId>, cancellation: Cancellation },
    /// These are not in the picture: their records decide.
    Unread(Vec<JobId>),
    /// The job can never run.
    Infeasible(&'static str),
    /// What a need is cannot be known at present.
    Undetermined(&'static str),
}

impl Leader {
    /// Judges the jobs that a submission names, with what was read of those that are not
    /// in the picture.
    pub(crate) fn check_dependencies(&self, spec: &JobSpec, read: &DependencyStates) -> DependencyCheck {
        if spec.dependencies.contains(&spec.id) {
            return DependencyCheck::Infeasible("a job cannot await itself");
        }
        let (mut awaited, mut unread, mut fate) = (BTreeSet::new(), Vec::new(), Cancellation::NotCancelled);
        for need in &spec.dependencies {
            let state = match self.jobs.get(need) {
                Some(job) if job.cancellation.by_dependency => Some(DependencyState::Cancelled),
                Some(job) => Some(DependencyState::of(Some(&job.record))),
                None if self.admissions.contains(need) => {
                    return DependencyCheck::Undetermined("an awaited job is being accepted");
                }
                None => read.get(need).copied(),
            };
            match state {
                None => unread.push(need.clone()),
                Some(DependencyState::Absent) => {
                    return DependencyCheck::Infeasible("an awaited job was never accepted");
                }
                Some(DependencyState::Service) => {
                    return DependencyCheck::Infeasible("a service cannot be awaited");
                }
                Some(DependencyState::Unfinished) if !self.jobs.contains_key(need) => {
                    return DependencyCheck::Undetermined("an awaited job is not known yet");
                }
                Some(DependencyState::Unreadable) => {
                    return DependencyCheck::Undetermined("an awaited job cannot be read");
                }
                Some(DependencyState::Unfinished) => drop(awaited.insert(need.clone())),
                Some(DependencyState::Done { .. }) => {}
                Some(DependencyState::Cancelled) => fate = Cancellation::Cancelled,
            }
        }
        if unread.is_empty() {
            DependencyCheck::Known { unmet: awaited, cancellation: fate }
        } else {
            DependencyCheck::Unread(unread)
        }
    }

    /// Enters a job's needs, if it has any, into the graph.
    pub(crate) fn add_to_dependency_graph(
        &mut self,
        spec: &JobSpec,
        submitted: Instant,
        awaited: BTreeSet<JobId>,
        fate: Cancellation,
    ) {
        if spec.dependencies.is_empty() {
            return;
        }
        // Whether it is cancelled with them is known once that is written.
        let being_cancelled =
            |need: &JobId| self.jobs.get(need).is_some_and(|job| job.cancellation.is_requested);
        let fate = if awaited.iter().any(being_cancelled) { fate.max(Cancellation::Pending) } else { fate };
        let finish_by = spec.deadline_s.map(|s| submitted + Duration::from_secs_f64(s.min(1e7)));
        let urgency = Urgency { priority: spec.priority, finish_by };
        let duration = self.expected_duration(spec);
        self.dependencies
            .insert(&spec.id, NewDependent { unmet: awaited, cancellation: fate, urgency, duration });
    }

    /// How long a job is expected to take from its release to its settle: a report
    /// interval until its tasks start and their ends are heard, its image, and its run.
    fn expected_duration(&self, spec: &JobSpec) -> Duration {
        let fetch_rate = self.catalog.types().iter().map(|kind| kind.fetch_gb_per_s).fold(0.0, f64::max);
        let fetch = if fetch_rate > 0.0 { spec.image_gb / fetch_rate } else { 0.0 };
        let seconds = self.run_estimates.expected_run_s(spec) + fetch.min(1e4);
        self.config.settings.cluster.workers.report() + Duration::from_secs_f64(seconds)
    }

    /// A job is done, and that is committed: those that waited only for it may start.
    pub(crate) fn mark_dependents_ready(&mut self, now: Instant, job: &JobId) {
        let now_ms = self.clock.at_ms(now);
        for released in self.dependencies.complete(job) {
            let Some(j) = self.jobs.get_mut(&released) else { continue };
            tracing::debug!(job = %released, "released");
            j.ready_at = Some(now);
            j.record.ready_ms = Some(now_ms);
            let spec = j.record.spec.clone();
            if self.is_latency_sensitive(&spec) {
                self.latency_classes.announce_work();
            }
            self.queue.invalidate();
            // Its first start is near, and needs this.
            self.raise_started_high_water(now, &released);
        }
    }

    /// A job is cancelled, and that is committed: so are those that need it, whatever
    /// becomes of the writes of their own records. None of them has ever started.
    pub(crate) fn cancel_dependents(&mut self, now: Instant, job: &JobId) {
        for dependent in self.dependencies.cancel(job) {
            self.cancel_by_dependency(now, &dependent);
        }
    }

    /// Cancels a job since one that it needs is cancelled.
    pub(crate) fn cancel_by_dependency(&mut self, now: Instant, job: &JobId) {
        // One that is being accepted is cancelled as soon as it is.
        let Some(j) = self.jobs.get_mut(job) else { return };
        if j.record.terminal_state().is_some() {
            return;
        }
        tracing::debug!(%job, "cancelled with a job that it needs");
        j.cancellation.by_dependency = true;
        j.cancellation.is_requested = true;
        self.answer_cancel_waiters(job);
        self.write_record(now, job);
    }

    /// Enters what a new leader has read of a job's needs. Those that are neither over nor
    /// in the picture are waited for: they cannot be judged.
    pub(crate) fn restore_dependencies(
        &mut self,
        now: Instant,
        now_ms: u64,
        job: &JobId,
        read: &DependencyStates,
    ) {
        let Some(j) = self.jobs.get(job) else { return };
        let (spec, submitted, begun, released_ms) =
            (j.spec().clone(), j.submitted_at, j.stored.started_high_water, j.record.ready_ms);
        if spec.dependencies.is_empty() || j.record.terminal_state().is_some() {
            return;
        }
        // Only a released job may have begun. What is in the picture must agree.
        let is_unmet = |need: &JobId| self.jobs.get(need).is_some_and(|need| !need.record.completed);
        let has_begun = begun > 0 && !spec.dependencies.iter().any(is_unmet);
        if begun > 0 && !has_begun {
            self.record_violation(Violation::StartedBeforeDependencies, job);
        }
        let (mut awaited, mut fate, mut released_ms) =
            (BTreeSet::new(), Cancellation::NotCancelled, released_ms);
        for need in spec.dependencies.iter().filter(|_| !has_begun) {
            let known = self.jobs.get(need).map(|job| DependencyState::of(Some(&job.record)));
            match known.or_else(|| read.get(need).copied()) {
                Some(DependencyState::Done { at_ms }) => released_ms = released_ms.max(at_ms),
                Some(DependencyState::Cancelled) => fate = Cancellation::Cancelled,
                _ => drop(awaited.insert(need.clone())),
            }
        }
        let waits = !awaited.is_empty() || fate == Cancellation::Cancelled;
        self.add_to_dependency_graph(&spec, submitted, awaited, fate);
        let Some(j) = self.jobs.get_mut(job) else { return };
        let ago = released_ms.map(|at| Duration::from_millis(now_ms.saturating_sub(at)));
        let released = ago.and_then(|ago| now.checked_sub(ago)).unwrap_or(submitted).max(submitted);
        j.ready_at = (!waits).then_some(released);
    }

    /// Finishes what an earlier leader has left: jobs whose needs are cancelled.
    pub(crate) fn cancel_restored_dependents(&mut self, now: Instant) {
        let doomed = |job: &&Job| self.dependencies.cancellation(job.id()) == Cancellation::Cancelled;
        let doomed: Vec<JobId> = self.jobs.values().filter(doomed).map(|job| job.id().clone()).collect();
        for job in doomed {
            self.cancel_by_dependency(now, &job);
        }
    }
}
