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
    pub fn most(self, other: Urgency) -> Urgency {
        let finish_by = match (self.finish_by, other.finish_by) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        Urgency { priority: self.priority.max(other.priority), finish_by }
    }
}

/// What the cancellation of jobs that it needs means for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fate {
    /// None of them is cancelled, or about to be.
    Open,
    /// The cancellation of one is being written, with an outcome that is not known yet.
    Undecided,
    /// One is cancelled, and that is committed: so is this job.
    Cancelled,
}

/// A job as it enters the graph.
#[derive(Debug)]
pub struct Entry {
    /// Its needs that are not over yet.
    pub awaited: BTreeSet<JobId>,
    /// Whether one of its needs is known to be cancelled.
    pub fate: Fate,
    pub urgency: Urgency,
    /// How long it is expected to take from its release to its end.
    pub duration: Duration,
}

#[derive(Debug)]
struct Node {
    /// Needs that are not over yet.
    awaited: BTreeSet<JobId>,
    dependents: BTreeSet<JobId>,
    fate: Fate,
    /// Its own; `None` for a job that awaits nothing, whose own the graph never needs.
    own: Option<(Urgency, Duration)>,
    inherited: Option<Urgency>,
}

impl Node {
    fn without_needs() -> Self {
        Node {
            awaited: BTreeSet::new(),
            dependents: BTreeSet::new(),
            fate: Fate::Open,
            own: None,
            inherited: None,
        }
    }

    /// What a job that this one awaits inherits from it.
    fn bequest(&self) -> Option<Urgency> {
        let (own, duration) = self.own?;
        let all = self.inherited.map_or(own, |inherited| own.most(inherited));
        let finish_by = all.finish_by.map(|at| at.checked_sub(duration).unwrap_or(at));
        Some(Urgency { finish_by, ..all })
    }
}

/// The graph of all unfinished jobs that wait, or are waited for.
#[derive(Debug, Default)]
pub struct Dependencies {
    nodes: HashMap<JobId, Node>,
}

impl Dependencies {
    /// A job that names others joins, before its acceptance is written or as it was read.
    pub fn insert(&mut self, job: &JobId, entry: Entry) {
        let Entry { awaited, mut fate, urgency, duration } = entry;
        for need in &awaited {
            let node = self.nodes.entry(need.clone()).or_insert_with(Node::without_needs);
            node.dependents.insert(job.clone());
            fate = fate.max(node.fate);
        }
        let node = self.nodes.entry(job.clone()).or_insert_with(Node::without_needs);
        node.awaited = awaited;
        node.fate = node.fate.max(fate);
        node.own = Some((urgency, duration));
        if node.fate > Fate::Open {
            let fate = node.fate;
            self.spread(job, fate);
        }
        self.bequeath(job);
    }

    /// Whether a job that awaits others is known to wait for none of them any more. One
    /// that the graph does not hold is not: absence proves nothing.
    pub fn is_released(&self, job: &JobId) -> bool {
        self.nodes.get(job).is_some_and(|node| node.awaited.is_empty() && node.fate != Fate::Cancelled)
    }

    /// What the cancellation of jobs that it needs means for a job.
    pub fn fate(&self, job: &JobId) -> Fate {
        self.nodes.get(job).map_or(Fate::Open, |node| node.fate)
    }

    /// The urgency of the jobs that need this one, directly or not.
    pub fn inherited(&self, job: &JobId) -> Option<Urgency> {
        self.nodes.get(job).and_then(|node| node.inherited)
    }

    /// A job is done, and that is committed. Returns those that wait for nothing more.
    pub fn settled(&mut self, job: &JobId) -> Vec<JobId> {
        let mut released = Vec::new();
        for dependent in self.take_dependents(job) {
            let Some(node) = self.nodes.get_mut(&dependent) else { continue };
            node.awaited.remove(job);
            if node.awaited.is_empty() && node.fate != Fate::Cancelled {
                released.push(dependent);
            }
        }
        released
    }

    /// The cancellation of a job is being written: whether those that need it are
    /// cancelled with it is not known until the outcome is.
    pub fn being_cancelled(&mut self, job: &JobId) {
        self.spread(job, Fate::Undecided);
    }

    /// A job is cancelled, and that is committed. Returns all that need it, directly or
    /// not: they are cancelled with it.
    pub fn cancelled(&mut self, job: &JobId) -> Vec<JobId> {
        let all = self.spread(job, Fate::Cancelled);
        let gone: HashSet<&JobId> = all.iter().chain(std::iter::once(job)).collect();
        // What those leave behind may have inherited from them.
        let mut heirs: BTreeSet<JobId> = BTreeSet::new();
        for member in &gone {
            let Some(node) = self.nodes.get(*member) else { continue };
            heirs.extend(node.awaited.iter().filter(|need| !gone.contains(need)).cloned());
        }
        for heir in heirs {
            if let Some(node) = self.nodes.get_mut(&heir) {
                node.dependents.retain(|dependent| !gone.contains(dependent));
            }
            self.inherit_anew(&heir);
        }
        all
    }

    /// A job was not accepted now: what it names counts for nothing. Those that await it
    /// know of an earlier acceptance, and still do.
    pub fn withdraw(&mut self, job: &JobId) {
        let Some(node) = self.nodes.get_mut(job) else { return };
        let dependents = std::mem::take(&mut node.dependents);
        self.remove(job);
        if !dependents.is_empty() {
            self.nodes.insert(job.clone(), Node { dependents, ..Node::without_needs() });
            self.inherit_anew(job);
        }
    }

    /// A job has left: its record is final.
    pub fn remove(&mut self, job: &JobId) {
        let Some(node) = self.nodes.remove(job) else { return };
        for need in &node.awaited {
            if let Some(needed) = self.nodes.get_mut(need) {
                needed.dependents.remove(job);
                self.inherit_anew(need);
            }
        }
    }

    fn take_dependents(&mut self, job: &JobId) -> BTreeSet<JobId> {
        self.nodes.get_mut(job).map(|node| std::mem::take(&mut node.dependents)).unwrap_or_default()
    }

    /// Gives a fate to all that need the job; returns those that had a lesser one.
    fn spread(&mut self, job: &JobId, fate: Fate) -> Vec<JobId> {
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
                if node.fate < fate {
                    node.fate = fate;
                    reached.push(dependent.clone());
                    work.push(dependent);
                }
            }
        }
        reached
    }

    /// What a job that has joined means for those that it needs.
    fn bequeath(&mut self, job: &JobId) {
        let mut work = vec![job.clone()];
        while let Some(next) = work.pop() {
            let Some(node) = self.nodes.get(&next).filter(|node| node.fate != Fate::Cancelled) else {
                continue;
            };
            let Some(bequest) = node.bequest() else { continue };
            for need in node.awaited.clone() {
                let Some(needed) = self.nodes.get_mut(&need) else { continue };
                let inherited = needed.inherited.map_or(bequest, |before| before.most(bequest));
                if needed.inherited != Some(inherited) {
                    needed.inherited = Some(inherited);
                    work.push(need);
                }
            }
        }
    }

    /// Counts again what a job inherits, and those that it needs, since one that needs it
    /// has left.
    fn inherit_anew(&mut self, job: &JobId) {
        let mut work = vec![job.clone()];
        while let Some(next) = work.pop() {
            let Some(node) = self.nodes.get(&next) else { continue };
            let bequests = node.dependents.iter().filter_map(|dependent| self.nodes.get(dependent));
            let open = bequests.filter(|dependent| dependent.fate != Fate::Cancelled);
            let inherited = open.filter_map(Node::bequest).reduce(Urgency::most);
            let Some(node) = self.nodes.get_mut(&next) else { continue };
            if node.inherited != inherited {
                node.inherited = inherited;
                work.extend(node.awaited.iter().cloned());
            }
        }
    }
}

#[cfg(test)]
mod tests;
