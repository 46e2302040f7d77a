//! The answers to workers' heartbeats.

use tokio::time::Instant;

use crate::coordination::authority::answers::{Answer, Validity};
use crate::coordination::leader::Leader;
use crate::coordination::workers::heartbeats::HeartbeatReply;
use crate::protocol::workers::{Command, encode_heartbeat_reply, encode_redirect};
use crate::transport::peer::PeerReply;

/// Redirects a worker to the leader or, if none is named, to the next controller.
pub(super) fn redirect_answer(leader: Option<&str>) -> Answer {
    Answer::new(421, &encode_redirect(leader))
}

/// Builds the leader's answer to a heartbeat, with the time until which it may be sent.
pub(super) fn commands_answer(leader: Option<&Leader>, fencing_token: u64, commands: &[Command]) -> Answer {
    let validity = leader.map(|leader| leader.heartbeat_reply_validity(commands));
    Answer { validity, ..Answer::new(200, &encode_heartbeat_reply(fencing_token, commands)) }
}

/// Builds the answer to a heartbeat that was relayed, from the leader's reply. The answer is
/// valid for the remaining lease that the reply states, counted from the start of the relay;
/// leaders of earlier builds do not state one, and their answers are sent without a time limit.
pub(super) fn relayed_answer(reply: PeerReply, relayed_at: Instant) -> Answer {
    let PeerReply { status, body, lease, .. } = reply;
    let validity =
        lease.map(|lease| Validity { epoch: lease.epoch, valid_until: relayed_at + lease.remaining });
    Answer { status, body, retry_after_s: None, refusal: None, job_status: None, validity }
}

/// Builds the answer to a heartbeat from a deferred reply. A worker that is redirected
/// without a leader's name tries the next controller by itself.
pub(super) fn deferred_answer(leader: &Leader, reply: HeartbeatReply) -> Answer {
    match reply {
        HeartbeatReply::Commands { fencing_token, commands } => {
            commands_answer(Some(leader), fencing_token, &commands)
        }
        HeartbeatReply::Redirect => redirect_answer(None),
    }
}
