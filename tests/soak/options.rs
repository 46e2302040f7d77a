//! How long and how large the soak is, by environment variables. One that cannot be used
//! is refused in one line.

use std::fmt;
use std::ops::RangeInclusive;

/// How many seeds are played.
pub const SEEDS: &str = "SHEDTALLY_SOAK_SEEDS";
/// The first of them.
pub const FIRST_SEED: &str = "SHEDTALLY_SOAK_FIRST_SEED";
/// Machines of the fleet.
pub const WORKERS: &str = "SHEDTALLY_SOAK_WORKERS";
/// For how many seconds faults begin; a run lasts longer, until all is calm.
pub const SECONDS: &str = "SHEDTALLY_SOAK_SECONDS";
/// Seeds that are played at the same time.
pub const AT_ONCE: &str = "SHEDTALLY_SOAK_AT_ONCE";
/// The program under test, if it is another than the one that cargo built.
pub const PROGRAM: &str = "SHEDTALLY_SOAK_PROGRAM";

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    pub first_seed: u64,
    pub seeds: u64,
    pub workers: u64,
    pub seconds: u64,
    pub at_once: u64,
}

/// A variable whose value cannot be used.
pub struct Refused {
    variable: &'static str,
    text: String,
    allowed: RangeInclusive<u64>,
}

// A test that ends with an error prints it by its `Debug` form.
impl fmt::Debug for Refused {
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
) -> Result<u64, Refused> {
    let Some(text) = text else { return Ok(default) };
    match text.parse() {
        Ok(number) if allowed.contains(&number) => Ok(number),
        _ => Err(Refused { variable, text, allowed }),
    }
}

impl Options {
    /// By the variables that the function gives.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, Refused> {
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
fn bad_options_are_refused_in_one_line() {
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
        let refused = format!("{:?}", options(name, text).expect_err("no such number"));
        assert!(refused.starts_with(name) && refused.lines().count() == 1, "{refused}");
    }
}
