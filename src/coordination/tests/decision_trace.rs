//! The guard of changes that must not alter any decision: the traces of many seeds are written
//! to a file and compared before and after such a change.

use std::fmt::Write;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};

use super::monotonic_answers;
use super::random_faults::{self, FIRST, SEEDS};

/// Environment variable: the file to which the traces are written.
const TRACE: &str = "SHEDTALLY_TRACE";

/// The whole number in an environment variable, or the default where it is not set.
fn whole_number(variable: &str, text: Option<&str>, default: u64) -> Result<u64, String> {
    let Some(text) = text else { return Ok(default) };
    text.parse().map_err(|_| format!("{variable}={text}: not a whole number"))
}

/// The traces of one seed, a line for each message: random overlapping faults, and the search
/// over the order of answers.
fn traces_of(seed: u64) -> String {
    let faults = random_faults::traced(seed).into_lines();
    let answers = monotonic_answers::traced(seed).into_lines();
    let mut lines = String::new();
    for (name, trace) in [("faults", faults), ("answers", answers)] {
        for line in trace.lines() {
            writeln!(lines, "{seed} {name} {line}").expect("a string takes everything");
        }
    }
    lines
}

/// Writes the traces of `count` seeds from `first` on, in the order of the seeds.
fn write_traces(path: &Path, first: u64, count: u64) -> Result<(), String> {
    let refused = |error: std::io::Error| format!("{TRACE}={}: {error}", path.display());
    let end = first.checked_add(count).ok_or_else(|| format!("{SEEDS}={count}: too many"))?;
    // The file is created first: an unusable path is rejected before the simulations run.
    let mut file = std::fs::File::create(path).map_err(refused)?;
    let next = AtomicU64::new(first);
    let threads = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    let mut traces: Vec<(u64, String)> = std::thread::scope(|scope| {
        let play = || {
            let seeds = std::iter::from_fn(|| Some(next.fetch_add(1, Ordering::Relaxed)));
            seeds.take_while(|seed| *seed < end).map(|seed| (seed, traces_of(seed))).collect::<Vec<_>>()
        };
        let threads: Vec<_> = (0..threads).map(|_| scope.spawn(play)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a simulation ends")).collect()
    });
    traces.sort();
    for (_, lines) in traces {
        std::io::Write::write_all(&mut file, lines.as_bytes()).map_err(refused)?;
    }
    Ok(())
}

/// With `SHEDTALLY_TRACE` set, writes the traces of `SHEDTALLY_SEEDS` seeds there.
#[test]
fn decision_traces_are_written_where_they_are_asked_for() {
    let Ok(path) = std::env::var(TRACE) else { return };
    let number = |variable, default| whole_number(variable, std::env::var(variable).ok().as_deref(), default);
    let written = number(FIRST, 1)
        .and_then(|first| number(SEEDS, 6).map(|count| (first, count)))
        .and_then(|(first, count)| write_traces(Path::new(&path), first, count));
    assert!(written.is_ok(), "{}", written.unwrap_err());
}

#[test]
fn a_seed_gives_the_same_trace_twice() {
    let (first, second) = (random_faults::traced(3).into_lines(), random_faults::traced(3).into_lines());
    assert!(first.lines().count() > 1000, "too few messages were sent");
    assert!(first == second, "the same seed gave another trace");
}

#[test]
fn a_bad_path_or_seed_is_rejected_with_one_line() {
    let path = Path::new("/nowhere/to/be/found");
    let refusals = [
        write_traces(path, 1, 1),
        write_traces(path, u64::MAX, 2),
        whole_number(FIRST, Some("seven"), 1).map(drop),
        whole_number(SEEDS, Some("-1"), 1).map(drop),
    ];
    for refusal in refusals {
        let reason = refusal.expect_err("refused");
        assert!(reason.starts_with("SHEDTALLY_") && reason.lines().count() == 1, "{reason}");
    }
}
