use super::parameters::PARAMETERS;
use super::*;
use crate::settings::tests::sample;

pub fn tuning() -> Tuning {
    Tuning::load(&sample().cluster, None).expect("the default policy is valid")
}

fn apply_to_default(text: &str) -> Result<Tuning, String> {
    let mut tuning = tuning();
    let applied = tuning.apply(&sample().cluster, text, Path::new("p"));
    applied.map(|()| tuning).map_err(|e| e.to_string())
}

#[test]
fn default_policy_sets_every_parameter() {
    let zero = Tuning::default();
    let default = tuning();
    assert_ne!(default, zero);
    for parameter in PARAMETERS {
        assert!(
            DEFAULT.lines().any(|l| l.starts_with(&format!("{} = ", parameter.name))),
            "{}",
            parameter.name
        );
    }
    assert_eq!(default.lease, Duration::from_millis(3750));
}

/// The policy examples in docs/operations.md are valid, and each changes a parameter.
#[test]
fn documented_examples_are_valid() {
    let guide = include_str!("../../docs/operations.md");
    let blocks: Vec<&str> =
        guide.split("```policy\n").skip(1).filter_map(|b| b.split("```").next()).collect();
    assert!(blocks.len() >= 3);
    for block in blocks {
        let changed = apply_to_default(block).unwrap_or_else(|e| panic!("{e}\n{block}"));
        assert_ne!(changed, tuning(), "an example changes something:\n{block}");
    }
}

#[test]
fn invalid_policies_are_rejected_with_line_and_column() {
    for (text, expected) in [
        ("\n  lease = 1 s", "p:2:11: `lease` must be from 2.4 s to 15 s, not 1 s"),
        ("lease = 0.2", "p:1:9: `lease` is a time, but this is a number"),
        ("lease = workers.lease * 1 s", "p:1:23: a time cannot be multiplied by a time"),
        ("lease = workers.leas / 5", "p:1:9: there is no variable `workers.leas`"),
        ("quota = 1", "p:1:1: there is no parameter `quota`"),
        ("sample = 5\nsample = 6", "p:2:1: `sample` is set a second time"),
        ("headroom = (1 + 2", "p:1:18: expected `)`"),
        ("headroom = 1 / 0", "p:1:14: division by zero"),
        ("headroom = 1 +", "p:1:15: expected a value"),
        ("headroom 1", "p:1:10: expected `=`"),
        ("headroom = if 1 s < 2 then 1 else 2", "p:1:19: a time cannot be compared with a number"),
        ("headroom = 1 $ 2", "p:1:14: unexpected `$`"),
    ] {
        assert_eq!(apply_to_default(text), Err(expected.to_owned()), "{text}");
    }
}

#[test]
fn expressions_have_types_units_and_conditionals() {
    let apply = |text: &str| apply_to_default(text).expect("valid");
    assert_eq!(apply("reconcile = 2 min").reconcile_interval, Duration::from_secs(120));
    assert_eq!(apply("batch = 500 ms + 1 s").done_task_batch_delay, Duration::from_millis(1500));
    assert_eq!(apply("headroom = workers.lease / workers.report / 5").headroom, 2.0);
    assert_eq!(apply("mean_ratio = state.rps * 20 ms").mean_ratio, 2.0);
    let choice = "headroom = if cluster.size >= 3 and quota.cores < 0.5 then 1 else 2 * (1 + 1)";
    assert_eq!(apply(choice).headroom, 4.0);
    assert_eq!(apply("sample = min(7, max(3, 5)) - 1 # comment").sampled_machines, 4);
}
