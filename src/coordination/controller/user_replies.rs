//! Answers to users: the requests that wait for the leader's state machine, and a cache of
//! terminal job states, with which no later answer contradicts a terminal one.

use std::collections::BTreeMap;

use ciborium::value::Value;
use tokio::time::Instant;

use crate::coordination::authority::answers::{Answer, TerminalStates};
use crate::coordination::controller::events::ReplySender;
use crate::coordination::controller::{REQUEST_TIMEOUT, RETRY_AFTER_S};
use crate::coordination::jobs::job::ReplyId;
use crate::maps::HashMap;
use crate::numeric::whole_ms;
use crate::protocol::cbor::MapBuilder;
use crate::protocol::jobs::{JobId, JobStatus};

/// A request that waits for an answer of the leader's state machine.
pub(super) struct PendingReply {
    /// Receives the answer.
    pub(super) reply: ReplySender,
    /// The job that the request is about.
    pub(super) job: JobId,
    /// When the request was passed to the state machine.
    registered_at: Instant,
}

/// The requests that wait for an answer, and the cached terminal states.
///
/// Invariant: every answer about a job passes through [`Self::answer`], whatever its source.
pub(super) struct UserReplies {
    pending: HashMap<ReplyId, PendingReply>,
    last_id: u64,
    terminal_states: TerminalStates,
    /// Answers about jobs since the process started, by status.
    answers: BTreeMap<u16, u64>,
    /// Refused requests about jobs since the process started, by reason.
    refusals: BTreeMap<&'static str, u64>,
    /// The epoch that this controller leads and when it began, until its first answer.
    unanswered_epoch: Option<(u64, Instant)>,
}

impl UserReplies {
    /// Caches about `terminal_state_capacity` terminal states.
    pub(super) fn new(terminal_state_capacity: usize) -> Self {
        UserReplies {
            pending: HashMap::default(),
            last_id: 0,
            terminal_states: TerminalStates::new(terminal_state_capacity),
            answers: BTreeMap::new(),
            refusals: BTreeMap::new(),
            unanswered_epoch: None,
        }
    }

    /// Begins an epoch of this controller, whose first answer is logged.
    pub(super) fn begin_epoch(&mut self, now: Instant, epoch: u64) {
        self.unanswered_epoch = Some((epoch, now));
    }

    /// Stores a request until the state machine answers it, and assigns its id.
    pub(super) fn register(&mut self, now: Instant, reply: ReplySender, job: JobId) -> ReplyId {
        self.last_id += 1;
        let id = ReplyId(self.last_id);
        self.pending.insert(id, PendingReply { reply, job, registered_at: now });
        id
    }

    /// Removes and returns a pending request, so that it can be answered in another way; `None`
    /// if it was already answered.
    pub(super) fn take(&mut self, id: ReplyId) -> Option<PendingReply> {
        self.pending.remove(&id)
    }

    /// Answers a pending request, unless it was already answered.
    pub(super) fn answer_pending(&mut self, id: ReplyId, answer: Answer) {
        if let Some(PendingReply { reply, job, .. }) = self.take(id) {
            self.answer(reply, &job, answer);
        }
    }

    /// Answers a request about a job. A cached terminal state takes precedence over `answer`.
    pub(super) fn answer(&mut self, reply: ReplySender, job: &JobId, answer: Answer) {
        let answer = self.terminal_states.resolve(job, answer);
        self.count(&answer);
        if answer.status == 200
            && let Some((epoch, began)) = self.unanswered_epoch.take()
        {
            let since_acquired_ms = whole_ms(began.elapsed());
            tracing::info!(epoch, since_acquired_ms, "first answer of the epoch");
        }
        let _ = reply.send(answer);
    }

    /// Counts a request that has waited in the queue for longer than its sender, and returns the
    /// answer to it.
    pub(super) fn refuse_expired(&mut self) -> Answer {
        let answer = Answer::retry_later(503, "expired in the queue", RETRY_AFTER_S);
        self.count(&answer);
        answer
    }

    fn count(&mut self, answer: &Answer) {
        *self.answers.entry(answer.status).or_default() += 1;
        if let Some(reason) = answer.refusal {
            *self.refusals.entry(reason).or_default() += 1;
        }
    }

    /// The number of answers about jobs by status, without those from cached terminal states.
    pub(super) fn answer_metrics(&self) -> Value {
        let add =
            |metrics: MapBuilder, (status, count): (&u16, &u64)| metrics.set(&status.to_string(), *count);
        self.answers.iter().fold(MapBuilder::new(), add).build()
    }

    /// The number of refused requests about jobs, by reason.
    pub(super) fn refusal_metrics(&self) -> Value {
        let add = |metrics: MapBuilder, (reason, count): (&&str, &u64)| metrics.set(reason, *count);
        self.refusals.iter().fold(MapBuilder::new(), add).build()
    }

    /// Fails all pending requests with the same reason, as their leader no longer exists and its
    /// epoch is over.
    pub(super) fn fail_all(&mut self, reason: &'static str) {
        self.unanswered_epoch = None;
        for (_, PendingReply { reply, job, .. }) in std::mem::take(&mut self.pending) {
            self.answer(reply, &job, Answer::retry_later(503, reason, RETRY_AFTER_S));
        }
    }

    /// Fails the requests that have been pending for longer than [`REQUEST_TIMEOUT`].
    pub(super) fn fail_expired(&mut self, now: Instant) {
        let is_expired = |pending: &PendingReply| now > pending.registered_at + REQUEST_TIMEOUT;
        let expired: Vec<ReplyId> =
            self.pending.iter().filter(|(_, pending)| is_expired(pending)).map(|(id, _)| *id).collect();
        for id in expired {
            self.answer_pending(id, Answer::retry_later(503, "not recorded in time", RETRY_AFTER_S));
        }
    }

    /// Returns the job's terminal state, if it is cached.
    pub(super) fn terminal_state(&self, job: &JobId) -> Option<&JobStatus> {
        self.terminal_states.get(job)
    }

    /// Caches the terminal state of a job that was evicted from the leader's memory.
    pub(super) fn insert_terminal_state(&mut self, status: JobStatus) {
        self.terminal_states.insert(status);
    }
}
