use super::*;
use crate::coordination::authority::answers::Validity;
use crate::coordination::controller::events::{
    ForwardedReply, JobLookUp, RecordRead, RequestOrigin, UserRequest,
};
use crate::coordination::controller::peers::{KnownLeader, PeerState};
use crate::coordination::jobs::cancellation::CancelOutcome;
use crate::coordination::jobs::job::ReplyId;
use crate::coordination::leader::effects::Effect;
use crate::coordination::recovery::snapshot::{JobSnapshot, Snapshot};
use crate::coordination::tests::{catalog, heartbeat_message, loaded_job, rented};
use crate::protocol::cbor::{Fields, MapBuilder, decode, encode};
use crate::protocol::jobs::{JobId, JobSpec, JobState, JobStatus};
use crate::protocol::workers::{HEARTBEAT_REPLY_TIMEOUT, Heartbeat, MachineId};
use crate::storage::in_memory_kv::{FakeKvServer, kv_client};
use crate::storage::records::{JobRecord, job_record_key};
use crate::transport::codec::Request;
use crate::transport::peer::{PeerCall, PeerHandler, PeerReply, RemainingLease};

/// A controller `c-0` beside `c-1` and `c-2`, at whose addresses nothing listens, with a store
/// in memory and a cloud that answers nothing.
struct TestHarness {
    controller: Controller,
    inputs: Inputs,
    handle: ControllerHandle,
    resigned_epoch: watch::Receiver<u64>,
}

impl TestHarness {
    async fn start() -> Self {
        let kv_server = FakeKvServer::start(&[]).await;
        let mut settings = crate::settings::tests::sample();
        let second = settings.peers[0].clone();
        settings.peers.push(crate::settings::Peer { name: "c-2".into(), ..second });
        let (term, until) = watch::channel(Instant::now());
        let cloud =
            crate::coordination::fleet::cloud::start(kv_server.address(), 1.0, Duration::from_secs(1), until);
        let config = Arc::new(Config { settings, tuning: crate::policy::tests::tuning() });
        let (is_leader, _) = watch::channel(false);
        let (_role_sender, roles) = mpsc::channel(1);
        let (resigned, resigned_epoch) = watch::channel(0);
        let kv = kv_client(kv_server.address(), 12);
        let (controller, inputs, handle) =
            Controller::new(config, kv, cloud, is_leader, term, resigned, roles);
        TestHarness { controller, inputs, handle, resigned_epoch }
    }
}

fn follower_of(leader: &str) -> Role {
    Role::Follower { leader: leader.into(), epoch: 7 }
}

fn request(method: &str, target: &str, body: &[u8]) -> Request {
    Request { method: method.into(), target: target.into(), body: body.to_vec(), close: false }
}

/// A heartbeat of `vm-1` under this fencing token.
fn heartbeat(fencing_token: u64) -> Heartbeat {
    Heartbeat { fencing_token, ..heartbeat_message("vm-1", 1, Vec::new()) }
}

/// Requests are refused at once, rather than kept waiting, while the actor's queue is full.
#[tokio::test]
async fn a_full_queue_refuses_requests_at_once_with_a_time_to_retry() {
    let TestHarness { controller, inputs: _inputs, handle, .. } = TestHarness::start().await;
    for _ in 0..CapacityLimits::new(&controller.config.settings.cluster.limits).queued_requests {
        let (reply, _) = oneshot::channel();
        assert!(handle.requests.try_send(UserMessage::Status { reply }).is_ok());
    }
    let answer = handle.route(request("GET", "/api/jobs/job-1", b"")).await;
    assert_eq!((answer.status, answer.retry_after_s), (429, Some(1)));
}

#[tokio::test]
async fn without_a_leader_submissions_are_refused_and_polls_answered_from_records() {
    let TestHarness { mut controller, mut inputs, handle: _handle, .. } = TestHarness::start().await;
    let spec = crate::protocol::jobs::tests::sample("job-1", "red", 1, 1.0);
    let submit = PeerCall::Submit(encode(&spec.encode().build()));
    let answer = ask(&mut controller, &mut inputs, submit).await;
    assert_eq!((answer.status, answer.retry_after_s), (503, Some(1)));
    let answer = ask(&mut controller, &mut inputs, PeerCall::Cancel("job-1".into())).await;
    assert_eq!(answer.status, 503);
    let answer = ask(&mut controller, &mut inputs, PeerCall::Poll("job-1".into())).await;
    assert_eq!(answer.status, 404, "the record decides whether there is a job");
    let answer = ask(&mut controller, &mut inputs, PeerCall::Submit(b"junk".to_vec())).await;
    assert_eq!(answer.status, 400);
}

/// A network partition between two controllers: the third relays calls, once, and a
/// controller that was taken for the leader forwards nothing.
#[tokio::test]
async fn calls_are_relayed_around_a_partition_by_one_other_controller() {
    let TestHarness { mut controller, inputs: _inputs, handle: _handle, .. } = TestHarness::start().await;
    let now = Instant::now();
    let routes_from = |controller: &Controller, origin| -> Vec<(String, bool)> {
        let routes = controller.routing.routes_to_leader(now, origin);
        routes.into_iter().map(|route| (route.peer, route.via_relay)).collect()
    };
    assert_eq!(routes_from(&controller, RequestOrigin::User), [], "no leader is known");
    controller.routing.set_role(follower_of("c-1"));
    let (direct, relayed) = (("c-1".to_owned(), false), ("c-2".to_owned(), true));
    assert_eq!(routes_from(&controller, RequestOrigin::User), [direct.clone(), relayed.clone()]);
    controller.routing.record_timeout(now, "c-1");
    assert_eq!(
        routes_from(&controller, RequestOrigin::User),
        [relayed],
        "without waiting for the unreachable leader again"
    );
    assert_eq!(routes_from(&controller, RequestOrigin::Relay), std::slice::from_ref(&direct));
    assert_eq!(routes_from(&controller, RequestOrigin::Peer), []);
    controller.routing.record_timeout(now, "c-2");
    assert_eq!(routes_from(&controller, RequestOrigin::User), [direct], "there is no other route to try");
}

/// Controllers that refuse each other's calls: a follower that cannot reach the leader by any
/// route can admit nothing. It is not ready from when the leader would have lost its lease if
/// it were dead, so that users turn to the controller that is.
#[tokio::test]
async fn a_follower_that_cannot_reach_the_leader_is_not_ready() {
    let TestHarness { mut controller, inputs: _inputs, handle: _handle, .. } = TestHarness::start().await;
    controller.handle_role(follower_of("c-1"));
    controller.tick();
    assert!(controller.readiness.is_ready());
    controller.handle_event(InternalEvent::LeaderNotReached);
    controller.tick();
    assert!(controller.readiness.is_ready(), "a leader that has just died is soon followed by another");
    let a_lease_ago = Instant::now().checked_sub(controller.config.tuning.lease);
    controller.routing.record_leader_reached();
    controller.routing.record_leader_unreachable(a_lease_ago.expect("a clock that has run for a while"));
    controller.tick();
    assert!(!controller.readiness.is_ready());
    controller.handle_peer_state(Instant::now(), "c-2", Some(PeerState::Idle));
    controller.tick();
    assert!(!controller.readiness.is_ready(), "a peer that can be reached and does not lead is of no use");
    controller.handle_peer_state(Instant::now(), "c-1", Some(PeerState::Leading(7)));
    controller.tick();
    assert!(controller.readiness.is_ready());
}

/// A leader that cannot reach the store, but the other controllers: its post-lease grace
/// period ends, and its workers are redirected, as soon as it learns of the new leader.
#[tokio::test]
async fn a_leader_past_its_lease_steps_down_when_it_learns_of_a_higher_epoch() {
    let TestHarness { mut controller, inputs: _inputs, handle: _handle, .. } = TestHarness::start().await;
    let now = Instant::now();
    let snapshot = Snapshot::default();
    controller.leader = Some(Leader::new(controller.config.clone(), 40, now, 0, snapshot));
    controller.routing.set_role(Role::Leader { epoch: 40, lease_expiry: now });
    controller.tick();
    assert!(!controller.readiness.is_ready(), "it never was ready, and no longer leads");
    controller.handle_peer_state(now, "c-1", Some(PeerState::Leading(39)));
    assert!(controller.leader.is_some(), "an earlier epoch is ignored");
    controller.handle_peer_state(now, "c-1", Some(PeerState::Leading(41)));
    assert!(controller.leader.is_none());
    assert_eq!(controller.routing.other_leader(now), Some(KnownLeader { name: "c-1", epoch: 41 }));
    controller.tick();
    assert!(controller.readiness.is_ready(), "it can serve users again, through the leader");
}

/// A zone that cannot reach the leader's zone: heartbeats of its workers are relayed by a
/// controller that can; one that was relayed is not relayed again.
#[tokio::test]
async fn heartbeats_of_workers_that_come_back_are_relayed_once() {
    let TestHarness { mut controller, inputs: _inputs, handle: _handle, .. } = TestHarness::start().await;
    controller.routing.set_role(follower_of("c-1"));
    let heartbeat = heartbeat(1);
    let send = |controller: &mut Controller, body: Option<Vec<u8>>| {
        let (reply, answer) = oneshot::channel();
        controller.handle_heartbeat(HeartbeatMessage {
            heartbeat: heartbeat.clone(),
            body,
            reply,
            arrived: Instant::now(),
        });
        answer
    };
    let answered_leader = |answer: Answer| {
        let body = decode(&answer.body).expect("CBOR");
        let name = Fields::of(&body).expect("a map").opt_text("foreman").expect("text").map(str::to_owned);
        (answer.status, name)
    };
    let first = send(&mut controller, Some(Vec::new())).await.expect("answered");
    assert_eq!(answered_leader(first), (421, Some("c-1".into())));
    let relayed = send(&mut controller, None).await.expect("answered at once");
    assert_eq!(answered_leader(relayed), (421, None));
    assert_eq!(controller.routing.relays_in_flight(), 0);
    let _again = send(&mut controller, Some(Vec::new()));
    assert_eq!(controller.routing.relays_in_flight(), 1, "the worker came back");
    // A worker that was with the leader until now is not redirected there first.
    let stayed = Heartbeat {
        machine: MachineId::parse("vm-2").expect("valid"),
        fencing_token: 7,
        ..heartbeat.clone()
    };
    let (reply, _answer) = oneshot::channel();
    let body = Some(Vec::new());
    controller.handle_heartbeat(HeartbeatMessage { heartbeat: stayed, body, reply, arrived: Instant::now() });
    assert_eq!(controller.routing.relays_in_flight(), 2, "relayed at once");
    // A leader that cannot be reached from here is not named.
    controller.routing.record_timeout(Instant::now(), "c-1");
    let lost = send(&mut controller, Some(Vec::new())).await.expect("answered at once");
    assert_eq!(answered_leader(lost), (421, None));
    // Another leader may be reachable for the worker.
    controller.routing.record_peer_state(Instant::now(), "c-1", Some(PeerState::Idle));
    controller.handle_role(follower_of("c-2"));
    let next = send(&mut controller, Some(Vec::new())).await.expect("answered");
    assert_eq!(answered_leader(next), (421, Some("c-2".into())));
}

/// A controller that is overloaded, or was suspended, finds heartbeats in its queue whose
/// workers have turned to another controller.
#[tokio::test]
async fn heartbeats_that_waited_past_the_reply_timeout_are_dropped() {
    let TestHarness { mut controller, inputs: _inputs, handle: _handle, .. } = TestHarness::start().await;
    let now = Instant::now();
    let mut leader = Leader::new(controller.config.clone(), 40, now, 0, Snapshot::default());
    leader.extend_lease(now, now + Duration::from_secs(60));
    controller.leader = Some(leader);
    for (waited, answered) in [(Duration::ZERO, true), (HEARTBEAT_REPLY_TIMEOUT, false)] {
        let (reply, answer) = oneshot::channel();
        let arrived = now.checked_sub(waited).expect("a clock that has run for a while");
        controller.handle_heartbeat(HeartbeatMessage { heartbeat: heartbeat(1), body: None, reply, arrived });
        assert_eq!(answer.await.is_ok(), answered);
    }
}

async fn put_record(controller: &Controller, key: String, value: ciborium::value::Value) {
    let change = crate::protocol::kv::Change::Put { key, value, lease: None };
    let mut write = crate::storage::in_memory_kv::put(0, "unused", 0);
    (write.compares, write.changes) = (Vec::new(), vec![change]);
    assert!(controller.kv.compare_and_swap(write).await.is_ok());
}

/// Makes a user's call, and handles the actor's events until it is answered.
async fn ask(controller: &mut Controller, inputs: &mut Inputs, call: PeerCall) -> Answer {
    let (reply, answer) = oneshot::channel();
    controller.handle_request(call, reply, RequestOrigin::User);
    controller.perform_effects();
    tokio::pin!(answer);
    loop {
        tokio::select! {
            answer = &mut answer => return answer.expect("answered"),
            Some(event) = inputs.events.recv() => controller.handle_event(event),
        }
        controller.perform_effects();
    }
}

/// A follower that cannot reach its leader by any route answers a poll from the record,
/// within the time that a user waits.
#[tokio::test]
async fn a_poll_that_cannot_be_forwarded_is_answered_from_the_record() {
    let TestHarness { mut controller, mut inputs, handle: _handle, .. } = TestHarness::start().await;
    let spec = crate::protocol::jobs::tests::sample("job-1", "red", 1, 1.0);
    let record = JobRecord::new(spec.clone(), 0).encode(8.0);
    put_record(&controller, job_record_key(&spec.id), record).await;
    // Nothing listens at the addresses of the other two controllers.
    controller.routing.set_role(follower_of("c-1"));
    let answer = ask(&mut controller, &mut inputs, PeerCall::Poll("job-1".into())).await;
    assert_eq!(answer.status, 200);
}

/// A job's dependency is cancelled, and no leader has written that into the job's own record
/// yet: a controller that answered from that record alone would say "queued" after the leader
/// that wrote the cancellation has said "cancelled".
#[tokio::test]
async fn an_answer_from_records_takes_account_of_cancelled_dependencies() {
    let TestHarness { mut controller, mut inputs, handle: _handle, .. } = TestHarness::start().await;
    controller.routing.set_role(follower_of("c-1"));
    let mut records = Vec::new();
    let dependent = |job: u32, dependency: u32| {
        let dependencies = vec![JobId::parse(&format!("job-{dependency}")).expect("valid")];
        JobSpec { dependencies, ..crate::protocol::jobs::tests::sample(&format!("job-{job}"), "red", 1, 1.0) }
    };
    let first = crate::protocol::jobs::tests::sample("job-0", "red", 1, 1.0);
    records.push(JobRecord { cancelled: true, ..JobRecord::new(first, 0) });
    records.extend((1..100).map(|n| JobRecord::new(dependent(n, n - 1), 0)));
    // One that has started, so its dependencies were done, and one that waits for that.
    records.push(JobRecord { started_high_water: 1, ..JobRecord::new(dependent(200, 2), 0) });
    records.push(JobRecord::new(dependent(201, 200), 0));
    for record in records {
        put_record(&controller, job_record_key(&record.spec.id), record.encode(8.0)).await;
    }
    for (job, status, state) in [
        ("job-1", 200, Some("cancelled")),
        ("job-40", 200, Some("cancelled")),
        ("job-200", 200, Some("queued")),
        ("job-201", 200, Some("queued")),
        // More records than are read for one answer.
        ("job-99", 503, None),
    ] {
        let answer = ask(&mut controller, &mut inputs, PeerCall::Poll(job.into())).await;
        assert_eq!(answer.status, status, "{job}");
        assert_eq!(state.map(|_| state_of(&answer)).as_deref(), state, "{job}");
        assert_eq!(answer.retry_after_s.is_some(), state.is_none(), "{job}");
    }
    // A terminal state that was served is served again.
    let again = ask(&mut controller, &mut inputs, PeerCall::Poll("job-1".into())).await;
    assert_eq!(state_of(&again), "cancelled");
}

#[tokio::test]
async fn a_relayed_heartbeat_carries_no_body_to_be_relayed_again() {
    let TestHarness { controller: _controller, mut inputs, handle, .. } = TestHarness::start().await;
    for was_relayed in [false, true] {
        let (handle, body) = (handle.clone(), encoded_heartbeat(1));
        tokio::spawn(async move {
            match was_relayed {
                true => drop(PeerHandler::handle(&handle, PeerCall::Heartbeat(body), false).await),
                false => drop(handle.route(request("POST", "/agent/beat", &body)).await),
            }
        });
        let message = inputs.heartbeats.recv().await.expect("a heartbeat");
        assert_eq!(message.body.is_none(), was_relayed);
    }
}

#[tokio::test]
async fn unknown_paths_and_methods_are_refused_with_their_status() {
    let TestHarness { controller: _controller, inputs: _inputs, handle, .. } = TestHarness::start().await;
    for (method, target, status) in [
        ("GET", "/nowhere", 404),
        ("GET", "/api/jobs", 405),
        ("DELETE", "/api/jobs/job-1", 405),
        ("GET", "/api/jobs/job-1/withdraw", 405),
        ("GET", "/api/jobs/not-a-job", 404),
        ("GET", "/agent/beat", 405),
        ("POST", "/agent/beat", 400),
        ("GET", "/ready", 503),
    ] {
        assert_eq!(handle.route(request(method, target, b"")).await.status, status, "{method} {target}");
    }
}

/// A job that is unfinished by its record, but not in the leader's memory: a cancellation is
/// not answered from that record, since its outcome is open.
#[tokio::test]
async fn a_cancellation_is_answered_from_a_record_only_if_that_is_terminal() {
    let TestHarness { mut controller, mut inputs, handle: _handle, .. } = TestHarness::start().await;
    let spec = crate::protocol::jobs::tests::sample("job-1", "red", 1, 1.0);
    for (completed, status) in [(false, 503), (true, 200)] {
        let record = JobRecord { completed, ..JobRecord::new(spec.clone(), 0) }.encode(8.0);
        put_record(&controller, job_record_key(&spec.id), record).await;
        let now = Instant::now();
        let mut leader = Leader::new(controller.config.clone(), 40, now, 0, Snapshot::default());
        leader.extend_lease(now, now + Duration::from_secs(60));
        controller.leader = Some(leader);
        let answer = ask(&mut controller, &mut inputs, PeerCall::Cancel("job-1".into())).await;
        assert_eq!(answer.status, status);
    }
}

/// Makes the controller lead with a job of one task whose terminal write is in flight: sent,
/// and its outcome not known. `completes`: the task is done; otherwise the job is cancelled.
fn lead_with_terminal_write_in_flight(controller: &mut Controller, spec: &JobSpec, completes: bool) {
    let now = Instant::now();
    let record = JobRecord { started_high_water: 1, ..JobRecord::new(spec.clone(), 0) };
    let job = JobSnapshot { record, record_version: 5, live_row_version: 5, block_versions: Vec::new() };
    let snapshot = Snapshot { jobs: vec![job], ..Snapshot::default() };
    let mut leader = Leader::new(controller.config.clone(), 40, now, 0, snapshot);
    leader.extend_lease(now, now + Duration::from_secs(60));
    if completes {
        leader.mark_task_done(now, &spec.id, 0);
    } else {
        assert_eq!(leader.cancel(now, ReplyId(0), &spec.id), CancelOutcome::Accepted);
    }
    assert!(leader.drain_effects().iter().any(|a| matches!(a, Effect::Commit { .. })), "it is sent");
    controller.leader = Some(leader);
}

/// The cause of `went_back` (docs/incidents/inc-went-back.md): a transaction was committed and
/// only its answer lost, another controller read the record and served the terminal state,
/// and the leader went on answering with the earlier state from memory, under a valid lease.
#[tokio::test]
async fn a_leader_reads_the_record_while_a_terminal_write_of_its_own_is_in_flight() {
    let spec = crate::protocol::jobs::tests::sample("job-1", "red", 1, 1.0);
    let resubmission = || PeerCall::Submit(encode(&spec.encode().build()));
    for (completes, state) in [(true, "done"), (false, "cancelled")] {
        for committed in [true, false] {
            for call in [PeerCall::Poll("job-1".into()), resubmission()] {
                let TestHarness { mut controller, mut inputs, handle: _handle, .. } =
                    TestHarness::start().await;
                lead_with_terminal_write_in_flight(&mut controller, &spec, completes);
                let (completed, cancelled) = (committed && completes, committed && !completes);
                let record = JobRecord {
                    completed,
                    cancelled,
                    started_high_water: 1,
                    ..JobRecord::new(spec.clone(), 0)
                };
                put_record(&controller, job_record_key(&spec.id), record.encode(8.0)).await;
                let answer = ask(&mut controller, &mut inputs, call.clone()).await;
                let expected = if committed { state } else { "queued" };
                assert_eq!((answer.status, state_of(&answer)), (200, expected.to_owned()), "{call:?}");
            }
        }
    }
}

fn state_of(answer: &Answer) -> String {
    let body = decode(&answer.body).expect("CBOR");
    Fields::of(&body).expect("a map").text("standing").expect("a state").to_owned()
}

/// A follower forwarded a request, the leader's answer was delayed on the link, and meanwhile
/// the follower has served the terminal state: the delayed answer must not be sent after it.
#[tokio::test]
async fn a_forwarded_answer_does_not_follow_a_terminal_state_served_here() {
    let TestHarness { mut controller, inputs: _inputs, handle: _handle, .. } = TestHarness::start().await;
    controller.routing.set_role(follower_of("c-1"));
    let job = JobId::parse("job-1").expect("valid");
    let status = |state| JobStatus { id: job.clone(), state, done_tasks: 0, running_tasks: 0 };
    let lease = RemainingLease { epoch: 7, remaining: Duration::from_secs(3) };
    let forwarded = |controller: &mut Controller, state, lease| {
        let (reply, answer) = oneshot::channel();
        let call = PeerCall::Poll("job-1".into());
        let request = UserRequest { call, job: job.clone(), reply, origin: RequestOrigin::User };
        let body = encode(&status(state).encode());
        let peer_reply = PeerReply { status: 200, body, retry_after_s: None, lease };
        let peer = "c-1".to_owned();
        controller.handle_forwarded_reply(ForwardedReply {
            request,
            peer,
            forwarded_at: Instant::now(),
            peer_reply,
        });
        answer
    };
    let first = forwarded(&mut controller, JobState::Running, Some(lease)).await.expect("answered");
    assert_eq!(state_of(&first), "running");
    let stale = RemainingLease { epoch: 6, ..lease };
    let refused = forwarded(&mut controller, JobState::Running, Some(stale)).await.expect("answered");
    assert_eq!(refused.status, 503, "decided in an earlier epoch");
    let last = forwarded(&mut controller, JobState::Cancelled, None).await.expect("answered");
    assert_eq!(state_of(&last), "cancelled");
    let delayed = forwarded(&mut controller, JobState::Running, Some(lease)).await.expect("answered");
    assert_eq!(state_of(&delayed), "cancelled");
    // The same holds for a record that was read before.
    let (reply, answer) = oneshot::channel();
    let absent = Answer::error(404, "no such job");
    let look_up = JobLookUp { reply, job: job.clone(), if_absent: absent, only_terminal: false };
    assert!(controller.record_reads.try_begin());
    controller.handle_job_looked_up(look_up, Instant::now(), RecordRead::Found(status(JobState::Queued)));
    assert_eq!(state_of(&answer.await.expect("answered")), "cancelled");
    // And a cancellation must not be answered with another state.
    let (reply, answer) = oneshot::channel();
    let other = JobId::parse("job-2").expect("valid");
    let call = PeerCall::Cancel("job-2".into());
    let request = UserRequest { call, job: other.clone(), reply, origin: RequestOrigin::User };
    let queued = JobStatus { id: other, state: JobState::Queued, done_tasks: 0, running_tasks: 0 };
    let peer_reply =
        PeerReply { status: 200, body: encode(&queued.encode()), retry_after_s: None, lease: Some(lease) };
    controller.handle_forwarded_reply(ForwardedReply {
        request,
        peer: "c-1".into(),
        forwarded_at: Instant::now(),
        peer_reply,
    });
    assert_eq!(answer.await.expect("answered").status, 503);
}

/// The actor decides under its lease, and the process is suspended before the answer is sent:
/// the last step, to users and to other controllers, checks the lease again.
#[tokio::test(start_paused = true)]
async fn an_answer_delayed_past_its_lease_is_not_sent() {
    let TestHarness { controller: _controller, mut inputs, handle, .. } = TestHarness::start().await;
    let job = JobId::parse("job-1").expect("valid");
    for (state, is_delayed, status) in
        [(JobState::Running, false, 200), (JobState::Running, true, 503), (JobState::Done, true, 200)]
    {
        let basis = Validity { epoch: 7, valid_until: Instant::now() + Duration::from_secs(1) };
        let served = JobStatus { id: job.clone(), state, done_tasks: 0, running_tasks: 0 };
        let to_user = handle.clone();
        let user = tokio::spawn(async move {
            crate::transport::server::Handler::handle(&to_user, request("GET", "/api/jobs/job-1", b"")).await
        });
        let to_peer = handle.clone();
        let peer = tokio::spawn(async move {
            PeerHandler::handle(&to_peer, PeerCall::Poll("job-1".into()), false).await
        });
        for _ in 0..2 {
            let Some(UserMessage::Call { reply, .. }) = inputs.requests.recv().await else {
                panic!("no request")
            };
            assert!(reply.send(Answer::job_state(200, served.clone(), basis)).is_ok());
        }
        if is_delayed {
            tokio::time::advance(Duration::from_secs(2)).await;
        }
        assert_eq!(user.await.expect("answered").status, status, "{state:?}");
        assert_eq!(peer.await.expect("answered").status, status, "{state:?}");
    }
}

/// A worker's heartbeat with this fencing token, as encoded on the wire.
fn encoded_heartbeat(fencing_token: u64) -> Vec<u8> {
    let heartbeat = MapBuilder::new()
        .set("bench", "vm-1")
        .set("address", "")
        .set("build", "m8")
        .set("hall", "z1")
        .set("shift", 1)
        .set("tick", 1)
        .set("baton", fencing_token);
    encode(&heartbeat.build())
}

/// Makes the controller lead in epoch 40 for a second, with a machine and, if `starts`, a task
/// to start on it.
fn lead_for_a_second(controller: &mut Controller, starts: bool) {
    let spec = crate::protocol::jobs::tests::sample("job-1", "red", 1, 1.0);
    let jobs = if starts { vec![loaded_job(spec)] } else { Vec::new() };
    let node_pools = vec![rented("vm-1", true)];
    let snapshot = Snapshot { jobs, node_pools, catalog: Some((catalog(), 2)), ..Snapshot::default() };
    let now = Instant::now();
    let mut leader = Leader::new(controller.config.clone(), 40, now, 0, snapshot);
    leader.extend_lease(now, now + Duration::from_secs(1));
    controller.leader = Some(leader);
}

/// A heartbeat is answered under the lease, and the process is suspended before the answer is
/// sent. By then another controller may lead, and may have confirmed the cancellation of what
/// the answer starts; an answer that only renews the worker's lease is sent for the post-lease
/// grace period too. Both to the worker and to a controller that relayed the heartbeat.
#[tokio::test(start_paused = true)]
async fn an_answer_to_a_heartbeat_is_not_sent_past_its_lease() {
    let post_lease_grace = TestHarness::start().await.controller.config.post_lease_grace();
    let second = Duration::from_secs(1);
    for (starts, delay, status) in [
        (true, Duration::ZERO, 200),
        (true, second * 2, 503),
        (false, second * 2, 200),
        (false, second * 2 + post_lease_grace, 503),
    ] {
        for was_relayed in [false, true] {
            let TestHarness { mut controller, mut inputs, handle, .. } = TestHarness::start().await;
            lead_for_a_second(&mut controller, starts);
            let answered = tokio::spawn(async move {
                match was_relayed {
                    true => {
                        PeerHandler::handle(&handle, PeerCall::Heartbeat(encoded_heartbeat(40)), false)
                            .await
                            .status
                    }
                    false => {
                        let post = request("POST", "/agent/beat", &encoded_heartbeat(40));
                        crate::transport::server::Handler::handle(&handle, post).await.status
                    }
                }
            });
            let message = inputs.heartbeats.recv().await.expect("a heartbeat");
            controller.handle_heartbeat(message);
            tokio::time::advance(delay).await;
            assert_eq!(answered.await.expect("answered"), status, "{starts} {delay:?} {was_relayed}");
        }
    }
}

/// A leader that begins a second time in an epoch would use its attempt numbers a second time:
/// the epoch is resigned instead.
#[tokio::test]
async fn no_leader_begins_twice_in_one_epoch() {
    let TestHarness { mut controller, mut resigned_epoch, .. } = TestHarness::start().await;
    controller
        .routing
        .set_role(Role::Leader { epoch: 40, lease_expiry: Instant::now() + Duration::from_secs(9) });
    for begins in [true, false] {
        controller.leader = None;
        controller
            .handle_event(InternalEvent::SnapshotRead { epoch: 40, snapshot: Some(Snapshot::default()) });
        assert_eq!(controller.leader.is_some(), begins);
    }
    assert_eq!((controller.epoch_guard.violations(), *resigned_epoch.borrow_and_update()), (1, 40));
}
