//! A small HTTP client for trainers, applications and the demo.

use anyhow::Context;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::time::Duration;

/// A whole answer.
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Verdict of a failed request, or empty.
    pub verdict: String,
    /// Milliseconds after which to come back, where the answer names them.
    pub retry_after_ms: Option<u64>,
    /// Body.
    pub body: Bytes,
}

/// A client that presents one key.
#[derive(Clone)]
pub struct ApiClient {
    http: Client<HttpConnector, Full<Bytes>>,
    key: String,
}

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(30);

impl ApiClient {
    /// Builds a client.
    pub fn new(key: impl Into<String>) -> Self {
        Self { http: Client::builder(TokioExecutor::new()).build(HttpConnector::new()), key: key.into() }
    }

    /// Sends a request and reads the whole answer.
    pub async fn send(
        &self,
        method: Method,
        address: &str,
        path: &str,
        idempotency_key: Option<&str>,
        body: String,
    ) -> anyhow::Result<Reply> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json");
        if let Some(key) = idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Full::new(Bytes::from(body)))?;
        let exchange = async {
            let response = self.http.request(request).await?;
            let status = response.status();
            let verdict = response.headers().get("trestlerack-verdict");
            let verdict = verdict.and_then(|value| value.to_str().ok()).unwrap_or("").to_owned();
            let body = response.into_body().collect().await?.to_bytes();
            anyhow::Ok(Reply { status, verdict, retry_after_ms: retry_after(status, &body), body })
        };
        tokio::time::timeout(TIMEOUT, exchange).await.context("no answer in time")?
    }
}

fn retry_after(status: StatusCode, body: &Bytes) -> Option<u64> {
    if status.is_success() {
        return None;
    }
    let problem: serde_json::Value = serde_json::from_slice(body).ok()?;
    problem.get("retry_after_ms")?.as_u64()
}

/// Sends one request and prints the answer, for scripts.
pub async fn run(arguments: pico_args::Arguments) -> anyhow::Result<std::process::ExitCode> {
    let rest: Vec<String> = arguments.finish().into_iter().map(|word| word.to_string_lossy().into_owned()).collect();
    let [method, address, path, tail @ ..] = rest.as_slice() else {
        anyhow::bail!("usage: call METHOD ADDRESS PATH [BODY [KEY]]");
    };
    let body = tail.first().cloned().unwrap_or_default();
    let key = tail.get(1).cloned().unwrap_or_default();
    let reply = ApiClient::new(key).send(method.parse()?, address, path, None, body).await?;
    println!("{}", String::from_utf8_lossy(&reply.body));
    let code = if reply.status.is_success() { 0 } else { 1 };
    Ok(std::process::ExitCode::from(code))
}
