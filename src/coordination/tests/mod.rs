//! The leader against scripted workers, state service and cloud, on a clock
//! that only moves when told.

mod cancellation;
mod dag;
mod decision_trace;
mod failover;
mod fleet_size;
mod heartbeats;
mod invariants;
mod lease;
mod monotonic_answers;
mod overlapping_faults;
mod placement;
mod random_faults;
mod records;
mod scale_out;
mod simulation;
mod unreadable;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::authority::answers::Answer;
use crate::coordination::config::Config;
use crate::coordination::fleet::cloud::{CloudCall, CloudError, CloudReply};
use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::cancellation::CancelOutcome;
use crate::coordination::jobs::job::ReplyId;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::coordination::leader::effects::{Effect, OperationId, UncheckedSubmission};
use crate::coordination::recovery::snapshot::{JobSnapshot, Snapshot};
use crate::coordination::workers::heartbeats::HeartbeatReply;
use crate::policy;
use crate::protocol::cbor::{Fields, decode};
use crate::protocol::cloud::{InventoryPage, ListedMachine, ListedState, MachineType, NodePoolRequest};
use crate::protocol::jobs::tests::sample;
use crate::protocol::jobs::{JobId, JobKind, JobSpec, JobState, Priority, TaskId};
use crate::protocol::kv::Change;
use crate::protocol::workers::{
    Command, ExitCause, HEARTBEAT_REPLY_TIMEOUT, Heartbeat, MachineId, TaskState, TaskStatus,
};
use crate::settings;
use crate::storage::kv::{KvError, RequestClass, Transaction};
use crate::storage::records::{
    JobRecord, NODE_POOLS, NodePoolRecord, archived_row_key, job_record_key, live_row_key,
};

const EPOCH: u64 = 40;
const MS: u64 = 1_000_000;

struct Rig {
    leader: Leader,
    now: Instant,
    config: Arc<Config>,
    version: u64,
    answers: Vec<(ReplyId, Answer)>,
    lookups: Vec<(JobId, Answer)>,
    unjudged: Vec<UncheckedSubmission>,
    commits: Vec<(OperationId, Transaction)>,
    direct: Vec<Command>,
    cloud: Vec<(OperationId, CloudCall)>,
    replies: u64,
}

fn id(text: &str) -> JobId {
    JobId::parse(text).expect("valid id")
}

fn machine(text: &str) -> MachineId {
    MachineId::parse(text).expect("valid name")
}

pub(super) fn catalog() -> Vec<MachineType> {
    vec![MachineType {
        name: "m8".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 20.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 30.0,
        zones: vec!["z1".into(), "z2".into()],
    }]
}

/// A fleet record of one machine in zone `z1`.
pub(super) fn rented(name: &str, used: bool) -> (NodePoolRecord, u64) {
    let request = NodePoolRequest {
        name: format!("1-{name}"),
        machine_type: "m8".into(),
        zone: if name.ends_with('b') { "z2".into() } else { "z1".into() },
        spot: false,
        count: 1,
    };
    let id = machine(name);
    (
        NodePoolRecord {
            request,
            machines: Some(vec![id.clone()]),
            machines_used: used.then_some(id).into_iter().collect(),
        },
        3,
    )
}

/// A job of which every task may have begun.
pub(super) fn loaded_job(spec: JobSpec) -> JobSnapshot {
    let begun = spec.tasks;
    let record = JobRecord { started_high_water: begun, ..JobRecord::new(spec, MS) };
    JobSnapshot { record, record_version: 5, live_row_version: 5, block_versions: Vec::new() }
}

impl Rig {
    /// A leader that has just read these records. Idle machines stay for two boots,
    /// so that tests of other things keep theirs.
    fn new(jobs: Vec<JobSnapshot>, rentals: Vec<(NodePoolRecord, u64)>) -> Self {
        let tuning = policy::Tuning { preempt_loss_s: 8.0, idle_ratio: 2.0, ..policy::tests::tuning() };
        Rig::tuned(jobs, rentals, tuning)
    }

    fn tuned(jobs: Vec<JobSnapshot>, rentals: Vec<(NodePoolRecord, u64)>, tuning: policy::Tuning) -> Self {
        Rig::configured(jobs, rentals, Config { settings: settings::tests::sample(), tuning })
    }

    fn configured(jobs: Vec<JobSnapshot>, rentals: Vec<(NodePoolRecord, u64)>, config: Config) -> Self {
        let config = Arc::new(config);
        let now = Instant::now();
        let loaded =
            Snapshot { jobs, node_pools: rentals, catalog: Some((catalog(), 2)), ..Snapshot::default() };
        let mut leader = Leader::new(config.clone(), EPOCH, now, MS, loaded);
        leader.extend_lease(now, now + Duration::from_secs(3600));
        let mut rig = Rig {
            leader,
            now,
            config,
            version: 100,
            answers: Vec::new(),
            lookups: Vec::new(),
            unjudged: Vec::new(),
            commits: Vec::new(),
            direct: Vec::new(),
            cloud: Vec::new(),
            replies: 0,
        };
        rig.collect();
        rig
    }

    /// With machines that are up, known and recorded as used.
    fn with_machines(names: &[&str]) -> Self {
        let mut rig = Rig::new(Vec::new(), names.iter().map(|n| rented(n, true)).collect());
        for name in names {
            rig.beat(name, 1, EPOCH, vec![]);
        }
        rig
    }

    fn collect(&mut self) {
        for action in self.leader.drain_effects() {
            match action {
                Effect::Reply { reply: to, answer } => self.answers.push((to, answer)),
                Effect::LookUpJob { job, if_absent: otherwise, .. } => self.lookups.push((job, otherwise)),
                Effect::ReadDependencies(submission) => self.unjudged.push(*submission),
                Effect::Commit { operation: ticket, transaction } => self.commits.push((ticket, transaction)),
                Effect::CallCloud { operation: ticket, call } => self.cloud.push((ticket, call)),
                Effect::PushCommands { commands: orders, .. } => self.direct.extend(orders),
                Effect::JobEvicted(_) => {}
            }
        }
    }

    /// The state service carries out all that waits; what that entails, too.
    fn commit_all(&mut self) -> Vec<Transaction> {
        let mut all = Vec::new();
        while !self.commits.is_empty() {
            for (ticket, transaction) in std::mem::take(&mut self.commits) {
                self.version += 1;
                self.leader.handle_commit_result(self.now, ticket, Ok(self.version));
                all.push(transaction);
            }
            self.collect();
        }
        all
    }

    fn fail_commit(&mut self, error: KvError) {
        let (ticket, _) = self.commits.remove(0);
        self.leader.handle_commit_result(self.now, ticket, Err(error));
        self.collect();
    }

    fn pass(&mut self, seconds: f64) {
        self.now += Duration::from_secs_f64(seconds);
        self.leader.tick(self.now);
        self.collect();
    }

    fn report(
        &mut self,
        name: &str,
        session: u64,
        seq: u64,
        token: u64,
        tasks: Vec<TaskStatus>,
    ) -> HeartbeatReply {
        self.report_with(name, session, seq, token, None, tasks)
    }

    fn report_with(
        &mut self,
        name: &str,
        session: u64,
        seq: u64,
        token: u64,
        notice_s: Option<f64>,
        tasks: Vec<TaskStatus>,
    ) -> HeartbeatReply {
        let report = Heartbeat {
            incarnation: session,
            fencing_token: token,
            preemption_notice_s: notice_s,
            ..self.reported(name, seq, tasks)
        };
        let reply = self.leader.handle_heartbeat(self.now, &report);
        self.collect();
        reply
    }

    /// A report of the first session under this epoch's token, not sent yet.
    fn reported(&self, name: &str, seq: u64, tasks: Vec<TaskStatus>) -> Heartbeat {
        Heartbeat {
            machine: machine(name),
            address: "127.0.0.1:9".into(),
            machine_type: "m8".into(),
            zone: if name.ends_with('b') { "z2".into() } else { "z1".into() },
            spot: false,
            incarnation: 1,
            sequence: seq,
            fencing_token: EPOCH,
            preemption_notice_s: None,
            tasks,
        }
    }

    /// A report of the first session; returns the orders.
    fn beat(&mut self, name: &str, seq: u64, token: u64, tasks: Vec<TaskStatus>) -> Vec<Command> {
        match self.report(name, 1, seq, token, tasks) {
            HeartbeatReply::Commands { fencing_token: EPOCH, commands: orders } => orders,
            other => panic!("no answer: {other:?}"),
        }
    }

    fn submit(&mut self, spec: JobSpec) -> ReplyId {
        self.replies += 1;
        let to = ReplyId(self.replies);
        self.leader.submit(self.now, MS, to, spec);
        self.collect();
        to
    }

    fn accept(&mut self, spec: JobSpec) {
        let to = self.submit(spec);
        self.commit_all();
        assert_eq!(self.answer(to).map(|a| a.status), Some(201));
    }

    fn withdraw(&mut self, job: &str) -> ReplyId {
        self.replies += 1;
        let to = ReplyId(self.replies);
        assert_eq!(self.leader.cancel(self.now, to, &id(job)), CancelOutcome::Accepted);
        self.collect();
        to
    }

    fn known_machine(&self, name: &str) -> &Machine {
        self.leader.machines.get(&machine(name)).expect("known to the leader")
    }

    fn used_by(&self, team: &str) -> Resources {
        let quotas = &self.leader.quotas;
        quotas.get(quotas.find(team).expect("a team of the settings")).used
    }

    fn answer(&self, to: ReplyId) -> Option<Answer> {
        self.answers.iter().find(|(t, _)| *t == to).map(|(_, a)| a.clone())
    }

    fn standing(&self, job: &str) -> Option<JobState> {
        self.leader.poll(self.now, &id(job)).and_then(|answer| answer.job_status).map(|told| told.state)
    }
}

fn starts(orders: &[Command]) -> Vec<(TaskId, u64)> {
    orders
        .iter()
        .filter_map(|o| match o {
            Command::Start { task, attempt } => Some((task.clone(), *attempt)),
            _ => None,
        })
        .collect()
}

fn listed(start: &(TaskId, u64), state: TaskState) -> TaskStatus {
    TaskStatus { task: start.0.clone(), attempt: start.1, state }
}

const DONE: TaskState = TaskState::Exited(ExitCause::Done);

fn told(answer: &Answer) -> String {
    let value = decode(&answer.body).expect("CBOR");
    Fields::of(&value).and_then(|f| f.text("standing").map(str::to_owned)).expect("a standing")
}

fn in_list(name: &str, state: ListedState) -> ListedMachine {
    ListedMachine {
        machine: machine(name),
        address: String::new(),
        machine_type: "m8".into(),
        zone: "z1".into(),
        spot: false,
        state,
        age_s: 1.0,
    }
}
