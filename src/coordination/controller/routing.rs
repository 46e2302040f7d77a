//! Which controller leads, and how calls get there: directly, or relayed by another
//! controller around a network partition.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::coordination::config::Config;
use crate::coordination::controller::POLL_TIMEOUT;
use crate::coordination::controller::capacity::CapacityLimits;
use crate::coordination::controller::concurrency_limit::ConcurrencyLimit;
use crate::coordination::controller::events::{InternalEvent, ReplySender, RequestOrigin, UserRequest};
use crate::coordination::controller::forwarding::{Forwarding, HeartbeatRelay, Route};
use crate::coordination::controller::peers::{KnownLeader, PeerState, Peers};
use crate::coordination::controller::worker_redirects::{RedirectDecision, WorkerRedirects};
use crate::coordination::election::Role;
use crate::maps::HashMap;
use crate::protocol::workers::Heartbeat;
use crate::transport::peer::{PeerCall, PeerLink};

/// Routes that are tried for one request at most.
const MAX_ROUTES: usize = 2;
/// Part of the leader's lease that a peer has to reply to a query.
const QUERY_TIMEOUT_LEASE_DIVISOR: u32 = 4;

/// What to do with a heartbeat that the leader should answer.
pub(super) enum HeartbeatRoute {
    /// There is no leader to name, or none that can be reached from here.
    NoLeader,
    /// The worker is redirected to the leader of this name.
    Redirect(String),
    /// It should be relayed, but too many are being relayed. The worker retries, here or
    /// elsewhere, which is better than waiting for a leader that does not answer it.
    TooManyRelays,
    /// It is relayed by [`LeaderRouting::relay_heartbeat`].
    Relay(HeartbeatRelay),
}

/// Owns the role that the election has given this controller, the links to the others, and
/// what is known of their state.
pub(super) struct LeaderRouting {
    role: Role,
    /// Duration of the leader's lease.
    lease: Duration,
    links: HashMap<String, PeerLink>,
    /// Whether every other controller of the cluster is linked.
    links_all_peers: bool,
    peers: Peers,
    worker_redirects: WorkerRedirects,
    /// Since when no user's call has reached the leader.
    leader_unreachable_since: Option<Instant>,
    /// Heartbeats being relayed.
    relays: ConcurrencyLimit,
    events: mpsc::Sender<InternalEvent>,
}

impl LeaderRouting {
    /// Links the configured peers; the links connect when first used.
    pub(super) fn new(
        config: &Config,
        capacity: &CapacityLimits,
        events: mpsc::Sender<InternalEvent>,
    ) -> Self {
        let cluster = &config.settings.cluster;
        let links = link_peers(config);
        LeaderRouting {
            role: Role::Leaderless,
            lease: config.tuning.lease,
            links_all_peers: links.len() + 1 >= cluster.size as usize,
            peers: Peers::new(links.keys().cloned(), config.tuning.lease),
            links,
            worker_redirects: WorkerRedirects::new(cluster.workers.lease(), capacity.machines),
            leader_unreachable_since: None,
            relays: ConcurrencyLimit::new(capacity.relays),
            events,
        }
    }

    /// The role that the election has given this controller.
    pub(super) fn role(&self) -> &Role {
        &self.role
    }

    /// The election has decided anew. What was learnt about the way to the former leader does
    /// not hold for another.
    pub(super) fn set_role(&mut self, role: Role) {
        if self.role != role {
            self.worker_redirects.clear();
            self.leader_unreachable_since = None;
        }
        self.role = role;
    }

    /// Whether the store names another controller as leader.
    pub(super) fn is_follower(&self) -> bool {
        matches!(self.role, Role::Follower { .. })
    }

    /// The leader, if it is another controller: as the store says or, without the store, as
    /// the others say.
    pub(super) fn other_leader(&self, now: Instant) -> Option<KnownLeader<'_>> {
        match &self.role {
            Role::Follower { leader, epoch } => Some(KnownLeader { name: leader, epoch: *epoch }),
            _ => self.peers.known_leader(now),
        }
    }

    /// The peer that recently said that it leads.
    pub(super) fn leading_peer(&self, now: Instant) -> Option<KnownLeader<'_>> {
        self.peers.known_leader(now)
    }

    /// The epoch of the peer that recently said that it leads; 0 if none did.
    pub(super) fn epoch_of_leading_peer(&self, now: Instant) -> u64 {
        self.peers.known_leader(now).map_or(0, |leader| leader.epoch)
    }

    /// The highest epoch that this controller has heard of.
    pub(super) fn newest_epoch(&self, now: Instant) -> u64 {
        let by_role = match &self.role {
            Role::Follower { epoch, .. } | Role::Leader { epoch, .. } => *epoch,
            Role::Leaderless => 0,
        };
        by_role.max(self.epoch_of_leading_peer(now))
    }

    /// A user's call has reached the leader.
    pub(super) fn record_leader_reached(&mut self) {
        self.leader_unreachable_since = None;
    }

    /// A user's call has reached the leader by no route.
    pub(super) fn record_leader_unreachable(&mut self, now: Instant) {
        self.leader_unreachable_since.get_or_insert(now);
    }

    /// Whether the store names a leader and the last calls did not reach it.
    pub(super) fn is_leader_unreachable(&self) -> bool {
        self.is_follower() && self.leader_unreachable_since.is_some()
    }

    /// Whether no call has reached the leader for longer than it would lead if it were dead:
    /// users are better off with a controller that reaches it.
    pub(super) fn is_leader_lost(&self, now: Instant) -> bool {
        self.is_follower() && self.leader_unreachable_since.is_some_and(|since| now >= since + self.lease)
    }

    /// Whether no leader is known, and no peer has answered for a lease.
    pub(super) fn is_isolated(&self, now: Instant) -> bool {
        self.peers.is_isolated(now)
    }

    /// A call to the peer was not answered in time.
    pub(super) fn record_timeout(&mut self, now: Instant, peer: &str) {
        self.peers.record_timeout(now, peer);
    }

    /// A leader is known: the peers are no longer queried.
    pub(super) fn stop_querying_peers(&mut self) {
        self.peers.stop_querying();
    }

    /// Asks the peers whether they lead, those for which it is due.
    pub(super) fn query_peers(&mut self, now: Instant) {
        let timeout = self.lease / QUERY_TIMEOUT_LEASE_DIVISOR;
        for peer in self.peers.peers_to_query(now) {
            let Some(link) = self.links.get(&peer).cloned() else { continue };
            let events = self.events.clone();
            tokio::spawn(async move {
                let reply = link.call(PeerCall::LeaderQuery, false, timeout).await;
                let peer_state = reply.and_then(|reply| PeerState::decode(&reply));
                let _ = events.send(InternalEvent::PeerQueried { peer, peer_state }).await;
            });
        }
    }

    /// Records a peer's reply; `None` if there was none in time.
    pub(super) fn record_peer_state(&mut self, now: Instant, peer: &str, peer_state: Option<PeerState>) {
        self.peers.record_answer(now, peer, peer_state);
        if peer_state.is_some() && self.other_leader(now).is_some_and(|leader| leader.name == peer) {
            self.leader_unreachable_since = None;
        }
    }

    /// When the last of all other controllers said that it answers no worker, if all have
    /// said so since that time.
    pub(super) fn all_peers_idle_since(&self, since: Instant) -> Option<Instant> {
        if self.links_all_peers { self.peers.all_idle_since(since) } else { None }
    }

    /// The routes to the leader for a request, the best first, at most [`MAX_ROUTES`].
    pub(super) fn routes_to_leader(&self, now: Instant, origin: RequestOrigin) -> Vec<Route> {
        if origin == RequestOrigin::Peer {
            return Vec::new();
        }
        let Some(KnownLeader { name: leader, .. }) = self.other_leader(now) else { return Vec::new() };
        let relays = match origin {
            RequestOrigin::User => self.peers.relay_candidates(now, leader),
            RequestOrigin::Relay | RequestOrigin::Peer => Vec::new(),
        };
        let mut hops = Vec::new();
        // A direct call that has just failed is tried again only if there is no relay.
        if self.peers.is_reachable(now, leader) || relays.is_empty() {
            hops.push((leader.to_owned(), false));
        }
        hops.extend(relays.into_iter().map(|relay| (relay, true)));
        hops.truncate(MAX_ROUTES);
        let route = |(peer, via_relay): (String, bool)| {
            let link = self.links.get(&peer)?.clone();
            Some(Route { peer, via_relay, link })
        };
        hops.into_iter().filter_map(route).collect()
    }

    /// Forwards a user's request, in a task of its own, along the routes until one
    /// replies. There must be a route.
    pub(super) fn forward(&self, request: UserRequest, routes: Vec<Route>) {
        let leader_was_unreachable = self.leader_unreachable_since.is_some();
        let forwarding = Forwarding::new(routes, leader_was_unreachable, self.events.clone());
        tokio::spawn(forwarding.run(request));
    }

    /// Decides what to do with a heartbeat that the leader should answer.
    pub(super) fn route_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatRoute {
        let Some(leader) = self.other_leader(now) else { return HeartbeatRoute::NoLeader };
        let (name, epoch) = (leader.name.to_owned(), leader.epoch);
        if !self.peers.is_reachable(now, &name) {
            return HeartbeatRoute::NoLeader;
        }
        let Some(link) = self.links.get(&name).cloned() else { return HeartbeatRoute::NoLeader };
        let was_with_leader = heartbeat.fencing_token == epoch;
        match self.worker_redirects.decide(now, &heartbeat.machine, was_with_leader) {
            RedirectDecision::Redirect => HeartbeatRoute::Redirect(name),
            RedirectDecision::Relay if self.relays.try_begin() => {
                HeartbeatRoute::Relay(HeartbeatRelay { leader: name, link })
            }
            RedirectDecision::Relay => HeartbeatRoute::TooManyRelays,
        }
    }

    /// Relays a heartbeat to the leader in a task of its own. The leader's answer, under its
    /// fencing token and lease, goes back unchanged; one that takes too long the worker drops,
    /// as it would any other.
    pub(super) fn relay_heartbeat(&self, relay: HeartbeatRelay, body: Vec<u8>, reply: ReplySender) {
        tokio::spawn(relay.run(body, reply, self.events.clone()));
    }

    /// A relayed heartbeat was answered, or the leader has timed out.
    pub(super) fn end_heartbeat_relay(&mut self, now: Instant, timed_out_peer: Option<&str>) {
        self.relays.end();
        if let Some(peer) = timed_out_peer {
            self.peers.record_timeout(now, peer);
        }
    }

    /// Heartbeats being relayed.
    #[cfg(test)]
    pub(super) fn relays_in_flight(&self) -> usize {
        self.relays.in_flight()
    }
}

/// The links to the configured peers; one that cannot be set up is logged and left out.
fn link_peers(config: &Config) -> HashMap<String, PeerLink> {
    let mut links = HashMap::default();
    for peer in &config.settings.peers {
        match PeerLink::new(peer.address, POLL_TIMEOUT) {
            Ok(link) => drop(links.insert(peer.name.clone(), link)),
            Err(error) => tracing::error!(peer = %peer.name, %error, "peer link setup failed"),
        }
    }
    links
}
