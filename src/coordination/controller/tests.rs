mod callers_that_have_left;
mod partial_snapshot;

use super::*;
use crate::coordination::authority::answers::Validity;
use crate::coordination::controller::events::{
    ForwardedReply, JobLookup, RecordRead, RequestOrigin, UserRequest,
};
use crate::coordination::controller::peers::{KnownLeader, PeerState};
use crate::coordination::controller::record_reads::LookupSituation;
use crate::coordination::jobs::cancellation::CancelOutcome;
use crate::coordination::jobs::job::ReplyId;
use crate::coordination::leader::effects::Effect;
use crate::coordination::recovery::job_reads::JobSnapshot;
use crate::coordination::recovery::snapshot::Snapshot;
use crate::coordination::tests::{catalog, heartbeat_message, loaded_job, single_machine_pool};
use crate::protocol::cbor::{Fields, MapBuilder, decode, encode};
use crate::protocol::jobs::{JobId, JobSpec, JobState, JobStatus};
use crate::protocol::workers::{HEARTBEAT_REPLY_TIMEOUT, Heartbeat, MachineId};
use crate::storage::in_memory_kv::{FakeKvServer, kv_client};
use crate::storage::records::{JobRecord, job_record_key};
use crate::transport::codec::Request;
use crate::transport::peer::{PeerCall, PeerHandler, PeerReply, RemainingLease};

/// A controller `c-0` with the peers `c-1` and `c-2`, at whose addresses nothing listens, an
/// in-memory store, and a cloud API that answers no call.
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
        let (lease_expiry_sender, lease_expiry) = watch::channel(Instant::now());
        let cloud = crate::coordination::fleet::cloud::start(
            kv_server.address(),
            1.0,
            Duration::from_secs(1),
            lease_expiry,
        );
        let config = Arc::new(Config { settings, tuning: crate::policy::tests::tuning() });
        let (is_leader, _) = watch::channel(false);
        let (_role_sender, roles) = mpsc::channel(1);
        let (resigned_sender, resigned_epoch) = watch::channel(0);
        let kv = kv_client(kv_server.address(), 12);
        let (controller, inputs, handle) =
            Controller::new(config, kv, cloud, is_leader, lease_expiry_sender, resigned_sender, roles);
        TestHarness { controller, inputs, handle, resigned_epoch }
    }
}

fn follower_of(leader: &str) -> Role {
    Role::Follower { leader: leader.into(), epoch: 7 }
}

fn request(method: &str, target: &str, body: &[u8]) -> Request {
    Request { method: method.into(), target: target.into(), body: body.to_vec(), close: false }
}

/// A heartbeat of `vm-1` with this fencing token.
fn heartbeat(fencing_token: u64) -> Heartbeat {
    Heartbeat { fencing_token, ..heartbeat_message("vm-1", 1, Vec::new()) }
}

/// While the actor's queue is full, requests are refused immediately instead of blocking.
#[tokio::test]
async fn a_full_queue_refuses_requests_immediately_with_a_retry_after() {
    let TestHarness { controller, inputs: _inputs, handle, .. } = TestHarness::start().await;
    for _ in 0..CapacityLimits::new(&controller.config.settings.cluster.limits).queued_requests {
        let (reply, _) = oneshot::channel();
        assert!(handle.requests.try_send(RequestMessage::Status { reply }).is_ok());
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
    assert_eq!(answer.status, 404, "the record decides whether the job exists");
    let answer = ask(&mut controller, &mut inputs, PeerCall::Submit(b"junk".to_vec())).await;
    assert_eq!(answer.status, 400);
}

/// During a network partition between two controllers the third one relays calls. A call is
/// relayed at most once, and a controller that receives a call as the assumed leader does not
/// forward it.
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
        "does not wait for the unreachable leader again"
    );
    assert_eq!(routes_from(&controller, RequestOrigin::Relay), std::slice::from_ref(&direct));
    assert_eq!(routes_from(&controller, RequestOrigin::Peer), []);
    controller.routing.record_timeout(now, "c-2");
    assert_eq!(routes_from(&controller, RequestOrigin::User), [direct], "no other route is left");
}

/// Guards against a follower that stays ready although it cannot reach the leader on any route,
/// for example because controllers reject each other's calls: it can admit no job. After a whole
/// lease, in which a dead leader would have lost its lease, the follower is no longer ready, so
/// that users are sent to a controller that is.
#[tokio::test]
async fn a_follower_that_cannot_reach_the_leader_is_not_ready() {
    let TestHarness { mut controller, inputs: _inputs, handle: _handle, .. } = TestHarness::start().await;
    controller.handle_role(follower_of("c-1"));
    controller.tick();
    assert!(controller.readiness.is_ready());
    controller.handle_event(InternalEvent::LeaderNotReached);
    controller.tick();
    assert!(controller.readiness.is_ready(), "a leader that has just died is soon replaced");
    let a_lease_ago = Instant::now().checked_sub(controller.config.tuning.lease);
    controller.routing.record_leader_reached();
    controller
        .routing
        .record_leader_unreachable(a_lease_ago.expect("the clock started at least a lease ago"));
    controller.tick();
    assert!(!controller.readiness.is_ready());
    controller.handle_peer_state(Instant::now(), "c-2", Some(PeerState::Idle));
    controller.tick();
    assert!(!controller.readiness.is_ready(), "a reachable peer that does not lead does not help");
    controller.handle_peer_state(Instant::now(), "c-1", Some(PeerState::Leading(7)));
    controller.tick();
    assert!(controller.readiness.is_ready());
}

/// A leader that can reach the other controllers but not the store ends its post-lease grace
/// period, and redirects its workers, as soon as it learns of the new leader.
#[tokio::test]
async fn a_leader_past_its_lease_steps_down_when_it_learns_of_a_higher_epoch() {
    let TestHarness { mut controller, inputs: _inputs, handle: _handle, .. } = TestHarness::start().await;
    let now = Instant::now();
    let snapshot = Snapshot::default();
    controller.leader = Some(Leader::new(controller.config.clone(), 40, now, 0, snapshot));
    controller.routing.set_role(Role::Leader { epoch: 40, lease_expiry: now });
    controller.tick();
    assert!(!controller.readiness.is_ready(), "it was never ready and no longer leads");
    controller.handle_peer_state(now, "c-1", Some(PeerState::Leading(39)));
    assert!(controller.leader.is_some(), "an earlier epoch is ignored");
    controller.handle_peer_state(now, "c-1", Some(PeerState::Leading(41)));
    assert!(controller.leader.is_none());
    assert_eq!(controller.routing.other_leader(now), Some(KnownLeader { name: "c-1", epoch: 41 }));
    controller.tick();
    assert!(controller.readiness.is_ready(), "it can serve users again by forwarding to the leader");
}

/// Workers in a zone that cannot reach the leader's zone have their heartbeats relayed by a
/// controller that can reach it. A relayed heartbeat is not relayed again.
#[tokio::test]
async fn heartbeats_of_workers_that_return_after_a_redirect_are_relayed_once() {
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
    let status_and_leader = |answer: Answer| {
        let body = decode(&answer.body).expect("CBOR");
        let name = Fields::of(&body).expect("a map").opt_text("foreman").expect("text").map(str::to_owned);
        (answer.status, name)
    };
    let first = send(&mut controller, Some(Vec::new())).await.expect("answered");
    assert_eq!(status_and_leader(first), (421, Some("c-1".into())));
    let relayed = send(&mut controller, None).await.expect("answered immediately");
    assert_eq!(status_and_leader(relayed), (421, None));
    assert_eq!(controller.routing.relays_in_flight(), 0);
    let _again = send(&mut controller, Some(Vec::new()));
    assert_eq!(controller.routing.relays_in_flight(), 1, "the worker came back");
    // A worker that the leader has replied to before is not redirected to it first.
    let answered_before = Heartbeat {
        machine: MachineId::parse("vm-2").expect("valid"),
        fencing_token: 7,
        ..heartbeat.clone()
    };
    let (reply, _answer) = oneshot::channel();
    let body = Some(Vec::new());
    controller.handle_heartbeat(HeartbeatMessage {
        heartbeat: answered_before,
        body,
        reply,
        arrived: Instant::now(),
    });
    assert_eq!(controller.routing.relays_in_flight(), 2, "relayed immediately");
    // A worker is not redirected to a leader that this controller cannot reach.
    controller.routing.record_timeout(Instant::now(), "c-1");
    let unnamed = send(&mut controller, Some(Vec::new())).await.expect("answered immediately");
    assert_eq!(status_and_leader(unnamed), (421, None));
    // After a leader change the worker is redirected again: it may be able to reach the new leader.
    controller.routing.record_peer_state(Instant::now(), "c-1", Some(PeerState::Idle));
    controller.handle_role(follower_of("c-2"));
    let next = send(&mut controller, Some(Vec::new())).await.expect("answered");
    assert_eq!(status_and_leader(next), (421, Some("c-2".into())));
}

/// After overload or a suspension, a controller finds heartbeats in its queue whose workers have
/// already moved to another controller.
#[tokio::test]
async fn heartbeats_that_waited_past_the_reply_timeout_are_dropped() {
    let TestHarness { mut controller, inputs: _inputs, handle: _handle, .. } = TestHarness::start().await;
    let now = Instant::now();
    let mut leader = Leader::new(controller.config.clone(), 40, now, 0, Snapshot::default());
    leader.extend_lease(now, now + Duration::from_secs(60));
    controller.leader = Some(leader);
    for (waited, answered) in [(Duration::ZERO, true), (HEARTBEAT_REPLY_TIMEOUT, false)] {
        let (reply, answer) = oneshot::channel();
        let arrived = now.checked_sub(waited).expect("the clock started at least a reply timeout ago");
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

/// Makes a user's call, and handles the actor's events until the call is answered.
async fn ask(controller: &mut Controller, inputs: &mut Inputs, call: PeerCall) -> Answer {
    let (reply, answer) = oneshot::channel();
    controller.handle_request(call, reply, RequestOrigin::User);
    controller.perform_effects();
    answer_after_events(controller, inputs, answer).await
}

/// Handles events until the answer arrives.
async fn answer_after_events(
    controller: &mut Controller,
    inputs: &mut Inputs,
    answer: oneshot::Receiver<Answer>,
) -> Answer {
    tokio::pin!(answer);
    loop {
        tokio::select! {
            answer = &mut answer => return answer.expect("answered"),
            Some(event) = inputs.events.recv() => controller.handle_event(event),
        }
        controller.perform_effects();
    }
}

/// A follower that cannot reach its leader on any route answers a poll from the record, within
/// the time that a user waits.
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

/// A job's dependency is cancelled, but no leader has written that to the job's own record yet.
/// A controller that read only the job's record would answer "queued", although the leader that
/// wrote the dependency's cancellation may already have answered "cancelled".
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
    // A job that has started, so its dependencies were done, and one that depends on it.
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
        // Needs more records than are read for one answer.
        ("job-99", 503, None),
    ] {
        let answer = ask(&mut controller, &mut inputs, PeerCall::Poll(job.into())).await;
        assert_eq!(answer.status, status, "{job}");
        assert_eq!(state.map(|_| state_of(&answer)).as_deref(), state, "{job}");
        assert_eq!(answer.retry_after_s.is_some(), state.is_none(), "{job}");
    }
    // A terminal state is served again from the cache.
    let again = ask(&mut controller, &mut inputs, PeerCall::Poll("job-1".into())).await;
    assert_eq!(state_of(&again), "cancelled");
}

#[tokio::test]
async fn a_relayed_heartbeat_has_no_body_to_relay_again() {
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
async fn unknown_paths_and_methods_are_rejected() {
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

/// If a job is not terminal according to its record and not in the leader's memory, the outcome
/// of its cancellation is unknown, and the recorded state must not be the answer.
#[tokio::test]
async fn a_cancellation_is_answered_from_a_record_only_if_its_state_is_terminal() {
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

/// Makes the controller lead with a job of one task. The write of the job's terminal state was
/// sent, and its outcome is unknown. If `completes`, the task is done; otherwise the job is
/// cancelled.
fn lead_with_terminal_write_in_flight(controller: &mut Controller, spec: &JobSpec, completes: bool) {
    let now = Instant::now();
    let record = JobRecord { started_high_water: 1, ..JobRecord::new(spec.clone(), 0) };
    let job = JobSnapshot {
        record,
        record_version: 5,
        progress_version: None,
        live_row_version: 5,
        block_versions: Vec::new(),
    };
    let snapshot = Snapshot { jobs: vec![job], ..Snapshot::default() };
    let mut leader = Leader::new(controller.config.clone(), 40, now, 0, snapshot);
    leader.extend_lease(now, now + Duration::from_secs(60));
    if completes {
        leader.mark_task_done(now, &spec.id, 0);
    } else {
        assert_eq!(leader.cancel(now, ReplyId(0), &spec.id), CancelOutcome::Accepted);
    }
    assert!(
        leader.drain_effects().iter().any(|effect| matches!(effect, Effect::Commit { .. })),
        "the write is sent"
    );
    controller.leader = Some(leader);
}

/// Guards against a fault that violated the rule `went_back` of the simulation's checks
/// (docs/incidents/inc-went-back.md): a transaction was committed but its answer was lost, another
/// controller read the record and served the terminal state, and the leader kept answering with
/// the earlier state from memory, under a valid lease.
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

/// Guards against an answer that contradicts an earlier one: a follower forwards a request, the
/// leader's answer is delayed on the link, and the follower serves the terminal state in the
/// meantime. The delayed answer must not be sent after that.
#[tokio::test]
async fn a_forwarded_answer_does_not_follow_a_terminal_state_served_here() {
    let TestHarness { mut controller, mut inputs, handle: _handle, .. } = TestHarness::start().await;
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
    let answer = forwarded(&mut controller, JobState::Running, Some(stale));
    let answer = answer_after_events(&mut controller, &mut inputs, answer).await;
    assert_eq!(answer.status, 404, "decided in an earlier epoch: the record decides, there is none");
    let last = forwarded(&mut controller, JobState::Cancelled, None).await.expect("answered");
    assert_eq!(state_of(&last), "cancelled");
    let delayed = forwarded(&mut controller, JobState::Running, Some(lease)).await.expect("answered");
    assert_eq!(state_of(&delayed), "cancelled");
    // A state that was read from the record earlier must not be sent either.
    let (reply, answer) = oneshot::channel();
    let absent = Answer::error(404, "no such job");
    let deadline = Instant::now() + POLL_TIMEOUT;
    let lookup = JobLookup { reply, job: job.clone(), if_absent: absent, only_terminal: false, deadline };
    assert!(controller.record_reads.try_acquire(LookupSituation::Ordinary));
    controller.handle_job_looked_up(lookup, Instant::now(), RecordRead::Found(status(JobState::Queued)));
    assert_eq!(state_of(&answer.await.expect("answered")), "cancelled");
    // A cancellation must not be answered with a state that is not terminal.
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

/// While a new leader reads its snapshot it answers 503 to other controllers, although the record
/// could be read.
#[tokio::test]
async fn a_poll_that_the_leader_cannot_answer_is_answered_from_the_record() {
    let TestHarness { mut controller, mut inputs, handle: _handle, .. } = TestHarness::start().await;
    controller.routing.set_role(follower_of("c-1"));
    let (reply, answer) = oneshot::channel();
    let (call, job) = (PeerCall::Poll("job-1".into()), JobId::parse("job-1").expect("valid"));
    let request = UserRequest { call, job, reply, origin: RequestOrigin::User };
    let peer_reply = PeerReply { status: 503, body: Vec::new(), retry_after_s: Some(1), lease: None };
    let (peer, forwarded_at) = ("c-1".to_owned(), Instant::now());
    controller.handle_forwarded_reply(ForwardedReply { request, peer, forwarded_at, peer_reply });
    let answer = answer_after_events(&mut controller, &mut inputs, answer).await;
    assert_eq!(answer.status, 404, "the record decides whether the job exists");
}

/// The actor decides an answer under a valid lease, and the process is suspended before the
/// answer is sent. The lease must be checked again when the answer is sent, both to users and to
/// other controllers.
#[tokio::test(start_paused = true)]
async fn an_answer_delayed_past_its_lease_is_not_sent() {
    let TestHarness { controller: _controller, mut inputs, handle, .. } = TestHarness::start().await;
    let job = JobId::parse("job-1").expect("valid");
    for (state, is_delayed, status) in
        [(JobState::Running, false, 200), (JobState::Running, true, 503), (JobState::Done, true, 200)]
    {
        let validity = Validity { epoch: 7, valid_until: Instant::now() + Duration::from_secs(1) };
        let served = JobStatus { id: job.clone(), state, done_tasks: 0, running_tasks: 0 };
        let user_handle = handle.clone();
        let user = tokio::spawn(async move {
            crate::transport::server::Handler::handle(&user_handle, request("GET", "/api/jobs/job-1", b""))
                .await
        });
        let peer_handle = handle.clone();
        let peer = tokio::spawn(async move {
            PeerHandler::handle(&peer_handle, PeerCall::Poll("job-1".into()), false).await
        });
        for _ in 0..2 {
            let Some(RequestMessage::Call { reply, .. }) = inputs.requests.recv().await else {
                panic!("no request")
            };
            assert!(reply.send(Answer::job_state(200, served.clone(), validity)).is_ok());
        }
        if is_delayed {
            tokio::time::advance(Duration::from_secs(2)).await;
        }
        assert_eq!(user.await.expect("answered").status, status, "{state:?}");
        assert_eq!(peer.await.expect("answered").status, status, "{state:?}");
    }
}

/// A worker's heartbeat with this fencing token, in its wire encoding.
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

/// Makes the controller lead in epoch 40 for a second, with a machine and, if `has_task`, a task
/// to start on it.
fn lead_for_a_second(controller: &mut Controller, has_task: bool) {
    let spec = crate::protocol::jobs::tests::sample("job-1", "red", 1, 1.0);
    let jobs = if has_task { vec![loaded_job(spec)] } else { Vec::new() };
    let node_pools = vec![single_machine_pool("vm-1", true)];
    let snapshot = Snapshot { jobs, node_pools, catalog: Some((catalog(), 2)), ..Snapshot::default() };
    let now = Instant::now();
    let mut leader = Leader::new(controller.config.clone(), 40, now, 0, snapshot);
    leader.extend_lease(now, now + Duration::from_secs(1));
    controller.leader = Some(leader);
}

/// The answer to a heartbeat is decided under a valid lease, and the process is suspended before
/// the answer is sent. By then another controller may lead, and may have confirmed the
/// cancellation of a task that the answer starts. An answer that only renews the worker's lease
/// may also be sent during the post-lease grace period. Both rules apply to answers to the
/// worker and to a controller that relayed the heartbeat.
#[tokio::test(start_paused = true)]
async fn an_answer_to_a_heartbeat_is_not_sent_past_its_lease() {
    let post_lease_grace = TestHarness::start().await.controller.config.post_lease_grace();
    let second = Duration::from_secs(1);
    for (has_task, delay, status) in [
        (true, Duration::ZERO, 200),
        (true, second * 2, 503),
        (false, second * 2, 200),
        (false, second * 2 + post_lease_grace, 503),
    ] {
        for was_relayed in [false, true] {
            let TestHarness { mut controller, mut inputs, handle, .. } = TestHarness::start().await;
            lead_for_a_second(&mut controller, has_task);
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
            assert_eq!(answered.await.expect("answered"), status, "{has_task} {delay:?} {was_relayed}");
        }
    }
}

/// A leader that starts a second time in an epoch would reuse its attempt numbers, so the
/// epoch is resigned instead.
#[tokio::test]
async fn no_leader_starts_twice_in_one_epoch() {
    let TestHarness { mut controller, mut resigned_epoch, .. } = TestHarness::start().await;
    controller
        .routing
        .set_role(Role::Leader { epoch: 40, lease_expiry: Instant::now() + Duration::from_secs(9) });
    for starts in [true, false] {
        controller.leader = None;
        controller
            .handle_event(InternalEvent::SnapshotRead { epoch: 40, snapshot: Some(Snapshot::default()) });
        assert_eq!(controller.leader.is_some(), starts);
    }
    assert_eq!((controller.epoch_guard.violations(), *resigned_epoch.borrow_and_update()), (1, 40));
}
