//! Measures the turns of a controller's actor. While a turn lasts, the thread that the election and
//! the key-value client share with the actor does nothing else, so long turns endanger the lease.

use std::time::Duration;

use ciborium::value::Value;
use tokio::time::Instant;

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
    Request,
}

impl TurnKind {
    fn name(self) -> &'static str {
        match self {
            TurnKind::Role => "role",
            TurnKind::Event => "event",
            TurnKind::Tick => "periodic",
            TurnKind::Heartbeat => "heartbeat",
            TurnKind::Request => "request",
        }
    }
}

/// The turns since the process started.
pub(super) struct Turns {
    bound: Duration,
    longest: Duration,
    longest_kind: Option<TurnKind>,
    over_bound: u64,
}

impl Turns {
    /// Measures turns against a leader's lease of this duration.
    pub(super) fn new(lease: Duration) -> Self {
        Turns {
            bound: lease / BOUND_LEASE_DIVISOR,
            longest: Duration::ZERO,
            longest_kind: None,
            over_bound: 0,
        }
    }

    /// Records a turn that began at `began` and ends at `now`; logs one that exceeds the bound.
    pub(super) fn record(&mut self, kind: TurnKind, began: Instant, now: Instant) {
        let turn = now - began;
        if turn > self.longest {
            self.longest = turn;
            self.longest_kind = Some(kind);
        }
        if turn > self.bound {
            self.over_bound += 1;
            tracing::error!(kind = kind.name(), turn_ms = whole_ms(turn), "turn of the actor took too long");
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
