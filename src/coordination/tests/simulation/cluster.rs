//! The state of the simulated cluster: controllers, workers, jobs as their users see them,
//! and the faults that strike at random.

use super::*;

/// One controller of the cluster; a restart gives it a new incarnation.
pub(super) struct SimulatedController {
    /// Number of starts so far; part of the addresses of the running process.
    pub(super) incarnation: u16,
    /// Takes requests; none while the controller is down.
    pub(super) handle: Option<ControllerHandle>,
    /// The tasks of the runtime that a crash ends.
    pub(super) tasks: Vec<AbortHandle>,
    /// When it is started, if it is down.
    pub(super) restart_at: Option<Instant>,
    /// Until then the state service answers its requests with an error.
    pub(super) refused_until: Instant,
    /// Until then its requests to the state service are lost.
    pub(super) cut_until: Instant,
    /// Until then no other controller reaches it, nor it another.
    pub(super) isolated_until: Instant,
    /// Until when it is stalled: none of its code runs, its clocks do.
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
            cut_until: begin,
            isolated_until: begin,
            stalls: stalls::Stalls::new(begin),
        }
    }
}

/// A task: its job's id and its index.
pub(super) type TaskKey = (String, u32);

/// What a worker does with a task.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum RunState {
    /// It fetches the image until then.
    Fetching(Instant),
    /// It has run since then.
    Running(Instant),
    /// It has ended, for this cause in the words of the protocol.
    Exited(&'static str),
}

/// An attempt of a task on a worker.
#[derive(Debug, Clone)]
pub(super) struct RunningTask {
    pub(super) attempt: u64,
    pub(super) state: RunState,
}

impl RunningTask {
    /// It has not ended.
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
    /// The end of its boot.
    pub(super) up_at: Instant,
    /// When it was deleted or preempted.
    pub(super) gone_at: Option<Instant>,
    /// Number of leases that it has had; each end of a lease begins another.
    pub(super) incarnation: u64,
    /// Sequence of the last heartbeat.
    pub(super) sequence: u64,
    /// The highest fencing token that it has received.
    pub(super) fencing_token: u64,
    /// When the last answered heartbeat was sent, or the incarnation began.
    pub(super) lease_from: Instant,
    pub(super) tasks: Vec<(TaskKey, RunningTask)>,
    /// The controller to which it sends heartbeats.
    pub(super) target: usize,
    pub(super) next_heartbeat: Instant,
    /// A heartbeat awaits its reply.
    pub(super) in_flight: bool,
    /// Its tasks or its fencing token have changed since the last heartbeat, so that the next
    /// is due soon.
    pub(super) changed: bool,
    /// Until then it receives no replies and no pushed commands.
    pub(super) one_way_partitioned_until: Instant,
    /// Until then its heartbeats are lost, and their replies.
    pub(super) heartbeats_lost_until: Instant,
    /// Until then it is stalled, with what it runs.
    pub(super) hung_until: Instant,
    /// Pushed commands that arrived while it was stalled.
    pub(super) held_commands: Vec<Vec<u8>>,
    /// When it last had a live task.
    pub(super) empty_since: Instant,
}

/// One process of a controller: its index in the cluster and its incarnation.
pub type Process = (usize, u16);

/// A terminal state as a user was first answered it.
#[derive(Debug)]
pub(super) struct TerminalState {
    /// In the words of the protocol.
    pub(super) standing: &'static str,
    pub(super) at: Instant,
    /// Which processes have answered it, and the number of the first such answer in the order
    /// in which answers were sent.
    pub(super) by: BTreeMap<Process, u64>,
}

/// When and by whom an answer was sent.
#[derive(Debug, Clone, Copy)]
pub struct Origin {
    /// When the request was sent.
    pub sent: Instant,
    /// Who answered it.
    pub process: Process,
    /// The answer's number in the order in which answers were sent.
    pub order: u64,
}

/// A job, and what its user knows of it.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) spec: JobSpec,
    /// How long each task runs.
    pub(super) run: Duration,
    /// It was submitted at least once.
    pub(super) asked: bool,
    /// When its user was first answered that it is accepted.
    pub(super) accepted: Option<Instant>,
    /// It was rejected for good.
    pub(super) given_up: bool,
    /// From when on its user wants it cancelled.
    pub(super) cancel_from: Option<Instant>,
    /// When its user was first answered that it is cancelled.
    pub(super) cancelled: Option<Instant>,
    pub(super) terminal: Option<TerminalState>,
    /// When its user last got an answer about it.
    pub(super) answered: Instant,
    /// When its user sends the next request.
    pub(super) next: Instant,
    /// A request of its user awaits its answer.
    pub(super) in_flight: bool,
    /// Indices of the tasks that workers have run to their end.
    pub(super) done: BTreeSet<u32>,
    /// Since when it has waited although a machine had free capacity and its team was within
    /// its quota.
    pub(super) passed_over: Option<Instant>,
}

impl Job {
    /// A job that its user is about to submit.
    pub(super) fn new(now: Instant, spec: JobSpec, run_s: f64, cancel_from: Option<Instant>) -> Self {
        Job {
            run: seconds(run_s),
            asked: false,
            accepted: None,
            given_up: false,
            cancel_from,
            cancelled: None,
            terminal: None,
            answered: now,
            next: now,
            in_flight: false,
            done: BTreeSet::new(),
            passed_over: None,
            spec,
        }
    }

    /// Not all of its tasks have been run to their end.
    pub(super) fn has_unfinished_tasks(&self) -> bool {
        (self.done.len() as u32) < self.spec.task_count
    }
}

/// A fault that strikes a share of what happens, until it ends.
#[derive(Debug, Clone, Copy)]
pub(super) struct RandomFault {
    /// Probability of each event to be struck.
    pub(super) share: f64,
    pub(super) until: Instant,
}

impl RandomFault {
    /// A fault that has not begun.
    pub(super) fn inactive(begin: Instant) -> Self {
        RandomFault { share: 0.0, until: begin }
    }

    /// Whether it strikes an event at that time; draws only while it lasts.
    pub(super) fn strikes(self, now: Instant, rng: &mut SmallRng) -> bool {
        now < self.until && rng.random_bool(self.share)
    }
}

/// A request to watch keys that the state service holds open.
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
