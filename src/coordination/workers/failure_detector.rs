//! Which machines have fallen silent, and what follows from it.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::config::Config;
use crate::coordination::fleet::machine::{Machine, Phase};
use crate::coordination::fleet::machine_table::MachineTable;
use crate::maps::HashMap;

/// Which machines have fallen silent, and whether that can be believed.
///
/// Silence may be the fault of the machine, of the way from its zone, or of this
/// side. Where most others of its zone are heard it is the machine's. A zone that
/// is mostly silent is more likely cut off: its machines may be heard of again,
/// by another way or once the cut is over, and keep what they have for a lease.
/// If most of all machines are silent, the fault is taken to be on this side: a
/// leader that loses its workers hears of them again one by one, and the first
/// few must not make the others seem dead. If nobody is heard at all, nothing
/// follows. Where all but a few have been heard for a while, a missed report is
/// enough: what was lost starts elsewhere the sooner.
pub(crate) struct FailureDetector {
    now: Instant,
    /// Since when this leader could have heard anybody.
    listening_since: Instant,
    /// How long silence must last to be believed, as things are.
    suspicion_timeout: Duration,
    any_live: bool,
    lease: Duration,
    zones: HashMap<String, ZoneCount>,
}

/// The machines of a zone.
#[derive(Debug, Default, Clone, Copy)]
struct ZoneCount {
    /// Those that are up.
    up: usize,
    /// Those of them that have been heard in time.
    live: usize,
}

impl FailureDetector {
    fn is_overdue_by(&self, m: &Machine, time: Duration) -> bool {
        m.phase == Phase::Up
            && self.now
                > m.agent.heartbeat_at.map_or(self.listening_since, |h| h.max(self.listening_since)) + time
    }

    /// Nothing is to be expected of it for now.
    pub(crate) fn is_suspected(&self, m: &Machine) -> bool {
        self.any_live && self.is_overdue_by(m, self.suspicion_timeout)
    }

    /// It is not coming back: to be returned.
    pub(crate) fn is_dead(&self, m: &Machine) -> bool {
        let zone = self.zones.get(&m.zone).copied().unwrap_or_default();
        self.is_suspected(m) && (is_majority(zone.live, zone.up) || self.is_overdue_by(m, self.lease))
    }
}

/// Whether so many of all are the rule, not the exception.
fn is_majority(count: usize, all: usize) -> bool {
    count * 2 >= all
}

/// When the next heartbeat of a machine is surely overdue: it may come a quarter late, and
/// its packets a little more.
fn heartbeat_timeout(config: &Config) -> Duration {
    let silence = config.tuning.silence;
    let interval = config.settings.cluster.workers.report();
    interval.mul_f64(1.6).max(silence * 2 / 3).min(silence)
}

/// What a leader remembers of how well it hears its workers.
#[derive(Debug)]
pub(crate) struct Liveness {
    /// Since when this leader has replied to heartbeats without a break.
    listening_since: Instant,
    /// Since when all but a few machines have been heard in time.
    mostly_live_since: Option<Instant>,
}

impl Liveness {
    /// A leader begins to listen.
    pub(crate) fn new(now: Instant) -> Self {
        Liveness { listening_since: now, mostly_live_since: None }
    }

    /// The leader listens again after a break.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.listening_since = now;
    }

    /// Whether all but a few machines are heard in time.
    pub(crate) fn is_mostly_live(&self) -> bool {
        self.mostly_live_since.is_some()
    }

    /// The failure detector for this moment.
    pub(crate) fn detector(&self, now: Instant, config: &Config, machines: &MachineTable) -> FailureDetector {
        let (overdue, lease) = (heartbeat_timeout(config), config.settings.cluster.workers.lease());
        let mut detector = FailureDetector {
            now,
            listening_since: self.listening_since,
            suspicion_timeout: config.tuning.silence,
            any_live: false,
            lease,
            zones: HashMap::default(),
        };
        for machine in machines.values().filter(|machine| machine.phase == Phase::Up) {
            let is_live = !detector.is_overdue_by(machine, detector.suspicion_timeout);
            let zone = detector.zones.entry(machine.zone.clone()).or_default();
            zone.up += 1;
            zone.live += usize::from(is_live);
        }
        let up: usize = detector.zones.values().map(|zone| zone.up).sum();
        let live: usize = detector.zones.values().map(|zone| zone.live).sum();
        detector.any_live = live > 0;
        if !is_majority(live, up) {
            detector.suspicion_timeout = lease;
        } else if self.mostly_live_since.is_some_and(|at| now >= at + overdue) {
            detector.suspicion_timeout = overdue;
        }
        detector
    }

    /// Notes since when all but a few machines have been heard in time.
    pub(crate) fn record(&mut self, now: Instant, config: &Config, machines: &MachineTable) {
        let detector = self.detector(now, config, machines);
        let overdue = heartbeat_timeout(config);
        let up = machines.values().filter(|machine| machine.phase == Phase::Up);
        let late = up.clone().filter(|machine| detector.is_overdue_by(machine, overdue)).count();
        if late * 10 > up.count() {
            self.mostly_live_since = None;
        } else {
            self.mostly_live_since.get_or_insert(now);
        }
    }
}
