//! What the others say of who leads, asked where the state service does not tell.

use super::*;

impl Controller {
    /// The state service does not say who leads: perhaps the others know.
    pub(super) fn query_peers(&mut self, now: Instant) {
        let patience = self.config.tuning.lease / 4;
        for peer in self.peers.peers_to_query(now) {
            let Some(link) = self.links.get(&peer).cloned() else { continue };
            let inner = self.events.clone();
            tokio::spawn(async move {
                let reply = link.call(PeerCall::LeaderQuery, false, patience).await;
                let peer_state = reply.and_then(|r| {
                    let body = decode(&r.body).ok()?;
                    let f = Fields::of(&body).ok()?;
                    match r.status {
                        200 => f.count("epoch").ok().map(PeerState::Leading),
                        _ if f.bool("free").ok()? => Some(PeerState::Idle),
                        _ => Some(PeerState::LeaseExpired),
                    }
                });
                let _ = inner.send(InternalEvent::PeerAnswered { peer, peer_state }).await;
            });
        }
    }

    pub(super) fn handle_peer_answer(&mut self, now: Instant, peer: &str, peer_state: Option<PeerState>) {
        self.peers.record_answer(now, peer, peer_state);
        if peer_state.is_some() && self.other_leader(now).is_some_and(|(leader, _)| leader == peer) {
            self.leader_unreachable_since = None;
        }
        // Nobody else answers workers any more: the wait for silent machines
        // need not cover a grace.
        let listed = self.links.len() + 1 >= self.config.settings.cluster.size as usize;
        if let Some(leader) = self.leader.as_mut().filter(|_| listed)
            && let Some(at) = self.peers.all_idle_since(leader.snapshot_at())
        {
            leader.record_post_lease_graces_over(at);
        }
        // A higher epoch means that the key was written anew: ours is over, and
        // keeping workers here for the rest of the lapse window would only hold them
        // back from their new leader.
        let epoch = self.peers.known_leader(now).map_or(0, |(_, epoch)| epoch);
        if self.leader.as_ref().is_some_and(|l| l.epoch() < epoch) {
            self.step_down();
        }
    }

    /// The leader, if it is another: as the state service says or, without it,
    /// as the others say.
    pub(super) fn other_leader(&self, now: Instant) -> Option<(&str, u64)> {
        match &self.role {
            Role::Follower { leader, epoch } => Some((leader, *epoch)),
            _ => self.peers.known_leader(now),
        }
    }
}
