use std::time::Duration;

use tokio::net::TcpListener;

use super::*;

const LIMITS: Limits = Limits { head: 1024, body: 1024 };

fn call(target: &str, timeout: Duration) -> HttpCall {
    HttpCall { method: "POST", target: target.into(), body: Vec::new(), timeout }
}

/// Reads one request and returns its target; empty if the connection was closed.
async fn read_target(stream: &mut TcpStream) -> String {
    let mut decoder = Decoder::new(LIMITS);
    let mut chunk = [0u8; 512];
    loop {
        if let Some(request) = decoder.next_request().expect("well-formed") {
            return request.target;
        }
        match stream.read(&mut chunk).await.expect("readable") {
            0 => return String::new(),
            read => decoder.push(&chunk[..read]),
        }
    }
}

fn response(status: u16) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n").into_bytes()
}

async fn run(pool: &mut ConnectionPool, call: HttpCall) -> Result<u16, ClientError> {
    let (result, connection) = pool.prepare(call).run().await;
    pool.put_back(connection);
    result.map(|response| response.status)
}

/// A duplicate of a response on an idle connection must not be mistaken for the response to
/// the next request: a failed compare-and-swap would count as committed.
#[tokio::test]
async fn a_duplicated_response_is_not_taken_for_the_next_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut pool = ConnectionPool::new(listener.local_addr().expect("bound"), LIMITS, 4);
    let long = Duration::from_secs(30);
    let first = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        assert_eq!(read_target(&mut stream).await, "/first");
        stream.write_all(&response(200)).await.expect("sent");
        (listener, stream)
    });
    assert_eq!(run(&mut pool, call("/first", long)).await.expect("answered"), 200);
    let (listener, mut stream) = first.await.expect("no panic");
    stream.write_all(&response(200)).await.expect("the duplicate is sent");
    pool.idle[0].stream.readable().await.expect("it has arrived");
    let second = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a new connection");
        assert_eq!(read_target(&mut stream).await, "/second");
        stream.write_all(&response(409)).await.expect("sent");
        stream
    });
    assert_eq!(run(&mut pool, call("/second", long)).await.expect("answered"), 409);
    assert!(second.await.is_ok());
}

/// A response that arrives after the timeout is discarded with its connection.
#[tokio::test]
async fn a_response_after_the_timeout_is_not_taken_for_the_next_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut pool = ConnectionPool::new(listener.local_addr().expect("bound"), LIMITS, 4);
    let serving = tokio::spawn(async move {
        let (mut slow, _) = listener.accept().await.expect("a connection");
        assert_eq!(read_target(&mut slow).await, "/slow");
        // The client opens a new connection once the first request has timed out.
        let (mut next, _) = listener.accept().await.expect("a new connection");
        let _ = slow.write_all(&response(200)).await;
        assert_eq!(read_target(&mut next).await, "/next");
        next.write_all(&response(409)).await.expect("sent");
        (slow, next)
    });
    let slow = run(&mut pool, call("/slow", Duration::from_millis(20))).await;
    assert!(matches!(slow, Err(ClientError::TimedOut)));
    let next = run(&mut pool, call("/next", Duration::from_secs(30))).await;
    assert_eq!(next.expect("answered"), 409);
    assert!(serving.await.is_ok());
}
