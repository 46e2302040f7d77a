use super::*;

/// A controller that was suspended until after its lease expired must make no further calls.
#[tokio::test]
async fn no_call_is_made_after_the_lease_has_expired() {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    listener.set_nonblocking(true).expect("a non-blocking listener");
    let address = listener.local_addr().expect("bound");
    let (_sender, lease_expiry) = watch::channel(Instant::now());
    let cloud = start(address, 10.0, Duration::from_secs(1), lease_expiry);
    let machine = MachineId::parse("vm-1").expect("valid");
    assert_eq!(cloud.call(CloudCall::Delete(vec![machine])).await, Err(CloudError::Failed));
    assert!(listener.accept().is_err(), "a connection was made after the lease had ended");
}
