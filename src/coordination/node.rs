//! The actor at the centre of a controller: takes what users, workers and
//! other controllers send, and feeds the leader's state machine while this
//! controller leads.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hdrhistogram::Histogram;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior};

use super::agents::ReportReply;
use super::cloud::{Cloud, CloudResult};
use super::election::Role;
use super::leader::{Action, Answer, Config, Leader, Loaded, LoadedJob};
use super::model::ReplyTo;
use super::reconciler::{self, Finding};
use crate::protocol::cbor::{Malformed, MapBuilder, decode, encode};
use crate::protocol::cloud::decode_catalog;
use crate::protocol::jobs::{JobId, JobSpec, JobStatus};
use crate::protocol::workers::{Report, direct_orders, report_answer, report_elsewhere};
use crate::protocol::{BODY_LIMIT, HEAD_LIMIT};
use crate::storage::records::{
    CATALOG, EXPERIENCE, Experience, HIRES, HireRecord, JobRecord, LIVE, OVER, RECORDS, block_key, blocks,
    record_key,
};
use crate::storage::service::{Class, Store, StoreError};
use crate::transport::client::{Call, Prepared};
use crate::transport::codec::{Limits, Request, Response};
use crate::transport::peer::{PeerCall, PeerHandler, PeerLink, PeerReply};
use crate::transport::server::Handler;

/// Requests of users waiting for the actor; more are refused at once.
const USER_BUFFER: usize = 64;
/// Reports waiting for the actor.
const REPORT_BUFFER: usize = 128;
/// Reads for users under way at once.
const LOOKUPS: usize = 32;
/// Orders being sent straight to workers at once.
const DIRECTS: usize = 8;
/// Final standings kept in memory: they never change.
const FINALS: usize = 2048;
/// Longest that a user's request is pursued before it is given up. Users wait
/// five seconds for a submission and two for a poll.
const PATIENCE: Duration = Duration::from_millis(3000);
const POLL_PATIENCE: Duration = Duration::from_millis(1500);
const LOG_INTERVAL: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(200);

type Reply = oneshot::Sender<Answer>;

enum UserMessage {
    /// `forwarded`: from another controller, not to be passed on again.
    Call {
        call: PeerCall,
        reply: Reply,
        forwarded: bool,
        arrived: Instant,
    },
    Status {
        reply: Reply,
    },
}

struct ReportMessage {
    report: Report,
    reply: oneshot::Sender<Answer>,
    arrived: Instant,
}

enum Inner {
    Loaded { epoch: u64, loaded: Option<Loaded> },
    Committed { epoch: u64, ticket: u64, result: Result<u64, StoreError> },
    CloudDone { epoch: u64, ticket: u64, result: CloudResult },
    LookedUp { final_status: Option<JobStatus> },
    DirectDone,
    Reconciled { epoch: u64, from: String, revived: Vec<LoadedJob> },
}

/// Speaks to the actor; answers HTTP requests and other controllers.
#[derive(Clone)]
pub struct Front {
    users: mpsc::Sender<UserMessage>,
    reports: mpsc::Sender<ReportMessage>,
    ready: watch::Receiver<bool>,
}

impl Front {
    async fn user(&self, call: PeerCall, forwarded: bool) -> Answer {
        self.ask(|reply| UserMessage::Call { call, reply, forwarded, arrived: Instant::now() }).await
    }

    async fn ask(&self, message: impl FnOnce(Reply) -> UserMessage) -> Answer {
        let (reply, answer) = oneshot::channel();
        // A full buffer holds nobody: the edge refuses at once.
        if self.users.try_send(message(reply)).is_err() {
            return Answer::later(429, "too many requests at once", 1);
        }
        answer.await.unwrap_or_else(|_| Answer::later(503, "try again", 1))
    }

    async fn report(&self, body: &[u8]) -> Answer {
        let report = match decode(body).and_then(|value| Report::decode(&value)) {
            Ok(report) => report,
            Err(error) => return Answer::refused(400, &error.to_string()),
        };
        let (reply, answer) = oneshot::channel();
        if self.reports.try_send(ReportMessage { report, reply, arrived: Instant::now() }).is_err() {
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
            "/agent/beat" if post => self.report(&request.body).await,
            "/agent/beat" | "/api/jobs" if !post => Answer::refused(405, "POST only"),
            "/api/jobs" => self.user(PeerCall::Submit(request.body), false).await,
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
                    (true, true, _) => self.user(PeerCall::Withdraw(id.to_owned()), false).await,
                    (false, _, true) => self.user(PeerCall::Poll(id.to_owned()), false).await,
                    _ => Answer::refused(405, "method not allowed here"),
                }
            }
        }
    }
}

impl Handler for Front {
    async fn handle(&self, request: Request) -> Response {
        let Answer { status, body, retry_after_s } = self.route(request).await;
        Response { status, body, retry_after_s, close: false }
    }
}

impl PeerHandler for Front {
    async fn handle(&self, call: PeerCall) -> PeerReply {
        let Answer { status, body, retry_after_s } = self.user(call, true).await;
        PeerReply { status, body, retry_after_s }
    }
}

/// Everything the actor owns.
pub struct Node {
    config: Arc<Config>,
    store: Store,
    cloud: Cloud,
    links: HashMap<String, PeerLink>,
    role: Role,
    leads: watch::Sender<bool>,
    /// The last epoch given up before its lease ended.
    abandoned: watch::Sender<u64>,
    ready: watch::Sender<bool>,
    leader: Option<Leader>,
    waiting: HashMap<ReplyTo, (Reply, Instant)>,
    next_reply: u64,
    lookups: usize,
    directs: usize,
    finals: Finals,
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
#[derive(Default)]
struct Finals {
    young: HashMap<JobId, JobStatus>,
    old: HashMap<JobId, JobStatus>,
}

impl Finals {
    fn insert(&mut self, status: JobStatus) {
        if self.young.len() >= FINALS / 2 {
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
        abandoned: watch::Sender<u64>,
        roles: mpsc::Receiver<Role>,
    ) -> (Self, Inputs, Front) {
        let (users_in, users) = mpsc::channel(USER_BUFFER);
        let (reports_in, reports) = mpsc::channel(REPORT_BUFFER);
        let (inner_in, inner) = mpsc::channel(256);
        let (ready, is_ready) = watch::channel(false);
        let mut links = HashMap::new();
        for peer in &config.settings.peers {
            match PeerLink::new(peer.address, POLL_PATIENCE) {
                Ok(link) => drop(links.insert(peer.name.clone(), link)),
                Err(error) => tracing::error!(peer = %peer.name, %error, "cannot set up the link"),
            }
        }
        let now = Instant::now();
        let node = Node {
            config,
            store,
            cloud,
            links,
            role: Role::Leaderless,
            leads,
            abandoned,
            ready,
            leader: None,
            waiting: HashMap::new(),
            next_reply: 0,
            lookups: 0,
            directs: 0,
            finals: Finals::default(),
            inner: inner_in,
            last_led: now,
            logged_at: now,
            walk_from: String::new(),
            walk_at: now,
            walking: false,
            statistics: Statistics::new(),
        };
        let front = Front { users: users_in, reports: reports_in, ready: is_ready };
        (node, Inputs { users, reports, inner, roles }, front)
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
                    UserMessage::Call { call, reply, forwarded, arrived } => {
                        self.take_user(call, reply, forwarded);
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
                if let Some(leader) = &mut self.leader {
                    leader.extend(now, *until);
                }
            }
            _ => {
                self.drop_leader();
                let _ = self.leads.send(false);
            }
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
                            hires = loaded.hires.len(),
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
            Inner::Reconciled { epoch, from, revived } => {
                self.walking = false;
                self.walk_from = from;
                if let Some(leader) = self.leader.as_mut().filter(|l| l.epoch() == epoch) {
                    leader.revive(now, wall_ms(), revived);
                }
            }
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if let Some(leader) = &mut self.leader {
            leader.tick(now);
        }
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
        let known = match &self.role {
            Role::Leaderless => false,
            Role::Follows { .. } => true,
            Role::Leads { .. } => self.leader.as_ref().is_some_and(|l| l.valid(now)),
        };
        if known {
            self.last_led = now;
        }
        // Removal from service lasts longer than most changes of leader, so a
        // short one is not worth it.
        let lease = self.config.settings.cluster.workers.lease();
        let ready = known || (*self.ready.borrow() && now < self.last_led + lease * 2);
        self.ready.send_if_modified(|before| std::mem::replace(before, ready) != ready);
        if now > self.logged_at + LOG_INTERVAL {
            self.logged_at = now;
            if let Some(leader) = &self.leader {
                tracing::info!("{} {}", leader.summary(), self.statistics.line());
            }
        }
        self.reconcile(now);
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
            let (next, revived) = walk(&store, epoch, &from, value_kb).await.unwrap_or((from, Vec::new()));
            let _ = inner.send(Inner::Reconciled { epoch, from: next, revived }).await;
        });
    }

    fn take_report(&mut self, message: ReportMessage) {
        let now = Instant::now();
        let reply = match &mut self.leader {
            Some(leader) => leader.report(now, &message.report),
            None => ReportReply::Elsewhere,
        };
        let answer = match reply {
            ReportReply::Orders { token, orders } => Answer::new(200, &report_answer(token, &orders)),
            ReportReply::Elsewhere => match &self.role {
                Role::Follows { leader } => Answer::new(421, &report_elsewhere(Some(leader))),
                _ => Answer::new(421, &report_elsewhere(None)),
            },
        };
        let _ = message.reply.send(answer);
        self.statistics.report(message.arrived);
    }

    /// Figures for operators.
    fn status(&self) -> ciborium::value::Value {
        let role = match &self.role {
            Role::Leaderless => "leaderless".to_owned(),
            Role::Follows { leader } => format!("follows {leader}"),
            Role::Leads { .. } => "leads".to_owned(),
        };
        let figures = MapBuilder::new().set("name", self.config.settings.name.as_str()).set("role", role);
        let figures = match &self.leader {
            Some(leader) => leader.figures(figures),
            None => figures,
        };
        self.statistics.figures(figures).build()
    }

    fn take_user(&mut self, call: PeerCall, reply: Reply, forwarded: bool) {
        let now = Instant::now();
        let job = match &call {
            PeerCall::Poll(id) | PeerCall::Withdraw(id) => JobId::parse(id),
            PeerCall::Submit(_) => None,
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
                } else if self.leader.is_some() {
                    let to = self.keep(reply, now);
                    if let Some(leader) = &mut self.leader {
                        leader.submit(now, wall_ms(), to, spec);
                    }
                } else {
                    self.pass_on(call, reply, forwarded, None);
                }
            }
            (PeerCall::Poll(_), Some(job)) => match &self.leader {
                Some(leader) => match leader.poll(now, &job) {
                    Some(status) => drop(reply.send(Answer::new(200, &status.encode()))),
                    None => self.look_up(reply, job, Answer::refused(404, "no such job")),
                },
                None => self.pass_on(call, reply, forwarded, Some(job)),
            },
            (PeerCall::Withdraw(_), Some(job)) => {
                if self.leader.is_some() {
                    let to = self.keep(reply, now);
                    let known = self.leader.as_mut().is_some_and(|l| l.withdraw(now, to, &job));
                    if !known && let Some((reply, _)) = self.waiting.remove(&to) {
                        self.look_up_final(reply, job);
                    }
                } else {
                    self.pass_on(call, reply, forwarded, None);
                }
            }
            (_, None) => drop(reply.send(Answer::refused(404, "no such job"))),
        }
    }

    fn keep(&mut self, reply: Reply, now: Instant) -> ReplyTo {
        self.next_reply += 1;
        let to = ReplyTo(self.next_reply);
        self.waiting.insert(to, (reply, now));
        to
    }

    /// Hands a user's request to the leader. A poll that it cannot answer is
    /// answered from the record.
    fn pass_on(&mut self, call: PeerCall, reply: Reply, forwarded: bool, poll: Option<JobId>) {
        let link = match &self.role {
            Role::Follows { leader } if !forwarded => self.links.get(leader).cloned(),
            _ => None,
        };
        let Some(link) = link else {
            match poll {
                Some(job) if !forwarded => self.look_up(reply, job, Answer::refused(404, "no such job")),
                _ => drop(reply.send(Answer::later(503, "no leader at the moment", 1))),
            }
            return;
        };
        tokio::spawn(async move {
            let answer = match link.call(call).await {
                Some(PeerReply { status, body, retry_after_s }) => Answer { status, body, retry_after_s },
                None => Answer::later(503, "the leader did not answer", 1),
            };
            let _ = reply.send(answer);
        });
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
        if self.lookups >= LOOKUPS {
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
                    if self.directs >= DIRECTS {
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

fn refuse_malformed(error: &Malformed) -> Answer {
    Answer::refused(400, &error.to_string())
}

fn wall_ms() -> u64 {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(passed.as_millis()).unwrap_or(u64::MAX)
}

/// Rows compared with their records in one round.
const ROWS_A_ROUND: usize = 8;

/// One round of the reconciler: where to go on, and the jobs that a repair
/// brought back among the living.
async fn walk(
    store: &Store,
    epoch: u64,
    from: &str,
    value_kb: f64,
) -> Result<(String, Vec<LoadedJob>), StoreError> {
    let (jobs, next) = reconciler::page_of_jobs(store, OVER, from, ROWS_A_ROUND).await?;
    let mut revived = Vec::new();
    for job in &jobs {
        let examined = reconciler::examine(store, job).await?;
        if let Finding::Suspect(reason) = examined.finding {
            tracing::error!(%job, reason, "not repaired; `audit` tells more");
        }
        if let Some(repair) = examined.repair(epoch) {
            tracing::error!(%job, finding = ?examined.finding, "a row differs from its record; repairing it");
            let live_version = store.commit(repair).await?;
            if examined.finding == Finding::Stranded {
                revived.extend(load_job(store, &record_key(job), live_version, value_kb).await?);
            }
        }
    }
    // At the end it begins anew.
    Ok((next.unwrap_or_default(), revived))
}

/// Reads all unfinished work and the fleet.
async fn load(store: &Store, value_kb: f64) -> Result<Loaded, StoreError> {
    let mut loaded = Loaded::default();
    for entry in store.scan(HIRES).await? {
        match HireRecord::decode(&entry.value) {
            Ok(record) => loaded.hires.push((record, entry.version)),
            Err(error) => tracing::error!(key = %entry.key, %error, "unreadable fleet record"),
        }
    }
    if let Some(entry) = store.get(Class::Rest, CATALOG).await?
        && let Ok(types) = decode_catalog(&entry.value)
    {
        loaded.catalog = Some((types, entry.version));
    }
    if let Some(entry) = store.get(Class::Rest, EXPERIENCE).await? {
        // Unreadable, it is written anew; its version is still needed for that.
        let experience = Experience::decode(&entry.value).unwrap_or_default();
        loaded.experience = Some((experience, entry.version));
    }
    let mut reads = JoinSet::new();
    for row in store.scan(LIVE).await? {
        let store = store.clone();
        reads.spawn(async move {
            let key = format!("{RECORDS}{}", row.key.strip_prefix(LIVE).unwrap_or_default());
            load_job(&store, &key, row.version, value_kb).await
        });
    }
    while let Some(read) = reads.join_next().await {
        if let Some(job) = read.map_err(|_| StoreError::Unavailable)?? {
            loaded.jobs.push(job);
        }
    }
    Ok(loaded)
}

/// Reads one unfinished job; `None` if its record cannot be used.
async fn load_job(
    store: &Store,
    key: &str,
    live_version: u64,
    value_kb: f64,
) -> Result<Option<LoadedJob>, StoreError> {
    let Some(entry) = store.get(Class::Accept, key).await? else {
        tracing::error!(%key, "a row without a record; left alone");
        return Ok(None);
    };
    let mut record = match JobRecord::decode(&entry.value) {
        Ok(record) => record,
        Err(error) => {
            tracing::error!(%key, %error, "unreadable record; left alone");
            return Ok(None);
        }
    };
    let mut block_versions = Vec::new();
    for block in 0..blocks(record.spec.tasks, value_kb) {
        let found = store.get(Class::Accept, &block_key(&record.spec.id, block)).await?;
        block_versions.push(found.as_ref().map_or(0, |b| b.version));
        if let Some(Err(error)) = found.map(|b| record.add_block(&b.value)) {
            tracing::error!(%key, %error, "unreadable block; its tasks run again");
        }
    }
    Ok(Some(LoadedJob { record, version: entry.version, live_version, block_versions }))
}

/// Figures for operators: how long answers take, and how many are refused.
struct Statistics {
    reports: Histogram<u32>,
    users: Histogram<u32>,
}

fn micros(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}

fn ms(histogram: &Histogram<u32>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

impl Statistics {
    fn new() -> Self {
        // In microseconds; two digits take a few kilobytes, and what is beyond
        // the bound counts as the bound.
        let histogram = || Histogram::new_with_max(60_000_000, 2).expect("constant and valid bounds");
        Statistics { reports: histogram(), users: histogram() }
    }

    /// How long a message waited for the actor and was worked on.
    fn report(&mut self, arrived: Instant) {
        self.reports.saturating_record(micros(arrived));
    }

    fn user(&mut self, arrived: Instant) {
        self.users.saturating_record(micros(arrived));
    }

    fn line(&self) -> String {
        let part = |h: &Histogram<u32>| format!("{} p99 {:.1} ms", h.len(), ms(h, 0.99));
        format!("reports {} users {}", part(&self.reports), part(&self.users))
    }

    fn figures(&self, figures: MapBuilder) -> MapBuilder {
        let part = |h: &Histogram<u32>| {
            MapBuilder::new()
                .set("count", h.len())
                .set("p50Ms", ms(h, 0.5))
                .set("p99Ms", ms(h, 0.99))
                .set("maxMs", h.max() as f64 / 1000.0)
                .build()
        };
        figures.set("reports", part(&self.reports)).set("users", part(&self.users))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::storage::stand_in::{StandIn, store};
    use crate::transport::codec::Request;

    fn request(method: &str, target: &str, body: &[u8]) -> Request {
        Request { method: method.into(), target: target.into(), body: body.to_vec(), close: false }
    }

    async fn rig() -> (Node, Inputs, Front) {
        let world = StandIn::start(&[]).await;
        let settings = crate::settings::tests::sample();
        let cloud = super::super::cloud::start(world.address(), 1.0, Duration::from_secs(1));
        let config = Arc::new(Config { settings, tuning: crate::policy::tests::tuning() });
        let (leads, _) = watch::channel(false);
        let (_roles_in, roles) = mpsc::channel(1);
        let (abandoned, _) = watch::channel(0);
        Node::new(config, store(world.address(), 12), cloud, leads, abandoned, roles)
    }

    /// The edge refuses at once: nobody is held while the buffer is full.
    #[tokio::test]
    async fn a_full_buffer_refuses_at_once_with_a_time_to_come_back() {
        let (_node, _inputs, front) = rig().await;
        for _ in 0..USER_BUFFER {
            let (reply, _) = oneshot::channel();
            assert!(front.users.try_send(UserMessage::Status { reply }).is_ok());
        }
        let answer = front.route(request("GET", "/api/jobs/job-1", b"")).await;
        assert_eq!((answer.status, answer.retry_after_s), (429, Some(1)));
    }

    #[tokio::test]
    async fn without_a_leader_submissions_are_refused_and_polls_answered_from_records() {
        let (mut node, _inputs, _front) = rig().await;
        let spec = crate::protocol::jobs::tests::sample("job-1", "red", 1, 1.0);
        let ask = |node: &mut Node, call| {
            let (reply, answer) = oneshot::channel();
            node.take_user(call, reply, false);
            answer
        };
        let submit = PeerCall::Submit(encode(&spec.encode().build()));
        let answer = ask(&mut node, submit).await.expect("answered");
        assert_eq!((answer.status, answer.retry_after_s), (503, Some(1)));
        let answer = ask(&mut node, PeerCall::Withdraw("job-1".into())).await.expect("answered");
        assert_eq!(answer.status, 503);
        let answer = ask(&mut node, PeerCall::Poll("job-1".into())).await.expect("answered");
        assert_eq!(answer.status, 404, "the record is what decides it");
        let answer = ask(&mut node, PeerCall::Submit(b"junk".to_vec())).await.expect("answered");
        assert_eq!(answer.status, 400);
    }

    #[tokio::test]
    async fn wrong_paths_and_methods_get_their_status() {
        let (_node, _inputs, front) = rig().await;
        for (method, target, status) in [
            ("GET", "/nowhere", 404),
            ("GET", "/api/jobs", 405),
            ("DELETE", "/api/jobs/job-1", 405),
            ("GET", "/api/jobs/job-1/withdraw", 405),
            ("GET", "/api/jobs/not-a-job", 404),
            ("GET", "/agent/beat", 405),
            ("POST", "/agent/beat", 400),
            ("GET", "/ready", 503),
        ] {
            assert_eq!(front.route(request(method, target, b"")).await.status, status, "{method} {target}");
        }
    }
}
