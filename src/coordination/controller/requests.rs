//! Handles users' requests: the leader's state machine answers them, or they are forwarded to
//! the controller that leads, or answered from the job's record. Every answer about a job passes
//! through [`UserReplies::answer`](super::user_replies::UserReplies::answer).

use tokio::time::Instant;

use crate::coordination::authority::answers::{self, Answer, UnusableReply, Validity};
use crate::coordination::controller::answer_source::{PollOptions, PollSource, leaves_poll_unanswered};
use crate::coordination::controller::events::{
    ForwardedReply, JobLookup, RecordRead, ReplySender, RequestOrigin, UserRequest,
};
use crate::coordination::controller::peers::PeerState;
use crate::coordination::controller::record_reads::LookupSituation;
use crate::coordination::controller::system_time::unix_time_ms;
use crate::coordination::controller::user_replies::PendingReply;
use crate::coordination::controller::{Controller, POLL_TIMEOUT, REQUEST_TIMEOUT, RETRY_AFTER_S};
use crate::coordination::election::Role;
use crate::coordination::jobs::cancellation::CancelOutcome;
use crate::coordination::jobs::dependency_state::DependencyStates;
use crate::coordination::leader::effects::UncheckedSubmission;
use crate::protocol::cbor::decode;
use crate::protocol::jobs::{JobId, JobSpec, JobStatus};
use crate::transport::peer::PeerCall;

/// Seconds after which a user may retry a request about a job whose record cannot be decoded.
/// Longer than for other failures, since only an operator can repair the record.
const UNREADABLE_RETRY_AFTER_S: u32 = 5;

impl Controller {
    /// Answers a call of a user or of another controller, now or later.
    pub(super) fn handle_request(&mut self, call: PeerCall, reply: ReplySender, origin: RequestOrigin) {
        let now = Instant::now();
        let (job, spec) = match &call {
            PeerCall::Poll(id) | PeerCall::Cancel(id) => match JobId::parse(id) {
                Some(job) => (job, None),
                None => return drop(reply.send(no_such_job())),
            },
            PeerCall::Submit(body) => match decode(body).and_then(|value| JobSpec::decode(&value)) {
                Ok(spec) => (spec.id.clone(), Some(spec)),
                Err(error) => return drop(reply.send(Answer::error(400, &error.to_string()))),
            },
            PeerCall::LeaderQuery => return drop(reply.send(self.peer_state(now).to_answer())),
            // Heartbeats arrive on a separate queue.
            PeerCall::Heartbeat(_) => return drop(reply.send(Answer::error(400, "a report"))),
        };
        // A terminal state never changes, whichever controller leads.
        if let Some(status) = self.user_replies.terminal_state(&job) {
            return drop(reply.send(Answer::terminal_state(status.clone())));
        }
        let request = UserRequest { call, job, reply, origin };
        match (&request.call, spec) {
            (PeerCall::Poll(_), _) => self.poll(now, request),
            _ if !self.serves_as_leader(now) => self.forward_to_leader(request),
            (_, Some(spec)) => self.submit(now, spec, request),
            _ => self.cancel(now, request),
        }
    }

    /// Answers a question about a job from the best source that this controller has.
    fn poll(&mut self, now: Instant, request: UserRequest) {
        let serves_as_leader = self.serves_as_leader(now);
        let status = self.snapshot_loader.status(&request.job);
        let snapshot_validity = self.snapshot_validity(now);
        let routes =
            if serves_as_leader { Vec::new() } else { self.routing.routes_to_leader(now, request.origin) };
        let options = PollOptions {
            serves_as_leader,
            reads_snapshot: snapshot_validity.is_some(),
            is_in_snapshot: status.is_some(),
            has_route: !routes.is_empty(),
            origin: request.origin,
        };
        match (options.choose(), status, snapshot_validity) {
            (PollSource::Memory, ..) => self.poll_leader(now, request),
            (PollSource::Snapshot, Some(status), Some(validity)) => {
                let answer = Answer::job_state(200, status, validity);
                self.user_replies.answer(request.reply, &request.job, answer);
            }
            (PollSource::Leader, ..) => self.routing.forward(request, routes),
            (PollSource::Record, ..) => self.answer_from_record(now, request),
            (PollSource::Snapshot | PollSource::Refusal, ..) => {
                self.refuse(request, "no leader at the moment");
            }
        }
    }

    /// How long an answer from the snapshot that is being read stays valid; `None` if none is, or the
    /// lease has expired.
    fn snapshot_validity(&self, now: Instant) -> Option<Validity> {
        let Role::Leader { epoch, lease_expiry } = *self.routing.role() else { return None };
        let is_valid = self.snapshot_loader.epoch() == Some(epoch) && now < lease_expiry;
        is_valid.then_some(Validity { epoch, valid_until: lease_expiry })
    }

    /// Whether this controller's state machine handles users' requests. A leader whose lease has
    /// expired can answer few of them, so they are forwarded if another controller is known to
    /// lead.
    fn serves_as_leader(&self, now: Instant) -> bool {
        match &self.leader {
            Some(leader) => leader.holds_lease(now) || self.routing.leading_peer(now).is_none(),
            None => false,
        }
    }

    /// Returns the state that this controller reports to its peers.
    fn peer_state(&self, now: Instant) -> PeerState {
        match &self.leader {
            Some(leader) if leader.holds_lease(now) => PeerState::Leading(leader.epoch()),
            Some(_) => PeerState::LeaseExpired,
            // Without a leader's state machine this controller answers no heartbeat with 200 on
            // its own, it only redirects or relays; and a state machine is started only in a new
            // epoch.
            None => PeerState::Idle,
        }
    }

    fn submit(&mut self, now: Instant, spec: JobSpec, request: UserRequest) {
        let reply = self.user_replies.register(now, request.reply, request.job);
        if let Some(leader) = &mut self.leader {
            leader.submit(now, unix_time_ms(), reply, spec);
        }
    }

    fn poll_leader(&mut self, now: Instant, request: UserRequest) {
        match self.leader.as_ref().and_then(|leader| leader.poll(now, &request.job)) {
            Some(answer) => self.user_replies.answer(request.reply, &request.job, answer),
            None => self.answer_from_record(now, request),
        }
    }

    fn cancel(&mut self, now: Instant, request: UserRequest) {
        let UserRequest { job, reply, .. } = request;
        let id = self.user_replies.register(now, reply, job.clone());
        let outcome = self.leader.as_mut().map(|leader| leader.cancel(now, id, &job));
        let is_in_memory = outcome == Some(CancelOutcome::Accepted);
        if !is_in_memory && let Some(PendingReply { reply, job, .. }) = self.user_replies.take(id) {
            let deadline = now + POLL_TIMEOUT;
            let if_absent = no_such_job();
            self.look_up(JobLookup { reply, job, if_absent, only_terminal: true, deadline });
        }
    }

    /// Forwards a user's request to the leader, if necessary through another controller around
    /// a network partition.
    fn forward_to_leader(&mut self, request: UserRequest) {
        let routes = self.routing.routes_to_leader(Instant::now(), request.origin);
        if routes.is_empty() {
            return self.refuse(request, "no leader at the moment");
        }
        self.routing.forward(request, routes);
    }

    /// Answers a request that could not be forwarded to the leader: a user's poll from the
    /// record, any other request with a failure.
    pub(super) fn answer_without_leader(&mut self, request: UserRequest, reason: &'static str) {
        match request.call {
            PeerCall::Poll(_) if request.origin == RequestOrigin::User => {
                self.answer_from_record(Instant::now(), request);
            }
            _ => self.refuse(request, reason),
        }
    }

    /// Tells the sender of a request to retry.
    fn refuse(&mut self, request: UserRequest, reason: &'static str) {
        let failure = Answer::retry_later(503, reason, RETRY_AFTER_S);
        self.user_replies.answer(request.reply, &request.job, failure);
    }

    /// Answers with another controller's reply if it is usable. If it is not, or a refusal, a user's
    /// poll is answered from the record in the time that is left; any other request fails.
    pub(super) fn handle_forwarded_reply(&mut self, forwarded: ForwardedReply) {
        let ForwardedReply { request, peer, forwarded_at, peer_reply } = forwarded;
        let UserRequest { call, job, .. } = &request;
        let fresh_until = forwarded_at + REQUEST_TIMEOUT;
        let newest_epoch = self.routing.newest_epoch(Instant::now());
        let usable = answers::from_peer_reply(peer_reply, job, forwarded_at, fresh_until, newest_epoch)
            .and_then(|answer| match call {
                PeerCall::Cancel(_) => require_terminal(answer),
                _ => Ok(answer),
            });
        let answer = usable.unwrap_or_else(|error| {
            tracing::error!(%job, %peer, %error, "reply of another controller rejected");
            Answer::retry_later(503, "try again", RETRY_AFTER_S)
        });
        let is_users_poll = matches!(call, PeerCall::Poll(_)) && request.origin == RequestOrigin::User;
        if is_users_poll && leaves_poll_unanswered(&answer) && Instant::now() < forwarded_at + POLL_TIMEOUT {
            return self.answer_from_record(forwarded_at, request);
        }
        self.user_replies.answer(request.reply, &request.job, answer);
    }

    /// Answers a poll from the record, which alone determines whether a job was ever admitted. The
    /// time for which its user waits is counted from `since`.
    fn answer_from_record(&mut self, since: Instant, request: UserRequest) {
        let UserRequest { job, reply, .. } = request;
        let deadline = since + POLL_TIMEOUT;
        self.look_up(JobLookup { reply, job, if_absent: no_such_job(), only_terminal: false, deadline });
    }

    /// Reads a job's record for a user who still waits; answers with a failure if too many reads are in
    /// flight.
    pub(super) fn look_up(&mut self, lookup: JobLookup) {
        if lookup.reply.is_closed() {
            return;
        }
        let situation = if self.snapshot_loader.epoch().is_some() {
            LookupSituation::BesideSnapshot
        } else {
            LookupSituation::Ordinary
        };
        if !self.record_reads.try_acquire(situation) {
            return self.user_replies.answer(lookup.reply, &lookup.job, too_many_requests());
        }
        self.record_reads.look_up(lookup, situation);
    }

    /// Answers a user after the job's record was read. A terminal state in the record is the
    /// answer. If the recorded state is not terminal, the leader's in-memory state is preferred:
    /// it may be terminal by now, and it includes the running tasks. If only a terminal state may
    /// be the answer, the user is told to retry instead.
    pub(super) fn handle_job_looked_up(&mut self, lookup: JobLookup, started: Instant, read: RecordRead) {
        self.record_reads.release();
        let JobLookup { reply, job, if_absent, only_terminal, .. } = lookup;
        if let RecordRead::Found(status) = &read {
            self.snapshot_loader.record_lookup(started, status);
        }
        let answer = match read {
            RecordRead::Absent => if_absent,
            RecordRead::Unreadable => Answer::retry_later(503, "unreadable record", UNREADABLE_RETRY_AFTER_S),
            RecordRead::Unavailable => Answer::retry_later(503, "records cannot be read now", RETRY_AFTER_S),
            RecordRead::Found(status) if status.state.is_terminal() => Answer::terminal_state(status),
            RecordRead::Found(_) if only_terminal => Answer::retry_later(503, "try again", RETRY_AFTER_S),
            RecordRead::Found(status) => self.answer_from_memory_or_record(status, &job, started),
        };
        self.user_replies.answer(reply, &job, answer);
    }

    /// Builds the answer from the leader's in-memory state or, failing that, from the state
    /// `recorded` in the job's record, which was read at `read_at`.
    fn answer_from_memory_or_record(&self, recorded: JobStatus, job: &JobId, read_at: Instant) -> Answer {
        let from_memory =
            self.leader.as_ref().and_then(|leader| leader.status_from_memory(Instant::now(), job));
        let validity = Validity { epoch: 0, valid_until: read_at + POLL_TIMEOUT };
        from_memory.unwrap_or_else(|| Answer::job_state(200, recorded, validity))
    }

    /// Reads the records of the jobs that a submission depends on; answers with a failure if too
    /// many reads are in flight.
    pub(super) fn read_dependencies(&mut self, epoch: u64, submission: Box<UncheckedSubmission>) {
        if !self.record_reads.try_acquire(LookupSituation::Ordinary) {
            return self.user_replies.answer_pending(submission.reply, too_many_requests());
        }
        self.record_reads.read_dependencies(epoch, submission);
    }

    /// Continues a submission, now with the states of the jobs that it depends on. `states` is
    /// `None` if their records could not be read.
    pub(super) fn handle_dependencies_read(
        &mut self,
        epoch: u64,
        submission: UncheckedSubmission,
        states: Option<DependencyStates>,
    ) {
        self.record_reads.release();
        let now = Instant::now();
        let UncheckedSubmission { reply, spec, read_states: mut dependencies, .. } = submission;
        match (states, self.leader_of_epoch(epoch)) {
            (Some(states), Some(leader)) => {
                dependencies.extend(states);
                leader.submit_with_dependency_states(now, unix_time_ms(), reply, spec, dependencies);
            }
            _ => {
                let failure = Answer::retry_later(503, "awaited jobs cannot be looked up now", RETRY_AFTER_S);
                self.user_replies.answer_pending(reply, failure);
            }
        }
    }
}

/// Rejects an answer to a cancellation that is neither a terminal state nor a failure.
fn require_terminal(answer: Answer) -> Result<Answer, UnusableReply> {
    if answer.validity.is_some() { Err(UnusableReply::NotTerminal) } else { Ok(answer) }
}

fn no_such_job() -> Answer {
    Answer::error(404, "no such job")
}

fn too_many_requests() -> Answer {
    Answer::retry_later(503, "too many requests at once", RETRY_AFTER_S)
}
