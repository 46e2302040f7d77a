//! Harness of the leader's tests: one leader, a clock that the test advances, and the effects
//! that the leader requests, whose results the test supplies.

use super::*;

/// A leader whose workers, state service and cloud are simulated by the test.
pub(super) struct Harness {
    pub(super) leader: Leader,
    /// The test's clock; it moves only by [`Harness::advance`].
    pub(super) now: Instant,
    pub(super) config: Arc<Config>,
    /// Version of the last committed transaction.
    pub(super) version: u64,
    /// Answers to users, in the order in which the leader gave them.
    pub(super) answers: Vec<(ReplyId, Answer)>,
    /// Jobs whose record must be read for an answer, with the answer to give if there is no
    /// record.
    pub(super) record_lookups: Vec<(JobId, Answer)>,
    /// Submissions that wait for the states of their dependencies to be read.
    pub(super) unchecked_submissions: Vec<UncheckedSubmission>,
    /// Transactions that the test has not yet committed or failed.
    pub(super) commits: Vec<(OperationId, Transaction)>,
    /// Commands that were pushed to workers, outside heartbeat replies.
    pub(super) pushed_commands: Vec<Command>,
    /// Calls to the cloud that the test has not answered.
    pub(super) cloud_calls: Vec<(OperationId, CloudCall)>,
    /// Id under which the last user request is answered.
    last_reply_id: u64,
}

impl Harness {
    /// A leader that has just read these records. Idle machines are kept for two boot times, so
    /// that scale-in does not interfere with tests of other behaviour.
    pub(super) fn new(jobs: Vec<JobSnapshot>, node_pools: Vec<(NodePoolRecord, u64)>) -> Self {
        let tuning = policy::Tuning { preempt_loss_s: 8.0, idle_boots: 2.0, ..policy::tests::tuning() };
        Harness::with_tuning(jobs, node_pools, tuning)
    }

    /// Like [`Harness::new`], with this tuning of the policy.
    pub(super) fn with_tuning(
        jobs: Vec<JobSnapshot>,
        node_pools: Vec<(NodePoolRecord, u64)>,
        tuning: policy::Tuning,
    ) -> Self {
        Harness::with_config(jobs, node_pools, Config { settings: settings::tests::sample(), tuning })
    }

    /// Like [`Harness::new`], with these settings and this tuning of the policy.
    pub(super) fn with_config(
        jobs: Vec<JobSnapshot>,
        node_pools: Vec<(NodePoolRecord, u64)>,
        config: Config,
    ) -> Self {
        let config = Arc::new(config);
        let now = Instant::now();
        let snapshot = Snapshot { jobs, node_pools, catalog: Some((catalog(), 2)), ..Snapshot::default() };
        let mut leader = Leader::new(config.clone(), EPOCH, now, NOW_MS, snapshot);
        leader.extend_lease(now, now + Duration::from_secs(3600));
        let mut harness = Harness {
            leader,
            now,
            config,
            version: 100,
            answers: Vec::new(),
            record_lookups: Vec::new(),
            unchecked_submissions: Vec::new(),
            commits: Vec::new(),
            pushed_commands: Vec::new(),
            cloud_calls: Vec::new(),
            last_reply_id: 0,
        };
        harness.collect_effects();
        harness
    }

    /// A leader with machines that are up, reconciled and recorded as used.
    pub(super) fn with_machines(names: &[&str]) -> Self {
        let mut harness =
            Harness::new(Vec::new(), names.iter().map(|name| single_machine_pool(name, true)).collect());
        for name in names {
            harness.heartbeat(name, 1, EPOCH, vec![]);
        }
        harness
    }

    /// Replaces the leader with one that has just read this snapshot.
    pub(super) fn replace_leader(&mut self, snapshot: Snapshot) {
        self.leader = Leader::new(self.config.clone(), EPOCH, self.now, NOW_MS, snapshot);
        self.leader.extend_lease(self.now, self.now + Duration::from_secs(3600));
    }

    /// Takes the effects out of the leader and sorts them by kind.
    pub(super) fn collect_effects(&mut self) {
        for effect in self.leader.drain_effects() {
            match effect {
                Effect::Reply { reply, answer } => self.answers.push((reply, answer)),
                Effect::LookUpJob { job, if_absent, .. } => self.record_lookups.push((job, if_absent)),
                Effect::ReadDependencies(submission) => self.unchecked_submissions.push(*submission),
                Effect::Commit { operation, transaction } => self.commits.push((operation, transaction)),
                Effect::CallCloud { operation, call } => self.cloud_calls.push((operation, call)),
                Effect::PushCommands { commands, .. } => self.pushed_commands.extend(commands),
                Effect::JobEvicted(_) => {}
            }
        }
    }

    /// Commits all pending transactions and those that follow from them; returns them.
    pub(super) fn commit_all(&mut self) -> Vec<Transaction> {
        let mut committed = Vec::new();
        while !self.commits.is_empty() {
            for (operation, transaction) in std::mem::take(&mut self.commits) {
                self.version += 1;
                self.leader.handle_commit_result(self.now, operation, Ok(self.version));
                committed.push(transaction);
            }
            self.collect_effects();
        }
        committed
    }

    /// Fails the oldest pending transaction with this error.
    pub(super) fn fail_next_commit(&mut self, error: KvError) {
        let (operation, _) = self.commits.remove(0);
        self.leader.handle_commit_result(self.now, operation, Err(error));
        self.collect_effects();
    }

    /// Advances the clock and lets the leader tick once.
    pub(super) fn advance(&mut self, seconds: f64) {
        self.now += Duration::from_secs_f64(seconds);
        self.leader.tick(self.now);
        self.collect_effects();
    }

    /// Sends a heartbeat without a preemption notice; returns the leader's reply.
    pub(super) fn send_heartbeat(
        &mut self,
        name: &str,
        incarnation: u64,
        sequence: u64,
        fencing_token: u64,
        tasks: Vec<TaskStatus>,
    ) -> HeartbeatReply {
        self.send_heartbeat_with_notice(name, incarnation, sequence, fencing_token, None, tasks)
    }

    /// Sends a heartbeat; `notice_s` is the time until the machine is preempted, in seconds.
    pub(super) fn send_heartbeat_with_notice(
        &mut self,
        name: &str,
        incarnation: u64,
        sequence: u64,
        fencing_token: u64,
        notice_s: Option<f64>,
        tasks: Vec<TaskStatus>,
    ) -> HeartbeatReply {
        let heartbeat = Heartbeat {
            incarnation,
            fencing_token,
            preemption_notice_s: notice_s,
            ..heartbeat_message(name, sequence, tasks)
        };
        let reply = self.leader.handle_heartbeat(self.now, &heartbeat);
        self.collect_effects();
        reply
    }

    /// Sends a heartbeat of the first incarnation; returns the commands of the reply. Panics if
    /// the machine is redirected.
    pub(super) fn heartbeat(
        &mut self,
        name: &str,
        sequence: u64,
        fencing_token: u64,
        tasks: Vec<TaskStatus>,
    ) -> Vec<Command> {
        match self.send_heartbeat(name, 1, sequence, fencing_token, tasks) {
            HeartbeatReply::Commands { fencing_token: EPOCH, commands } => commands,
            other => panic!("unexpected reply to a heartbeat: {other:?}"),
        }
    }

    /// The id under which the next user request is answered.
    fn next_reply_id(&mut self) -> ReplyId {
        self.last_reply_id += 1;
        ReplyId(self.last_reply_id)
    }

    /// Submits a job; returns the id under which it is answered.
    pub(super) fn submit(&mut self, spec: JobSpec) -> ReplyId {
        let reply = self.next_reply_id();
        self.leader.submit(self.now, NOW_MS, reply, spec);
        self.collect_effects();
        reply
    }

    /// Submits a job and commits its record; it must be admitted.
    pub(super) fn accept(&mut self, spec: JobSpec) {
        let reply = self.submit(spec);
        self.commit_all();
        assert_eq!(self.answer(reply).map(|answer| answer.status), Some(201));
    }

    /// Cancels a job that the leader holds; returns the id under which it is answered.
    pub(super) fn cancel(&mut self, job: &str) -> ReplyId {
        let reply = self.next_reply_id();
        assert_eq!(self.leader.cancel(self.now, reply, &id(job)), CancelOutcome::Accepted);
        self.collect_effects();
        reply
    }

    /// Whether the deletion of any machine is requested from the cloud.
    pub(super) fn requests_deletion(&self) -> bool {
        self.cloud_calls.iter().any(|(_, call)| matches!(call, CloudCall::Delete(_)))
    }

    /// A machine that the leader has registered; panics if it has not.
    pub(super) fn registered_machine(&self, name: &str) -> &Machine {
        self.leader.machines.get(&machine(name)).expect("registered with the leader")
    }

    /// The resources that count against a team's quota.
    pub(super) fn quota_used(&self, team: &str) -> Resources {
        let quotas = &self.leader.quotas;
        quotas.get(quotas.find(team).expect("a team of the settings")).used
    }

    /// The answer to a user request, if it was given.
    pub(super) fn answer(&self, reply: ReplyId) -> Option<Answer> {
        self.answers.iter().find(|(answered, _)| *answered == reply).map(|(_, answer)| answer.clone())
    }

    /// The state that a poll of this job returns, or `None` if the leader does not answer it from
    /// memory.
    pub(super) fn job_state(&self, job: &str) -> Option<JobState> {
        self.leader.poll(self.now, &id(job)).and_then(|answer| answer.job_status).map(|status| status.state)
    }
}
