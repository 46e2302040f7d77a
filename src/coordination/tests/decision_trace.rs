//! Writes the decision traces of many seeds to a file, to be compared before and after a change
//! that must not alter any decision.

use std::fmt::Write;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};

use super::monotonic_answers;
use super::random_faults::{self, FIRST_SEED_VARIABLE, SEEDS_VARIABLE};

/// Environment variable: the file to which the traces are written.
const TRACE_VARIABLE: &str = "SHEDTALLY_TRACE";

/// Parses the value of an environment variable; the default applies if it is not set.
fn parse_number(variable: &str, text: Option<&str>, default: u64) -> Result<u64, String> {
    let Some(text) = text else { return Ok(default) };
    text.parse().map_err(|_| format!("{variable}={text}: not a whole number"))
}

/// The traces of one seed, one line per message: the simulation with random overlapping faults,
/// and the one that checks that answers are monotonic.
fn traces_of(seed: u64) -> String {
    let faults = random_faults::record_trace(seed).into_lines();
    let answers = monotonic_answers::record_trace(seed).into_lines();
    let mut lines = String::new();
    for (name, trace) in [("faults", faults), ("answers", answers)] {
        for line in trace.lines() {
            writeln!(lines, "{seed} {name} {line}").expect("writing to a string cannot fail");
        }
    }
    lines
}

/// Writes the traces of `count` seeds from `first` on, in the order of the seeds.
fn write_traces(path: &Path, first: u64, count: u64) -> Result<(), String> {
    let describe = |error: std::io::Error| format!("{TRACE_VARIABLE}={}: {error}", path.display());
    let end = first.checked_add(count).ok_or_else(|| format!("{SEEDS_VARIABLE}={count}: too many"))?;
    // The file is created first: an unusable path is rejected before the simulations run.
    let mut file = std::fs::File::create(path).map_err(describe)?;
    let next = AtomicU64::new(first);
    let threads = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    let mut traces: Vec<(u64, String)> = std::thread::scope(|scope| {
        let run_seeds = || {
            let seeds = std::iter::from_fn(|| Some(next.fetch_add(1, Ordering::Relaxed)));
            seeds.take_while(|seed| *seed < end).map(|seed| (seed, traces_of(seed))).collect::<Vec<_>>()
        };
        let threads: Vec<_> = (0..threads).map(|_| scope.spawn(run_seeds)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a simulation ends")).collect()
    });
    traces.sort();
    for (_, lines) in traces {
        std::io::Write::write_all(&mut file, lines.as_bytes()).map_err(describe)?;
    }
    Ok(())
}

/// With `SHEDTALLY_TRACE` set, writes the traces of `SHEDTALLY_SEEDS` seeds there.
#[test]
fn decision_traces_are_written_where_they_are_asked_for() {
    let Ok(path) = std::env::var(TRACE_VARIABLE) else { return };
    let number = |variable, default| parse_number(variable, std::env::var(variable).ok().as_deref(), default);
    let written = number(FIRST_SEED_VARIABLE, 1)
        .and_then(|first| number(SEEDS_VARIABLE, 6).map(|count| (first, count)))
        .and_then(|(first, count)| write_traces(Path::new(&path), first, count));
    assert!(written.is_ok(), "{}", written.unwrap_err());
}

#[test]
fn a_seed_gives_the_same_trace_twice() {
    let (first, second) =
        (random_faults::record_trace(3).into_lines(), random_faults::record_trace(3).into_lines());
    assert!(first.lines().count() > 1000, "too few messages were sent");
    assert!(first == second, "the same seed gave another trace");
}

#[test]
fn a_bad_path_or_seed_is_rejected_with_one_line() {
    let path = Path::new("/nowhere/to/be/found");
    let errors = [
        write_traces(path, 1, 1),
        write_traces(path, u64::MAX, 2),
        parse_number(FIRST_SEED_VARIABLE, Some("seven"), 1).map(drop),
        parse_number(SEEDS_VARIABLE, Some("-1"), 1).map(drop),
    ];
    for error in errors {
        let reason = error.expect_err("an error");
        assert!(reason.starts_with("SHEDTALLY_") && reason.lines().count() == 1, "{reason}");
    }
}
