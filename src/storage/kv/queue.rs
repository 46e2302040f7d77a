//! Requests that wait to be sent, in one queue per class.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::statistics::{CLASS_COUNT, QueueStatistics};
use super::{HttpResult, KvError, RequestClass, Transaction};
use crate::transport::client::HttpCall;

/// All request classes, the highest priority first.
pub const CLASSES: [RequestClass; CLASS_COUNT] = [
    RequestClass::Renewal,
    RequestClass::Cancellation,
    RequestClass::Admission,
    RequestClass::Completion,
    RequestClass::Progress,
    RequestClass::Background,
];

/// While requests of lower classes wait, at most this many are sent in a row before one of them is, so
/// that no class is starved by those above it.
const MAX_SENT_BEFORE_LOWER: usize = 15;

/// A caller's request to the actor.
pub(super) enum Request {
    /// A request that is sent unchanged and without retries.
    Raw {
        /// Priority of the request.
        class: RequestClass,
        /// The HTTP request.
        call: HttpCall,
        /// Receives the result.
        reply: oneshot::Sender<HttpResult>,
        /// When the caller passed the request to the client.
        since: Instant,
    },
    /// A transaction that is retried until its outcome is known.
    Commit(Box<PendingTransaction>),
}

impl Request {
    /// The priority of the request.
    pub(super) fn class(&self) -> RequestClass {
        match self {
            Request::Raw { class, .. } => *class,
            Request::Commit(pending) => pending.transaction.class,
        }
    }

    /// When the caller passed the request to the client.
    pub(super) fn since(&self) -> Instant {
        match self {
            Request::Raw { since, .. } => *since,
            Request::Commit(pending) => pending.since,
        }
    }

    /// Whether the caller still waits for the response. A commit is carried out in any case.
    pub(super) fn is_awaited(&self) -> bool {
        match self {
            Request::Raw { reply, .. } => !reply.is_closed(),
            Request::Commit(_) => true,
        }
    }

    /// Number of puts and deletes that count against the store's write rate. A raw commit counts
    /// as one: only the election sends them, and each writes only the leader key.
    pub(super) fn write_count(&self) -> usize {
        match self {
            Request::Raw { call, .. } => usize::from(call.target == "/commit"),
            Request::Commit(pending) => pending.transaction.changes.len(),
        }
    }
}

/// What earlier attempts to commit a transaction imply for the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum AttemptState {
    /// May be committed together with transactions of other callers.
    Batchable,
    /// Must be committed alone: a batch with it was rejected or had a conflict.
    Alone,
    /// Must be committed alone, and an earlier attempt may have been committed, or may yet
    /// be.
    OutcomeUnknown,
}

/// A transaction whose result has not been reported yet.
pub(super) struct PendingTransaction {
    /// The caller's changes, with the write marker in each value.
    pub(super) transaction: Transaction,
    /// Upper bound on the bytes that it takes in a request.
    pub(super) size: usize,
    /// Marker in the values of this transaction and of no other.
    pub(super) write_marker: String,
    attempt_state: AttemptState,
    /// When the caller passed it to the client.
    since: Instant,
    reply: oneshot::Sender<Result<u64, KvError>>,
}

impl PendingTransaction {
    /// Creates a transaction that has not been sent yet; `size` is in bytes.
    pub(super) fn new(
        transaction: Transaction,
        size: usize,
        write_marker: String,
        reply: oneshot::Sender<Result<u64, KvError>>,
    ) -> Self {
        PendingTransaction {
            transaction,
            size,
            write_marker,
            attempt_state: AttemptState::Batchable,
            since: Instant::now(),
            reply,
        }
    }

    /// Whether it may be committed together with transactions of other callers.
    pub(super) fn is_batchable(&self) -> bool {
        self.attempt_state == AttemptState::Batchable
    }

    /// Whether an earlier attempt may have been committed, or may yet be.
    pub(super) fn is_outcome_unknown(&self) -> bool {
        self.attempt_state == AttemptState::OutcomeUnknown
    }

    /// Requires that the transaction is committed alone from now on.
    pub(super) fn isolate(&mut self) {
        self.attempt_state = self.attempt_state.max(AttemptState::Alone);
    }

    /// Records that the last attempt may have been committed, or may yet be.
    pub(super) fn mark_outcome_unknown(&mut self) {
        self.attempt_state = AttemptState::OutcomeUnknown;
    }

    /// Reports the result to the caller, who may have stopped waiting.
    pub(super) fn report(self, result: Result<u64, KvError>) {
        let _ = self.reply.send(result);
    }
}

/// The request that is to be sent next.
pub(super) struct NextRequest<'a> {
    /// The request.
    pub(super) request: &'a Request,
    /// The class whose limits apply to it: its own, or a higher one that waits while it is its turn.
    pub(super) served_as: RequestClass,
}

/// The waiting requests of each class, in the order in which they are to be sent.
///
/// Higher classes go first, but after [`MAX_SENT_BEFORE_LOWER`] of them the oldest request of the lower
/// classes takes a turn. Renewals precede all turns.
#[derive(Default)]
pub(super) struct RequestQueues {
    /// Indexed by class.
    queues: [VecDeque<Request>; CLASSES.len()],
    /// Requests sent since one of a lower class was sent or none waited.
    sent_before_lower: usize,
}

impl RequestQueues {
    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Updates how many requests wait, and for how long.
    pub(super) fn measure(&self, now: Instant, statistics: &mut QueueStatistics) {
        for (queue, class) in self.queues.iter().zip(&mut statistics.classes) {
            class.queued = queue.len();
            class.oldest = queue.front().map_or(Duration::ZERO, |request| now - request.since());
        }
    }

    /// Drops the first requests of each class as long as their callers have left, and counts them.
    /// Callers of one class have about the same patience, so those that have left are the first.
    pub(super) fn drop_abandoned(&mut self, statistics: &mut QueueStatistics) {
        for (queue, class) in self.queues.iter_mut().zip(&mut statistics.classes) {
            while queue.front().is_some_and(|request| !request.is_awaited()) {
                queue.pop_front();
                class.dropped += 1;
            }
        }
    }

    /// Adds a request behind all others of its class.
    pub(super) fn push_back(&mut self, request: Request) {
        self.queues[request.class() as usize].push_back(request);
    }

    /// Adds a transaction that is to be retried, in front of all others of its class.
    pub(super) fn push_front(&mut self, pending: PendingTransaction) {
        self.queues[pending.transaction.class as usize].push_front(Request::Commit(Box::new(pending)));
    }

    /// The request that is to be sent next.
    pub(super) fn first(&self) -> Option<NextRequest<'_>> {
        let served_as = self.highest()?;
        let request = self.queues[self.next_class()? as usize].front()?;
        Some(NextRequest { request, served_as })
    }

    /// Removes the request that is to be sent next.
    pub(super) fn pop_first(&mut self) -> Option<Request> {
        let (highest, class) = (self.highest()?, self.next_class()?);
        if class != highest || self.oldest_below(highest).is_none() {
            self.sent_before_lower = 0;
        } else if highest != RequestClass::Renewal {
            self.sent_before_lower += 1;
        }
        self.queues[class as usize].pop_front()
    }

    /// The class of the request that is to be sent next.
    fn next_class(&self) -> Option<RequestClass> {
        let highest = self.highest()?;
        let is_turn_of_lower =
            highest != RequestClass::Renewal && self.sent_before_lower >= MAX_SENT_BEFORE_LOWER;
        let lower = self.oldest_below(highest).filter(|_| is_turn_of_lower);
        Some(lower.unwrap_or(highest))
    }

    /// The highest class of the waiting requests.
    fn highest(&self) -> Option<RequestClass> {
        CLASSES.into_iter().find(|&class| !self.queues[class as usize].is_empty())
    }

    /// The class below this one whose first request has waited longest.
    fn oldest_below(&self, class: RequestClass) -> Option<RequestClass> {
        let below = CLASSES.into_iter().filter(|&other| other > class);
        let heads = below.filter_map(|other| Some((self.queues[other as usize].front()?.since(), other)));
        heads.min().map(|(_, other)| other)
    }

    /// Removes and returns the transactions that `accepts` selects. They are passed to it in
    /// the order in which they are to be sent; all other requests keep their order.
    pub(super) fn take_transactions(
        &mut self,
        mut accepts: impl FnMut(RequestClass, &PendingTransaction) -> bool,
    ) -> Vec<PendingTransaction> {
        let mut taken = Vec::new();
        for (class, queue) in CLASSES.into_iter().zip(&mut self.queues) {
            let mut rest = VecDeque::new();
            while let Some(request) = queue.pop_front() {
                match request {
                    Request::Commit(pending) if accepts(class, &pending) => taken.push(*pending),
                    other => rest.push_back(other),
                }
            }
            *queue = rest;
        }
        taken
    }
}
