//! What the actor handles in one turn.

use tokio::time::Instant;

use crate::coordination::controller::events::{HeartbeatMessage, InternalEvent, ReplySender, RequestMessage};
use crate::coordination::controller::turns::TurnKind;
use crate::coordination::controller::{USERS_CHANGE_PATIENCE, USERS_POLL_PATIENCE};
use crate::coordination::election::Role;
use crate::transport::peer::PeerCall;

/// What the actor handles in one turn.
pub(super) enum Message {
    Role(Role),
    Event(InternalEvent),
    Tick,
    Heartbeat(HeartbeatMessage),
    Request(RequestMessage),
}

impl Message {
    /// The kind of the turn that handles it.
    pub(super) fn turn_kind(&self) -> TurnKind {
        match self {
            Message::Role(_) => TurnKind::Role,
            Message::Event(_) => TurnKind::Event,
            Message::Tick => TurnKind::Tick,
            Message::Heartbeat(_) => TurnKind::Heartbeat,
            Message::Request(RequestMessage::Status { .. }) => TurnKind::Status,
            Message::Request(RequestMessage::Call { call, .. }) => match call {
                PeerCall::Submit(_) => TurnKind::Submission,
                PeerCall::Cancel(_) => TurnKind::Cancellation,
                PeerCall::Poll(_) => TurnKind::Poll,
                PeerCall::Heartbeat(_) => TurnKind::Heartbeat,
                PeerCall::LeaderQuery => TurnKind::Status,
            },
        }
    }
}

/// Whether the sender of a call that entered the queue at `arrived` no longer waits for the answer.
pub(super) fn has_left(call: &PeerCall, reply: &ReplySender, arrived: Instant) -> bool {
    let patience = match call {
        PeerCall::Poll(_) => USERS_POLL_PATIENCE,
        PeerCall::Submit(_) | PeerCall::Cancel(_) => USERS_CHANGE_PATIENCE,
        // Heartbeats have a queue of their own, and leader queries cost nothing.
        PeerCall::Heartbeat(_) | PeerCall::LeaderQuery => return reply.is_closed(),
    };
    reply.is_closed() || arrived.elapsed() >= patience
}
