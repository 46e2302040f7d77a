//! Options of the soak test, read from environment variables. An invalid value is rejected with
//! a one-line message.

use std::fmt;
use std::ops::RangeInclusive;

/// Variable: number of seeds to run.
pub const SEEDS: &str = "SHEDTALLY_SOAK_SEEDS";
/// Variable: the first seed.
pub const FIRST_SEED: &str = "SHEDTALLY_SOAK_FIRST_SEED";
/// Variable: number of machines in the fleet.
pub const WORKERS: &str = "SHEDTALLY_SOAK_WORKERS";
/// Variable: number of unfinished jobs that are in the key-value store when the run begins. With any,
/// the store's rates are limited.
pub const BACKLOG: &str = "SHEDTALLY_SOAK_BACKLOG";
/// Variable: requests per second that the key-value store serves if there are unfinished jobs when the
/// run begins. Their number divided by it is about the time that a failover takes.
pub const REQUEST_RATE: &str = "SHEDTALLY_SOAK_REQUEST_RATE";
/// Variable: for how many seconds new faults are planned. A run takes longer: it also waits for the
/// faults to end and for the cluster to recover.
pub const SECONDS: &str = "SHEDTALLY_SOAK_SECONDS";
/// Variable: number of seeds to run concurrently.
pub const AT_ONCE: &str = "SHEDTALLY_SOAK_AT_ONCE";
/// Variable: path of the program under test; defaults to the one that cargo built.
pub const PROGRAM: &str = "SHEDTALLY_SOAK_PROGRAM";

/// Options of the soak test.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The first seed.
    pub first_seed: u64,
    /// Number of seeds to run.
    pub seeds: u64,
    /// Number of machines in the fleet.
    pub workers: u64,
    /// Number of unfinished jobs in the key-value store when the run begins.
    pub backlog: u64,
    /// Requests per second that the key-value store serves if there is a backlog.
    pub request_rate: u64,
    /// For how many seconds new faults are planned.
    pub seconds: u64,
    /// Number of seeds to run concurrently.
    pub at_once: u64,
}

/// A variable whose value is invalid.
pub struct InvalidOption {
    variable: &'static str,
    text: String,
    allowed: RangeInclusive<u64>,
}

// A test that returns an error prints its `Debug` form.
impl fmt::Debug for InvalidOption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (min, max) = self.allowed.clone().into_inner();
        write!(f, "{}={:?} is not an integer from {min} to {max}", self.variable, self.text)
    }
}

fn parse_number(
    variable: &'static str,
    text: Option<String>,
    default: u64,
    allowed: RangeInclusive<u64>,
) -> Result<u64, InvalidOption> {
    let Some(text) = text else { return Ok(default) };
    match text.parse() {
        Ok(number) if allowed.contains(&number) => Ok(number),
        _ => Err(InvalidOption { variable, text, allowed }),
    }
}

impl Options {
    /// Reads the options. `variable` returns the value of an environment variable.
    ///
    /// # Errors
    ///
    /// [`InvalidOption`] if a value is not an integer in the allowed range.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, InvalidOption> {
        let read =
            |name: &'static str, default, allowed| parse_number(name, variable(name), default, allowed);
        Ok(Options {
            first_seed: read(FIRST_SEED, 1, 0..=u64::MAX / 2)?,
            seeds: read(SEEDS, 2, 1..=10_000)?,
            workers: read(WORKERS, 24, 4..=400)?,
            backlog: read(BACKLOG, 1200, 0..=10_000)?,
            request_rate: read(REQUEST_RATE, 250, 50..=10_000)?,
            seconds: read(SECONDS, 20, 5..=600)?,
            at_once: read(AT_ONCE, 2, 1..=8)?,
        })
    }
}

#[test]
fn invalid_options_are_rejected_with_a_one_line_message() {
    let options = |name: &'static str, text: &'static str| {
        Options::read(move |asked| (asked == name).then(|| text.to_owned()))
    };
    let defaults = Options::read(|_| None).expect("the defaults are valid");
    assert_eq!(options(SEEDS, "50").expect("the value is valid"), Options { seeds: 50, ..defaults });
    for (name, text) in [
        (FIRST_SEED, "x"),
        (SEEDS, "0"),
        (WORKERS, "100000"),
        (BACKLOG, "10001"),
        (REQUEST_RATE, "0"),
        (SECONDS, "-1"),
        (AT_ONCE, "1.5"),
        (SECONDS, ""),
    ] {
        let message = format!("{:?}", options(name, text).expect_err("the value is invalid"));
        assert!(message.starts_with(name) && message.lines().count() == 1, "{message}");
    }
}
