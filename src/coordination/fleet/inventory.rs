//! Scans of the cloud's inventory of machines. The inventory lags, and a scan may show an older
//! state than the one before.

use std::time::Duration;

use tokio::time::Instant;

use crate::maps::HashSet;
use crate::protocol::workers::MachineId;

/// One scan of the inventory, which is read page by page.
#[derive(Debug)]
pub(crate) struct InventoryScan {
    /// When its first page was requested.
    pub(crate) started_at: Instant,
    /// The machines listed so far.
    pub(crate) seen: HashSet<MachineId>,
}

/// The current scan of the inventory, and when the last one was completed.
#[derive(Debug, Default)]
pub(crate) struct Inventory {
    /// The scan in progress, if any.
    scan: Option<InventoryScan>,
    /// When the last page of the last complete scan was read.
    read_at: Option<Instant>,
}

impl Inventory {
    /// Whether a new scan is due: none is in progress, and the last one was completed longer
    /// than `interval` ago.
    pub(crate) fn is_due(&self, now: Instant, interval: Duration) -> bool {
        self.scan.is_none() && self.read_at.is_none_or(|at| now > at + interval)
    }

    /// Begins a scan.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.scan = Some(InventoryScan { started_at: now, seen: HashSet::default() });
    }

    /// Takes the scan in progress out, to add a page to it; then it is to be resumed or
    /// completed.
    pub(crate) fn take_scan(&mut self) -> Option<InventoryScan> {
        self.scan.take()
    }

    /// Puts the scan back, as its next page is being read.
    pub(crate) fn resume(&mut self, scan: InventoryScan) {
        self.scan = Some(scan);
    }

    /// Drops the scan, as a page could not be read; a new one begins when it is due.
    pub(crate) fn abort(&mut self) {
        self.scan = None;
    }

    /// Records that a scan was completed with its last page.
    pub(crate) fn complete(&mut self, now: Instant) {
        self.read_at = Some(now);
    }
}
