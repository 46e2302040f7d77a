//! What a new leader takes over: the records as it has read them, and when it knows what
//! is on every machine that an earlier leader may have used.
//!
//! A machine is known by a report under this epoch's token, or once its lease is provably
//! over. Until all are, tasks that may have begun in earlier epochs wait.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::machine::Phase;
use crate::coordination::fleet::node_pool::NodePool;
use crate::coordination::jobs::dependency_state::DependencyStates;
use crate::coordination::jobs::job::Job;
use crate::coordination::leader::Leader;
use crate::coordination::recovery::snapshot::{JobSnapshot, Snapshot};
use crate::protocol::jobs::JobId;
use crate::protocol::workers::MachineId;
use crate::storage::records::{NodePoolRecord, job_record_key, node_pool_key};

impl Leader {
    /// Whether it would help to know that no earlier leader is in its post-lease grace.
    pub fn awaits_post_lease_graces(&self) -> bool {
        self.failover.awaits_post_lease_graces()
    }

    /// Every other controller has said, by then and after this epoch began, that it is no
    /// leader and so replies to no worker. What it held before, a dead process' included, is
    /// over: a name is used by one process at a time, and a process only becomes a leader
    /// with a new epoch.
    pub fn record_post_lease_graces_over(&mut self, at: Instant) {
        self.failover.record_post_lease_graces_over(at);
    }

    /// What is on the machine is known from now on.
    pub(crate) fn mark_machine_reconciled(&mut self, machine: &MachineId) {
        let Some(m) = self.machines.get_mut(machine).filter(|m| !m.reconciled) else { return };
        m.reconciled = true;
        tracing::debug!(epoch = self.term.epoch(), %machine, tasks = m.slots.len(), "what is on the machine is known");
        let room = self.catalog.resources(m.machine_type);
        self.queue.subtract_reconciled(&room);
        self.check_failover_complete();
    }

    /// Notes when all that was on machines before is known; what waited for it goes on.
    pub(crate) fn check_failover_complete(&mut self) {
        if self.failover.is_complete()
            || self.failover.unlisted_machines_possible()
            || self.catalog.is_empty()
            || !self.failover.all_machines_reconciled(&self.machines)
        {
            return;
        }
        self.failover.complete();
        tracing::info!(epoch = self.term.epoch(), "every machine is accounted for");
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
            self.failover.unreadable_mut().remove(key);
        }
        for job in &restored.jobs {
            self.failover.unreadable_mut().remove(&job_record_key(&job.record.spec.id));
        }
        self.failover.unreadable_mut().extend(restored.unreadable);
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
            self.failover.unreadable_mut().remove(&node_pool_key(&name));
            if self.node_pools.get(&name).is_none() {
                self.node_pools.insert(NodePool::new(record, version, now));
                self.register_pool_machines(now, &name);
            }
        }
    }

    /// What cannot be read and is to be read again, after that key.
    pub fn unreadable_after(&self, key: &str, most: usize) -> Vec<String> {
        self.failover.unreadable().next_keys(key, most)
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
        entry.stored.block_versions = job.block_versions;
        entry.tasks.unreconciled_below = entry.stored.started_high_water;
        entry.cancellation.committed_at = entry.record.cancelled.then_some(now);
        entry.team = self.quotas.find(&entry.spec().team);
        self.record_latency_sensitive_class(entry.spec());
        self.jobs.insert(entry.id().clone(), entry);
    }

    /// Machines whose node pool's record cannot be read, and that have not been heard, have
    /// lost their leases by now.
    pub(crate) fn expire_unlisted_machines(&mut self, now: Instant) {
        if !self.failover.expire_unlisted(now, &self.config) {
            return;
        }
        tracing::info!(epoch = self.epoch(), "machines of unreadable fleet records have lost their leases");
        self.queue.invalidate();
        self.check_failover_complete();
    }

    /// A machine that has not been answered for its whole lease, and a margin,
    /// has killed all its tasks.
    pub(crate) fn expire_silent_machines(&mut self, now: Instant) {
        let proof = self.config.worker_lease_timeout();
        let unheard = self.failover.unreplied_lease_expiry(&self.config);
        let silent: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| m.phase != Phase::Booting || !m.reconciled)
            .filter(|m| !m.reconciled || !m.slots.is_empty())
            // A machine that has shown our token drops the answers of an earlier
            // leader. One that has not may never have got ours, and an earlier
            // leader in its lapse window may have kept it alive since.
            .filter(|m| {
                now >= match m.agent.replied_at.map(|at| at + proof) {
                    Some(own) if m.agent.last_heartbeat.is_some() => own,
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
                m.agent.min_incarnation = m
                    .agent
                    .last_heartbeat
                    .max(m.agent.last_stale_heartbeat)
                    .map_or(0, |stamp| stamp.incarnation + 1);
                m.free = self.catalog.resources(m.machine_type);
            }
            self.mark_machine_reconciled(&machine);
        }
    }
}
