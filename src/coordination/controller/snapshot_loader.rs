//! Reads the snapshot from which a newly elected leader starts.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::coordination::config::Config;
use crate::coordination::controller::events::InternalEvent;
use crate::coordination::recovery::snapshot::read_snapshot;
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
    /// The task that reads the snapshot of the latest epoch, ended or not.
    reading: Option<AbortHandle>,
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
            reading: None,
        }
    }

    /// Starts reading the snapshot for an epoch. If the store rejects a read, the controller calls
    /// this again when it receives the result.
    pub(super) fn start(&mut self, epoch: u64) {
        self.stop();
        let (kv, events) = (self.kv.clone(), self.events.clone());
        let (value_kb, retry_pause) = (self.value_kb, self.retry_pause);
        let reading = tokio::spawn(async move {
            let snapshot = read_snapshot(&kv, value_kb).await.ok();
            if snapshot.is_none() {
                tokio::time::sleep(retry_pause).await;
            }
            let _ = events.send(InternalEvent::SnapshotRead { epoch, snapshot }).await;
        });
        self.reading = Some(reading.abort_handle());
    }

    /// Stops reading, since the epoch is over.
    pub(super) fn stop(&mut self) {
        if let Some(reading) = self.reading.take() {
            reading.abort();
        }
    }
}

#[cfg(test)]
mod tests;
