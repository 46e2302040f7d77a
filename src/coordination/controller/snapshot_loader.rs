//! Reads the snapshot from which a newly elected leader starts.

use std::time::Duration;

use tokio::sync::mpsc;

use crate::coordination::config::Config;
use crate::coordination::controller::events::InternalEvent;
use crate::coordination::recovery::snapshot::read_snapshot;
use crate::storage::kv::KvClient;

/// The leader's lease divided by this is the pause before a failed read is retried.
const RETRY_LEASE_DIVISOR: u32 = 20;

/// Reads snapshots in spawned tasks, which send the results as [`InternalEvent::SnapshotRead`].
pub(super) struct SnapshotLoader {
    kv: KvClient,
    events: mpsc::Sender<InternalEvent>,
    /// Maximum size of a value in the store, in KiB.
    value_kb: f64,
    retry_pause: Duration,
}

impl SnapshotLoader {
    /// Creates a loader that reads from `kv` and sends the results to `events`.
    pub(super) fn new(config: &Config, kv: KvClient, events: mpsc::Sender<InternalEvent>) -> Self {
        SnapshotLoader {
            kv,
            events,
            value_kb: config.settings.cluster.kv.value_kb,
            retry_pause: config.tuning.lease / RETRY_LEASE_DIVISOR,
        }
    }

    /// Starts reading the snapshot for an epoch. If the read fails, the controller calls this
    /// again when it receives the result.
    pub(super) fn start(&self, epoch: u64) {
        let (kv, events) = (self.kv.clone(), self.events.clone());
        let (value_kb, retry_pause) = (self.value_kb, self.retry_pause);
        tokio::spawn(async move {
            let snapshot = read_snapshot(&kv, value_kb).await.ok();
            if snapshot.is_none() {
                // During an outage reads fail immediately. If the failure were reported
                // without a pause, the retries would use up the request rate that lease
                // renewals need.
                tokio::time::sleep(retry_pause).await;
            }
            let _ = events.send(InternalEvent::SnapshotRead { epoch, snapshot }).await;
        });
    }
}
