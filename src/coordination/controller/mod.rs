//! The main actor of a controller: handles the messages of users, workers and other
//! controllers, and drives the leader's state machine while this controller leads.
//!
//! [`Controller`] is composed of parts, each of which owns the state of one concern:
//!
//! | part | owns |
//! | --- | --- |
//! | `routing` | the role given by the election, the links to other controllers, their known state (`peers`), redirected workers (`worker_redirects`); its tasks are in `forwarding` |
//! | `user_replies` | requests that wait for the leader's state machine, the cache of terminal job states |
//! | `record_reads` | reads of job records for users |
//! | `snapshot_loader` | reads of the snapshot from which a new leader starts |
//! | `reconciliation` | the background comparison of archived rows with job records |
//! | `leadership` | the channels that publish the leadership and its lease; the last epoch led |
//! | `readiness` | whether users and workers should be sent to this controller |
//! | `latencies` | latency histograms |
//! | `turns` | how long the actor's turns take; the watchdog that reports one while it lasts |
//!
//! `Controller` receives messages (`message`) and dispatches them. Its handlers are grouped by subject:
//! `leader_lifecycle`, `requests`, `heartbeats`, `effects`, `tick` and `status`.

mod answer_source;
pub(crate) mod capacity;
mod concurrency_limit;
mod effects;
mod events;
mod forwarding;
mod handle;
mod heartbeat_answers;
mod heartbeats;
mod latencies;
mod leader_lifecycle;
mod leadership;
mod message;
mod peers;
mod readiness;
mod reconciliation;
mod record_reads;
mod requests;
mod routing;
mod snapshot_loader;
mod status;
mod system_time;
mod tick;
mod turns;
mod user_replies;
mod worker_redirects;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior};

use crate::coordination::authority::answers::Answer;
use crate::coordination::config::Config;
use crate::coordination::controller::capacity::CapacityLimits;
use crate::coordination::controller::concurrency_limit::ConcurrencyLimit;
use crate::coordination::controller::events::{HeartbeatMessage, InternalEvent, RequestMessage};
use crate::coordination::controller::latencies::LatencyHistograms;
use crate::coordination::controller::leadership::{EpochGuard, LeadershipPublisher};
use crate::coordination::controller::message::{Message, has_left};
use crate::coordination::controller::readiness::Readiness;
use crate::coordination::controller::reconciliation::Reconciliation;
use crate::coordination::controller::record_reads::RecordReads;
use crate::coordination::controller::routing::LeaderRouting;
use crate::coordination::controller::snapshot_loader::SnapshotLoader;
use crate::coordination::controller::turns::Turns;
use crate::coordination::controller::user_replies::UserReplies;
use crate::coordination::election::Role;
use crate::coordination::fleet::cloud::Cloud;
use crate::coordination::leader::Leader;
use crate::coordination::workers::deferred_replies::DeferredReplies;
use crate::storage::kv::KvClient;

pub use handle::ControllerHandle;

/// Time after which a user's request fails; shorter than the five seconds for which users wait
/// for the answer to a submission.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time after which a poll fails; shorter than the two seconds for which users wait for its
/// answer. Also the total timeout of the calls that forward a request or relay a heartbeat.
const POLL_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long users wait for the answer to a poll. One that has been queued for longer has no caller.
const USERS_POLL_PATIENCE: Duration = Duration::from_secs(2);
/// How long users wait for the answer to a submission or cancellation.
const USERS_CHANGE_PATIENCE: Duration = Duration::from_secs(5);
/// Seconds after which a user may retry a request that failed.
const RETRY_AFTER_S: u32 = 1;
/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Capacity of the queue of [`InternalEvent`]s.
const EVENT_QUEUE_CAPACITY: usize = 256;

/// The main actor of a controller.
pub struct Controller {
    config: Arc<Config>,
    kv: KvClient,
    cloud: Cloud,
    events: mpsc::Sender<InternalEvent>,
    /// The leader's state machine; present from when the snapshot of an epoch has been read until
    /// this controller learns that the epoch is over, which may be after the lease has expired.
    leader: Option<Leader>,
    leadership: LeadershipPublisher,
    epoch_guard: EpochGuard,
    snapshot_loader: SnapshotLoader,
    reconciliation: Reconciliation,
    routing: LeaderRouting,
    user_replies: UserReplies,
    record_reads: RecordReads,
    deferred_replies: DeferredReplies<oneshot::Sender<Answer>>,
    /// Limits concurrent pushes of commands to workers.
    pushes: ConcurrencyLimit,
    readiness: Readiness,
    latencies: LatencyHistograms,
    turns: Turns,
    /// When the metrics were last logged.
    metrics_logged_at: Instant,
}

/// The queues from which the actor receives messages.
pub struct Inputs {
    requests: mpsc::Receiver<RequestMessage>,
    heartbeats: mpsc::Receiver<HeartbeatMessage>,
    events: mpsc::Receiver<InternalEvent>,
    /// The roles that the election gives this controller.
    pub roles: mpsc::Receiver<Role>,
}

impl Controller {
    /// Creates a controller that does not lead yet, its queues, and the handle that sends
    /// messages to them.
    ///
    /// The controller publishes whether it leads (`is_leader`), when its lease expires
    /// (`lease_expiry`), and the last epoch whose lease the election should revoke
    /// (`resigned_epoch`). The election sends this controller's role on `roles`.
    pub fn new(
        config: Arc<Config>,
        kv: KvClient,
        cloud: Cloud,
        is_leader: watch::Sender<bool>,
        lease_expiry: watch::Sender<Instant>,
        resigned_epoch: watch::Sender<u64>,
        roles: mpsc::Receiver<Role>,
    ) -> (Self, Inputs, ControllerHandle) {
        let capacity = CapacityLimits::new(&config.settings.cluster.limits);
        let (request_sender, requests) = mpsc::channel(capacity.queued_requests);
        let (heartbeat_sender, heartbeats) = mpsc::channel(capacity.queued_heartbeats);
        let (events, event_receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let (is_ready, ready) = watch::channel(false);
        let now = Instant::now();
        let controller = Controller {
            leader: None,
            leadership: LeadershipPublisher::new(is_leader, lease_expiry, resigned_epoch),
            epoch_guard: EpochGuard::default(),
            snapshot_loader: SnapshotLoader::new(&config, &kv, events.clone()),
            reconciliation: Reconciliation::new(&config, now, kv.clone(), events.clone()),
            routing: LeaderRouting::new(&config, &capacity, events.clone()),
            user_replies: UserReplies::new(capacity.terminal_states),
            record_reads: RecordReads::new(kv.clone(), events.clone(), capacity.lookups),
            deferred_replies: DeferredReplies::new(&config),
            pushes: ConcurrencyLimit::new(capacity.pushes),
            readiness: Readiness::new(is_ready, now, config.settings.cluster.workers.lease()),
            latencies: LatencyHistograms::new(),
            turns: Turns::new(config.tuning.lease),
            metrics_logged_at: now,
            config,
            kv,
            cloud,
            events,
        };
        let inputs = Inputs { requests, heartbeats, events: event_receiver, roles };
        let handle = ControllerHandle { requests: request_sender, heartbeats: heartbeat_sender, ready };
        (controller, inputs, handle)
    }

    /// Starts a thread that logs a turn of this actor which lasts longer than a lease while it still
    /// lasts.
    ///
    /// # Errors
    ///
    /// If the system starts no thread.
    pub fn start_watchdog(&self) -> io::Result<()> {
        self.turns.start_watchdog()
    }

    /// Handles messages until the election ends.
    pub async fn run(mut self, mut inputs: Inputs) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let message = tokio::select! {
                // Polled by priority: the role and its lease, results of spawned tasks, periodic
                // work, workers, then users.
                biased;
                role = inputs.roles.recv() => match role {
                    Some(role) => Message::Role(role),
                    None => return,
                },
                Some(event) = inputs.events.recv() => Message::Event(event),
                _ = tick.tick() => Message::Tick,
                Some(heartbeat) = inputs.heartbeats.recv() => Message::Heartbeat(heartbeat),
                Some(request) = inputs.requests.recv() => Message::Request(request),
                else => return,
            };
            self.take_turn(message);
        }
    }

    /// Handles one message, and performs the effects that it has.
    fn take_turn(&mut self, message: Message) {
        let (began, kind) = (Instant::now(), message.turn_kind());
        self.turns.begin(kind);
        match message {
            Message::Role(role) => self.handle_role(role),
            Message::Event(event) => self.handle_event(event),
            Message::Tick => self.tick(),
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(heartbeat),
            Message::Request(request) => self.handle_message(request),
        }
        self.perform_effects();
        self.turns.record(kind, began, Instant::now());
    }

    fn handle_message(&mut self, message: RequestMessage) {
        match message {
            RequestMessage::Call { call, reply, arrived, .. } if has_left(&call, &reply, arrived) => {
                drop(reply.send(self.user_replies.refuse_expired()));
            }
            RequestMessage::Call { call, reply, origin, arrived } => {
                self.handle_request(call, reply, origin);
                self.latencies.record_request(arrived);
            }
            RequestMessage::Status { reply } => drop(reply.send(Answer::new(200, &self.status()))),
        }
    }

    /// Passes the result of a spawned task to its handler.
    fn handle_event(&mut self, event: InternalEvent) {
        let now = Instant::now();
        match event {
            InternalEvent::SnapshotRead { epoch, snapshot } => {
                self.handle_snapshot_read(now, epoch, snapshot);
            }
            InternalEvent::SnapshotProgressed { epoch, progress } => {
                self.snapshot_loader.record_progress(epoch, progress);
            }
            InternalEvent::CommitFinished { epoch, operation, result } => {
                self.handle_commit_finished(now, epoch, operation, result);
            }
            InternalEvent::CloudCallFinished { epoch, operation, result } => {
                self.handle_cloud_call_finished(now, epoch, operation, result);
            }
            InternalEvent::PushFinished => self.pushes.release(),
            InternalEvent::JobLookedUp { lookup, started, read } => {
                self.handle_job_looked_up(lookup, started, read);
            }
            InternalEvent::DependenciesRead { epoch, submission, states } => {
                self.handle_dependencies_read(epoch, *submission, states);
            }
            InternalEvent::RequestForwarded(reply) => self.handle_forwarded_reply(*reply),
            InternalEvent::RequestNotForwarded(request) => {
                self.answer_without_leader(request, "the leader did not answer");
            }
            InternalEvent::LeaderReached => self.routing.record_leader_reached(),
            InternalEvent::LeaderNotReached => self.routing.record_leader_unreachable(now),
            InternalEvent::HeartbeatRelayed { timed_out_peer } => {
                self.routing.end_heartbeat_relay(now, timed_out_peer.as_deref());
            }
            InternalEvent::PeerQueried { peer, peer_state } => {
                self.handle_peer_state(now, &peer, peer_state);
            }
            InternalEvent::PeerTimedOut { peer } => self.routing.record_timeout(now, &peer),
            InternalEvent::RowsReconciled { epoch, next_cursor, restored } => {
                self.reconciliation.finish_page(next_cursor);
                self.restore_snapshot(epoch, restored);
            }
            InternalEvent::UnreadableReread { epoch, restored } => self.restore_snapshot(epoch, restored),
        }
    }
}

#[cfg(test)]
mod tests;
