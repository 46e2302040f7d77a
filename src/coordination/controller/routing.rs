//! Determines which controller leads, and routes calls to it: directly, or relayed by another
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

/// Maximum number of routes that are tried for one request.
const MAX_ROUTES: usize = 2;
/// The leader's lease divided by this is the timeout of a leader query.
const QUERY_TIMEOUT_LEASE_DIVISOR: u32 = 4;

/// How to handle a heartbeat that the leader should answer.
pub(super) enum HeartbeatRoute {
    /// No leader is known, or this controller cannot reach it.
    NoLeader,
    /// Redirect the worker to the leader with this name.
    Redirect(String),
    /// The heartbeat should be relayed, but too many relays are in flight. The worker should retry
    /// with this or another controller: a redirect to the leader, which it cannot reach, would
    /// only cost it a timeout.
    TooManyRelays,
    /// Relay the heartbeat with [`LeaderRouting::relay_heartbeat`].
    Relay(HeartbeatRelay),
}

/// The role that the election has given this controller, the links to the peers, and their
/// last known state.
pub(super) struct LeaderRouting {
    role: Role,
    /// Duration of the leader's lease.
    lease: Duration,
    links: HashMap<String, PeerLink>,
    /// Whether there is a link to every other controller of the cluster.
    links_all_peers: bool,
    peers: Peers,
    worker_redirects: WorkerRedirects,
    /// Since when no forwarded request has got a reply from the leader or a relay.
    leader_unreachable_since: Option<Instant>,
    /// Limits concurrent relays of heartbeats.
    relays: ConcurrencyLimit,
    events: mpsc::Sender<InternalEvent>,
}

impl LeaderRouting {
    /// Sets up the links to the configured peers; each connects when first used.
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

    /// Sets the role given by the election. If it has changed, the state about reaching the
    /// previous leader is cleared, since it does not apply to another one.
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

    /// Returns the leader if it is another controller: the one that the store names, otherwise
    /// the peer that states that it leads.
    pub(super) fn other_leader(&self, now: Instant) -> Option<KnownLeader<'_>> {
        match &self.role {
            Role::Follower { leader, epoch } => Some(KnownLeader { name: leader, epoch: *epoch }),
            _ => self.peers.known_leader(now),
        }
    }

    /// Returns the peer that recently stated that it leads.
    pub(super) fn leading_peer(&self, now: Instant) -> Option<KnownLeader<'_>> {
        self.peers.known_leader(now)
    }

    /// Returns the epoch of the peer that recently stated that it leads; 0 if none did.
    pub(super) fn epoch_of_leading_peer(&self, now: Instant) -> u64 {
        self.peers.known_leader(now).map_or(0, |leader| leader.epoch)
    }

    /// Returns the highest epoch that this controller knows of.
    pub(super) fn newest_epoch(&self, now: Instant) -> u64 {
        let by_role = match &self.role {
            Role::Follower { epoch, .. } | Role::Leader { epoch, .. } => *epoch,
            Role::Leaderless => 0,
        };
        by_role.max(self.epoch_of_leading_peer(now))
    }

    /// Records that the leader or a relay has replied to a forwarded request.
    pub(super) fn record_leader_reached(&mut self) {
        self.leader_unreachable_since = None;
    }

    /// Records that a forwarded request got no reply on any route to the leader.
    pub(super) fn record_leader_unreachable(&mut self, now: Instant) {
        self.leader_unreachable_since.get_or_insert(now);
    }

    /// Whether the store names a leader that the latest calls could not reach.
    pub(super) fn is_leader_unreachable(&self) -> bool {
        self.is_follower() && self.leader_unreachable_since.is_some()
    }

    /// Whether no call has reached the leader for a whole lease. A dead leader would have lost
    /// its lease by now, so the leader is probably alive and only this controller cannot reach it:
    /// users should use another one.
    pub(super) fn is_leader_lost(&self, now: Instant) -> bool {
        self.is_follower() && self.leader_unreachable_since.is_some_and(|since| now >= since + self.lease)
    }

    /// Whether the leader has been unknown or unreachable, and no peer has replied, for a whole
    /// lease.
    pub(super) fn is_isolated(&self, now: Instant) -> bool {
        self.peers.is_isolated(now)
    }

    /// Records that a call to the peer timed out.
    pub(super) fn record_timeout(&mut self, now: Instant, peer: &str) {
        self.peers.record_timeout(now, peer);
    }

    /// Records that the leader is known and is not unreachable.
    pub(super) fn stop_querying_peers(&mut self) {
        self.peers.stop_querying();
    }

    /// Asks the peers whose query is due whether they lead.
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

    /// Records the result of a leader query; `None` if the peer did not reply in time.
    pub(super) fn record_peer_state(&mut self, now: Instant, peer: &str, peer_state: Option<PeerState>) {
        self.peers.record_answer(now, peer, peer_state);
        if peer_state.is_some() && self.other_leader(now).is_some_and(|leader| leader.name == peer) {
            self.leader_unreachable_since = None;
        }
    }

    /// Returns the latest time at which a peer stated that it replies to no worker, if every other
    /// controller has stated that at `since` or later.
    pub(super) fn all_peers_idle_since(&self, since: Instant) -> Option<Instant> {
        if self.links_all_peers { self.peers.all_idle_since(since) } else { None }
    }

    /// Returns up to [`MAX_ROUTES`] routes to the leader for a request, the best first.
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
        // After a recent timeout the direct route is used only if no peer can relay.
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

    /// Spawns a task that forwards a user's request on the routes, one after the other, until
    /// one replies. There must be at least one route.
    pub(super) fn forward(&self, request: UserRequest, routes: Vec<Route>) {
        let leader_was_unreachable = self.leader_unreachable_since.is_some();
        let forwarding = Forwarding::new(routes, leader_was_unreachable, self.events.clone());
        tokio::spawn(forwarding.run(request));
    }

    /// Decides how to handle a heartbeat that the leader should answer.
    pub(super) fn route_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatRoute {
        let Some(leader) = self.other_leader(now) else { return HeartbeatRoute::NoLeader };
        let (name, epoch) = (leader.name.to_owned(), leader.epoch);
        if !self.peers.is_reachable(now, &name) {
            return HeartbeatRoute::NoLeader;
        }
        let Some(link) = self.links.get(&name).cloned() else { return HeartbeatRoute::NoLeader };
        let had_leader_reply = heartbeat.fencing_token == epoch;
        match self.worker_redirects.decide(now, &heartbeat.machine, had_leader_reply) {
            RedirectDecision::Redirect => HeartbeatRoute::Redirect(name),
            RedirectDecision::Relay if self.relays.try_acquire() => {
                HeartbeatRoute::Relay(HeartbeatRelay { leader: name, link })
            }
            RedirectDecision::Relay => HeartbeatRoute::TooManyRelays,
        }
    }

    /// Spawns a task that relays a heartbeat to the leader and replies to the worker, see
    /// [`HeartbeatRelay::run`].
    pub(super) fn relay_heartbeat(&self, relay: HeartbeatRelay, body: Vec<u8>, reply: ReplySender) {
        tokio::spawn(relay.run(body, reply, self.events.clone()));
    }

    /// Records that the relay of a heartbeat has ended, with the leader's name if the leader
    /// timed out.
    pub(super) fn end_heartbeat_relay(&mut self, now: Instant, timed_out_peer: Option<&str>) {
        self.relays.release();
        if let Some(peer) = timed_out_peer {
            self.peers.record_timeout(now, peer);
        }
    }

    /// Returns the number of relays in flight.
    #[cfg(test)]
    pub(super) fn relays_in_flight(&self) -> usize {
        self.relays.in_flight()
    }
}

/// Sets up the links to the configured peers; logs and skips those that fail.
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
