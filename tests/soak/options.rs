//! Options of the soak, from environment variables. An invalid value is rejected with a
//! message of one line.

use std::fmt;
use std::ops::RangeInclusive;

/// Variable: how many seeds are run.
pub const SEEDS: &str = "SHEDTALLY_SOAK_SEEDS";
/// Variable: the first seed.
pub const FIRST_SEED: &str = "SHEDTALLY_SOAK_FIRST_SEED";
/// Variable: number of machines in the fleet.
pub const WORKERS: &str = "SHEDTALLY_SOAK_WORKERS";
/// Variable: for how many seconds faults begin. A run lasts longer, until the cluster has
/// recovered.
pub const SECONDS: &str = "SHEDTALLY_SOAK_SECONDS";
/// Variable: how many seeds are run at the same time.
pub const AT_ONCE: &str = "SHEDTALLY_SOAK_AT_ONCE";
/// Variable: path of the program under test, if it is not the one that cargo built.
pub const PROGRAM: &str = "SHEDTALLY_SOAK_PROGRAM";

/// Options of the soak.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The first seed.
    pub first_seed: u64,
    /// How many seeds are run.
    pub seeds: u64,
    /// Number of machines in the fleet.
    pub workers: u64,
    /// For how many seconds faults begin.
    pub seconds: u64,
    /// How many seeds are run at the same time.
    pub at_once: u64,
}

/// A variable whose value is invalid.
pub struct InvalidOption {
    variable: &'static str,
    text: String,
    allowed: RangeInclusive<u64>,
}

// A test that ends with an error prints it by its `Debug` form.
impl fmt::Debug for InvalidOption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (least, most) = self.allowed.clone().into_inner();
        write!(f, "{}={:?} is no whole number from {least} to {most}", self.variable, self.text)
    }
}

fn number(
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
    /// Reads the options, by a function that returns the value of a variable.
    ///
    /// # Errors
    ///
    /// [`InvalidOption`] if a value is not a whole number in the allowed range.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, InvalidOption> {
        let read = |name: &'static str, default, allowed| number(name, variable(name), default, allowed);
        Ok(Options {
            first_seed: read(FIRST_SEED, 1, 0..=u64::MAX / 2)?,
            seeds: read(SEEDS, 2, 1..=10_000)?,
            workers: read(WORKERS, 24, 4..=400)?,
            seconds: read(SECONDS, 20, 5..=600)?,
            at_once: read(AT_ONCE, 2, 1..=8)?,
        })
    }
}

#[test]
fn invalid_options_are_rejected_in_one_line() {
    let options = |name: &'static str, text: &'static str| {
        Options::read(move |asked| (asked == name).then(|| text.to_owned()))
    };
    let plain = Options::read(|_| None).expect("the defaults are sound");
    assert_eq!(options(SEEDS, "50").expect("sound"), Options { seeds: 50, ..plain });
    for (name, text) in [
        (FIRST_SEED, "x"),
        (SEEDS, "0"),
        (WORKERS, "100000"),
        (SECONDS, "-1"),
        (AT_ONCE, "1.5"),
        (SECONDS, ""),
    ] {
        let message = format!("{:?}", options(name, text).expect_err("no such number"));
        assert!(message.starts_with(name) && message.lines().count() == 1, "{message}");
    }
}
