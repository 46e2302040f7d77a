//! Measures the turns of a controller's actor. While a turn lasts, the thread that the election and
//! the key-value client share with the actor does nothing else, so long turns endanger the lease.

mod watchdog;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use ciborium::value::Value;
use tokio::time::Instant;

use crate::coordination::controller::turns::watchdog::CurrentTurn;
use crate::numeric::whole_ms;
use crate::protocol::cbor::MapBuilder;

/// The leader's lease divided by this is the bound on a turn. The lease is renewed four times in
/// its duration: a turn within the bound delays a renewal by half that interval at most.
const BOUND_LEASE_DIVISOR: u32 = 8;

/// What the actor handles in a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TurnKind {
    Role,
    Event,
    Tick,
    Heartbeat,
    Submission,
    Cancellation,
    Poll,
    /// A question of another controller, or for the metrics.
    Status,
}

impl TurnKind {
    fn name(self) -> &'static str {
        match self {
            TurnKind::Role => "role",
            TurnKind::Event => "event",
            TurnKind::Tick => "periodic",
            TurnKind::Heartbeat => "heartbeat",
            TurnKind::Submission | TurnKind::Cancellation | TurnKind::Poll | TurnKind::Status => "request",
        }
    }

    /// Which request is handled in a turn named `request`; empty for other turns.
    fn call(self) -> &'static str {
        match self {
            TurnKind::Role | TurnKind::Event | TurnKind::Tick | TurnKind::Heartbeat => "",
            TurnKind::Submission => "submission",
            TurnKind::Cancellation => "cancellation",
            TurnKind::Poll => "poll",
            TurnKind::Status => "status",
        }
    }
}

/// The turns since the process started.
pub(super) struct Turns {
    lease: Duration,
    bound: Duration,
    longest: Duration,
    longest_kind: Option<TurnKind>,
    over_bound: u64,
    current: Arc<CurrentTurn>,
}

impl Turns {
    /// Measures turns against a leader's lease of this duration.
    pub(super) fn new(lease: Duration) -> Self {
        Turns {
            lease,
            bound: lease / BOUND_LEASE_DIVISOR,
            longest: Duration::ZERO,
            longest_kind: None,
            over_bound: 0,
            current: Arc::new(CurrentTurn::default()),
        }
    }

    /// Starts a thread that logs a turn which lasts longer than a lease while it still lasts.
    ///
    /// # Errors
    ///
    /// If the system starts no thread.
    pub(super) fn start_watchdog(&self) -> io::Result<()> {
        watchdog::start(&self.current, self.lease)
    }

    /// Records that a turn begins.
    pub(super) fn begin(&self, kind: TurnKind) {
        self.current.begin(kind);
    }

    /// Records a turn that began at `began` and ends at `now`; logs one that exceeds the bound.
    pub(super) fn record(&mut self, kind: TurnKind, began: Instant, now: Instant) {
        self.current.end();
        let turn = now - began;
        if turn > self.longest {
            self.longest = turn;
            self.longest_kind = Some(kind);
        }
        if turn > self.bound {
            self.over_bound += 1;
            let (kind, call, turn_ms) = (kind.name(), kind.call(), whole_ms(turn));
            tracing::error!(kind, call, turn_ms, "turn of the actor took too long");
        }
    }

    /// The metrics of `/status`.
    pub(super) fn metrics(&self) -> Value {
        MapBuilder::new()
            .set("longestMs", whole_ms(self.longest))
            .set("longestKind", self.longest_kind.map_or("", TurnKind::name))
            .set("boundMs", whole_ms(self.bound))
            .set("overBound", self.over_bound)
            .build()
    }
}

#[cfg(test)]
mod tests;
