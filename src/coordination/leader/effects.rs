//! The effects that the leader has decided on and that the controller's actor carries out.

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

/// An action that the controller carries out for the leader's state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answer a user's request.
    Reply {
        /// The request.
        reply: ReplyId,
        /// Its answer.
        answer: Answer,
    },
    /// Read the records of jobs that a submission depends on, then continue the submission.
    ReadDependencies(Box<UncheckedSubmission>),
    /// Read the job's record and answer with the state that follows from it.
    LookUpJob {
        /// The request to be answered.
        reply: ReplyId,
        /// The job to be read.
        job: JobId,
        /// The answer if the job has no record.
        if_absent: Answer,
    },
    /// Commit a transaction in the key-value store.
    Commit {
        /// The operation that its result is reported for.
        operation: OperationId,
        /// The changes and their conditions.
        transaction: Transaction,
    },
    /// Call the cloud.
    CallCloud {
        /// The operation that its result is reported for.
        operation: OperationId,
        /// The call.
        call: CloudCall,
    },
    /// Send commands directly to a worker instead of waiting for its next heartbeat.
    PushCommands {
        /// The address on which the worker listens.
        address: SocketAddr,
        /// The epoch under which the commands were decided.
        fencing_token: u64,
        /// The incarnation of the worker that the commands are for; any other refuses them.
        incarnation: u64,
        /// The commands.
        commands: Vec<Command>,
    },
    /// A terminal job was evicted from the leader's memory.
    JobEvicted(JobStatus),
}

/// A submission that cannot be checked until the records of jobs that it depends on are read.
#[derive(Debug, Clone, PartialEq)]
pub struct UncheckedSubmission {
    /// The user's request.
    pub reply: ReplyId,
    /// The submitted job.
    pub spec: JobSpec,
    /// The dependencies whose records have not been read yet.
    pub unread_dependencies: Vec<JobId>,
    /// The states of dependencies that were read before.
    pub read_states: DependencyStates,
}

/// Identifies an operation in flight; unique within an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct OperationId(pub u64);

/// The purpose of an operation in flight.
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
    /// A request to the cloud to provision a node pool's machines.
    ProvisionNodePool(String),
    /// A request to the cloud to delete machines.
    DeleteMachines(Vec<MachineId>),
    /// A read of one page of the cloud's inventory.
    ListMachines,
    /// A read of the cloud's machine types.
    ReadCatalog,
    /// A write of one of the singleton keys.
    WriteSingleton(&'static str),
}

/// A request to the cloud that changes nothing.
#[derive(Debug)]
pub(crate) enum CloudQuery {
    /// The machine types.
    Catalog,
    /// A page of the inventory.
    Machines {
        /// The machine name after which the page begins; empty for the first page.
        from: String,
    },
}

/// The effects that are not carried out yet, and the operations whose results are pending.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    effects: Vec<Effect>,
    pending: HashMap<OperationId, PendingOperation>,
    last_operation: u64,
    machines_with_commands: Vec<MachineId>,
}

impl Outbox {
    /// Adds an effect to be carried out.
    pub(crate) fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Adds effects to be carried out.
    pub(crate) fn extend(&mut self, effects: impl IntoIterator<Item = Effect>) {
        self.effects.extend(effects);
    }

    /// Takes the effects, in the order in which they were decided.
    pub(crate) fn drain(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Answers a user's request.
    pub(crate) fn reply(&mut self, reply: ReplyId, answer: Answer) {
        self.push(Effect::Reply { reply, answer });
    }

    /// Commits a transaction; its result is reported for the operation.
    pub(crate) fn commit(&mut self, operation: PendingOperation, transaction: Transaction) {
        let operation = self.begin(operation);
        self.push(Effect::Commit { operation, transaction });
    }

    /// Asks the cloud to provision or delete machines, which requires a permit.
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

    /// Whether a read of the cloud's machine types is in flight.
    pub(crate) fn is_reading_catalog(&self) -> bool {
        self.pending.values().any(|operation| matches!(operation, PendingOperation::ReadCatalog))
    }

    /// Removes and returns an operation that has ended; `None` if it was not in flight.
    pub(crate) fn complete(&mut self, operation: OperationId) -> Option<PendingOperation> {
        self.pending.remove(&operation)
    }

    /// Adds a machine that has a command which should not wait for the next heartbeat.
    pub(crate) fn add_machine_with_command(&mut self, machine: MachineId) {
        self.machines_with_commands.push(machine);
    }

    /// Takes the machines that were added since the last call.
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
