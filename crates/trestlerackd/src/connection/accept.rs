//! Accepts connections of callers, limits their number, and closes them in a planned stop.

use crate::node::Node;
use crate::request::routes;
use gotham::service::call_handler;
use gotham::state::{State, StateData};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

/// Longest request header, in bytes.
const MAX_HEADER_BYTES: usize = 64 * 1024;

/// Makes the node available to gotham's handlers.
#[derive(Clone)]
pub struct NodeHandle(pub Arc<Node>);

impl StateData for NodeHandle {}

/// Accepts connections until a planned stop closes the node.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let connection_permits = Arc::new(Semaphore::new(node.settings.max_connections));
    let router = routes::router();
    let mut closed = node.stop.closed();
    loop {
        let Ok(permit) = connection_permits.clone().acquire_owned().await else { return };
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, address)) = accepted {
                    tokio::spawn(serve_caller(node.clone(), router.clone(), stream, address, permit));
                }
            }
            () = wait_closed(&mut closed) => return,
        }
    }
}

async fn wait_closed(closed: &mut watch::Receiver<bool>) {
    // The sender lives as long as the node, so this ends only when the value turns true.
    let _ = closed.wait_for(|closed| *closed).await;
}

async fn serve_caller(
    node: Arc<Node>,
    router: gotham::router::Router,
    stream: TcpStream,
    address: SocketAddr,
    permit: OwnedSemaphorePermit,
) {
    // Streamed responses are small frames, which Nagle's algorithm would delay. If the option cannot be
    // set, the socket still works.
    let _ = stream.set_nodelay(true);
    let mut closed = node.stop.closed();
    let header_timeout = Duration::from_millis(node.settings.header_timeout_ms);
    let service = service_fn(move |request| {
        let mut state = State::from_request(request, address);
        state.put(NodeHandle(node.clone()));
        let router = router.clone();
        async move {
            let response = call_handler(router, AssertUnwindSafe(state)).await;
            Ok::<_, Infallible>(response.unwrap_or_else(|_| routes::internal_error()))
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // A broken connection leaves nobody to whom the error could be reported.
        _ = connection.as_mut() => {}
        () = wait_closed(&mut closed) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.as_mut().await;
        }
    }
    drop(permit);
}
