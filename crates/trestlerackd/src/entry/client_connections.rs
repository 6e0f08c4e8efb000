//! Accepts the connections of clients and serves each until it ends.

use super::front;
use super::node::EntryNode;
use super::resource_limits::{Admission, ClientLink, LinkSeat, LinkedBody, WatchedStream};
use crate::process::clock;
use http::{HeaderValue, Response, header};
use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use trestlerack_platform as platform;

/// Time that an idle connection of a client stays open before a configuration says otherwise.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Longest head of a request, in bytes; configurations seen allow 16 KiB.
const MAX_HEADER: usize = 32 * 1024;

/// Time after which a client is told to return for whose connection there is no descriptor: by then
/// some of the others are idle.
const FULL_RETURN: Duration = Duration::from_millis(500);

/// Time for the request of a connection that is refused.
const FULL_HEADER_TIME: Duration = Duration::from_secs(1);

/// Pause after a connection could not be accepted, as when the process has no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What is done with the requests of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LinkService {
    /// They are served.
    Serve,
    /// The first is refused, which ends the connection.
    Refuse,
}

/// Accepts clients until the planned stop closes the node.
pub async fn serve(node: Arc<EntryNode>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            clock::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        match node.held.admit(node.now()) {
            Admission::Serve(seat) => tokio::spawn(serve_client(node.clone(), seat, stream, LinkService::Serve)),
            Admission::Refuse(seat) => tokio::spawn(serve_client(node.clone(), seat, stream, LinkService::Refuse)),
            Admission::Close => continue,
        };
        // Connections that were closed for others free their descriptors in between.
        tokio::task::yield_now().await;
    }
}

async fn serve_client(node: Arc<EntryNode>, seat: LinkSeat, stream: TcpStream, service: LinkService) {
    super::pool::set_socket_options(&stream);
    node.client_connections.fetch_add(1, Ordering::Relaxed);
    let idle = match service {
        LinkService::Serve => {
            node.routing().map_or(DEFAULT_IDLE, |table| Duration::from_millis(table.limits.idle_timeout_ms))
        }
        LinkService::Refuse => FULL_HEADER_TIME,
    };
    let mut closing = node.closing.subscribe();
    let (handler_node, handler_link) = (node.clone(), seat.link.clone());
    let handler = service_fn(move |request: Request<Incoming>| {
        let (node, link) = (handler_node.clone(), handler_link.clone());
        // Boxed, because the connection keeps room for it also while it is idle.
        Box::pin(async move { Ok::<_, Infallible>(answer(&node, &link, request, service).await) })
    });
    let watched = WatchedStream::new(node.clone(), seat.link.clone(), stream);
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(MAX_HEADER)
        .serve_connection(TokioIo::new(watched), handler);
    tokio::pin!(connection);
    let end = tokio::select! {
        // A client that breaks its connection has nobody left to tell.
        _ = connection.as_mut() => LinkEnd::Ended,
        () = wait_true(&mut closing) => LinkEnd::Leave,
        () = seat.link.leave.notified() => LinkEnd::Leave,
        () = seat.link.cut.notified() => LinkEnd::Ended,
    };
    if matches!(end, LinkEnd::Leave) {
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            _ = connection.as_mut() => {}
            () = seat.link.cut.notified() => {}
        }
    }
    node.client_connections.fetch_sub(1, Ordering::Relaxed);
}

/// Why a connection is no longer served.
enum LinkEnd {
    /// It has ended, or is to end at once.
    Ended,
    /// It ends after what is served on it.
    Leave,
}

async fn wait_true(flag: &mut watch::Receiver<bool>) {
    // The sender lives as long as the node, so this ends only when the value turns true.
    let _ = flag.wait_for(|value| *value).await;
}

async fn answer(
    node: &Arc<EntryNode>,
    link: &Arc<ClientLink>,
    request: Request<Incoming>,
    service: LinkService,
) -> Response<front::ReplyBody> {
    link.set_busy();
    let reply = match service {
        LinkService::Serve => front::answer(node, request).await,
        LinkService::Refuse => refuse(&request),
    };
    LinkedBody::wrap(node, link, reply)
}

fn refuse(request: &Request<Incoming>) -> Response<front::ReplyBody> {
    let head = platform::decode_request_head(request.headers());
    let mut reply = platform::not_run_reply(head.request_id.as_ref(), FULL_RETURN).map(front::full_reply);
    reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    reply
}
