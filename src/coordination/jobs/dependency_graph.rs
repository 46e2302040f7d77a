//! Which jobs wait for which: a directed acyclic graph of the unfinished jobs.
//!
//! A job may name others that have to be done before any of its tasks starts. This module
//! owns what follows from that: who is released when a job is done, who is cancelled with
//! a job, and which urgency a job inherits from those that need it. It knows no time and
//! no records; the leader tells it what has been committed, and asks.
//!
//! Only accepted jobs can be named, so no cycle can form. Every walk keeps a list of work
//! instead of recursing, so chains may be of any length, and costs grow with the edges
//! that a change touches.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::maps::{HashMap, HashSet};
use crate::protocol::jobs::{JobId, Priority};

/// How urgent a job is: by its own description, or by that of the jobs that need it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    pub priority: Priority,
    /// When it is to be done, if anybody has said so.
    pub finish_by: Option<Instant>,
}

impl Urgency {
    /// The higher priority and the earlier end of the two.
    pub fn most_urgent(self, other: Urgency) -> Urgency {
        let finish_by = match (self.finish_by, other.finish_by) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        Urgency { priority: self.priority.max(other.priority), finish_by }
    }
}

/// What the cancellation of jobs that it needs means for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cancellation {
    /// None of them is cancelled, or about to be.
    NotCancelled,
    /// The cancellation of one is being written, with an outcome that is not known yet.
    Pending,
    /// One is cancelled, and that is committed: so is this job.
    Cancelled,
}

/// A job as it enters the graph.
#[derive(Debug)]
pub struct NewDependent {
    /// Its needs that are not over yet.
    pub unmet: BTreeSet<JobId>,
    /// Whether one of its needs is known to be cancelled.
    pub cancellation: Cancellation,
    pub urgency: Urgency,
    /// How long it is expected to take from its release to its end.
    pub duration: Duration,
}

#[derive(Debug)]
struct GraphNode {
    /// Needs that are not over yet.
    unmet: BTreeSet<JobId>,
    dependents: BTreeSet<JobId>,
    cancellation: Cancellation,
    /// Its own; `None` for a job that awaits nothing, whose own the graph never needs.
    own_urgency: Option<(Urgency, Duration)>,
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

    /// What a job that this one awaits inherits from it.
    fn urgency_for_dependencies(&self) -> Option<Urgency> {
        let (own, duration) = self.own_urgency?;
        let all = self.inherited.map_or(own, |inherited| own.most_urgent(inherited));
        let finish_by = all.finish_by.map(|at| at.checked_sub(duration).unwrap_or(at));
        Some(Urgency { finish_by, ..all })
    }
}

/// The graph of all unfinished jobs that wait, or are waited for.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    nodes: HashMap<JobId, GraphNode>,
}

impl DependencyGraph {
    /// A job that names others joins, before its acceptance is written or as it was read.
    pub fn insert(&mut self, job: &JobId, entry: NewDependent) {
        let NewDependent { unmet: awaited, cancellation: mut fate, urgency, duration } = entry;
        for need in &awaited {
            let node = self.nodes.entry(need.clone()).or_insert_with(GraphNode::without_dependencies);
            node.dependents.insert(job.clone());
            fate = fate.max(node.cancellation);
        }
        let node = self.nodes.entry(job.clone()).or_insert_with(GraphNode::without_dependencies);
        node.unmet = awaited;
        node.cancellation = node.cancellation.max(fate);
        node.own_urgency = Some((urgency, duration));
        if node.cancellation > Cancellation::NotCancelled {
            let fate = node.cancellation;
            self.propagate_cancellation(job, fate);
        }
        self.propagate_urgency(job);
    }

    /// Whether a job that awaits others is known to wait for none of them any more. One
    /// that the graph does not hold is not: absence proves nothing.
    pub fn is_ready(&self, job: &JobId) -> bool {
        self.nodes
            .get(job)
            .is_some_and(|node| node.unmet.is_empty() && node.cancellation != Cancellation::Cancelled)
    }

    /// What the cancellation of jobs that it needs means for a job.
    pub fn cancellation(&self, job: &JobId) -> Cancellation {
        self.nodes.get(job).map_or(Cancellation::NotCancelled, |node| node.cancellation)
    }

    /// The urgency of the jobs that need this one, directly or not.
    pub fn inherited(&self, job: &JobId) -> Option<Urgency> {
        self.nodes.get(job).and_then(|node| node.inherited)
    }

    /// A job is done, and that is committed. Returns those that wait for nothing more.
    pub fn complete(&mut self, job: &JobId) -> Vec<JobId> {
        let mut released = Vec::new();
        for dependent in self.take_dependents(job) {
            let Some(node) = self.nodes.get_mut(&dependent) else { continue };
            node.unmet.remove(job);
            if node.unmet.is_empty() && node.cancellation != Cancellation::Cancelled {
                released.push(dependent);
            }
        }
        released
    }

    /// The cancellation of a job is being written: whether those that need it are
    /// cancelled with it is not known until the outcome is.
    pub fn mark_cancellation_pending(&mut self, job: &JobId) {
        self.propagate_cancellation(job, Cancellation::Pending);
    }

    /// A job is cancelled, and that is committed. Returns all that need it, directly or
    /// not: they are cancelled with it.
    pub fn cancel(&mut self, job: &JobId) -> Vec<JobId> {
        let all = self.propagate_cancellation(job, Cancellation::Cancelled);
        let gone: HashSet<&JobId> = all.iter().chain(std::iter::once(job)).collect();
        // What those leave behind may have inherited from them.
        let mut heirs: BTreeSet<JobId> = BTreeSet::new();
        for member in &gone {
            let Some(node) = self.nodes.get(*member) else { continue };
            heirs.extend(node.unmet.iter().filter(|need| !gone.contains(need)).cloned());
        }
        for heir in heirs {
            if let Some(node) = self.nodes.get_mut(&heir) {
                node.dependents.retain(|dependent| !gone.contains(dependent));
            }
            self.recompute_inherited_urgency(&heir);
        }
        all
    }

    /// A job was not accepted now: what it names counts for nothing. Those that await it
    /// know of an earlier acceptance, and still do.
    pub fn retract(&mut self, job: &JobId) {
        let Some(node) = self.nodes.get_mut(job) else { return };
        let dependents = std::mem::take(&mut node.dependents);
        self.remove(job);
        if !dependents.is_empty() {
            self.nodes.insert(job.clone(), GraphNode { dependents, ..GraphNode::without_dependencies() });
            self.recompute_inherited_urgency(job);
        }
    }

    /// A job has left: its record is final.
    pub fn remove(&mut self, job: &JobId) {
        let Some(node) = self.nodes.remove(job) else { return };
        for need in &node.unmet {
            if let Some(needed) = self.nodes.get_mut(need) {
                needed.dependents.remove(job);
                self.recompute_inherited_urgency(need);
            }
        }
    }

    fn take_dependents(&mut self, job: &JobId) -> BTreeSet<JobId> {
        self.nodes.get_mut(job).map(|node| std::mem::take(&mut node.dependents)).unwrap_or_default()
    }

    /// Gives a fate to all that need the job; returns those that had a lesser one.
    fn propagate_cancellation(&mut self, job: &JobId, fate: Cancellation) -> Vec<JobId> {
        let mut reached = Vec::new();
        let mut work = vec![job.clone()];
        while let Some(next) = work.pop() {
            let dependents: Vec<JobId> = self
                .nodes
                .get(&next)
                .map(|node| node.dependents.iter().cloned().collect())
                .unwrap_or_default();
            for dependent in dependents {
                let Some(node) = self.nodes.get_mut(&dependent) else { continue };
                if node.cancellation < fate {
                    node.cancellation = fate;
                    reached.push(dependent.clone());
                    work.push(dependent);
                }
            }
        }
        reached
    }

    /// What a job that has joined means for those that it needs.
    fn propagate_urgency(&mut self, job: &JobId) {
        let mut work = vec![job.clone()];
        while let Some(next) = work.pop() {
            let Some(node) =
                self.nodes.get(&next).filter(|node| node.cancellation != Cancellation::Cancelled)
            else {
                continue;
            };
            let Some(bequest) = node.urgency_for_dependencies() else { continue };
            for need in node.unmet.clone() {
                let Some(needed) = self.nodes.get_mut(&need) else { continue };
                let inherited = needed.inherited.map_or(bequest, |before| before.most_urgent(bequest));
                if needed.inherited != Some(inherited) {
                    needed.inherited = Some(inherited);
                    work.push(need);
                }
            }
        }
    }

    /// Counts again what a job inherits, and those that it needs, since one that needs it
    /// has left.
    fn recompute_inherited_urgency(&mut self, job: &JobId) {
        let mut work = vec![job.clone()];
        while let Some(next) = work.pop() {
            let Some(node) = self.nodes.get(&next) else { continue };
            let bequests = node.dependents.iter().filter_map(|dependent| self.nodes.get(dependent));
            let open = bequests.filter(|dependent| dependent.cancellation != Cancellation::Cancelled);
            let inherited = open.filter_map(GraphNode::urgency_for_dependencies).reduce(Urgency::most_urgent);
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
