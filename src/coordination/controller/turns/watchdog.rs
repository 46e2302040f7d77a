//! Reports a turn of the actor while it still lasts. The actor's thread can't do that itself: until
//! the turn ends, it runs nothing else.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;
use std::{io, thread};

use crate::coordination::controller::turns::TurnKind;
use crate::numeric::whole_ms;

/// Stack of the watchdog's thread, in bytes. It only formats log lines.
const STACK_BYTES: usize = 128 * 1024;
/// The kinds of turns by their code in [`CurrentTurn`].
const KINDS: [TurnKind; 8] = [
    TurnKind::Role,
    TurnKind::Event,
    TurnKind::Tick,
    TurnKind::Heartbeat,
    TurnKind::Submission,
    TurnKind::Cancellation,
    TurnKind::Poll,
    TurnKind::Status,
];

/// The turn that the actor takes now. The actor writes it, the watchdog reads it.
///
/// Holds the number of the turn times the number of codes, plus the code of its kind; between two
/// turns the code is that of no kind.
#[derive(Debug, Default)]
pub(in crate::coordination::controller) struct CurrentTurn(AtomicU64);

/// Number of codes: one for each kind, and one between turns.
const CODES: u64 = KINDS.len() as u64 + 1;

impl CurrentTurn {
    /// Records that a turn begins.
    pub(super) fn begin(&self, kind: TurnKind) {
        let code = KINDS.iter().position(|&other| other == kind).map_or(0, |index| index as u64 + 1);
        let number = self.0.load(Ordering::Relaxed) / CODES + 1;
        self.0.store(number * CODES + code, Ordering::Relaxed);
    }

    /// Records that the turn has ended.
    pub(super) fn end(&self) {
        let number = self.0.load(Ordering::Relaxed) / CODES;
        self.0.store(number * CODES, Ordering::Relaxed);
    }

    /// The number of the last turn, and its kind if it still lasts.
    fn read(&self) -> (u64, Option<TurnKind>) {
        let value = self.0.load(Ordering::Relaxed);
        let index = usize::try_from(value % CODES).ok().and_then(|code| code.checked_sub(1));
        (value / CODES, index.and_then(|index| KINDS.get(index).copied()))
    }
}

/// A turn that has lasted for several samples.
#[derive(Debug, PartialEq, Eq)]
struct LongTurn {
    kind: TurnKind,
    /// The turn has lasted for at least this many sampling intervals.
    intervals: u32,
}

/// Finds turns that last, from samples at a fixed interval.
#[derive(Debug, Default)]
struct Sampler {
    number: u64,
    /// Samples after the first in which the turn `number` lasted.
    intervals: u32,
}

impl Sampler {
    /// Takes a sample. Returns a turn that has lasted since the last sample, and again each time
    /// that it has lasted twice as long as when it was returned before.
    fn sample(&mut self, current: &CurrentTurn) -> Option<LongTurn> {
        let (number, kind) = current.read();
        let is_same = number == self.number;
        self.number = number;
        self.intervals = if is_same && kind.is_some() { self.intervals.saturating_add(1) } else { 0 };
        let kind = kind.filter(|_| self.intervals.is_power_of_two())?;
        Some(LongTurn { kind, intervals: self.intervals })
    }
}

/// Starts the thread that samples the current turn and logs one that lasts from one sample to the
/// next. The thread ends after the actor.
///
/// # Errors
///
/// If the system starts no thread.
pub(super) fn start(current: &Arc<CurrentTurn>, interval: Duration) -> io::Result<()> {
    let current = Arc::downgrade(current);
    let thread = thread::Builder::new().name("turn-watchdog".to_owned()).stack_size(STACK_BYTES);
    thread.spawn(move || watch(&current, interval)).map(drop)
}

fn watch(current: &Weak<CurrentTurn>, interval: Duration) {
    let mut sampler = Sampler::default();
    loop {
        thread::sleep(interval);
        let Some(current) = current.upgrade() else { return };
        if let Some(LongTurn { kind, intervals }) = sampler.sample(&current) {
            let (kind, call) = (kind.name(), kind.call());
            let running_ms = whole_ms(interval.saturating_mul(intervals));
            tracing::error!(kind, call, running_ms, "turn of the actor still running");
        }
    }
}

#[cfg(test)]
mod tests;
