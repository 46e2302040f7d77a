use super::*;

#[derive(Clone)]
struct Echo;

impl Handler for Echo {
    async fn handle(&self, request: Request) -> Response {
        Response { status: 200, body: request.body, retry_after_s: None, close: false }
    }
}

async fn start(max_connections: usize) -> SocketAddr {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let long = Duration::from_secs(30);
    let limits = Limits { head: 1024, body: 64 };
    tokio::spawn(serve(
        listener,
        ServerOptions { limits, max_connections, idle_timeout: long, io_timeout: long },
        Echo,
    ));
    address
}

/// Sends bytes and reads until the server closes the connection or at least `min_bytes` bytes
/// have been received.
async fn exchange(stream: &mut TcpStream, bytes: &[u8], min_bytes: usize) -> String {
    stream.write_all(bytes).await.expect("sent");
    let mut out = Vec::new();
    let mut chunk = [0u8; 512];
    while out.len() < min_bytes {
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => break,
            Ok(read) => out.extend_from_slice(&chunk[..read]),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

#[tokio::test]
async fn a_hostile_request_gets_an_error_status_and_closes_the_connection() {
    let address = start(8).await;
    for (bytes, status) in [
        ("nonsense\r\n\r\n".to_owned(), "400"),
        ("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n".to_owned(), "413"),
        (format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(2000)), "431"),
    ] {
        let mut stream = TcpStream::connect(address).await.expect("connected");
        let answer = exchange(&mut stream, bytes.as_bytes(), usize::MAX).await;
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
        assert!(answer.contains("Connection: close"));
    }
}

#[tokio::test]
async fn a_connection_beyond_the_limit_is_refused_until_another_closes() {
    let address = start(1).await;
    let mut first = TcpStream::connect(address).await.expect("connected");
    let hello = b"GET / HTTP/1.1\r\n\r\n";
    assert!(exchange(&mut first, hello, 12).await.starts_with("HTTP/1.1 200"));
    let mut second = TcpStream::connect(address).await.expect("connected");
    let refused = exchange(&mut second, b"", usize::MAX).await;
    assert!(refused.starts_with("HTTP/1.1 503") && refused.contains("Retry-After: 1"), "{refused}");
    let bye = exchange(&mut first, b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n", usize::MAX).await;
    assert!(bye.contains("Connection: close"));
    // The task of the closed connection returns its permit at its end; let it finish.
    tokio::task::yield_now().await;
    let mut third = TcpStream::connect(address).await.expect("connected");
    assert!(exchange(&mut third, hello, 12).await.starts_with("HTTP/1.1 200"));
}
