//! The fault schedule of a run. It is determined by the seed alone.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::kv_server::KvFault;
use super::network::Delivery;
use super::processes::Cut;
use super::workers::MachineFault;

/// The controller that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Target {
    /// The leader according to the key-value store when the fault begins.
    Leader,
    /// The controller that sent the triggering response; the leader if there was none.
    Responder,
    /// The controller with this index.
    Index(usize),
}

/// A fault and its parameters.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// A controller is killed, and restarted later.
    Kill { target: Target, restart_after: Duration },
    /// All controllers are killed, and restarted later.
    KillAll { restart_after: Duration },
    /// A controller's process is stopped with SIGSTOP, and resumed later.
    Stall { target: Target, duration: Duration },
    /// A controller is cut off from the key-value store and, if `peers`, from the other
    /// controllers.
    CutKv { target: Target, cut: Cut, peers: bool, duration: Duration },
    /// A controller is cut off from the other controllers.
    CutPeers { target: Target, cut: Cut, duration: Duration },
    /// A controller is cut off from the workers.
    CutWorkers { target: Target, cut: Cut, duration: Duration },
    /// A controller's responses to workers are delayed or lost.
    WorkerResponses { target: Target, delivery: Delivery, duration: Duration },
    /// All traffic between controllers is delayed.
    DelayPeers { by: Duration, duration: Duration },
    /// The key-value store refuses requests from one controller.
    RefuseKv { target: Target, duration: Duration },
    /// A fault of the key-value store.
    KvStore(KvFault),
    /// The cloud refuses every request.
    CloudOutage { duration: Duration },
    /// A share of the machines has a fault.
    Machines { share: f64, fault: MachineFault },
    /// A share of the machines is terminated, with all tasks on them.
    TerminateMachines { share: f64 },
    /// Users cancel a share of their accepted jobs at once.
    CancelMany { share: f64 },
}

impl Fault {
    /// How long the fault lasts after its beginning, with the delayed messages that it causes.
    pub fn duration(&self) -> Duration {
        match *self {
            Fault::Kill { restart_after, .. } | Fault::KillAll { restart_after } => restart_after,
            Fault::Stall { duration, .. }
            | Fault::CutKv { duration, .. }
            | Fault::CutPeers { duration, .. }
            | Fault::CutWorkers { duration, .. }
            | Fault::WorkerResponses { duration, .. }
            | Fault::DelayPeers { duration, .. }
            | Fault::RefuseKv { duration, .. }
            | Fault::CloudOutage { duration } => duration,
            Fault::KvStore(fault) => fault.duration(),
            Fault::Machines { fault, .. } => fault.duration(),
            Fault::TerminateMachines { .. } | Fault::CancelMany { .. } => Duration::ZERO,
        }
    }
}

/// The kind of response that a fault waits for after its planned time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trigger {
    /// A response that confirms the cancellation of a job.
    CancellationConfirmed,
    /// A response that accepts a job.
    JobAccepted,
    /// A response that reports a job as done; its dependents become ready at about that time.
    JobDone,
}

/// A fault and when it begins.
#[derive(Debug, Clone, Copy)]
pub struct PlannedFault {
    /// Planned time, since the beginning of the run.
    pub at: Duration,
    /// The kind of response that it waits for after that time, if any.
    pub trigger: Option<Trigger>,
    /// The fault.
    pub fault: Fault,
}

fn random_duration(rng: &mut SmallRng, range: std::ops::Range<f64>) -> Duration {
    Duration::from_secs_f64(rng.random_range(range))
}

/// Plans the faults of a run in groups: two or three overlapping faults, losses of successive
/// leaders, or a fault right after a response that a controller must not contradict later. Each
/// group begins within `duration`; its last faults may begin a few seconds later.
pub fn plan(seed: u64, controllers: usize, duration: Duration) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5c4ed);
    let mut planned = Vec::new();
    let mut at = 2.5;
    while at < duration.as_secs_f64() {
        let from = Duration::from_secs_f64(at);
        match rng.random_range(0..6) {
            0 => plan_leader_losses(&mut rng, from, &mut planned),
            1 | 2 => plan_fault_after_response(&mut rng, from, controllers, &mut planned),
            _ => plan_overlapping_faults(&mut rng, from, controllers, &mut planned),
        }
        at += rng.random_range(1.5..5.0);
    }
    planned.sort_by_key(|planned| planned.at);
    planned
}

/// Kills or stops successive leaders, one after the other.
fn plan_leader_losses(rng: &mut SmallRng, from: Duration, planned: &mut Vec<PlannedFault>) {
    let mut at = from;
    for _ in 0..rng.random_range(2..5) {
        let fault = match rng.random_bool(0.6) {
            true => Fault::Kill { target: Target::Leader, restart_after: random_duration(rng, 0.05..2.5) },
            false => Fault::Stall { target: Target::Leader, duration: random_duration(rng, 0.5..6.0) },
        };
        planned.push(PlannedFault { at, trigger: None, fault });
        at += random_duration(rng, 0.3..2.5);
    }
}

/// Plans a fault of a controller right after a response that confirms a cancellation, accepts a job
/// or reports it as done. In the first case, it also plans that many users cancel jobs.
fn plan_fault_after_response(
    rng: &mut SmallRng,
    from: Duration,
    controllers: usize,
    planned: &mut Vec<PlannedFault>,
) {
    let trigger = [
        Trigger::CancellationConfirmed,
        Trigger::CancellationConfirmed,
        Trigger::JobAccepted,
        Trigger::JobDone,
    ][rng.random_range(0..4)];
    if trigger == Trigger::CancellationConfirmed {
        let fault = Fault::CancelMany { share: rng.random_range(0.05..0.4) };
        planned.push(PlannedFault { at: from + Duration::from_millis(50), trigger: None, fault });
    }
    let target = if rng.random_bool(0.5) { Target::Leader } else { Target::Responder };
    let fault = match rng.random_range(0..4) {
        0 => Fault::Kill { target, restart_after: random_duration(rng, 0.05..3.0) },
        1 => Fault::Stall { target, duration: random_duration(rng, 0.8..6.0) },
        2 => Fault::CutKv {
            target,
            cut: random_cut(rng),
            peers: rng.random_bool(0.6),
            duration: random_duration(rng, 1.0..12.0),
        },
        _ => Fault::RefuseKv { target, duration: random_duration(rng, 1.0..12.0) },
    };
    planned.push(PlannedFault { at: from, trigger: Some(trigger), fault });
    if rng.random_bool(0.5) {
        planned.push(PlannedFault {
            at: from + random_duration(rng, 0.2..1.5),
            trigger: None,
            fault: random_fault(rng, controllers),
        });
    }
}

/// Plans two or three overlapping faults.
fn plan_overlapping_faults(
    rng: &mut SmallRng,
    from: Duration,
    controllers: usize,
    planned: &mut Vec<PlannedFault>,
) {
    for _ in 0..rng.random_range(2..4) {
        let fault = random_fault(rng, controllers);
        planned.push(PlannedFault { at: from + random_duration(rng, 0.0..1.5), trigger: None, fault });
    }
}

fn random_cut(rng: &mut SmallRng) -> Cut {
    [Cut::Held, Cut::Lost, Cut::Refused][rng.random_range(0..3)]
}

fn random_fault(rng: &mut SmallRng, controllers: usize) -> Fault {
    let duration = random_duration(rng, 0.5..9.0);
    let (share, cut) = (rng.random_range(0.1..0.5), random_cut(rng));
    let target =
        if rng.random_bool(0.6) { Target::Leader } else { Target::Index(rng.random_range(0..controllers)) };
    match rng.random_range(0..22) {
        0 | 1 => Fault::Kill { target, restart_after: random_duration(rng, 0.05..3.0) },
        2 => Fault::KillAll { restart_after: random_duration(rng, 0.05..3.0) },
        3 | 4 => Fault::Stall { target, duration },
        5 => Fault::CutKv { target, cut, peers: rng.random_bool(0.5), duration },
        6 => Fault::CutPeers { target, cut, duration },
        7 => Fault::CutWorkers { target, cut, duration },
        8 => {
            let deliveries =
                [Delivery::Lost, Delivery::Delayed(random_duration(rng, 0.2..3.5)), Delivery::Held];
            Fault::WorkerResponses { target, delivery: deliveries[rng.random_range(0..3)], duration }
        }
        9 => Fault::DelayPeers { by: random_duration(rng, 0.05..1.0), duration },
        10 => Fault::RefuseKv { target, duration },
        11 => Fault::KvStore(KvFault::Outage { duration }),
        12 => Fault::KvStore(KvFault::DelayedWrites { share, duration }),
        13 => Fault::KvStore(KvFault::LostResponses { share, duration }),
        14 => Fault::KvStore(KvFault::DuplicatedWrites { share, duration }),
        15 => Fault::KvStore(KvFault::DelayedResponses { share, duration }),
        16 => Fault::CloudOutage { duration },
        17 => Fault::Machines { share, fault: MachineFault::OneWayPartition { duration } },
        18 => Fault::Machines { share, fault: MachineFault::HeartbeatsLost { duration } },
        19 => Fault::Machines { share, fault: MachineFault::Hang { duration } },
        20 => Fault::Machines {
            share,
            fault: MachineFault::DuplicatedHeartbeats { share, duration: duration * 2 },
        },
        _ => Fault::TerminateMachines { share: share / 3.0 },
    }
}
