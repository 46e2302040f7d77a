//! Combinations of concurrent faults that users have asked about, each injected into a whole
//! cluster. No rule may be violated, and each test checks that the faults did overlap. The table
//! in `docs/design.md` explains for each combination why the rules hold.

use super::random_faults::{in_simulated_time, run_to_the_end};
use super::simulation::{ClusterShape, Fault, Simulation};

use Fault::*;

/// All faults have ended by this time, in seconds of simulated time.
const FAULTS_END: f64 = 130.0;
/// When the simulation ends, unless jobs are unfinished; in seconds of simulated time.
const END: f64 = 300.0;

/// Runs concurrent faults on clusters of the usual shape.
fn run_concurrent_faults(faults: &[(f64, Fault)], overlapped: impl Fn(&Simulation) -> bool) {
    run_concurrent_faults_in(ClusterShape::usual, faults, overlapped);
}

/// Runs concurrent faults with three controllers and with five, on clusters of the given shape.
/// `overlapped` decides from the counters of a simulation whether the faults did overlap.
fn run_concurrent_faults_in(
    shape: impl Fn(usize) -> ClusterShape,
    faults: &[(f64, Fault)],
    overlapped: impl Fn(&Simulation) -> bool,
) {
    for (seed, controllers) in [(1, 3), (2, 5)] {
        let simulation = in_simulated_time(async {
            let mut simulation = Simulation::shaped(seed, shape(controllers), faults.to_vec(), FAULTS_END);
            run_to_the_end(&mut simulation, END).await;
            simulation.check_end();
            simulation
        });
        assert!(simulation.violations.is_empty(), "{controllers} controllers: {:#?}", simulation.violations);
        assert!(
            simulation.starts > 20 && overlapped(&simulation),
            "{controllers} controllers: too few starts, or the faults did not overlap"
        );
    }
}

#[test]
fn delayed_transactions_arrive_after_newer_ones_and_a_failover() {
    let late = DelayedWrites { probability: 0.4, lasts: 90.0 };
    let kill = Kill { controller: None, restart_after: 0.3 };
    run_concurrent_faults(
        &[(25.0, late), (60.0, kill), (80.0, kill), (90.0, CancelNow { count: 3, hang: 0.0 })],
        |simulation| simulation.late_transactions > 20 && simulation.leaders.len() >= 3,
    );
}

/// Users cancel the first jobs of chains of dependent jobs. Right after that, the leader is killed,
/// the state service is down, or it refuses or loses the requests of the leader alone; meanwhile
/// the limits of the state service are lowered.
#[test]
fn dependencies_are_cancelled_while_the_leader_or_the_state_service_is_lost() {
    let cancel = CancelNow { count: 4, hang: 0.0 };
    let lost = [
        Kill { controller: None, restart_after: 3.0 },
        Outage { lasts: 55.0 },
        StateServiceRefuses { lasts: 60.0, peers: false },
        StateServiceUnreachable { lasts: 60.0, peers: true },
    ];
    for fault in lost {
        let faults = [(40.0, cancel), (40.3, fault), (41.0, LimitsLowered), (55.0, cancel), (55.2, fault)];
        let shape = |controllers| ClusterShape {
            extra_request_rate: 1.0,
            writes: 11.0,
            ..ClusterShape::busy(controllers).with_dependencies()
        };
        run_concurrent_faults_in(shape, &faults, |simulation| {
            simulation.cancellations >= 3 && simulation.over_limits > 0
        });
    }
}

/// Transactions are carried out and only their responses are lost, while other controllers read
/// what they wrote.
#[test]
fn transaction_responses_are_lost_while_controllers_are_partitioned() {
    let lost = LostResponses { probability: 0.6, lasts: 90.0 };
    let cancel = CancelNow { count: 4, hang: 0.0 };
    let at_end = CancelAtEnd { probability: 0.4, lasts: 90.0 };
    let unreachable = PeersUnreachable { lasts: 80.0 };
    let faults = [(25.0, lost), (25.0, at_end), (30.0, unreachable), (45.0, cancel), (70.0, cancel)];
    run_concurrent_faults_in(ClusterShape::busy, &faults, |simulation| {
        simulation.cancellations > 0 && simulation.repeated_answers > 1000
    });
}

#[test]
fn leadership_moves_back_and_forth_and_a_controller_restarts_within_a_second() {
    let quick_restart = Kill { controller: None, restart_after: 0.2 };
    run_concurrent_faults(
        &[
            (40.0, quick_restart),
            (41.0, quick_restart),
            (55.0, KillAll { restart_after: 0.4 }),
            (57.0, Kill { controller: Some(0), restart_after: 0.1 }),
            (57.3, Kill { controller: Some(1), restart_after: 0.1 }),
            (58.0, CancelNow { count: 2, hang: 5.0 }),
            (75.0, KillAll { restart_after: 3.0 }),
        ],
        |simulation| simulation.leaders.len() >= 3,
    );
}

#[test]
fn a_command_delayed_by_a_hung_machine_is_applied_when_it_resumes() {
    let hung = |lasts| Hang { probability: 0.6, lasts };
    run_concurrent_faults(
        &[(40.0, hung(3.0)), (50.0, hung(6.0)), (60.0, CancelNow { count: 4, hang: 15.0 })],
        |simulation| simulation.cancellations > 0,
    );
}

#[test]
fn a_cancellation_a_poll_and_a_resubmission_coincide_with_the_last_task_end() {
    let kill = Kill { controller: None, restart_after: 2.0 };
    run_concurrent_faults(
        &[(20.0, CancelAtEnd { probability: 1.0, lasts: 100.0 }), (60.0, kill), (90.0, kill)],
        |simulation| simulation.cancellations > 5,
    );
}

#[test]
fn the_state_service_refuses_the_leader_then_all_while_users_cancel() {
    let refused = StateServiceRefuses { lasts: 14.0, peers: false };
    run_concurrent_faults(
        &[
            (40.0, refused),
            (45.0, CancelNow { count: 3, hang: 0.0 }),
            (46.0, CancelNow { count: 3, hang: 12.0 }),
            (47.5, Outage { lasts: 60.0 }),
        ],
        |simulation| {
            simulation.leaders.len() >= 2 && simulation.cancellations >= 3 && simulation.lost_leases > 0
        },
    );
}

#[test]
fn a_refused_leader_and_a_cancellation_at_once_then_an_outage() {
    run_concurrent_faults(
        &[
            (45.0, StateServiceRefuses { lasts: 14.0, peers: false }),
            (45.0, CancelNow { count: 4, hang: 0.0 }),
            (46.0, Outage { lasts: 60.0 }),
        ],
        |simulation| simulation.lost_leases > 0,
    );
}

#[test]
fn tasks_of_a_job_end_far_apart_across_failovers() {
    let kill = Kill { controller: None, restart_after: 5.0 };
    let kills: Vec<_> = (0..7).map(|n| (30.0 + 12.0 * f64::from(n), kill)).collect();
    run_concurrent_faults(&kills, |simulation| simulation.leaders.len() >= 7);
}

#[test]
fn jobs_are_cancelled_through_another_controller_while_the_leader_is_isolated() {
    let isolated = |requests_hang| match requests_hang {
        true => StateServiceUnreachable { lasts: 35.0, peers: true },
        false => StateServiceRefuses { lasts: 35.0, peers: true },
    };
    let cancel = CancelNow { count: 3, hang: 0.0 };
    for requests_hang in [false, true] {
        run_concurrent_faults(
            &[(40.0, isolated(requests_hang)), (46.0, cancel), (50.0, cancel)],
            |simulation| simulation.leaders.len() >= 2 && simulation.cancellations >= 2,
        );
    }
}

#[test]
fn more_work_than_capacity_at_all_priorities_across_failovers() {
    let kill = Kill { controller: None, restart_after: 4.0 };
    run_concurrent_faults(
        &[(30.0, Burst { jobs: 25 }), (50.0, kill), (70.0, Burst { jobs: 10 }), (71.0, kill)],
        |simulation| simulation.starts > 100,
    );
}

#[test]
fn zone_bound_jobs_lose_their_machines() {
    let lost = TerminateMachines { probability: 0.5 };
    run_concurrent_faults(
        &[(40.0, lost), (60.0, lost), (61.0, Kill { controller: None, restart_after: 3.0 }), (80.0, lost)],
        |simulation| simulation.leaders.len() >= 2,
    );
}

#[test]
fn a_zone_with_workers_and_a_controller_is_partitioned_for_longer_than_a_lease() {
    let partition = ZonePartition { lasts: 32.0 };
    // The rules must hold whether or not the controller in the zone leads.
    let kill = Kill { controller: None, restart_after: 6.0 };
    run_concurrent_faults(&[(40.0, partition), (48.0, CancelNow { count: 3, hang: 0.0 })], |simulation| {
        simulation.cancellations > 0
    });
    run_concurrent_faults(&[(35.0, kill), (40.0, kill), (48.0, partition), (55.0, kill)], |simulation| {
        simulation.leaders.len() >= 2
    });
}

#[test]
fn heartbeats_of_earlier_incarnations_and_attempts_arrive_after_newer_ones() {
    run_concurrent_faults(
        &[
            (20.0, DuplicatedHeartbeats { probability: 0.5, lasts: 100.0 }),
            (40.0, Hang { probability: 0.4, lasts: 25.0 }),
            (70.0, OneWayPartition { probability: 0.4, lasts: 25.0 }),
        ],
        |simulation| simulation.late_copies > 50,
    );
}

#[test]
fn a_heartbeat_is_delayed_until_a_new_leader_has_acted() {
    let kill = Kill { controller: None, restart_after: 1.0 };
    let late = DuplicatedHeartbeats { probability: 0.7, lasts: 100.0 };
    run_concurrent_faults(
        &[(20.0, late), (45.0, kill), (60.0, kill), (75.0, KillAll { restart_after: 8.0 })],
        |simulation| simulation.leaders.len() >= 4,
    );
}

#[test]
fn all_controllers_are_down_for_longer_than_a_worker_lease() {
    run_concurrent_faults(
        &[(45.0, KillAll { restart_after: 27.0 }), (44.0, CancelNow { count: 3, hang: 0.0 })],
        |simulation| simulation.lost_leases > 0,
    );
}

#[test]
fn a_team_at_its_quota_when_the_leader_changes_and_machines_are_unreachable() {
    run_concurrent_faults(
        &[
            (30.0, Burst { jobs: 20 }),
            (50.0, HeartbeatsLost { probability: 0.5, lasts: 30.0 }),
            (51.0, Kill { controller: None, restart_after: 5.0 }),
            (54.0, CancelNow { count: 4, hang: 0.0 }),
            (80.0, Hang { probability: 0.5, lasts: 17.0 }),
            (81.0, Kill { controller: None, restart_after: 5.0 }),
            (84.0, CancelNow { count: 4, hang: 10.0 }),
        ],
        |simulation| simulation.leaders.len() >= 3 && simulation.cancellations >= 3,
    );
}

#[test]
fn a_failover_while_machines_are_unreachable_or_one_way_partitioned() {
    let kill = Kill { controller: None, restart_after: 5.0 };
    run_concurrent_faults(
        &[
            (40.0, OneWayPartition { probability: 0.5, lasts: 40.0 }),
            (42.0, kill),
            (85.0, HeartbeatsLost { probability: 0.5, lasts: 15.0 }),
            (86.0, kill),
        ],
        |simulation| simulation.leaders.len() >= 3,
    );
}

#[test]
fn ten_failovers_in_two_minutes_with_an_outage_among_them() {
    let kill = Kill { controller: None, restart_after: 0.5 };
    let mut faults: Vec<_> = (0..12).map(|n| (25.0 + 8.0 * f64::from(n), kill)).collect();
    faults.extend([(60.0, Outage { lasts: 20.0 }), (58.0, CancelNow { count: 3, hang: 0.0 })]);
    run_concurrent_faults(&faults, |simulation| simulation.leaders.len() >= 6);
}

#[test]
fn machines_without_heartbeat_replies_receive_pushed_commands() {
    let lost = HeartbeatsLost { probability: 0.7, lasts: 30.0 };
    run_concurrent_faults(&[(40.0, lost), (44.0, CancelNow { count: 4, hang: 0.0 })], |simulation| {
        simulation.cancellations >= 2
    });
}

/// Replies to heartbeats arrive a second time while their worker still executes them, and pushed
/// commands much later, while machines fail, controllers come back within a fraction of a second, also
/// in the middle of an election, and users cancel.
#[test]
fn commands_arrive_twice_while_tasks_move_and_controllers_restart_within_a_second() {
    let copies = DuplicatedCommands { probability: 0.7, lasts: 100.0 };
    let quick_restart = Kill { controller: None, restart_after: 0.2 };
    run_concurrent_faults_in(
        ClusterShape::busy,
        &[
            (20.0, copies),
            (25.0, CancelAtEnd { probability: 0.3, lasts: 90.0 }),
            (40.0, quick_restart),
            (40.4, quick_restart),
            (50.0, CancelNow { count: 6, hang: 0.0 }),
            (60.0, TerminateMachines { probability: 0.3 }),
            (70.0, KillAll { restart_after: 0.3 }),
            (70.5, Kill { controller: Some(0), restart_after: 0.1 }),
            (85.0, CancelNow { count: 6, hang: 2.0 }),
            (86.0, quick_restart),
        ],
        |simulation| {
            simulation.copied_commands > 200 && simulation.cancellations > 3 && simulation.leaders.len() >= 3
        },
    );
}
