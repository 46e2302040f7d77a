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

/// What a job on which others depend, and whose own state is known, means for them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// It does not cancel the jobs that depend on it.
    Harmless,
    Cancelled,
}

/// A job whose record has been read.
#[derive(Debug)]
struct KnownJob {
    status: JobStatus,
    /// Number of its dependencies that may still turn out to be cancelled.
    undecided: usize,
}

impl KnownJob {
    fn is_decided(&self) -> bool {
        self.undecided == 0
    }

    fn outcome(&self) -> Option<Outcome> {
        let outcome =
            if self.status.state == JobState::Cancelled { Outcome::Cancelled } else { Outcome::Harmless };
        self.is_decided().then_some(outcome)
    }

    /// Takes the outcome of one dependency into account.
    fn apply(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Harmless => self.undecided = self.undecided.saturating_sub(1),
            Outcome::Cancelled => {
                self.status.state = JobState::Cancelled;
                self.undecided = 0;
            }
        }
    }
}

/// The jobs whose records have been read in one epoch.
///
/// Each job is decided when its last dependency is, and then decides those that wait for it. So each
/// dependency is looked at twice at most, however often users ask.
#[derive(Debug, Default)]
pub struct RecordedJobs {
    jobs: HashMap<JobId, KnownJob>,
    /// Dependencies that are not among the unfinished jobs.
    dependencies: HashMap<JobId, DependencyState>,
    /// For each undecided dependency, the jobs that wait for it.
    waiting: HashMap<JobId, Vec<JobId>>,
    /// Those of the undecided dependencies that are not among the jobs.
    unknown: HashSet<JobId>,
    /// Dependencies looked at so far.
    steps: u64,
}

impl RecordedJobs {
    /// Number of jobs whose records have been read.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Number of dependencies looked at so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Adds a job. What has been decided about it stays.
    pub fn insert(&mut self, job: RecordedJob) {
        let RecordedJob { status, dependencies } = job;
        let id = status.id.clone();
        if self.jobs.get(&id).is_some_and(|known| known.is_decided() || !dependencies.is_empty()) {
            return;
        }
        self.unknown.remove(&id);
        let mut known = KnownJob { status, undecided: dependencies.len() };
        for dependency in dependencies {
            self.steps += 1;
            match self.outcome(&dependency) {
                Some(outcome) => known.apply(outcome),
                None => self.wait_for(dependency, &id),
            }
        }
        self.jobs.insert(id.clone(), known);
        self.decide_waiting(id);
    }

    /// Adds the state of a job on which others depend.
    pub fn insert_dependency(&mut self, job: JobId, state: DependencyState) {
        self.dependencies.insert(job.clone(), state);
        if self.outcome(&job).is_some() {
            self.unknown.remove(&job);
            self.decide_waiting(job);
        }
    }

    /// The job's status; `None` if its record, or that of a dependency which may have cancelled it,
    /// has not been read.
    pub fn status(&mut self, job: &JobId) -> Option<JobStatus> {
        if self.unknown.is_empty() {
            self.decide_circles();
        }
        self.jobs.get(job).filter(|known| known.is_decided()).map(|known| known.status.clone())
    }

    fn wait_for(&mut self, dependency: JobId, job: &JobId) {
        if !self.jobs.contains_key(&dependency) {
            self.unknown.insert(dependency.clone());
        }
        self.waiting.entry(dependency).or_default().push(job.clone());
    }

    /// Tells the jobs that wait for this one, directly or not, of its outcome if it is decided.
    fn decide_waiting(&mut self, job: JobId) {
        let mut work = vec![job];
        while let Some(dependency) = work.pop() {
            let Some(outcome) = self.outcome(&dependency) else { continue };
            for id in self.waiting.remove(&dependency).unwrap_or_default() {
                self.steps += 1;
                let Some(known) = self.jobs.get_mut(&id).filter(|known| !known.is_decided()) else {
                    continue;
                };
                known.apply(outcome);
                if known.is_decided() {
                    work.push(id);
                }
            }
        }
    }

    /// Decides the jobs that are left once every dependency is known. They wait for each other in a
    /// circle, which only contradictory records contain, and none is cancelled.
    fn decide_circles(&mut self) {
        for job in std::mem::take(&mut self.waiting).into_values().flatten() {
            if let Some(known) = self.jobs.get_mut(&job) {
                known.undecided = 0;
            }
        }
    }

    /// What the job means for those that depend on it; `None` while that is not known.
    fn outcome(&self, job: &JobId) -> Option<Outcome> {
        if let Some(known) = self.jobs.get(job) {
            return known.outcome();
        }
        match self.dependencies.get(job)? {
            DependencyState::Cancelled => Some(Outcome::Cancelled),
            DependencyState::Done { .. } | DependencyState::Service | DependencyState::Absent => {
                Some(Outcome::Harmless)
            }
            // An unfinished job without a live row: what it depends on has not been read.
            DependencyState::Unfinished | DependencyState::Unreadable => None,
        }
    }
}

#[cfg(test)]
mod tests;
