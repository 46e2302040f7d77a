//! Workers' reports: to the leader's state machine, held for a prompt start, sent to
//! another controller or handed on to it.

use crate::protocol::workers::Command;

use super::*;

impl Node {
    pub(super) fn take_report(&mut self, message: ReportMessage) {
        let now = Instant::now();
        // Its worker has left: a start in the answer would be lost, and an answer
        // counted as one would only put off the proof that the machine is gone.
        if now >= message.arrived + HEARTBEAT_REPLY_TIMEOUT {
            return;
        }
        let reply = match &mut self.leader {
            Some(leader) => leader.handle_heartbeat(now, &message.report),
            None => HeartbeatReply::Redirect,
        };
        let answer = match reply {
            HeartbeatReply::Commands { fencing_token: token, commands: orders } => {
                // One that was handed on is waited for by the controller between.
                let direct = message.body.is_some();
                if direct
                    && orders.is_empty()
                    && self.leader.as_ref().is_some_and(|l| l.may_defer_reply(&message.report))
                {
                    return self.hold(now, message);
                }
                worker_answer(self.leader.as_ref(), token, &orders)
            }
            HeartbeatReply::Redirect => return self.send_elsewhere(now, message),
        };
        let _ = message.reply.send(answer);
        self.statistics.report(message.arrived);
    }

    fn hold(&mut self, now: Instant, message: ReportMessage) {
        if let Some(earlier) = self.held.defer(now, message.report, message.reply) {
            let _ = earlier.reply.send(elsewhere(None));
        }
    }

    /// Sends the held answers whose time is over, as the leader decides them now.
    pub(super) fn end_holds(&mut self) {
        let now = Instant::now();
        let Some(leader) = &mut self.leader else { return };
        for DeferredReply { heartbeat: report, reply, .. } in self.held.expired(now) {
            let decided = leader.decide_deferred_reply(now, &report);
            let _ = reply.send(held_answer(leader, decided));
        }
    }

    /// Sends the held answers for which there are orders now.
    pub(super) fn answer_held(&mut self) {
        let now = Instant::now();
        let Some(leader) = &mut self.leader else { return };
        for machine in leader.deferred_replies_to_decide(self.held.machines()) {
            let Some(held) = self.held.get(&machine) else { continue };
            let decided = leader.decide_deferred_reply(now, &held.heartbeat);
            if matches!(&decided, HeartbeatReply::Commands { commands, .. } if commands.is_empty()) {
                continue;
            }
            if let Some(held) = self.held.remove(&machine) {
                let _ = held.reply.send(held_answer(leader, decided));
            }
        }
    }

    /// For the leader: the worker is sent there. If it comes back it cannot
    /// reach it, as in a cut between two zones, and its report is handed on.
    /// The leader's answer, under its token and lease, goes back unchanged; an
    /// answer that takes too long the worker drops, as it would any other.
    pub(super) fn send_elsewhere(&mut self, now: Instant, message: ReportMessage) {
        let ReportMessage { report, body, reply, arrived } = message;
        let (leader, epoch) = match self.other_leader(now) {
            Some((leader, epoch)) => (Some(leader.to_owned()), epoch),
            None => (None, 0),
        };
        let way = leader.as_ref().filter(|name| self.peers.reachable(now, name));
        let link = way.and_then(|name| self.links.get(name)).cloned();
        let (Some(leader), Some(link), Some(body)) = (leader, link, body) else {
            // Nobody to name, or nobody that could be reached from here.
            let _ = reply.send(elsewhere(None));
            return;
        };
        let named = match self.detours.judge(now, &report.machine, report.fencing_token == epoch) {
            Detour::Redirect => Some(leader.as_str()),
            // More than can be handed on at once: it asks again, here or there,
            // rather than wait for one that does not answer it.
            Detour::Relay if self.relaying >= self.sizes.relays => None,
            Detour::Relay => {
                return self.relay(link, leader, body, reply);
            }
        };
        let _ = reply.send(elsewhere(named));
        self.statistics.report(arrived);
    }

    fn relay(&mut self, link: PeerLink, leader: String, body: Vec<u8>, reply: oneshot::Sender<Answer>) {
        self.relaying += 1;
        let inner = self.inner.clone();
        tokio::spawn(async move {
            let asked = Instant::now();
            let relayed = link.call(PeerCall::Heartbeat(body), false, POLL_PATIENCE).await;
            let silent = relayed.is_none().then_some(leader);
            let answer = relayed.map_or_else(|| elsewhere(None), |reply| relayed_answer(reply, asked));
            let _ = reply.send(answer);
            let _ = inner.send(Inner::Relayed { silent }).await;
        });
    }
}

/// Sends a worker to the leader, or, with nobody to name, to the next controller.
pub(super) fn elsewhere(leader: Option<&str>) -> Answer {
    Answer::new(421, &encode_redirect(leader))
}

/// A leader's answer to a report, with the time until which it may leave.
fn worker_answer(leader: Option<&Leader>, token: u64, orders: &[Command]) -> Answer {
    let basis = leader.map(|leader| leader.heartbeat_reply_validity(orders));
    Answer { validity: basis, ..Answer::new(200, &encode_heartbeat_reply(token, orders)) }
}

/// The leader's answer to a report that was handed on. It may leave for as long as the
/// leader said, counted from when it was asked; a leader of a build before that did not say.
fn relayed_answer(reply: PeerReply, asked: Instant) -> Answer {
    let PeerReply { status, body, lease, .. } = reply;
    let basis = lease.map(|lease| Validity { epoch: lease.epoch, valid_until: asked + lease.remaining });
    Answer { status, body, retry_after_s: None, job_status: None, validity: basis }
}

/// The answer to a report that was held: a worker that is sent away tries the next
/// controller by itself.
fn held_answer(leader: &Leader, reply: HeartbeatReply) -> Answer {
    match reply {
        HeartbeatReply::Commands { fencing_token: token, commands: orders } => {
            worker_answer(Some(leader), token, &orders)
        }
        HeartbeatReply::Redirect => elsewhere(None),
    }
}
