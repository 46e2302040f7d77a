//! The leader: a state machine whose inputs are events and the time, and whose outputs are
//! [`Effect`]s. It performs no I/O and reads no clock, so that unit tests, the simulation and
//! the controller's actor drive it in the same way.
//!
//! [`Leader`] is composed of parts that each own their state. Operations that involve several
//! parts are in the modules for each subject: users' requests (`jobs`), heartbeats and commands
//! (`workers`), placement (`scheduling`), machines (`fleet`), and the recovery of the state of
//! earlier leaders (`recovery`). [`crate::coordination::authority`] decides which actions are
//! permitted.

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

/// Interval between two runs of the less frequent part of the tick.
const SLOW_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Counters of events in this epoch.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    /// Tasks whose job is not in memory, reported under this epoch's fencing token.
    pub(crate) orphan_tasks: u64,
    /// Actions that were refused because they would have violated an invariant.
    pub(crate) invariant_violations: u64,
}

/// The leader's state in one epoch. It is dropped when the epoch ends.
pub struct Leader {
    /// Settings and policy.
    pub(crate) config: Arc<Config>,
    /// The leadership and what it permits: epoch, lease, fencing.
    pub(crate) term: LeadershipTerm,
    /// Assigns the numbers of task attempts.
    pub(crate) attempts: AttemptCounter,
    /// Converts the monotonic clock to the time of day.
    pub(crate) clock: WallClock,
    /// All jobs that are not terminal, or terminal and not archived yet.
    pub(crate) jobs: HashMap<JobId, Job>,
    /// Submissions whose first write is in flight.
    pub(crate) admissions: Admissions,
    /// The dependencies between jobs.
    pub(crate) dependencies: DependencyGraph,
    /// The resources that each team is guaranteed, may use, and uses.
    pub(crate) quotas: Quotas,
    /// Job records and rows that wait to be written.
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
    /// The scan of the cloud's inventory.
    pub(crate) inventory: Inventory,
    /// Whether the cloud answers calls.
    pub(crate) cloud_health: CloudHealth,
    /// The measurements that scaling out and in is based on.
    pub(crate) autoscaler: Autoscaler,
    /// Whether the workers' heartbeats arrive in time.
    pub(crate) liveness: Liveness,
    /// The waiting jobs, in scheduling order.
    pub(crate) queue: WorkQueue,
    /// Classes of jobs whose tasks should start without delay.
    pub(crate) latency_classes: LatencySensitiveClasses,
    /// How long tasks are expected to run.
    pub(crate) run_estimates: RunEstimates,
    /// What is still unknown about the machines and records of earlier leaders.
    pub(crate) failover: FailoverProgress,
    /// Event counters for operators.
    pub(crate) counters: Counters,
    /// Effects that the controller has yet to carry out.
    pub(crate) outbox: Outbox,
    next_slow_tick: Instant,
}

impl Leader {
    /// Creates a leader from the snapshot that was just read from the store. It may make no
    /// decision until its lease is extended.
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
            record_writes: RecordWriteQueue::new(now, cluster.kv.initial()),
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

    /// Sets the limits of the key-value store that apply now, as far as is known.
    pub fn set_state_limits(&mut self, limits: KvLimits) {
        self.record_writes.set_limits(limits);
    }

    /// Extends the lease after a renewal.
    pub fn extend_lease(&mut self, now: Instant, lease_expiry: Instant) {
        if now >= self.term.lease_expiry() {
            self.liveness.restart(now);
        }
        self.term.extend(lease_expiry);
    }

    /// Whether the leader may make decisions under its epoch now.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.term.holds_lease(now)
    }

    /// Until when a heartbeat reply with these commands may be sent.
    pub fn heartbeat_reply_validity(&self, commands: &[Command]) -> Validity {
        self.term.heartbeat_reply_validity(commands)
    }

    /// Whether the epoch is known to be over, so that the leader must be dropped.
    pub fn is_fenced(&self) -> bool {
        self.term.is_fenced()
    }

    /// The leader's epoch.
    pub fn epoch(&self) -> u64 {
        self.term.epoch()
    }

    /// When the snapshot from which this leader started had been read completely.
    pub fn snapshot_at(&self) -> Instant {
        self.failover.snapshot_at()
    }

    /// Takes the effects to be carried out, in the order in which they were decided.
    #[must_use]
    pub fn drain_effects(&mut self) -> Vec<Effect> {
        self.outbox.drain()
    }

    /// Counts and logs that an action was refused because it would have violated an invariant.
    pub(crate) fn record_violation(&mut self, violation: Violation, job: &JobId) {
        self.counters.invariant_violations += 1;
        tracing::error!(epoch = self.epoch(), %job, %violation, "invariant violation prevented");
    }

    /// Answers a user's request.
    pub(crate) fn reply(&mut self, reply: ReplyId, answer: Answer) {
        self.outbox.reply(reply, answer);
    }

    /// Commits changes under this epoch. [`Self::handle_commit_result`] receives the result.
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

    /// Writes one of the singleton keys, unless its previous write is still in flight or the
    /// value is too large.
    pub(crate) fn write_singleton(&mut self, key: &'static str, value: Value) {
        let limit = self.config.settings.cluster.kv.strictest().value_bytes();
        let Some((compare, change)) = self.singletons.begin_write(key, value, limit) else { return };
        let operation = PendingOperation::WriteSingleton(key);
        self.commit(operation, RequestClass::Background, vec![compare], vec![change]);
    }

    /// Handles the result of a transaction.
    pub fn handle_commit_result(
        &mut self,
        now: Instant,
        operation: OperationId,
        result: Result<u64, KvError>,
    ) {
        if result == Err(KvError::Fenced) {
            // Another controller leads or is about to: no state of this epoch may be used.
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

    /// Handles the result of a call to the cloud.
    pub fn handle_cloud_result(&mut self, now: Instant, operation: OperationId, result: CloudResult) {
        let Some(operation) = self.outbox.complete(operation) else { return };
        self.apply_cloud_result(now, operation, result);
    }

    /// Runs the periodic work that is due. To be called several times a second.
    pub fn tick(&mut self, now: Instant) {
        let is_slow_tick = now >= self.next_slow_tick;
        if is_slow_tick {
            self.next_slow_tick = now + SLOW_TICK_INTERVAL;
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
