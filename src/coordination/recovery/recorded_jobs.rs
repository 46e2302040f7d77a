//! What a new leader knows of jobs while it reads its snapshot, so that it can answer about each job
//! as soon as that job's record has been read.
//!
//! The writes of earlier epochs are fenced, and the leader of this epoch writes nothing before its
//! snapshot is complete. So a record that was read in this epoch stays current until then.

use crate::coordination::jobs::dependency_state::DependencyState;
use crate::maps::{HashMap, HashSet};
use crate::protocol::jobs::{JobId, JobState, JobStatus};
use crate::storage::records::JobRecord;

/// A job according to its record.
#[derive(Debug)]
pub struct RecordedJob {
    status: JobStatus,
    /// The dependencies for which it may wait: it is cancelled if one of them is.
    dependencies: Vec<JobId>,
}

impl RecordedJob {
    /// The job of this record.
    pub fn of(record: &JobRecord) -> Self {
        let may_wait = record.may_wait_for_dependencies();
        let dependencies = if may_wait { record.spec.dependencies.clone() } else { Vec::new() };
        RecordedJob { status: record.status(), dependencies }
    }

    /// A job whose state has been determined with the records of its dependencies.
    pub fn decided(status: JobStatus) -> Self {
        RecordedJob { status, dependencies: Vec::new() }
    }
}

/// What is known of a job on which others depend.
enum Dependency<'a> {
    /// It does not cancel the jobs that depend on it.
    Harmless,
    Cancelled,
    /// It is cancelled if one of these is.
    Waits(&'a [JobId]),
    Unknown,
}

/// The jobs whose records have been read in one epoch.
#[derive(Debug, Default)]
pub struct RecordedJobs {
    jobs: HashMap<JobId, RecordedJob>,
    /// Dependencies that are not among the unfinished jobs.
    dependencies: HashMap<JobId, DependencyState>,
}

impl RecordedJobs {
    /// Number of jobs whose records have been read.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Adds a job.
    pub fn insert(&mut self, job: RecordedJob) {
        self.jobs.insert(job.status.id.clone(), job);
    }

    /// Adds the state of a job on which others depend.
    pub fn insert_dependency(&mut self, job: JobId, state: DependencyState) {
        self.dependencies.insert(job, state);
    }

    /// The job's status; `None` if its record, or that of a dependency which may have cancelled it,
    /// has not been read. Decided states are kept, so that each is determined once.
    pub fn status(&mut self, job: &JobId) -> Option<JobStatus> {
        let recorded = self.jobs.get(job)?;
        if !recorded.dependencies.is_empty() {
            let is_cancelled = self.is_cancelled_by_dependencies(&recorded.dependencies)?;
            let recorded = self.jobs.get_mut(job)?;
            recorded.dependencies.clear();
            if is_cancelled {
                recorded.status.state = JobState::Cancelled;
            }
        }
        self.jobs.get(job).map(|recorded| recorded.status.clone())
    }

    /// Whether one of these jobs, or one on which they depend, is cancelled; `None` if none is known
    /// to be and not all are known.
    fn is_cancelled_by_dependencies(&self, dependencies: &[JobId]) -> Option<bool> {
        let mut seen: HashSet<&JobId> = HashSet::default();
        let mut unvisited: Vec<&JobId> = dependencies.iter().collect();
        let mut all_known = true;
        while let Some(dependency) = unvisited.pop() {
            if !seen.insert(dependency) {
                continue;
            }
            match self.dependency(dependency) {
                Dependency::Harmless => {}
                Dependency::Cancelled => return Some(true),
                Dependency::Waits(further) => unvisited.extend(further),
                Dependency::Unknown => all_known = false,
            }
        }
        all_known.then_some(false)
    }

    fn dependency(&self, job: &JobId) -> Dependency<'_> {
        if let Some(recorded) = self.jobs.get(job) {
            return match recorded.status.state {
                JobState::Cancelled => Dependency::Cancelled,
                JobState::Done => Dependency::Harmless,
                JobState::Queued | JobState::Running => Dependency::Waits(&recorded.dependencies),
            };
        }
        match self.dependencies.get(job) {
            Some(DependencyState::Cancelled) => Dependency::Cancelled,
            Some(DependencyState::Done { .. } | DependencyState::Service | DependencyState::Absent) => {
                Dependency::Harmless
            }
            // An unfinished job without a live row: what it depends on has not been read.
            Some(DependencyState::Unfinished | DependencyState::Unreadable) | None => Dependency::Unknown,
        }
    }
}

#[cfg(test)]
mod tests;
