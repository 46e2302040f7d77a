//! Links between the components of a run: TCP proxies on loopback that keep their port across
//! restarts of the server behind them, and that can drop, hold, delay or refuse traffic.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How bytes that are sent in one direction are delivered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Delivery {
    /// Delivered without a delay.
    Immediate,
    /// Delivered after a delay.
    Delayed(Duration),
    /// Delivered in order once the fault has ended.
    Held,
    /// Dropped. A connection whose bytes were dropped stays open until the fault has ended, and
    /// is then closed.
    Lost,
}

/// Current state of a link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkState {
    /// Where the server behind the link listens; `None` while it is down.
    pub target: Option<SocketAddr>,
    /// Whether open connections are closed, and new ones right after they are accepted.
    pub refusing: bool,
    /// Delivery from client to server.
    pub forward: Delivery,
    /// Delivery from server to client.
    pub backward: Delivery,
}

/// A proxy between two components: the client that connects and the server that listens.
#[derive(Debug)]
pub struct Link {
    /// Where the link listens for the client.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
}

impl Link {
    /// Opens a link to the server at `target`; `None` if no server is running yet.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn open(target: Option<SocketAddr>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = LinkState {
            target,
            refusing: false,
            forward: Delivery::Immediate,
            backward: Delivery::Immediate,
        };
        let (state, state_receiver) = watch::channel(state);
        tokio::spawn(accept(listener, state_receiver));
        Ok(Link { address, state })
    }

    /// Sets the server for new connections; with `None` they are closed right after they are
    /// accepted.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        self.state.send_modify(|state| state.target = target);
    }

    /// Sets how bytes are delivered in each direction.
    pub fn set_delivery(&self, forward: Delivery, backward: Delivery) {
        self.state.send_modify(|state| (state.forward, state.backward) = (forward, backward));
    }

    /// Starts or stops refusing new connections; starting also closes open ones.
    pub fn set_refusing(&self, refusing: bool) {
        self.state.send_modify(|state| state.refusing = refusing);
    }

    /// Ends all faults of the link.
    pub fn restore(&self) {
        self.set_delivery(Delivery::Immediate, Delivery::Immediate);
        self.set_refusing(false);
    }
}

async fn accept(listener: TcpListener, state: watch::Receiver<LinkState>) {
    loop {
        tokio::select! {
            // The `Link` has been dropped at the end of the run, which closes its state channel.
            () = wait_until_link_dropped(state.clone()) => return,
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else { continue };
                tokio::spawn(proxy(client, state.clone()));
            }
        }
    }
}

async fn wait_until_link_dropped(mut state: watch::Receiver<LinkState>) {
    while state.changed().await.is_ok() {}
}

async fn proxy(client: TcpStream, state: watch::Receiver<LinkState>) {
    let LinkState { target, refusing, .. } = *state.borrow();
    let Some(target) = target.filter(|_| !refusing) else { return };
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::select! {
        () = forward_bytes(from_client, to_server, state.clone(), |state| state.forward) => {}
        () = forward_bytes(from_server, to_client, state.clone(), |state| state.backward) => {}
        () = wait_until_refusing(state) => {}
    }
}

async fn wait_until_refusing(mut state: watch::Receiver<LinkState>) {
    let _ = state.wait_for(|state| state.refusing).await;
}

/// Forwards bytes in one direction until either side closes the connection.
async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    delivery_of: fn(&LinkState) -> Delivery,
) {
    let mut chunk = [0u8; 16 * 1024];
    loop {
        let read = match from.read(&mut chunk).await {
            Ok(read) if read > 0 => read,
            _ => return,
        };
        let delivery = delivery_of(&state.borrow_and_update());
        match delivery {
            Delivery::Immediate => {}
            Delivery::Delayed(delay) => tokio::time::sleep(delay).await,
            Delivery::Held => {
                if state.wait_for(|state| delivery_of(state) != Delivery::Held).await.is_err() {
                    return;
                }
            }
            // Keep the connection open without forwarding bytes until the fault has ended, then
            // close it, since bytes are missing from the stream.
            Delivery::Lost => {
                let _ = state.wait_for(|state| delivery_of(state) != Delivery::Lost).await;
                return;
            }
        }
        if to.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}
