//! The soak test: runs the built controllers as real processes on loopback, with test doubles of
//! the workers, the users, the key-value store and the cloud, under random overlapping faults. A
//! checker then checks the complete history against every rule.
//!
//! * `schedule`, `jobs`: the faults and the users' jobs of a run. The seed determines both, but
//!   not how the processes interleave, so a seed may not reproduce its findings.
//! * `run`: one run, from the start of the components to the check of the history; `cluster`: the
//!   components, and how faults begin and end; `collector`, `monitors`: what watches them; `report`:
//!   the result.
//! * `processes`, `network`: the controllers, and the links between them and other components.
//! * `workers`, `users`, `kv_server`, `cloud`: the test doubles; `http` has their shared code.
//! * `history`, `checker`: the observed events, and the rules that they must satisfy.
//!
//! Logs, schedule and history of a run that did not pass are kept in the build directory.

#![allow(clippy::cast_possible_truncation, reason = "counts are small here")]

mod checker;
mod checker_tests;
mod cloud;
mod cluster;
mod collector;
mod history;
mod http;
mod jobs;
mod kv_server;
mod monitors;
mod network;
mod options;
mod processes;
mod report;
mod run;
mod schedule;
mod users;
mod workers;

use std::sync::mpsc;
use std::time::Duration;

use options::{InvalidOption, Options};
use report::{Report, Verdict};

/// How long tasks of a cancelled job may keep running, in the settings of every run.
pub const CANCEL_WITHIN: Duration = Duration::from_secs(16);

/// No rule is broken under any overlapping faults. If the machine is so busy that the harness's
/// own timers are late, the run is not judged: the test fails without reporting a broken rule.
#[test]
fn no_rule_breaks_on_real_processes() -> Result<(), InvalidOption> {
    let options = Options::read(|name| std::env::var(name).ok())?;
    let reports = run_all(&options);
    println!("seed  controllers  machines  seconds  starts  answers  faults  leaders  lag ms  verdict");
    for report in &reports {
        println!("{report}");
    }
    let failed: Vec<&Report> = reports.iter().filter(|report| report.verdict != Verdict::Passed).collect();
    assert!(failed.is_empty(), "{} of {} runs did not pass: {failed:#?}", failed.len(), reports.len());
    Ok(())
}

/// Runs each seed in its own thread and runtime, at most `at_once` at a time.
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
