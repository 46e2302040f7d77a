//! Directed acyclic graph of the dependencies between unfinished jobs.
//!
//! A job may name other jobs that have to be done before any of its tasks starts. The graph
//! determines which jobs become ready when a job is done, which jobs are cancelled with a job,
//! and which urgency a job inherits from its dependents. It uses neither the clock nor the
//! store: the leader reports what has been committed and queries the result.
//!
//! A job can only name admitted jobs, so no cycle can form. Every traversal uses a work list
//! instead of recursion, so chains may be of any length.
//!
//! # Cost
//!
//! A traversal visits a job only once its result is final: urgencies in the order of ranks,
//! dependents first (`propagation`); ranks by how far they move (`rank`). So an operation visits
//! each job whose cancellation, rank or urgency it changes once, and follows the edges of these jobs
//! once, whatever the shape of the graph. [`DependencyGraph::steps`] counts both.
//!
//! | module | contents |
//! | --- | --- |
//! | `urgency` | urgencies, and the counts of those that a job inherits |
//! | `node` | a job in the graph |
//! | `rank` | a topological order that insertions maintain |
//! | `propagation` | changes of cancellations and urgencies through the graph |

mod node;
mod propagation;
mod rank;
mod urgency;

use std::collections::BTreeSet;
use std::time::Duration;

use crate::coordination::jobs::dependency_graph::node::GraphNode;
use crate::coordination::jobs::dependency_graph::urgency::InheritedUrgencies;
use crate::maps::{HashMap, HashSet};
use crate::protocol::jobs::JobId;

pub use urgency::Urgency;

/// Whether a job is cancelled, by its user or because of its dependencies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cancellation {
    /// Neither the job nor a dependency is cancelled, and no dependency is being cancelled.
    NotCancelled,
    /// The cancellation of a dependency is being written, and its outcome is not known yet.
    Pending,
    /// The cancellation of the job is committed, or that of a dependency, so that it is cancelled too.
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

/// The graph of all unfinished jobs that have dependencies or dependents.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    nodes: HashMap<JobId, GraphNode>,
    /// Jobs visited and edges followed by all operations.
    steps: u64,
}

impl DependencyGraph {
    /// Inserts a job with dependencies, before its admission is written or after it was read
    /// from the store.
    pub fn insert(&mut self, job: &JobId, dependent: NewDependent) {
        let NewDependent { unmet, mut cancellation, urgency, duration } = dependent;
        self.detach_from_dependencies(job);
        self.rank_above_dependencies(job, &unmet);
        for dependency in &unmet {
            let Some(node) = self.nodes.get_mut(dependency) else { continue };
            node.dependents.insert(job.clone());
            cancellation = cancellation.max(node.cancellation);
        }
        let Some(node) = self.nodes.get_mut(job) else { return };
        node.unmet = unmet;
        node.cancellation = node.cancellation.max(cancellation);
        node.own_urgency = Some((urgency, duration));
        let cancellation = node.cancellation;
        let mut changed = vec![job.clone()];
        if cancellation > Cancellation::NotCancelled {
            changed.extend(self.propagate_cancellation(job, cancellation));
        }
        self.propagate_urgency(&changed);
    }

    /// Whether a job has no unmet dependencies and is not cancelled because of one. `false` for
    /// a job that is not in the graph: nothing is known about its dependencies.
    pub fn is_ready(&self, job: &JobId) -> bool {
        self.nodes.get(job).is_some_and(GraphNode::is_ready)
    }

    /// Whether a job is cancelled, by its user or because of its dependencies.
    pub fn cancellation(&self, job: &JobId) -> Cancellation {
        self.nodes.get(job).map_or(Cancellation::NotCancelled, |node| node.cancellation)
    }

    /// Number of jobs visited and edges followed by all operations so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// The urgency of a job's dependents, direct and indirect.
    pub fn inherited(&self, job: &JobId) -> Option<Urgency> {
        self.nodes.get(job).and_then(|node| node.inherited.most_urgent())
    }

    /// Marks a job as done, once that is committed. Returns the dependents that became ready.
    #[must_use]
    pub fn complete(&mut self, job: &JobId) -> Vec<JobId> {
        let Some(node) = self.nodes.get_mut(job) else { return Vec::new() };
        let dependents = std::mem::take(&mut node.dependents);
        node.inherited = InheritedUrgencies::default();
        let mut ready = Vec::new();
        for dependent in dependents {
            self.steps += 1;
            let Some(node) = self.nodes.get_mut(&dependent) else { continue };
            node.unmet.remove(job);
            if node.is_ready() {
                ready.push(dependent);
            }
        }
        self.propagate_urgency(std::slice::from_ref(job));
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
        let Some(node) = self.nodes.get_mut(job) else { return Vec::new() };
        node.cancellation = Cancellation::Cancelled;
        let dependents = self.propagate_cancellation(job, Cancellation::Cancelled);
        let mut cancelled = dependents.clone();
        cancelled.push(job.clone());
        self.propagate_urgency(&cancelled);
        self.remove_edges_to_others(&cancelled);
        dependents
    }

    /// Removes a job whose admission was not carried out. If other jobs depend on it, it was
    /// admitted earlier: it then stays in the graph with these dependents, but without
    /// dependencies of its own.
    pub fn retract(&mut self, job: &JobId) {
        self.remove(job);
    }

    /// Removes a job: a terminal job that is evicted from memory, or one that is retracted. As long
    /// as dependents wait for it, it stays in the graph without dependencies of its own.
    pub fn remove(&mut self, job: &JobId) {
        self.detach_from_dependencies(job);
        self.detach_cancelled_dependents(job);
        let Some(node) = self.nodes.get_mut(job) else { return };
        if node.dependents.is_empty() {
            self.nodes.remove(job);
        } else {
            node.own_urgency = None;
            node.cancellation = Cancellation::NotCancelled;
        }
    }

    /// Removes the edges from a job to its dependencies, which no longer inherit its urgency.
    fn detach_from_dependencies(&mut self, job: &JobId) {
        let Some(node) = self.nodes.get_mut(job) else { return };
        let passed_on = node.passed_on.take();
        let mut changed = Vec::new();
        for id in std::mem::take(&mut node.unmet) {
            self.steps += 1;
            let Some(dependency) = self.nodes.get_mut(&id) else { continue };
            if dependency.dependents.remove(job) && dependency.inherited.replace(passed_on, None) {
                changed.push(id);
            }
        }
        self.propagate_urgency(&changed);
    }

    /// Removes the edges to a job from its dependents that are cancelled, and wait for nothing.
    fn detach_cancelled_dependents(&mut self, job: &JobId) {
        let Some(node) = self.nodes.get_mut(job) else { return };
        let mut dependents = std::mem::take(&mut node.dependents);
        self.steps += dependents.len() as u64;
        dependents.retain(|dependent| match self.nodes.get_mut(dependent) {
            Some(node) if node.is_cancelled() => !node.unmet.remove(job),
            _ => true,
        });
        if let Some(node) = self.nodes.get_mut(job) {
            node.dependents = dependents;
        }
    }

    /// Removes the edges from cancelled jobs to dependencies that are not among them: whatever becomes
    /// of these dependencies does not concern the cancelled jobs any more.
    fn remove_edges_to_others(&mut self, cancelled: &[JobId]) {
        let members: HashSet<&JobId> = cancelled.iter().collect();
        for member in cancelled {
            let Some(node) = self.nodes.get_mut(member) else { continue };
            let unmet = std::mem::take(&mut node.unmet);
            self.steps += unmet.len() as u64;
            let (kept, removed) = unmet.into_iter().partition(|dependency| members.contains(dependency));
            node.unmet = kept;
            let removed: BTreeSet<JobId> = removed;
            for dependency in removed {
                self.nodes.get_mut(&dependency).map(|node| node.dependents.remove(member));
            }
        }
    }
}

#[cfg(test)]
mod tests;
