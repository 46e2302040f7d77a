//! Submissions whose first write is under way.

use crate::coordination::jobs::job::ReplyId;
use crate::maps::HashMap;
use crate::protocol::jobs::JobId;
use crate::storage::records::JobRecord;

/// A job whose record is being written for the first time.
#[derive(Debug)]
pub(crate) struct PendingAdmission {
    /// The record as it is written.
    pub(crate) record: JobRecord,
    /// Users who wait for the outcome; repeated submissions wait with the first.
    pub(crate) waiters: Vec<ReplyId>,
}

/// The admissions under way, and how many submissions were turned away.
#[derive(Debug, Default)]
pub(crate) struct Admissions {
    pending: HashMap<JobId, PendingAdmission>,
    refused: u64,
}

impl Admissions {
    /// How many are under way.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether the job is being admitted.
    pub(crate) fn contains(&self, job: &JobId) -> bool {
        self.pending.contains_key(job)
    }

    /// The admission of a job, if it is under way.
    pub(crate) fn get_mut(&mut self, job: &JobId) -> Option<&mut PendingAdmission> {
        self.pending.get_mut(job)
    }

    /// An admission's write was sent.
    pub(crate) fn begin(&mut self, job: JobId, admission: PendingAdmission) {
        self.pending.insert(job, admission);
    }

    /// An admission's write has ended.
    pub(crate) fn end(&mut self, job: &JobId) -> Option<PendingAdmission> {
        self.pending.remove(job)
    }

    /// A submission was turned away for want of capacity.
    pub(crate) fn record_refused(&mut self) {
        self.refused += 1;
    }

    /// Submissions turned away in this epoch for want of capacity.
    pub(crate) fn refused(&self) -> u64 {
        self.refused
    }
}
