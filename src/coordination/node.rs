//! The actor at the centre of a controller: takes what users, workers and
//! other controllers send, and feeds the leader's state machine while this
//! controller leads.

mod actions;
mod handle;
mod peer_questions;
mod reading;
mod reports;
mod user_requests;

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior};

use super::agents::HeartbeatReply;
use super::answers::{self, Answer, TerminalStates, UnusableReply, Validity};
use super::authority::Violation;
use super::cloud::{Cloud, CloudResult};
use super::config::Config;
use super::election::Role;
use super::held_reports::{DeferredReplies, DeferredReply};
use super::leader::{Effect, Leader, UncheckedSubmission};
use super::loading::{self, read_snapshot, reconcile_page};
use super::model::ReplyId;
use super::peers::{Detour, Detours, PeerState, Peers};
use super::pipelines::DependencyStates;
use super::sizes::Sizes;
use super::statistics::Statistics;
use super::takeover::Snapshot;
use crate::maps::HashMap;
use crate::protocol::cbor::{Fields, Malformed, MapBuilder, decode, encode};
use crate::protocol::jobs::{JobId, JobSpec, JobStatus};
use crate::protocol::workers::{
    HEARTBEAT_REPLY_TIMEOUT, Heartbeat, encode_heartbeat_reply, encode_pushed_commands, encode_redirect,
};
use crate::protocol::{BODY_LIMIT, HEAD_LIMIT};
use crate::storage::service::{Class, Store, StoreError};
use crate::transport::client::{Call, Prepared};
use crate::transport::codec::Limits;
use crate::transport::peer::{PeerCall, PeerLink, PeerReply};

/// Longest that a user's request is pursued before it is given up. Users wait
/// five seconds for a submission and two for a poll.
const PATIENCE: Duration = Duration::from_millis(3000);
const POLL_PATIENCE: Duration = Duration::from_millis(1500);
const LOG_INTERVAL: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(200);

pub use handle::NodeHandle;
use user_requests::{ForwardedReply, LookUp, RecordRead, UserRequest, Waiting};

type Reply = oneshot::Sender<Answer>;

/// Where a call comes from, which bounds how far it goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// A user: to the leader by whatever way there is.
    User,
    /// A controller that cannot reach the leader: straight to it or not at all.
    Relay,
    /// A controller that takes this one for the leader: no further.
    Peer,
}

enum UserMessage {
    Call { call: PeerCall, reply: Reply, origin: Origin, arrived: Instant },
    Status { reply: Reply },
}

struct ReportMessage {
    report: Heartbeat,
    /// As it came, should it have to be handed on; not for one that was.
    body: Option<Vec<u8>>,
    reply: oneshot::Sender<Answer>,
    arrived: Instant,
}

enum Inner {
    Loaded {
        epoch: u64,
        loaded: Option<Snapshot>,
    },
    Committed {
        epoch: u64,
        ticket: u64,
        result: Result<u64, StoreError>,
    },
    CloudDone {
        epoch: u64,
        ticket: u64,
        result: CloudResult,
    },
    /// A job's record was read for a user.
    LookedUp {
        look_up: LookUp,
        started: Instant,
        read: RecordRead,
    },
    /// The records of jobs that a submission names were read; `None`: they cannot be.
    NeedsRead {
        epoch: u64,
        submission: Box<UncheckedSubmission>,
        states: Option<DependencyStates>,
    },
    /// Another controller replied to a request that was handed on.
    Forwarded(Box<ForwardedReply>),
    DirectDone,
    Reconciled {
        epoch: u64,
        from: String,
        restored: Snapshot,
    },
    /// What could not be read before was read again.
    ReadAgain {
        epoch: u64,
        restored: Snapshot,
    },
    /// Another controller was asked whether it leads; `None`: no answer.
    PeerAnswered {
        peer: String,
        peer_state: Option<PeerState>,
    },
    /// A call to another controller got no answer in time.
    PeerSilent {
        peer: String,
    },
    /// Whether a user's call got through to the leader by any way.
    LeaderReached(bool),
    /// A report was handed on; `silent`: in vain.
    Relayed {
        silent: Option<String>,
    },
    /// A user's request that no way led to the leader for.
    Unanswered(UserRequest),
}

/// Everything the actor owns.
pub struct Node {
    config: Arc<Config>,
    store: Store,
    cloud: Cloud,
    links: HashMap<String, PeerLink>,
    peers: Peers,
    detours: Detours,
    /// Since when no user's call has got through to the leader.
    unreached: Option<Instant>,
    /// Reports being handed on.
    relaying: usize,
    role: Role,
    leads: watch::Sender<bool>,
    /// Until when it leads.
    term: watch::Sender<Instant>,
    /// The last epoch given up before its lease ended.
    abandoned: watch::Sender<u64>,
    ready: watch::Sender<bool>,
    leader: Option<Leader>,
    /// The last epoch in which a leader began here.
    led_epoch: u64,
    /// Leaders that would have begun a second time in an epoch.
    violations: u64,
    held: DeferredReplies<oneshot::Sender<Answer>>,
    waiting: HashMap<ReplyId, Waiting>,
    next_reply: u64,
    lookups: usize,
    directs: usize,
    /// Final states that were told from here, or learnt.
    told: TerminalStates,
    sizes: Sizes,
    inner: mpsc::Sender<Inner>,
    last_led: Instant,
    logged_at: Instant,
    /// Where the walk through the finished jobs' rows goes on.
    walk_from: String,
    walk_at: Instant,
    walking: bool,
    /// Where the reading of what could not be read before goes on.
    read_again_from: String,
    statistics: Statistics,
}

pub struct Inputs {
    users: mpsc::Receiver<UserMessage>,
    reports: mpsc::Receiver<ReportMessage>,
    inner: mpsc::Receiver<Inner>,
    pub roles: mpsc::Receiver<Role>,
}

impl Node {
    pub fn new(
        config: Arc<Config>,
        store: Store,
        cloud: Cloud,
        leads: watch::Sender<bool>,
        term: watch::Sender<Instant>,
        abandoned: watch::Sender<u64>,
        roles: mpsc::Receiver<Role>,
    ) -> (Self, Inputs, NodeHandle) {
        let sizes = Sizes::new(&config.settings.cluster.limits);
        let (users_in, users) = mpsc::channel(sizes.users);
        let (reports_in, reports) = mpsc::channel(sizes.reports);
        let (inner_in, inner) = mpsc::channel(256);
        let (ready, is_ready) = watch::channel(false);
        let mut links = HashMap::default();
        for peer in &config.settings.peers {
            match PeerLink::new(peer.address, POLL_PATIENCE) {
                Ok(link) => drop(links.insert(peer.name.clone(), link)),
                Err(error) => tracing::error!(peer = %peer.name, %error, "cannot set up the link"),
            }
        }
        let now = Instant::now();
        let peers = Peers::new(links.keys().cloned(), config.tuning.lease);
        let detours = Detours::new(config.settings.cluster.workers.lease(), sizes.machines);
        let held = DeferredReplies::new(&config);
        let node = Node {
            config,
            store,
            cloud,
            links,
            peers,
            detours,
            unreached: None,
            relaying: 0,
            role: Role::Leaderless,
            leads,
            term,
            abandoned,
            ready,
            leader: None,
            led_epoch: 0,
            violations: 0,
            held,
            waiting: HashMap::default(),
            next_reply: 0,
            lookups: 0,
            directs: 0,
            told: TerminalStates::new(sizes.finals),
            sizes,
            inner: inner_in,
            last_led: now,
            logged_at: now,
            walk_from: String::new(),
            walk_at: now,
            walking: false,
            read_again_from: String::new(),
            statistics: Statistics::new(),
        };
        let handle = NodeHandle { users: users_in, reports: reports_in, ready: is_ready };
        (node, Inputs { users, reports, inner, roles }, handle)
    }

    pub async fn run(mut self, mut inputs: Inputs) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                // The order is that of importance: the lease, what was
                // written, workers, then users.
                biased;
                role = inputs.roles.recv() => match role {
                    Some(role) => self.take_role(role),
                    None => return,
                },
                Some(inner) = inputs.inner.recv() => self.take_inner(inner),
                _ = tick.tick() => self.tick(),
                Some(message) = inputs.reports.recv() => self.take_report(message),
                Some(message) = inputs.users.recv() => match message {
                    UserMessage::Call { call, reply, origin, arrived } => {
                        self.take_user(call, reply, origin);
                        self.statistics.user(arrived);
                    }
                    UserMessage::Status { reply } => drop(reply.send(Answer::new(200, &self.status()))),
                },
                else => return,
            }
            self.carry_out();
        }
    }

    fn take_role(&mut self, role: Role) {
        let now = Instant::now();
        match &role {
            Role::Leader { epoch, lease_expiry: until } => {
                let same = matches!(&self.role, Role::Leader { epoch: before, .. } if before == epoch);
                if !same {
                    self.drop_leader();
                    let _ = self.leads.send(true);
                    self.load(*epoch);
                }
                let _ = self.term.send(*until);
                if let Some(leader) = &mut self.leader {
                    leader.extend_lease(now, *until);
                }
            }
            _ => {
                self.drop_leader();
                let _ = self.leads.send(false);
                let _ = self.term.send(now);
            }
        }
        if self.role != role {
            self.detours.clear();
            self.unreached = None;
        }
        self.role = role;
    }

    /// Unwinds: nothing of the epoch's picture is used any more.
    fn drop_leader(&mut self) {
        if self.leader.take().is_some() {
            tracing::info!("the epoch is over; its picture is dropped");
        }
        for (_, waiting) in std::mem::take(&mut self.waiting) {
            let answer = Answer::retry_later(503, "leadership has changed", 1);
            self.tell(waiting.reply, &waiting.job, answer);
        }
        for held in self.held.drain() {
            let _ = held.reply.send(reports::elsewhere(None));
        }
    }

    fn take_inner(&mut self, inner: Inner) {
        let now = Instant::now();
        match inner {
            Inner::Loaded { epoch, loaded } => {
                let Role::Leader { epoch: current, lease_expiry: until } = self.role else { return };
                if current != epoch || self.leader.is_some() {
                    return;
                }
                match loaded {
                    Some(_) if epoch <= self.led_epoch => {
                        // Attempt numbers would be used a second time.
                        self.violations += 1;
                        tracing::error!(epoch, violation = %Violation::EpochReused, "giving the epoch up");
                        let _ = self.abandoned.send(epoch);
                    }
                    Some(loaded) => {
                        self.led_epoch = epoch;
                        tracing::info!(
                            epoch,
                            jobs = loaded.jobs.len(),
                            rentals = loaded.node_pools.len(),
                            unreadable = loaded.unreadable.len(),
                            lease_left_ms = until.saturating_duration_since(now).as_millis() as u64,
                            "records read"
                        );
                        let mut leader = Leader::new(self.config.clone(), epoch, now, wall_ms(), loaded);
                        leader.extend_lease(now, until);
                        self.leader = Some(leader);
                    }
                    None => self.load(epoch),
                }
            }
            Inner::Committed { epoch, ticket, result } => {
                if let Some(leader) = self.leader.as_mut().filter(|l| l.epoch() == epoch) {
                    leader.handle_commit_result(now, ticket, result);
                    if leader.is_fenced() {
                        let _ = self.abandoned.send(epoch);
                        self.drop_leader();
                    }
                }
            }
            Inner::CloudDone { epoch, ticket, result } => {
                if let Some(leader) = self.leader.as_mut().filter(|l| l.epoch() == epoch) {
                    leader.handle_cloud_result(now, ticket, result);
                }
            }
            Inner::LookedUp { look_up, started, read } => self.looked_up(look_up, started, read),
            Inner::NeedsRead { epoch, submission, states } => self.needs_read(epoch, *submission, states),
            Inner::Forwarded(reply) => self.forwarded(*reply),
            Inner::DirectDone => self.directs -= 1,
            Inner::PeerAnswered { peer, peer_state } => self.peer_answered(now, &peer, peer_state),
            Inner::PeerSilent { peer } => self.peers.silent(now, &peer),
            Inner::LeaderReached(true) => self.unreached = None,
            Inner::LeaderReached(false) => drop(self.unreached.get_or_insert(now)),
            Inner::Relayed { silent } => {
                self.relaying -= 1;
                if let Some(peer) = silent {
                    self.peers.silent(now, &peer);
                }
            }
            Inner::Unanswered(request) => self.without_leader(request, "the leader did not answer"),
            Inner::Reconciled { epoch, from, restored } => {
                self.walking = false;
                self.walk_from = from;
                self.restore(epoch, restored);
            }
            Inner::ReadAgain { epoch, restored } => self.restore(epoch, restored),
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if let Some(leader) = &mut self.leader {
            leader.set_state_limits(self.store.limits());
            leader.tick(now);
        }
        self.end_holds();
        let late: Vec<ReplyId> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| now > waiting.since + PATIENCE)
            .map(|(to, _)| *to)
            .collect();
        for to in late {
            self.answer_waiting(to, Answer::retry_later(503, "not recorded in time", 1));
        }
        let leads = self.leader.as_ref().is_some_and(|l| l.holds_lease(now));
        let follows = matches!(self.role, Role::Follower { .. });
        let unreached = follows && self.unreached.is_some();
        if (leads || follows) && !unreached {
            self.peers.rest();
        }
        if !(leads || follows)
            || unreached
            || self.leader.as_ref().is_some_and(Leader::awaits_post_lease_graces)
        {
            self.ask_peers(now);
        }
        // A leader that nobody here can reach, for longer than it would lead if it
        // were dead: users are better off with the controller that does.
        let lost = follows && self.unreached.is_some_and(|at| now >= at + self.config.tuning.lease);
        let known = leads || (follows && !lost) || self.peers.leading(now).is_some();
        if known {
            self.last_led = now;
        }
        // Removal from service lasts longer than most changes of leader, so a
        // short one is not worth it; being cut off from all others is.
        let lease = self.config.settings.cluster.workers.lease();
        let hopes = *self.ready.borrow() && now < self.last_led + lease * 2 && !self.peers.cut_off(now);
        let ready = known || (hopes && !lost);
        self.ready.send_if_modified(|before| std::mem::replace(before, ready) != ready);
        if now > self.logged_at + LOG_INTERVAL {
            self.logged_at = now;
            if let Some(leader) = &self.leader {
                tracing::info!("{} {}", leader.summary(), self.statistics.line());
            }
        }
        self.reconcile(now);
    }

    /// Figures for operators.
    fn status(&self) -> ciborium::value::Value {
        let role = match &self.role {
            Role::Leaderless => match self.peers.leading(Instant::now()) {
                Some((leader, _)) => format!("leaderless, {leader} says that it leads"),
                None => "leaderless".to_owned(),
            },
            Role::Follower { leader, .. } => format!("follows {leader}"),
            Role::Leader { .. } => "leads".to_owned(),
        };
        let figures = MapBuilder::new()
            .set("name", self.config.settings.name.as_str())
            .set("build", env!("CARGO_PKG_VERSION"))
            .set("role", role);
        let figures = figures.set("epochsReused", self.violations);
        let figures = match &self.leader {
            Some(leader) => leader.figures(figures),
            None => figures,
        };
        let limits = self.store.limits();
        let announced = self.config.settings.cluster.state.announced();
        let state = MapBuilder::new()
            .set("changesPerSecond", limits.write_rps)
            .set("valueKib", limits.value_kb)
            .set("laterChangesPerSecond", announced.write_rps)
            .set("laterValueKib", announced.value_kb)
            .set("laterLimitsHold", limits == announced);
        self.statistics.figures(figures.set("stateService", state.build())).build()
    }
}

fn wall_ms() -> u64 {
    #[cfg(test)]
    if let Some(simulated) = crate::transport::scripted::wall_ms() {
        return simulated;
    }
    let passed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(passed.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
