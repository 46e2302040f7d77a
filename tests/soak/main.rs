//! The soak: runs the built controllers as real processes on loopback, among test doubles of
//! the workers, the users, the key-value store and the cloud, under random overlapping faults.
//! One checker judges the whole history by every rule.
//!
//! * `schedule`, `jobs`: the faults and the users' jobs of a run. Both follow from the seed;
//!   how the processes interleave does not, so a seed that found something need not find it
//!   again.
//! * `run`: starts the parts, injects the faults and has the history judged.
//! * `processes`, `network`: the controllers, and the links by which they reach others.
//! * `workers`, `users`, `kv_server`, `cloud`: the test doubles; `http` is what they share.
//! * `history`, `checker`: what was observed, and whether it breaks a rule.
//!
//! Logs, schedule and history of a run with findings are kept under the build's folder.

#![allow(clippy::cast_possible_truncation, reason = "counts are small here")]

mod checker;
mod checker_tests;
mod cloud;
mod history;
mod http;
mod jobs;
mod kv_server;
mod network;
mod options;
mod processes;
mod run;
mod schedule;
mod users;
mod workers;

use std::sync::mpsc;
use std::time::Duration;

use options::{InvalidOption, Options};
use run::{Report, Verdict};

/// How long tasks of a cancelled job may run on, in the settings of every run.
pub const CANCEL_WITHIN: Duration = Duration::from_secs(16);

/// No rule is broken, whatever faults overlap. A run on a machine so busy that the harness's own
/// timers were late is not judged: the soak fails, but no rule counts as broken.
#[test]
fn no_rule_breaks_on_real_processes() -> Result<(), InvalidOption> {
    let options = Options::read(|name| std::env::var(name).ok())?;
    let reports = run_all(&options);
    println!("seed  controllers  machines  seconds  starts  answers  faults  leaders  lag ms  verdict");
    for report in &reports {
        println!("{report}");
    }
    let failed: Vec<&Report> = reports.iter().filter(|report| report.verdict != Verdict::Passed).collect();
    assert!(failed.is_empty(), "{} of {} runs: {failed:#?}", failed.len(), reports.len());
    Ok(())
}

/// Runs each seed on a thread and a runtime of its own, a few at a time.
fn run_all(options: &Options) -> Vec<Report> {
    let (done, finished) = mpsc::channel();
    let mut reports = Vec::new();
    let mut running = 0;
    for seed in options.first_seed..options.first_seed + options.seeds {
        if running == options.at_once {
            reports.extend(finished.recv());
            running -= 1;
        }
        running += 1;
        let (options, done) = (options.clone(), done.clone());
        std::thread::spawn(move || {
            let _ = done.send(run::run_seed(seed, &options));
        });
    }
    drop(done);
    reports.extend(finished.iter());
    reports.sort_by_key(|report| report.seed);
    assert_eq!(reports.len() as u64, options.seeds, "a run ended without a report");
    reports
}
