use prost::Message;

use super::*;
use crate::storage::records::production_tests::bytes;

#[test]
fn encoding_never_extends_a_remaining_lease() {
    let left = Duration::from_micros(1_234_900);
    let lease = Some(RemainingLease { epoch: 7, remaining: left });
    let sent = PeerReply { status: 200, body: vec![1], retry_after_s: Some(3), lease };
    let bytes = Reply::from(sent.clone()).encode_to_vec();
    let reply = decode_reply(Reply::decode(bytes.as_slice()).expect("a message")).expect("a reply");
    assert_eq!(reply.lease, Some(RemainingLease { epoch: 7, remaining: Duration::from_millis(1234) }));
    assert_eq!(PeerReply { lease, ..reply }, sent);
    // Less than a millisecond is sent as 1, since 0 means no lease.
    let lease = Some(RemainingLease { epoch: 7, remaining: Duration::from_micros(1) });
    assert_eq!(Reply::from(PeerReply { lease, ..sent }).lease_left_ms, 1);
}

/// Earlier builds send replies without the lease fields.
#[test]
fn a_reply_without_lease_fields_decodes_without_a_lease() {
    let earlier: &[u8] = &[0x08, 0xc8, 0x01, 0x12, 0x01, 0x2a, 0x18, 0x03];
    let reply = decode_reply(Reply::decode(earlier).expect("a message")).expect("a reply");
    assert_eq!(reply, PeerReply { status: 200, body: vec![0x2a], retry_after_s: Some(3), lease: None });
}

#[test]
fn a_reply_with_an_invalid_http_status_is_rejected() {
    for status in [0, 199, 600, 70_000] {
        let reply = Reply { status, body: Vec::new(), retry_after_s: 0, epoch: 0, lease_left_ms: 0 };
        assert_eq!(decode_reply(reply), None, "{status}");
    }
}

/// Messages recorded from the last build without job dependencies (commit 652c9af) are decoded,
/// and encode to the same bytes.
#[test]
fn messages_of_the_previous_build_are_read_and_written_unchanged() {
    macro_rules! sent {
        ($name:literal) => {
            bytes(include_str!(concat!("production/", $name, ".hex")))
        };
    }
    fn check<M: Message + Default + PartialEq + std::fmt::Debug>(sent: &[u8], expected: &M) {
        assert_eq!(&M::decode(sent).expect("a message"), expected);
        assert_eq!(expected.encode_to_vec(), sent);
    }
    check(&sent!("peer-submit"), &SubmitRequest { body: vec![0xa0], relay: true });
    check(&sent!("peer-job"), &JobRequest { job: "job-000412".into(), relay: true });
    check(&sent!("peer-report"), &ReportRequest { body: vec![0xa0] });
    let lease = Some(RemainingLease { epoch: 7, remaining: Duration::from_millis(1234) });
    let reply = PeerReply { status: 200, body: vec![0x2a], retry_after_s: None, lease };
    check(&sent!("peer-reply"), &Reply::from(reply));
    let later = PeerReply { status: 503, body: vec![0xa0], retry_after_s: Some(3), lease: None };
    check(&sent!("peer-reply-later"), &Reply::from(later));
}
