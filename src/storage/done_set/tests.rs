//! Done sets are decoded as they were encoded, and damaged text is rejected.

use super::*;

#[test]
fn ranges_and_bitmaps_are_decoded_as_encoded() {
    for step in [1, 2, 7, 500] {
        let mut set = DoneSet::new(1000);
        (0..1000).step_by(step).for_each(|n| assert!(set.insert(n)));
        let mut decoded = DoneSet::new(1000);
        for start in [0, 300, 600, 900] {
            decoded.decode_into(start, &set.encode(start, start + 300)).expect("readable");
        }
        assert_eq!(decoded, set, "every {step}th");
    }
    assert_eq!(DoneSet::new(10).encode(0, 10), "r");
}

#[test]
fn damaged_text_is_rejected() {
    for bad in ["", "x1", "r1-", "r99999999999", "r0-4000000000", "b!", "r10", "b__"] {
        assert_eq!(DoneSet::new(10).decode_into(0, bad), Err(InvalidDoneSet), "{bad:?}");
    }
}
