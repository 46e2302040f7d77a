//! Answers about accepted jobs after faults have ended, in clusters with thousands of unfinished
//! jobs: every user gets one within the time limit, at whichever controller the user asks.

use super::random_faults::in_simulated_time;
use super::simulation::{ClusterShape, Fault, Simulation};

use Fault::*;

/// Unfinished jobs: more than a leader reads of the state service within its lease.
const UNFINISHED_JOBS: usize = 3000;
/// All faults have ended by this time, in seconds of simulated time.
const FAULTS_END: f64 = 45.0;
/// When the simulation ends: after the time within which users must be answered.
const END: f64 = FAULTS_END + 85.0;

/// Runs faults on a cluster with [`UNFINISHED_JOBS`].
fn run_with_faults(faults: &[(f64, Fault)]) -> Simulation {
    in_simulated_time(async {
        let mut simulation = Simulation::shaped(1, ClusterShape::large(3), faults.to_vec(), FAULTS_END);
        simulation.add_accepted_jobs(UNFINISHED_JOBS);
        simulation.run(END).await;
        simulation
    })
}

/// Checks that no user was left without an answer, and that no other rule was violated.
fn check_all_answered(faults: &[(f64, Fault)]) {
    let simulation = run_with_faults(faults);
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
