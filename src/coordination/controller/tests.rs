use super::*;
use crate::coordination::authority::answers::Validity;
use crate::coordination::controller::events::{
    ForwardedReply, JobLookUp, RecordRead, RequestOrigin, UserRequest,
};
use crate::coordination::controller::peers::{KnownLeader, PeerState};
use crate::coordination::jobs::job::ReplyId;
use crate::coordination::leader::effects::Effect;
use crate::coordination::recovery::snapshot::{JobSnapshot, Snapshot};
use crate::coordination::tests::{catalog, loaded_job, rented};
use crate::protocol::cbor::{Fields, MapBuilder, decode, encode};
use crate::protocol::jobs::{JobId, JobSpec, JobState, JobStatus};
use crate::protocol::workers::{HEARTBEAT_REPLY_TIMEOUT, Heartbeat, MachineId};
use crate::storage::in_memory_kv::{FakeKvServer, store};
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
        let kv = store(kv_server.address(), 12);
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

fn heartbeat(fencing_token: u64) -> Heartbeat {
    Heartbeat {
        machine: MachineId::parse("vm-1").expect("valid"),
        address: String::new(),
        machine_type: "m8".into(),
        zone: "z1".into(),
        spot: false,
        incarnation: 1,
        sequence: 1,
        fencing_token,
        preemption_notice_s: None,
        tasks: Vec::new(),
    }
}

/// The edge refuses at once: nobody is held while the buffer is full.
#[tokio::test]
async fn a_full_buffer_refuses_at_once_with_a_time_to_come_back() {
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
    assert_eq!(answer.status, 404, "the record is what decides it");
    let answer = ask(&mut controller, &mut inputs, PeerCall::Submit(b"junk".to_vec())).await;
    assert_eq!(answer.status, 400);
}

/// A cut between two controllers: the third hands calls on, once, and a
/// controller that was taken for the leader hands nothing on.
#[tokio::test]
async fn calls_go_round_a_cut_through_one_other_controller() {
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
        "without waiting for the cut one again"
    );
    assert_eq!(routes_from(&controller, RequestOrigin::Relay), std::slice::from_ref(&direct));
    assert_eq!(routes_from(&controller, RequestOrigin::Peer), []);
    controller.routing.record_timeout(now, "c-2");
    assert_eq!(routes_from(&controller, RequestOrigin::User), [direct], "what else is there to try");
}

/// Controllers that refuse each other: a follower that cannot reach the leader
/// by any way can accept nothing. It says so, once the leader would have lost
/// its lease if it were dead, and users turn to the one that can.
#[tokio::test]
async fn a_follower_that_cannot_reach_the_leader_is_not_ready() {
    let TestHarness { mut controller, inputs: _inputs, handle: _handle, .. } = TestHarness::start().await;
    controller.handle_role(follower_of("c-1"));
    controller.tick();
    assert!(controller.readiness.is_ready());
    controller.handle_event(InternalEvent::LeaderNotReached);
    controller.tick();
    assert!(controller.readiness.is_ready(), "a leader that has just died is followed by another soon");
    let a_lease_ago = Instant::now().checked_sub(controller.config.tuning.lease);
    controller.routing.record_leader_reached();
    controller.routing.record_leader_unreachable(a_lease_ago.expect("a clock that has run for a while"));
    controller.tick();
    assert!(!controller.readiness.is_ready());
    controller.handle_peer_state(Instant::now(), "c-2", Some(PeerState::Idle));
    controller.tick();
    assert!(!controller.readiness.is_ready(), "another that can be reached is of no use by itself");
    controller.handle_peer_state(Instant::now(), "c-1", Some(PeerState::Leading(7)));
    controller.tick();
    assert!(controller.readiness.is_ready());
}

/// A leader cut off from the state service alone: its lapse window ends, and its
/// workers are sent to the new leader, as soon as that one is heard of.
#[tokio::test]
async fn a_lapsed_leader_ends_its_lapse_window_when_it_hears_of_a_higher_epoch() {
    let TestHarness { mut controller, inputs: _inputs, handle: _handle, .. } = TestHarness::start().await;
    let now = Instant::now();
    let loaded = Snapshot::default();
    controller.leader = Some(Leader::new(controller.config.clone(), 40, now, 0, loaded));
    controller.routing.set_role(Role::Leader { epoch: 40, lease_expiry: now });
    controller.tick();
    assert!(!controller.readiness.is_ready(), "it never was ready, and leads no more");
    controller.handle_peer_state(now, "c-1", Some(PeerState::Leading(39)));
    assert!(controller.leader.is_some(), "an earlier epoch is no news");
    controller.handle_peer_state(now, "c-1", Some(PeerState::Leading(41)));
    assert!(controller.leader.is_none());
    assert_eq!(controller.routing.other_leader(now), Some(KnownLeader { name: "c-1", epoch: 41 }));
    controller.tick();
    assert!(controller.readiness.is_ready(), "it can serve users again, through the leader");
}

/// A zone that cannot reach the leader's: its workers' reports go through a
/// controller that can; one that was handed on goes no further.
#[tokio::test]
async fn reports_of_workers_that_come_back_are_handed_on_once() {
    let TestHarness { mut controller, inputs: _inputs, handle: _handle, .. } = TestHarness::start().await;
    controller.routing.set_role(follower_of("c-1"));
    let report = heartbeat(1);
    let send = |controller: &mut Controller, body: Option<Vec<u8>>| {
        let (reply, answer) = oneshot::channel();
        controller.handle_heartbeat(HeartbeatMessage {
            heartbeat: report.clone(),
            body,
            reply,
            arrived: Instant::now(),
        });
        answer
    };
    let named = |answer: Answer| {
        let body = decode(&answer.body).expect("CBOR");
        let name = Fields::of(&body).expect("a map").opt_text("foreman").expect("text").map(str::to_owned);
        (answer.status, name)
    };
    let first = send(&mut controller, Some(Vec::new())).await.expect("answered");
    assert_eq!(named(first), (421, Some("c-1".into())));
    let handed_on = send(&mut controller, None).await.expect("answered at once");
    assert_eq!(named(handed_on), (421, None));
    assert_eq!(controller.routing.relays_in_flight(), 0);
    let _again = send(&mut controller, Some(Vec::new()));
    assert_eq!(controller.routing.relays_in_flight(), 1, "it came back");
    // One that was with the leader until now is not sent back there first.
    let stayed =
        Heartbeat { machine: MachineId::parse("vm-2").expect("valid"), fencing_token: 7, ..report.clone() };
    let (reply, _answer) = oneshot::channel();
    let body = Some(Vec::new());
    controller.handle_heartbeat(HeartbeatMessage { heartbeat: stayed, body, reply, arrived: Instant::now() });
    assert_eq!(controller.routing.relays_in_flight(), 2, "at once");
    // What cannot be reached from here is not named either.
    controller.routing.record_timeout(Instant::now(), "c-1");
    let lost = send(&mut controller, Some(Vec::new())).await.expect("answered at once");
    assert_eq!(named(lost), (421, None));
    // A new leader: the way to it may be open.
    controller.routing.record_peer_state(Instant::now(), "c-1", Some(PeerState::Idle));
    controller.handle_role(follower_of("c-2"));
    let next = send(&mut controller, Some(Vec::new())).await.expect("answered");
    assert_eq!(named(next), (421, Some("c-2".into())));
}

/// A controller that fell behind, or stood still, finds reports whose workers
/// have long turned elsewhere.
#[tokio::test]
async fn reports_that_waited_too_long_are_dropped_unread() {
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

/// A user's call, with whatever the actor tells itself until it is answered.
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

/// Nobody is forgotten: a follower whose leader cannot be reached, by any
/// way, answers a poll from the record, within what a user waits.
#[tokio::test]
async fn a_poll_that_no_way_is_left_for_is_answered_from_the_record() {
    let TestHarness { mut controller, mut inputs, handle: _handle, .. } = TestHarness::start().await;
    let spec = crate::protocol::jobs::tests::sample("job-1", "red", 1, 1.0);
    let record = JobRecord::new(spec.clone(), 0).encode(8.0);
    put_record(&controller, job_record_key(&spec.id), record).await;
    // Nothing listens where the other two controllers are said to be.
    controller.routing.set_role(follower_of("c-1"));
    let answer = ask(&mut controller, &mut inputs, PeerCall::Poll("job-1".into())).await;
    assert_eq!(answer.status, 200);
}

/// The need of a job is cancelled, and nobody has come to write that into the job's own
/// record: a controller that answers from records would say queued where the leader that
/// wrote the cancellation has said cancelled.
#[tokio::test]
async fn a_job_is_told_from_the_records_of_its_needs_as_well() {
    let TestHarness { mut controller, mut inputs, handle: _handle, .. } = TestHarness::start().await;
    controller.routing.set_role(follower_of("c-1"));
    let mut put = Vec::new();
    let chain = |job: u32, need: u32| {
        let awaits = vec![JobId::parse(&format!("job-{need}")).expect("valid")];
        JobSpec {
            dependencies: awaits,
            ..crate::protocol::jobs::tests::sample(&format!("job-{job}"), "red", 1, 1.0)
        }
    };
    let first = crate::protocol::jobs::tests::sample("job-0", "red", 1, 1.0);
    put.push(JobRecord { cancelled: true, ..JobRecord::new(first, 0) });
    put.extend((1..100).map(|n| JobRecord::new(chain(n, n - 1), 0)));
    // One whose needs were done before it began, and one that waits for a job that goes on.
    put.push(JobRecord { started_high_water: 1, ..JobRecord::new(chain(200, 2), 0) });
    put.push(JobRecord::new(chain(201, 200), 0));
    for record in put {
        put_record(&controller, job_record_key(&record.spec.id), record.encode(8.0)).await;
    }
    for (job, status, standing) in [
        ("job-1", 200, Some("cancelled")),
        ("job-40", 200, Some("cancelled")),
        ("job-200", 200, Some("queued")),
        ("job-201", 200, Some("queued")),
        // More records than are read for one answer.
        ("job-99", 503, None),
    ] {
        let answer = ask(&mut controller, &mut inputs, PeerCall::Poll(job.into())).await;
        assert_eq!(answer.status, status, "{job}");
        assert_eq!(standing.map(|_| standing_of(&answer)).as_deref(), standing, "{job}");
        assert_eq!(answer.retry_after_s.is_some(), standing.is_none(), "{job}");
    }
    // What was told stays told, whatever a later look at the record says.
    let again = ask(&mut controller, &mut inputs, PeerCall::Poll("job-1".into())).await;
    assert_eq!(standing_of(&again), "cancelled");
}

#[tokio::test]
async fn what_was_handed_on_cannot_be_handed_on_again() {
    let TestHarness { controller: _controller, mut inputs, handle, .. } = TestHarness::start().await;
    for handed_on in [false, true] {
        let (handle, body) = (handle.clone(), beat(1));
        tokio::spawn(async move {
            match handed_on {
                true => drop(PeerHandler::handle(&handle, PeerCall::Heartbeat(body), false).await),
                false => drop(handle.route(request("POST", "/agent/beat", &body)).await),
            }
        });
        let message = inputs.heartbeats.recv().await.expect("a report");
        assert_eq!(message.body.is_none(), handed_on);
    }
}

#[tokio::test]
async fn wrong_paths_and_methods_get_their_status() {
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

/// A job whose record says that it lives, but that is not in the leader's picture:
/// a cancellation of it is not answered from there, whatever may come of it.
#[tokio::test]
async fn a_cancellation_is_answered_from_a_record_only_if_it_is_final() {
    let TestHarness { mut controller, mut inputs, handle: _handle, .. } = TestHarness::start().await;
    let spec = crate::protocol::jobs::tests::sample("job-1", "red", 1, 1.0);
    for (settled, status) in [(false, 503), (true, 200)] {
        let record = JobRecord { completed: settled, ..JobRecord::new(spec.clone(), 0) }.encode(8.0);
        put_record(&controller, job_record_key(&spec.id), record).await;
        let now = Instant::now();
        let mut leader = Leader::new(controller.config.clone(), 40, now, 0, Snapshot::default());
        leader.extend_lease(now, now + Duration::from_secs(60));
        controller.leader = Some(leader);
        let answer = ask(&mut controller, &mut inputs, PeerCall::Cancel("job-1".into())).await;
        assert_eq!(answer.status, status);
    }
}

/// A leader that has a job of one task, whose final write is under way: sent, its
/// outcome not heard. `settles`: the task has ended; otherwise its user has called it off.
fn leading_with_a_final_write_under_way(controller: &mut Controller, spec: &JobSpec, settles: bool) {
    let now = Instant::now();
    let record = JobRecord { started_high_water: 1, ..JobRecord::new(spec.clone(), 0) };
    let job = JobSnapshot { record, record_version: 5, live_row_version: 5, block_versions: Vec::new() };
    let loaded = Snapshot { jobs: vec![job], ..Snapshot::default() };
    let mut leader = Leader::new(controller.config.clone(), 40, now, 0, loaded);
    leader.extend_lease(now, now + Duration::from_secs(60));
    if settles {
        leader.mark_task_done(now, &spec.id, 0);
    } else {
        assert_eq!(leader.cancel(now, ReplyId(0), &spec.id), CancelOutcome::Accepted);
    }
    assert!(leader.drain_effects().iter().any(|a| matches!(a, Effect::Commit { .. })), "it is sent");
    controller.leader = Some(leader);
}

/// The cause of `went_back` (docs/incidents/inc-went-back.md): a transaction was carried
/// out and only its answer lost, another controller read the record and told the final
/// state, and the leader went on telling from memory what was before, under a valid lease.
#[tokio::test]
async fn a_leader_asks_the_record_while_a_final_write_of_its_own_is_under_way() {
    let spec = crate::protocol::jobs::tests::sample("job-1", "red", 1, 1.0);
    let repeat = || PeerCall::Submit(encode(&spec.encode().build()));
    for (settles, standing) in [(true, "done"), (false, "cancelled")] {
        for carried_out in [true, false] {
            for call in [PeerCall::Poll("job-1".into()), repeat()] {
                let TestHarness { mut controller, mut inputs, handle: _handle, .. } =
                    TestHarness::start().await;
                leading_with_a_final_write_under_way(&mut controller, &spec, settles);
                let (settled, cancelled) = (carried_out && settles, carried_out && !settles);
                let record = JobRecord {
                    completed: settled,
                    cancelled,
                    started_high_water: 1,
                    ..JobRecord::new(spec.clone(), 0)
                };
                put_record(&controller, job_record_key(&spec.id), record.encode(8.0)).await;
                let answer = ask(&mut controller, &mut inputs, call.clone()).await;
                let expected = if carried_out { standing } else { "queued" };
                assert_eq!((answer.status, standing_of(&answer)), (200, expected.to_owned()), "{call:?}");
            }
        }
    }
}

fn standing_of(answer: &Answer) -> String {
    let body = decode(&answer.body).expect("CBOR");
    Fields::of(&body).expect("a map").text("standing").expect("a standing").to_owned()
}

/// A follower asked the leader, the answer was held up on the link, and meanwhile the
/// final state was told from here: the held answer must not follow it.
#[tokio::test]
async fn a_forwarded_answer_that_was_overtaken_here_is_not_told() {
    let TestHarness { mut controller, inputs: _inputs, handle: _handle, .. } = TestHarness::start().await;
    controller.routing.set_role(follower_of("c-1"));
    let job = JobId::parse("job-1").expect("valid");
    let status = |standing| JobStatus { id: job.clone(), state: standing, done: 0, running: 0 };
    let lease = RemainingLease { epoch: 7, remaining: Duration::from_secs(3) };
    let forwarded = |controller: &mut Controller, standing, lease| {
        let (reply, answer) = oneshot::channel();
        let call = PeerCall::Poll("job-1".into());
        let request = UserRequest { call, job: job.clone(), reply, origin: RequestOrigin::User };
        let body = encode(&status(standing).encode());
        let answered = PeerReply { status: 200, body, retry_after_s: None, lease };
        let peer = "c-1".to_owned();
        controller.handle_forwarded_reply(ForwardedReply {
            request,
            peer,
            forwarded_at: Instant::now(),
            peer_reply: answered,
        });
        answer
    };
    let first = forwarded(&mut controller, JobState::Running, Some(lease)).await.expect("answered");
    assert_eq!(standing_of(&first), "running");
    let stale = RemainingLease { epoch: 6, ..lease };
    let refused = forwarded(&mut controller, JobState::Running, Some(stale)).await.expect("answered");
    assert_eq!(refused.status, 503, "of an epoch that is over");
    let last = forwarded(&mut controller, JobState::Cancelled, None).await.expect("answered");
    assert_eq!(standing_of(&last), "cancelled");
    let overtaken = forwarded(&mut controller, JobState::Running, Some(lease)).await.expect("answered");
    assert_eq!(standing_of(&overtaken), "cancelled");
    // So with a record that was read before.
    let (reply, answer) = oneshot::channel();
    let absent = Answer::error(404, "no such job");
    let look_up = JobLookUp { reply, job: job.clone(), if_absent: absent, only_terminal: false };
    assert!(controller.record_reads.try_begin());
    controller.handle_job_looked_up(look_up, Instant::now(), RecordRead::Found(status(JobState::Queued)));
    assert_eq!(standing_of(&answer.await.expect("answered")), "cancelled");
    // And with a cancellation that another controller answers with something else.
    let (reply, answer) = oneshot::channel();
    let other = JobId::parse("job-2").expect("valid");
    let call = PeerCall::Cancel("job-2".into());
    let request = UserRequest { call, job: other.clone(), reply, origin: RequestOrigin::User };
    let queued = JobStatus { id: other, state: JobState::Queued, done: 0, running: 0 };
    let answered =
        PeerReply { status: 200, body: encode(&queued.encode()), retry_after_s: None, lease: Some(lease) };
    controller.handle_forwarded_reply(ForwardedReply {
        request,
        peer: "c-1".into(),
        forwarded_at: Instant::now(),
        peer_reply: answered,
    });
    assert_eq!(answer.await.expect("answered").status, 503);
}

/// The actor decides under its lease, and the process stands still before the answer
/// leaves: the last step, to users and to other controllers, looks at the lease again.
#[tokio::test(start_paused = true)]
async fn an_answer_held_up_past_its_lease_does_not_leave() {
    let TestHarness { controller: _controller, mut inputs, handle, .. } = TestHarness::start().await;
    let job = JobId::parse("job-1").expect("valid");
    for (standing, held_up, status) in
        [(JobState::Running, false, 200), (JobState::Running, true, 503), (JobState::Done, true, 200)]
    {
        let basis = Validity { epoch: 7, valid_until: Instant::now() + Duration::from_secs(1) };
        let told = JobStatus { id: job.clone(), state: standing, done: 0, running: 0 };
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
            assert!(reply.send(Answer::job_state(200, told.clone(), basis)).is_ok());
        }
        if held_up {
            tokio::time::advance(Duration::from_secs(2)).await;
        }
        assert_eq!(user.await.expect("answered").status, status, "{standing:?}");
        assert_eq!(peer.await.expect("answered").status, status, "{standing:?}");
    }
}

/// A worker's report under that token, as it comes.
fn beat(token: u64) -> Vec<u8> {
    let report = MapBuilder::new()
        .set("bench", "vm-1")
        .set("address", "")
        .set("build", "m8")
        .set("hall", "z1")
        .set("shift", 1)
        .set("tick", 1)
        .set("baton", token);
    encode(&report.build())
}

/// A leader of epoch 40, for a second, with a machine and, if so, a task to start on it.
fn leading_for_a_second(controller: &mut Controller, starts: bool) {
    let spec = crate::protocol::jobs::tests::sample("job-1", "red", 1, 1.0);
    let jobs = if starts { vec![loaded_job(spec)] } else { Vec::new() };
    let rentals = vec![rented("vm-1", true)];
    let loaded = Snapshot { jobs, node_pools: rentals, catalog: Some((catalog(), 2)), ..Snapshot::default() };
    let now = Instant::now();
    let mut leader = Leader::new(controller.config.clone(), 40, now, 0, loaded);
    leader.extend_lease(now, now + Duration::from_secs(1));
    controller.leader = Some(leader);
}

/// A report is answered under the lease, and the process stands still before the answer
/// leaves. By then another may lead, and may have confirmed the cancellation of what the
/// answer starts; an answer that only renews the worker's lease leaves as long as a lapsed
/// leader may give one. To a worker itself, and to a controller that handed the report on.
#[tokio::test(start_paused = true)]
async fn an_answer_to_a_report_does_not_leave_past_its_lease() {
    let lapse_window = TestHarness::start().await.controller.config.post_lease_grace();
    let second = Duration::from_secs(1);
    for (starts, held_up, status) in [
        (true, Duration::ZERO, 200),
        (true, second * 2, 503),
        (false, second * 2, 200),
        (false, second * 2 + lapse_window, 503),
    ] {
        for handed_on in [false, true] {
            let TestHarness { mut controller, mut inputs, handle, .. } = TestHarness::start().await;
            leading_for_a_second(&mut controller, starts);
            let answered = tokio::spawn(async move {
                match handed_on {
                    true => PeerHandler::handle(&handle, PeerCall::Heartbeat(beat(40)), false).await.status,
                    false => {
                        let beat = request("POST", "/agent/beat", &beat(40));
                        crate::transport::server::Handler::handle(&handle, beat).await.status
                    }
                }
            });
            let message = inputs.heartbeats.recv().await.expect("a report");
            controller.handle_heartbeat(message);
            tokio::time::advance(held_up).await;
            assert_eq!(answered.await.expect("answered"), status, "{starts} {held_up:?} {handed_on}");
        }
    }
}

/// A leader that begins anew in an epoch that it had before would use its attempt numbers a
/// second time: the epoch is given up instead.
#[tokio::test]
async fn no_leader_begins_twice_in_an_epoch() {
    let TestHarness { mut controller, mut resigned_epoch, .. } = TestHarness::start().await;
    controller
        .routing
        .set_role(Role::Leader { epoch: 40, lease_expiry: Instant::now() + Duration::from_secs(9) });
    for begun in [true, false] {
        controller.leader = None;
        controller
            .handle_event(InternalEvent::SnapshotRead { epoch: 40, snapshot: Some(Snapshot::default()) });
        assert_eq!(controller.leader.is_some(), begun);
    }
    assert_eq!((controller.epoch_guard.violations(), *resigned_epoch.borrow_and_update()), (1, 40));
}
