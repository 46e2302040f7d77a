//! The cloud's inventory of machines, read page by page. It lags, and one reading may be
//! older than the one before.

use std::time::Duration;

use tokio::time::Instant;

use crate::maps::HashSet;
use crate::protocol::workers::MachineId;

/// One reading of the inventory, page by page.
#[derive(Debug)]
pub(crate) struct InventoryScan {
    /// When its first page was asked for.
    pub(crate) started_at: Instant,
    /// The machines listed so far.
    pub(crate) seen: HashSet<MachineId>,
}

/// The reading under way, and when the last one ended.
#[derive(Debug, Default)]
pub(crate) struct Inventory {
    scan: Option<InventoryScan>,
    read_at: Option<Instant>,
}

impl Inventory {
    /// Whether a new reading is due: none is under way, and the last ended longer than
    /// `interval` ago.
    pub(crate) fn is_due(&self, now: Instant, interval: Duration) -> bool {
        self.scan.is_none() && self.read_at.is_none_or(|at| now > at + interval)
    }

    /// A reading begins.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.scan = Some(InventoryScan { started_at: now, seen: HashSet::default() });
    }

    /// Takes the reading under way, to add a page to it.
    pub(crate) fn take_scan(&mut self) -> Option<InventoryScan> {
        self.scan.take()
    }

    /// The reading goes on with the next page.
    pub(crate) fn resume(&mut self, scan: InventoryScan) {
        self.scan = Some(scan);
    }

    /// A page could not be read: the reading begins anew when it is due.
    pub(crate) fn abort(&mut self) {
        self.scan = None;
    }

    /// The reading has ended with its last page.
    pub(crate) fn complete(&mut self, now: Instant) {
        self.read_at = Some(now);
    }
}
