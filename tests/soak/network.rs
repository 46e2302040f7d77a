//! Links between the parts of a run: TCP proxies on loopback that keep their port while the
//! server behind them comes and goes, and that can lose, hold, delay or refuse traffic.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What happens to the bytes that are sent in one direction.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Delivery {
    /// They arrive at once.
    Open,
    /// They arrive later.
    Delayed(Duration),
    /// They arrive once the fault has ended, in order.
    Held,
    /// They never arrive, and the connection is lost.
    Lost,
}

/// Present state of a link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkState {
    /// Where the server behind the link listens; `None` while it is down.
    pub target: Option<SocketAddr>,
    /// New connections are refused, and open ones end.
    pub refusing: bool,
    /// From client to server.
    pub forward: Delivery,
    /// From server to client.
    pub backward: Delivery,
}

/// A proxy between two parts: the client that connects and the server that listens.
#[derive(Debug)]
pub struct Link {
    /// Where the link listens for the client.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
}

impl Link {
    /// Opens a link to the server that listens there, if one does already.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn open(target: Option<SocketAddr>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = LinkState { target, refusing: false, forward: Delivery::Open, backward: Delivery::Open };
        let (state, state_receiver) = watch::channel(state);
        tokio::spawn(accept(listener, state_receiver));
        Ok(Link { address, state })
    }

    /// From now on new connections go there; `None` refuses them.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        self.state.send_modify(|state| state.target = target);
    }

    /// Sets what happens to bytes in each direction.
    pub fn set_delivery(&self, forward: Delivery, backward: Delivery) {
        self.state.send_modify(|state| (state.forward, state.backward) = (forward, backward));
    }

    /// Refuses new connections and ends open ones, or stops to do so.
    pub fn set_refusing(&self, refusing: bool) {
        self.state.send_modify(|state| state.refusing = refusing);
    }

    /// Ends all faults of the link.
    pub fn restore(&self) {
        self.set_delivery(Delivery::Open, Delivery::Open);
        self.set_refusing(false);
    }
}

async fn accept(listener: TcpListener, state: watch::Receiver<LinkState>) {
    loop {
        tokio::select! {
            // The link was dropped with the run.
            () = closed(state.clone()) => return,
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else { continue };
                tokio::spawn(proxy(client, state.clone()));
            }
        }
    }
}

async fn closed(mut state: watch::Receiver<LinkState>) {
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
        () = pump(from_client, to_server, state.clone(), |state| state.forward) => {}
        () = pump(from_server, to_client, state.clone(), |state| state.backward) => {}
        () = refusing_begins(state) => {}
    }
}

async fn refusing_begins(mut state: watch::Receiver<LinkState>) {
    let _ = state.wait_for(|state| state.refusing).await;
}

/// Forwards bytes in one direction until either side ends.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    direction: fn(&LinkState) -> Delivery,
) {
    let mut chunk = [0u8; 16 * 1024];
    loop {
        let read = match from.read(&mut chunk).await {
            Ok(read) if read > 0 => read,
            _ => return,
        };
        let delivery = direction(&state.borrow_and_update());
        match delivery {
            Delivery::Open => {}
            Delivery::Delayed(time) => tokio::time::sleep(time).await,
            Delivery::Held => {
                if state.wait_for(|state| direction(state) != Delivery::Held).await.is_err() {
                    return;
                }
            }
            // The connection stays open, without any bytes, until the fault has ended.
            Delivery::Lost => {
                let _ = state.wait_for(|state| direction(state) != Delivery::Lost).await;
                return;
            }
        }
        if to.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}
