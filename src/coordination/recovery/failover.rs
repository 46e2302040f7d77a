//! Failover: a new leader restores jobs and node pools from its snapshot, and reconciles
//! every machine that an earlier leader may have used.
//!
//! A machine is reconciled by a heartbeat under this epoch's fencing token, or once its lease
//! has provably expired. Tasks that may have started in earlier epochs wait until all machines
//! are reconciled.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::machine::{Phase, WorkerContact};
use crate::coordination::fleet::node_pool::NodePool;
use crate::coordination::jobs::dependency_state::DependencyStates;
use crate::coordination::jobs::job::Job;
use crate::coordination::leader::Leader;
use crate::coordination::recovery::job_reads::JobSnapshot;
use crate::coordination::recovery::snapshot::Snapshot;
use crate::protocol::jobs::JobId;
use crate::protocol::workers::MachineId;
use crate::storage::records::{NodePoolRecord, job_record_key, node_pool_key};

impl Leader {
    /// Whether a confirmation that no earlier leader is in its post-lease grace period would
    /// shorten the failover.
    pub fn awaits_post_lease_graces(&self) -> bool {
        self.failover.awaits_post_lease_graces()
    }

    /// Records that no earlier leader can have replied to a worker since `at`: every other
    /// controller has stated, between the start of this epoch and `at`, that it is not a leader
    /// and so replies to no worker. That covers earlier terms of the same controllers, including
    /// those of processes that have died: a controller name is used by one process at a time, and
    /// a process only becomes a leader with a new epoch.
    pub fn record_post_lease_graces_over(&mut self, at: Instant) {
        self.failover.record_post_lease_graces_over(at);
    }

    /// Marks the machine as reconciled: from now on the leader knows which tasks are on it.
    pub(crate) fn mark_machine_reconciled(&mut self, machine: &MachineId) {
        let Some(unreconciled) = self.machines.get_mut(machine).filter(|machine| !machine.reconciled) else {
            return;
        };
        unreconciled.reconciled = true;
        let tasks = unreconciled.slots.len();
        tracing::debug!(epoch = self.term.epoch(), %machine, tasks, "machine reconciled");
        let capacity = self.catalog.resources(unreconciled.machine_type);
        self.queue.subtract_reconciled(&capacity);
        self.check_failover_complete();
    }

    /// Completes the failover once every machine that may hold tasks is reconciled, and
    /// archives the terminal jobs that waited for that.
    pub(crate) fn check_failover_complete(&mut self) {
        if self.failover.is_complete()
            || self.failover.unrecorded_machines_possible()
            || self.catalog.is_empty()
            || !self.failover.all_machines_reconciled(&self.machines)
        {
            return;
        }
        self.failover.complete();
        tracing::info!(epoch = self.term.epoch(), "failover complete");
        let terminal: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| job.record.terminal_state().is_some())
            .map(|job| job.id().clone())
            .collect();
        for job in terminal {
            self.try_archive(&job);
        }
    }

    /// Restores data that was read after the failover: jobs that the reconciler has made live
    /// again, and records that could not be read before. No task of these jobs is started
    /// before all worker leases that an earlier leader has renewed have expired.
    pub fn restore_snapshot(&mut self, now: Instant, now_ms: u64, restored: Snapshot) {
        for key in &restored.deleted_keys {
            self.failover.unreadable_mut().remove(key);
        }
        for job in &restored.jobs {
            self.failover.unreadable_mut().remove(&job_record_key(&job.record.spec.id));
        }
        self.failover.unreadable_mut().extend(restored.unreadable);
        self.restore_node_pools(now, restored.node_pools);
        let is_new = |job: &JobSnapshot| !self.jobs.contains_key(&job.record.spec.id);
        let jobs: Vec<JobSnapshot> = restored.jobs.into_iter().filter(is_new).collect();
        let ids: Vec<JobId> = jobs.iter().map(|job| job.record.spec.id.clone()).collect();
        self.restore_jobs(now, now_ms, jobs, &restored.dependency_states);
        for id in ids {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.not_before = Some(now + self.config.failover_lease_timeout());
            }
        }
    }

    /// Registers node pools whose records could not be read at the failover. From now on each
    /// of their machines is reconciled on its own, by its heartbeats.
    fn restore_node_pools(&mut self, now: Instant, node_pools: Vec<(NodePoolRecord, u64)>) {
        for (record, version) in node_pools {
            let name = record.request.name.clone();
            self.failover.unreadable_mut().remove(&node_pool_key(&name));
            if self.node_pools.get(&name).is_none() {
                self.node_pools.insert(NodePool::new(record, version, now));
                self.register_pool_machines(now, &name);
            }
        }
    }

    /// Up to `max` keys of unreadable records that follow `key`, to be read again; the first
    /// ones if none follows.
    pub fn unreadable_after(&self, key: &str, max: usize) -> Vec<String> {
        self.failover.unreadable().next_keys(key, max)
    }

    /// Restores jobs as they were read. All jobs are added before their dependencies are
    /// resolved, because they may depend on one another. Dependents come first, so that each job
    /// enters the dependency graph when its inherited urgency is final.
    pub(crate) fn restore_jobs(
        &mut self,
        now: Instant,
        now_ms: u64,
        jobs: Vec<JobSnapshot>,
        dependency_states: &DependencyStates,
    ) {
        let ids: Vec<JobId> = jobs.iter().map(|job| job.record.spec.id.clone()).collect();
        for job in jobs {
            self.restore_job(now, now_ms, job);
        }
        for id in self.dependents_first(&ids) {
            self.restore_dependencies(now, now_ms, &id, dependency_states);
        }
        self.cancel_restored_dependents(now);
    }

    /// Adds one job. Its tasks below the started high-water mark may still run on a machine, so
    /// they wait until every machine is reconciled.
    fn restore_job(&mut self, now: Instant, now_ms: u64, snapshot: JobSnapshot) {
        let JobSnapshot { record, record_version, progress_version, live_row_version, block_versions } =
            snapshot;
        let age = Duration::from_millis(now_ms.saturating_sub(record.submitted_ms));
        let submitted = now.checked_sub(age).unwrap_or(now);
        let mut job = Job::new(record, record_version, live_row_version, submitted, 0);
        job.stored.block_versions = block_versions;
        job.stored.progress_version = progress_version;
        job.tasks.unreconciled_below = job.stored.started_high_water;
        job.cancellation.committed_at = job.record.cancelled.then_some(now);
        job.team = self.quotas.find(&job.spec().team);
        self.record_latency_sensitive_class(job.spec());
        self.jobs.insert(job.id().clone(), job);
    }

    /// Stops waiting for unrecorded machines once their leases have expired. These are machines
    /// of unreadable node pool records, which may have sent no heartbeat.
    pub(crate) fn expire_unrecorded_machines(&mut self, now: Instant) {
        if !self.failover.expire_unrecorded(now, &self.config) {
            return;
        }
        tracing::info!(epoch = self.epoch(), "leases of machines in unreadable node pool records expired");
        self.queue.invalidate();
        self.check_failover_complete();
    }

    /// Clears the machines whose leases have expired: a worker that has received no reply for
    /// the lease time plus a margin has killed all its tasks.
    pub(crate) fn expire_silent_machines(&mut self, now: Instant) {
        let lease_timeout = self.config.worker_lease_timeout();
        let unreplied_expiry = self.failover.unreplied_lease_expiry(&self.config);
        let expired: Vec<MachineId> = self
            .machines
            .values()
            .filter(|machine| machine.phase != Phase::Booting || !machine.reconciled)
            .filter(|machine| !machine.reconciled || !machine.slots.is_empty())
            .filter(|machine| now >= lease_expiry(&machine.worker, lease_timeout, unreplied_expiry))
            .map(|machine| machine.id.clone())
            .collect();
        for machine in expired {
            self.clear_expired_machine(now, &machine);
        }
    }

    /// Removes the tasks of a machine whose lease has expired, and marks it as reconciled.
    fn clear_expired_machine(&mut self, now: Instant, machine: &MachineId) {
        tracing::info!(%machine, "machine lease expired; its tasks are lost");
        self.clear_slots(now, machine);
        if let Some(expired) = self.machines.get_mut(machine) {
            let worker = &mut expired.worker;
            let newest_heartbeat = worker.last_heartbeat.max(worker.last_stale_heartbeat);
            // A delayed heartbeat of an incarnation seen so far may still list the lost tasks.
            worker.min_incarnation = newest_heartbeat.map_or(0, |stamp| stamp.incarnation + 1);
            expired.free = self.catalog.resources(expired.machine_type);
        }
        self.mark_machine_reconciled(machine);
    }
}

/// Time from which the worker's lease has provably expired. `unreplied_expiry`: that time for a
/// worker to which this leader has never replied.
///
/// A worker that has sent a heartbeat under this epoch's fencing token ignores the replies of
/// earlier leaders. Any other worker may never have received a reply of this epoch, and an
/// earlier leader in its post-lease grace period may have renewed its lease since.
fn lease_expiry(worker: &WorkerContact, lease_timeout: Duration, unreplied_expiry: Instant) -> Instant {
    match worker.replied_at.map(|at| at + lease_timeout) {
        Some(own_expiry) if worker.last_heartbeat.is_some() => own_expiry,
        Some(own_expiry) => own_expiry.max(unreplied_expiry),
        None => unreplied_expiry,
    }
}
