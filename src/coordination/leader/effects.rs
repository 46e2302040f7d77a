//! What the leader has decided and its actor still has to carry out.

use std::net::SocketAddr;

use crate::coordination::authority::LeaderPermit;
use crate::coordination::authority::answers::Answer;
use crate::coordination::fleet::cloud::CloudCall;
use crate::coordination::jobs::dependency_state::DependencyStates;
use crate::coordination::jobs::job::ReplyId;
use crate::maps::HashMap;
use crate::protocol::jobs::{JobId, JobSpec, JobStatus};
use crate::protocol::workers::{Command, MachineId};
use crate::storage::kv::Transaction;

/// Something to be done outside the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answer a user's request.
    Reply {
        /// The request.
        reply: ReplyId,
        /// Its answer.
        answer: Answer,
    },
    /// Read the records of jobs that a submission depends on, and submit it again.
    ReadDependencies(Box<UncheckedSubmission>),
    /// Read the job's record: if it exists, the state that it supports is the answer.
    LookUpJob {
        /// The request to be answered.
        reply: ReplyId,
        /// The job to be read.
        job: JobId,
        /// The answer if there is no record.
        if_absent: Answer,
    },
    /// Commit a transaction in the key-value store.
    Commit {
        /// Under which its result is reported back.
        operation: OperationId,
        /// The changes and their conditions.
        transaction: Transaction,
    },
    /// Call the cloud.
    CallCloud {
        /// Under which its result is reported back.
        operation: OperationId,
        /// What is asked.
        call: CloudCall,
    },
    /// Send commands straight to a worker instead of waiting for its next heartbeat.
    PushCommands {
        /// Where the worker listens.
        address: SocketAddr,
        /// The epoch that gives them.
        fencing_token: u64,
        /// The worker's incarnation that they are for; any other refuses them.
        incarnation: u64,
        /// The commands.
        commands: Vec<Command>,
    },
    /// A terminal job has left the leader's memory.
    JobEvicted(JobStatus),
}

/// A submission that cannot be checked before the records of jobs that it depends on are read.
#[derive(Debug, Clone, PartialEq)]
pub struct UncheckedSubmission {
    /// The user's request.
    pub reply: ReplyId,
    /// What is submitted.
    pub spec: JobSpec,
    /// The dependencies whose records are to be read.
    pub unread: Vec<JobId>,
    /// What was read before.
    pub known: DependencyStates,
}

/// Names one operation under way; unique within an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct OperationId(pub u64);

/// What an operation under way was for.
#[derive(Debug)]
pub(crate) enum PendingOperation {
    /// The first write of a job's record and row.
    AdmitJob(JobId),
    /// A later write of a job's record.
    WriteJobRecord(JobId),
    /// The move of a terminal job's row to the archive.
    ArchiveRow(JobId),
    /// A write of a node pool's record.
    WriteNodePool(String),
    /// A request to the cloud for a node pool's machines.
    ProvisionNodePool(String),
    /// A request to the cloud to delete machines.
    DeleteMachines(Vec<MachineId>),
    /// A page of the cloud's inventory.
    ListMachines,
    /// The cloud's machine types.
    ReadCatalog,
    /// A write of one of the singleton keys.
    WriteSingleton(&'static str),
}

/// What is asked of the cloud without changing anything.
#[derive(Debug)]
pub(crate) enum CloudQuery {
    /// The machine types.
    Catalog,
    /// A page of the inventory.
    Machines {
        /// The name after which the page begins; empty for the first.
        from: String,
    },
}

/// The effects not carried out yet, and the operations whose results are awaited.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    effects: Vec<Effect>,
    pending: HashMap<OperationId, PendingOperation>,
    last_operation: u64,
    machines_with_commands: Vec<MachineId>,
}

impl Outbox {
    /// Leaves an effect to be carried out.
    pub(crate) fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Leaves an effect to be carried out, if there is one.
    pub(crate) fn extend(&mut self, effects: impl IntoIterator<Item = Effect>) {
        self.effects.extend(effects);
    }

    /// Hands the effects over, in the order in which they were decided.
    pub(crate) fn drain(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Answers a user's request.
    pub(crate) fn reply(&mut self, reply: ReplyId, answer: Answer) {
        self.push(Effect::Reply { reply, answer });
    }

    /// Commits a transaction; its result comes back for the operation.
    pub(crate) fn commit(&mut self, operation: PendingOperation, transaction: Transaction) {
        let operation = self.begin(operation);
        self.push(Effect::Commit { operation, transaction });
    }

    /// Asks the cloud to provision or to delete machines, which takes the right to decide.
    pub(crate) fn change_cloud(
        &mut self,
        _permit: LeaderPermit,
        operation: PendingOperation,
        call: CloudCall,
    ) {
        self.call_cloud(operation, call);
    }

    /// Asks the cloud for its machine types or its inventory, which changes nothing.
    pub(crate) fn read_cloud(&mut self, query: CloudQuery) {
        match query {
            CloudQuery::Catalog => self.call_cloud(PendingOperation::ReadCatalog, CloudCall::Catalog),
            CloudQuery::Machines { from } => {
                self.call_cloud(PendingOperation::ListMachines, CloudCall::ListMachines { from });
            }
        }
    }

    /// Whether the cloud is being asked for its machine types.
    pub(crate) fn is_reading_catalog(&self) -> bool {
        self.pending.values().any(|operation| matches!(operation, PendingOperation::ReadCatalog))
    }

    /// An operation has ended; `None` if it was not under way.
    pub(crate) fn complete(&mut self, operation: OperationId) -> Option<PendingOperation> {
        self.pending.remove(&operation)
    }

    /// A machine has got a command that should not wait for its next heartbeat.
    pub(crate) fn add_machine_with_command(&mut self, machine: MachineId) {
        self.machines_with_commands.push(machine);
    }

    /// Hands over the machines that have got such commands since the last call.
    pub(crate) fn take_machines_with_commands(&mut self) -> Vec<MachineId> {
        std::mem::take(&mut self.machines_with_commands)
    }

    fn call_cloud(&mut self, operation: PendingOperation, call: CloudCall) {
        let operation = self.begin(operation);
        self.push(Effect::CallCloud { operation, call });
    }

    fn begin(&mut self, operation: PendingOperation) -> OperationId {
        self.last_operation += 1;
        let id = OperationId(self.last_operation);
        self.pending.insert(id, operation);
        id
    }
}
