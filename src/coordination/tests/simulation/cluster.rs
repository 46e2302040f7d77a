//! The state of the simulated cluster: controllers, workers, jobs as their users see them,
//! and faults that affect random events.

use super::*;

/// A controller of the cluster. Each start begins a new incarnation.
pub(super) struct SimulatedController {
    /// Number of starts so far; part of the addresses of the running process.
    pub(super) incarnation: u16,
    /// Accepts requests; `None` while the controller is down.
    pub(super) handle: Option<ControllerHandle>,
    /// The async tasks that are aborted when it is killed.
    pub(super) tasks: Vec<AbortHandle>,
    /// When the controller is started, if it is down.
    pub(super) restart_at: Option<Instant>,
    /// The state service answers its requests with an error until this time.
    pub(super) refused_until: Instant,
    /// Its requests to the state service are lost until this time.
    pub(super) state_service_unreachable_until: Instant,
    /// Calls between it and other controllers are lost until this time.
    pub(super) isolated_until: Instant,
    /// Its stalls, during which none of its code runs while its clocks go on.
    pub(super) stalls: stalls::Stalls,
}

impl SimulatedController {
    /// A controller that is about to be started for the first time.
    pub(super) fn new(begin: Instant) -> Self {
        SimulatedController {
            incarnation: 0,
            handle: None,
            tasks: Vec::new(),
            restart_at: Some(begin),
            refused_until: begin,
            state_service_unreachable_until: begin,
            isolated_until: begin,
            stalls: stalls::Stalls::new(begin),
        }
    }
}

/// Identifies a task: the id of its job and its index.
pub(super) type TaskKey = (String, u32);

/// The state of a task on a worker.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum RunState {
    /// The image is being fetched until this time.
    Fetching(Instant),
    /// The task has been running since this time.
    Running(Instant),
    /// The task has ended; the cause is named as in the protocol.
    Exited(&'static str),
}

/// An attempt of a task on a worker.
#[derive(Debug, Clone)]
pub(super) struct RunningTask {
    pub(super) attempt: u64,
    pub(super) state: RunState,
}

impl RunningTask {
    /// Whether the task has not ended.
    pub(super) fn is_live(&self) -> bool {
        !matches!(self.state, RunState::Exited(_))
    }
}

/// A machine and its worker process.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) zone: &'static str,
    pub(super) spot: bool,
    pub(super) address: SocketAddr,
    pub(super) provisioned_at: Instant,
    /// When its boot ends.
    pub(super) up_at: Instant,
    /// When it was deleted or preempted.
    pub(super) gone_at: Option<Instant>,
    /// Number of leases so far; each expiry of a lease begins a new incarnation.
    pub(super) incarnation: u64,
    /// Sequence number of the last heartbeat.
    pub(super) sequence: u64,
    /// The highest fencing token that it has received.
    pub(super) fencing_token: u64,
    /// Start of the lease: when the last heartbeat that was replied to was sent, or the
    /// incarnation began.
    pub(super) lease_from: Instant,
    pub(super) tasks: Vec<(TaskKey, RunningTask)>,
    /// The controller to which it sends heartbeats.
    pub(super) target: usize,
    pub(super) next_heartbeat: Instant,
    /// Whether a heartbeat awaits its reply.
    pub(super) in_flight: bool,
    /// Whether its tasks or its fencing token have changed since the last heartbeat, which makes
    /// the next one due soon.
    pub(super) changed: bool,
    /// It receives no replies and no pushed commands until this time.
    pub(super) one_way_partitioned_until: Instant,
    /// Its heartbeats and their replies are lost until this time.
    pub(super) heartbeats_lost_until: Instant,
    /// The machine and its tasks are stalled until this time.
    pub(super) hung_until: Instant,
    /// Pushed commands that arrived while it was stalled.
    pub(super) held_commands: Vec<Vec<u8>>,
    /// When it last had a live task.
    pub(super) empty_since: Instant,
}

/// One process of a controller: its index in the cluster and its incarnation.
pub type Process = (usize, u16);

/// The terminal state of a job, as first reported to its user.
#[derive(Debug)]
pub(super) struct TerminalState {
    /// The state, named as in the protocol.
    pub(super) state: &'static str,
    pub(super) reported_at: Instant,
    /// The processes that have reported it, each with the sequence number of its first such
    /// answer.
    pub(super) reporters: BTreeMap<Process, u64>,
}

/// When a request was sent, which process answered it, and the position of the answer among all
/// answers.
#[derive(Debug, Clone, Copy)]
pub struct Origin {
    /// When the request was sent.
    pub sent: Instant,
    /// The process that answered it.
    pub process: Process,
    /// Sequence number of the answer, over all controllers.
    pub order: u64,
}

/// A job, and what its user knows about it.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) spec: JobSpec,
    /// How long each task runs.
    pub(super) run: Duration,
    /// Whether it was submitted at least once.
    pub(super) submitted: bool,
    /// When its user first learned that it was accepted.
    pub(super) accepted: Option<Instant>,
    /// Whether it was rejected permanently.
    pub(super) rejected: bool,
    /// When its user starts to request its cancellation.
    pub(super) cancel_from: Option<Instant>,
    /// When its user first learned that it was cancelled.
    pub(super) cancelled: Option<Instant>,
    pub(super) terminal: Option<TerminalState>,
    /// When its user last got an answer about it.
    pub(super) last_answer_at: Instant,
    /// The controllers that have answered 200 to a request sent after the end of the faults.
    pub(super) answered_by: BTreeSet<usize>,
    /// When its user sends the next request.
    pub(super) next: Instant,
    /// Whether a request of its user awaits its answer.
    pub(super) in_flight: bool,
    /// Indices of the tasks that workers have run to completion.
    pub(super) done: BTreeSet<u32>,
    /// Since when it has waited although an idle machine could run it within its team's quota.
    pub(super) passed_over_since: Option<Instant>,
}

impl Job {
    /// A job that its user is about to submit.
    pub(super) fn new(now: Instant, spec: JobSpec, run_s: f64, cancel_from: Option<Instant>) -> Self {
        Job {
            run: seconds(run_s),
            submitted: false,
            accepted: None,
            rejected: false,
            cancel_from,
            cancelled: None,
            terminal: None,
            last_answer_at: now,
            answered_by: BTreeSet::new(),
            next: now,
            in_flight: false,
            done: BTreeSet::new(),
            passed_over_since: None,
            spec,
        }
    }

    /// Whether any of its tasks has not run to completion.
    pub(super) fn has_unfinished_tasks(&self) -> bool {
        (self.done.len() as u32) < self.spec.task_count
    }
}

/// A fault that affects random events until it ends.
#[derive(Debug, Clone, Copy)]
pub(super) struct RandomFault {
    /// Probability that an event is affected.
    pub(super) probability: f64,
    pub(super) until: Instant,
}

impl RandomFault {
    /// A fault that has not begun.
    pub(super) fn inactive(begin: Instant) -> Self {
        RandomFault { probability: 0.0, until: begin }
    }

    /// Whether the fault affects an event at this time. Draws a random number only while it lasts.
    pub(super) fn affects(self, now: Instant, rng: &mut SmallRng) -> bool {
        now < self.until && rng.random_bool(self.probability)
    }
}

/// A request to watch keys, held open by the state service.
pub(super) struct Watch {
    pub(super) controller: usize,
    /// Incarnation of the controller that sent it.
    pub(super) incarnation: u16,
    pub(super) prefix: String,
    /// The revision after which changes are reported.
    pub(super) from: u64,
    pub(super) until: Instant,
    pub(super) reply: oneshot::Sender<Result<Response, ClientError>>,
}
