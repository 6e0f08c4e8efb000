//! HTTP client for backend servers and the platform. Every failure says whether the request may have run.

use crate::process::clock;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::time::Duration;
use tokio::net::TcpStream;
use trestlerack::verdict::Reason;
use trestlerack::{Failure, Name};

/// Idle connections kept for each backend server.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest response body that is read into memory, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A response whose whole body was read.
pub struct HttpResponse {
    /// Status.
    pub status: StatusCode,
    /// Content type; empty if the response has none.
    pub content_type: Name,
    /// Body.
    pub body: Bytes,
}

/// A client with pooled connections.
#[derive(Clone)]
pub struct HttpClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Builds a client.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let pooled =
            Client::builder(TokioExecutor::new()).pool_max_idle_per_host(MAX_IDLE_CONNECTIONS).build(connector);
        Self { pooled }
    }

    /// Sends a request that may be repeated and returns the response, its body unread.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Failure> {
        self.pooled.request(request).await.map_err(|error| {
            if error.is_connect() {
                Failure::not_run(Reason::BackendFailed, "cannot connect to the backend server")
            } else {
                connection_failure(&error)
            }
        })
    }

    /// Sends a request that must not be repeated, once, on a connection of its own.
    ///
    /// A pooled connection may turn out to be closed after the first bytes were written, and then it is
    /// unknown whether the request ran. On a new connection, a failure to connect means that it did not.
    pub async fn send_once(&self, address: &str, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Failure> {
        let not_run = |detail: &str| Failure::not_run(Reason::BackendFailed, detail);
        let connecting = clock::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Err(not_run("cannot connect to the backend server")),
            Err(_) => return Err(not_run("connecting to the backend server took too long")),
        };
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|_| not_run("cannot open the connection"))?;
        tokio::spawn(connection);
        sender.send_request(request).await.map_err(|error| connection_failure(&error))
    }

    /// Sends bytes and returns the response with its body.
    pub async fn send_bytes(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<HttpResponse, Failure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| Failure::not_run(Reason::BadRequest, "the address or path cannot be used"))?;
        let exchange = async { read_response(self.send(request).await?).await };
        match clock::timeout(timeout, exchange).await {
            Ok(response) => response,
            Err(_) => Err(Failure::may_have_run(Reason::BackendFailed, "no response within the time limit")),
        }
    }

    /// Sends JSON and returns the response with its body.
    pub async fn post_json(
        &self,
        address: &str,
        path: &str,
        body: &serde_json::Value,
        timeout: Duration,
    ) -> Result<HttpResponse, Failure> {
        self.send_bytes(Method::POST, address, path, body.to_string().into_bytes(), timeout).await
    }
}

/// Reads the whole body of a response. A body that is cut off is an error, and no part of it is returned.
pub async fn read_response(response: Response<Incoming>) -> Result<HttpResponse, Failure> {
    let status = response.status();
    let content_type = response.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or("").into();
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await;
    match body {
        Ok(body) => Ok(HttpResponse { status, content_type, body: body.to_bytes() }),
        Err(error) => {
            let detail = format!("cannot read the whole response: {error}");
            Err(Failure::may_have_run(Reason::BackendFailed, detail))
        }
    }
}

fn connection_failure(error: &dyn std::error::Error) -> Failure {
    let cause = error.source().map_or_else(|| error.to_string(), ToString::to_string);
    Failure::may_have_run(Reason::BackendFailed, format!("the connection to the backend server failed: {cause}"))
}
