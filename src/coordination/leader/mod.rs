//! The leader's picture and the bookkeeping that all its parts share.
//!
//! [`Leader`] takes events and the time and leaves [`Action`]s to carry out.
//! Its parts are in the modules beside this one, by subject: users (`intake`,
//! `pipelines`), workers (`agents`, `stopping`, `slots`), placing (`scheduler`, `urgency`,
//! `preemption`), machines (`fleet`, `renting`), records (`record_writing`), what an
//! earlier leader has left (`takeover`). What it may do at all is decided in
//! [`crate::coordination::authority`].

mod metrics;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::coordination::authority::answers::{Answer, Validity};
use crate::coordination::authority::{LeaderPermit, LeadershipTerm, Violation};
use crate::coordination::config::Config;
use crate::coordination::controller::capacity::CapacityLimits;
use crate::coordination::fleet::cloud::{CloudCall, CloudResult};
use crate::coordination::fleet::demand::{Demand, DemandGroup};
use crate::coordination::fleet::inventory::InventoryScan;
use crate::coordination::fleet::machine::{Machine, NodePool};
use crate::coordination::fleet::scale_out::{Backoff, InstanceOffer};
use crate::coordination::jobs::dag::DependencyStates;
use crate::coordination::jobs::dependency_graph::DependencyGraph;
use crate::coordination::jobs::job::{Job, ReplyId, Resources, TeamQuota};
use crate::coordination::recovery::failover::Snapshot;
use crate::coordination::recovery::unreadable::UnreadableRecords;
use crate::coordination::scheduling::placement::QueuedJob;
use crate::coordination::scheduling::slack::LatencySensitiveTask;
use crate::maps::{HashMap, HashSet};
use crate::protocol::cloud::MachineType;
use crate::protocol::jobs::{JobId, JobSpec};
use crate::protocol::kv::{Change, Compare};
use crate::protocol::workers::{Command, MachineId};
use crate::settings::StateLimits;
use crate::storage::kv::{KvError, RequestClass, Transaction};
use crate::storage::records::{CATALOG, JobRecord, LEARNED_STATISTICS, node_pool_key};

/// What is to be done outside.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    Reply {
        reply: ReplyId,
        answer: Answer,
    },
    /// Read the records of jobs that a submission names, and judge it again.
    ReadDependencies(Box<UncheckedSubmission>),
    /// Read the job's record: if it exists its standing is the answer.
    LookUpJob {
        to: ReplyId,
        job: JobId,
        if_absent: Answer,
    },
    Commit {
        operation: u64,
        transaction: Transaction,
    },
    CallCloud {
        ticket: u64,
        call: CloudCall,
    },
    PushCommands {
        address: SocketAddr,
        fencing_token: u64,
        incarnation: u64,
        commands: Vec<Command>,
    },
    /// The job is over and leaves memory.
    JobEvicted(crate::protocol::jobs::JobStatus),
}

/// A submission that cannot be judged before the records of jobs that it names are read.
#[derive(Debug, Clone, PartialEq)]
pub struct UncheckedSubmission {
    pub reply: ReplyId,
    pub spec: JobSpec,
    /// Those to be read.
    pub unread: Vec<JobId>,
    /// What was read before.
    pub known: DependencyStates,
}

/// What a commit or a call was for.
#[derive(Debug)]
pub(crate) enum PendingOperation {
    AdmitJob(JobId),
    WriteJobRecord(JobId),
    ArchiveRow(JobId),
    WriteNodePool(String),
    ProvisionNodePool(String),
    DeleteMachines(Vec<MachineId>),
    ListMachines,
    ReadCatalog,
    WriteSingleton(&'static str),
}

/// What is asked of the cloud without changing anything.
#[derive(Debug)]
pub(crate) enum CloudQuery {
    Catalog,
    /// A page of the machine list, after that name.
    Machines {
        from: String,
    },
}

/// A key that leaders keep for the next, and the state of its writing.
#[derive(Debug, Default)]
pub(crate) struct SingletonKey {
    pub version: u64,
    pub write_in_flight: bool,
}

#[derive(Debug)]
pub(crate) struct PendingAdmission {
    pub record: JobRecord,
    pub waiters: Vec<ReplyId>,
}

pub struct Leader {
    pub(crate) config: Arc<Config>,
    pub(crate) epoch: u64,
    pub(crate) lease_expiry: Instant,
    /// Since when this leader has answered reports without a break.
    pub(crate) replying_since: Instant,
    pub(crate) snapshot_at: Instant,
    /// Since when no earlier leader can have answered a worker.
    pub(crate) post_lease_graces_over_at: Option<Instant>,
    pub(crate) jobs: HashMap<JobId, Job>,
    pub(crate) dependencies: DependencyGraph,
    /// The state service's limits as far as is known.
    pub(crate) state_limits: StateLimits,
    /// The time of day at a moment of the steady clock.
    wall_clock: (Instant, u64),
    pub(crate) pending_admissions: HashMap<JobId, PendingAdmission>,
    pub(crate) teams: Vec<TeamQuota>,
    pub(crate) team_index: HashMap<String, usize>,
    pub(crate) machines: BTreeMap<MachineId, Machine>,
    pub(crate) node_pools: BTreeMap<String, NodePool>,
    /// Machines that no record names, to be entered together: type, zone, spot.
    pub(crate) unregistered: BTreeMap<MachineId, (String, String, bool)>,
    pub(crate) unregistered_since: Option<Instant>,
    pub(crate) tombstones: HashSet<MachineId>,
    pub(crate) tombstone_order: VecDeque<MachineId>,
    /// Deleted machines remembered, against late reports of theirs.
    pub(crate) max_tombstones: usize,
    pub(crate) catalog: Vec<MachineType>,
    pub(crate) catalog_read_at: Option<Instant>,
    pub(crate) singleton_keys: HashMap<&'static str, SingletonKey>,
    pub(crate) statistics_saved_at: Instant,
    pub(crate) demand: HashMap<DemandGroup, Demand>,
    /// Measured run time against the owners' estimates, by class.
    pub(crate) runtime_ratios: HashMap<String, f64>,
    pub(crate) spot_losses: f64,
    pub(crate) spot_seconds: f64,
    pub(crate) backoff: HashMap<InstanceOffer, Backoff>,
    /// Since when all but a few machines have been heard in time.
    pub(crate) mostly_live_since: Option<Instant>,
    pub(crate) inventory_scan: Option<InventoryScan>,
    pub(crate) inventory_read_at: Option<Instant>,
    pub(crate) cloud_failed_at: Option<Instant>,
    pub(crate) queue: Vec<QueuedJob>,
    pub(crate) queue_ordered_at: Option<Instant>,
    /// The least that any task in it takes: with less room, no job need be looked
    /// at.
    pub(crate) min_task_cpus: f64,
    /// Machines that had room when the queue was last ordered.
    pub(crate) candidates: Vec<MachineId>,
    /// All the room of machines that may hold unknown tasks, counted then.
    pub(crate) unreconciled_capacity: Resources,
    /// Machines kept clear for jobs that must begin.
    pub(crate) reservations: HashMap<JobId, MachineId>,
    pub(crate) pending_operations: HashMap<u64, PendingOperation>,
    pub(crate) last_operation: u64,
    /// Jobs with done tasks to be written, the longest waiting first.
    pub(crate) dirty_jobs: VecDeque<(Instant, JobId)>,
    /// Records that the service refuses in every size, and when to try them again.
    pub(crate) rejected_records: Vec<(Instant, JobId)>,
    /// When the writing of done tasks was last gone about.
    pub(crate) flushed_at: Instant,
    /// Jobs whose rows are to follow their records, and moves under way.
    pub(crate) archive_queue: VecDeque<JobId>,
    pub(crate) archives_in_flight: usize,
    pub(crate) last_attempt: u32,
    pub(crate) last_node_pool: u32,
    pub(crate) next_slow_tick: Instant,
    pub(crate) failover_complete: bool,
    pub(crate) unreadable: UnreadableRecords,
    /// Machines that no readable record names may hold tasks.
    pub(crate) unlisted_machines_possible: bool,
    /// When a machine that is not in the picture was last answered while that was so.
    pub(crate) unlisted_replied_at: Option<Instant>,
    /// Tasks reported under this epoch's token whose job is not in the picture.
    pub(crate) orphan_tasks: u64,
    /// Acts that were refused since they would have broken what must always hold.
    pub(crate) invariant_violations: u64,
    /// A machine that was not known when that was last looked at: while it is not, there
    /// is nothing to look for.
    pub(crate) unreconciled_machine: Option<MachineId>,
    pub(crate) submissions_refused: u64,
    /// Classes of jobs that are to start within less than a report interval.
    pub(crate) latency_sensitive_classes: HashMap<String, LatencySensitiveTask>,
    /// Work that is to start promptly has come to wait.
    pub(crate) latency_sensitive_work: bool,
    /// Machines for which there is an order that should not wait.
    pub(crate) machines_with_commands: Vec<MachineId>,
    pub(crate) effects: Vec<Effect>,
    pub(crate) rng: SmallRng,
    pub(crate) is_fenced: bool,
}

impl Leader {
    pub fn new(config: Arc<Config>, epoch: u64, now: Instant, now_ms: u64, loaded: Snapshot) -> Self {
        let cluster = &config.settings.cluster;
        let unlimited = |limit: f64| if limit > 0.0 { limit } else { f64::INFINITY };
        let teams = cluster
            .teams
            .iter()
            .map(|t| TeamQuota {
                guaranteed: Resources { cpus: t.cpus, gpus: t.gpus, memory_gb: 0.0 },
                limit: Resources {
                    cpus: unlimited(t.cpus_max),
                    gpus: unlimited(t.gpus_max),
                    memory_gb: f64::INFINITY,
                },
                used: Resources::default(),
            })
            .collect();
        let team_index = cluster.teams.iter().enumerate().map(|(at, t)| (t.name.clone(), at)).collect();
        let mut leader = Leader {
            epoch,
            lease_expiry: now,
            replying_since: now,
            snapshot_at: now,
            post_lease_graces_over_at: None,
            jobs: HashMap::default(),
            dependencies: DependencyGraph::default(),
            state_limits: config.settings.cluster.state.present(),
            wall_clock: (now, now_ms),
            pending_admissions: HashMap::default(),
            teams,
            team_index,
            machines: BTreeMap::new(),
            node_pools: BTreeMap::new(),
            unregistered: BTreeMap::new(),
            unregistered_since: None,
            tombstones: HashSet::default(),
            tombstone_order: VecDeque::new(),
            max_tombstones: CapacityLimits::new(&config.settings.cluster.limits).machines,
            catalog: Vec::new(),
            catalog_read_at: None,
            singleton_keys: HashMap::default(),
            statistics_saved_at: now,
            demand: HashMap::default(),
            runtime_ratios: HashMap::default(),
            spot_losses: 0.0,
            spot_seconds: 0.0,
            backoff: HashMap::default(),
            mostly_live_since: None,
            inventory_scan: None,
            inventory_read_at: None,
            cloud_failed_at: None,
            queue: Vec::new(),
            queue_ordered_at: None,
            min_task_cpus: 0.0,
            candidates: Vec::new(),
            unreconciled_capacity: Resources::default(),
            reservations: HashMap::default(),
            pending_operations: HashMap::default(),
            last_operation: 0,
            dirty_jobs: VecDeque::new(),
            rejected_records: Vec::new(),
            flushed_at: now,
            archive_queue: VecDeque::new(),
            archives_in_flight: 0,
            last_attempt: 0,
            last_node_pool: 0,
            next_slow_tick: now,
            failover_complete: false,
            unlisted_machines_possible: loaded.unreadable.may_hide_machines(),
            unlisted_replied_at: None,
            unreadable: UnreadableRecords::default(),
            orphan_tasks: 0,
            invariant_violations: 0,
            unreconciled_machine: None,
            submissions_refused: 0,
            latency_sensitive_classes: HashMap::default(),
            latency_sensitive_work: false,
            machines_with_commands: Vec::new(),
            effects: Vec::new(),
            rng: SmallRng::seed_from_u64(epoch ^ now_ms),
            is_fenced: false,
            config,
        };
        leader.unreadable.extend(loaded.unreadable);
        for (record, version) in loaded.node_pools {
            let rental = NodePool::new(record, version, now);
            leader.node_pools.insert(rental.record.request.name.clone(), rental);
        }
        if let Some((types, version)) = loaded.catalog {
            leader.catalog = types;
            leader.singleton_keys.insert(CATALOG, SingletonKey { version, write_in_flight: false });
            leader.register_all_machines(now);
        }
        if let Some((experience, version)) = loaded.statistics {
            leader
                .singleton_keys
                .insert(LEARNED_STATISTICS, SingletonKey { version, write_in_flight: false });
            leader.restore_statistics(now, experience);
        }
        leader.restore_jobs(now, now_ms, loaded.jobs, &loaded.dependency_states);
        leader.request_catalog();
        leader
    }

    /// The time of day.
    pub(crate) fn wall_ms(&self, now: Instant) -> u64 {
        let (then, then_ms) = self.wall_clock;
        let passed = now.saturating_duration_since(then).as_millis();
        then_ms.saturating_add(u64::try_from(passed).unwrap_or(u64::MAX))
    }

    /// What the state service's limits are now, as far as is known.
    pub fn set_state_limits(&mut self, limits: StateLimits) {
        self.state_limits = limits;
    }

    /// The lease holds until then.
    pub fn extend_lease(&mut self, now: Instant, until: Instant) {
        if now >= self.lease_expiry {
            self.replying_since = now;
        }
        self.lease_expiry = until;
    }

    /// How this leader stands to its epoch.
    pub(crate) fn term(&self) -> LeadershipTerm {
        LeadershipTerm {
            epoch: self.epoch,
            lease_expiry: self.lease_expiry,
            grace_expiry: self.lease_expiry + self.config.post_lease_grace(),
            is_fenced: self.is_fenced,
        }
    }

    /// Whether anything may be done in the epoch's name now.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.term().leader_permit(now).is_ok()
    }

    /// Until when an answer to a worker with these orders may leave.
    pub fn heartbeat_reply_validity(&self, orders: &[Command]) -> Validity {
        self.term().heartbeat_reply_validity(orders)
    }

    /// Notes that an act was refused which would have broken what must always hold.
    pub(crate) fn record_violation(&mut self, violation: Violation, job: &JobId) {
        self.invariant_violations += 1;
        tracing::error!(epoch = self.epoch, %job, %violation, "an invariant would have been violated");
    }

    /// What answers decided now rest on.
    pub(crate) fn validity(&self) -> Validity {
        Validity { epoch: self.epoch, valid_until: self.lease_expiry }
    }

    /// The epoch is over for certain: the leader is to be dropped.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    pub fn drain_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(crate) fn reply(&mut self, to: ReplyId, answer: Answer) {
        self.effects.push(Effect::Reply { reply: to, answer });
    }

    pub(crate) fn begin_operation(&mut self, ticket: PendingOperation) -> u64 {
        self.last_operation += 1;
        self.pending_operations.insert(self.last_operation, ticket);
        self.last_operation
    }

    pub(crate) fn commit(
        &mut self,
        ticket: PendingOperation,
        class: RequestClass,
        conditions: Vec<Compare>,
        changes: Vec<Change>,
    ) {
        let ticket = self.begin_operation(ticket);
        let transaction = Transaction { class, epoch: self.epoch, compares: conditions, changes };
        self.effects.push(Effect::Commit { operation: ticket, transaction });
    }

    /// Asks the cloud to rent or to delete machines.
    pub(crate) fn change_cloud(&mut self, _permit: LeaderPermit, ticket: PendingOperation, call: CloudCall) {
        self.call_cloud(ticket, call);
    }

    /// Asks the cloud for its machine types or its list, which changes nothing.
    pub(crate) fn read_cloud(&mut self, query: CloudQuery) {
        match query {
            CloudQuery::Catalog => self.call_cloud(PendingOperation::ReadCatalog, CloudCall::Catalog),
            CloudQuery::Machines { from } => {
                self.call_cloud(PendingOperation::ListMachines, CloudCall::List { from })
            }
        }
    }

    fn call_cloud(&mut self, ticket: PendingOperation, call: CloudCall) {
        let ticket = self.begin_operation(ticket);
        self.effects.push(Effect::CallCloud { ticket, call });
    }

    /// A transaction has ended.
    pub fn handle_commit_result(&mut self, now: Instant, ticket: u64, result: Result<u64, KvError>) {
        if result == Err(KvError::Fenced) {
            // Another leads, or will: nothing of this picture may be used.
            self.is_fenced = true;
        }
        match self.pending_operations.remove(&ticket) {
            Some(PendingOperation::AdmitJob(job)) => self.handle_admission_written(now, job, result),
            Some(PendingOperation::WriteJobRecord(job)) => self.handle_record_written(now, job, result),
            Some(PendingOperation::ArchiveRow(job)) => self.handle_row_archived(job, result),
            Some(PendingOperation::WriteSingleton(key)) => {
                let note = self.singleton_keys.entry(key).or_default();
                note.write_in_flight = false;
                note.version = result.unwrap_or(note.version);
            }
            Some(PendingOperation::WriteNodePool(name)) => self.handle_node_pool_written(now, name, result),
            _ => {}
        }
    }

    /// A call to the cloud has ended.
    pub fn handle_cloud_result(&mut self, now: Instant, ticket: u64, result: CloudResult) {
        let Some(ticket) = self.pending_operations.remove(&ticket) else { return };
        self.apply_cloud_result(now, ticket, result);
    }

    /// To be called a few times a second.
    pub fn tick(&mut self, now: Instant) {
        let slow = now >= self.next_slow_tick;
        if slow {
            self.next_slow_tick = now + Duration::from_secs(1);
            self.resend_stops(now);
        }
        if !self.holds_lease(now) {
            return;
        }
        self.flush_dirty_records(now);
        self.register_unregistered(now);
        self.expire_silent_machines(now);
        self.expire_unlisted_machines(now);
        if slow {
            self.record_upcoming_starts(now);
            self.autoscale(now);
            self.preempt(now);
        }
    }

    /// Writes a fleet record, one write at a time.
    pub(crate) fn write_node_pool(&mut self, name: &str) {
        let Some(rental) = self.node_pools.get_mut(name) else { return };
        if rental.write_in_flight {
            rental.rewrite_needed = true;
            return;
        }
        rental.write_in_flight = true;
        rental.rewrite_needed = false;
        let key = node_pool_key(name);
        let conditions = vec![Compare { key: key.clone(), version: rental.version }];
        let empty = rental.record.machines.as_ref().is_some_and(Vec::is_empty);
        let change = if empty {
            Change::Delete { key }
        } else {
            Change::Put { key, value: rental.record.encode(), lease: None }
        };
        // Without the mark of a new machine nothing starts on it. Machines that were
        // there before anything was asked for are what the first jobs wait for:
        // their records do not queue behind a crowd of acceptances.
        let found = rental.version == 0 && rental.record.machines.is_some();
        let class = if found { RequestClass::Admission } else { RequestClass::Completion };
        self.commit(PendingOperation::WriteNodePool(name.to_owned()), class, conditions, vec![change]);
    }

    /// A new job as the store now has it.
    pub(crate) fn insert_job(&mut self, now: Instant, record: JobRecord, version: u64) {
        let waits = !record.spec.dependencies.is_empty() && !self.dependencies.is_ready(&record.spec.id);
        let layout = record.layout(self.config.settings.cluster.state.value_kb);
        let count = layout.blocks(record.spec.tasks);
        let mut job = Job::new(record, version, version, now, count);
        job.team = self.team_index.get(&job.spec().team).copied();
        job.ready_at = (!waits).then_some(now);
        job.cancelled_at = job.record.cancelled.then_some(now);
        self.record_latency_sensitive_class(job.spec());
        self.latency_sensitive_work |= !waits && self.is_latency_sensitive(job.spec());
        self.jobs.insert(job.id().clone(), job);
        self.queue_ordered_at = None;
    }

    /// Machine types on which a task can run.
    pub(crate) fn feasible_types(&self, spec: &JobSpec) -> Vec<usize> {
        let need = Resources::of(spec);
        (0..self.catalog.len())
            .filter(|&at| {
                let kind = &self.catalog[at];
                need.fits(&Resources::of_type(kind))
                    && spec.machine_types.as_ref().is_none_or(|types| types.contains(&kind.name))
                    && spec.zone.as_ref().is_none_or(|zone| kind.zones.contains(zone))
            })
            .collect()
    }

    /// How long a task is expected to run: the owner's estimate, corrected by
    /// how the estimates of its class have turned out.
    pub(crate) fn expected_run_s(&self, spec: &JobSpec) -> f64 {
        let ratio = self.runtime_ratios.get(&spec.class).copied().unwrap_or(1.0);
        (spec.estimated_run_s * ratio).min(1e6)
    }

    pub(crate) fn record_run(&mut self, job: &JobId, seconds: f64) {
        const CLASSES: usize = 256;
        let Some(job) = self.jobs.get_mut(job) else { return };
        job.record_run(seconds);
        let spec = job.spec();
        if spec.estimated_run_s <= 0.0
            || (self.runtime_ratios.len() >= CLASSES && !self.runtime_ratios.contains_key(&spec.class))
        {
            return;
        }
        let seen = (seconds / spec.estimated_run_s).clamp(0.05, 20.0);
        let ratio = self.runtime_ratios.entry(spec.class.clone()).or_insert(1.0);
        *ratio += (seen - *ratio) * 0.02;
    }
}
