use super::*;

#[test]
fn trailing_bytes_and_deep_nesting_are_rejected() {
    let mut bytes = encode(&MapBuilder::new().set("a", 1).build());
    assert!(decode(&bytes).is_ok());
    bytes.push(0);
    assert_eq!(decode(&bytes), Err(Malformed::NotAMap));
    assert_eq!(decode(&[0x81; 10_000]), Err(Malformed::NotAMap));
    // An array header for 2^63 - 1 elements, without any element.
    assert_eq!(decode(&[0x9b, 0x7f, 255, 255, 255, 255, 255, 255, 255]), Err(Malformed::NotAMap));
}

#[test]
fn amounts_must_be_finite_and_counts_must_be_integers() {
    let value = MapBuilder::new()
        .set("nan", f64::NAN)
        .set("minus", -1.0)
        .set("half", 1.5)
        .set("whole", 4)
        .set("null", Value::Null)
        .build();
    let fields = Fields::of(&value).expect("a map");
    assert_eq!(fields.amount("nan"), Err(Malformed::Invalid("nan")));
    assert_eq!(fields.amount("minus"), Err(Malformed::Invalid("minus")));
    assert_eq!(fields.count("half"), Err(Malformed::Invalid("half")));
    assert_eq!(fields.amount("whole"), Ok(4.0));
    assert_eq!(fields.opt_text("null"), Ok(None));
    assert_eq!(fields.text("null"), Err(Malformed::Missing("null")));
}
