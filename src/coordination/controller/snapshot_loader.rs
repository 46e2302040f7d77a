//! Reads the snapshot from which a newly elected leader starts, and holds what is known of jobs until
//! it is complete.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::coordination::config::Config;
use crate::coordination::controller::events::InternalEvent;
use crate::coordination::recovery::recorded_jobs::{RecordedJob, RecordedJobs};
use crate::coordination::recovery::snapshot::read_snapshot;
use crate::coordination::recovery::snapshot_progress::{SnapshotObserver, SnapshotProgress};
use crate::numeric::{count_u32, whole_ms};
use crate::protocol::jobs::{JobId, JobStatus};
use crate::storage::kv::KvClient;

/// The leader's lease divided by this is the pause before a failed read is repeated. Without a
/// pause, the retries would use up the request rate during an outage, when reads fail immediately.
const RETRY_LEASE_DIVISOR: u32 = 20;

/// Reads snapshots in spawned tasks, which send the results as [`InternalEvent::SnapshotRead`].
pub(super) struct SnapshotLoader {
    /// Repeats each failed read by itself: no write of an earlier epoch is carried out any more, so
    /// what has been read in this epoch stays valid.
    kv: KvClient,
    events: mpsc::Sender<InternalEvent>,
    /// Maximum size of a value in the store, in KiB.
    value_kb: f64,
    retry_pause: Duration,
    lease: Duration,
    /// The snapshot that is being read.
    reading: Option<Reading>,
}

/// A snapshot that is being read.
struct Reading {
    task: AbortHandle,
    epoch: u64,
    started_at: Instant,
    /// When it is logged that the snapshot is not complete yet.
    log_at: Instant,
    /// Number of unfinished jobs; `None` until the live rows have been read.
    jobs: Option<usize>,
    /// The jobs whose records have been read in this epoch.
    recorded: RecordedJobs,
}

/// Sends the progress of reading to the controller.
#[derive(Clone)]
struct ProgressSender {
    epoch: u64,
    events: mpsc::Sender<InternalEvent>,
}

impl SnapshotObserver for ProgressSender {
    async fn observe(&self, progress: SnapshotProgress) {
        let _ = self.events.send(InternalEvent::SnapshotProgressed { epoch: self.epoch, progress }).await;
    }
}

impl SnapshotLoader {
    /// Creates a loader that reads from `kv` and sends the results to `events`.
    pub(super) fn new(config: &Config, kv: &KvClient, events: mpsc::Sender<InternalEvent>) -> Self {
        let retry_pause = config.tuning.lease / RETRY_LEASE_DIVISOR;
        SnapshotLoader {
            kv: kv.with_read_retries(retry_pause),
            events,
            value_kb: config.settings.cluster.kv.value_kb,
            retry_pause,
            lease: config.tuning.lease,
            reading: None,
        }
    }

    /// Starts reading the snapshot for an epoch. If the store rejects a read, the controller calls
    /// this again when it receives the result.
    pub(super) fn start(&mut self, epoch: u64) {
        self.stop();
        let (kv, events) = (self.kv.clone(), self.events.clone());
        let (value_kb, retry_pause) = (self.value_kb, self.retry_pause);
        let started_at = Instant::now();
        let task = tokio::spawn(async move {
            let observer = ProgressSender { epoch, events: events.clone() };
            let snapshot = read_snapshot(&kv, value_kb, &observer).await.ok();
            if snapshot.is_none() {
                tokio::time::sleep(retry_pause).await;
            }
            let _ = events.send(InternalEvent::SnapshotRead { epoch, snapshot }).await;
        });
        let (task, log_at) = (task.abort_handle(), started_at + self.lease);
        let recorded = RecordedJobs::default();
        self.reading = Some(Reading { task, epoch, started_at, log_at, jobs: None, recorded });
    }

    /// The epoch for which a snapshot is being read, if one is.
    pub(super) fn epoch(&self) -> Option<u64> {
        self.reading.as_ref().map(|reading| reading.epoch)
    }

    /// Records the progress of the snapshot of this epoch.
    pub(super) fn record_progress(&mut self, epoch: u64, progress: SnapshotProgress) {
        let Some(reading) = self.reading.as_mut().filter(|reading| reading.epoch == epoch) else { return };
        match progress {
            SnapshotProgress::RowsRead { jobs } => reading.jobs = Some(jobs),
            SnapshotProgress::JobRead(job) => reading.recorded.insert(job),
            SnapshotProgress::DependencyRead(job, state) => reading.recorded.insert_dependency(job, state),
        }
    }

    /// Records that a read for a user has found an unfinished job, if it began in the epoch of the
    /// snapshot. Terminal states are cached elsewhere.
    pub(super) fn record_lookup(&mut self, began: Instant, status: &JobStatus) {
        let reading = self.reading.as_mut().filter(|reading| began >= reading.started_at);
        if let Some(reading) = reading.filter(|_| !status.state.is_terminal()) {
            reading.recorded.insert(RecordedJob::decided(status.clone()));
        }
    }

    /// The job's status, if it is known while the snapshot is being read.
    pub(super) fn status(&mut self, job: &JobId) -> Option<JobStatus> {
        self.reading.as_mut()?.recorded.status(job)
    }

    /// Records that the snapshot is complete; returns how long reading it has taken.
    pub(super) fn finish(&mut self) -> Duration {
        self.reading.take().map_or(Duration::ZERO, |reading| reading.started_at.elapsed())
    }

    /// Logs after each lease duration that the leader still has no state.
    pub(super) fn log_if_slow(&mut self, now: Instant) {
        let Some(reading) = self.reading.as_mut().filter(|reading| now >= reading.log_at) else { return };
        reading.log_at = now + self.lease;
        let reading_ms = whole_ms(now - reading.started_at);
        let (epoch, jobs) = (reading.epoch, reading.jobs.map(count_u32));
        let (records_read, dependency_steps) = (reading.recorded.job_count(), reading.recorded.steps());
        tracing::error!(
            epoch,
            reading_ms,
            jobs,
            records_read,
            dependency_steps,
            "leader without state, snapshot incomplete"
        );
    }

    /// Stops reading, since the epoch is over.
    pub(super) fn stop(&mut self) {
        if let Some(reading) = self.reading.take() {
            reading.task.abort();
        }
    }
}

#[cfg(test)]
mod tests;
