//! The controller's periodic work, done several times a second.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::controller::Controller;
use crate::coordination::controller::readiness::LeaderVisibility;
use crate::coordination::leader::Leader;

/// Time between two log lines with the leader's metrics.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

impl Controller {
    /// Runs the periodic work.
    pub(super) fn tick(&mut self) {
        let now = Instant::now();
        self.tick_leader(now);
        self.snapshot_loader.log_if_slow(now);
        self.flush_expired_replies();
        self.user_replies.fail_expired(now);
        self.query_peers_if_needed(now);
        self.update_readiness(now);
        self.log_metrics(now);
        self.reconcile(now);
    }

    fn tick_leader(&mut self, now: Instant) {
        if let Some(leader) = &mut self.leader {
            leader.set_state_limits(self.kv.limits());
            leader.tick(now);
        }
    }

    /// Whether this controller leads, under a valid lease.
    fn leads(&self, now: Instant) -> bool {
        self.leader.as_ref().is_some_and(|leader| leader.holds_lease(now))
    }

    /// Queries the other controllers while no leader is known or reachable. A new leader queries
    /// them until it knows that no earlier leader replies to workers any more.
    fn query_peers_if_needed(&mut self, now: Instant) {
        let has_leader = self.leads(now) || self.routing.is_follower();
        let needs_leader = !has_leader || self.routing.is_leader_unreachable();
        if !needs_leader {
            self.routing.stop_querying_peers();
        }
        if needs_leader || self.leader.as_ref().is_some_and(Leader::awaits_post_lease_graces) {
            self.routing.query_peers(now);
        }
    }

    fn update_readiness(&mut self, now: Instant) {
        let is_lost = self.routing.is_leader_lost(now);
        let is_known = self.leads(now)
            || (self.routing.is_follower() && !is_lost)
            || self.routing.leading_peer(now).is_some();
        let is_isolated = self.routing.is_isolated(now);
        self.readiness.update(now, LeaderVisibility { is_known, is_lost, is_isolated });
    }

    fn log_metrics(&mut self, now: Instant) {
        if now <= self.metrics_logged_at + LOG_INTERVAL {
            return;
        }
        self.metrics_logged_at = now;
        if let Some(leader) = &self.leader {
            tracing::info!("{} {}", leader.summary(), self.latencies.summary());
        }
    }

    fn reconcile(&mut self, now: Instant) {
        if let Some(leader) = self.leader.as_ref().filter(|leader| leader.holds_lease(now)) {
            self.reconciliation.start_if_due(now, leader);
        }
    }
}
