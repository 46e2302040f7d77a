//! Workers' reports: to the leader's state machine, held for a prompt start, sent to
//! another controller or handed on to it.

use crate::protocol::workers::Command;

use super::*;

impl Controller {
    pub(super) fn handle_heartbeat(&mut self, message: HeartbeatMessage) {
        let now = Instant::now();
        // Its worker has left: a start in the answer would be lost, and an answer
        // counted as one would only put off the proof that the machine is gone.
        if now >= message.arrived + HEARTBEAT_REPLY_TIMEOUT {
            return;
        }
        let reply = match &mut self.leader {
            Some(leader) => leader.handle_heartbeat(now, &message.heartbeat),
            None => HeartbeatReply::Redirect,
        };
        let answer = match reply {
            HeartbeatReply::Commands { fencing_token: token, commands: orders } => {
                // One that was handed on is waited for by the controller between.
                let direct = message.body.is_some();
                if direct
                    && orders.is_empty()
                    && self.leader.as_ref().is_some_and(|l| l.may_defer_reply(&message.heartbeat))
                {
                    return self.defer_reply(now, message);
                }
                heartbeat_answer(self.leader.as_ref(), token, &orders)
            }
            HeartbeatReply::Redirect => return self.redirect_or_relay(now, message),
        };
        let _ = message.reply.send(answer);
        self.latencies.record_heartbeat(message.arrived);
    }

    fn defer_reply(&mut self, now: Instant, message: HeartbeatMessage) {
        if let Some(earlier) = self.deferred_replies.defer(now, message.heartbeat, message.reply) {
            let _ = earlier.reply.send(redirect_answer(None));
        }
    }

    /// Sends the held answers whose time is over, as the leader decides them now.
    pub(super) fn flush_expired_replies(&mut self) {
        let now = Instant::now();
        let Some(leader) = &mut self.leader else { return };
        for DeferredReply { heartbeat: report, reply, .. } in self.deferred_replies.expired(now) {
            let decided = leader.decide_deferred_reply(now, &report);
            let _ = reply.send(deferred_answer(leader, decided));
        }
    }

    /// Sends the held answers for which there are orders now.
    pub(super) fn flush_decided_replies(&mut self) {
        let now = Instant::now();
        let Some(leader) = &mut self.leader else { return };
        for machine in leader.deferred_replies_to_decide(self.deferred_replies.machines()) {
            let Some(held) = self.deferred_replies.get(&machine) else { continue };
            let decided = leader.decide_deferred_reply(now, &held.heartbeat);
            if matches!(&decided, HeartbeatReply::Commands { commands, .. } if commands.is_empty()) {
                continue;
            }
            if let Some(held) = self.deferred_replies.remove(&machine) {
                let _ = held.reply.send(deferred_answer(leader, decided));
            }
        }
    }

    /// For the leader: the worker is sent there. If it comes back it cannot
    /// reach it, as in a cut between two zones, and its report is handed on.
    /// The leader's answer, under its token and lease, goes back unchanged; an
    /// answer that takes too long the worker drops, as it would any other.
    pub(super) fn redirect_or_relay(&mut self, now: Instant, message: HeartbeatMessage) {
        let HeartbeatMessage { heartbeat: report, body, reply, arrived } = message;
        let (leader, epoch) = match self.other_leader(now) {
            Some((leader, epoch)) => (Some(leader.to_owned()), epoch),
            None => (None, 0),
        };
        let way = leader.as_ref().filter(|name| self.peers.is_reachable(now, name));
        let link = way.and_then(|name| self.links.get(name)).cloned();
        let (Some(leader), Some(link), Some(body)) = (leader, link, body) else {
            // Nobody to name, or nobody that could be reached from here.
            let _ = reply.send(redirect_answer(None));
            return;
        };
        let named = match self.worker_redirects.decide(now, &report.machine, report.fencing_token == epoch) {
            RedirectDecision::Redirect => Some(leader.as_str()),
            // More than can be handed on at once: it asks again, here or there,
            // rather than wait for one that does not answer it.
            RedirectDecision::Relay if self.relays_in_flight >= self.capacity.relays => None,
            RedirectDecision::Relay => {
                return self.relay(link, leader, body, reply);
            }
        };
        let _ = reply.send(redirect_answer(named));
        self.latencies.record_heartbeat(arrived);
    }

    fn relay(&mut self, link: PeerLink, leader: String, body: Vec<u8>, reply: oneshot::Sender<Answer>) {
        self.relays_in_flight += 1;
        let inner = self.events.clone();
        tokio::spawn(async move {
            let asked = Instant::now();
            let relayed = link.call(PeerCall::Heartbeat(body), false, POLL_TIMEOUT).await;
            let silent = relayed.is_none().then_some(leader);
            let answer =
                relayed.map_or_else(|| redirect_answer(None), |reply| relayed_heartbeat_answer(reply, asked));
            let _ = reply.send(answer);
            let _ = inner.send(InternalEvent::Relayed { timed_out_peer: silent }).await;
        });
    }
}

/// Sends a worker to the leader, or, with nobody to name, to the next controller.
pub(super) fn redirect_answer(leader: Option<&str>) -> Answer {
    Answer::new(421, &encode_redirect(leader))
}

/// A leader's answer to a report, with the time until which it may leave.
fn heartbeat_answer(leader: Option<&Leader>, token: u64, orders: &[Command]) -> Answer {
    let basis = leader.map(|leader| leader.heartbeat_reply_validity(orders));
    Answer { validity: basis, ..Answer::new(200, &encode_heartbeat_reply(token, orders)) }
}

/// The leader's answer to a report that was handed on. It may leave for as long as the
/// leader said, counted from when it was asked; a leader of a build before that did not say.
fn relayed_heartbeat_answer(reply: PeerReply, asked: Instant) -> Answer {
    let PeerReply { status, body, lease, .. } = reply;
    let basis = lease.map(|lease| Validity { epoch: lease.epoch, valid_until: asked + lease.remaining });
    Answer { status, body, retry_after_s: None, job_status: None, validity: basis }
}

/// The answer to a report that was held: a worker that is sent away tries the next
/// controller by itself.
fn deferred_answer(leader: &Leader, reply: HeartbeatReply) -> Answer {
    match reply {
        HeartbeatReply::Commands { fencing_token: token, commands: orders } => {
            heartbeat_answer(Some(leader), token, &orders)
        }
        HeartbeatReply::Redirect => redirect_answer(None),
    }
}
