//! The actor itself: queues by class, the pace of requests, packing, and the settling of
//! outcomes that are not known.

use std::collections::VecDeque;
use std::time::Duration;

use ciborium::value::Value;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::{CLASSES, Class, MARK, Pending, Raw, Request, Store, StoreError};
use crate::maps::HashSet;
use crate::protocol::cbor::{Fields, decode, encode};
use crate::protocol::state::{
    Change, Condition, decode_committed, decode_entry, decode_refused, encode_commit,
};
use crate::settings::{State, StateLimits};
use crate::storage::pacing::{Bucket, Complaints};
use crate::storage::records::LEADER;
use crate::transport::client::{Call, ClientError, Connection, Pool, Prepared};
use crate::transport::codec::Limits;

/// Bytes of one transaction, counted with some room below the service's 64 KiB.
const COMMIT_BYTES: usize = 48 * 1024;
/// Largest answer taken: a page of 512 KiB and its framing.
const LIMITS: Limits = Limits { head: 8 * 1024, body: 640 * 1024 };
/// Requests under way at once.
const IN_FLIGHT: usize = 8;

enum Done {
    Raw { reply: oneshot::Sender<Raw>, result: Raw, connection: Option<Connection>, long: bool },
    Commit { items: Vec<Pending>, result: Raw, connection: Option<Connection> },
    Verified { item: Pending, result: Raw, connection: Option<Connection> },
}

struct Actor {
    pool: Pool,
    queues: [VecDeque<Request>; CLASSES],
    requests: Bucket,
    writes: Bucket,
    in_flight: usize,
    /// Most changes in one transaction, before and after the limits change.
    txn_ops: usize,
    share: Share,
    /// The limits that will hold at some time, and those that hold as far as is known.
    announced: StateLimits,
    in_force: watch::Sender<StateLimits>,
    deadline: Duration,
    /// After a refusal nothing but renewals is sent until then.
    pause_until: Instant,
    complaints: Complaints,
    done: mpsc::Sender<Done>,
}

/// This controller's part of the service's allowance. One in `RATIO` of the
/// whole goes to each controller that does not lead.
const FOLLOWER_RATIO: f64 = 0.07;

/// A little below the allowance, as the service's clock is not ours.
const PACE_RATIO: f64 = 0.92;
/// Part of a second's allowance that may be spent at once.
const BURST_RATIO: f64 = 0.8;

/// The part of the burst that each class leaves to those before it.
const RESERVED_PARTS: [f64; CLASSES] = [0.0, 0.0, 0.0, 0.6, 0.8, 0.8];

/// Changes that a class leaves in an allowance with such a burst for those before it. What
/// nobody waits for would otherwise use all of it up as it comes, and each acceptance would
/// wait until the allowance has refilled by what it takes.
pub(super) fn write_reserve(class: usize, burst: f64) -> f64 {
    let least = if class == Class::Renewal as usize { 0.0 } else { 1.0 };
    (burst * RESERVED_PARTS[class]).max(least)
}

/// The part of the service's allowance that this controller takes.
#[derive(Debug, Clone, Copy)]
struct Share {
    controllers: u32,
    leading: bool,
}

impl Share {
    fn ratio(self) -> f64 {
        let others = f64::from(self.controllers.max(1) - 1).min(8.0);
        let ratio = if self.leading { 1.0 - FOLLOWER_RATIO * others } else { FOLLOWER_RATIO };
        ratio * PACE_RATIO
    }

    fn bucket(self, rate: f64) -> Bucket {
        let rate = rate * self.ratio();
        Bucket::new(rate, (rate * BURST_RATIO).max(4.0), Instant::now())
    }
}

/// Starts the actor.
pub fn start(
    address: std::net::SocketAddr,
    state: State,
    controllers: u32,
    deadline: Duration,
    mut leads: tokio::sync::watch::Receiver<bool>,
) -> Store {
    let (requests, mut inbox) = mpsc::channel(256);
    let (done, mut finished) = mpsc::channel(64);
    let share = Share { controllers, leading: false };
    let present = state.present();
    let (in_force, limits) = watch::channel(present);
    let mut actor = Actor {
        pool: Pool::new(address, LIMITS, IN_FLIGHT),
        queues: Default::default(),
        requests: share.bucket(present.rps),
        writes: share.bucket(present.write_rps),
        in_flight: 0,
        txn_ops: state.within_both().txn_ops,
        share,
        announced: state.announced(),
        in_force,
        deadline,
        pause_until: Instant::now(),
        complaints: Complaints::default(),
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
                    actor.take_share(Share { controllers, leading });
                }
                Some(done) = finished.recv() => actor.finished(done),
                request = inbox.recv(), if actor.queued() < 512 => match request {
                    Some(request) => actor.enqueue(request),
                    None => return,
                },
                () = sleep => {}
            }
        }
    });
    Store { requests, deadline, limits }
}

impl Request {
    fn class(&self) -> Class {
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

    fn take_share(&mut self, share: Share) {
        let limits = *self.in_force.borrow();
        self.share = share;
        self.requests = share.bucket(limits.rps);
        self.writes = share.bucket(limits.write_rps);
    }

    /// A refusal of what the present limits allow is the only notice that the announced
    /// ones have come into force. They stay.
    fn note_refusal(&mut self, status: u16) {
        let refused = matches!(status, 400 | 429);
        if !refused || *self.in_force.borrow() == self.announced {
            return;
        }
        tracing::info!(status, limits = ?self.announced, "the state service's announced limits hold now");
        self.in_force.send_replace(self.announced);
        self.take_share(self.share);
        // What was allowed until now may be spent already.
        self.requests.empty();
        self.writes.empty();
    }

    fn enqueue(&mut self, request: Request) {
        self.queues[request.class() as usize].push_back(request);
    }

    fn enqueue_first(&mut self, pending: Pending) {
        self.queues[pending.transaction.class as usize].push_front(Request::Commit(Box::new(pending)));
    }

    /// Sends what may be sent now; returns how long to wait for more.
    fn dispatch(&mut self, now: Instant) -> Option<Duration> {
        loop {
            let class = self.queues.iter().position(|queue| !queue.is_empty())?;
            let renewal = class == Class::Renewal as usize;
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

    fn send_raw(&mut self, call: Call, reply: oneshot::Sender<Raw>) {
        // A watch waits for long and must not take a place from others.
        let long = call.deadline > self.deadline * 2;
        self.in_flight += usize::from(!long);
        let prepared = self.pool.prepare(call);
        self.spawn(prepared, move |result, connection| Done::Raw { reply, result, connection, long });
    }

    fn spawn(&self, prepared: Prepared, wrap: impl FnOnce(Raw, Option<Connection>) -> Done + Send + 'static) {
        let done = self.done.clone();
        tokio::spawn(async move {
            let (result, connection) = prepared.run().await;
            let _ = done.send(wrap(result, connection)).await;
        });
    }

    /// Packs further changes of the same epoch beside the first.
    fn send_commit(&mut self, now: Instant, first: Pending) {
        let epoch = first.transaction.epoch;
        let (mut ops, mut conditions, mut bytes) =
            (first.transaction.changes.len(), first.transaction.conditions.len() + 1, first.size);
        let mut items = vec![first];
        if !items[0].alone {
            let reserves: [f64; CLASSES] =
                std::array::from_fn(|class| write_reserve(class, self.writes.burst()));
            for (queue, reserve) in self.queues.iter_mut().zip(reserves) {
                let mut rest = VecDeque::new();
                while let Some(request) = queue.pop_front() {
                    match request {
                        Request::Commit(next)
                            if !next.alone
                                && next.transaction.epoch == epoch
                                && ops + next.transaction.changes.len() <= self.txn_ops
                                && conditions + next.transaction.conditions.len() <= self.txn_ops * 4
                                && bytes + next.size <= COMMIT_BYTES
                                && self.writes.allows(
                                    now,
                                    (ops + next.transaction.changes.len()) as f64,
                                    reserve.max(1.0),
                                ) =>
                        {
                            ops += next.transaction.changes.len();
                            conditions += next.transaction.conditions.len();
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
        let fence = Condition { key: LEADER.to_owned(), version: epoch };
        let body = encode_commit(
            std::iter::once(&fence).chain(items.iter().flat_map(|i| &i.transaction.conditions)),
            items.iter().flat_map(|i| &i.transaction.changes),
        );
        let call =
            Call { method: "POST", target: "/commit".into(), body: encode(&body), deadline: self.deadline };
        let prepared = self.pool.prepare(call);
        self.spawn(prepared, move |result, connection| Done::Commit { items, result, connection });
    }

    fn finished(&mut self, done: Done) {
        match done {
            Done::Raw { reply, result, connection, long } => {
                self.in_flight -= usize::from(!long);
                if let Ok(response) = &result
                    && response.status == 429
                {
                    self.note_refusal(429);
                }
                self.pool.put_back(connection);
                let _ = reply.send(result);
            }
            Done::Commit { items, result, connection } => {
                self.in_flight -= 1;
                self.pool.put_back(connection);
                self.settle(items, result);
            }
            Done::Verified { item, result, connection } => {
                self.in_flight -= 1;
                self.pool.put_back(connection);
                self.verified(item, result);
            }
        }
    }

    fn settle(&mut self, items: Vec<Pending>, result: Raw) {
        if let Ok(response) = &result {
            self.note_refusal(response.status);
        }
        match commit_outcome(&result) {
            Outcome::Done(revision) => {
                for item in items {
                    let _ = item.reply.send(Ok(revision));
                }
            }
            Outcome::Refused(failed) if failed.contains(LEADER) => {
                for item in items {
                    let _ = item.reply.send(Err(StoreError::Fenced));
                }
            }
            Outcome::Refused(failed) => {
                for mut item in items {
                    let hit = item.transaction.conditions.iter().any(|c| failed.contains(&c.key));
                    item.alone = true;
                    match (hit, item.unknown) {
                        (false, _) => self.enqueue_first(item),
                        (true, false) => drop(item.reply.send(Err(StoreError::Conflict))),
                        // Perhaps our own earlier try: look whose write it is.
                        (true, true) => self.verify(item),
                    }
                }
            }
            Outcome::Rejected if items.len() == 1 => {
                tracing::error!("the state service refuses a transaction as malformed");
                for item in items {
                    let _ = item.reply.send(Err(StoreError::Rejected));
                }
            }
            outcome => {
                let unknown = matches!(outcome, Outcome::Unknown);
                if let Some(times) = self.complaints.due(Instant::now()) {
                    let status = result.as_ref().map(|r| r.status).ok();
                    tracing::error!(times, ?status, unknown, "the state service did not carry out a write");
                }
                self.pause_until = Instant::now() + self.deadline / 10;
                // Pushed to the front one by one, so back to front.
                for mut item in items.into_iter().rev() {
                    item.unknown |= unknown;
                    item.alone |= unknown || matches!(outcome, Outcome::Rejected);
                    self.enqueue_first(item);
                }
            }
        }
    }

    fn verify(&mut self, item: Pending) {
        self.in_flight += 1;
        let key = item.transaction.changes.first().map(|c| c.key().to_owned()).unwrap_or_default();
        let call =
            Call { method: "GET", target: format!("/keys/{key}"), body: Vec::new(), deadline: self.deadline };
        let prepared = self.pool.prepare(call);
        self.spawn(prepared, move |result, connection| Done::Verified { item, result, connection });
    }

    fn verified(&mut self, item: Pending, result: Raw) {
        let key = item.transaction.changes.first().map(Change::key);
        let verdict = match (&result, item.transaction.changes.first()) {
            (Ok(r), Some(Change::Delete { .. })) if r.status == 404 => Some(Ok(0)),
            (Ok(r), _) if r.status == 404 => Some(Err(StoreError::Conflict)),
            (Ok(r), _) if r.status == 200 => {
                // An answer about another key is no answer.
                let entry = decode(&r.body).ok().and_then(|value| decode_entry(&value).ok());
                entry.filter(|entry| Some(entry.key.as_str()) == key).map(|entry| {
                    let ours = mark_of(&entry.value) == Some(item.mark.as_str());
                    if ours { Ok(entry.version) } else { Err(StoreError::Conflict) }
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
fn mark_of(value: &Value) -> Option<&str> {
    Fields::of(value).ok()?.opt_text(MARK).ok()?
}

#[derive(Debug, PartialEq)]
enum Outcome {
    Done(u64),
    Refused(HashSet<String>),
    Rejected,
    /// Certainly not carried out.
    NotDone,
    /// Carried out, or not, or yet to be.
    Unknown,
}

fn commit_outcome(result: &Raw) -> Outcome {
    match result {
        Ok(response) => {
            let body = decode(&response.body);
            match response.status {
                200 => {
                    body.ok().and_then(|b| decode_committed(&b).ok()).map_or(Outcome::Unknown, Outcome::Done)
                }
                409 => body
                    .ok()
                    .and_then(|b| decode_refused(&b).ok())
                    .map_or(Outcome::Unknown, |failed| Outcome::Refused(failed.into_iter().collect())),
                400 => Outcome::Rejected,
                429 | 503 => Outcome::NotDone,
                _ => Outcome::Unknown,
            }
        }
        Err(ClientError::NotSent) => Outcome::NotDone,
        Err(_) => Outcome::Unknown,
    }
}
