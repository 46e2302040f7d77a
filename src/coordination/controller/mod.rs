//! The actor at the centre of a controller: takes what users, workers and
//! other controllers send, and feeds the leader's state machine while this
//! controller leads.

pub(crate) mod capacity;
mod effects;
mod handle;
mod heartbeats;
mod latencies;
mod peer_queries;
pub mod peers;
mod requests;
mod store_reads;

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior};

use crate::coordination::authority::Violation;
use crate::coordination::authority::answers::{self, Answer, TerminalStates, UnusableReply, Validity};
use crate::coordination::config::Config;
use crate::coordination::controller::capacity::CapacityLimits;
use crate::coordination::controller::latencies::LatencyHistograms;
use crate::coordination::controller::peers::{PeerState, Peers, RedirectDecision, WorkerRedirects};
use crate::coordination::election::Role;
use crate::coordination::fleet::cloud::{Cloud, CloudResult};
use crate::coordination::jobs::dependency_state::DependencyStates;
use crate::coordination::jobs::job::ReplyId;
use crate::coordination::leader::Leader;
use crate::coordination::leader::effects::{Effect, OperationId, UncheckedSubmission};
use crate::coordination::recovery::snapshot::Snapshot;
use crate::coordination::recovery::snapshot::{self, read_snapshot, reconcile_page};
use crate::coordination::workers::deferred_replies::{DeferredReplies, DeferredReply};
use crate::coordination::workers::heartbeats::HeartbeatReply;
use crate::maps::HashMap;
use crate::protocol::cbor::{Fields, Malformed, MapBuilder, decode, encode};
use crate::protocol::jobs::{JobId, JobSpec, JobStatus};
use crate::protocol::workers::{
    HEARTBEAT_REPLY_TIMEOUT, Heartbeat, encode_heartbeat_reply, encode_pushed_commands, encode_redirect,
};
use crate::protocol::{BODY_LIMIT, HEAD_LIMIT};
use crate::storage::kv::{KvClient, KvError, RequestClass};
use crate::transport::client::{Call, PreparedCall};
use crate::transport::codec::Limits;
use crate::transport::peer::{PeerCall, PeerLink, PeerReply};

/// Longest that a user's request is pursued before it is given up. Users wait
/// five seconds for a submission and two for a poll.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(3000);
const POLL_TIMEOUT: Duration = Duration::from_millis(1500);
const LOG_INTERVAL: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(200);

pub use handle::ControllerHandle;
use requests::{ForwardedReply, JobLookUp, PendingReply, RecordRead, UserRequest};

type Reply = oneshot::Sender<Answer>;

/// Where a call comes from, which bounds how far it goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestOrigin {
    /// A user: to the leader by whatever way there is.
    User,
    /// A controller that cannot reach the leader: straight to it or not at all.
    Relay,
    /// A controller that takes this one for the leader: no further.
    Peer,
}

enum UserMessage {
    Call { call: PeerCall, reply: Reply, origin: RequestOrigin, arrived: Instant },
    Status { reply: Reply },
}

struct HeartbeatMessage {
    heartbeat: Heartbeat,
    /// As it came, should it have to be handed on; not for one that was.
    body: Option<Vec<u8>>,
    reply: oneshot::Sender<Answer>,
    arrived: Instant,
}

enum InternalEvent {
    SnapshotRead {
        epoch: u64,
        snapshot: Option<Snapshot>,
    },
    Committed {
        epoch: u64,
        operation: OperationId,
        result: Result<u64, KvError>,
    },
    CloudDone {
        epoch: u64,
        operation: OperationId,
        result: CloudResult,
    },
    /// A job's record was read for a user.
    JobLookedUp {
        look_up: JobLookUp,
        started: Instant,
        read: RecordRead,
    },
    /// The records of jobs that a submission names were read; `None`: they cannot be.
    DependenciesRead {
        epoch: u64,
        submission: Box<UncheckedSubmission>,
        states: Option<DependencyStates>,
    },
    /// Another controller replied to a request that was handed on.
    Forwarded(Box<ForwardedReply>),
    PushDone,
    Reconciled {
        epoch: u64,
        from: String,
        restored: Snapshot,
    },
    /// What could not be read before was read again.
    UnreadableReread {
        epoch: u64,
        restored: Snapshot,
    },
    /// Another controller was asked whether it leads; `None`: no answer.
    PeerAnswered {
        peer: String,
        peer_state: Option<PeerState>,
    },
    /// A call to another controller got no answer in time.
    PeerTimedOut {
        peer: String,
    },
    /// Whether a user's call got through to the leader by any way.
    LeaderReached(bool),
    /// A report was handed on; `silent`: in vain.
    Relayed {
        timed_out_peer: Option<String>,
    },
    /// A user's request that no way led to the leader for.
    LeaderUnreachable(UserRequest),
}

/// Everything the actor owns.
pub struct Controller {
    config: Arc<Config>,
    store: KvClient,
    cloud: Cloud,
    links: HashMap<String, PeerLink>,
    peers: Peers,
    worker_redirects: WorkerRedirects,
    /// Since when no user's call has got through to the leader.
    leader_unreachable_since: Option<Instant>,
    /// Reports being handed on.
    relays_in_flight: usize,
    role: Role,
    is_leader: watch::Sender<bool>,
    /// Until when it leads.
    lease_expiry: watch::Sender<Instant>,
    /// The last epoch given up before its lease ended.
    resigned_epoch: watch::Sender<u64>,
    ready: watch::Sender<bool>,
    leader: Option<Leader>,
    /// The last epoch in which a leader began here.
    last_led_epoch: u64,
    /// Leaders that would have begun a second time in an epoch.
    invariant_violations: u64,
    deferred_replies: DeferredReplies<oneshot::Sender<Answer>>,
    pending_replies: HashMap<ReplyId, PendingReply>,
    last_reply: u64,
    lookups_in_flight: usize,
    pushes_in_flight: usize,
    /// Final states that were told from here, or learnt.
    terminal_states: TerminalStates,
    capacity: CapacityLimits,
    events: mpsc::Sender<InternalEvent>,
    leader_known_at: Instant,
    logged_at: Instant,
    /// Where the walk through the finished jobs' rows goes on.
    reconcile_cursor: String,
    reconciled_at: Instant,
    reconcile_in_flight: bool,
    /// Where the reading of what could not be read before goes on.
    reread_cursor: String,
    latencies: LatencyHistograms,
}

pub struct Inputs {
    requests: mpsc::Receiver<UserMessage>,
    heartbeats: mpsc::Receiver<HeartbeatMessage>,
    events: mpsc::Receiver<InternalEvent>,
    pub roles: mpsc::Receiver<Role>,
}

impl Controller {
    pub fn new(
        config: Arc<Config>,
        store: KvClient,
        cloud: Cloud,
        leads: watch::Sender<bool>,
        term: watch::Sender<Instant>,
        abandoned: watch::Sender<u64>,
        roles: mpsc::Receiver<Role>,
    ) -> (Self, Inputs, ControllerHandle) {
        let sizes = CapacityLimits::new(&config.settings.cluster.limits);
        let (users_in, users) = mpsc::channel(sizes.queued_requests);
        let (reports_in, reports) = mpsc::channel(sizes.queued_heartbeats);
        let (inner_in, inner) = mpsc::channel(256);
        let (ready, is_ready) = watch::channel(false);
        let mut links = HashMap::default();
        for peer in &config.settings.peers {
            match PeerLink::new(peer.address, POLL_TIMEOUT) {
                Ok(link) => drop(links.insert(peer.name.clone(), link)),
                Err(error) => tracing::error!(peer = %peer.name, %error, "cannot set up the link"),
            }
        }
        let now = Instant::now();
        let peers = Peers::new(links.keys().cloned(), config.tuning.lease);
        let detours = WorkerRedirects::new(config.settings.cluster.workers.lease(), sizes.machines);
        let held = DeferredReplies::new(&config);
        let node = Controller {
            config,
            store,
            cloud,
            links,
            peers,
            worker_redirects: detours,
            leader_unreachable_since: None,
            relays_in_flight: 0,
            role: Role::Leaderless,
            is_leader: leads,
            lease_expiry: term,
            resigned_epoch: abandoned,
            ready,
            leader: None,
            last_led_epoch: 0,
            invariant_violations: 0,
            deferred_replies: held,
            pending_replies: HashMap::default(),
            last_reply: 0,
            lookups_in_flight: 0,
            pushes_in_flight: 0,
            terminal_states: TerminalStates::new(sizes.terminal_states),
            capacity: sizes,
            events: inner_in,
            leader_known_at: now,
            logged_at: now,
            reconcile_cursor: String::new(),
            reconciled_at: now,
            reconcile_in_flight: false,
            reread_cursor: String::new(),
            latencies: LatencyHistograms::new(),
        };
        let handle = ControllerHandle { requests: users_in, heartbeats: reports_in, ready: is_ready };
        (node, Inputs { requests: users, heartbeats: reports, events: inner, roles }, handle)
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
                    Some(role) => self.handle_role(role),
                    None => return,
                },
                Some(inner) = inputs.events.recv() => self.handle_event(inner),
                _ = tick.tick() => self.tick(),
                Some(message) = inputs.heartbeats.recv() => self.handle_heartbeat(message),
                Some(message) = inputs.requests.recv() => match message {
                    UserMessage::Call { call, reply, origin, arrived } => {
                        self.handle_request(call, reply, origin);
                        self.latencies.record_request(arrived);
                    }
                    UserMessage::Status { reply } => drop(reply.send(Answer::new(200, &self.status()))),
                },
                else => return,
            }
            self.perform_effects();
        }
    }

    fn handle_role(&mut self, role: Role) {
        let now = Instant::now();
        match &role {
            Role::Leader { epoch, lease_expiry: until } => {
                let same = matches!(&self.role, Role::Leader { epoch: before, .. } if before == epoch);
                if !same {
                    self.step_down();
                    let _ = self.is_leader.send(true);
                    self.read_snapshot(*epoch);
                }
                let _ = self.lease_expiry.send(*until);
                if let Some(leader) = &mut self.leader {
                    leader.extend_lease(now, *until);
                }
            }
            _ => {
                self.step_down();
                let _ = self.is_leader.send(false);
                let _ = self.lease_expiry.send(now);
            }
        }
        if self.role != role {
            self.worker_redirects.clear();
            self.leader_unreachable_since = None;
        }
        self.role = role;
    }

    /// Unwinds: nothing of the epoch's picture is used any more.
    fn step_down(&mut self) {
        if self.leader.take().is_some() {
            tracing::info!("the epoch is over; its picture is dropped");
        }
        for (_, waiting) in std::mem::take(&mut self.pending_replies) {
            let answer = Answer::retry_later(503, "leadership has changed", 1);
            self.answer_about_job(waiting.reply, &waiting.job, answer);
        }
        for held in self.deferred_replies.drain() {
            let _ = held.reply.send(heartbeats::redirect_answer(None));
        }
    }

    fn handle_event(&mut self, inner: InternalEvent) {
        let now = Instant::now();
        match inner {
            InternalEvent::SnapshotRead { epoch, snapshot: loaded } => {
                let Role::Leader { epoch: current, lease_expiry: until } = self.role else { return };
                if current != epoch || self.leader.is_some() {
                    return;
                }
                match loaded {
                    Some(_) if epoch <= self.last_led_epoch => {
                        // Attempt numbers would be used a second time.
                        self.invariant_violations += 1;
                        tracing::error!(epoch, violation = %Violation::EpochReused, "giving the epoch up");
                        let _ = self.resigned_epoch.send(epoch);
                    }
                    Some(loaded) => {
                        self.last_led_epoch = epoch;
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
                    None => self.read_snapshot(epoch),
                }
            }
            InternalEvent::Committed { epoch, operation, result } => {
                if let Some(leader) = self.leader.as_mut().filter(|l| l.epoch() == epoch) {
                    leader.handle_commit_result(now, operation, result);
                    if leader.is_fenced() {
                        let _ = self.resigned_epoch.send(epoch);
                        self.step_down();
                    }
                }
            }
            InternalEvent::CloudDone { epoch, operation, result } => {
                if let Some(leader) = self.leader.as_mut().filter(|l| l.epoch() == epoch) {
                    leader.handle_cloud_result(now, operation, result);
                }
            }
            InternalEvent::JobLookedUp { look_up, started, read } => {
                self.handle_job_looked_up(look_up, started, read)
            }
            InternalEvent::DependenciesRead { epoch, submission, states } => {
                self.handle_dependencies_read(epoch, *submission, states)
            }
            InternalEvent::Forwarded(reply) => self.handle_forwarded_reply(*reply),
            InternalEvent::PushDone => self.pushes_in_flight -= 1,
            InternalEvent::PeerAnswered { peer, peer_state } => {
                self.handle_peer_answer(now, &peer, peer_state)
            }
            InternalEvent::PeerTimedOut { peer } => self.peers.record_timeout(now, &peer),
            InternalEvent::LeaderReached(true) => self.leader_unreachable_since = None,
            InternalEvent::LeaderReached(false) => drop(self.leader_unreachable_since.get_or_insert(now)),
            InternalEvent::Relayed { timed_out_peer: silent } => {
                self.relays_in_flight -= 1;
                if let Some(peer) = silent {
                    self.peers.record_timeout(now, &peer);
                }
            }
            InternalEvent::LeaderUnreachable(request) => {
                self.answer_without_leader(request, "the leader did not answer")
            }
            InternalEvent::Reconciled { epoch, from, restored } => {
                self.reconcile_in_flight = false;
                self.reconcile_cursor = from;
                self.restore(epoch, restored);
            }
            InternalEvent::UnreadableReread { epoch, restored } => self.restore(epoch, restored),
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if let Some(leader) = &mut self.leader {
            leader.set_state_limits(self.store.limits());
            leader.tick(now);
        }
        self.flush_expired_replies();
        let late: Vec<ReplyId> = self
            .pending_replies
            .iter()
            .filter(|(_, waiting)| now > waiting.since + REQUEST_TIMEOUT)
            .map(|(to, _)| *to)
            .collect();
        for to in late {
            self.answer_pending(to, Answer::retry_later(503, "not recorded in time", 1));
        }
        let leads = self.leader.as_ref().is_some_and(|l| l.holds_lease(now));
        let follows = matches!(self.role, Role::Follower { .. });
        let unreached = follows && self.leader_unreachable_since.is_some();
        if (leads || follows) && !unreached {
            self.peers.stop_querying();
        }
        if !(leads || follows)
            || unreached
            || self.leader.as_ref().is_some_and(Leader::awaits_post_lease_graces)
        {
            self.query_peers(now);
        }
        // A leader that nobody here can reach, for longer than it would lead if it
        // were dead: users are better off with the controller that does.
        let lost =
            follows && self.leader_unreachable_since.is_some_and(|at| now >= at + self.config.tuning.lease);
        let known = leads || (follows && !lost) || self.peers.known_leader(now).is_some();
        if known {
            self.leader_known_at = now;
        }
        // Removal from service lasts longer than most changes of leader, so a
        // short one is not worth it; being cut off from all others is.
        let lease = self.config.settings.cluster.workers.lease();
        let hopes =
            *self.ready.borrow() && now < self.leader_known_at + lease * 2 && !self.peers.is_isolated(now);
        let ready = known || (hopes && !lost);
        self.ready.send_if_modified(|before| std::mem::replace(before, ready) != ready);
        if now > self.logged_at + LOG_INTERVAL {
            self.logged_at = now;
            if let Some(leader) = &self.leader {
                tracing::info!("{} {}", leader.summary(), self.latencies.summary());
            }
        }
        self.reconcile(now);
    }

    /// Figures for operators.
    fn status(&self) -> ciborium::value::Value {
        let role = match &self.role {
            Role::Leaderless => match self.peers.known_leader(Instant::now()) {
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
        let figures = figures.set("epochsReused", self.invariant_violations);
        let figures = match &self.leader {
            Some(leader) => leader.metrics(figures),
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
        self.latencies.metrics(figures.set("stateService", state.build())).build()
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
