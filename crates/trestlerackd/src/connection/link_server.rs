//! The side of a link that answers a peer.

use super::links::{socket_config, write_frames};
use crate::node::Node;
use crate::process::clock;
use crate::process::{logs, member_loop, rollout_loop};
use crate::request::{call_router, content_gate, group_runner};
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

/// Frames that wait to be sent to the peer. A peer that reads too slowly holds up its own calls
/// and nobody else's.
const OUTBOX_FRAMES: usize = 1_024;

/// Time for a peer to finish its handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Serves peers for as long as the process lives.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_peer(node.clone(), stream));
        }
    }
}

async fn serve_peer(node: Arc<Node>, stream: TcpStream) {
    let remote = stream.peer_addr().map_or_else(|_| "unknown".to_owned(), |address| address.to_string());
    // Without it small frames wait for acknowledgements; a socket that refuses it still works.
    let _ = stream.set_nodelay(true);
    let keys = node.clone();
    #[allow(clippy::result_large_err, reason = "the library fixes the error type of this callback")]
    let check = move |request: &Request, response: Response| -> Result<Response, ErrorResponse> {
        let header = request.headers().get("authorization").and_then(|value| value.to_str().ok());
        let presented = header.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or("");
        if keys.keys.is_peer(presented) {
            return Ok(response);
        }
        let mut refusal = ErrorResponse::new(None);
        *refusal.status_mut() = hyper::StatusCode::UNAUTHORIZED;
        Err(refusal)
    };
    let handshake = tokio_tungstenite::accept_hdr_async_with_config(stream, check, Some(socket_config()));
    let socket = match clock::timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(socket)) => socket,
        Ok(Err(error)) => return refuse(&remote, &error.to_string()),
        Err(_) => return refuse(&remote, "the handshake took too long"),
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
                refuse(&remote, &error.to_string());
                break;
            }
        };
        match ciborium::from_reader::<LinkFrame, _>(content.as_ref()) {
            Ok(frame) => session.clone().handle(&node, frame).await,
            Err(error) => {
                refuse(&remote, &format!("not a frame: {error}"));
                break;
            }
        }
    }
    session.cancel_all();
}

fn refuse(remote: &str, cause: &str) {
    logs::write(event::LINK_REFUSED, &[("remote", &remote), ("cause", &cause)]);
}

/// One peer's connection and the calls that it runs here.
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
                content_gate::hear_strikes(node, &crash_reports);
                member_loop::merge_probe(node, heartbeat, generation, drain_updates);
                self.answer_probe(node, id).await;
            }
            LinkFrame::ConfigFetch { after } => self.send_config(node, after).await,
            LinkFrame::ConfigDeltas(deltas) => config_loop::take_deltas(node, deltas, None),
            LinkFrame::ConfigSnapshot(snapshot) => config_loop::take_snapshot(node, snapshot),
            LinkFrame::Target(target) => rollout_loop::accept_target(node, target),
            LinkFrame::CheckCampaign { .. } => node.steps.nudge(),
            LinkFrame::WeightsPublished { .. } => node.leases.nudge(),
            LinkFrame::GroupRequest(wanted) => group_runner::begin(node, wanted),
            LinkFrame::Call { id, spec } => self.start_call(node, id, *spec),
            LinkFrame::Cancel { id } => self.cancel(id),
            LinkFrame::SpoolCopy { key, content } => {
                let holder = self.peer.lock().unwrap().clone();
                node.spool.keep_copy(&holder, &key, &content);
            }
            LinkFrame::ProbeAnswer { .. } | LinkFrame::CallPart { .. } => {}
        }
    }

    async fn answer_probe(&self, node: &Arc<Node>, id: u64) {
        let heartbeat = node.membership.lock().unwrap().heartbeat();
        let generation = node.config.current().generation;
        let drain_updates = node.desks.take_news();
        let crash_reports = content_gate::probe_strikes(node);
        let answer = LinkFrame::ProbeAnswer { id, heartbeat, generation, drain_updates, crash_reports };
        // A closed link ends the session; there is nobody left to answer.
        let _ = self.outbox.send(answer).await;
    }

    async fn send_config(&self, node: &Arc<Node>, after: u64) {
        let frame = match node.config.deltas_after(after) {
            Some(deltas) => LinkFrame::ConfigDeltas(deltas),
            None => LinkFrame::ConfigSnapshot(node.config.current().as_ref().clone()),
        };
        // As above.
        let _ = self.outbox.send(frame).await;
    }

    fn start_call(self: Arc<Self>, node: &Arc<Node>, id: u64, spec: CallSpec) {
        let (sender, mut events) = mpsc::channel(1);
        let model = spec.model.clone();
        let run = call_router::run_here(node.clone(), spec, sender);
        let session = self.clone();
        let node = node.clone();
        // The task cannot take itself off the list before it is on it.
        let mut calls = self.calls.lock().unwrap();
        let task = tokio::spawn(async move {
            let relay = async {
                let mut sequence = 0;
                while let Some(event) = events.recv().await {
                    let is_chunk = matches!(event, CallEvent::Chunk(_));
                    let load = (!is_chunk).then(|| node.desks.load(node.now(), &model));
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
        // A closed link ends the session, which aborts this call.
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
