//! Readiness endpoint, by which the platform decides whether to route clients to this node.

use super::front::own_reply;
use super::node::EntryNode;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::Arc;
use tokio::net::TcpListener;
use trestlerack_platform as platform;

/// Serves the platform's readiness checks until the process ends.
pub async fn serve(node: Arc<EntryNode>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let node = node.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let is_known = request.uri().path() == platform::READY_PATH;
                let status = match (is_known, node.is_ready()) {
                    (false, _) => StatusCode::NOT_FOUND,
                    (true, true) => StatusCode::OK,
                    (true, false) => StatusCode::SERVICE_UNAVAILABLE,
                };
                async move { Ok::<_, Infallible>(own_reply(status, None)) }
            });
            // If the connection breaks, the platform checks again after a second.
            let _ = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
