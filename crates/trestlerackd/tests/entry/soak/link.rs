//! A loopback proxy whose connections can be delayed, cut one way, silenced or reset.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What a link does with the bytes that it gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkMode {
    Pass,
    /// Each piece waits so long.
    Slow(Duration),
    /// Nothing of what the caller sends arrives; it is held back until the link heals.
    CutForth,
    /// Nothing of what the callee sends arrives.
    CutBack,
    /// Nothing arrives either way, and new connections hang.
    Silent,
    /// New connections are reset.
    Refuse,
}

#[derive(Clone, Copy, Debug)]
struct LinkState {
    mode: LinkMode,
    /// Connections that were opened before the last reset are broken.
    resets: u64,
    /// Connections that were opened before the last silence carry nothing any more.
    silences: u64,
}

impl LinkState {
    fn passes(&self, direction: Direction, born: &Self) -> bool {
        let is_cut = match self.mode {
            LinkMode::Pass | LinkMode::Slow(_) | LinkMode::Refuse => false,
            LinkMode::CutForth => direction == Direction::Forth,
            LinkMode::CutBack => direction == Direction::Back,
            LinkMode::Silent => true,
        };
        !is_cut && self.silences == born.silences
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Direction {
    Forth,
    Back,
}

/// A link to one address.
pub struct Link {
    pub address: String,
    state: watch::Sender<LinkState>,
}

impl Link {
    /// Opens a link to `callee` on the given runtime.
    pub fn open(runtime: &tokio::runtime::Runtime, callee: SocketAddr) -> Self {
        let state = watch::channel(LinkState { mode: LinkMode::Pass, resets: 0, silences: 0 }).0;
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let seen = state.subscribe();
        runtime.spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(carry(caller, callee, seen.clone()));
            }
        });
        Self { address, state }
    }

    pub fn set(&self, mode: LinkMode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// Silences all open connections for good; new ones work.
    pub fn silence_open(&self) {
        self.state.send_modify(|state| state.silences += 1);
    }
}

async fn carry(caller: TcpStream, callee: SocketAddr, mut state: watch::Receiver<LinkState>) {
    let born = *state.borrow_and_update();
    if born.mode == LinkMode::Refuse {
        return reset(&caller);
    }
    let Ok(callee) = TcpStream::connect(callee).await else { return reset(&caller) };
    let handles = [clone_handle(&caller), clone_handle(&callee)];
    let _ = (caller.set_nodelay(true), callee.set_nodelay(true));
    let (caller_in, caller_out) = caller.into_split();
    let (callee_in, callee_out) = callee.into_split();
    let forth = pump(caller_in, callee_out, Direction::Forth, born, state.clone());
    let back = pump(callee_in, caller_out, Direction::Back, born, state.clone());
    if tokio::try_join!(forth, back).is_err() {
        // Whoever still reads or writes sees a reset, as after a broken connection.
        for handle in handles {
            let _ = handle.set_linger(Some(Duration::ZERO));
        }
    }
}

fn clone_handle(stream: &TcpStream) -> socket2::Socket {
    socket2::SockRef::from(stream).try_clone().unwrap()
}

fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    born: LinkState,
    mut state: watch::Receiver<LinkState>,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read?,
            broken = wait_reset(state.clone(), born) => return broken,
        };
        let allowed = *state
            .wait_for(|state| state.resets != born.resets || state.passes(direction, &born))
            .await
            .map_err(io::Error::other)?;
        if allowed.resets != born.resets {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if let LinkMode::Slow(pause) = allowed.mode {
            tokio::time::sleep(pause).await;
        }
        if read == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..read]).await?;
    }
}

async fn wait_reset(mut state: watch::Receiver<LinkState>, born: LinkState) -> io::Result<()> {
    state.wait_for(|state| state.resets != born.resets).await.map_err(io::Error::other)?;
    Err(io::ErrorKind::ConnectionReset.into())
}
