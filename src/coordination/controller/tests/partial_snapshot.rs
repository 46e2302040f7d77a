//! Answers of a leader that still reads its snapshot.

use super::*;
use crate::coordination::recovery::recorded_jobs::RecordedJob;
use crate::coordination::recovery::snapshot_progress::SnapshotProgress;

/// A controller that leads in this epoch and reads its snapshot, of which it has read `job-1`.
async fn controller_reading_its_snapshot(epoch: u64, lease: Duration) -> TestHarness {
    let mut harness = TestHarness::start().await;
    let lease_expiry = Instant::now() + lease;
    harness.controller.handle_role(Role::Leader { epoch, lease_expiry });
    let spec = crate::protocol::jobs::tests::sample("job-1", "red", 1, 1.0);
    let job = RecordedJob::of(&JobRecord::new(spec, 0));
    let progress = SnapshotProgress::JobRead(job);
    harness.controller.handle_event(InternalEvent::SnapshotProgressed { epoch, progress });
    harness
}

#[tokio::test(start_paused = true)]
async fn a_leader_without_state_answers_users_and_peers_from_what_it_has_read() {
    let lease = Duration::from_secs(2);
    let TestHarness { mut controller, .. } = controller_reading_its_snapshot(7, lease).await;
    for origin in [RequestOrigin::User, RequestOrigin::Peer, RequestOrigin::Relay] {
        let (reply, mut answer) = oneshot::channel();
        controller.handle_request(PeerCall::Poll("job-1".into()), reply, origin);
        let answer = answer.try_recv().expect("answered at once");
        let validity = Validity { epoch: 7, valid_until: Instant::now() + lease };
        assert_eq!((answer.status, answer.validity), (200, Some(validity)));
    }
}

#[tokio::test(start_paused = true)]
async fn nothing_is_answered_from_a_snapshot_past_the_lease_or_of_another_epoch() {
    let TestHarness { mut controller, .. } = controller_reading_its_snapshot(7, Duration::from_secs(2)).await;
    tokio::time::advance(Duration::from_secs(2)).await;
    let (reply, mut answer) = oneshot::channel();
    controller.handle_request(PeerCall::Poll("job-1".into()), reply, RequestOrigin::User);
    assert!(answer.try_recv().is_err(), "the record is read");
    let lease_expiry = Instant::now() + Duration::from_secs(2);
    controller.handle_role(Role::Leader { epoch: 9, lease_expiry });
    let job = JobId::parse("job-1").expect("valid");
    assert_eq!(controller.snapshot_loader.status(&job), None, "it was read in another epoch");
    let late = SnapshotProgress::JobRead(RecordedJob::decided(JobStatus {
        id: job.clone(),
        state: JobState::Queued,
        done_tasks: 0,
        running_tasks: 0,
    }));
    controller.handle_event(InternalEvent::SnapshotProgressed { epoch: 7, progress: late });
    assert_eq!(controller.snapshot_loader.status(&job), None, "progress of another epoch");
}

#[tokio::test(start_paused = true)]
async fn a_read_that_began_before_the_epoch_is_not_taken_into_its_snapshot() {
    let before = Instant::now();
    tokio::time::advance(Duration::from_millis(10)).await;
    let TestHarness { mut controller, .. } = controller_reading_its_snapshot(7, Duration::from_secs(2)).await;
    let job = JobId::parse("job-2").expect("valid");
    let status = JobStatus { id: job.clone(), state: JobState::Queued, done_tasks: 0, running_tasks: 0 };
    controller.snapshot_loader.record_lookup(before, &status);
    assert_eq!(controller.snapshot_loader.status(&job), None);
    controller.snapshot_loader.record_lookup(Instant::now(), &status);
    assert_eq!(controller.snapshot_loader.status(&job), Some(status));
}
