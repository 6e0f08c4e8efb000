//! Accepts the connections of clients and serves each until it ends.

use super::client_requests;
use super::node::EntryNode;
use super::resource_limits::{ClientConnection, ConnectionAdmission, ConnectionGuard, TrackedBody, WatchedStream};
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

/// Time for which an idle connection of a client stays open while no configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum size of the request line and headers, in bytes. Known configurations allow 16 KiB.
const MAX_HEADER_BYTES: usize = 32 * 1024;

/// Delay after which a client is told to retry if the limit on connections is reached. By then some of the
/// other connections are idle.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time limit for the first request on a connection that is refused.
const REFUSED_HEADER_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before the next attempt after `accept` failed, for example because the process has no file
/// descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// How the requests of a connection are handled.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RequestHandling {
    /// Requests are served.
    Serve,
    /// The first request is refused, which closes the connection.
    Refuse,
}

/// Accepts connections of clients for as long as the process runs; the planned stop closes them.
pub async fn serve(node: Arc<EntryNode>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            clock::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        match node.resource_limits.admit(node.now()) {
            ConnectionAdmission::Serve(guard) => {
                tokio::spawn(serve_client(node.clone(), guard, stream, RequestHandling::Serve))
            }
            ConnectionAdmission::Refuse(guard) => {
                tokio::spawn(serve_client(node.clone(), guard, stream, RequestHandling::Refuse))
            }
            ConnectionAdmission::Close => continue,
        };
        // Lets the tasks of connections that were closed in favour of others release their permits.
        tokio::task::yield_now().await;
    }
}

async fn serve_client(node: Arc<EntryNode>, guard: ConnectionGuard, stream: TcpStream, handling: RequestHandling) {
    super::pool::set_socket_options(&stream);
    node.client_connections.fetch_add(1, Ordering::Relaxed);
    let header_timeout = match handling {
        RequestHandling::Serve => {
            node.routing().map_or(DEFAULT_IDLE_TIMEOUT, |table| Duration::from_millis(table.limits.idle_timeout_ms))
        }
        RequestHandling::Refuse => REFUSED_HEADER_TIMEOUT,
    };
    let mut closing = node.closing.subscribe();
    let (handler_node, handler_connection) = (node.clone(), guard.connection.clone());
    let handler = service_fn(move |request: Request<Incoming>| {
        let (node, connection) = (handler_node.clone(), handler_connection.clone());
        // Boxed, because the connection would otherwise reserve memory for the future while it is idle.
        Box::pin(async move { Ok::<_, Infallible>(handle_request(&node, &connection, request, handling).await) })
    });
    let stream = WatchedStream::new(node.clone(), guard.connection.clone(), stream);
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), handler);
    tokio::pin!(connection);
    let end = tokio::select! {
        // The error of a broken connection is ignored, since no client is left to answer.
        _ = connection.as_mut() => ConnectionEnd::Immediate,
        () = wait_until_true(&mut closing) => ConnectionEnd::AfterRequest,
        () = guard.connection.close_when_done.notified() => ConnectionEnd::AfterRequest,
        () = guard.connection.close_now.notified() => ConnectionEnd::Immediate,
    };
    if matches!(end, ConnectionEnd::AfterRequest) {
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            _ = connection.as_mut() => {}
            () = guard.connection.close_now.notified() => {}
        }
    }
    node.client_connections.fetch_sub(1, Ordering::Relaxed);
}

/// How a connection is closed.
enum ConnectionEnd {
    /// It has closed already, or is closed at once.
    Immediate,
    /// It is closed after the request that is being served.
    AfterRequest,
}

async fn wait_until_true(flag: &mut watch::Receiver<bool>) {
    // The sender lives as long as the node, so the wait ends only when the value becomes true.
    let _ = flag.wait_for(|value| *value).await;
}

async fn handle_request(
    node: &Arc<EntryNode>,
    connection: &Arc<ClientConnection>,
    request: Request<Incoming>,
    handling: RequestHandling,
) -> Response<client_requests::ReplyBody> {
    connection.set_busy();
    let reply = match handling {
        RequestHandling::Serve => client_requests::handle(node, request).await,
        RequestHandling::Refuse => refuse(&request),
    };
    TrackedBody::wrap(node, connection, reply)
}

fn refuse(request: &Request<Incoming>) -> Response<client_requests::ReplyBody> {
    let head = platform::decode_request_head(request.headers());
    let mut reply = platform::not_run_reply(head.request_id.as_ref(), FULL_RETRY_DELAY).map(client_requests::full_body);
    reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    reply
}
