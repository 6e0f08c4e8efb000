//! The server side of links: runs the requests of peers and responds to them.

use super::links::{socket_config, write_frames};
use crate::node::Node;
use crate::process::clock;
use crate::process::{logs, member_loop, rollout_loop};
use crate::request::{call_router, content_blocking, group_runner};
use crate::version::config_loop;
use futures_util::StreamExt;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use trestlerack::connection::{CallEvent, CallSpec, LinkFrame, NodeLoad};
use trestlerack::{Name, event};

/// Frames queued for sending to a peer. A peer that reads too slowly delays its own calls and no others.
const OUTBOX_FRAMES: usize = 1_024;

/// Time limit for the handshake of a peer.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Serves peers until the process ends.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_peer(node.clone(), stream));
        }
    }
}

async fn serve_peer(node: Arc<Node>, stream: TcpStream) {
    let remote = stream.peer_addr().map_or_else(|_| "unknown".to_owned(), |address| address.to_string());
    // Without this option small frames wait for acknowledgements. If it cannot be set, the socket still works.
    let _ = stream.set_nodelay(true);
    let key_node = node.clone();
    #[allow(clippy::result_large_err, reason = "the library fixes the error type of this callback")]
    let check = move |request: &Request, response: Response| -> Result<Response, ErrorResponse> {
        let header = request.headers().get("authorization").and_then(|value| value.to_str().ok());
        let presented = header.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or("");
        if key_node.keys.is_peer(presented) {
            return Ok(response);
        }
        let mut rejection = ErrorResponse::new(None);
        *rejection.status_mut() = hyper::StatusCode::UNAUTHORIZED;
        Err(rejection)
    };
    let handshake = tokio_tungstenite::accept_hdr_async_with_config(stream, check, Some(socket_config()));
    let socket = match clock::timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(socket)) => socket,
        Ok(Err(error)) => return log_rejection(&remote, &error.to_string()),
        Err(_) => return log_rejection(&remote, "the handshake took too long"),
    };
    let (sink, mut stream) = socket.split();
    let (outbox, inbox) = mpsc::channel(OUTBOX_FRAMES);
    tokio::spawn(write_frames(node.clone(), sink, inbox));
    let session = Arc::new(PeerSession { outbox, calls: Mutex::default(), peer: Mutex::new("unknown".into()) });
    while let Some(message) = stream.next().await {
        let content = match message {
            Ok(Message::Binary(content)) => content,
            Ok(Message::Close(_)) => break,
            Ok(_) => continue,
            Err(error) => {
                log_rejection(&remote, &error.to_string());
                break;
            }
        };
        match ciborium::from_reader::<LinkFrame, _>(content.as_ref()) {
            Ok(frame) => session.clone().handle(&node, frame).await,
            Err(error) => {
                log_rejection(&remote, &format!("not a frame: {error}"));
                break;
            }
        }
    }
    session.cancel_all();
}

fn log_rejection(remote: &str, cause: &str) {
    logs::write(event::LINK_REFUSED, &[("remote", &remote), ("cause", &cause)]);
}

/// Connection of one peer, and the peer's calls that run on this node.
struct PeerSession {
    outbox: mpsc::Sender<LinkFrame>,
    calls: Mutex<HashMap<u64, tokio::task::AbortHandle>>,
    peer: Mutex<Name>,
}

impl PeerSession {
    async fn handle(self: Arc<Self>, node: &Arc<Node>, frame: LinkFrame) {
        match frame {
            LinkFrame::Hello { node: peer } => *self.peer.lock().unwrap() = peer,
            LinkFrame::Probe { id, heartbeat, generation, drain_updates, crash_reports } => {
                content_blocking::merge_crash_reports(node, &crash_reports);
                member_loop::merge_probe(node, heartbeat, generation, drain_updates);
                self.respond_to_probe(node, id).await;
            }
            LinkFrame::ConfigFetch { after } => self.send_config(node, after).await,
            LinkFrame::ConfigDeltas(deltas) => config_loop::apply_deltas(node, deltas, None),
            LinkFrame::ConfigSnapshot(snapshot) => config_loop::apply_snapshot(node, snapshot),
            LinkFrame::Target(target) => rollout_loop::apply_target(node, target),
            LinkFrame::CheckCampaign { .. } => node.steps.wake(),
            LinkFrame::WeightsPublished { .. } => node.leases.wake(),
            LinkFrame::GroupRequest(request) => group_runner::begin(node, request),
            LinkFrame::Call { id, spec } => self.start_call(node, id, *spec),
            LinkFrame::Cancel { id } => self.cancel(id),
            LinkFrame::SpoolCopy { key, content } => {
                let owner = self.peer.lock().unwrap().clone();
                node.spool.store_copy(&owner, &key, &content);
            }
            LinkFrame::ProbeAnswer { .. } | LinkFrame::CallPart { .. } => {}
        }
    }

    async fn respond_to_probe(&self, node: &Arc<Node>, id: u64) {
        let heartbeat = node.membership.lock().unwrap().heartbeat();
        let generation = node.config.current().generation;
        let drain_updates = node.dispatchers.take_drain_updates();
        let crash_reports = content_blocking::recent_crash_reports(node);
        let response = LinkFrame::ProbeAnswer { id, heartbeat, generation, drain_updates, crash_reports };
        // Sending fails only if the link is closed, and that ends the session.
        let _ = self.outbox.send(response).await;
    }

    async fn send_config(&self, node: &Arc<Node>, after: u64) {
        let frame = match node.config.deltas_after(after) {
            Some(deltas) => LinkFrame::ConfigDeltas(deltas),
            None => LinkFrame::ConfigSnapshot(node.config.current().as_ref().clone()),
        };
        // Sending fails only if the link is closed, and that ends the session.
        let _ = self.outbox.send(frame).await;
    }

    fn start_call(self: Arc<Self>, node: &Arc<Node>, id: u64, spec: CallSpec) {
        let (sender, mut events) = mpsc::channel(1);
        let model = spec.model.clone();
        let run = call_router::run_locally(node.clone(), spec, sender);
        let session = self.clone();
        let node = node.clone();
        // The lock is held until the task is in the map, so that the task cannot remove itself before.
        let mut calls = self.calls.lock().unwrap();
        let task = tokio::spawn(async move {
            let relay = async {
                let mut sequence = 0;
                while let Some(event) = events.recv().await {
                    let is_chunk = matches!(event, CallEvent::Chunk(_));
                    let load = (!is_chunk).then(|| node.dispatchers.load(node.now(), &model));
                    session.send_part(id, sequence, event, load).await;
                    sequence += 1;
                }
            };
            tokio::join!(run, relay);
            session.calls.lock().unwrap().remove(&id);
        });
        calls.insert(id, task.abort_handle());
    }

    async fn send_part(&self, id: u64, sequence: u64, event: CallEvent, load: Option<NodeLoad>) {
        let part = LinkFrame::CallPart { id, sequence, event, load };
        // Sending fails only if the link is closed. That ends the session, which aborts this call.
        let _ = self.outbox.send(part).await;
    }

    fn cancel(&self, id: u64) {
        if let Some(call) = self.calls.lock().unwrap().remove(&id) {
            call.abort();
        }
    }

    fn cancel_all(&self) {
        for (_, call) in self.calls.lock().unwrap().drain() {
            call.abort();
        }
    }
}
