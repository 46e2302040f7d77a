//! The answers that users get: the requests that wait for the leader's state machine, and
//! the terminal states served, which make all later reads monotonic.

use tokio::time::Instant;

use crate::coordination::authority::answers::{Answer, TerminalStates};
use crate::coordination::controller::events::ReplySender;
use crate::coordination::controller::{REQUEST_TIMEOUT, RETRY_AFTER_S};
use crate::coordination::jobs::job::ReplyId;
use crate::maps::HashMap;
use crate::protocol::jobs::{JobId, JobStatus};

/// A request that waits for an answer of the leader's state machine.
pub(super) struct PendingReply {
    /// Where the answer goes.
    pub(super) reply: ReplySender,
    /// The job that the request is about.
    pub(super) job: JobId,
    /// When it was handed to the state machine.
    since: Instant,
}

/// The requests waiting for an answer, and the terminal states served so far.
///
/// Invariant: each answer about a job passes through [`Self::answer`], whatever produced it.
pub(super) struct UserReplies {
    pending: HashMap<ReplyId, PendingReply>,
    last_id: u64,
    terminal_states: TerminalStates,
}

impl UserReplies {
    /// Remembers about so many terminal states.
    pub(super) fn new(terminal_states: usize) -> Self {
        UserReplies {
            pending: HashMap::default(),
            last_id: 0,
            terminal_states: TerminalStates::new(terminal_states),
        }
    }

    /// Keeps a request until the state machine answers it, and names it.
    pub(super) fn register(&mut self, now: Instant, reply: ReplySender, job: JobId) -> ReplyId {
        self.last_id += 1;
        let id = ReplyId(self.last_id);
        self.pending.insert(id, PendingReply { reply, job, since: now });
        id
    }

    /// Takes a request back, to be answered in another way; `None` if it was answered.
    pub(super) fn take(&mut self, id: ReplyId) -> Option<PendingReply> {
        self.pending.remove(&id)
    }

    /// Answers a request that waits for the state machine, unless it was answered before.
    pub(super) fn answer_pending(&mut self, id: ReplyId, answer: Answer) {
        if let Some(PendingReply { reply, job, .. }) = self.take(id) {
            self.answer(reply, &job, answer);
        }
    }

    /// Answers a request about a job. A terminal state that was served before, or learnt
    /// from a record, takes precedence over whatever was decided since the request came.
    pub(super) fn answer(&mut self, reply: ReplySender, job: &JobId, answer: Answer) {
        let _ = reply.send(self.terminal_states.resolve(job, answer));
    }

    /// Answers all waiting requests with the same failure: their leader is no more.
    pub(super) fn fail_all(&mut self, reason: &str) {
        for (_, PendingReply { reply, job, .. }) in std::mem::take(&mut self.pending) {
            self.answer(reply, &job, Answer::retry_later(503, reason, RETRY_AFTER_S));
        }
    }

    /// Answers those that have waited for longer than [`REQUEST_TIMEOUT`].
    pub(super) fn fail_expired(&mut self, now: Instant) {
        let is_expired = |pending: &PendingReply| now > pending.since + REQUEST_TIMEOUT;
        let expired: Vec<ReplyId> =
            self.pending.iter().filter(|(_, pending)| is_expired(pending)).map(|(id, _)| *id).collect();
        for id in expired {
            self.answer_pending(id, Answer::retry_later(503, "not recorded in time", RETRY_AFTER_S));
        }
    }

    /// The job's terminal state, if it was served or learnt.
    pub(super) fn terminal_state(&self, job: &JobId) -> Option<&JobStatus> {
        self.terminal_states.get(job)
    }

    /// Remembers a job's terminal state, which no longer is in the leader's memory.
    pub(super) fn insert_terminal_state(&mut self, status: JobStatus) {
        self.terminal_states.insert(status);
    }
}
