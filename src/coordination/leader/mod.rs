//! The leader: a state machine that takes events and the time and leaves [`Effect`]s to be
//! carried out. It does no input or output of its own and reads no clock, so that a test, a
//! simulation and the controller's actor drive it alike.
//!
//! [`Leader`] is composed of parts that each own their state. What concerns several of them
//! is in the modules by subject: users' requests (`jobs`), heartbeats and commands
//! (`workers`), placement (`scheduling`), machines (`fleet`), and what earlier leaders have
//! left (`recovery`). What may be done at all is decided in
//! [`crate::coordination::authority`].

pub mod effects;
mod metrics;
mod singleton_keys;
mod wall_clock;

use std::sync::Arc;
use std::time::Duration;

use ciborium::value::Value;
use tokio::time::Instant;

use crate::coordination::authority::answers::{Answer, Validity};
use crate::coordination::authority::attempts::AttemptCounter;
use crate::coordination::authority::{LeadershipTerm, Violation};
use crate::coordination::config::Config;
use crate::coordination::controller::capacity::CapacityLimits;
use crate::coordination::fleet::autoscaler::Autoscaler;
use crate::coordination::fleet::catalog::Catalog;
use crate::coordination::fleet::cloud::CloudResult;
use crate::coordination::fleet::cloud_health::CloudHealth;
use crate::coordination::fleet::inventory::Inventory;
use crate::coordination::fleet::machine_table::MachineTable;
use crate::coordination::fleet::node_pool::{NodePool, NodePools};
use crate::coordination::fleet::unregistered::UnregisteredMachines;
use crate::coordination::jobs::admissions::Admissions;
use crate::coordination::jobs::dependency_graph::DependencyGraph;
use crate::coordination::jobs::job::{Job, ReplyId};
use crate::coordination::jobs::quota::Quotas;
use crate::coordination::jobs::write_queue::RecordWriteQueue;
use crate::coordination::recovery::progress::FailoverProgress;
use crate::coordination::recovery::snapshot::Snapshot;
use crate::coordination::scheduling::latency::LatencySensitiveClasses;
use crate::coordination::scheduling::queue::WorkQueue;
use crate::coordination::scheduling::run_estimates::RunEstimates;
use crate::coordination::workers::failure_detector::Liveness;
use crate::maps::HashMap;
use crate::protocol::jobs::JobId;
use crate::protocol::kv::{Change, Compare};
use crate::protocol::workers::Command;
use crate::settings::KvLimits;
use crate::storage::kv::{KvError, RequestClass, Transaction};
use crate::storage::records::{CATALOG, LEARNED_STATISTICS};

use effects::{CloudQuery, Effect, OperationId, Outbox, PendingOperation};
use singleton_keys::SingletonKeys;
use wall_clock::WallClock;

/// How often the slower part of the tick runs.
const SLOW_TICK: Duration = Duration::from_secs(1);

/// Events counted since the epoch began.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    /// Tasks reported under this epoch's fencing token whose job is not known.
    pub(crate) orphan_tasks: u64,
    /// Acts that were refused since they would have broken an invariant.
    pub(crate) invariant_violations: u64,
}

/// The leader of one epoch. All of it is dropped when the epoch ends.
pub struct Leader {
    /// Settings and policy.
    pub(crate) config: Arc<Config>,
    /// The right to decide: epoch, lease, fencing.
    pub(crate) term: LeadershipTerm,
    /// Numbers of task attempts.
    pub(crate) attempts: AttemptCounter,
    /// The time of day.
    pub(crate) clock: WallClock,
    /// All jobs that are unfinished, or terminal and not archived yet.
    pub(crate) jobs: HashMap<JobId, Job>,
    /// Submissions whose first write is under way.
    pub(crate) admissions: Admissions,
    /// Which jobs wait for which.
    pub(crate) dependencies: DependencyGraph,
    /// What teams are guaranteed, may use, and use.
    pub(crate) quotas: Quotas,
    /// Records and rows that wait to be written.
    pub(crate) record_writes: RecordWriteQueue,
    singletons: SingletonKeys,
    /// The machines of all node pools.
    pub(crate) machines: MachineTable,
    /// The node pools.
    pub(crate) node_pools: NodePools,
    /// Machines that no node pool's record names yet.
    pub(crate) unregistered: UnregisteredMachines,
    /// The cloud's machine types.
    pub(crate) catalog: Catalog,
    /// The reading of the cloud's inventory.
    pub(crate) inventory: Inventory,
    /// Whether the cloud answers.
    pub(crate) cloud_health: CloudHealth,
    /// What scaling out and in is based on.
    pub(crate) autoscaler: Autoscaler,
    /// How well the workers are heard.
    pub(crate) liveness: Liveness,
    /// The waiting jobs in order.
    pub(crate) queue: WorkQueue,
    /// Classes of jobs whose tasks are to start at once.
    pub(crate) latency_classes: LatencySensitiveClasses,
    /// How long tasks are expected to run.
    pub(crate) run_estimates: RunEstimates,
    /// What earlier leaders may have left on machines.
    pub(crate) failover: FailoverProgress,
    /// Events counted for operators.
    pub(crate) counters: Counters,
    /// Decisions to be carried out by the controller.
    pub(crate) outbox: Outbox,
    next_slow_tick: Instant,
}

impl Leader {
    /// A leader that has just read the store. It may do nothing before its lease is extended.
    pub fn new(config: Arc<Config>, epoch: u64, now: Instant, now_ms: u64, snapshot: Snapshot) -> Self {
        let cluster = &config.settings.cluster;
        let mut leader = Leader {
            term: LeadershipTerm::new(epoch, now, config.post_lease_grace()),
            attempts: AttemptCounter::new(epoch),
            clock: WallClock::new(now, now_ms),
            jobs: HashMap::default(),
            admissions: Admissions::default(),
            dependencies: DependencyGraph::default(),
            quotas: Quotas::new(&cluster.teams),
            record_writes: RecordWriteQueue::new(now, cluster.kv.in_force()),
            singletons: SingletonKeys::default(),
            machines: MachineTable::new(CapacityLimits::new(&cluster.limits).machines),
            node_pools: NodePools::default(),
            unregistered: UnregisteredMachines::default(),
            catalog: Catalog::default(),
            inventory: Inventory::default(),
            cloud_health: CloudHealth::default(),
            autoscaler: Autoscaler::new(now),
            liveness: Liveness::new(now),
            queue: WorkQueue::new(epoch ^ now_ms),
            latency_classes: LatencySensitiveClasses::default(),
            run_estimates: RunEstimates::default(),
            failover: FailoverProgress::new(now, snapshot.unreadable),
            counters: Counters::default(),
            outbox: Outbox::default(),
            next_slow_tick: now,
            config,
        };
        for (record, version) in snapshot.node_pools {
            leader.node_pools.insert(NodePool::new(record, version, now));
        }
        if let Some((types, version)) = snapshot.catalog {
            leader.catalog.restore(types);
            leader.singletons.restore(CATALOG, version);
            leader.register_all_machines(now);
        }
        if let Some((statistics, version)) = snapshot.statistics {
            leader.singletons.restore(LEARNED_STATISTICS, version);
            leader.restore_statistics(now, statistics);
        }
        leader.restore_jobs(now, now_ms, snapshot.jobs, &snapshot.dependency_states);
        leader.outbox.read_cloud(CloudQuery::Catalog);
        leader
    }

    /// The store's limits now, as far as is known.
    pub fn set_state_limits(&mut self, limits: KvLimits) {
        self.record_writes.set_limits(limits);
    }

    /// The lease was renewed.
    pub fn extend_lease(&mut self, now: Instant, lease_expiry: Instant) {
        if now >= self.term.lease_expiry() {
            self.liveness.restart(now);
        }
        self.term.extend(lease_expiry);
    }

    /// Whether anything may be decided in the epoch's name now.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.term.holds_lease(now)
    }

    /// Until when a heartbeat's answer with these commands may leave.
    pub fn heartbeat_reply_validity(&self, commands: &[Command]) -> Validity {
        self.term.heartbeat_reply_validity(commands)
    }

    /// Whether the epoch is over for certain: the leader is to be dropped.
    pub fn is_fenced(&self) -> bool {
        self.term.is_fenced()
    }

    /// The leader's epoch.
    pub fn epoch(&self) -> u64 {
        self.term.epoch()
    }

    /// When the snapshot had been read from which this leader began.
    pub fn snapshot_at(&self) -> Instant {
        self.failover.snapshot_at()
    }

    /// Hands over what is to be done outside, in the order in which it was decided.
    #[must_use]
    pub fn drain_effects(&mut self) -> Vec<Effect> {
        self.outbox.drain()
    }

    /// Counts and logs that an act was refused which would have broken an invariant.
    pub(crate) fn record_violation(&mut self, violation: Violation, job: &JobId) {
        self.counters.invariant_violations += 1;
        tracing::error!(epoch = self.epoch(), %job, %violation, "invariant violation prevented");
    }

    /// Answers a user's request.
    pub(crate) fn reply(&mut self, reply: ReplyId, answer: Answer) {
        self.outbox.reply(reply, answer);
    }

    /// Commits changes under this epoch; the result comes back for the operation.
    pub(crate) fn commit(
        &mut self,
        operation: PendingOperation,
        class: RequestClass,
        compares: Vec<Compare>,
        changes: Vec<Change>,
    ) {
        let transaction = Transaction { class, epoch: self.epoch(), compares, changes };
        self.outbox.commit(operation, transaction);
    }

    /// Writes one of the keys that leaders keep for the next, unless its last write is under
    /// way or the value is too large.
    pub(crate) fn write_singleton(&mut self, key: &'static str, value: Value) {
        let limit = self.config.settings.cluster.kv.strictest().value_bytes();
        let Some((compare, change)) = self.singletons.begin_write(key, value, limit) else { return };
        let operation = PendingOperation::WriteSingleton(key);
        self.commit(operation, RequestClass::Background, vec![compare], vec![change]);
    }

    /// A transaction has ended.
    pub fn handle_commit_result(
        &mut self,
        now: Instant,
        operation: OperationId,
        result: Result<u64, KvError>,
    ) {
        if result == Err(KvError::Fenced) {
            // Another controller leads, or will: nothing of this epoch may be used.
            self.term.fence();
        }
        match self.outbox.complete(operation) {
            Some(PendingOperation::AdmitJob(job)) => self.handle_admission_written(now, &job, result),
            Some(PendingOperation::WriteJobRecord(job)) => self.handle_record_written(now, &job, result),
            Some(PendingOperation::ArchiveRow(job)) => self.handle_row_archived(&job, result),
            Some(PendingOperation::WriteSingleton(key)) => self.singletons.end_write(key, result.ok()),
            Some(PendingOperation::WriteNodePool(name)) => self.handle_node_pool_written(now, &name, result),
            _ => {}
        }
    }

    /// A call to the cloud has ended.
    pub fn handle_cloud_result(&mut self, now: Instant, operation: OperationId, result: CloudResult) {
        let Some(operation) = self.outbox.complete(operation) else { return };
        self.apply_cloud_result(now, operation, result);
    }

    /// Does what is due by the clock; to be called a few times a second.
    pub fn tick(&mut self, now: Instant) {
        let is_slow_tick = now >= self.next_slow_tick;
        if is_slow_tick {
            self.next_slow_tick = now + SLOW_TICK;
            self.resend_stops(now);
        }
        if !self.holds_lease(now) {
            return;
        }
        self.flush_dirty_records(now);
        self.register_unregistered(now);
        self.expire_silent_machines(now);
        self.expire_unrecorded_machines(now);
        if is_slow_tick {
            self.record_upcoming_starts(now);
            self.autoscale(now);
            self.preempt(now);
        }
    }
}
