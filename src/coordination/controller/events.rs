//! The messages that a controller's actor takes: calls of users and of other controllers,
//! workers' heartbeats, and the results of the tasks that the actor has spawned.

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::coordination::authority::answers::Answer;
use crate::coordination::controller::peers::PeerState;
use crate::coordination::fleet::cloud::CloudResult;
use crate::coordination::jobs::dependency_state::DependencyStates;
use crate::coordination::leader::effects::{OperationId, UncheckedSubmission};
use crate::coordination::recovery::snapshot::Snapshot;
use crate::protocol::jobs::{JobId, JobStatus};
use crate::protocol::workers::Heartbeat;
use crate::storage::kv::KvError;
use crate::transport::peer::{PeerCall, PeerReply};

/// Takes the answer to one call.
pub(super) type ReplySender = oneshot::Sender<Answer>;

/// Where a call comes from, which bounds how far it is forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestOrigin {
    /// A user: forwarded to the leader, directly or through a relay.
    User,
    /// A controller that cannot reach the leader: forwarded directly to it or not at all.
    Relay,
    /// A controller that takes this one for the leader: never forwarded.
    Peer,
}

/// A message that is not a heartbeat.
pub(super) enum UserMessage {
    /// A call about a job, or another controller's question.
    Call {
        /// What is asked.
        call: PeerCall,
        /// Where the answer goes.
        reply: ReplySender,
        /// Where the call comes from.
        origin: RequestOrigin,
        /// When it entered the actor's queue.
        arrived: Instant,
    },
    /// An operator asks for the controller's metrics.
    Status {
        /// Where the answer goes.
        reply: ReplySender,
    },
}

/// A worker's heartbeat.
pub(super) struct HeartbeatMessage {
    /// The decoded heartbeat.
    pub(super) heartbeat: Heartbeat,
    /// The encoded heartbeat, should it have to be relayed; `None` if it was relayed
    /// already, since that is done once only.
    pub(super) body: Option<Vec<u8>>,
    /// Where the answer goes.
    pub(super) reply: ReplySender,
    /// When it entered the actor's queue.
    pub(super) arrived: Instant,
}

/// A user's request about one job.
pub(super) struct UserRequest {
    /// The request as it is forwarded.
    pub(super) call: PeerCall,
    /// The job that it is about.
    pub(super) job: JobId,
    /// Where the answer goes.
    pub(super) reply: ReplySender,
    /// Where the request comes from.
    pub(super) origin: RequestOrigin,
}

/// The result of reading a job's record.
pub(super) enum RecordRead {
    /// The job has no record: it was never admitted.
    Absent,
    /// The job's state according to its record.
    Found(JobStatus),
    /// There is a record, but it cannot be decoded.
    Unreadable,
    /// The key-value store did not answer in time.
    Unavailable,
}

/// A read of a job's record on behalf of a user.
pub(super) struct JobLookUp {
    /// Where the answer goes.
    pub(super) reply: ReplySender,
    /// The job to be read.
    pub(super) job: JobId,
    /// The answer if there is no record.
    pub(super) if_absent: Answer,
    /// Only a terminal state answers the request.
    pub(super) only_terminal: bool,
}

/// Another controller's reply to a request that was forwarded to it.
pub(super) struct ForwardedReply {
    /// The request.
    pub(super) request: UserRequest,
    /// The controller that replied.
    pub(super) peer: String,
    /// When the request was forwarded to it.
    pub(super) forwarded_at: Instant,
    /// What it replied.
    pub(super) peer_reply: PeerReply,
}

/// The result of a task that the actor has spawned.
pub(super) enum InternalEvent {
    /// The snapshot from which a leader begins was read.
    SnapshotRead {
        /// The epoch for which it was read.
        epoch: u64,
        /// The snapshot; `None` if the store could not be read.
        snapshot: Option<Snapshot>,
    },
    /// A transaction of the leader has ended.
    CommitFinished {
        /// The leader's epoch.
        epoch: u64,
        /// The operation that the transaction was part of.
        operation: OperationId,
        /// The revision at which it was committed.
        result: Result<u64, KvError>,
    },
    /// A call of the leader to the cloud has ended.
    CloudCallFinished {
        /// The leader's epoch.
        epoch: u64,
        /// The operation that the call was part of.
        operation: OperationId,
        /// The cloud's reply.
        result: CloudResult,
    },
    /// Commands were pushed to a worker, or could not be.
    PushFinished,
    /// A job's record was read for a user.
    JobLookedUp {
        /// The read.
        look_up: JobLookUp,
        /// When the read began.
        started: Instant,
        /// Its result.
        read: RecordRead,
    },
    /// The records of the jobs that a submission depends on were read.
    DependenciesRead {
        /// The epoch of the leader that needs them.
        epoch: u64,
        /// The submission.
        submission: Box<UncheckedSubmission>,
        /// The states of those jobs; `None` if they could not be read.
        states: Option<DependencyStates>,
    },
    /// Another controller replied to a forwarded request.
    RequestForwarded(Box<ForwardedReply>),
    /// A user's request could not be forwarded to the leader by any route.
    RequestNotForwarded(UserRequest),
    /// A forwarded request reached the leader after others had not.
    LeaderReached,
    /// A forwarded request reached the leader by no route.
    LeaderNotReached,
    /// A heartbeat was relayed to the leader.
    HeartbeatRelayed {
        /// The leader, if it did not answer in time.
        timed_out_peer: Option<String>,
    },
    /// Another controller was asked whether it leads.
    PeerQueried {
        /// The controller.
        peer: String,
        /// Its reply; `None` if it did not reply in time.
        peer_state: Option<PeerState>,
    },
    /// Another controller did not answer a call in time.
    PeerTimedOut {
        /// The controller.
        peer: String,
    },
    /// One page of archived rows was compared with the jobs' records.
    RowsReconciled {
        /// The epoch of the leader for which it was done.
        epoch: u64,
        /// Where the next page begins.
        next_cursor: String,
        /// The unfinished jobs that were found.
        restored: Snapshot,
    },
    /// Records that could not be decoded before were read again.
    UnreadableReread {
        /// The epoch of the leader for which it was done.
        epoch: u64,
        /// What can be decoded now, and which keys no longer exist.
        restored: Snapshot,
    },
}
