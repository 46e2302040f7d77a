//! The faults of a run, and when they begin. They follow from the seed alone.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::kv_server::KvFault;
use super::network::Delivery;
use super::processes::Cut;
use super::workers::MachineFault;

/// Which controller a fault hits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Target {
    /// The one that leads by the key-value store's data when the fault begins.
    Leader,
    /// The one that sent the response that the fault waits for; else the leader.
    Responder,
    /// The one with this index.
    Index(usize),
}

/// A fault, and for how long it lasts.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// A controller is killed, and started again later.
    Kill {
        target: Target,
        back_after: Duration,
    },
    /// All controllers are killed, and started again later.
    KillAll {
        back_after: Duration,
    },
    /// A controller's process is stopped (SIGSTOP), and continued later.
    Pause {
        target: Target,
        lasts: Duration,
    },
    /// A controller is cut from the key-value store and, if `peers`, from other controllers.
    CutKv {
        target: Target,
        cut: Cut,
        peers: bool,
        lasts: Duration,
    },
    /// A controller is cut from the other controllers.
    CutPeers {
        target: Target,
        cut: Cut,
        lasts: Duration,
    },
    /// Workers are cut from a controller.
    CutWorkers {
        target: Target,
        cut: Cut,
        lasts: Duration,
    },
    /// A controller's responses to workers are delayed or lost.
    WorkerResponses {
        target: Target,
        delivery: Delivery,
        lasts: Duration,
    },
    /// All traffic between controllers is delayed.
    DelayPeers {
        by: Duration,
        lasts: Duration,
    },
    /// The key-value store refuses one controller.
    RefuseKv {
        target: Target,
        lasts: Duration,
    },
    KvStore(KvFault),
    /// The cloud refuses every request.
    CloudOutage {
        lasts: Duration,
    },
    /// A share of the machines has a fault.
    Machines {
        share: f64,
        fault: MachineFault,
    },
    /// A share of the machines is lost.
    EndMachines {
        share: f64,
    },
    /// Users cancel a share of their unfinished jobs at once.
    CancelMany {
        share: f64,
    },
}

/// The response that a fault waits for once its time has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trigger {
    /// One that says that a job is cancelled.
    CancellationConfirmed,
    /// One that says that a job is accepted.
    JobAccepted,
    /// One that says that a job is done; its dependents become ready about then.
    JobDone,
}

/// A fault and when it begins.
#[derive(Debug, Clone, Copy)]
pub struct PlannedFault {
    /// When its time comes, since the beginning of the run.
    pub at: Duration,
    /// What it then waits for, if anything.
    pub trigger: Option<Trigger>,
    /// What happens.
    pub fault: Fault,
}

fn seconds(rng: &mut SmallRng, range: std::ops::Range<f64>) -> Duration {
    Duration::from_secs_f64(rng.random_range(range))
}

/// Two or three overlapping faults at a time, successive losses of the leader, and faults right
/// after a response by which a controller is bound. Faults begin within `lasts`.
pub fn plan(seed: u64, controllers: usize, lasts: Duration) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5c4ed);
    let mut planned = Vec::new();
    let mut at = 2.5;
    while at < lasts.as_secs_f64() {
        let from = Duration::from_secs_f64(at);
        match rng.random_range(0..6) {
            0 => successive_leaders(&mut rng, from, &mut planned),
            1 | 2 => after_response(&mut rng, from, controllers, &mut planned),
            _ => overlapping(&mut rng, from, controllers, &mut planned),
        }
        at += rng.random_range(1.5..5.0);
    }
    planned.sort_by_key(|planned| planned.at);
    planned
}

/// Successive leaders are killed or stopped, one after the other.
fn successive_leaders(rng: &mut SmallRng, from: Duration, planned: &mut Vec<PlannedFault>) {
    let mut at = from;
    for _ in 0..rng.random_range(2..5) {
        let fault = match rng.random_bool(0.6) {
            true => Fault::Kill { target: Target::Leader, back_after: seconds(rng, 0.05..2.5) },
            false => Fault::Pause { target: Target::Leader, lasts: seconds(rng, 0.5..6.0) },
        };
        planned.push(PlannedFault { at, trigger: None, fault });
        at += seconds(rng, 0.3..2.5);
    }
}

/// A fault hits a controller right after a response: one that confirms a cancellation, once many
/// users cancel, or one that accepts a job or says that it is done.
fn after_response(rng: &mut SmallRng, from: Duration, controllers: usize, planned: &mut Vec<PlannedFault>) {
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
        0 => Fault::Kill { target, back_after: seconds(rng, 0.05..3.0) },
        1 => Fault::Pause { target, lasts: seconds(rng, 0.8..6.0) },
        2 => Fault::CutKv {
            target,
            cut: any_cut(rng),
            peers: rng.random_bool(0.6),
            lasts: seconds(rng, 1.0..12.0),
        },
        _ => Fault::RefuseKv { target, lasts: seconds(rng, 1.0..12.0) },
    };
    planned.push(PlannedFault { at: from, trigger: Some(trigger), fault });
    if rng.random_bool(0.5) {
        planned.push(PlannedFault {
            at: from + seconds(rng, 0.2..1.5),
            trigger: None,
            fault: any_fault(rng, controllers),
        });
    }
}

/// Two or three faults that overlap.
fn overlapping(rng: &mut SmallRng, from: Duration, controllers: usize, planned: &mut Vec<PlannedFault>) {
    for _ in 0..rng.random_range(2..4) {
        let fault = any_fault(rng, controllers);
        planned.push(PlannedFault { at: from + seconds(rng, 0.0..1.5), trigger: None, fault });
    }
}

fn any_cut(rng: &mut SmallRng) -> Cut {
    [Cut::Held, Cut::Lost, Cut::Refused][rng.random_range(0..3)]
}

fn any_fault(rng: &mut SmallRng, controllers: usize) -> Fault {
    let lasts = seconds(rng, 0.5..9.0);
    let (share, cut) = (rng.random_range(0.1..0.5), any_cut(rng));
    let target =
        if rng.random_bool(0.6) { Target::Leader } else { Target::Index(rng.random_range(0..controllers)) };
    match rng.random_range(0..22) {
        0 | 1 => Fault::Kill { target, back_after: seconds(rng, 0.05..3.0) },
        2 => Fault::KillAll { back_after: seconds(rng, 0.05..3.0) },
        3 | 4 => Fault::Pause { target, lasts },
        5 => Fault::CutKv { target, cut, peers: rng.random_bool(0.5), lasts },
        6 => Fault::CutPeers { target, cut, lasts },
        7 => Fault::CutWorkers { target, cut, lasts },
        8 => {
            let deliveries = [Delivery::Lost, Delivery::Delayed(seconds(rng, 0.2..3.5)), Delivery::Held];
            Fault::WorkerResponses { target, delivery: deliveries[rng.random_range(0..3)], lasts }
        }
        9 => Fault::DelayPeers { by: seconds(rng, 0.05..1.0), lasts },
        10 => Fault::RefuseKv { target, lasts },
        11 => Fault::KvStore(KvFault::Outage { lasts }),
        12 => Fault::KvStore(KvFault::LateWrites { share, lasts }),
        13 => Fault::KvStore(KvFault::LostResponses { share, lasts }),
        14 => Fault::KvStore(KvFault::DoubledWrites { share, lasts }),
        15 => Fault::KvStore(KvFault::SlowResponses { share, lasts }),
        16 => Fault::CloudOutage { lasts },
        17 => Fault::Machines { share, fault: MachineFault::LosesIncoming { lasts } },
        18 => Fault::Machines { share, fault: MachineFault::LosesOutgoing { lasts } },
        19 => Fault::Machines { share, fault: MachineFault::Hang { lasts } },
        20 => Fault::Machines { share, fault: MachineFault::LateHeartbeats { share, lasts: lasts * 2 } },
        _ => Fault::EndMachines { share: share / 3.0 },
    }
}
