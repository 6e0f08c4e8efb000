//! Calls of a node.

use crate::{CommandError, Exit};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use std::time::Duration;

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A node and the key to present to it.
pub struct NodeApi {
    /// Address, as `ip:port`.
    pub address: String,
    /// Operators' key.
    pub key: String,
}

impl NodeApi {
    /// Sends a request and returns the JSON of a successful answer.
    pub fn send(&self, method: Method, path: &str, body: &Value) -> Result<Value, CommandError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|error| CommandError::new(Exit::Unreachable, error.to_string()))?;
        let (status, content) = runtime.block_on(self.exchange(method, path, body))?;
        let value: Value = serde_json::from_slice(&content).unwrap_or(Value::Null);
        if status.is_success() {
            return Ok(value);
        }
        let detail = value.get("detail").and_then(Value::as_str).unwrap_or("no detail");
        let verdict = value.get("verdict").and_then(Value::as_str).unwrap_or("unknown");
        let exit = if status == StatusCode::CONFLICT { Exit::OutOfDate } else { Exit::Refused };
        Err(CommandError::new(exit, format!("refused with {status} ({verdict}): {detail}")))
    }

    async fn exchange(&self, method: Method, path: &str, body: &Value) -> Result<(StatusCode, Bytes), CommandError> {
        let unreachable = |cause: String| {
            CommandError::new(Exit::Unreachable, format!("cannot reach the node at {}: {cause}", self.address))
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|error| CommandError::new(Exit::Usage, error.to_string()))?;
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let exchange = async {
            let response = client.request(request).await.map_err(|error| unreachable(error.to_string()))?;
            let status = response.status();
            let body = response.into_body().collect().await.map_err(|error| unreachable(error.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(TIMEOUT, exchange).await.unwrap_or_else(|_| Err(unreachable("no answer in time".into())))
    }
}
