//! Reading the records: all unfinished work at a takeover, and a few rows and what could not
//! be read before from then on.

use super::*;

impl Controller {
    pub(super) fn read_snapshot(&self, epoch: u64) {
        let (store, inner) = (self.store.clone(), self.events.clone());
        let value_kb = self.config.settings.cluster.state.value_kb;
        let pause = self.config.tuning.lease / 20;
        tokio::spawn(async move {
            let loaded = read_snapshot(&store, value_kb).await.ok();
            if loaded.is_none() {
                // An outage refuses at once; asking again without a pause
                // would spend the allowance that renewals need.
                tokio::time::sleep(pause).await;
            }
            let _ = inner.send(InternalEvent::SnapshotRead { epoch, snapshot: loaded }).await;
        });
    }

    /// Compares one page of finished jobs' rows with their records. A row that
    /// calls live work over would otherwise strand it: a takeover reads only
    /// the rows of the living.
    pub(super) fn reconcile(&mut self, now: Instant) {
        let Some(leader) = self.leader.as_ref().filter(|l| l.holds_lease(now)) else { return };
        if self.reconcile_in_flight || now < self.reconciled_at + self.config.tuning.reconcile {
            return;
        }
        (self.reconcile_in_flight, self.reconciled_at) = (true, now);
        let (store, inner, epoch) = (self.store.clone(), self.events.clone(), leader.epoch());
        let (from, value_kb) = (self.reconcile_cursor.clone(), self.config.settings.cluster.state.value_kb);
        let unreadable = leader.unreadable_after(&self.reread_cursor, snapshot::ROWS_PER_ROUND);
        self.reread_cursor = unreadable.last().cloned().unwrap_or_default();
        tokio::spawn(async move {
            let (next, restored) =
                reconcile_page(&store, epoch, &from, value_kb).await.unwrap_or((from, Snapshot::default()));
            let _ = inner.send(InternalEvent::Reconciled { epoch, from: next, restored }).await;
            if let Ok(restored) = snapshot::reread_unreadable(&store, unreadable, value_kb).await {
                let _ = inner.send(InternalEvent::UnreadableReread { epoch, restored }).await;
            }
        });
    }

    /// Hands what was read after the takeover to the leader that it was read for.
    pub(super) fn restore(&mut self, epoch: u64, restored: Snapshot) {
        if let Some(leader) = self.leader.as_mut().filter(|l| l.epoch() == epoch) {
            leader.restore_snapshot(Instant::now(), wall_ms(), restored);
        }
    }
}
