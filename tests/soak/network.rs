//! Links between the parts of a run: proxies on loopback that keep their port whatever
//! stands behind them, and that lose, hold, delay or refuse what passes.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What happens to what is sent one way.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Passage {
    Open,
    /// It arrives later.
    Delayed(Duration),
    /// It arrives once the trouble is over, in order.
    Held,
    /// It never arrives, and the connection is lost.
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkState {
    /// Where what is behind the link listens now; none while it is not there.
    pub target: Option<SocketAddr>,
    /// New connections are refused, and open ones end.
    pub refused: bool,
    /// From who connects to who is connected to.
    pub there: Passage,
    pub back: Passage,
}

/// One direction between two parts: the one that connects and the one that listens.
#[derive(Debug)]
pub struct Link {
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
}

impl Link {
    /// Opens a link to what listens there, if it does already.
    pub async fn open(target: Option<SocketAddr>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = LinkState { target, refused: false, there: Passage::Open, back: Passage::Open };
        let (state, seen) = watch::channel(state);
        tokio::spawn(accept(listener, seen));
        Ok(Link { address, state })
    }

    pub fn lead_to(&self, target: Option<SocketAddr>) {
        self.state.send_modify(|state| state.target = target);
    }

    pub fn set(&self, there: Passage, back: Passage) {
        self.state.send_modify(|state| (state.there, state.back) = (there, back));
    }

    pub fn refuse(&self, refused: bool) {
        self.state.send_modify(|state| state.refused = refused);
    }

    pub fn mend(&self) {
        self.set(Passage::Open, Passage::Open);
        self.refuse(false);
    }
}

async fn accept(listener: TcpListener, state: watch::Receiver<LinkState>) {
    loop {
        tokio::select! {
            // The link is gone with the run.
            () = closed(state.clone()) => return,
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else { continue };
                tokio::spawn(carry(client, state.clone()));
            }
        }
    }
}

async fn closed(mut state: watch::Receiver<LinkState>) {
    while state.changed().await.is_ok() {}
}

async fn carry(client: TcpStream, state: watch::Receiver<LinkState>) {
    let LinkState { target, refused, .. } = *state.borrow();
    let Some(target) = target.filter(|_| !refused) else { return };
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::select! {
        () = pump(from_client, to_server, state.clone(), |state| state.there) => {}
        () = pump(from_server, to_client, state.clone(), |state| state.back) => {}
        () = cut_off(state) => {}
    }
}

async fn cut_off(mut state: watch::Receiver<LinkState>) {
    let _ = state.wait_for(|state| state.refused).await;
}

/// Carries bytes one way until either side ends.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    way: fn(&LinkState) -> Passage,
) {
    let mut chunk = [0u8; 16 * 1024];
    loop {
        let read = match from.read(&mut chunk).await {
            Ok(read) if read > 0 => read,
            _ => return,
        };
        let passage = way(&state.borrow_and_update());
        match passage {
            Passage::Open => {}
            Passage::Delayed(time) => tokio::time::sleep(time).await,
            Passage::Held => {
                if state.wait_for(|state| way(state) != Passage::Held).await.is_err() {
                    return;
                }
            }
            // Nothing is heard of it until the trouble is over.
            Passage::Lost => {
                let _ = state.wait_for(|state| way(state) != Passage::Lost).await;
                return;
            }
        }
        if to.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}
