//! Scans of the cloud's inventory of machines. The inventory lags, and a scan may show an older
//! state than the previous scan.

use std::time::Duration;

use tokio::time::Instant;

use crate::maps::HashSet;
use crate::protocol::workers::MachineId;

/// A scan of the inventory, which is read page by page.
#[derive(Debug)]
pub(crate) struct InventoryScan {
    /// When its first page was requested.
    pub(crate) started_at: Instant,
    /// The machines listed so far.
    pub(crate) seen: HashSet<MachineId>,
}

/// The scan of the inventory in progress, and when the last one was completed.
#[derive(Debug, Default)]
pub(crate) struct Inventory {
    /// The scan in progress, if any.
    scan: Option<InventoryScan>,
    /// When the last page of the last complete scan was read.
    completed_at: Option<Instant>,
}

impl Inventory {
    /// Whether a new scan is due: none is in progress, and the last one was completed longer
    /// than `interval` ago.
    pub(crate) fn is_due(&self, now: Instant, interval: Duration) -> bool {
        self.scan.is_none() && self.completed_at.is_none_or(|at| now > at + interval)
    }

    /// Begins a scan.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.scan = Some(InventoryScan { started_at: now, seen: HashSet::default() });
    }

    /// Takes the scan in progress so that a page can be added to it. The caller then calls
    /// [`Inventory::resume`] or [`Inventory::complete`].
    pub(crate) fn take_scan(&mut self) -> Option<InventoryScan> {
        self.scan.take()
    }

    /// Puts the scan back while its next page is being read.
    pub(crate) fn resume(&mut self, scan: InventoryScan) {
        self.scan = Some(scan);
    }

    /// Drops the scan after a page could not be read. It does not count as completed, so
    /// [`Inventory::is_due`] does not delay the next scan by another interval.
    pub(crate) fn abort(&mut self) {
        self.scan = None;
    }

    /// Records that the last page of a scan was read.
    pub(crate) fn complete(&mut self, now: Instant) {
        self.completed_at = Some(now);
    }
}
