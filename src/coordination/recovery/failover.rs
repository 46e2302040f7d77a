//! What a new leader takes over: the records as it has read them, and when it knows what
//! is on every machine that an earlier leader may have used.
//!
//! A machine is known by a report under this epoch's token, or once its lease is provably
//! over. Until all are, tasks that may have begun in earlier epochs wait.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::machine::{Machine, NodePool, Phase};
use crate::coordination::jobs::dag::DependencyStates;
use crate::coordination::jobs::job::{Job, Resources};
use crate::coordination::leader::Leader;
use crate::coordination::recovery::unreadable::UnreadableRecords;
use crate::protocol::cloud::MachineType;
use crate::protocol::jobs::JobId;
use crate::protocol::workers::MachineId;
use crate::storage::records::{JobRecord, LearnedStatistics, NodePoolRecord, job_record_key, node_pool_key};

/// What a new leader reads from the store.
#[derive(Debug, Default)]
pub struct Snapshot {
    pub jobs: Vec<JobSnapshot>,
    /// What was read of jobs that those await and that are not among them.
    pub dependency_states: DependencyStates,
    pub node_pools: Vec<(NodePoolRecord, u64)>,
    pub catalog: Option<(Vec<MachineType>, u64)>,
    pub statistics: Option<(LearnedStatistics, u64)>,
    /// What is there and cannot be read.
    pub unreadable: UnreadableRecords,
    /// Keys that could not be read before, and are no more.
    pub deleted_keys: Vec<String>,
}

#[derive(Debug)]
pub struct JobSnapshot {
    pub record: JobRecord,
    pub record_version: u64,
    pub live_row_version: u64,
    pub block_versions: Vec<u64>,
}

impl Leader {
    /// Whether it would help to know that no earlier leader is in its lapse window.
    pub fn awaits_post_lease_graces(&self) -> bool {
        !self.failover_complete && self.post_lease_graces_over_at.is_none()
    }

    /// Every other controller has said, by then and after this epoch began,
    /// that it has no picture of any epoch and so answers no worker. What it
    /// held before, a dead process' included, is over: a name is used by one
    /// process at a time, and a picture is only had with a new epoch.
    pub fn record_post_lease_graces_over(&mut self, at: Instant) {
        self.post_lease_graces_over_at.get_or_insert(at);
    }

    /// When a machine that this epoch has never answered has lost its lease.
    pub(crate) fn unreplied_lease_expiry(&self) -> Instant {
        let lapse_window = self.snapshot_at + self.config.failover_lease_timeout();
        self.post_lease_graces_over_at
            .map_or(lapse_window, |at| lapse_window.min(at + self.config.worker_lease_timeout()))
    }

    /// What is on the machine is known from now on.
    pub(crate) fn mark_machine_reconciled(&mut self, machine: &MachineId) {
        let Some(m) = self.machines.get_mut(machine).filter(|m| !m.reconciled) else { return };
        m.reconciled = true;
        tracing::debug!(epoch = self.epoch, %machine, tasks = m.slots.len(), "what is on the machine is known");
        let room = self.catalog.get(m.machine_type).map(Resources::of_type).unwrap_or_default();
        // Counted anew with each ordering of the queue, and not below nothing.
        if room.fits(&self.unreconciled_capacity) {
            self.unreconciled_capacity.sub(&room);
        }
        self.check_failover_complete();
    }

    /// Whether all that may be on machines from before this epoch is known.
    ///
    /// Machines become known in about the order of the walk or in any other; it goes on
    /// where it stopped, so that a takeover's reports do not each walk the whole fleet.
    pub(crate) fn all_machines_reconciled(&mut self) -> bool {
        let is_unknown = |m: &&Machine| m.use_recorded && !m.reconciled;
        let from = self.unreconciled_machine.take();
        let rest = from.and_then(|from| self.machines.range(from..).map(|(_, m)| m).find(is_unknown));
        let found = rest.or_else(|| self.machines.values().find(is_unknown));
        self.unreconciled_machine = found.map(|m| m.id.clone());
        self.unreconciled_machine.is_none()
    }

    /// Notes when all that was on machines before is known; what waited for it goes on.
    pub(crate) fn check_failover_complete(&mut self) {
        if self.failover_complete
            || self.unlisted_machines_possible
            || self.catalog.is_empty()
            || !self.all_machines_reconciled()
        {
            return;
        }
        self.failover_complete = true;
        tracing::info!(epoch = self.epoch, "every machine is accounted for");
        let over: Vec<JobId> = self
            .jobs
            .values()
            .filter(|j| j.record.terminal_state().is_some())
            .map(|j| j.id().clone())
            .collect();
        for job in over {
            self.try_archive(&job);
        }
    }

    /// Takes in what was read after the takeover: jobs that the reconciler brought back
    /// among the living, and what could not be read before.
    pub fn restore_snapshot(&mut self, now: Instant, now_ms: u64, restored: Snapshot) {
        for key in &restored.deleted_keys {
            self.unreadable.remove(key);
        }
        for job in &restored.jobs {
            self.unreadable.remove(&job_record_key(&job.record.spec.id));
        }
        self.unreadable.extend(restored.unreadable);
        self.restore_node_pools(now, restored.node_pools);
        let new = |job: &JobSnapshot| !self.jobs.contains_key(&job.record.spec.id);
        let jobs: Vec<JobSnapshot> = restored.jobs.into_iter().filter(new).collect();
        let ids: Vec<JobId> = jobs.iter().map(|job| job.record.spec.id.clone()).collect();
        self.restore_jobs(now, now_ms, jobs, &restored.dependency_states);
        for id in ids {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.not_before = Some(now + self.config.failover_lease_timeout());
            }
        }
    }

    /// Enters fleet records that could not be read at the takeover. Whether their machines
    /// hold tasks is known of each from its own reports from now on.
    fn restore_node_pools(&mut self, now: Instant, rentals: Vec<(NodePoolRecord, u64)>) {
        for (record, version) in rentals {
            let name = record.request.name.clone();
            self.unreadable.remove(&node_pool_key(&name));
            if !self.node_pools.contains_key(&name) {
                self.node_pools.insert(name.clone(), NodePool::new(record, version, now));
                self.register_pool_machines(now, &name);
            }
        }
    }

    /// What cannot be read and is to be read again, after that key.
    pub fn unreadable_after(&self, key: &str, most: usize) -> Vec<String> {
        self.unreadable.next_keys(key, most)
    }

    /// Takes in jobs as they were read, all of them before what they wait for.
    pub(crate) fn restore_jobs(
        &mut self,
        now: Instant,
        now_ms: u64,
        jobs: Vec<JobSnapshot>,
        needs: &DependencyStates,
    ) {
        let ids: Vec<JobId> = jobs.iter().map(|job| job.record.spec.id.clone()).collect();
        for job in jobs {
            self.restore_job(now, now_ms, job);
        }
        for id in ids {
            self.restore_dependencies(now, now_ms, &id, needs);
        }
        self.cancel_restored_dependents(now);
    }

    fn restore_job(&mut self, now: Instant, now_ms: u64, job: JobSnapshot) {
        let age = Duration::from_millis(now_ms.saturating_sub(job.record.submitted_ms));
        let submitted = now.checked_sub(age).unwrap_or(now);
        let mut entry = Job::new(job.record, job.record_version, job.live_row_version, submitted, 0);
        entry.block_versions = job.block_versions;
        entry.unreconciled_below = entry.committed_high_water;
        entry.cancelled_at = entry.record.cancelled.then_some(now);
        entry.team = self.team_index.get(&entry.spec().team).copied();
        self.record_latency_sensitive_class(entry.spec());
        self.jobs.insert(entry.id().clone(), entry);
    }

    /// Whether a machine that is not in the picture may be answered while a fleet record
    /// cannot be read. Each answer may keep alive tasks that nobody counts, so they end
    /// after a lease: by then a live machine has been entered.
    pub(crate) fn may_reply_to_unlisted(&mut self, now: Instant) -> bool {
        let lease = self.config.settings.cluster.workers.lease();
        let may = now < self.snapshot_at + lease;
        if may {
            self.unlisted_replied_at = Some(now);
        }
        may
    }

    /// Machines whose fleet record cannot be read, and that have not been heard, have lost
    /// their leases by now.
    pub(crate) fn expire_unlisted_machines(&mut self, now: Instant) {
        let answered = self.unlisted_replied_at.map(|at| at + self.config.worker_lease_timeout());
        if !self.unlisted_machines_possible
            || now < self.unreplied_lease_expiry()
            || answered.is_some_and(|proof| now < proof)
        {
            return;
        }
        tracing::info!(epoch = self.epoch, "machines of unreadable fleet records have lost their leases");
        self.unlisted_machines_possible = false;
        self.queue_ordered_at = None;
        self.check_failover_complete();
    }

    /// A machine that has not been answered for its whole lease, and a margin,
    /// has killed all its tasks.
    pub(crate) fn expire_silent_machines(&mut self, now: Instant) {
        let proof = self.config.worker_lease_timeout();
        let unheard = self.unreplied_lease_expiry();
        let silent: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| m.phase != Phase::Booting || !m.reconciled)
            .filter(|m| !m.reconciled || !m.slots.is_empty())
            // A machine that has shown our token drops the answers of an earlier
            // leader. One that has not may never have got ours, and an earlier
            // leader in its lapse window may have kept it alive since.
            .filter(|m| {
                now >= match m.replied_at.map(|at| at + proof) {
                    Some(own) if m.last_heartbeat.is_some() => own,
                    Some(own) => own.max(unheard),
                    None => unheard,
                }
            })
            .map(|m| m.id.clone())
            .collect();
        for machine in silent {
            tracing::info!(%machine, "silent for its whole lease; its tasks are gone");
            self.clear_slots(now, &machine);
            if let Some(m) = self.machines.get_mut(&machine) {
                // A report that was held back may still list them.
                m.min_incarnation =
                    m.last_heartbeat.max(m.last_stale_heartbeat).map_or(0, |(session, _)| session + 1);
                m.free = self.catalog.get(m.machine_type).map(Resources::of_type).unwrap_or_default();
            }
            self.mark_machine_reconciled(&machine);
        }
    }
}
