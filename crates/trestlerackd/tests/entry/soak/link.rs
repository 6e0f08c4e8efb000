//! A loopback proxy that can delay, block in one direction, silence or reset its connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How a link treats the bytes that it receives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkMode {
    Pass,
    /// Delays each read by this time.
    Slow(Duration),
    /// Holds back what the caller sends until the mode changes.
    HoldRequests,
    /// Holds back what the callee sends until the mode changes.
    HoldResponses,
    /// Holds back both directions; new connections hang.
    Silent,
    /// Resets new connections.
    Refuse,
}

#[derive(Clone, Copy, Debug)]
struct LinkState {
    mode: LinkMode,
    /// Number of resets; connections opened before the last one are broken.
    resets: u64,
    /// Number of permanent silences; connections opened before the last one carry nothing.
    silences: u64,
}

impl LinkState {
    fn passes(&self, direction: Direction, opened: &Self) -> bool {
        let is_held_back = match self.mode {
            LinkMode::Pass | LinkMode::Slow(_) | LinkMode::Refuse => false,
            LinkMode::HoldRequests => direction == Direction::ToCallee,
            LinkMode::HoldResponses => direction == Direction::ToCaller,
            LinkMode::Silent => true,
        };
        !is_held_back && self.silences == opened.silences
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Direction {
    ToCallee,
    ToCaller,
}

/// A proxy to one address.
pub struct Link {
    pub address: String,
    state: watch::Sender<LinkState>,
}

impl Link {
    /// Starts a link to `callee` on the given runtime.
    pub fn open(runtime: &tokio::runtime::Runtime, callee: SocketAddr) -> Self {
        let state = watch::channel(LinkState { mode: LinkMode::Pass, resets: 0, silences: 0 }).0;
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let seen = state.subscribe();
        runtime.spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(proxy_connection(caller, callee, seen.clone()));
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

    /// Silences all open connections permanently; new ones work.
    pub fn silence_open(&self) {
        self.state.send_modify(|state| state.silences += 1);
    }
}

async fn proxy_connection(caller: TcpStream, callee: SocketAddr, mut state: watch::Receiver<LinkState>) {
    let opened = *state.borrow_and_update();
    if opened.mode == LinkMode::Refuse {
        return reset(&caller);
    }
    let Ok(callee) = TcpStream::connect(callee).await else { return reset(&caller) };
    let handles = [clone_handle(&caller), clone_handle(&callee)];
    let _ = (caller.set_nodelay(true), callee.set_nodelay(true));
    let (caller_in, caller_out) = caller.into_split();
    let (callee_in, callee_out) = callee.into_split();
    let to_callee = copy_bytes(caller_in, callee_out, Direction::ToCallee, opened, state.clone());
    let to_caller = copy_bytes(callee_in, caller_out, Direction::ToCaller, opened, state.clone());
    if tokio::try_join!(to_callee, to_caller).is_err() {
        // Both ends see a reset, as after a broken connection.
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

async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    opened: LinkState,
    mut state: watch::Receiver<LinkState>,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read?,
            broken = wait_reset(state.clone(), opened) => return broken,
        };
        let allowed = *state
            .wait_for(|state| state.resets != opened.resets || state.passes(direction, &opened))
            .await
            .map_err(io::Error::other)?;
        if allowed.resets != opened.resets {
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

async fn wait_reset(mut state: watch::Receiver<LinkState>, opened: LinkState) -> io::Result<()> {
    state.wait_for(|state| state.resets != opened.resets).await.map_err(io::Error::other)?;
    Err(io::ErrorKind::ConnectionReset.into())
}
