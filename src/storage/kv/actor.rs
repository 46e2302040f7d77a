//! The actor itself: queues by class, the pace of requests, packing, and the settling of
//! outcomes that are not known.

use std::collections::VecDeque;
use std::time::Duration;

use ciborium::value::Value;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::{
    HttpResult, KvClient, KvError, PendingTransaction, REQUEST_CLASSES, Request, RequestClass, WRITE_MARKER,
};
use crate::maps::HashSet;
use crate::protocol::cbor::{Fields, decode, encode};
use crate::protocol::kv::{
    Change, Compare, decode_commit_revision, decode_entry, decode_failed_compares, encode_compare_and_swap,
};
use crate::settings::{State, StateLimits};
use crate::storage::rate_limit::{LogThrottle, TokenBucket};
use crate::storage::records::LEADER;
use crate::transport::client::{Call, ClientError, Connection, Pool, PreparedCall};
use crate::transport::codec::Limits;

/// Bytes of one transaction, counted with some room below the service's 64 KiB.
const COMMIT_BYTES: usize = 48 * 1024;
/// Largest answer taken: a page of 512 KiB and its framing.
const LIMITS: Limits = Limits { head: 8 * 1024, body: 640 * 1024 };
/// Requests under way at once.
const IN_FLIGHT: usize = 8;

enum Finished {
    Raw { reply: oneshot::Sender<HttpResult>, result: HttpResult, connection: Option<Connection>, long: bool },
    Commit { items: Vec<PendingTransaction>, result: HttpResult, connection: Option<Connection> },
    Verified { item: PendingTransaction, result: HttpResult, connection: Option<Connection> },
}

struct Actor {
    pool: Pool,
    queues: [VecDeque<Request>; REQUEST_CLASSES],
    requests: TokenBucket,
    writes: TokenBucket,
    in_flight: usize,
    /// Most changes in one transaction, before and after the limits change.
    txn_ops: usize,
    share: RateShare,
    /// The limits that will hold at some time, and those that hold as far as is known.
    announced: StateLimits,
    limits_in_force: watch::Sender<StateLimits>,
    deadline: Duration,
    /// After a refusal nothing but renewals is sent until then.
    pause_until: Instant,
    log_throttle: LogThrottle,
    done: mpsc::Sender<Finished>,
}

/// This controller's part of the service's allowance. One in `RATIO` of the
/// whole goes to each controller that does not lead.
const FOLLOWER_RATIO: f64 = 0.07;

/// A little below the allowance, as the service's clock is not ours.
const RATE_RATIO: f64 = 0.92;
/// Part of a second's allowance that may be spent at once.
const BURST_RATIO: f64 = 0.8;

/// The part of the burst that each class leaves to those before it.
const RESERVED_PARTS: [f64; REQUEST_CLASSES] = [0.0, 0.0, 0.0, 0.6, 0.8, 0.8];

/// Changes that a class leaves in an allowance with such a burst for those before it. What
/// nobody waits for would otherwise use all of it up as it comes, and each acceptance would
/// wait until the allowance has refilled by what it takes.
pub(super) fn write_reserve(class: usize, burst: f64) -> f64 {
    let least = if class == RequestClass::Renewal as usize { 0.0 } else { 1.0 };
    (burst * RESERVED_PARTS[class]).max(least)
}

/// The part of the service's allowance that this controller takes.
#[derive(Debug, Clone, Copy)]
struct RateShare {
    controllers: u32,
    leading: bool,
}

impl RateShare {
    fn ratio(self) -> f64 {
        let others = f64::from(self.controllers.max(1) - 1).min(8.0);
        let ratio = if self.leading { 1.0 - FOLLOWER_RATIO * others } else { FOLLOWER_RATIO };
        ratio * RATE_RATIO
    }

    fn token_bucket(self, rate: f64) -> TokenBucket {
        let rate = rate * self.ratio();
        TokenBucket::new(rate, (rate * BURST_RATIO).max(4.0), Instant::now())
    }
}

/// Starts the actor.
pub fn start(
    address: std::net::SocketAddr,
    state: State,
    controllers: u32,
    deadline: Duration,
    mut leads: tokio::sync::watch::Receiver<bool>,
) -> KvClient {
    let (requests, mut inbox) = mpsc::channel(256);
    let (done, mut finished) = mpsc::channel(64);
    let share = RateShare { controllers, leading: false };
    let present = state.present();
    let (in_force, limits) = watch::channel(present);
    let mut actor = Actor {
        pool: Pool::new(address, LIMITS, IN_FLIGHT),
        queues: Default::default(),
        requests: share.token_bucket(present.rps),
        writes: share.token_bucket(present.write_rps),
        in_flight: 0,
        txn_ops: state.within_both().txn_ops,
        share,
        announced: state.announced(),
        limits_in_force: in_force,
        deadline,
        pause_until: Instant::now(),
        log_throttle: LogThrottle::default(),
        done,
    };
    tokio::spawn(async move {
        loop {
            let wait = actor.dispatch(Instant::now());
            let sleep = tokio::time::sleep(wait.unwrap_or(Duration::from_secs(3600)));
            tokio::select! {
                biased;
                changed = leads.changed() => {
                    if changed.is_err() { return }
                    let leading = *leads.borrow_and_update();
                    actor.set_share(RateShare { controllers, leading });
                }
                Some(done) = finished.recv() => actor.handle_finished(done),
                request = inbox.recv(), if actor.queued() < 512 => match request {
                    Some(request) => actor.enqueue(request),
                    None => return,
                },
                () = sleep => {}
            }
        }
    });
    KvClient { requests, deadline, limits }
}

impl Request {
    fn class(&self) -> RequestClass {
        match self {
            Request::Raw { class, .. } => *class,
            Request::Commit(pending) => pending.transaction.class,
        }
    }
}

impl Actor {
    fn queued(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    fn set_share(&mut self, share: RateShare) {
        let limits = *self.limits_in_force.borrow();
        self.share = share;
        self.requests = share.token_bucket(limits.rps);
        self.writes = share.token_bucket(limits.write_rps);
    }

    /// A refusal of what the present limits allow is the only notice that the announced
    /// ones have come into force. They stay.
    fn record_refusal(&mut self, status: u16) {
        let refused = matches!(status, 400 | 429);
        if !refused || *self.limits_in_force.borrow() == self.announced {
            return;
        }
        tracing::info!(status, limits = ?self.announced, "the state service's announced limits hold now");
        self.limits_in_force.send_replace(self.announced);
        self.set_share(self.share);
        // What was allowed until now may be spent already.
        self.requests.drain();
        self.writes.drain();
    }

    fn enqueue(&mut self, request: Request) {
        self.queues[request.class() as usize].push_back(request);
    }

    fn enqueue_first(&mut self, pending: PendingTransaction) {
        self.queues[pending.transaction.class as usize].push_front(Request::Commit(Box::new(pending)));
    }

    /// Sends what may be sent now; returns how long to wait for more.
    fn dispatch(&mut self, now: Instant) -> Option<Duration> {
        loop {
            let class = self.queues.iter().position(|queue| !queue.is_empty())?;
            let renewal = class == RequestClass::Renewal as usize;
            // Renewals may use every place and all of the allowance; the rest
            // leaves some, so that a backlog cannot cost the lease.
            if !renewal && self.in_flight >= IN_FLIGHT - 2 {
                return None;
            }
            if !renewal && now < self.pause_until {
                return Some(self.pause_until - now);
            }
            let reserve = if renewal { 0.0 } else { 2.0 };
            if !self.requests.allows(now, 1.0, reserve) {
                return Some(self.requests.wait(1.0, reserve).max(Duration::from_millis(2)));
            }
            let writes = match self.queues[class].front()? {
                Request::Raw { call, .. } if call.target == "/commit" => 1.0,
                Request::Raw { .. } => 0.0,
                Request::Commit(pending) => pending.transaction.changes.len() as f64,
            };
            let reserve = if writes == 0.0 { 0.0 } else { write_reserve(class, self.writes.burst()) };
            if !self.writes.allows(now, writes, reserve) {
                return Some(self.writes.wait(writes, reserve).max(Duration::from_millis(2)));
            }
            self.requests.spend(1.0);
            match self.queues[class].pop_front()? {
                Request::Raw { call, reply, .. } => {
                    self.writes.spend(writes);
                    self.send_raw(call, reply);
                }
                Request::Commit(first) => self.send_commit(now, *first),
            }
        }
    }

    fn send_raw(&mut self, call: Call, reply: oneshot::Sender<HttpResult>) {
        // A watch waits for long and must not take a place from others.
        let long = call.deadline > self.deadline * 2;
        self.in_flight += usize::from(!long);
        let prepared = self.pool.prepare(call);
        self.spawn(prepared, move |result, connection| Finished::Raw { reply, result, connection, long });
    }

    fn spawn(
        &self,
        prepared: PreparedCall,
        wrap: impl FnOnce(HttpResult, Option<Connection>) -> Finished + Send + 'static,
    ) {
        let done = self.done.clone();
        tokio::spawn(async move {
            let (result, connection) = prepared.run().await;
            let _ = done.send(wrap(result, connection)).await;
        });
    }

    /// Packs further changes of the same epoch beside the first.
    fn send_commit(&mut self, now: Instant, first: PendingTransaction) {
        let epoch = first.transaction.epoch;
        let (mut ops, mut conditions, mut bytes) =
            (first.transaction.changes.len(), first.transaction.compares.len() + 1, first.size);
        let mut items = vec![first];
        if !items[0].unbatched {
            let reserves: [f64; REQUEST_CLASSES] =
                std::array::from_fn(|class| write_reserve(class, self.writes.burst()));
            for (queue, reserve) in self.queues.iter_mut().zip(reserves) {
                let mut rest = VecDeque::new();
                while let Some(request) = queue.pop_front() {
                    match request {
                        Request::Commit(next)
                            if !next.unbatched
                                && next.transaction.epoch == epoch
                                && ops + next.transaction.changes.len() <= self.txn_ops
                                && conditions + next.transaction.compares.len() <= self.txn_ops * 4
                                && bytes + next.size <= COMMIT_BYTES
                                && self.writes.allows(
                                    now,
                                    (ops + next.transaction.changes.len()) as f64,
                                    reserve.max(1.0),
                                ) =>
                        {
                            ops += next.transaction.changes.len();
                            conditions += next.transaction.compares.len();
                            bytes += next.size;
                            items.push(*next);
                        }
                        other => rest.push_back(other),
                    }
                }
                *queue = rest;
            }
        }
        self.writes.spend(ops as f64);
        self.in_flight += 1;
        let fence = Compare { key: LEADER.to_owned(), version: epoch };
        let body = encode_compare_and_swap(
            std::iter::once(&fence).chain(items.iter().flat_map(|i| &i.transaction.compares)),
            items.iter().flat_map(|i| &i.transaction.changes),
        );
        let call =
            Call { method: "POST", target: "/commit".into(), body: encode(&body), deadline: self.deadline };
        let prepared = self.pool.prepare(call);
        self.spawn(prepared, move |result, connection| Finished::Commit { items, result, connection });
    }

    fn handle_finished(&mut self, done: Finished) {
        match done {
            Finished::Raw { reply, result, connection, long } => {
                self.in_flight -= usize::from(!long);
                if let Ok(response) = &result
                    && response.status == 429
                {
                    self.record_refusal(429);
                }
                self.pool.put_back(connection);
                let _ = reply.send(result);
            }
            Finished::Commit { items, result, connection } => {
                self.in_flight -= 1;
                self.pool.put_back(connection);
                self.finish_transaction(items, result);
            }
            Finished::Verified { item, result, connection } => {
                self.in_flight -= 1;
                self.pool.put_back(connection);
                self.finish_read_back(item, result);
            }
        }
    }

    fn finish_transaction(&mut self, items: Vec<PendingTransaction>, result: HttpResult) {
        if let Ok(response) = &result {
            self.record_refusal(response.status);
        }
        match transaction_outcome(&result) {
            Outcome::Committed(revision) => {
                for item in items {
                    let _ = item.reply.send(Ok(revision));
                }
            }
            Outcome::Conflicted(failed) if failed.contains(LEADER) => {
                for item in items {
                    let _ = item.reply.send(Err(KvError::Fenced));
                }
            }
            Outcome::Conflicted(failed) => {
                for mut item in items {
                    let hit = item.transaction.compares.iter().any(|c| failed.contains(&c.key));
                    item.unbatched = true;
                    match (hit, item.outcome_unknown) {
                        (false, _) => self.enqueue_first(item),
                        (true, false) => drop(item.reply.send(Err(KvError::Conflict))),
                        // Perhaps our own earlier try: look whose write it is.
                        (true, true) => self.read_back(item),
                    }
                }
            }
            Outcome::Rejected if items.len() == 1 => {
                tracing::error!("the state service refuses a transaction as malformed");
                for item in items {
                    let _ = item.reply.send(Err(KvError::Rejected));
                }
            }
            outcome => {
                let unknown = matches!(outcome, Outcome::Unknown);
                if let Some(times) = self.log_throttle.should_log(Instant::now()) {
                    let status = result.as_ref().map(|r| r.status).ok();
                    tracing::error!(times, ?status, unknown, "the state service did not carry out a write");
                }
                self.pause_until = Instant::now() + self.deadline / 10;
                // Pushed to the front one by one, so back to front.
                for mut item in items.into_iter().rev() {
                    item.outcome_unknown |= unknown;
                    item.unbatched |= unknown || matches!(outcome, Outcome::Rejected);
                    self.enqueue_first(item);
                }
            }
        }
    }

    fn read_back(&mut self, item: PendingTransaction) {
        self.in_flight += 1;
        let key = item.transaction.changes.first().map(|c| c.key().to_owned()).unwrap_or_default();
        let call =
            Call { method: "GET", target: format!("/keys/{key}"), body: Vec::new(), deadline: self.deadline };
        let prepared = self.pool.prepare(call);
        self.spawn(prepared, move |result, connection| Finished::Verified { item, result, connection });
    }

    fn finish_read_back(&mut self, item: PendingTransaction, result: HttpResult) {
        let key = item.transaction.changes.first().map(Change::key);
        let verdict = match (&result, item.transaction.changes.first()) {
            (Ok(r), Some(Change::Delete { .. })) if r.status == 404 => Some(Ok(0)),
            (Ok(r), _) if r.status == 404 => Some(Err(KvError::Conflict)),
            (Ok(r), _) if r.status == 200 => {
                // An answer about another key is no answer.
                let entry = decode(&r.body).ok().and_then(|value| decode_entry(&value).ok());
                entry.filter(|entry| Some(entry.key.as_str()) == key).map(|entry| {
                    let ours = write_marker_of(&entry.value) == Some(item.write_marker.as_str());
                    if ours { Ok(entry.version) } else { Err(KvError::Conflict) }
                })
            }
            _ => None,
        };
        match verdict {
            Some(verdict) => drop(item.reply.send(verdict)),
            None => {
                self.pause_until = Instant::now() + self.deadline / 10;
                self.enqueue_first(item);
            }
        }
    }
}

/// The mark that [`Store::commit`] put into a value.
fn write_marker_of(value: &Value) -> Option<&str> {
    Fields::of(value).ok()?.opt_text(WRITE_MARKER).ok()?
}

#[derive(Debug, PartialEq)]
enum Outcome {
    Committed(u64),
    Conflicted(HashSet<String>),
    Rejected,
    /// Certainly not carried out.
    NotApplied,
    /// Carried out, or not, or yet to be.
    Unknown,
}

fn transaction_outcome(result: &HttpResult) -> Outcome {
    match result {
        Ok(response) => {
            let body = decode(&response.body);
            match response.status {
                200 => body
                    .ok()
                    .and_then(|b| decode_commit_revision(&b).ok())
                    .map_or(Outcome::Unknown, Outcome::Committed),
                409 => body
                    .ok()
                    .and_then(|b| decode_failed_compares(&b).ok())
                    .map_or(Outcome::Unknown, |failed| Outcome::Conflicted(failed.into_iter().collect())),
                400 => Outcome::Rejected,
                429 | 503 => Outcome::NotApplied,
                _ => Outcome::Unknown,
            }
        }
        Err(ClientError::NotSent) => Outcome::NotApplied,
        Err(_) => Outcome::Unknown,
    }
}
