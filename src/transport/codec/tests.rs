use super::*;

const LIMITS: Limits = Limits { head: 512, body: 64 };

fn decode_one(bytes: &[u8]) -> Result<Option<Request>, CodecError> {
    let mut decoder = Decoder::new(LIMITS);
    decoder.push(bytes);
    decoder.next_request()
}

#[test]
fn a_request_split_at_any_byte_is_decoded() {
    let bytes = encode_request("POST", "/api/jobs", "h", b"hello");
    for cut in 0..bytes.len() {
        let mut decoder = Decoder::new(LIMITS);
        decoder.push(&bytes[..cut]);
        assert_eq!(decoder.next_request(), Ok(None), "cut at {cut}");
        decoder.push(&bytes[cut..]);
        let request = decoder.next_request().expect("valid").expect("whole");
        assert_eq!((request.target.as_str(), request.body.as_slice()), ("/api/jobs", &b"hello"[..]));
        assert!(decoder.is_empty());
    }
}

#[test]
fn chunked_bodies_are_joined_and_limited() {
    let head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let whole = decode_one(format!("{head}3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n").as_bytes());
    assert_eq!(whole.expect("valid").expect("whole").body, b"abcde");
    assert_eq!(decode_one(format!("{head}3\r\nabcXY").as_bytes()), Err(CodecError::BadFraming));
    assert_eq!(decode_one(format!("{head}ffffffff\r\n").as_bytes()), Err(CodecError::BodyTooLarge));
    assert_eq!(decode_one(format!("{head}zz\r\n").as_bytes()), Err(CodecError::BadFraming));
}

#[test]
fn hostile_framing_is_rejected() {
    let cases: [(&str, CodecError); 6] = [
        ("POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", CodecError::BadFraming),
        ("POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\nhello", CodecError::BadFraming),
        (
            "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
            CodecError::BadFraming,
        ),
        ("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n", CodecError::BodyTooLarge),
        ("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", CodecError::BodyTooLarge),
        ("\u{0}\u{1}garbage\r\n\r\n", CodecError::BadHead),
    ];
    for (text, expected) in cases {
        assert_eq!(decode_one(text.as_bytes()), Err(expected), "{text:?}");
    }
    let long = format!("GET /{} HTTP/1.1\r\n", "a".repeat(600));
    assert_eq!(decode_one(long.as_bytes()), Err(CodecError::HeadTooLarge));
}

#[test]
fn a_response_round_trips_with_retry_after() {
    let sent = Response { status: 503, body: b"x".to_vec(), retry_after_s: Some(2), close: true };
    let mut decoder = Decoder::new(LIMITS);
    decoder.push(&encode_response(&sent));
    assert_eq!(decoder.next_response(), Ok(Some(sent)));
}
