//! Which machines have fallen silent, and what follows from it.

use std::time::Duration;

use tokio::time::Instant;

use super::leader::Leader;
use super::machines::{Machine, Phase};
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
pub(super) struct Silence {
    now: Instant,
    /// Since when this leader could have heard anybody.
    since: Instant,
    /// How long silence must last to be believed, as things are.
    patience: Duration,
    anybody_heard: bool,
    lease: Duration,
    /// Machines that are up, and those heard of, by zone.
    zones: HashMap<String, (usize, usize)>,
}

impl Silence {
    fn lasts(&self, m: &Machine, time: Duration) -> bool {
        m.phase == Phase::Up && self.now > m.heartbeat_at.map_or(self.since, |h| h.max(self.since)) + time
    }

    /// Nothing is to be expected of it for now.
    pub(super) fn is_silent(&self, m: &Machine) -> bool {
        self.anybody_heard && self.lasts(m, self.patience)
    }

    /// It is not coming back: to be returned.
    pub(super) fn is_gone(&self, m: &Machine) -> bool {
        let (up, heard) = self.zones.get(&m.zone).copied().unwrap_or_default();
        self.is_silent(m) && (most(heard, up) || self.lasts(m, self.lease))
    }
}

/// Whether so many of all are the rule, not the exception.
fn most(count: usize, all: usize) -> bool {
    count * 2 >= all
}

impl Leader {
    /// When the next report of a machine is surely overdue: it may come a quarter
    /// late, and its packets a little more.
    fn overdue(&self) -> Duration {
        let silence = self.config.tuning.silence;
        let report = self.config.settings.cluster.workers.report();
        report.mul_f64(1.6).max(silence * 2 / 3).min(silence)
    }

    pub(super) fn silence(&self, now: Instant) -> Silence {
        let (overdue, lease) = (self.overdue(), self.config.settings.cluster.workers.lease());
        let mut found = Silence {
            now,
            since: self.replying_since,
            patience: self.config.tuning.silence,
            anybody_heard: false,
            lease,
            zones: HashMap::default(),
        };
        for m in self.machines.values().filter(|m| m.phase == Phase::Up) {
            let silent = found.lasts(m, found.patience);
            let (up, heard) = found.zones.entry(m.zone.clone()).or_default();
            *up += 1;
            *heard += usize::from(!silent);
        }
        let (up, heard) = found.zones.values().fold((0, 0), |sum, zone| (sum.0 + zone.0, sum.1 + zone.1));
        found.anybody_heard = heard > 0;
        if !most(heard, up) {
            found.patience = lease;
        } else if self.clear_since.is_some_and(|at| now >= at + overdue) {
            found.patience = overdue;
        }
        found
    }

    /// Notes since when all but a few machines have been heard in time.
    pub(super) fn note_silence(&mut self, now: Instant) {
        let (silence, overdue) = (self.silence(now), self.overdue());
        let up = self.machines.values().filter(|m| m.phase == Phase::Up);
        let late = up.clone().filter(|m| silence.lasts(m, overdue)).count();
        if late * 10 > up.count() {
            self.clear_since = None;
        } else {
            self.clear_since.get_or_insert(now);
        }
    }
}
