//! Carries out what the leader's state machine has left to be done outside.

use super::*;

impl Controller {
    pub(super) fn perform_effects(&mut self) {
        self.flush_decided_replies();
        let Some(leader) = &mut self.leader else { return };
        let epoch = leader.epoch();
        for action in leader.drain_effects() {
            match action {
                Effect::Reply { reply: to, answer } => self.answer_pending(to, answer),
                Effect::LookUpJob { reply: to, job, if_absent: otherwise } => {
                    if let Some(PendingReply { reply, .. }) = self.pending_replies.remove(&to) {
                        self.look_up(JobLookUp { reply, job, if_absent: otherwise, only_terminal: false });
                    }
                }
                Effect::ReadDependencies(submission) => self.read_dependencies(epoch, submission),
                Effect::Commit { operation, transaction } => {
                    let (store, inner) = (self.store.clone(), self.events.clone());
                    tokio::spawn(async move {
                        let result = store.compare_and_swap(transaction).await;
                        let _ = inner.send(InternalEvent::Committed { epoch, operation, result }).await;
                    });
                }
                Effect::CallCloud { operation, call } => {
                    let (cloud, inner) = (self.cloud.clone(), self.events.clone());
                    tokio::spawn(async move {
                        let result = cloud.call(call).await;
                        let _ = inner.send(InternalEvent::CloudDone { epoch, operation, result }).await;
                    });
                }
                Effect::PushCommands {
                    address,
                    fencing_token: token,
                    incarnation: session,
                    commands: orders,
                } => {
                    // Only a short cut: the same goes out with the next report.
                    if self.pushes_in_flight >= self.capacity.pushes {
                        continue;
                    }
                    self.pushes_in_flight += 1;
                    let inner = self.events.clone();
                    let body = encode(&encode_pushed_commands(token, session, &orders));
                    let call = Call {
                        method: "POST",
                        target: "/commands".into(),
                        body,
                        deadline: Duration::from_secs(2),
                    };
                    let limits = Limits { head: HEAD_LIMIT, body: BODY_LIMIT };
                    tokio::spawn(async move {
                        let _ = PreparedCall::without_pool(address, limits, call).run().await;
                        let _ = inner.send(InternalEvent::PushDone).await;
                    });
                }
                Effect::JobEvicted(status) => self.terminal_states.insert(status),
            }
        }
    }
}
