//! Links to peers: one WebSocket per peer for the requests of this node.

use crate::node::Node;
use crate::process::clock;
use crate::process::logs;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Bytes, Message};
use trestlerack::connection::{CallEvent, CallOutcome, CorrelationIds, LinkFrame, NodeLoad, StreamReassembler};
use trestlerack::process::PeerInfo;
use trestlerack::verdict::Reason;
use trestlerack::{Failure, Name, event};

/// Longest frame accepted from a peer, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Frames queued for sending to one peer.
const OUTBOX_FRAMES: usize = 1_024;

/// Parts of one response queued for their reader.
const MAX_QUEUED_PARTS: usize = 1_024;

/// Parts of one response that may arrive ahead of a missing one.
const REORDER_WINDOW_PARTS: usize = 64;

/// Time limit for opening a link.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Read buffer of a link, in bytes. It is small because a node has one link to each peer.
const LINK_BUFFER_BYTES: usize = 4 * 1024;

/// Returns the WebSocket settings of a link.
pub fn socket_config() -> WebSocketConfig {
    let mut config = WebSocketConfig::default();
    config.max_message_size = Some(MAX_FRAME_BYTES);
    config.max_frame_size = Some(MAX_FRAME_BYTES);
    config.read_buffer_size = LINK_BUFFER_BYTES;
    config.write_buffer_size = 0;
    config
}

/// A received part of a response. The first and the last carry the load of the node that sent them.
pub type CallPart = (CallEvent, Option<NodeLoad>);

enum PendingResponse {
    Frame(oneshot::Sender<LinkFrame>),
    Call { parts: mpsc::Sender<CallPart>, reassembler: StreamReassembler<CallPart> },
}

/// An open link to one peer.
pub struct PeerLink {
    outbox: mpsc::Sender<LinkFrame>,
    ids: Mutex<CorrelationIds>,
    pending: Mutex<HashMap<u64, PendingResponse>>,
}

/// The links of this node by peer.
#[derive(Default)]
pub struct LinkTable {
    links: Mutex<HashMap<Name, Arc<PeerLink>>>,
}

impl LinkTable {
    /// Closes the link to a peer. Requests that wait on it fail at once.
    pub fn close_link(&self, peer: &str) {
        let link = self.links.lock().unwrap().remove(peer);
        if let Some(link) = link {
            link.fail_pending();
        }
    }

    /// Returns how many links are open.
    pub fn len(&self) -> usize {
        self.links.lock().unwrap().len()
    }

    fn open_link(&self, peer: &str) -> Option<Arc<PeerLink>> {
        let links = self.links.lock().unwrap();
        links.get(peer).filter(|link| !link.outbox.is_closed()).cloned()
    }
}

impl PeerLink {
    /// Drops all pending responses, so that the tasks that wait for them see their channels close.
    fn fail_pending(&self) {
        self.pending.lock().unwrap().clear();
    }

    fn next_id(&self) -> u64 {
        self.ids.lock().unwrap().next_id()
    }

    fn deliver(&self, frame: LinkFrame) {
        match frame {
            LinkFrame::ProbeAnswer { id, .. } => self.deliver_frame(id, frame),
            LinkFrame::CallPart { id, sequence, event, load } => self.deliver_part(id, sequence, (event, load)),
            _ => {}
        }
    }

    fn deliver_frame(&self, id: u64, frame: LinkFrame) {
        let pending = self.pending.lock().unwrap().remove(&id);
        if let Some(PendingResponse::Frame(sender)) = pending {
            // The requesting task may have timed out; the response is dropped then.
            let _ = sender.send(frame);
        }
    }

    /// Passes on the parts that are in order. If a gap is too large, or the reader fell too far behind, the
    /// call ends: its reader sees the channel close without an end event, so the response is incomplete.
    fn deliver_part(&self, id: u64, sequence: u64, part: CallPart) {
        let mut pending = self.pending.lock().unwrap();
        let Some(PendingResponse::Call { parts, reassembler }) = pending.get_mut(&id) else { return };
        let Ok(ready) = reassembler.accept(sequence, part) else {
            pending.remove(&id);
            return;
        };
        for part in ready {
            let is_last = matches!(part.0, CallEvent::Ended(_));
            let is_delivered = parts.try_send(part).is_ok();
            if is_last || !is_delivered {
                pending.remove(&id);
                return;
            }
        }
    }
}

/// Sends a frame that needs no response. If the peer cannot be reached, the frame is lost.
pub async fn send(node: &Arc<Node>, peer: &str, frame: LinkFrame) {
    let info = node.membership.lock().unwrap().peer(peer).cloned();
    let Some(info) = info else { return };
    if let Ok(link) = get_or_open(node, &info).await {
        // A closed outbox loses the frame. Every frame sent this way is repeated later or backed by a poll.
        let _ = link.outbox.send(frame).await;
    }
}

/// Sends a frame built with a new id and waits for the response with that id.
pub async fn request(
    node: &Arc<Node>,
    peer: &PeerInfo,
    build: impl FnOnce(u64) -> LinkFrame,
    timeout: Duration,
) -> Result<LinkFrame, Failure> {
    let exchange = async {
        let link = get_or_open(node, peer).await?;
        let id = link.next_id();
        let (sender, response) = oneshot::channel();
        link.pending.lock().unwrap().insert(id, PendingResponse::Frame(sender));
        let _pending = PendingGuard { link: link.clone(), id };
        let sent = link.outbox.send(build(id)).await;
        sent.map_err(|_| link_failure("the link is closed"))?;
        response.await.map_err(|_| link_failure("the link failed"))
    };
    let outcome = clock::timeout(timeout, exchange).await;
    outcome.unwrap_or_else(|_| Err(link_failure("no response within the time limit")))
}

/// Removes a pending response when the task no longer waits for it, such as after a timeout.
struct PendingGuard {
    link: Arc<PeerLink>,
    id: u64,
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        self.link.pending.lock().unwrap().remove(&self.id);
    }
}

/// A call that runs on a peer. Dropping this value cancels the call on the peer.
pub struct RemoteCall {
    link: Arc<PeerLink>,
    id: u64,
    parts: mpsc::Receiver<CallPart>,
    ended: bool,
}

impl RemoteCall {
    /// Returns the next part, or `None` if the link failed or this reader fell too far behind before the
    /// end event.
    pub async fn next(&mut self) -> Option<CallPart> {
        let part = self.parts.recv().await;
        self.ended = matches!(&part, Some((CallEvent::Ended(_), _)));
        part
    }
}

impl Drop for RemoteCall {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.link.pending.lock().unwrap().remove(&self.id);
        // If the outbox is full, the call ends at its deadline on the peer.
        let _ = self.link.outbox.try_send(LinkFrame::Cancel { id: self.id });
    }
}

/// Starts a call on a peer. A failure here means that the call was not sent.
pub async fn call(
    node: &Arc<Node>,
    peer: &PeerInfo,
    spec: Box<trestlerack::connection::CallSpec>,
) -> Result<RemoteCall, Failure> {
    let link = get_or_open(node, peer).await?;
    let id = link.next_id();
    let (sender, parts) = mpsc::channel(MAX_QUEUED_PARTS);
    let pending = PendingResponse::Call { parts: sender, reassembler: StreamReassembler::new(REORDER_WINDOW_PARTS) };
    link.pending.lock().unwrap().insert(id, pending);
    let sent = link.outbox.send(LinkFrame::Call { id, spec }).await;
    sent.map_err(|_| link_failure("the link is closed"))?;
    Ok(RemoteCall { link, id, parts, ended: false })
}

/// Builds the outcome of a call whose link failed. It may have run, since the owner may have sent it to an
/// engine.
pub fn link_failure_outcome() -> CallOutcome {
    CallOutcome::Failed(Failure::may_have_run(Reason::BackendFailed, "the link to the owner failed"))
}

fn link_failure(detail: &str) -> Failure {
    Failure::not_run(Reason::BackendFailed, detail)
}

async fn get_or_open(node: &Arc<Node>, peer: &PeerInfo) -> Result<Arc<PeerLink>, Failure> {
    if let Some(link) = node.links.open_link(&peer.name) {
        return Ok(link);
    }
    let socket = clock::timeout(CONNECT_TIMEOUT, connect(node, peer)).await;
    let socket = match socket {
        Ok(Ok(socket)) => socket,
        Ok(Err(error)) => return Err(link_failure(&format!("cannot open a link: {error:#}"))),
        Err(_) => return Err(link_failure("opening a link took too long")),
    };
    let (sink, stream) = socket.split();
    let (outbox, inbox) = mpsc::channel(OUTBOX_FRAMES);
    let link = Arc::new(PeerLink { outbox, ids: Mutex::default(), pending: Mutex::default() });
    let existing = {
        let mut links = node.links.links.lock().unwrap();
        let existing = links.get(&peer.name).filter(|existing| !existing.outbox.is_closed()).cloned();
        if existing.is_none() {
            links.insert(peer.name.clone(), link.clone());
        }
        existing
    };
    // Two tasks may open a link at the same time; the first link is kept.
    if let Some(existing) = existing {
        return Ok(existing);
    }
    tokio::spawn(write_frames(node.clone(), sink, inbox));
    tokio::spawn(read_frames(node.clone(), peer.clone(), stream, link.clone()));
    // If this frame cannot be sent, the task that reads the link notices that it is closed.
    let _ = link.outbox.send(LinkFrame::Hello { node: node.name().clone() }).await;
    Ok(link)
}

async fn connect(node: &Node, peer: &PeerInfo) -> anyhow::Result<WebSocketStream<TcpStream>> {
    let stream = TcpStream::connect(peer.link.as_ref()).await?;
    stream.set_nodelay(true)?;
    let mut request = format!("ws://{}/link", peer.link).into_client_request()?;
    let key = format!("Bearer {}", node.keys.peer_key()).parse()?;
    request.headers_mut().insert("authorization", key);
    let config = Some(socket_config());
    let (socket, _) = tokio_tungstenite::client_async_with_config(request, stream, config).await?;
    Ok(socket)
}

/// Encodes a frame as CBOR.
pub fn encode_frame(frame: &LinkFrame) -> Option<Bytes> {
    let mut content = Vec::new();
    ciborium::into_writer(frame, &mut content).ok()?;
    Some(content.into())
}

/// Writes frames until the link closes.
pub async fn write_frames<S>(
    node: Arc<Node>,
    mut sink: SplitSink<WebSocketStream<S>, Message>,
    mut inbox: mpsc::Receiver<LinkFrame>,
) where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    while let Some(frame) = inbox.recv().await {
        let Some(content) = encode_frame(&frame) else { continue };
        node.telemetry.link_bytes.add(content.len() as u64, &[]);
        if sink.send(Message::Binary(content)).await.is_err() {
            return;
        }
    }
    // If closing fails, the peer still sees the connection end.
    let _ = sink.close().await;
}

async fn read_frames(
    node: Arc<Node>,
    peer: PeerInfo,
    mut stream: SplitStream<WebSocketStream<TcpStream>>,
    link: Arc<PeerLink>,
) {
    while let Some(Ok(message)) = stream.next().await {
        let Message::Binary(content) = message else { continue };
        match ciborium::from_reader::<LinkFrame, _>(content.as_ref()) {
            Ok(LinkFrame::ConfigDeltas(deltas)) => {
                crate::version::config_loop::apply_deltas(&node, deltas, Some(&peer));
            }
            Ok(LinkFrame::ConfigSnapshot(snapshot)) => {
                crate::version::config_loop::apply_snapshot(&node, snapshot);
            }
            Ok(frame) => link.deliver(frame),
            Err(_) => break,
        }
    }
    logs::write(event::LINK_BROKEN, &[("peer", &peer.name)]);
    let mut links = node.links.links.lock().unwrap();
    if links.get(&peer.name).is_some_and(|current| Arc::ptr_eq(current, &link)) {
        links.remove(&peer.name);
    }
    drop(links);
    link.fail_pending();
}
