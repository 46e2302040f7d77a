//! What goes wrong in a run, and when: it follows from the seed alone.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::network::Passage;
use super::processes::Cut;
use super::state_service;
use super::workers;

/// Which controller a fault hits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Whom {
    /// The one that leads by the state service's word at that moment.
    Leader,
    /// The one that gave the answer that the fault waits for; else the leader.
    Answering,
    Number(usize),
}

#[derive(Debug, Clone, Copy)]
pub enum Fault {
    Kill {
        whom: Whom,
        back: Duration,
    },
    KillAll {
        back: Duration,
    },
    Pause {
        whom: Whom,
        lasts: Duration,
    },
    CutState {
        whom: Whom,
        cut: Cut,
        peers: bool,
        lasts: Duration,
    },
    CutPeers {
        whom: Whom,
        cut: Cut,
        lasts: Duration,
    },
    CutWorkers {
        whom: Whom,
        cut: Cut,
        lasts: Duration,
    },
    SpoilAnswers {
        whom: Whom,
        back: Passage,
        lasts: Duration,
    },
    DelayPeers {
        by: Duration,
        lasts: Duration,
    },
    /// With the leader alone.
    RefuseState {
        whom: Whom,
        lasts: Duration,
    },
    State(state_service::Mishap),
    CloudDown {
        lasts: Duration,
    },
    Machines {
        share: f64,
        mishap: workers::Mishap,
    },
    MachinesDie {
        share: f64,
    },
    CallOff {
        share: f64,
    },
}

/// What a fault waits for once its time has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Moment {
    /// A user was told that a job is cancelled.
    Confirmed,
    Accepted,
    /// A user was told that a job is done; those that await it are released about then.
    Settled,
}

#[derive(Debug, Clone, Copy)]
pub struct Planned {
    pub at: Duration,
    pub moment: Option<Moment>,
    pub fault: Fault,
}

fn seconds(r: &mut SmallRng, range: std::ops::Range<f64>) -> Duration {
    Duration::from_secs_f64(r.random_range(range))
}

/// Sequences of two or three overlapping faults, leaders lost in series, and faults aimed
/// at moments after which something must hold.
pub fn plan(seed: u64, controllers: usize, lasts: Duration) -> Vec<Planned> {
    let mut r = SmallRng::seed_from_u64(seed ^ 0x5c4ed);
    let mut planned = Vec::new();
    let mut at = 2.5;
    while at < lasts.as_secs_f64() {
        let from = Duration::from_secs_f64(at);
        match r.random_range(0..6) {
            0 => series(&mut r, from, &mut planned),
            1 | 2 => aimed(&mut r, from, controllers, &mut planned),
            _ => overlapping(&mut r, from, controllers, &mut planned),
        }
        at += r.random_range(1.5..5.0);
    }
    planned.sort_by_key(|planned| planned.at);
    planned
}

/// Leaders end, or stand still, one after the other.
fn series(r: &mut SmallRng, from: Duration, planned: &mut Vec<Planned>) {
    let mut at = from;
    for _ in 0..r.random_range(2..5) {
        let fault = match r.random_bool(0.6) {
            true => Fault::Kill { whom: Whom::Leader, back: seconds(r, 0.05..2.5) },
            false => Fault::Pause { whom: Whom::Leader, lasts: seconds(r, 0.5..6.0) },
        };
        planned.push(Planned { at, moment: None, fault });
        at += seconds(r, 0.3..2.5);
    }
}

/// Many users call off at once, and right after an answer the controller is in trouble.
fn aimed(r: &mut SmallRng, from: Duration, controllers: usize, planned: &mut Vec<Planned>) {
    let moment =
        [Moment::Confirmed, Moment::Confirmed, Moment::Accepted, Moment::Settled][r.random_range(0..4)];
    if moment == Moment::Confirmed {
        let fault = Fault::CallOff { share: r.random_range(0.05..0.4) };
        planned.push(Planned { at: from + Duration::from_millis(50), moment: None, fault });
    }
    let whom = if r.random_bool(0.5) { Whom::Leader } else { Whom::Answering };
    let fault = match r.random_range(0..4) {
        0 => Fault::Kill { whom, back: seconds(r, 0.05..3.0) },
        1 => Fault::Pause { whom, lasts: seconds(r, 0.8..6.0) },
        2 => {
            Fault::CutState { whom, cut: any_cut(r), peers: r.random_bool(0.6), lasts: seconds(r, 1.0..12.0) }
        }
        _ => Fault::RefuseState { whom, lasts: seconds(r, 1.0..12.0) },
    };
    planned.push(Planned { at: from, moment: Some(moment), fault });
    if r.random_bool(0.5) {
        planned.push(Planned { at: from + seconds(r, 0.2..1.5), moment: None, fault: any(r, controllers) });
    }
}

fn overlapping(r: &mut SmallRng, from: Duration, controllers: usize, planned: &mut Vec<Planned>) {
    for _ in 0..r.random_range(2..4) {
        let fault = any(r, controllers);
        planned.push(Planned { at: from + seconds(r, 0.0..1.5), moment: None, fault });
    }
}

fn any_cut(r: &mut SmallRng) -> Cut {
    [Cut::Held, Cut::Lost, Cut::Refused][r.random_range(0..3)]
}

fn any(r: &mut SmallRng, controllers: usize) -> Fault {
    use state_service::Mishap as State;
    use workers::Mishap as Machine;
    let lasts = seconds(r, 0.5..9.0);
    let (share, cut) = (r.random_range(0.1..0.5), any_cut(r));
    let whom = if r.random_bool(0.6) { Whom::Leader } else { Whom::Number(r.random_range(0..controllers)) };
    match r.random_range(0..22) {
        0 | 1 => Fault::Kill { whom, back: seconds(r, 0.05..3.0) },
        2 => Fault::KillAll { back: seconds(r, 0.05..3.0) },
        3 | 4 => Fault::Pause { whom, lasts },
        5 => Fault::CutState { whom, cut, peers: r.random_bool(0.5), lasts },
        6 => Fault::CutPeers { whom, cut, lasts },
        7 => Fault::CutWorkers { whom, cut, lasts },
        8 => {
            let back = [Passage::Lost, Passage::Delayed(seconds(r, 0.2..3.5)), Passage::Held];
            Fault::SpoilAnswers { whom, back: back[r.random_range(0..3)], lasts }
        }
        9 => Fault::DelayPeers { by: seconds(r, 0.05..1.0), lasts },
        10 => Fault::RefuseState { whom, lasts },
        11 => Fault::State(State::Outage { lasts }),
        12 => Fault::State(State::LateWrites { share, lasts }),
        13 => Fault::State(State::LostAnswers { share, lasts }),
        14 => Fault::State(State::DoubledWrites { share, lasts }),
        15 => Fault::State(State::Slow { share, lasts }),
        16 => Fault::CloudDown { lasts },
        17 => Fault::Machines { share, mishap: Machine::Deaf { lasts } },
        18 => Fault::Machines { share, mishap: Machine::Mute { lasts } },
        19 => Fault::Machines { share, mishap: Machine::Hang { lasts } },
        20 => Fault::Machines { share, mishap: Machine::LateReports { share, lasts: lasts * 2 } },
        _ => Fault::MachinesDie { share: share / 3.0 },
    }
}
