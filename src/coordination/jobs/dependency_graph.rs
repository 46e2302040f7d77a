//! Directed acyclic graph of the dependencies between unfinished jobs.
//!
//! A job may name other jobs that have to be done before any of its tasks starts. The graph
//! determines which jobs become ready when a job is done, which jobs are cancelled with a job,
//! and which urgency a job inherits from its dependents. It uses neither the clock nor the
//! store: the leader reports what has been committed and queries the result.
//!
//! A job can only name admitted jobs, so no cycle can form. Every traversal uses a work list
//! instead of recursion, so chains may be of any length; its cost is proportional to the number
//! of edges that a change affects.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::maps::{HashMap, HashSet};
use crate::protocol::jobs::{JobId, Priority};

/// How urgent a job is, by its own description or by those of its dependents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// Its priority.
    pub priority: Priority,
    /// When it has to be done, if there is a deadline.
    pub finish_by: Option<Instant>,
}

impl Urgency {
    /// The higher priority and the earlier deadline of the two.
    #[must_use]
    pub fn most_urgent(self, other: Urgency) -> Urgency {
        let finish_by = match (self.finish_by, other.finish_by) {
            (Some(own), Some(others)) => Some(own.min(others)),
            (own, others) => own.or(others),
        };
        Urgency { priority: self.priority.max(other.priority), finish_by }
    }
}

/// Whether a job is cancelled because of its dependencies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cancellation {
    /// No dependency is cancelled or being cancelled.
    NotCancelled,
    /// The cancellation of a dependency is being written, and its outcome is not known yet.
    Pending,
    /// The cancellation of a dependency is committed, so this job is cancelled too.
    Cancelled,
}

/// A job with dependencies that is to be inserted into the graph.
#[derive(Debug)]
pub struct NewDependent {
    /// Its dependencies that are not terminal yet.
    pub unmet: BTreeSet<JobId>,
    /// Whether one of its dependencies is known to be cancelled.
    pub cancellation: Cancellation,
    /// Its own urgency.
    pub urgency: Urgency,
    /// Expected time from when it is ready to its completion.
    pub duration: Duration,
}

#[derive(Debug)]
struct GraphNode {
    /// Dependencies that are not terminal yet.
    unmet: BTreeSet<JobId>,
    dependents: BTreeSet<JobId>,
    cancellation: Cancellation,
    /// Its own urgency and expected duration; `None` for a job without dependencies, for which
    /// the graph needs neither.
    own_urgency: Option<(Urgency, Duration)>,
    /// The urgency of its dependents, direct and indirect.
    inherited: Option<Urgency>,
}

impl GraphNode {
    fn without_dependencies() -> Self {
        GraphNode {
            unmet: BTreeSet::new(),
            dependents: BTreeSet::new(),
            cancellation: Cancellation::NotCancelled,
            own_urgency: None,
            inherited: None,
        }
    }

    fn is_cancelled(&self) -> bool {
        self.cancellation == Cancellation::Cancelled
    }

    fn is_ready(&self) -> bool {
        self.unmet.is_empty() && !self.is_cancelled()
    }

    /// The urgency that its dependencies inherit from it. Their deadline is the earlier of its
    /// own and its inherited deadline, minus its expected duration.
    fn urgency_for_dependencies(&self) -> Option<Urgency> {
        let (own, duration) = self.own_urgency?;
        let combined = self.inherited.map_or(own, |inherited| own.most_urgent(inherited));
        let finish_by = combined.finish_by.map(|at| at.checked_sub(duration).unwrap_or(at));
        Some(Urgency { finish_by, ..combined })
    }
}

/// The graph of all unfinished jobs that have dependencies or dependents.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    nodes: HashMap<JobId, GraphNode>,
    /// Jobs looked at and edges followed by all traversals.
    steps: u64,
}

impl DependencyGraph {
    /// Inserts a job with dependencies, before its admission is written or after it was read
    /// from the store.
    pub fn insert(&mut self, job: &JobId, dependent: NewDependent) {
        let NewDependent { unmet, mut cancellation, urgency, duration } = dependent;
        for dependency in &unmet {
            let node = self.nodes.entry(dependency.clone()).or_insert_with(GraphNode::without_dependencies);
            node.dependents.insert(job.clone());
            cancellation = cancellation.max(node.cancellation);
        }
        let node = self.nodes.entry(job.clone()).or_insert_with(GraphNode::without_dependencies);
        node.unmet = unmet;
        node.cancellation = node.cancellation.max(cancellation);
        node.own_urgency = Some((urgency, duration));
        if node.cancellation > Cancellation::NotCancelled {
            let cancellation = node.cancellation;
            self.propagate_cancellation(job, cancellation);
        }
        self.propagate_urgency(job);
    }

    /// Whether a job has no unmet dependencies and is not cancelled because of one. `false` for
    /// a job that is not in the graph: nothing is known about its dependencies.
    pub fn is_ready(&self, job: &JobId) -> bool {
        self.nodes.get(job).is_some_and(GraphNode::is_ready)
    }

    /// Whether a job is cancelled because of its dependencies.
    pub fn cancellation(&self, job: &JobId) -> Cancellation {
        self.nodes.get(job).map_or(Cancellation::NotCancelled, |node| node.cancellation)
    }

    /// Number of jobs looked at and edges followed by all traversals so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// The urgency of a job's dependents, direct and indirect.
    pub fn inherited(&self, job: &JobId) -> Option<Urgency> {
        self.nodes.get(job).and_then(|node| node.inherited)
    }

    /// Marks a job as done, once that is committed. Returns the dependents that became ready.
    #[must_use]
    pub fn complete(&mut self, job: &JobId) -> Vec<JobId> {
        let mut ready = Vec::new();
        for dependent in self.take_dependents(job) {
            let Some(node) = self.nodes.get_mut(&dependent) else { continue };
            node.unmet.remove(job);
            if node.is_ready() {
                ready.push(dependent);
            }
        }
        ready
    }

    /// Marks the cancellation of a job as being written: until its outcome is known, it is not
    /// known whether the job's dependents are cancelled with it.
    pub fn mark_cancellation_pending(&mut self, job: &JobId) {
        self.propagate_cancellation(job, Cancellation::Pending);
    }

    /// Marks a job as cancelled, once that is committed. Returns its dependents, direct and
    /// indirect, that are newly cancelled with it.
    #[must_use]
    pub fn cancel(&mut self, job: &JobId) -> Vec<JobId> {
        let dependents = self.propagate_cancellation(job, Cancellation::Cancelled);
        let cancelled: HashSet<&JobId> = dependents.iter().chain(std::iter::once(job)).collect();
        // A dependency of a cancelled job that is not itself cancelled may have inherited
        // urgency from the cancelled job.
        let mut remaining: BTreeSet<JobId> = BTreeSet::new();
        for member in &cancelled {
            let Some(node) = self.nodes.get(*member) else { continue };
            remaining.extend(node.unmet.iter().filter(|id| !cancelled.contains(id)).cloned());
        }
        for dependency in remaining {
            if let Some(node) = self.nodes.get_mut(&dependency) {
                node.dependents.retain(|dependent| !cancelled.contains(dependent));
            }
            self.recompute_inherited_urgency(&dependency);
        }
        dependents
    }

    /// Removes a job whose admission was not carried out. If other jobs depend on it, it was
    /// admitted earlier: it then stays in the graph with these dependents, but without
    /// dependencies of its own.
    pub fn retract(&mut self, job: &JobId) {
        let Some(node) = self.nodes.get_mut(job) else { return };
        let dependents = std::mem::take(&mut node.dependents);
        self.remove(job);
        if !dependents.is_empty() {
            self.nodes.insert(job.clone(), GraphNode { dependents, ..GraphNode::without_dependencies() });
            self.recompute_inherited_urgency(job);
        }
    }

    /// Removes a job: a terminal job that is evicted from memory, or one that is retracted.
    pub fn remove(&mut self, job: &JobId) {
        let Some(node) = self.nodes.remove(job) else { return };
        for dependency in &node.unmet {
            if let Some(node) = self.nodes.get_mut(dependency) {
                node.dependents.remove(job);
                self.recompute_inherited_urgency(dependency);
            }
        }
    }

    fn take_dependents(&mut self, job: &JobId) -> BTreeSet<JobId> {
        self.nodes.get_mut(job).map(|node| std::mem::take(&mut node.dependents)).unwrap_or_default()
    }

    fn dependents_of(&self, job: &JobId) -> Vec<JobId> {
        self.nodes.get(job).map(|node| node.dependents.iter().cloned().collect()).unwrap_or_default()
    }

    /// Raises the cancellation of all dependents, direct and indirect, to at least this one.
    /// Returns the dependents whose cancellation was lower before.
    fn propagate_cancellation(&mut self, job: &JobId, cancellation: Cancellation) -> Vec<JobId> {
        let mut raised = Vec::new();
        let mut work = vec![job.clone()];
        while let Some(next) = work.pop() {
            self.steps += 1;
            for dependent in self.dependents_of(&next) {
                self.steps += 1;
                let Some(node) = self.nodes.get_mut(&dependent) else { continue };
                if node.cancellation < cancellation {
                    node.cancellation = cancellation;
                    raised.push(dependent.clone());
                    work.push(dependent);
                }
            }
        }
        raised
    }

    /// Propagates the urgency of a newly inserted job to its dependencies, direct and indirect.
    fn propagate_urgency(&mut self, job: &JobId) {
        let mut work = vec![job.clone()];
        while let Some(next) = work.pop() {
            self.steps += 1;
            let Some(node) = self.nodes.get(&next).filter(|node| !node.is_cancelled()) else { continue };
            let Some(urgency) = node.urgency_for_dependencies() else { continue };
            for id in node.unmet.clone() {
                self.steps += 1;
                let Some(dependency) = self.nodes.get_mut(&id) else { continue };
                let inherited = dependency.inherited.map_or(urgency, |before| before.most_urgent(urgency));
                if dependency.inherited != Some(inherited) {
                    dependency.inherited = Some(inherited);
                    work.push(id);
                }
            }
        }
    }

    /// Recomputes the inherited urgency of a job and of its dependencies after a dependent was
    /// removed or cancelled.
    fn recompute_inherited_urgency(&mut self, job: &JobId) {
        let mut work = vec![job.clone()];
        while let Some(next) = work.pop() {
            let Some(node) = self.nodes.get(&next) else { continue };
            self.steps += 1 + node.dependents.len() as u64;
            let dependents = node.dependents.iter().filter_map(|dependent| self.nodes.get(dependent));
            let live = dependents.filter(|dependent| !dependent.is_cancelled());
            let inherited = live.filter_map(GraphNode::urgency_for_dependencies).reduce(Urgency::most_urgent);
            let Some(node) = self.nodes.get_mut(&next) else { continue };
            if node.inherited != inherited {
                node.inherited = inherited;
                work.extend(node.unmet.iter().cloned());
            }
        }
    }
}

#[cfg(test)]
mod tests;
