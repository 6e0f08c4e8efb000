//! Scoring services over HTTP.

use crate::connection::http_client::HttpClient;
use async_trait::async_trait;
use std::time::Duration;
use trestlerack::Failure;
use trestlerack::interfaces::ScoringClient;
use trestlerack::verdict::Reason;

/// Time for a score.
const SCORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Scoring services over HTTP.
pub struct HttpScoringClient {
    http: HttpClient,
}

impl HttpScoringClient {
    /// Builds a client.
    pub fn new(http: HttpClient) -> Self {
        Self { http }
    }
}

#[async_trait]
impl ScoringClient for HttpScoringClient {
    async fn score(&self, address: &str, prompt: &str, text: &str) -> Result<f64, Failure> {
        let body = serde_json::json!({ "prompt": prompt, "text": text });
        let answer = self.http.post_json(address, "/score", &body, SCORE_TIMEOUT).await?;
        let value: Option<serde_json::Value> = serde_json::from_slice(&answer.body).ok();
        let score = value.and_then(|value| value.get("score")?.as_f64());
        score.filter(|_| answer.status.is_success()).ok_or_else(|| {
            Failure::may_have_run(Reason::BackendFailed, format!("no score; the service answered {}", answer.status))
        })
    }
}
