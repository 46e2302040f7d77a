//! A search on real processes: the built controllers over loopback, among stand-ins of our
//! own for workers, users, the state service and the cloud, with random overlapping faults.
//! One checker judges the whole history by every rule.
//!
//! The schedule of faults and the users' jobs follow from the seed; how the processes
//! interleave does not, so a seed that found something need not find it again. What a run
//! with findings leaves behind (logs, schedule, history) is kept under the build's folder.

mod checker;
mod checker_tests;
mod cloud;
mod history;
mod jobs;
mod network;
mod options;
mod processes;
mod run;
mod schedule;
mod state_service;
mod users;
mod workers;

use std::sync::mpsc;
use std::time::Duration;

use options::{Options, Refused};
use run::{Report, Verdict};

/// The time that a cancellation has, in the settings of every run.
pub const CANCEL: Duration = Duration::from_secs(16);

/// No rule breaks, whatever meets whatever. A run on a machine so busy that the harness
/// itself came late is not judged, and counts as a failure of the soak, not of a rule.
#[test]
fn no_rule_breaks_on_real_processes() -> Result<(), Refused> {
    let options = Options::read(|name| std::env::var(name).ok())?;
    let reports = play_all(&options);
    println!("seed  controllers  machines  seconds  starts  answers  faults  leaders  lag ms  verdict");
    for report in &reports {
        println!("{report}");
    }
    let wrong: Vec<&Report> = reports.iter().filter(|report| report.verdict != Verdict::Kept).collect();
    assert!(wrong.is_empty(), "{} of {} runs: {wrong:#?}", wrong.len(), reports.len());
    Ok(())
}

/// Plays each seed on a thread and a runtime of its own, a few at a time.
fn play_all(options: &Options) -> Vec<Report> {
    let (done, finished) = mpsc::channel();
    let mut reports = Vec::new();
    let mut playing = 0;
    for seed in options.first_seed..options.first_seed + options.seeds {
        if playing == options.at_once {
            reports.extend(finished.recv());
            playing -= 1;
        }
        playing += 1;
        let (options, done) = (options.clone(), done.clone());
        std::thread::spawn(move || {
            let _ = done.send(run::play(seed, &options));
        });
    }
    drop(done);
    reports.extend(finished.iter());
    reports.sort_by_key(|report| report.seed);
    assert_eq!(reports.len() as u64, options.seeds, "a run has ended without a report");
    reports
}
