//! A small HTTP server that can also drop a connection without an answer.

use anyhow::Context;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, Infallible>;

/// The connection is closed instead of answering, as when a process dies.
#[derive(Debug)]
pub struct Dropped;

impl std::fmt::Display for Dropped {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("dropped on command")
    }
}

impl std::error::Error for Dropped {}

/// An answer, or none.
pub type Answer = Result<Response<AnswerBody>, Dropped>;

/// A request that was read whole.
pub struct ReadRequest {
    /// Method.
    pub method: hyper::Method,
    /// Path.
    pub path: String,
    /// Body.
    pub body: Bytes,
}

impl ReadRequest {
    /// Decodes the body.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// Options that every server takes.
pub struct ServerOptions {
    listen: String,
    address_file: Option<String>,
}

impl ServerOptions {
    /// Reads the options from the command line.
    pub fn parse(arguments: &mut pico_args::Arguments) -> anyhow::Result<Self> {
        let listen = arguments.opt_value_from_str("--listen")?;
        let address_file = arguments.opt_value_from_str("--address-file")?;
        Ok(Self { listen: listen.unwrap_or_else(|| "127.0.0.1:0".into()), address_file })
    }
}

/// Refuses options that nobody asked for.
pub fn finish(arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let rest = arguments.finish();
    anyhow::ensure!(rest.is_empty(), "unknown arguments {rest:?}");
    Ok(())
}

/// Serves requests until the process is stopped.
pub async fn serve<S, F, W>(options: ServerOptions, state: Arc<S>, handle: W) -> anyhow::Result<()>
where
    S: Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
    W: Fn(Arc<S>, ReadRequest) -> F + Copy + Send + Sync + 'static,
{
    let listener =
        TcpListener::bind(&options.listen).await.with_context(|| format!("cannot listen on {}", options.listen))?;
    let address = listener.local_addr()?.to_string();
    match &options.address_file {
        Some(file) => {
            let draft = format!("{file}.draft");
            std::fs::write(&draft, &address)?;
            std::fs::rename(&draft, file)?;
        }
        None => println!("{address}"),
    }
    loop {
        let (stream, _) = listener.accept().await?;
        // Streams are small frames; a socket that refuses this still works.
        let _ = stream.set_nodelay(true);
        let state = state.clone();
        let service = service_fn(move |request| {
            let state = state.clone();
            async move { handle(state, read(request).await?).await }
        });
        tokio::spawn(async move {
            // A caller that breaks its connection has nobody left to tell.
            let _ = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn read(request: Request<Incoming>) -> Result<ReadRequest, Dropped> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Dropped)?.to_bytes();
    Ok(ReadRequest { method: head.method, path: head.uri.path().to_owned(), body })
}

/// Builds an answer from bytes.
pub fn bytes(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut response = Response::new(Full::new(body.into()).boxed_unsync());
    *response.status_mut() = status;
    Ok(response)
}

/// Builds a JSON answer.
pub fn json(body: &impl serde::Serialize) -> Answer {
    let body = serde_json::to_vec(body).expect("answers always encode");
    bytes(StatusCode::OK, body)
}

/// Builds an answer without content.
pub fn status(status: StatusCode) -> Answer {
    bytes(status, Bytes::new())
}
