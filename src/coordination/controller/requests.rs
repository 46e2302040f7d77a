//! Users' requests: answered by the leader's picture, handed on to the controller that
//! leads, or answered from the record. Whatever way an answer came, it passes through
//! [`Node::tell`].

use crate::coordination::jobs::cancellation::CancelOutcome;
use crate::protocol::jobs::JobState;

use super::*;

/// A user's request about one job.
pub(super) struct UserRequest {
    pub(super) call: PeerCall,
    pub(super) job: JobId,
    pub(super) reply: Reply,
    pub(super) origin: RequestOrigin,
}

/// A request that waits for an answer of the leader's state machine.
pub(super) struct PendingReply {
    pub(super) reply: Reply,
    pub(super) job: JobId,
    pub(super) since: Instant,
}

/// What reading a job's record came to.
pub(super) enum RecordRead {
    Absent,
    Found(JobStatus),
    Unreadable,
    Unavailable,
}

/// A read of a job's record for a user.
pub(super) struct JobLookUp {
    pub(super) reply: Reply,
    pub(super) job: JobId,
    /// The answer if there is no record.
    pub(super) if_absent: Answer,
    /// Only a final state answers the request.
    pub(super) only_terminal: bool,
}

/// A reply of another controller to a request that was handed on to it.
pub(super) struct ForwardedReply {
    pub(super) request: UserRequest,
    pub(super) peer: String,
    /// When the request was handed on.
    pub(super) forwarded_at: Instant,
    pub(super) peer_reply: PeerReply,
}

impl Controller {
    pub(super) fn handle_request(&mut self, call: PeerCall, reply: Reply, origin: RequestOrigin) {
        let now = Instant::now();
        let (job, spec) = match &call {
            PeerCall::Poll(id) | PeerCall::Cancel(id) => match JobId::parse(id) {
                Some(job) => (job, None),
                None => return drop(reply.send(Answer::error(404, "no such job"))),
            },
            PeerCall::Submit(body) => match decode(body).and_then(|value| JobSpec::decode(&value)) {
                Ok(spec) => (spec.id.clone(), Some(spec)),
                Err(error) => return drop(reply.send(malformed_answer(&error))),
            },
            PeerCall::LeaderQuery => return drop(reply.send(self.answer_leader_query(now))),
            // Reports have a buffer of their own.
            PeerCall::Heartbeat(_) => return drop(reply.send(Answer::error(400, "a report"))),
        };
        // What is final stays so, whoever leads.
        if let Some(status) = self.terminal_states.get(&job) {
            return drop(reply.send(Answer::terminal_state(status.clone())));
        }
        let request = UserRequest { call, job, reply, origin };
        match (&request.call, spec) {
            _ if !self.serves_as_leader(now) => self.forward_to_leader(request),
            (_, Some(spec)) => self.submit(now, spec, request),
            (PeerCall::Cancel(_), _) => self.cancel(now, request),
            _ => self.poll(now, request),
        }
    }

    fn submit(&mut self, now: Instant, spec: JobSpec, request: UserRequest) {
        let to = self.register_pending_reply(request.reply, request.job, now);
        if let Some(leader) = &mut self.leader {
            leader.submit(now, wall_ms(), to, spec);
        }
    }

    /// Whether users' requests go to the state machine here. A leader past its lease
    /// answers little; one that leads now, all.
    fn serves_as_leader(&self, now: Instant) -> bool {
        let lapsed = self.leader.as_ref().is_some_and(|l| !l.holds_lease(now));
        self.leader.is_some() && !(lapsed && self.peers.known_leader(now).is_some())
    }

    /// Says to another controller whether this one leads.
    fn answer_leader_query(&self, now: Instant) -> Answer {
        match self.leader.as_ref().filter(|l| l.holds_lease(now)).map(Leader::epoch) {
            Some(epoch) => Answer::new(200, &MapBuilder::new().set("epoch", epoch).build()),
            // Without a picture no worker gets a 200 from here, and a picture comes
            // only with a new epoch.
            None => Answer::new(421, &MapBuilder::new().set("free", self.leader.is_none()).build()),
        }
    }

    fn poll(&mut self, now: Instant, request: UserRequest) {
        let UserRequest { job, reply, .. } = request;
        match self.leader.as_ref().and_then(|leader| leader.poll(now, &job)) {
            Some(answer) => self.answer_about_job(reply, &job, answer),
            None => self.look_up_or_refuse(reply, job),
        }
    }

    fn cancel(&mut self, now: Instant, request: UserRequest) {
        let UserRequest { job, reply, .. } = request;
        let to = self.register_pending_reply(reply, job.clone(), now);
        let outcome = self.leader.as_mut().map(|leader| leader.cancel(now, to, &job));
        let known = outcome == Some(CancelOutcome::Accepted);
        if !known && let Some(PendingReply { reply, job, .. }) = self.pending_replies.remove(&to) {
            let absent = Answer::error(404, "no such job");
            self.look_up(JobLookUp { reply, job, if_absent: absent, only_terminal: true });
        }
    }

    fn register_pending_reply(&mut self, reply: Reply, job: JobId, now: Instant) -> ReplyId {
        self.last_reply += 1;
        let to = ReplyId(self.last_reply);
        self.pending_replies.insert(to, PendingReply { reply, job, since: now });
        to
    }

    /// Answers a request that waits for the state machine, unless it was answered before.
    pub(super) fn answer_pending(&mut self, to: ReplyId, answer: Answer) {
        if let Some(PendingReply { reply, job, .. }) = self.pending_replies.remove(&to) {
            self.answer_about_job(reply, &job, answer);
        }
    }

    /// The one place through which every answer about a job goes: a final state that
    /// was told before, or learnt from a record, wins over whatever was decided since
    /// the request came.
    pub(super) fn answer_about_job(&mut self, reply: Reply, job: &JobId, answer: Answer) {
        let _ = reply.send(self.terminal_states.resolve(job, answer));
    }

    /// Hands a user's request to the leader, past a cut through another controller if
    /// need be. A poll that it cannot answer is answered from the record.
    fn forward_to_leader(&mut self, request: UserRequest) {
        let ways = self.routes_to_leader(Instant::now(), request.origin);
        if ways.is_empty() {
            return self.answer_without_leader(request, "no leader at the moment");
        }
        let (inner, unreached) = (self.events.clone(), self.leader_unreachable_since.is_some());
        let patience = POLL_TIMEOUT / ways.len() as u32;
        tokio::spawn(async move {
            for (peer, link, relay) in ways {
                let asked = Instant::now();
                if let Some(answer) = link.call(request.call.clone(), relay, patience).await {
                    let reply = ForwardedReply { request, peer, forwarded_at: asked, peer_reply: answer };
                    let _ = inner.send(InternalEvent::Forwarded(Box::new(reply))).await;
                    if unreached {
                        let _ = inner.send(InternalEvent::LeaderReached(true)).await;
                    }
                    return;
                }
                let _ = inner.send(InternalEvent::PeerTimedOut { peer }).await;
            }
            let _ = inner.send(InternalEvent::LeaderReached(false)).await;
            let _ = inner.send(InternalEvent::LeaderUnreachable(request)).await;
        });
    }

    /// No way led to the leader: a poll of a user is answered from the record.
    pub(super) fn answer_without_leader(&mut self, request: UserRequest, reason: &str) {
        let UserRequest { call, job, reply, origin } = request;
        match call {
            PeerCall::Poll(_) if origin == RequestOrigin::User => self.look_up_or_refuse(reply, job),
            _ => self.answer_about_job(reply, &job, Answer::retry_later(503, reason, 1)),
        }
    }

    /// Another controller's reply, as far as it may be told.
    pub(super) fn handle_forwarded_reply(&mut self, forwarded: ForwardedReply) {
        let ForwardedReply { request, peer, forwarded_at: asked, peer_reply: answer } = forwarded;
        let UserRequest { call, job, reply, .. } = request;
        let usable =
            answers::from_peer_reply(answer, &job, asked, asked + REQUEST_TIMEOUT, self.newest_epoch());
        let withdraws = matches!(call, PeerCall::Cancel(_));
        let usable = usable.and_then(|answer| match withdraws && answer.validity.is_some() {
            true => Err(UnusableReply::NotTerminal),
            false => Ok(answer),
        });
        let answer = usable.unwrap_or_else(|error| {
            tracing::error!(%job, %peer, %error, "another controller's reply is not passed on");
            Answer::retry_later(503, "try again", 1)
        });
        self.answer_about_job(reply, &job, answer);
    }

    /// The highest epoch that this controller has heard of.
    fn newest_epoch(&self) -> u64 {
        let by_role = match &self.role {
            Role::Follower { epoch, .. } | Role::Leader { epoch, .. } => *epoch,
            Role::Leaderless => 0,
        };
        by_role.max(self.peers.known_leader(Instant::now()).map_or(0, |(_, epoch)| epoch))
    }

    /// The ways to the leader, the best first, at most two. `true`: through a
    /// controller that is to hand the call on.
    pub(super) fn routes_to_leader(
        &self,
        now: Instant,
        origin: RequestOrigin,
    ) -> Vec<(String, PeerLink, bool)> {
        let leader = self.other_leader(now).filter(|_| origin != RequestOrigin::Peer);
        let Some((leader, _)) = leader else { return Vec::new() };
        let mut names = Vec::new();
        let reachable = self.peers.is_reachable(now, leader);
        let relays =
            if origin == RequestOrigin::User { self.peers.relay_candidates(now, leader) } else { Vec::new() };
        // Unless there is no other way, one that has just failed is not tried.
        if reachable || relays.is_empty() {
            names.push((leader.to_owned(), false));
        }
        names.extend(relays.into_iter().map(|name| (name, true)));
        names.truncate(2);
        let link = |(name, relay): (String, bool)| {
            let link = self.links.get(&name)?.clone();
            Some((name, link, relay))
        };
        names.into_iter().filter_map(link).collect()
    }

    /// Answers from the record, which alone decides what was ever accepted.
    fn look_up_or_refuse(&mut self, reply: Reply, job: JobId) {
        let absent = Answer::error(404, "no such job");
        self.look_up(JobLookUp { reply, job, if_absent: absent, only_terminal: false });
    }

    pub(super) fn look_up(&mut self, look_up: JobLookUp) {
        if self.lookups_in_flight >= self.capacity.lookups {
            let busy = Answer::retry_later(503, "too many requests at once", 1);
            return self.answer_about_job(look_up.reply, &look_up.job, busy);
        }
        self.lookups_in_flight += 1;
        let (store, inner) = (self.store.clone(), self.events.clone());
        tokio::spawn(async move {
            let started = Instant::now();
            let read = read_status(&store, &look_up.job).await;
            let _ = inner.send(InternalEvent::JobLookedUp { look_up, started, read }).await;
        });
    }

    /// Reads the records of jobs that a submission names.
    pub(super) fn read_dependencies(&mut self, epoch: u64, submission: Box<UncheckedSubmission>) {
        if self.lookups_in_flight >= self.capacity.lookups {
            let busy = Answer::retry_later(503, "too many requests at once", 1);
            return self.answer_pending(submission.reply, busy);
        }
        self.lookups_in_flight += 1;
        let (store, inner) = (self.store.clone(), self.events.clone());
        tokio::spawn(async move {
            let read = snapshot::read_dependency_states(&store, submission.unread.clone());
            let read = tokio::time::timeout(REQUEST_TIMEOUT, read).await;
            let states = read.ok().and_then(Result::ok);
            let _ = inner.send(InternalEvent::DependenciesRead { epoch, submission, states }).await;
        });
    }

    /// The records of jobs that a submission names were read.
    pub(super) fn handle_dependencies_read(
        &mut self,
        epoch: u64,
        submission: UncheckedSubmission,
        states: Option<DependencyStates>,
    ) {
        self.lookups_in_flight -= 1;
        let now = Instant::now();
        let UncheckedSubmission { reply: to, spec, known: mut read, .. } = submission;
        match (states, self.leader.as_mut().filter(|leader| leader.epoch() == epoch)) {
            (Some(states), Some(leader)) => {
                read.extend(states);
                leader.submit_with_dependency_states(now, wall_ms(), to, spec, read);
            }
            _ => self.answer_pending(to, Answer::retry_later(503, "awaited jobs cannot be looked up now", 1)),
        }
    }

    /// A record was read. One that is final tells all. Beside one that is not, the
    /// leader's picture may have become final since, and knows what runs.
    pub(super) fn handle_job_looked_up(&mut self, look_up: JobLookUp, started: Instant, read: RecordRead) {
        self.lookups_in_flight -= 1;
        let JobLookUp { reply, job, if_absent: absent, only_terminal: only_final } = look_up;
        let answer = match read {
            RecordRead::Absent => absent,
            RecordRead::Unreadable => Answer::retry_later(503, "unreadable record", 5),
            RecordRead::Unavailable => Answer::retry_later(503, "records cannot be read now", 1),
            RecordRead::Found(status) if status.state.is_terminal() => Answer::terminal_state(status),
            RecordRead::Found(_) if only_final => Answer::retry_later(503, "try again", 1),
            RecordRead::Found(status) => {
                let leader = self.leader.as_ref();
                let picture = leader.and_then(|l| l.status_from_memory(Instant::now(), &job));
                let basis = Validity { epoch: 0, valid_until: started + POLL_TIMEOUT };
                picture.unwrap_or_else(|| Answer::job_state(200, status, basis))
            }
        };
        self.answer_about_job(reply, &job, answer);
    }
}

/// Records of needs that are read for one answer at most; with more of them to look at,
/// the user is told to come back.
const MAX_DEPENDENCIES_READ: usize = 64;

/// What the records say of a job, within the time that its user waits.
async fn read_status(store: &KvClient, job: &JobId) -> RecordRead {
    let read = tokio::time::timeout(POLL_TIMEOUT, status_by_records(store, job)).await;
    match read {
        Ok(Ok(Some(status))) => RecordRead::Found(status),
        Ok(Ok(None)) => RecordRead::Absent,
        Ok(Err(KvError::Rejected)) => RecordRead::Unreadable,
        _ => RecordRead::Unavailable,
    }
}

/// A job's state by its record and, while it waits for others, by theirs: a job whose need
/// is cancelled is so too, whether or not a leader has come to write that yet. Else it
/// would be told cancelled by the leader and queued from here.
async fn status_by_records(store: &KvClient, job: &JobId) -> Result<Option<JobStatus>, KvError> {
    let class = RequestClass::Completion;
    let Some(record) = snapshot::read_record(store, class, job).await? else { return Ok(None) };
    let mut status = record.status();
    if !status.state.is_terminal()
        && snapshot::is_cancelled_by_dependencies(store, class, &record, MAX_DEPENDENCIES_READ).await?
    {
        status.state = JobState::Cancelled;
    }
    Ok(Some(status))
}

fn malformed_answer(error: &Malformed) -> Answer {
    Answer::error(400, &error.to_string())
}
