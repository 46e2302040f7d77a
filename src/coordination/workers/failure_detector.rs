//! Which machines have fallen silent, and what follows from it.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::machine::{Machine, Phase};
use crate::coordination::leader::Leader;
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
    /// Machines that are up, and those heard of, by zone.
    zones: HashMap<String, (usize, usize)>,
}

impl FailureDetector {
    fn is_overdue_by(&self, m: &Machine, time: Duration) -> bool {
        m.phase == Phase::Up
            && self.now > m.heartbeat_at.map_or(self.listening_since, |h| h.max(self.listening_since)) + time
    }

    /// Nothing is to be expected of it for now.
    pub(crate) fn is_suspected(&self, m: &Machine) -> bool {
        self.any_live && self.is_overdue_by(m, self.suspicion_timeout)
    }

    /// It is not coming back: to be returned.
    pub(crate) fn is_dead(&self, m: &Machine) -> bool {
        let (up, heard) = self.zones.get(&m.zone).copied().unwrap_or_default();
        self.is_suspected(m) && (is_majority(heard, up) || self.is_overdue_by(m, self.lease))
    }
}

/// Whether so many of all are the rule, not the exception.
fn is_majority(count: usize, all: usize) -> bool {
    count * 2 >= all
}

impl Leader {
    /// When the next report of a machine is surely overdue: it may come a quarter
    /// late, and its packets a little more.
    fn heartbeat_timeout(&self) -> Duration {
        let silence = self.config.tuning.silence;
        let report = self.config.settings.cluster.workers.report();
        report.mul_f64(1.6).max(silence * 2 / 3).min(silence)
    }

    pub(crate) fn failure_detector(&self, now: Instant) -> FailureDetector {
        let (overdue, lease) = (self.heartbeat_timeout(), self.config.settings.cluster.workers.lease());
        let mut found = FailureDetector {
            now,
            listening_since: self.replying_since,
            suspicion_timeout: self.config.tuning.silence,
            any_live: false,
            lease,
            zones: HashMap::default(),
        };
        for m in self.machines.values().filter(|m| m.phase == Phase::Up) {
            let silent = found.is_overdue_by(m, found.suspicion_timeout);
            let (up, heard) = found.zones.entry(m.zone.clone()).or_default();
            *up += 1;
            *heard += usize::from(!silent);
        }
        let (up, heard) = found.zones.values().fold((0, 0), |sum, zone| (sum.0 + zone.0, sum.1 + zone.1));
        found.any_live = heard > 0;
        if !is_majority(heard, up) {
            found.suspicion_timeout = lease;
        } else if self.mostly_live_since.is_some_and(|at| now >= at + overdue) {
            found.suspicion_timeout = overdue;
        }
        found
    }

    /// Notes since when all but a few machines have been heard in time.
    pub(crate) fn record_liveness(&mut self, now: Instant) {
        let (silence, overdue) = (self.failure_detector(now), self.heartbeat_timeout());
        let up = self.machines.values().filter(|m| m.phase == Phase::Up);
        let late = up.clone().filter(|m| silence.is_overdue_by(m, overdue)).count();
        if late * 10 > up.count() {
            self.mostly_live_since = None;
        } else {
            self.mostly_live_since.get_or_insert(now);
        }
    }
}
