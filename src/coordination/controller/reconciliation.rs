//! The reconciliation that a leader runs in the background: archived rows against jobs'
//! records, page by page, and another try at records that could not be decoded.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::coordination::config::Config;
use crate::coordination::controller::events::InternalEvent;
use crate::coordination::leader::Leader;
use crate::coordination::recovery::snapshot::{
    self, ReconciledPage, Snapshot, reconcile_page, reread_unreadable,
};
use crate::storage::kv::KvClient;

/// Where the scans are, and when the next page is due. At most one page is under way.
pub(super) struct Reconciliation {
    kv: KvClient,
    events: mpsc::Sender<InternalEvent>,
    /// Time from the beginning of one page to that of the next.
    interval: Duration,
    /// Largest value that the store takes, in KB.
    value_kb: f64,
    /// Where the next page of archived rows begins.
    row_cursor: String,
    /// The last key that was read again because it could not be decoded.
    reread_cursor: String,
    last_started_at: Instant,
    is_in_flight: bool,
}

impl Reconciliation {
    /// Begins at the first row, one interval from now.
    pub(super) fn new(
        config: &Config,
        now: Instant,
        kv: KvClient,
        events: mpsc::Sender<InternalEvent>,
    ) -> Self {
        Reconciliation {
            kv,
            events,
            interval: config.tuning.reconcile_interval,
            value_kb: config.settings.cluster.kv.value_kb,
            row_cursor: String::new(),
            reread_cursor: String::new(),
            last_started_at: now,
            is_in_flight: false,
        }
    }

    /// Compares the next page of archived rows with the jobs' records, if it is due. A row
    /// that says that an unfinished job is finished would otherwise lose that job: at a
    /// failover only the live rows are read.
    pub(super) fn start_if_due(&mut self, now: Instant, leader: &Leader) {
        if self.is_in_flight || now < self.last_started_at + self.interval {
            return;
        }
        self.is_in_flight = true;
        self.last_started_at = now;
        let (kv, events, epoch) = (self.kv.clone(), self.events.clone(), leader.epoch());
        let (cursor, value_kb) = (self.row_cursor.clone(), self.value_kb);
        let unreadable = leader.unreadable_after(&self.reread_cursor, snapshot::ROWS_PER_ROUND);
        self.reread_cursor = unreadable.last().cloned().unwrap_or_default();
        tokio::spawn(async move {
            let page = reconcile_page(&kv, epoch, &cursor, value_kb).await;
            let nothing = ReconciledPage { next: cursor, restored: Snapshot::default() };
            let ReconciledPage { next: next_cursor, restored } = page.unwrap_or(nothing);
            let _ = events.send(InternalEvent::RowsReconciled { epoch, next_cursor, restored }).await;
            if let Ok(restored) = reread_unreadable(&kv, unreadable, value_kb).await {
                let _ = events.send(InternalEvent::UnreadableReread { epoch, restored }).await;
            }
        });
    }

    /// A page was compared; the next one begins at the cursor.
    pub(super) fn finish_page(&mut self, next_cursor: String) {
        self.is_in_flight = false;
        self.row_cursor = next_cursor;
    }
}
