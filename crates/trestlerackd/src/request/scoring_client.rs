//! Client of scoring services.

use crate::connection::http_client::HttpClient;
use async_trait::async_trait;
use std::time::Duration;
use trestlerack::Failure;
use trestlerack::interfaces::ScoringClient;
use trestlerack::verdict::Reason;

/// Timeout of a scoring request.
const SCORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of scoring services over HTTP.
pub struct HttpScoringClient {
    http: HttpClient,
}

impl HttpScoringClient {
    /// Builds a client that sends over `http`.
    pub fn new(http: HttpClient) -> Self {
        Self { http }
    }
}

#[async_trait]
impl ScoringClient for HttpScoringClient {
    async fn score(&self, address: &str, prompt: &str, text: &str) -> Result<f64, Failure> {
        let body = serde_json::json!({ "prompt": prompt, "text": text });
        let response = self.http.post_json(address, "/score", &body, SCORE_TIMEOUT).await?;
        let value: Option<serde_json::Value> = serde_json::from_slice(&response.body).ok();
        let score = value.and_then(|value| value.get("score")?.as_f64());
        score.filter(|_| response.status.is_success()).ok_or_else(|| {
            Failure::may_have_run(
                Reason::BackendFailed,
                format!("the response has no score; status {}", response.status),
            )
        })
    }
}
