//! The failure detector: which machines are suspected or dead, by their heartbeats.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::config::Config;
use crate::coordination::fleet::machine::{Machine, Phase};
use crate::coordination::fleet::machine_table::MachineTable;
use crate::maps::HashMap;

/// After so many intervals the next heartbeat of a machine is surely overdue: it may come a
/// quarter late, and its packets a little more.
const OVERDUE_INTERVALS: f64 = 1.6;
/// Late heartbeats are few while at most one machine in so many is late.
const MACHINES_PER_LATE_ONE: usize = 10;

/// Which machines are silent at one moment, and whether that can be believed.
///
/// Silence may be the fault of the machine, of the network of its zone, or of this side.
/// Where most others of its zone are live it is the machine's. A zone that is mostly silent
/// is more likely partitioned: heartbeats of its machines may arrive again, by another way or
/// once the partition has healed, and the machines keep what they have for a lease. If most of
/// all machines are silent, the fault is taken to be on this side: a leader that has lost its
/// workers gets their heartbeats again one by one, and the first few must not make the others
/// seem dead. If no machine is live at all, nothing follows. Where all but a few have been
/// live for a while, a single missed heartbeat is enough: what was lost starts elsewhere the
/// sooner.
pub(crate) struct FailureDetector {
    now: Instant,
    /// Since when this leader could have received heartbeats.
    listening_since: Instant,
    /// How long silence must last to be believed, as things are.
    suspicion_timeout: Duration,
    /// At least one machine is live.
    any_live: bool,
    /// The workers' lease.
    lease: Duration,
    zones: HashMap<String, ZoneCount>,
}

/// The machines of a zone.
#[derive(Debug, Default, Clone, Copy)]
struct ZoneCount {
    /// Those that are up.
    up: usize,
    /// Those of them whose heartbeats arrive in time.
    live: usize,
}

impl FailureDetector {
    /// Whether the machine's last heartbeat is more than `timeout` ago. A leader counts from
    /// when it began to listen, at the earliest.
    fn is_overdue_by(&self, machine: &Machine, timeout: Duration) -> bool {
        let last = machine.agent.heartbeat_at.map_or(self.listening_since, |at| at.max(self.listening_since));
        machine.phase == Phase::Up && self.now > last + timeout
    }

    /// Whether the machine is suspected to have failed: its capacity is not counted on for
    /// now.
    pub(crate) fn is_suspected(&self, machine: &Machine) -> bool {
        self.any_live && self.is_overdue_by(machine, self.suspicion_timeout)
    }

    /// Whether the machine is not coming back, and is to be deleted.
    pub(crate) fn is_dead(&self, machine: &Machine) -> bool {
        let zone = self.zones.get(&machine.zone).copied().unwrap_or_default();
        let is_zone_live = is_majority(zone.live, zone.up);
        self.is_suspected(machine) && (is_zone_live || self.is_overdue_by(machine, self.lease))
    }
}

/// Whether so many of all are the rule, not the exception.
fn is_majority(count: usize, all: usize) -> bool {
    count * 2 >= all
}

/// When the next heartbeat of a machine is surely overdue: between two thirds of the policy's
/// timeout and all of it.
fn heartbeat_timeout(config: &Config) -> Duration {
    let silence = config.tuning.suspicion_timeout;
    let interval = config.settings.cluster.workers.heartbeat_interval();
    interval.mul_f64(OVERDUE_INTERVALS).max(silence * 2 / 3).min(silence)
}

/// What a leader remembers of how well its workers' heartbeats arrive.
#[derive(Debug)]
pub(crate) struct Liveness {
    /// Since when this leader has replied to heartbeats without a break.
    listening_since: Instant,
    /// Since when all but a few machines have been live.
    mostly_live_since: Option<Instant>,
}

impl Liveness {
    /// A leader begins to listen.
    pub(crate) fn new(now: Instant) -> Self {
        Liveness { listening_since: now, mostly_live_since: None }
    }

    /// The leader listens again after a break: silence during the break proves nothing.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.listening_since = now;
    }

    /// Whether the heartbeats of all but a few machines arrive in time.
    pub(crate) fn is_mostly_live(&self) -> bool {
        self.mostly_live_since.is_some()
    }

    /// The failure detector for this moment.
    pub(crate) fn detector(&self, now: Instant, config: &Config, machines: &MachineTable) -> FailureDetector {
        let (overdue, lease) = (heartbeat_timeout(config), config.settings.cluster.workers.lease());
        let mut detector = FailureDetector {
            now,
            listening_since: self.listening_since,
            suspicion_timeout: config.tuning.suspicion_timeout,
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

    /// Notes since when the heartbeats of all but a few machines have arrived in time.
    pub(crate) fn record(&mut self, now: Instant, config: &Config, machines: &MachineTable) {
        let detector = self.detector(now, config, machines);
        let overdue = heartbeat_timeout(config);
        let up = machines.values().filter(|machine| machine.phase == Phase::Up);
        let late = up.clone().filter(|machine| detector.is_overdue_by(machine, overdue)).count();
        if late * MACHINES_PER_LATE_ONE > up.count() {
            self.mostly_live_since = None;
        } else {
            self.mostly_live_since.get_or_insert(now);
        }
    }
}
