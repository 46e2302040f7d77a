//! Executes the effects that the leader's state machine emits.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::controller::events::{InternalEvent, JobLookup};
use crate::coordination::controller::{Controller, POLL_TIMEOUT};
use crate::coordination::fleet::cloud::CloudCall;
use crate::coordination::leader::effects::{Effect, OperationId};
use crate::protocol::cbor::encode;
use crate::protocol::workers::encode_pushed_commands;
use crate::protocol::{BODY_LIMIT, HEAD_LIMIT};
use crate::storage::kv::Transaction;
use crate::transport::client::{HttpCall, PreparedCall};
use crate::transport::codec::Limits;

/// Timeout of one push of commands to a worker.
const PUSH_TIMEOUT: Duration = Duration::from_secs(2);

impl Controller {
    /// Executes all pending effects in the order in which they were emitted. Slow ones run in
    /// spawned tasks that report their results as events.
    pub(super) fn perform_effects(&mut self) {
        self.flush_decided_replies();
        let Some(leader) = &mut self.leader else { return };
        let epoch = leader.epoch();
        for effect in leader.drain_effects() {
            self.perform(epoch, effect);
        }
    }

    fn perform(&mut self, epoch: u64, effect: Effect) {
        match effect {
            Effect::Reply { reply, answer } => self.user_replies.answer_pending(reply, answer),
            Effect::LookUpJob { reply, job, if_absent } => {
                if let Some(pending) = self.user_replies.take(reply) {
                    let reply = pending.reply;
                    let deadline = Instant::now() + POLL_TIMEOUT;
                    self.look_up(JobLookup { reply, job, if_absent, only_terminal: false, deadline });
                }
            }
            Effect::ReadDependencies(submission) => self.read_dependencies(epoch, submission),
            Effect::Commit { operation, transaction } => self.commit(epoch, operation, transaction),
            Effect::CallCloud { operation, call } => self.call_cloud(epoch, operation, call),
            Effect::PushCommands { address, fencing_token, incarnation, commands } => {
                let body = encode(&encode_pushed_commands(fencing_token, incarnation, &commands));
                self.push_commands(address, body);
            }
            Effect::JobEvicted(status) => self.user_replies.insert_terminal_state(status),
        }
    }

    fn commit(&self, epoch: u64, operation: OperationId, transaction: Transaction) {
        let (kv, events) = (self.kv.clone(), self.events.clone());
        tokio::spawn(async move {
            let result = kv.compare_and_swap(transaction).await;
            let _ = events.send(InternalEvent::CommitFinished { epoch, operation, result }).await;
        });
    }

    fn call_cloud(&self, epoch: u64, operation: OperationId, call: CloudCall) {
        let (cloud, events) = (self.cloud.clone(), self.events.clone());
        tokio::spawn(async move {
            let result = cloud.call(call).await;
            let _ = events.send(InternalEvent::CloudCallFinished { epoch, operation, result }).await;
        });
    }

    /// Pushes commands to a worker, unless too many pushes are in flight. A push only saves
    /// time: the reply to the next heartbeat contains the same commands.
    fn push_commands(&mut self, address: SocketAddr, body: Vec<u8>) {
        if !self.pushes.try_acquire() {
            return;
        }
        let events = self.events.clone();
        let call = HttpCall { method: "POST", target: "/commands".into(), body, timeout: PUSH_TIMEOUT };
        let limits = Limits { head: HEAD_LIMIT, body: BODY_LIMIT };
        tokio::spawn(async move {
            let _ = PreparedCall::without_pool(address, limits, call).run().await;
            let _ = events.send(InternalEvent::PushFinished).await;
        });
    }
}
