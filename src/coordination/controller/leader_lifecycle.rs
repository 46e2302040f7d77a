//! Starts and stops the leader's state machine on this controller, and passes results of
//! spawned tasks to it.

use tokio::time::Instant;

use crate::coordination::controller::Controller;
use crate::coordination::controller::heartbeat_answers::redirect_answer;
use crate::coordination::controller::peers::PeerState;
use crate::coordination::controller::system_time::unix_time_ms;
use crate::coordination::election::Role;
use crate::coordination::fleet::cloud::CloudResult;
use crate::coordination::leader::Leader;
use crate::coordination::leader::effects::OperationId;
use crate::coordination::recovery::snapshot::Snapshot;
use crate::numeric::whole_ms;
use crate::storage::kv::KvError;

impl Controller {
    /// Handles a new role from the election, or an extension of the lease.
    pub(super) fn handle_role(&mut self, role: Role) {
        let now = Instant::now();
        match &role {
            Role::Leader { epoch, lease_expiry } => {
                self.handle_leader_role(now, *epoch, *lease_expiry);
            }
            Role::Follower { .. } | Role::Leaderless => {
                self.step_down();
                self.leadership.publish_not_leading(now);
            }
        }
        self.routing.set_role(role);
    }

    fn handle_leader_role(&mut self, now: Instant, epoch: u64, lease_expiry: Instant) {
        let is_same_epoch =
            matches!(self.routing.role(), Role::Leader { epoch: current, .. } if *current == epoch);
        if !is_same_epoch {
            self.step_down();
            self.leadership.publish_leading();
            self.user_replies.begin_epoch(now, epoch);
            self.snapshot_loader.start(epoch);
        }
        self.leadership.publish_lease_expiry(lease_expiry);
        if let Some(leader) = &mut self.leader {
            leader.extend_lease(now, lease_expiry);
        }
    }

    /// Stops the leader's state machine, if it runs: drops its in-memory state, fails the users'
    /// requests that wait for it, and redirects the workers whose replies are deferred.
    fn step_down(&mut self) {
        self.snapshot_loader.stop();
        if self.leader.take().is_some() {
            tracing::info!("leadership lost; in-memory state dropped");
        }
        self.user_replies.fail_all("leadership has changed");
        for deferred in self.deferred_replies.drain() {
            let _ = deferred.reply.send(redirect_answer(None));
        }
    }

    /// Starts the leader from the snapshot that was read for its epoch; reads again if the
    /// read failed.
    pub(super) fn handle_snapshot_read(&mut self, now: Instant, epoch: u64, snapshot: Option<Snapshot>) {
        let Role::Leader { epoch: current, lease_expiry } = *self.routing.role() else { return };
        if current != epoch || self.leader.is_some() {
            return;
        }
        match snapshot {
            Some(snapshot) => self.start_leading(now, epoch, lease_expiry, snapshot),
            None => self.snapshot_loader.start(epoch),
        }
    }

    fn start_leading(&mut self, now: Instant, epoch: u64, lease_expiry: Instant, snapshot: Snapshot) {
        let reading = self.snapshot_loader.finish();
        if let Err(violation) = self.epoch_guard.claim(epoch) {
            tracing::error!(epoch, %violation, "epoch resigned");
            return self.leadership.resign(epoch);
        }
        tracing::info!(
            epoch,
            jobs = snapshot.jobs.len(),
            node_pools = snapshot.node_pools.len(),
            unreadable = snapshot.unreadable.len(),
            reading_ms = whole_ms(reading),
            lease_left_ms = whole_ms(lease_expiry.saturating_duration_since(now)),
            "snapshot read"
        );
        let mut leader = Leader::new(self.config.clone(), epoch, now, unix_time_ms(), snapshot);
        leader.extend_lease(now, lease_expiry);
        self.leader = Some(leader);
    }

    /// Returns the leader of that epoch, if it still runs on this controller.
    pub(super) fn leader_of_epoch(&mut self, epoch: u64) -> Option<&mut Leader> {
        self.leader.as_mut().filter(|leader| leader.epoch() == epoch)
    }

    /// Handles the result of a transaction. If the store rejected it because of a newer epoch,
    /// the leader is stopped immediately.
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

    /// Handles the result of a call to the cloud.
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

    /// Passes records that were missing from the leader's snapshot and have been read since to the
    /// leader, unless its epoch, in which they were read, is over.
    pub(super) fn restore_snapshot(&mut self, epoch: u64, restored: Snapshot) {
        if let Some(leader) = self.leader_of_epoch(epoch) {
            leader.restore_snapshot(Instant::now(), unix_time_ms(), restored);
        }
    }

    /// Handles the result of a leader query; `None` if the peer did not reply in time.
    pub(super) fn handle_peer_state(&mut self, now: Instant, peer: &str, peer_state: Option<PeerState>) {
        self.routing.record_peer_state(now, peer, peer_state);
        // A new leader waits until the leases of silent machines have provably expired. The wait
        // includes the post-lease grace period, in which an earlier leader may still reply to
        // workers, unless all other controllers have stated that they reply to no worker.
        if let Some(leader) = &mut self.leader
            && let Some(at) = self.routing.all_peers_idle_since(leader.snapshot_at())
        {
            leader.record_post_lease_graces_over(at);
        }
        // A higher epoch means that the leader key was rewritten and this leader's epoch is
        // over. Replying to workers for the rest of the post-lease grace period would only delay
        // their move to the new leader.
        let peer_epoch = self.routing.epoch_of_leading_peer(now);
        if self.leader.as_ref().is_some_and(|leader| leader.epoch() < peer_epoch) {
            self.step_down();
        }
    }
}
