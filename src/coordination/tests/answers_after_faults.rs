//! Answers about accepted jobs after faults have ended, in clusters with thousands of unfinished
//! jobs: every user gets one within the time limit, and every controller answers about every job.

use std::time::Duration;

use super::random_faults::{in_simulated_time, submit_job};
use super::simulation::{AcceptedJob, ClusterShape, Fault, Origin, Simulation};

use AcceptedJob::*;
use Fault::*;

/// Accepted jobs: the unfinished ones are more than a leader reads of the state service within its
/// lease.
const ACCEPTED_JOBS: usize = 3000;
/// One in ten is done, one in ten cancelled.
const ACCEPTED_KINDS: [AcceptedJob; 10] =
    [Done, Cancelled, Queued, Queued, Queued, Queued, Queued, Queued, Queued, Queued];
/// All faults have ended by this time, in seconds of simulated time.
const FAULTS_END: f64 = 60.0;
/// When every job is polled at every controller: after the time within which users must be answered.
const ANSWERED_BY: f64 = FAULTS_END + 80.0;
/// Pause between two of these polls.
const POLL_PAUSE: Duration = Duration::from_millis(1);
/// When the simulation ends, after the answers to these polls.
const END: f64 = ANSWERED_BY + 15.0;

/// Checks that no user was left without an answer after these faults, that every controller
/// answers about every job, and that no other rule was violated.
fn check_all_answered(faults: &[(f64, Fault)]) {
    let simulation = in_simulated_time(async {
        let mut simulation = Simulation::shaped(1, ClusterShape::large(3), faults.to_vec(), FAULTS_END);
        simulation.add_accepted_jobs(ACCEPTED_JOBS, &ACCEPTED_KINDS);
        simulation.run(ANSWERED_BY).await;
        let jobs = simulation.poll_accepted_jobs_everywhere(POLL_PAUSE);
        assert!(jobs >= ACCEPTED_JOBS);
        simulation.run(END).await;
        simulation.check_answered_everywhere();
        simulation
    });
    check_no_violations(&simulation);
}

fn check_no_violations(simulation: &Simulation) {
    assert!(
        simulation.violations.is_empty(),
        "{} epochs, violations: {:#?}",
        simulation.leaders.len(),
        simulation.violations.iter().take(5).collect::<Vec<_>>()
    );
}

#[test]
fn no_job_is_forgotten_after_all_controllers_were_killed_during_an_outage() {
    check_all_answered(&[(20.0, Outage { lasts: 15.0 }), (25.0, KillAll { restart_after: 3.0 })]);
}

#[test]
fn no_job_is_forgotten_after_leaders_changed_in_series() {
    let kill = Kill { controller: None, restart_after: 0.3 };
    check_all_answered(&[25.0, 28.0, 31.0, 40.0, 41.0, 55.0].map(|at| (at, kill)));
}

#[test]
fn no_job_is_forgotten_after_an_outage_longer_than_the_leases() {
    check_all_answered(&[(20.0, Outage { lasts: 38.0 })]);
}

#[test]
fn no_job_is_forgotten_after_the_leader_alone_was_refused_and_another_stalled() {
    check_all_answered(&[
        (25.0, StateServiceRefuses { lasts: 20.0, peers: true }),
        (35.0, Stall { controller: None, lasts: 20.0 }),
    ]);
}

#[test]
fn no_job_is_forgotten_after_a_zone_partition_and_a_killed_leader() {
    check_all_answered(&[
        (25.0, ZonePartition { lasts: 30.0 }),
        (30.0, Kill { controller: None, restart_after: 3.0 }),
        (32.0, PeersUnreachable { lasts: 20.0 }),
    ]);
}

#[test]
fn no_job_is_forgotten_while_single_responses_of_the_state_service_are_lost() {
    check_all_answered(&[
        (0.0, LostResponses { probability: 0.01, lasts: 1000.0 }),
        (30.0, KillAll { restart_after: 3.0 }),
    ]);
}

#[test]
fn no_job_is_forgotten_after_responses_were_lost_and_leaders_killed() {
    let kill = Kill { controller: None, restart_after: 3.0 };
    check_all_answered(&[
        (20.0, LostResponses { probability: 0.2, lasts: 38.0 }),
        (30.0, kill),
        (45.0, kill),
    ]);
}

/// Accepted jobs of about 4,000 machines whose state service has the rates of 800: four in five are
/// unfinished, and reading them takes tens of seconds.
const BACKLOG_JOBS: usize = 12_500;
/// Done, cancelled, waiting for one that is cancelled, done or unfinished, of many tasks, and queued.
const BACKLOG_KINDS: [AcceptedJob; 10] =
    [Done, Cancelled, DependsOn(1), DependsOn(3), DependsOn(1), ManyTasks, Queued, Queued, Queued, Queued];
/// All faults of a run with a backlog have ended by this time, in seconds of simulated time.
const BACKLOG_FAULTS_END: f64 = 30.0;
/// When a run with a backlog ends, after the time within which users must be answered.
const BACKLOG_END: f64 = BACKLOG_FAULTS_END + 85.0;

/// Changes the leader again and again, the last time in the middle of a failover, and checks that no
/// job of the backlog is forgotten.
fn check_backlog_answered(kinds: &[AcceptedJob], run: impl AsyncFnOnce(&mut Simulation)) {
    let kill = Kill { controller: None, restart_after: 0.3 };
    let faults = vec![
        (8.0, Outage { lasts: 10.0 }),
        (12.0, KillAll { restart_after: 0.3 }),
        (25.0, kill),
        (29.0, kill),
    ];
    let simulation = in_simulated_time(async {
        let mut simulation = Simulation::shaped(1, ClusterShape::backlog(3), faults, BACKLOG_FAULTS_END);
        simulation.add_accepted_jobs(BACKLOG_JOBS, kinds);
        run(&mut simulation).await;
        simulation
    });
    check_no_violations(&simulation);
}

#[test]
fn no_job_of_a_large_backlog_is_forgotten_while_users_poll_faster_than_records_can_be_read() {
    check_backlog_answered(&BACKLOG_KINDS, async |simulation| simulation.run(BACKLOG_END).await);
}

/// Reading the blocks of these jobs takes longer than users may be without an answer.
const KINDS_WITH_MANY_BLOCKS: [AcceptedJob; 10] = [
    Done,
    KnownCancelled,
    DependsOn(1),
    DependsOn(3),
    ManyTasks,
    ManyTasks,
    ManyTasks,
    ManyTasks,
    ManyTasks,
    Queued,
];
/// One job in as many is polled at every controller; has no divisor in common with the kinds.
const POLLED_EVERYWHERE_STRIDE: usize = 7;
/// Time between two polls of a job at a controller that has not answered, in seconds.
const POLL_INTERVAL: f64 = 5.0;
/// Every controller has answered by this time, while the failover goes on.
const ANSWERED_EVERYWHERE_BY: f64 = BACKLOG_FAULTS_END + 70.0;

#[test]
fn no_job_is_forgotten_while_a_failover_takes_longer_than_users_may_be_without_an_answer() {
    check_backlog_answered(&KINDS_WITH_MANY_BLOCKS, async |simulation| {
        let mut now = BACKLOG_FAULTS_END;
        while now < ANSWERED_EVERYWHERE_BY {
            simulation.run(now).await;
            simulation
                .poll_where_unanswered(POLLED_EVERYWHERE_STRIDE, Duration::from_secs_f64(POLL_INTERVAL));
            now += POLL_INTERVAL;
        }
        simulation.run(ANSWERED_EVERYWHERE_BY).await;
        simulation.check_one_answered_everywhere_in(POLLED_EVERYWHERE_STRIDE);
        simulation.run(BACKLOG_END).await;
    });
}

#[test]
fn the_checker_catches_a_job_about_which_one_controller_does_not_answer() {
    let violations = in_simulated_time(async {
        let mut simulation = Simulation::new(1, 2, Vec::new(), 0.0);
        let now = submit_job(&mut simulation, |_| {}) + POLL_PAUSE;
        for controller in [0, 1] {
            simulation.check_answered_everywhere();
            assert!(!simulation.violations.is_empty(), "not yet answered by all");
            simulation.violations.clear();
            let origin = Origin { sent: now, process: (controller, 1), order: 1 };
            simulation.note_answer(now, "job-1", origin, 200, Some("queued"), false);
        }
        simulation.check_answered_everywhere();
        simulation.violations
    });
    assert!(violations.is_empty(), "answered by all: {violations:?}");
}
