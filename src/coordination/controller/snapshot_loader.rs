//! Reads the snapshot from which a newly elected leader starts.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::coordination::config::Config;
use crate::coordination::controller::events::InternalEvent;
use crate::coordination::recovery::snapshot::read_snapshot;
use crate::numeric::whole_ms;
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
            let snapshot = read_snapshot(&kv, value_kb).await.ok();
            if snapshot.is_none() {
                tokio::time::sleep(retry_pause).await;
            }
            let _ = events.send(InternalEvent::SnapshotRead { epoch, snapshot }).await;
        });
        let (task, log_at) = (task.abort_handle(), started_at + self.lease);
        self.reading = Some(Reading { task, epoch, started_at, log_at });
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
        tracing::error!(epoch = reading.epoch, reading_ms, "leader without state, snapshot incomplete");
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
