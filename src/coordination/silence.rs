//! Which machines have fallen silent, and what follows from it.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::leader::Leader;
use super::model::{Machine, Phase};

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
    /// Whether all but a few are heard, and have been for a while.
    clear: bool,
    /// When the next report of a machine is surely overdue.
    overdue: Duration,
    silence: Duration,
    lease: Duration,
    /// Machines that are up, and those heard of, by zone.
    zones: HashMap<String, (usize, usize)>,
}

impl Silence {
    fn lasts(&self, m: &Machine, time: Duration) -> bool {
        m.phase == Phase::Up && self.now > m.heard.map_or(self.since, |h| h.max(self.since)) + time
    }

    /// Nothing is to be expected of it for now.
    pub(super) fn is_silent(&self, m: &Machine) -> bool {
        let (up, heard) = self.zones.values().fold((0, 0), |sum, zone| (sum.0 + zone.0, sum.1 + zone.1));
        let patience = match most(heard, up) {
            true if self.clear => self.overdue,
            true => self.silence,
            false => self.lease,
        };
        self.lasts(m, patience) && heard > 0
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
    pub(super) fn silence(&self, now: Instant) -> Silence {
        // A report may come a quarter late, and its packets a little more.
        let silence = self.config.tuning.silence;
        let overdue = self.config.settings.cluster.workers.report().mul_f64(1.6).max(silence * 2 / 3);
        let mut found = Silence {
            now,
            since: self.since,
            clear: self.clear_since.is_some_and(|at| now >= at + overdue),
            overdue: overdue.min(silence),
            silence,
            lease: self.config.settings.cluster.workers.lease(),
            zones: HashMap::new(),
        };
        for m in self.machines.values().filter(|m| m.phase == Phase::Up) {
            let silent = found.lasts(m, found.silence);
            let (up, heard) = found.zones.entry(m.zone.clone()).or_default();
            *up += 1;
            *heard += usize::from(!silent);
        }
        found
    }

    /// Notes since when all but a few machines have been heard in time.
    pub(super) fn note_silence(&mut self, now: Instant) {
        let silence = self.silence(now);
        let up = self.machines.values().filter(|m| m.phase == Phase::Up);
        let late = up.clone().filter(|m| silence.lasts(m, silence.overdue)).count();
        if late * 10 > up.count() {
            self.clear_since = None;
        } else {
            self.clear_since.get_or_insert(now);
        }
    }
}
