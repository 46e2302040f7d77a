//! Carries out what the leader's state machine has left to be done outside.

use super::*;

impl Node {
    pub(super) fn carry_out(&mut self) {
        self.answer_held();
        let Some(leader) = &mut self.leader else { return };
        let epoch = leader.epoch();
        for action in leader.drain_effects() {
            match action {
                Effect::Reply { reply: to, answer } => self.answer_waiting(to, answer),
                Effect::LookUpJob { to, job, if_absent: otherwise } => {
                    if let Some(Waiting { reply, .. }) = self.waiting.remove(&to) {
                        self.look_up(LookUp { reply, job, absent: otherwise, only_final: false });
                    }
                }
                Effect::ReadDependencies(submission) => self.read_needs(epoch, submission),
                Effect::Commit { operation: ticket, transaction } => {
                    let (store, inner) = (self.store.clone(), self.inner.clone());
                    tokio::spawn(async move {
                        let result = store.commit(transaction).await;
                        let _ = inner.send(Inner::Committed { epoch, ticket, result }).await;
                    });
                }
                Effect::CallCloud { ticket, call } => {
                    let (cloud, inner) = (self.cloud.clone(), self.inner.clone());
                    tokio::spawn(async move {
                        let result = cloud.call(call).await;
                        let _ = inner.send(Inner::CloudDone { epoch, ticket, result }).await;
                    });
                }
                Effect::PushCommands {
                    address,
                    fencing_token: token,
                    incarnation: session,
                    commands: orders,
                } => {
                    // Only a short cut: the same goes out with the next report.
                    if self.directs >= self.sizes.directs {
                        continue;
                    }
                    self.directs += 1;
                    let inner = self.inner.clone();
                    let body = encode(&encode_pushed_commands(token, session, &orders));
                    let call = Call {
                        method: "POST",
                        target: "/commands".into(),
                        body,
                        deadline: Duration::from_secs(2),
                    };
                    let limits = Limits { head: HEAD_LIMIT, body: BODY_LIMIT };
                    tokio::spawn(async move {
                        let _ = Prepared::alone(address, limits, call).run().await;
                        let _ = inner.send(Inner::DirectDone).await;
                    });
                }
                Effect::JobEvicted(status) => self.told.insert(status),
            }
        }
    }
}
