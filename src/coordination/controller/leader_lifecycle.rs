//! How the leader's state machine begins, is fed with results, and ends on this controller.

use tokio::time::Instant;

use crate::coordination::controller::Controller;
use crate::coordination::controller::heartbeat_answers::redirect_answer;
use crate::coordination::controller::peers::PeerState;
use crate::coordination::controller::wall_clock::wall_ms;
use crate::coordination::election::Role;
use crate::coordination::fleet::cloud::CloudResult;
use crate::coordination::leader::Leader;
use crate::coordination::leader::effects::OperationId;
use crate::coordination::recovery::snapshot::Snapshot;
use crate::numeric::whole_ms;
use crate::storage::kv::KvError;

impl Controller {
    /// The election has given this controller a role, or extended its lease.
    pub(super) fn handle_role(&mut self, role: Role) {
        let now = Instant::now();
        match &role {
            Role::Leader { epoch, lease_expiry } => {
                self.handle_leader_role(now, *epoch, *lease_expiry);
            }
            Role::Follower { .. } | Role::Leaderless => {
                self.step_down();
                self.leadership.lost(now);
            }
        }
        self.routing.set_role(role);
    }

    fn handle_leader_role(&mut self, now: Instant, epoch: u64, lease_expiry: Instant) {
        let is_same_epoch =
            matches!(self.routing.role(), Role::Leader { epoch: before, .. } if *before == epoch);
        if !is_same_epoch {
            self.step_down();
            self.leadership.acquired();
            self.snapshot_loader.start(epoch);
        }
        self.leadership.lease_extended(lease_expiry);
        if let Some(leader) = &mut self.leader {
            leader.extend_lease(now, lease_expiry);
        }
    }

    /// Ends the leader, if there is one: nothing of its in-memory state is used any more, and
    /// all who wait for its answer get another.
    fn step_down(&mut self) {
        if self.leader.take().is_some() {
            tracing::info!("leadership lost; in-memory state dropped");
        }
        self.user_replies.fail_all("leadership has changed");
        for deferred in self.deferred_replies.drain() {
            let _ = deferred.reply.send(redirect_answer(None));
        }
    }

    /// Begins a leader with the snapshot that was read for its epoch, or reads again.
    pub(super) fn handle_snapshot_read(&mut self, now: Instant, epoch: u64, snapshot: Option<Snapshot>) {
        let Role::Leader { epoch: current, lease_expiry } = *self.routing.role() else { return };
        if current != epoch || self.leader.is_some() {
            return;
        }
        match snapshot {
            Some(snapshot) => self.begin_leading(now, epoch, lease_expiry, snapshot),
            None => self.snapshot_loader.start(epoch),
        }
    }

    fn begin_leading(&mut self, now: Instant, epoch: u64, lease_expiry: Instant, snapshot: Snapshot) {
        if let Err(violation) = self.epoch_guard.begin(epoch) {
            tracing::error!(epoch, %violation, "epoch resigned");
            return self.leadership.resign(epoch);
        }
        tracing::info!(
            epoch,
            jobs = snapshot.jobs.len(),
            node_pools = snapshot.node_pools.len(),
            unreadable = snapshot.unreadable.len(),
            lease_left_ms = whole_ms(lease_expiry.saturating_duration_since(now)),
            "snapshot read"
        );
        let mut leader = Leader::new(self.config.clone(), epoch, now, wall_ms(), snapshot);
        leader.extend_lease(now, lease_expiry);
        self.leader = Some(leader);
    }

    /// The leader of that epoch, if it still runs here.
    pub(super) fn leader_of_epoch(&mut self, epoch: u64) -> Option<&mut Leader> {
        self.leader.as_mut().filter(|leader| leader.epoch() == epoch)
    }

    /// A transaction has ended. If the store refused it because of a newer epoch, the leader
    /// ends at once.
    pub(super) fn handle_commit_finished(
        &mut self,
        now: Instant,
        epoch: u64,
        operation: OperationId,
        result: Result<u64, KvError>,
    ) {
        let Some(leader) = self.leader_of_epoch(epoch) else { return };
        leader.handle_commit_result(now, operation, result);
        if leader.is_fenced() {
            self.leadership.resign(epoch);
            self.step_down();
        }
    }

    /// A call to the cloud has ended.
    pub(super) fn handle_cloud_call_finished(
        &mut self,
        now: Instant,
        epoch: u64,
        operation: OperationId,
        result: CloudResult,
    ) {
        if let Some(leader) = self.leader_of_epoch(epoch) {
            leader.handle_cloud_result(now, operation, result);
        }
    }

    /// Hands what was read after the failover to the leader for which it was read.
    pub(super) fn restore_snapshot(&mut self, epoch: u64, restored: Snapshot) {
        if let Some(leader) = self.leader_of_epoch(epoch) {
            leader.restore_snapshot(Instant::now(), wall_ms(), restored);
        }
    }

    /// Another controller replied whether it leads; `None` if it did not reply in time.
    pub(super) fn handle_peer_state(&mut self, now: Instant, peer: &str, peer_state: Option<PeerState>) {
        self.routing.record_peer_state(now, peer, peer_state);
        // Once no other controller answers workers any more, the wait for silent machines
        // need not cover a post-lease grace period.
        if let Some(leader) = &mut self.leader
            && let Some(at) = self.routing.all_peers_idle_since(leader.snapshot_at())
        {
            leader.record_post_lease_graces_over(at);
        }
        // A higher epoch means that the leader key was written anew: the epoch of the leader
        // here is over, and keeping workers here for the rest of the post-lease grace period
        // would only delay their turning to the new leader.
        let newest = self.routing.epoch_of_leading_peer(now);
        if self.leader.as_ref().is_some_and(|leader| leader.epoch() < newest) {
            self.step_down();
        }
    }
}
