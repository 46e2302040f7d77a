//! The messages that a controller's actor receives: calls of users and of other controllers,
//! workers' heartbeats, and the results of tasks that the actor has spawned.

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::coordination::authority::answers::Answer;
use crate::coordination::controller::peers::PeerState;
use crate::coordination::fleet::cloud::CloudResult;
use crate::coordination::jobs::dependency_state::DependencyStates;
use crate::coordination::leader::effects::{OperationId, UncheckedSubmission};
use crate::coordination::recovery::snapshot::Snapshot;
use crate::coordination::recovery::snapshot_progress::SnapshotProgress;
use crate::protocol::jobs::{JobId, JobStatus};
use crate::protocol::workers::Heartbeat;
use crate::storage::kv::KvError;
use crate::transport::peer::{PeerCall, PeerReply};

/// Receives the answer to one call.
pub(super) type ReplySender = oneshot::Sender<Answer>;

/// The sender of a call, which limits how far the call is forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestOrigin {
    /// A user: forwarded to the leader, directly or through a relay.
    User,
    /// A controller that cannot reach the leader: forwarded directly to it or not at all.
    Relay,
    /// A controller that assumes that this one leads: never forwarded.
    Peer,
}

/// A message that is not a heartbeat.
pub(super) enum RequestMessage {
    /// A call about a job, or a leader query of another controller.
    Call {
        /// The call.
        call: PeerCall,
        /// Receives the answer.
        reply: ReplySender,
        /// The sender of the call.
        origin: RequestOrigin,
        /// When the call entered the actor's queue.
        arrived: Instant,
    },
    /// An operator asks for the controller's metrics.
    Status {
        /// Receives the answer.
        reply: ReplySender,
    },
}

/// A worker's heartbeat.
pub(super) struct HeartbeatMessage {
    /// The decoded heartbeat.
    pub(super) heartbeat: Heartbeat,
    /// The encoded heartbeat, for relaying it; `None` if another controller relayed it, since
    /// a heartbeat is relayed only once.
    pub(super) body: Option<Vec<u8>>,
    /// Receives the answer.
    pub(super) reply: ReplySender,
    /// When the heartbeat entered the actor's queue.
    pub(super) arrived: Instant,
}

/// A user's request about one job.
pub(super) struct UserRequest {
    /// The request in the form in which it is forwarded.
    pub(super) call: PeerCall,
    /// The job that the request is about.
    pub(super) job: JobId,
    /// Receives the answer.
    pub(super) reply: ReplySender,
    /// The sender of the request.
    pub(super) origin: RequestOrigin,
}

/// The result of reading a job's record.
pub(super) enum RecordRead {
    /// The job has no record: it was never admitted.
    Absent,
    /// The job's state according to its record.
    Found(JobStatus),
    /// The record exists but cannot be decoded.
    Unreadable,
    /// The key-value store did not answer in time.
    Unavailable,
}

/// A read of a job's record on behalf of a user.
pub(super) struct JobLookup {
    /// Receives the answer.
    pub(super) reply: ReplySender,
    /// The job whose record is read.
    pub(super) job: JobId,
    /// The answer if the job has no record.
    pub(super) if_absent: Answer,
    /// Whether only a terminal state may answer the request.
    pub(super) only_terminal: bool,
    /// When the read fails; the user may leave soon after.
    pub(super) deadline: Instant,
}

/// Another controller's reply to a request that was forwarded to it.
pub(super) struct ForwardedReply {
    /// The request.
    pub(super) request: UserRequest,
    /// The controller that replied.
    pub(super) peer: String,
    /// When the request was forwarded to that controller.
    pub(super) forwarded_at: Instant,
    /// The reply.
    pub(super) peer_reply: PeerReply,
}

/// The result of a task that the actor has spawned.
pub(super) enum InternalEvent {
    /// The snapshot from which a new leader starts was read.
    SnapshotRead {
        /// The epoch for which the snapshot was read.
        epoch: u64,
        /// The snapshot; `None` if the store could not be read.
        snapshot: Option<Snapshot>,
    },
    /// A part of the snapshot for this epoch was read.
    SnapshotProgressed {
        /// The epoch for which the snapshot is read.
        epoch: u64,
        /// What was read.
        progress: SnapshotProgress,
    },
    /// A transaction of the leader has ended.
    CommitFinished {
        /// The leader's epoch.
        epoch: u64,
        /// The operation that the transaction was part of.
        operation: OperationId,
        /// The revision at which the transaction was committed.
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
    /// A push of commands to a worker has ended, successfully or not.
    PushFinished,
    /// A job's record was read for a user.
    JobLookedUp {
        /// The lookup.
        lookup: JobLookup,
        /// When the read started.
        started: Instant,
        /// The result of the read.
        read: RecordRead,
    },
    /// The records of the jobs that a submission depends on were read.
    DependenciesRead {
        /// The epoch of the leader that requested the read.
        epoch: u64,
        /// The submission.
        submission: Box<UncheckedSubmission>,
        /// The states of those jobs; `None` if they could not be read.
        states: Option<DependencyStates>,
    },
    /// Another controller replied to a forwarded request.
    RequestForwarded(Box<ForwardedReply>),
    /// A user's request could not be forwarded to the leader on any route.
    RequestNotForwarded(UserRequest),
    /// The leader or a relay replied to a forwarded request, after an earlier request had got no
    /// reply.
    LeaderReached,
    /// A forwarded request got no reply on any route to the leader.
    LeaderNotReached,
    /// The relay of a heartbeat to the leader has ended.
    HeartbeatRelayed {
        /// The leader's name if it did not answer in time.
        timed_out_peer: Option<String>,
    },
    /// A leader query to another controller has ended.
    PeerQueried {
        /// The controller.
        peer: String,
        /// The controller's state; `None` if it did not reply in time.
        peer_state: Option<PeerState>,
    },
    /// Another controller did not answer a call in time.
    PeerTimedOut {
        /// The controller.
        peer: String,
    },
    /// The comparison of one page of archived rows with the jobs' records has ended, successfully
    /// or not.
    RowsReconciled {
        /// The epoch of the leader for which the page was compared.
        epoch: u64,
        /// Where the next page starts; after a failure, where this page started.
        next_cursor: String,
        /// The unfinished jobs whose archived rows were made live again.
        restored: Snapshot,
    },
    /// Records that could not be decoded earlier were read again.
    UnreadableReread {
        /// The epoch of the leader for which they were read.
        epoch: u64,
        /// The records that can be decoded now, and the keys that no longer exist.
        restored: Snapshot,
    },
}
