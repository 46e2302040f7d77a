use super::*;

/// Guards against a controller that hangs in a turn and logs nothing about it.
#[test]
fn a_turn_that_does_not_end_is_reported_while_it_lasts() {
    let (current, mut sampler) = (CurrentTurn::default(), Sampler::default());
    assert_eq!(sampler.sample(&current), None);
    for _ in 0..3 {
        current.begin(TurnKind::Heartbeat);
        assert_eq!(sampler.sample(&current), None, "a different turn in each sample");
        current.end();
    }
    assert_eq!(sampler.sample(&current), None, "no turn lasts");
    current.begin(TurnKind::Submission);
    let reported: Vec<u32> =
        (0..10).filter_map(|_| sampler.sample(&current).map(|long| long.intervals)).collect();
    assert_eq!(reported, [1, 2, 4, 8]);
    current.end();
    current.begin(TurnKind::Cancellation);
    assert_eq!(sampler.sample(&current), None);
    assert_eq!(sampler.sample(&current), Some(LongTurn { kind: TurnKind::Cancellation, intervals: 1 }));
}

#[test]
fn each_kind_of_turn_has_a_code() {
    let current = CurrentTurn::default();
    for kind in KINDS {
        current.begin(kind);
        assert_eq!(current.read().1, Some(kind));
    }
}
