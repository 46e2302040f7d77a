//! The leader's background reconciliation: compares archived rows with the jobs' records, page
//! by page, and reads records again that could not be decoded.

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

/// The progress of the scans and the time of the next page. At most one page is in flight.
pub(super) struct Reconciliation {
    kv: KvClient,
    events: mpsc::Sender<InternalEvent>,
    /// Time between the starts of two pages.
    interval: Duration,
    /// Maximum size of a value in the store, in KiB.
    value_kb: f64,
    /// Where the next page of archived rows starts.
    row_cursor: String,
    /// Key of the last undecodable record that was read again.
    reread_cursor: String,
    last_started_at: Instant,
    is_in_flight: bool,
}

impl Reconciliation {
    /// Starts with the first row, one interval from now.
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

    /// Compares the next page of archived rows with the jobs' records, if it is due. Without
    /// this, an archived row of an unfinished job would lose the job: a failover reads
    /// only the live rows.
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
            let same_page_again = ReconciledPage { next: cursor, restored: Snapshot::default() };
            let ReconciledPage { next: next_cursor, restored } = page.unwrap_or(same_page_again);
            let _ = events.send(InternalEvent::RowsReconciled { epoch, next_cursor, restored }).await;
            if let Ok(restored) = reread_unreadable(&kv, unreadable, value_kb).await {
                let _ = events.send(InternalEvent::UnreadableReread { epoch, restored }).await;
            }
        });
    }

    /// Records that the comparison of a page has ended; the next page starts at `next_cursor`.
    pub(super) fn finish_page(&mut self, next_cursor: String) {
        self.is_in_flight = false;
        self.row_cursor = next_cursor;
    }
}
