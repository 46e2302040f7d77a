//! Pending admissions: submitted jobs whose first write has not ended.

use crate::coordination::jobs::job::ReplyId;
use crate::maps::HashMap;
use crate::protocol::jobs::JobId;
use crate::storage::records::JobRecord;

/// A job whose record is being written for the first time.
#[derive(Debug)]
pub(crate) struct PendingAdmission {
    /// The record that is being written.
    pub(crate) record: JobRecord,
    /// Requests that wait for the outcome: the first submission and its repetitions.
    pub(crate) waiters: Vec<ReplyId>,
}

/// The pending admissions, and the number of refused submissions.
#[derive(Debug, Default)]
pub(crate) struct Admissions {
    pending: HashMap<JobId, PendingAdmission>,
    refused: u64,
}

impl Admissions {
    /// The number of pending admissions.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether the job is being admitted.
    pub(crate) fn contains(&self, job: &JobId) -> bool {
        self.pending.contains_key(job)
    }

    /// The pending admission of a job, if there is one.
    pub(crate) fn get_mut(&mut self, job: &JobId) -> Option<&mut PendingAdmission> {
        self.pending.get_mut(job)
    }

    /// Adds an admission whose write is about to be sent.
    pub(crate) fn begin(&mut self, job: JobId, admission: PendingAdmission) {
        self.pending.insert(job, admission);
    }

    /// Removes and returns an admission whose write has ended.
    pub(crate) fn end(&mut self, job: &JobId) -> Option<PendingAdmission> {
        self.pending.remove(job)
    }

    /// Counts a submission that was refused for lack of capacity.
    pub(crate) fn record_refused(&mut self) {
        self.refused += 1;
    }

    /// The number of submissions refused for lack of capacity in this epoch.
    pub(crate) fn refused(&self) -> u64 {
        self.refused
    }
}
