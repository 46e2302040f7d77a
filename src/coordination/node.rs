//! The actor at the centre of a controller: takes what users, workers and
//! other controllers send, and feeds the leader's state machine while this
//! controller leads.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior};

use super::agents::ReportReply;
use super::cloud::{Cloud, CloudResult};
use super::election::Role;
use super::held_reports::{HeldReport, HeldReports};
use super::leader::{Action, Answer, Config, Leader, Loaded, LoadedJob};
use super::loading::{load, walk};
use super::model::ReplyTo;
use super::peers::{Detour, Detours, PeerState, Peers};
use super::sizes::Sizes;
use super::statistics::Statistics;
use crate::maps::HashMap;
use crate::protocol::cbor::{Fields, Malformed, MapBuilder, decode, encode};
use crate::protocol::jobs::{JobId, JobSpec, JobStatus};
use crate::protocol::workers::{ANSWER_WITHIN, Report, direct_orders, report_answer, report_elsewhere};
use crate::protocol::{BODY_LIMIT, HEAD_LIMIT};
use crate::storage::records::{JobRecord, record_key};
use crate::storage::service::{Class, Store, StoreError};
use crate::transport::client::{Call, Prepared};
use crate::transport::codec::{Limits, Request, Response};
use crate::transport::peer::{PeerCall, PeerHandler, PeerLink, PeerReply};
use crate::transport::server::Handler;

/// Longest that a user's request is pursued before it is given up. Users wait
/// five seconds for a submission and two for a poll.
const PATIENCE: Duration = Duration::from_millis(3000);
const POLL_PATIENCE: Duration = Duration::from_millis(1500);
const LOG_INTERVAL: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(200);

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
    report: Report,
    /// As it came, should it have to be handed on; not for one that was.
    body: Option<Vec<u8>>,
    reply: oneshot::Sender<Answer>,
    arrived: Instant,
}

enum Inner {
    Loaded {
        epoch: u64,
        loaded: Option<Loaded>,
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
    LookedUp {
        final_status: Option<JobStatus>,
    },
    DirectDone,
    Reconciled {
        epoch: u64,
        from: String,
        restored: Vec<LoadedJob>,
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
    /// A poll that no way led to the leader for: the record is left.
    Unanswered {
        reply: Reply,
        job: JobId,
    },
}

/// Speaks to the actor; answers HTTP requests and other controllers.
#[derive(Clone)]
pub struct NodeHandle {
    users: mpsc::Sender<UserMessage>,
    reports: mpsc::Sender<ReportMessage>,
    ready: watch::Receiver<bool>,
}

impl NodeHandle {
    async fn user(&self, call: PeerCall, origin: Origin) -> Answer {
        self.ask(|reply| UserMessage::Call { call, reply, origin, arrived: Instant::now() }).await
    }

    async fn ask(&self, message: impl FnOnce(Reply) -> UserMessage) -> Answer {
        let (reply, answer) = oneshot::channel();
        // A full buffer holds nobody: the edge refuses at once.
        if self.users.try_send(message(reply)).is_err() {
            return Answer::later(429, "too many requests at once", 1);
        }
        answer.await.unwrap_or_else(|_| Answer::later(503, "try again", 1))
    }

    async fn report(&self, body: Vec<u8>, relayed: bool) -> Answer {
        let report = match decode(&body).and_then(|value| Report::decode(&value)) {
            Ok(report) => report,
            Err(error) => return Answer::refused(400, &error.to_string()),
        };
        let (reply, answer) = oneshot::channel();
        let body = (!relayed).then_some(body);
        let message = ReportMessage { report, body, reply, arrived: Instant::now() };
        if self.reports.try_send(message).is_err() {
            return Answer::later(503, "too many reports at once", 1);
        }
        answer.await.unwrap_or_else(|_| Answer::later(503, "try again", 1))
    }

    async fn route(&self, request: Request) -> Answer {
        let target = request.target.as_str();
        let path = target.split('?').next().unwrap_or_default();
        let post = request.method == "POST";
        let get = request.method == "GET";
        match path {
            "/agent/beat" if post => self.report(request.body, false).await,
            "/agent/beat" | "/api/jobs" if !post => Answer::refused(405, "POST only"),
            "/api/jobs" => self.user(PeerCall::Submit(request.body), Origin::User).await,
            "/status" if get => self.ask(|reply| UserMessage::Status { reply }).await,
            "/ready" if get => {
                if *self.ready.borrow() {
                    Answer { status: 200, body: Vec::new(), retry_after_s: None }
                } else {
                    Answer::later(503, "not ready", 1)
                }
            }
            _ => {
                let Some(rest) = path.strip_prefix("/api/jobs/") else {
                    return Answer::refused(404, "no such path");
                };
                let (id, withdraw) = match rest.strip_suffix("/withdraw") {
                    Some(id) => (id, true),
                    None => (rest, false),
                };
                if JobId::parse(id).is_none() {
                    return Answer::refused(404, "no such job");
                }
                match (withdraw, post, get) {
                    (true, true, _) => self.user(PeerCall::Withdraw(id.to_owned()), Origin::User).await,
                    (false, _, true) => self.user(PeerCall::Poll(id.to_owned()), Origin::User).await,
                    _ => Answer::refused(405, "method not allowed here"),
                }
            }
        }
    }
}

impl Handler for NodeHandle {
    async fn handle(&self, request: Request) -> Response {
        let Answer { status, body, retry_after_s } = self.route(request).await;
        Response { status, body, retry_after_s, close: false }
    }
}

impl PeerHandler for NodeHandle {
    async fn handle(&self, call: PeerCall, relay: bool) -> PeerReply {
        let origin = if relay { Origin::Relay } else { Origin::Peer };
        let answer = match call {
            PeerCall::Report(body) => self.report(body, true).await,
            call => self.user(call, origin).await,
        };
        let Answer { status, body, retry_after_s } = answer;
        PeerReply { status, body, retry_after_s }
    }
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
    held: HeldReports<oneshot::Sender<Answer>>,
    waiting: HashMap<ReplyTo, (Reply, Instant)>,
    next_reply: u64,
    lookups: usize,
    directs: usize,
    finals: Finals,
    sizes: Sizes,
    inner: mpsc::Sender<Inner>,
    last_led: Instant,
    logged_at: Instant,
    /// Where the walk through the finished jobs' rows goes on.
    walk_from: String,
    walk_at: Instant,
    walking: bool,
    statistics: Statistics,
}

/// Final standings, bounded: two generations, the older dropped when the
/// younger is full.
struct Finals {
    young: HashMap<JobId, JobStatus>,
    old: HashMap<JobId, JobStatus>,
    most: usize,
}

impl Finals {
    fn new(most: usize) -> Self {
        Finals { young: HashMap::default(), old: HashMap::default(), most }
    }

    fn insert(&mut self, status: JobStatus) {
        if self.young.len() >= self.most / 2 {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(status.id.clone(), status);
    }

    fn get(&self, job: &JobId) -> Option<&JobStatus> {
        self.young.get(job).or_else(|| self.old.get(job))
    }
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
        let detours = Detours::new(config.settings.cluster.workers.lease());
        let held = HeldReports::new(&config);
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
            held,
            waiting: HashMap::default(),
            next_reply: 0,
            lookups: 0,
            directs: 0,
            finals: Finals::new(sizes.finals),
            sizes,
            inner: inner_in,
            last_led: now,
            logged_at: now,
            walk_from: String::new(),
            walk_at: now,
            walking: false,
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
            Role::Leads { epoch, until } => {
                let same = matches!(&self.role, Role::Leads { epoch: before, .. } if before == epoch);
                if !same {
                    self.drop_leader();
                    let _ = self.leads.send(true);
                    self.load(*epoch);
                }
                let _ = self.term.send(*until);
                if let Some(leader) = &mut self.leader {
                    leader.extend(now, *until);
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
        for (_, (reply, _)) in self.waiting.drain() {
            let _ = reply.send(Answer::later(503, "leadership has changed", 1));
        }
        for held in self.held.drain() {
            let _ = held.reply.send(elsewhere(None));
        }
    }

    fn load(&self, epoch: u64) {
        let (store, inner) = (self.store.clone(), self.inner.clone());
        let value_kb = self.config.settings.cluster.state.value_kb;
        let pause = self.config.tuning.lease / 20;
        tokio::spawn(async move {
            let loaded = load(&store, value_kb).await.ok();
            if loaded.is_none() {
                // An outage refuses at once; asking again without a pause
                // would spend the allowance that renewals need.
                tokio::time::sleep(pause).await;
            }
            let _ = inner.send(Inner::Loaded { epoch, loaded }).await;
        });
    }

    fn take_inner(&mut self, inner: Inner) {
        let now = Instant::now();
        match inner {
            Inner::Loaded { epoch, loaded } => {
                let Role::Leads { epoch: current, until } = self.role else { return };
                if current != epoch || self.leader.is_some() {
                    return;
                }
                match loaded {
                    Some(loaded) => {
                        tracing::info!(
                            epoch,
                            jobs = loaded.jobs.len(),
                            rentals = loaded.rentals.len(),
                            "records read"
                        );
                        let mut leader = Leader::new(self.config.clone(), epoch, now, wall_ms(), loaded);
                        leader.extend(now, until);
                        self.leader = Some(leader);
                    }
                    None => self.load(epoch),
                }
            }
            Inner::Committed { epoch, ticket, result } => {
                if let Some(leader) = self.leader.as_mut().filter(|l| l.epoch() == epoch) {
                    leader.committed(now, ticket, result);
                    if leader.is_over() {
                        let _ = self.abandoned.send(epoch);
                        self.drop_leader();
                    }
                }
            }
            Inner::CloudDone { epoch, ticket, result } => {
                if let Some(leader) = self.leader.as_mut().filter(|l| l.epoch() == epoch) {
                    leader.cloud_done(now, ticket, result);
                }
            }
            Inner::LookedUp { final_status } => {
                self.lookups -= 1;
                if let Some(status) = final_status {
                    self.finals.insert(status);
                }
            }
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
            Inner::Unanswered { reply, job } => self.look_up(reply, job, Answer::refused(404, "no such job")),
            Inner::Reconciled { epoch, from, restored } => {
                self.walking = false;
                self.walk_from = from;
                if let Some(leader) = self.leader.as_mut().filter(|l| l.epoch() == epoch) {
                    leader.restore(now, wall_ms(), restored);
                }
            }
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if let Some(leader) = &mut self.leader {
            leader.tick(now);
        }
        self.end_holds();
        let late: Vec<ReplyTo> = self
            .waiting
            .iter()
            .filter(|(_, (_, since))| now > *since + PATIENCE)
            .map(|(to, _)| *to)
            .collect();
        for to in late {
            if let Some((reply, _)) = self.waiting.remove(&to) {
                let _ = reply.send(Answer::later(503, "not recorded in time", 1));
            }
        }
        let leads = self.leader.as_ref().is_some_and(|l| l.valid(now));
        let follows = matches!(self.role, Role::Follows { .. });
        let unreached = follows && self.unreached.is_some();
        if (leads || follows) && !unreached {
            self.peers.rest();
        }
        if !(leads || follows) || unreached || self.leader.as_ref().is_some_and(Leader::awaits_lapse_windows)
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

    /// The state service does not say who leads: perhaps the others know.
    fn ask_peers(&mut self, now: Instant) {
        let patience = self.config.tuning.lease / 4;
        for peer in self.peers.to_ask(now) {
            let Some(link) = self.links.get(&peer).cloned() else { continue };
            let inner = self.inner.clone();
            tokio::spawn(async move {
                let reply = link.call(PeerCall::Lead, false, patience).await;
                let peer_state = reply.and_then(|r| {
                    let body = decode(&r.body).ok()?;
                    let f = Fields::of(&body).ok()?;
                    match r.status {
                        200 => f.count("epoch").ok().map(PeerState::Leads),
                        _ if f.bool("free").ok()? => Some(PeerState::Free),
                        _ => Some(PeerState::Lapsed),
                    }
                });
                let _ = inner.send(Inner::PeerAnswered { peer, peer_state }).await;
            });
        }
    }

    fn peer_answered(&mut self, now: Instant, peer: &str, peer_state: Option<PeerState>) {
        self.peers.answered(now, peer, peer_state);
        if peer_state.is_some() && self.other_leader(now).is_some_and(|(leader, _)| leader == peer) {
            self.unreached = None;
        }
        // Nobody else answers workers any more: the wait for silent machines
        // need not cover a grace.
        let listed = self.links.len() + 1 >= self.config.settings.cluster.size as usize;
        if let Some(leader) = self.leader.as_mut().filter(|_| listed)
            && let Some(at) = self.peers.all_free_since(leader.loaded_at)
        {
            leader.lapse_windows_are_over(at);
        }
        // A higher epoch means that the key was written anew: ours is over, and
        // keeping workers here for the rest of the lapse window would only hold them
        // back from their new leader.
        let epoch = self.peers.leading(now).map_or(0, |(_, epoch)| epoch);
        if self.leader.as_ref().is_some_and(|l| l.epoch() < epoch) {
            self.drop_leader();
        }
    }

    /// The leader, if it is another: as the state service says or, without it,
    /// as the others say.
    fn other_leader(&self, now: Instant) -> Option<(&str, u64)> {
        match &self.role {
            Role::Follows { leader, epoch } => Some((leader, *epoch)),
            _ => self.peers.leading(now),
        }
    }

    /// Compares one page of finished jobs' rows with their records. A row that
    /// calls live work over would otherwise strand it: a takeover reads only
    /// the rows of the living.
    fn reconcile(&mut self, now: Instant) {
        let Some(leader) = self.leader.as_ref().filter(|l| l.valid(now)) else { return };
        if self.walking || now < self.walk_at + self.config.tuning.reconcile {
            return;
        }
        (self.walking, self.walk_at) = (true, now);
        let (store, inner, epoch) = (self.store.clone(), self.inner.clone(), leader.epoch());
        let (from, value_kb) = (self.walk_from.clone(), self.config.settings.cluster.state.value_kb);
        tokio::spawn(async move {
            let (next, restored) = walk(&store, epoch, &from, value_kb).await.unwrap_or((from, Vec::new()));
            let _ = inner.send(Inner::Reconciled { epoch, from: next, restored }).await;
        });
    }

    fn take_report(&mut self, message: ReportMessage) {
        let now = Instant::now();
        // Its worker has left: a start in the answer would be lost, and an answer
        // counted as one would only put off the proof that the machine is gone.
        if now >= message.arrived + ANSWER_WITHIN {
            return;
        }
        let reply = match &mut self.leader {
            Some(leader) => leader.report(now, &message.report),
            None => ReportReply::Elsewhere,
        };
        let answer = match reply {
            ReportReply::Orders { token, orders } => {
                // One that was handed on is waited for by the controller between.
                let direct = message.body.is_some();
                if direct
                    && orders.is_empty()
                    && self.leader.as_ref().is_some_and(|l| l.may_hold(&message.report))
                {
                    return self.hold(now, message);
                }
                Answer::new(200, &report_answer(token, &orders))
            }
            ReportReply::Elsewhere => return self.send_elsewhere(now, message),
        };
        let _ = message.reply.send(answer);
        self.statistics.report(message.arrived);
    }

    fn hold(&mut self, now: Instant, message: ReportMessage) {
        if let Some(earlier) = self.held.hold(now, message.report, message.reply) {
            let _ = earlier.reply.send(elsewhere(None));
        }
    }

    /// Sends the held answers whose time is over, as the leader decides them now.
    fn end_holds(&mut self) {
        let now = Instant::now();
        let Some(leader) = &mut self.leader else { return };
        for HeldReport { report, reply, .. } in self.held.expired(now) {
            let _ = reply.send(held_answer(leader.answer_held(now, &report)));
        }
    }

    /// Sends the held answers for which there are orders now.
    fn answer_held(&mut self) {
        let now = Instant::now();
        let Some(leader) = &mut self.leader else { return };
        for machine in leader.to_decide(self.held.machines()) {
            let Some(held) = self.held.get(&machine) else { continue };
            let decided = leader.answer_held(now, &held.report);
            if matches!(&decided, ReportReply::Orders { orders, .. } if orders.is_empty()) {
                continue;
            }
            if let Some(held) = self.held.remove(&machine) {
                let _ = held.reply.send(held_answer(decided));
            }
        }
    }

    /// For the leader: the worker is sent there. If it comes back it cannot
    /// reach it, as in a cut between two zones, and its report is handed on.
    /// The leader's answer, under its token and lease, goes back unchanged; an
    /// answer that takes too long the worker drops, as it would any other.
    fn send_elsewhere(&mut self, now: Instant, message: ReportMessage) {
        let ReportMessage { report, body, reply, arrived } = message;
        let (leader, epoch) = match self.other_leader(now) {
            Some((leader, epoch)) => (Some(leader.to_owned()), epoch),
            None => (None, 0),
        };
        let way = leader.as_ref().filter(|name| self.peers.reachable(now, name));
        let link = way.and_then(|name| self.links.get(name)).cloned();
        let (Some(leader), Some(link), Some(body)) = (leader, link, body) else {
            // Nobody to name, or nobody that could be reached from here.
            let _ = reply.send(elsewhere(None));
            return;
        };
        let named = match self.detours.judge(now, &report.machine, report.token == epoch) {
            Detour::Redirect => Some(leader.as_str()),
            // More than can be handed on at once: it asks again, here or there,
            // rather than wait for one that does not answer it.
            Detour::Relay if self.relaying >= self.sizes.relays => None,
            Detour::Relay => {
                return self.relay(link, leader, body, reply);
            }
        };
        let _ = reply.send(elsewhere(named));
        self.statistics.report(arrived);
    }

    fn relay(&mut self, link: PeerLink, leader: String, body: Vec<u8>, reply: oneshot::Sender<Answer>) {
        self.relaying += 1;
        let inner = self.inner.clone();
        tokio::spawn(async move {
            let relayed = link.call(PeerCall::Report(body), false, POLL_PATIENCE).await;
            let silent = relayed.is_none().then_some(leader);
            let answer = match relayed {
                Some(PeerReply { status, body, .. }) => Answer { status, body, retry_after_s: None },
                None => elsewhere(None),
            };
            let _ = reply.send(answer);
            let _ = inner.send(Inner::Relayed { silent }).await;
        });
    }

    /// Figures for operators.
    fn status(&self) -> ciborium::value::Value {
        let role = match &self.role {
            Role::Leaderless => match self.peers.leading(Instant::now()) {
                Some((leader, _)) => format!("leaderless, {leader} says that it leads"),
                None => "leaderless".to_owned(),
            },
            Role::Follows { leader, .. } => format!("follows {leader}"),
            Role::Leads { .. } => "leads".to_owned(),
        };
        let figures = MapBuilder::new().set("name", self.config.settings.name.as_str()).set("role", role);
        let figures = match &self.leader {
            Some(leader) => leader.figures(figures),
            None => figures,
        };
        self.statistics.figures(figures).build()
    }

    fn take_user(&mut self, call: PeerCall, reply: Reply, origin: Origin) {
        let now = Instant::now();
        // A leader past its lease answers little; one that leads now, all.
        let lapsed = self.leader.as_ref().is_some_and(|l| !l.valid(now));
        let leads = self.leader.is_some() && !(lapsed && self.peers.leading(now).is_some());
        let job = match &call {
            PeerCall::Poll(id) | PeerCall::Withdraw(id) => JobId::parse(id),
            PeerCall::Submit(_) | PeerCall::Report(_) | PeerCall::Lead => None,
        };
        // What is final stays so, whoever leads.
        if let Some(status) = job.as_ref().and_then(|job| self.finals.get(job)) {
            let _ = reply.send(Answer::new(200, &status.encode()));
            return;
        }
        match (&call, job) {
            (PeerCall::Submit(body), _) => {
                let spec = match decode(body).and_then(|value| JobSpec::decode(&value)) {
                    Ok(spec) => spec,
                    Err(error) => {
                        let _ = reply.send(refuse_malformed(&error));
                        return;
                    }
                };
                if let Some(status) = self.finals.get(&spec.id) {
                    let _ = reply.send(Answer::new(200, &status.encode()));
                } else if leads {
                    let to = self.keep(reply, now);
                    if let Some(leader) = &mut self.leader {
                        leader.submit(now, wall_ms(), to, spec);
                    }
                } else {
                    self.pass_on(call, reply, origin, None);
                }
            }
            (PeerCall::Lead, _) => {
                let epoch = self.leader.as_ref().filter(|l| l.valid(now)).map(Leader::epoch);
                let answer = match epoch {
                    Some(epoch) => Answer::new(200, &MapBuilder::new().set("epoch", epoch).build()),
                    // Without a picture no worker gets a 200 from here, and a
                    // picture comes only with a new epoch.
                    None => {
                        let free = self.leader.is_none();
                        Answer::new(421, &MapBuilder::new().set("free", free).build())
                    }
                };
                drop(reply.send(answer));
            }
            (PeerCall::Poll(_), Some(job)) => match self.leader.as_ref().filter(|_| leads) {
                Some(leader) => match leader.poll(now, &job) {
                    Some(status) => drop(reply.send(Answer::new(200, &status.encode()))),
                    None => self.look_up(reply, job, Answer::refused(404, "no such job")),
                },
                None => self.pass_on(call, reply, origin, Some(job)),
            },
            (PeerCall::Withdraw(_), Some(job)) => {
                if leads {
                    let to = self.keep(reply, now);
                    let known = self.leader.as_mut().is_some_and(|l| l.withdraw(now, to, &job));
                    if !known && let Some((reply, _)) = self.waiting.remove(&to) {
                        self.look_up_final(reply, job);
                    }
                } else {
                    self.pass_on(call, reply, origin, None);
                }
            }
            // Reports have a buffer of their own.
            (PeerCall::Report(_), _) => drop(reply.send(Answer::refused(400, "a report"))),
            (_, None) => drop(reply.send(Answer::refused(404, "no such job"))),
        }
    }

    fn keep(&mut self, reply: Reply, now: Instant) -> ReplyTo {
        self.next_reply += 1;
        let to = ReplyTo(self.next_reply);
        self.waiting.insert(to, (reply, now));
        to
    }

    /// Hands a user's request to the leader, past a cut through another
    /// controller if need be. A poll that it cannot answer is answered from the
    /// record.
    fn pass_on(&mut self, call: PeerCall, reply: Reply, origin: Origin, poll: Option<JobId>) {
        let ways = self.ways(Instant::now(), origin);
        if ways.is_empty() {
            match poll {
                Some(job) if origin == Origin::User => {
                    self.look_up(reply, job, Answer::refused(404, "no such job"));
                }
                _ => drop(reply.send(Answer::later(503, "no leader at the moment", 1))),
            }
            return;
        }
        let (inner, unreached) = (self.inner.clone(), self.unreached.is_some());
        let patience = POLL_PATIENCE / ways.len() as u32;
        tokio::spawn(async move {
            for (peer, link, relay) in ways {
                let answer = link.call(call.clone(), relay, patience).await;
                if let Some(PeerReply { status, body, retry_after_s }) = answer {
                    let _ = reply.send(Answer { status, body, retry_after_s });
                    if unreached {
                        let _ = inner.send(Inner::LeaderReached(true)).await;
                    }
                    return;
                }
                let _ = inner.send(Inner::PeerSilent { peer }).await;
            }
            let _ = inner.send(Inner::LeaderReached(false)).await;
            match poll.filter(|_| origin == Origin::User) {
                Some(job) => drop(inner.send(Inner::Unanswered { reply, job }).await),
                None => drop(reply.send(Answer::later(503, "the leader did not answer", 1))),
            }
        });
    }

    /// The ways to the leader, the best first, at most two. `true`: through a
    /// controller that is to hand the call on.
    fn ways(&self, now: Instant, origin: Origin) -> Vec<(String, PeerLink, bool)> {
        let leader = self.other_leader(now).filter(|_| origin != Origin::Peer);
        let Some((leader, _)) = leader else { return Vec::new() };
        let mut names = Vec::new();
        let reachable = self.peers.reachable(now, leader);
        let relays = if origin == Origin::User { self.peers.relays(now, leader) } else { Vec::new() };
        // Unless there is no other way, one that has just failed is not tried.
        if reachable || relays.is_empty() {
            names.push((leader.to_owned(), false));
        }
        names.extend(relays.into_iter().map(|name| (name, true)));
        names.truncate(2);
        let link = |(name, relay): (String, bool)| {
            let link = self.links.get(&name)?.clone();
            Some((name, link, relay))
        };
        names.into_iter().filter_map(link).collect()
    }

    /// Answers from the record: it alone decides what was ever accepted.
    fn look_up(&mut self, reply: Reply, job: JobId, otherwise: Answer) {
        self.read_record(reply, job, otherwise, false);
    }

    /// The same for what only a final standing answers.
    fn look_up_final(&mut self, reply: Reply, job: JobId) {
        self.read_record(reply, job, Answer::refused(404, "no such job"), true);
    }

    fn read_record(&mut self, reply: Reply, job: JobId, otherwise: Answer, only_final: bool) {
        if self.lookups >= self.sizes.lookups {
            let _ = reply.send(Answer::later(503, "too many requests at once", 1));
            return;
        }
        self.lookups += 1;
        let (store, inner) = (self.store.clone(), self.inner.clone());
        tokio::spawn(async move {
            let read = tokio::time::timeout(POLL_PATIENCE, store.get(Class::Settle, &record_key(&job))).await;
            let (answer, final_status) = match read {
                Ok(Ok(None)) => (otherwise, None),
                Ok(Ok(Some(entry))) => match JobRecord::decode(&entry.value) {
                    Ok(record) => {
                        let status = record.status();
                        let last = status.standing.is_final();
                        let answer = if only_final && !last {
                            Answer::later(503, "try again", 1)
                        } else {
                            Answer::new(200, &status.encode())
                        };
                        (answer, last.then_some(status))
                    }
                    Err(error) => {
                        tracing::error!(%job, %error, "unreadable record");
                        (Answer::later(503, "unreadable record", 5), None)
                    }
                },
                _ => (Answer::later(503, "records cannot be read now", 1), None),
            };
            let _ = reply.send(answer);
            let _ = inner.send(Inner::LookedUp { final_status }).await;
        });
    }

    fn carry_out(&mut self) {
        self.answer_held();
        let Some(leader) = &mut self.leader else { return };
        let epoch = leader.epoch();
        for action in leader.take_actions() {
            match action {
                Action::Answer { to, answer } => {
                    if let Some((reply, _)) = self.waiting.remove(&to) {
                        let _ = reply.send(answer);
                    }
                }
                Action::LookUp { to, job, otherwise } => {
                    if let Some((reply, _)) = self.waiting.remove(&to) {
                        self.look_up(reply, job, otherwise);
                    }
                }
                Action::Commit { ticket, transaction } => {
                    let (store, inner) = (self.store.clone(), self.inner.clone());
                    tokio::spawn(async move {
                        let result = store.commit(transaction).await;
                        let _ = inner.send(Inner::Committed { epoch, ticket, result }).await;
                    });
                }
                Action::Cloud { ticket, call } => {
                    let (cloud, inner) = (self.cloud.clone(), self.inner.clone());
                    tokio::spawn(async move {
                        let result = cloud.call(call).await;
                        let _ = inner.send(Inner::CloudDone { epoch, ticket, result }).await;
                    });
                }
                Action::Direct { address, token, session, orders } => {
                    // Only a short cut: the same goes out with the next report.
                    if self.directs >= self.sizes.directs {
                        continue;
                    }
                    self.directs += 1;
                    let inner = self.inner.clone();
                    let body = encode(&direct_orders(token, session, &orders));
                    let call = Call {
                        method: "POST",
                        target: "/commands".into(),
                        body,
                        deadline: Duration::from_secs(2),
                    };
                    let limits = Limits { head: HEAD_LIMIT, body: BODY_LIMIT };
                    tokio::spawn(async move {
                        let _ = Prepared::alone(address, limits, call).run().await;
                        let _ = inner.send(Inner::DirectDone).await;
                    });
                }
                Action::Over(status) => self.finals.insert(status),
            }
        }
    }
}

/// Sends a worker to the leader, or, with nobody to name, to the next controller.
fn elsewhere(leader: Option<&str>) -> Answer {
    Answer::new(421, &report_elsewhere(leader))
}

/// The answer to a report that was held: a worker that is sent away tries the next
/// controller by itself.
fn held_answer(reply: ReportReply) -> Answer {
    match reply {
        ReportReply::Orders { token, orders } => Answer::new(200, &report_answer(token, &orders)),
        ReportReply::Elsewhere => elsewhere(None),
    }
}

fn refuse_malformed(error: &Malformed) -> Answer {
    Answer::refused(400, &error.to_string())
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
