//! Handles workers' heartbeats. The leader's state machine replies to them, immediately or, if
//! the reply is deferred, once there is a command for the worker or the deferral ends. A
//! controller that does not lead redirects the worker to another controller, or relays the
//! heartbeat to the leader.

use tokio::time::Instant;

use crate::coordination::controller::Controller;
use crate::coordination::controller::events::HeartbeatMessage;
use crate::coordination::controller::heartbeat_answers::{commands_answer, deferred_answer, redirect_answer};
use crate::coordination::controller::routing::HeartbeatRoute;
use crate::coordination::workers::deferred_replies::DeferredReply;
use crate::coordination::workers::heartbeats::HeartbeatReply;
use crate::protocol::workers::HEARTBEAT_REPLY_TIMEOUT;

impl Controller {
    /// Replies to a heartbeat, now or later.
    pub(super) fn handle_heartbeat(&mut self, message: HeartbeatMessage) {
        let now = Instant::now();
        // The worker no longer waits for the reply, so a start command in it would be lost. The
        // leader would nevertheless assume that the reply renewed the worker's lease, which would
        // only delay the proof that the machine is dead.
        if now >= message.arrived + HEARTBEAT_REPLY_TIMEOUT {
            return;
        }
        let reply = match &mut self.leader {
            Some(leader) => leader.handle_heartbeat(now, &message.heartbeat),
            None => HeartbeatReply::Redirect,
        };
        let HeartbeatReply::Commands { fencing_token, commands } = reply else {
            return self.redirect_or_relay(now, message);
        };
        if commands.is_empty() && self.may_defer_reply(&message) {
            return self.defer_reply(now, message);
        }
        let answer = commands_answer(self.leader.as_ref(), fencing_token, &commands);
        let _ = message.reply.send(answer);
        self.latencies.record_heartbeat(message.arrived);
    }

    /// Whether the reply may be deferred until there is a command. The reply to a relayed
    /// heartbeat may not: the relaying controller waits for it.
    fn may_defer_reply(&self, message: &HeartbeatMessage) -> bool {
        // A relayed heartbeat comes without its encoded body.
        let is_direct = message.body.is_some();
        is_direct && self.leader.as_ref().is_some_and(|leader| leader.may_defer_reply(&message.heartbeat))
    }

    fn defer_reply(&mut self, now: Instant, message: HeartbeatMessage) {
        // The worker no longer waits for a reply that is still deferred from an earlier heartbeat.
        if let Some(earlier) = self.deferred_replies.defer(now, message.heartbeat, message.reply) {
            let _ = earlier.reply.send(redirect_answer(None));
        }
    }

    /// Sends the replies that cannot be deferred any longer, with the commands that the leader
    /// decides now.
    pub(super) fn flush_expired_replies(&mut self) {
        let now = Instant::now();
        let Some(leader) = &mut self.leader else { return };
        for DeferredReply { heartbeat, reply, .. } in self.deferred_replies.take_expired(now) {
            let decided = leader.decide_deferred_reply(now, &heartbeat);
            let _ = reply.send(deferred_answer(leader, decided));
        }
    }

    /// Sends the deferred replies for which there are commands now.
    pub(super) fn flush_decided_replies(&mut self) {
        let now = Instant::now();
        let Some(leader) = &mut self.leader else { return };
        for machine in leader.deferred_replies_to_decide(self.deferred_replies.machines()) {
            let Some(deferred) = self.deferred_replies.get(&machine) else { continue };
            let decided = leader.decide_deferred_reply(now, &deferred.heartbeat);
            if matches!(&decided, HeartbeatReply::Commands { commands, .. } if commands.is_empty()) {
                continue;
            }
            if let Some(deferred) = self.deferred_replies.remove(&machine) {
                let _ = deferred.reply.send(deferred_answer(leader, decided));
            }
        }
    }

    /// Redirects the worker to the leader. If the worker returns after that, it cannot reach the
    /// leader, for example because of a network partition between two zones, and the heartbeat
    /// is relayed to the leader. A heartbeat that was already relayed is not relayed again.
    fn redirect_or_relay(&mut self, now: Instant, message: HeartbeatMessage) {
        let HeartbeatMessage { heartbeat, body, reply, arrived } = message;
        // Without a body, the heartbeat was relayed by another controller.
        let Some(body) = body else { return drop(reply.send(redirect_answer(None))) };
        let leader = match self.routing.route_heartbeat(now, &heartbeat) {
            HeartbeatRoute::NoLeader => return drop(reply.send(redirect_answer(None))),
            HeartbeatRoute::Relay(relay) => return self.routing.relay_heartbeat(relay, body, reply),
            HeartbeatRoute::Redirect(leader) => Some(leader),
            HeartbeatRoute::TooManyRelays => None,
        };
        let _ = reply.send(redirect_answer(leader.as_deref()));
        self.latencies.record_heartbeat(arrived);
    }
}
