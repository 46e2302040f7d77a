use super::*;
use crate::protocol::cbor::Fields;

#[test]
fn turns_longer_than_their_bound_are_counted() {
    let lease = Duration::from_millis(3200);
    let (mut turns, began) = (Turns::new(lease), Instant::now());
    turns.record(TurnKind::Heartbeat, began, began + lease / 8);
    turns.record(TurnKind::Event, began, began + lease / 4);
    turns.record(TurnKind::Tick, began, began + Duration::from_millis(1));
    let metrics = turns.metrics();
    let fields = Fields::of(&metrics).expect("a map");
    assert_eq!(fields.text("longestKind").ok(), Some("event"));
    assert_eq!((fields.count("longestMs").ok(), fields.count("overBound").ok()), (Some(800), Some(1)));
}
