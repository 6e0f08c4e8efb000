//! The platform's table service, object store and membership list, accessed over HTTP.

use crate::connection::http_client::{HttpClient, HttpResponse};
use async_trait::async_trait;
use hyper::{Method, StatusCode};
use serde_json::Value;
use std::time::Duration;
use trestlerack::interfaces::{
    CommitOutcome, MembershipList, MembershipSource, ObjectStore, StoreError, TableRow, TableStore, TableTransaction,
};
use trestlerack::{Failure, Name, Verdict};

/// Time after which a call to the platform counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The table service over HTTP.
pub struct HttpTableStore {
    http: HttpClient,
    address: Name,
}

impl HttpTableStore {
    /// Builds a client of the table service at `address`.
    pub fn new(http: HttpClient, address: Name) -> Self {
        Self { http, address }
    }
}

#[async_trait]
impl TableStore for HttpTableStore {
    async fn read(&self, key: &str) -> Result<Option<TableRow>, StoreError> {
        let body = serde_json::json!({ "key": key });
        let response = self.http.post_json(&self.address, "/table/read", &body, CALL_TIMEOUT).await;
        decode(response)
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<TableRow>, StoreError> {
        let body = serde_json::json!({ "prefix": prefix, "after": after, "limit": limit });
        let response = self.http.post_json(&self.address, "/table/scan", &body, CALL_TIMEOUT).await;
        decode(response)
    }

    async fn commit(&self, transaction: TableTransaction) -> Result<CommitOutcome, StoreError> {
        let body = serde_json::to_value(&transaction).map_err(|_| StoreError::Unavailable)?;
        let response = self.http.post_json(&self.address, "/table/commit", &body, CALL_TIMEOUT).await;
        decode(response)
    }
}

/// The object store over HTTP.
pub struct HttpObjectStore {
    http: HttpClient,
    address: Name,
}

impl HttpObjectStore {
    /// Builds a client of the object store at `address`.
    pub fn new(http: HttpClient, address: Name) -> Self {
        Self { http, address }
    }
}

#[async_trait]
impl ObjectStore for HttpObjectStore {
    async fn put(&self, key: &str, content: Vec<u8>) -> Result<(), StoreError> {
        let path = format!("/objects/{key}");
        let response = self.http.send_bytes(Method::PUT, &self.address, &path, content, CALL_TIMEOUT).await;
        check_response(response).map(|_| ())
    }

    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let path = format!("/objects/{key}");
        let response = self.http.send_bytes(Method::GET, &self.address, &path, Vec::new(), CALL_TIMEOUT).await;
        match &response {
            Ok(response) if response.status == StatusCode::NOT_FOUND => Ok(None),
            _ => check_response(response).map(|response| Some(response.body.to_vec())),
        }
    }
}

/// The membership list over HTTP.
pub struct HttpMembershipSource {
    http: HttpClient,
    address: Name,
}

impl HttpMembershipSource {
    /// Builds a client of the membership list at `address`.
    pub fn new(http: HttpClient, address: Name) -> Self {
        Self { http, address }
    }
}

#[async_trait]
impl MembershipSource for HttpMembershipSource {
    async fn list(&self) -> Result<MembershipList, StoreError> {
        let response = self.http.send_bytes(Method::GET, &self.address, "/members", Vec::new(), CALL_TIMEOUT).await;
        decode(response)
    }
}

/// Returns the response if its status is a success. The call was not applied if it was not sent or
/// the status is 503; after any other failure it may have been.
fn check_response(response: Result<HttpResponse, Failure>) -> Result<HttpResponse, StoreError> {
    match response {
        Ok(response) if response.status.is_success() => Ok(response),
        Ok(response) if response.status == StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unavailable),
        Ok(_) => Err(StoreError::Unknown),
        Err(failure) if failure.verdict == Verdict::NotRun => Err(StoreError::Unavailable),
        Err(_) => Err(StoreError::Unknown),
    }
}

fn decode<T: serde::de::DeserializeOwned>(response: Result<HttpResponse, Failure>) -> Result<T, StoreError> {
    let response = check_response(response)?;
    let value: Value = serde_json::from_slice(&response.body).map_err(|_| StoreError::Unknown)?;
    serde_json::from_value(value).map_err(|_| StoreError::Unknown)
}
