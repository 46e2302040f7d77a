//! The actor: sends requests as the rate limits allow, the highest priority first, and handles
//! the responses.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::batch::Batch;
use super::capacity::Capacity;
use super::queue::{NextRequest, PendingTransaction, Request, RequestQueues};
use super::rates::{RateLimits, RateShare};
use super::statistics::QueueStatistics;
use super::{HttpResult, KvClient, RequestClass};
use crate::numeric::whole_ms;
use crate::protocol::cbor::encode;
use crate::protocol::kv::Change;
use crate::settings::{KvLimits, KvSettings};
use crate::storage::rate_limit::LogThrottle;
use crate::transport::client::{Connection, ConnectionPool, HttpCall, PreparedCall};
use crate::transport::codec::Limits;

/// Maximum size of a response: a page of 512 KiB and its framing.
const RESPONSE_LIMITS: Limits = Limits { head: 8 * 1024, body: 640 * 1024 };
/// Number of the requests that may be in flight that all other classes leave for renewals.
const RENEWAL_SLOTS: usize = 2;
/// Capacity of the channel on which the actor receives the election's requests. The election sends
/// one at a time.
const RENEWAL_CHANNEL_CAPACITY: usize = 4;
/// Capacity of the channel on which the actor receives responses.
const RESPONSE_CHANNEL_CAPACITY: usize = 64;
/// Time between two publications of the statistics.
const STATISTICS_INTERVAL: Duration = Duration::from_secs(1);
/// How long the actor sleeps if it waits only for events.
const IDLE_SLEEP: Duration = Duration::from_secs(3600);
/// A request whose timeout is more than this many times the usual deadline is a long poll.
const LONG_POLL_DEADLINE_FACTOR: u32 = 2;
/// After a failed commit, only renewals are sent for the deadline divided by this number.
const PAUSE_DEADLINE_DIVISOR: u32 = 10;

/// Whether a request counts against [`Capacity::in_flight`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Slot {
    /// It counts.
    Taken,
    /// It does not count: a long poll would keep other requests waiting.
    LongPoll,
}

/// A finished request: its result, and the connection if it can be reused.
enum Finished {
    /// A request that was sent unchanged.
    Raw { reply: oneshot::Sender<HttpResult>, result: HttpResult, connection: Option<Connection>, slot: Slot },
    /// The commit of a batch.
    Commit { batch: Vec<PendingTransaction>, result: HttpResult, connection: Option<Connection> },
    /// The read that shows whether an earlier attempt was committed.
    ReadBack { pending: PendingTransaction, result: HttpResult, connection: Option<Connection> },
}

/// The channels on which the actor receives messages.
struct Inboxes {
    /// The election's requests, which the actor receives however many others are queued.
    renewals: mpsc::Receiver<Request>,
    /// All other requests.
    requests: mpsc::Receiver<Request>,
    responses: mpsc::Receiver<Finished>,
}

/// What the actor does next.
enum NextAction {
    /// Send the first waiting request, which has this number of puts and deletes.
    Send { writes: usize },
    /// Wait for this duration or until an event.
    Wait(Duration),
    /// Wait for an event.
    WaitForEvent,
}

/// State of the actor.
pub(super) struct Actor {
    pool: ConnectionPool,
    /// Requests that wait to be sent.
    pub(super) queues: RequestQueues,
    rates: RateLimits,
    in_flight: usize,
    capacity: Capacity,
    /// Maximum number of puts and deletes in one transaction that both the limits in force and
    /// the announced limits allow.
    max_changes: usize,
    /// The limits that are announced to take effect at some later time.
    announced: KvLimits,
    /// The limits in force, as far as known.
    limits_in_force: watch::Sender<KvLimits>,
    deadline: Duration,
    /// Only renewals are sent before this time. A failed commit sets it.
    pause_until: Instant,
    /// Limits how often failed commits are logged.
    pub(super) log_throttle: LogThrottle,
    finished: mpsc::Sender<Finished>,
    statistics: QueueStatistics,
    published_statistics: watch::Sender<QueueStatistics>,
    /// When the statistics are published next.
    publish_at: Instant,
}

/// Starts the actor for the store at this address.
///
/// * `state`: the store's limits, initial and announced.
/// * `controllers`: number of controllers in the cluster, which share the store's rates.
/// * `deadline`: timeout of each request.
/// * `is_leader`: whether this controller leads. The actor stops when its sender is dropped.
pub fn start(
    address: SocketAddr,
    state: &KvSettings,
    controllers: u32,
    deadline: Duration,
    is_leader: watch::Receiver<bool>,
) -> KvClient {
    let (renewals, renewal_inbox) = mpsc::channel(RENEWAL_CHANNEL_CAPACITY);
    let capacity = Capacity::of_rate(state.rps);
    let (requests, inbox) = mpsc::channel(capacity.channel);
    let (finished, responses) = mpsc::channel(RESPONSE_CHANNEL_CAPACITY);
    let initial = state.initial();
    let (limits_in_force, limits) = watch::channel(initial);
    let (published_statistics, statistics) = watch::channel(QueueStatistics::default());
    let actor = Actor {
        pool: ConnectionPool::new(address, RESPONSE_LIMITS, capacity.in_flight),
        queues: RequestQueues::default(),
        rates: RateLimits::new(RateShare { controllers, leading: false }, initial),
        in_flight: 0,
        capacity,
        max_changes: state.strictest().txn_ops,
        announced: state.announced(),
        limits_in_force,
        deadline,
        pause_until: Instant::now(),
        log_throttle: LogThrottle::default(),
        finished,
        statistics: QueueStatistics::default(),
        published_statistics,
        publish_at: Instant::now(),
    };
    let inboxes = Inboxes { renewals: renewal_inbox, requests: inbox, responses };
    tokio::spawn(actor.run(controllers, inboxes, is_leader));
    KvClient { renewals, requests, deadline, limits, statistics, read_retry_pause: None }
}

impl Actor {
    /// Runs until all clients, or the sender of `is_leader`, are dropped.
    async fn run(mut self, controllers: u32, mut inboxes: Inboxes, mut is_leader: watch::Receiver<bool>) {
        loop {
            let now = Instant::now();
            let wait = self.dispatch(now);
            self.publish_statistics(now);
            let sleep = tokio::time::sleep(wait.unwrap_or(IDLE_SLEEP));
            tokio::select! {
                biased;
                changed = is_leader.changed() => {
                    if changed.is_err() { return }
                    let leading = *is_leader.borrow_and_update();
                    let limits = *self.limits_in_force.borrow();
                    self.rates.set_share(RateShare { controllers, leading }, limits);
                    self.publish_at = now;
                }
                Some(request) = inboxes.renewals.recv() => self.queues.push_back(request),
                Some(finished) = inboxes.responses.recv() => self.handle_finished(finished),
                request = inboxes.requests.recv(), if self.queues.len() < self.capacity.queued => match request {
                    Some(request) => self.queues.push_back(request),
                    None => return,
                },
                () = sleep => {}
            }
        }
    }

    /// Sends all requests that may be sent now. Returns how long the next request must wait
    /// for the rate limits or the end of a pause; `None` if it waits for an event.
    fn dispatch(&mut self, now: Instant) -> Option<Duration> {
        loop {
            match self.next_action(now) {
                NextAction::Send { writes } => self.send_first(now, writes)?,
                NextAction::Wait(duration) => return Some(duration),
                NextAction::WaitForEvent => return None,
            }
        }
    }

    /// Decides what to do next about the requests whose callers still wait. Renewals wait neither for
    /// requests in flight nor for the end of a pause, and may use the whole rates; the other classes
    /// leave a reserve, so that a backlog cannot make the lease expire.
    fn next_action(&mut self, now: Instant) -> NextAction {
        self.queues.drop_abandoned(&mut self.statistics);
        let Some(NextRequest { request, served_as: class }) = self.queues.first() else {
            return NextAction::WaitForEvent;
        };
        let writes = request.write_count();
        if class != RequestClass::Renewal {
            if self.in_flight >= self.capacity.limit_for(request) - RENEWAL_SLOTS {
                return NextAction::WaitForEvent;
            }
            if now < self.pause_until {
                return NextAction::Wait(self.pause_until - now);
            }
        }
        let wait = self.rates.request_wait(now, class);
        match wait.or_else(|| self.rates.write_wait(now, class, writes)) {
            Some(wait) => NextAction::Wait(wait),
            None => NextAction::Send { writes },
        }
    }

    fn publish_statistics(&mut self, now: Instant) {
        if now < self.publish_at {
            return;
        }
        self.publish_at = now + STATISTICS_INTERVAL;
        self.queues.measure(now, &mut self.statistics);
        self.statistics.request_rate = self.rates.request_rate(*self.limits_in_force.borrow());
        self.published_statistics.send_replace(self.statistics);
    }

    /// Records that a request is sent. A renewal that has waited for as long as its own timeout has
    /// used up time that the lease does not have.
    fn record_sent(&mut self, now: Instant, request: &Request) {
        let (class, wait) = (request.class(), now - request.since());
        self.statistics.classes[class as usize].record_sent(wait, request.is_awaited());
        if !request.is_awaited() {
            tracing::error!(class = class.name(), "request sent although its caller has left");
        }
        if class == RequestClass::Renewal && wait > self.deadline {
            tracing::error!(wait_ms = whole_ms(wait), "request of the election waited in the client");
        }
    }

    /// Sends the first waiting request; `None` if there is none.
    fn send_first(&mut self, now: Instant, writes: usize) -> Option<()> {
        self.rates.spend_request();
        let request = self.queues.pop_first()?;
        self.record_sent(now, &request);
        match request {
            Request::Raw { call, reply, .. } => {
                self.rates.spend_writes(writes);
                self.send_raw(call, reply);
            }
            Request::Commit(first) => self.send_batch(now, *first),
        }
        Some(())
    }

    fn send_raw(&mut self, call: HttpCall, reply: oneshot::Sender<HttpResult>) {
        let is_long_poll = call.timeout > self.deadline * LONG_POLL_DEADLINE_FACTOR;
        let slot = if is_long_poll { Slot::LongPoll } else { Slot::Taken };
        self.in_flight += usize::from(slot == Slot::Taken);
        let prepared = self.pool.prepare(call);
        self.spawn(prepared, move |result, connection| Finished::Raw { reply, result, connection, slot });
    }

    /// Sends a transaction, batched with as many waiting ones as fit.
    fn send_batch(&mut self, now: Instant, first: PendingTransaction) {
        let mut batch = Batch::new(first);
        batch.fill(now, &mut self.queues, &mut self.rates, self.max_changes);
        self.rates.spend_writes(batch.changes());
        self.in_flight += 1;
        let body = encode(&batch.encode());
        let call = HttpCall { method: "POST", target: "/commit".into(), body, timeout: self.deadline };
        let prepared = self.pool.prepare(call);
        let batch = batch.into_transactions();
        self.spawn(prepared, move |result, connection| Finished::Commit { batch, result, connection });
    }

    /// Reads the first key that the transaction changes, to find out whether an earlier
    /// attempt was committed.
    pub(super) fn read_back(&mut self, pending: PendingTransaction) {
        self.in_flight += 1;
        let key = pending.transaction.changes.first().map(Change::key).unwrap_or_default();
        let target = format!("/keys/{key}");
        let call = HttpCall { method: "GET", target, body: Vec::new(), timeout: self.deadline };
        let prepared = self.pool.prepare(call);
        self.spawn(prepared, move |result, connection| Finished::ReadBack { pending, result, connection });
    }

    /// Runs a call in its own task, which sends the result to the actor.
    fn spawn(
        &self,
        prepared: PreparedCall,
        wrap: impl FnOnce(HttpResult, Option<Connection>) -> Finished + Send + 'static,
    ) {
        let finished = self.finished.clone();
        tokio::spawn(async move {
            let (result, connection) = prepared.run().await;
            let _ = finished.send(wrap(result, connection)).await;
        });
    }

    fn handle_finished(&mut self, finished: Finished) {
        match finished {
            Finished::Raw { reply, result, connection, slot } => {
                self.in_flight -= usize::from(slot == Slot::Taken);
                // These requests carry no value near the size limit, so only status 429 can
                // show that the limits have changed.
                if let Ok(response) = &result
                    && response.status == 429
                {
                    self.record_refusal(429);
                }
                self.pool.put_back(connection);
                let _ = reply.send(result);
            }
            Finished::Commit { batch, result, connection } => {
                self.in_flight -= 1;
                self.pool.put_back(connection);
                self.handle_commit_result(batch, &result);
            }
            Finished::ReadBack { pending, result, connection } => {
                self.in_flight -= 1;
                self.pool.put_back(connection);
                self.handle_read_back(pending, &result);
            }
        }
    }

    /// Switches to the announced limits if the store refuses a request that the current limits
    /// allow, which is the only notice of the change. There is no switch back.
    pub(super) fn record_refusal(&mut self, status: u16) {
        let refused = matches!(status, 400 | 429);
        if !refused || *self.limits_in_force.borrow() == self.announced {
            return;
        }
        tracing::info!(status, limits = ?self.announced, "announced key-value store limits took effect");
        self.limits_in_force.send_replace(self.announced);
        self.rates.set_limits(self.announced);
    }

    /// Pauses all requests except renewals for a short time after a failure.
    pub(super) fn pause(&mut self) {
        self.pause_until = Instant::now() + self.deadline / PAUSE_DEADLINE_DIVISOR;
    }
}
