//! Tests of the leader against scripted workers, a scripted state service and a scripted cloud,
//! on a clock that only the test advances ([`harness`]); and tests of whole clusters in
//! simulated time ([`simulation`]).

mod answers_after_faults;
mod calm_cluster;
mod cancellation;
mod decision_trace;
mod dependencies;
mod failover;
mod fixtures;
mod fleet_size;
mod harness;
mod heartbeats;
mod invariants;
mod late_commands;
mod lease;
mod monotonic_answers;
mod overlapping_faults;
mod oversized_records;
mod placement;
mod random_faults;
mod records;
mod scale_out;
mod simulation;
mod unreadable;
mod unschedulable;

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
use crate::coordination::recovery::job_reads::JobSnapshot;
use crate::coordination::recovery::snapshot::Snapshot;
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

use fixtures::{
    DONE, EPOCH, NOW_MS, StartedTask, answered_state, id, inventory_entry, job_ids, machine,
    running_statuses, starts, stop, task_status, unstarted_job,
};
pub(super) use fixtures::{catalog, heartbeat_message, loaded_job, reproducible_cases, single_machine_pool};
use harness::Harness;
