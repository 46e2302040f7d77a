//! The failure detector: decides from heartbeats which machines are suspected or dead.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::config::Config;
use crate::coordination::fleet::machine::{Machine, Phase};
use crate::coordination::fleet::machine_table::MachineTable;
use crate::maps::HashMap;

/// Heartbeat intervals after which a machine's next heartbeat is certainly overdue. The worker
/// may send it a quarter of an interval late, and the network adds a little more.
const OVERDUE_INTERVALS: f64 = 1.6;
/// The fleet counts as mostly live while at most one machine in this many is overdue.
const MAX_LATE_DIVISOR: usize = 10;

/// Decides for one moment which silent machines are suspected to have failed, and which are dead.
///
/// A machine is silent while no heartbeats of it arrive. It is overdue once a heartbeat should
/// certainly have arrived, suspected once it has been silent for the suspicion timeout, and dead
/// once its failure is assumed to be final.
///
/// The cause of the silence may be the machine, the network of its zone, or the leader's side:
///
/// - If at least half of the machines of its zone are live, a suspected machine is dead.
/// - A zone that is mostly silent is more likely partitioned. Heartbeats of its machines may
///   arrive again, over another path or after the partition has healed, and the machines keep
///   their tasks for the duration of a lease. They are dead only once they have been silent for
///   that long.
/// - If most machines of the fleet are silent, the fault is assumed to be on the leader's side,
///   and a machine is suspected only once it has been silent for the duration of a lease. A
///   leader that has lost its workers gets their heartbeats back one by one, and the first few
///   must not make the others seem dead.
/// - If no machine is live, no machine is suspected.
/// - If all but a few machines have been live for a while, a single missed heartbeat is enough
///   for suspicion, so that lost tasks are restarted elsewhere sooner.
pub(crate) struct FailureDetector {
    now: Instant,
    /// Since when this leader has accepted heartbeats without a break.
    listening_since: Instant,
    /// How long a machine must be silent to be suspected, given the state of the fleet.
    suspicion_timeout: Duration,
    /// Whether at least one machine is live.
    any_live: bool,
    /// Duration of the workers' lease.
    lease: Duration,
    zones: HashMap<String, ZoneCount>,
}

/// Machine counts of a zone.
#[derive(Debug, Default, Clone, Copy)]
struct ZoneCount {
    /// Machines that are up.
    up: usize,
    /// Machines that are up and whose heartbeats arrive in time.
    live: usize,
}

impl FailureDetector {
    /// Whether the machine's last heartbeat is more than `timeout` ago. The time before the
    /// leader began to listen does not count.
    fn is_overdue_by(&self, machine: &Machine, timeout: Duration) -> bool {
        let last =
            machine.worker.heartbeat_at.map_or(self.listening_since, |at| at.max(self.listening_since));
        machine.phase == Phase::Up && self.now > last + timeout
    }

    /// Whether the machine is suspected to have failed. Its capacity is not counted while it is.
    pub(crate) fn is_suspected(&self, machine: &Machine) -> bool {
        self.any_live && self.is_overdue_by(machine, self.suspicion_timeout)
    }

    /// Whether the machine is considered failed for good, and has to be deleted.
    pub(crate) fn is_dead(&self, machine: &Machine) -> bool {
        let zone = self.zones.get(&machine.zone).copied().unwrap_or_default();
        let is_zone_live = is_at_least_half(zone.live, zone.up);
        self.is_suspected(machine) && (is_zone_live || self.is_overdue_by(machine, self.lease))
    }
}

/// Whether `count` is at least half of `all`.
fn is_at_least_half(count: usize, all: usize) -> bool {
    count * 2 >= all
}

/// Time since the last heartbeat after which the next one is certainly overdue: between two
/// thirds of the policy's suspicion timeout and the whole of it.
fn heartbeat_timeout(config: &Config) -> Duration {
    let suspicion_timeout = config.tuning.suspicion_timeout;
    let interval = config.settings.cluster.workers.heartbeat_interval();
    interval.mul_f64(OVERDUE_INTERVALS).max(suspicion_timeout * 2 / 3).min(suspicion_timeout)
}

/// The leader's record of whether its workers' heartbeats arrive in time.
#[derive(Debug)]
pub(crate) struct Liveness {
    /// Since when this leader has accepted heartbeats without a break: since the beginning of its
    /// epoch, or since it renewed a lease that had expired.
    listening_since: Instant,
    /// Since when all but a few machines have been live.
    mostly_live_since: Option<Instant>,
}

impl Liveness {
    /// Creates the record of a leader that begins to listen at `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Liveness { listening_since: now, mostly_live_since: None }
    }

    /// Records that the leader accepts heartbeats again after a break. Silence during the break
    /// proves nothing.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.listening_since = now;
    }

    /// Whether the heartbeats of all but a few machines arrive in time.
    pub(crate) fn is_mostly_live(&self) -> bool {
        self.mostly_live_since.is_some()
    }

    /// Returns the failure detector for the current moment.
    pub(crate) fn detector(&self, now: Instant, config: &Config, machines: &MachineTable) -> FailureDetector {
        let (timeout, lease) = (heartbeat_timeout(config), config.settings.cluster.workers.lease());
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
        if !is_at_least_half(live, up) {
            detector.suspicion_timeout = lease;
        } else if self.mostly_live_since.is_some_and(|at| now >= at + timeout) {
            detector.suspicion_timeout = timeout;
        }
        detector
    }

    /// Updates since when the heartbeats of all but a few machines have arrived in time.
    pub(crate) fn record(&mut self, now: Instant, config: &Config, machines: &MachineTable) {
        let detector = self.detector(now, config, machines);
        let timeout = heartbeat_timeout(config);
        let up = machines.values().filter(|machine| machine.phase == Phase::Up);
        let late = up.clone().filter(|machine| detector.is_overdue_by(machine, timeout)).count();
        if late * MAX_LATE_DIVISOR > up.count() {
            self.mostly_live_since = None;
        } else {
            self.mostly_live_since.get_or_insert(now);
        }
    }
}
