//! Reads the snapshot from which a newly elected leader begins.

use std::time::Duration;

use tokio::sync::mpsc;

use crate::coordination::config::Config;
use crate::coordination::controller::events::InternalEvent;
use crate::coordination::recovery::snapshot::read_snapshot;
use crate::storage::kv::KvClient;

/// Part of the leader's lease that passes before a failed read is tried again.
const RETRY_LEASE_DIVISOR: u32 = 20;

/// Reads snapshots in tasks of their own; results come as [`InternalEvent::SnapshotRead`].
pub(super) struct SnapshotLoader {
    kv: KvClient,
    events: mpsc::Sender<InternalEvent>,
    /// Largest value that the store takes, in KB.
    value_kb: f64,
    retry_pause: Duration,
}

impl SnapshotLoader {
    /// Reads from this store, and sends the results as events.
    pub(super) fn new(config: &Config, kv: KvClient, events: mpsc::Sender<InternalEvent>) -> Self {
        SnapshotLoader {
            kv,
            events,
            value_kb: config.settings.cluster.kv.value_kb,
            retry_pause: config.tuning.lease / RETRY_LEASE_DIVISOR,
        }
    }

    /// Begins to read the snapshot for an epoch.
    pub(super) fn start(&self, epoch: u64) {
        let (kv, events) = (self.kv.clone(), self.events.clone());
        let (value_kb, retry_pause) = (self.value_kb, self.retry_pause);
        tokio::spawn(async move {
            let snapshot = read_snapshot(&kv, value_kb).await.ok();
            if snapshot.is_none() {
                // An outage refuses at once; asking again without a pause
                // would spend the allowance that renewals need.
                tokio::time::sleep(retry_pause).await;
            }
            let _ = events.send(InternalEvent::SnapshotRead { epoch, snapshot }).await;
        });
    }
}
