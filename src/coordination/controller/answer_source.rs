//! Decides from what a question about a job is answered.

use crate::coordination::authority::answers::Answer;
use crate::coordination::controller::events::RequestOrigin;

/// From what a poll is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PollSource {
    /// The leader's state machine on this controller; the record while the outcome is undecided.
    Memory,
    /// What this leader has read of its snapshot so far.
    Snapshot,
    /// The controller that leads.
    Leader,
    /// The job's record.
    Record,
    /// Nothing: the caller is told to retry.
    Refusal,
}

/// What a controller can do about a poll.
#[derive(Debug, Clone, Copy)]
pub(super) struct PollOptions {
    /// The state machine on this controller answers users.
    pub(super) serves_as_leader: bool,
    /// This controller leads under a valid lease and reads its snapshot.
    pub(super) reads_snapshot: bool,
    /// The part of the snapshot that was read shows the job's state.
    pub(super) is_in_snapshot: bool,
    /// There is a route to a controller that leads.
    pub(super) has_route: bool,
    /// The sender of the poll.
    pub(super) origin: RequestOrigin,
}

impl PollOptions {
    /// Prefers what costs least: memory, then one call, then a read of the store. A peer can read the
    /// record itself; it is refused unless this controller reads its snapshot, and so has the larger
    /// share of the store's rate.
    pub(super) fn choose(self) -> PollSource {
        if self.serves_as_leader {
            PollSource::Memory
        } else if self.reads_snapshot && self.is_in_snapshot {
            PollSource::Snapshot
        } else if self.has_route {
            PollSource::Leader
        } else if self.origin == RequestOrigin::User || self.reads_snapshot {
            PollSource::Record
        } else {
            PollSource::Refusal
        }
    }
}

/// Whether another controller's answer to a poll leaves it unanswered, so that the record is read.
pub(super) fn leaves_poll_unanswered(answer: &Answer) -> bool {
    answer.refusal.is_some()
}

#[cfg(test)]
mod tests;
