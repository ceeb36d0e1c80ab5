//! Requests that the load generator sends, each with the response it must get.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;

use crate::expected_response;
use crate::history::RequestKind;

/// One request; all attempts send the same.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Type of request; decides method, headers and retries.
    pub kind: RequestKind,
    /// Request ID, also sent as the idempotency key.
    pub id: String,
    /// Index of the target service in the configuration.
    pub service: usize,
    /// Path and query, without the attempt ID.
    pub path: String,
    /// Request body; empty for balances and feeds.
    pub body: Bytes,
    /// Expected response body; empty for feeds, which are checked event by event.
    pub response: Bytes,
}

impl RequestSpec {
    /// Creates a claim, which returns a receipt.
    pub fn claim(id: String, service: usize) -> RequestSpec {
        RequestSpec {
            kind: RequestKind::Claim,
            service,
            path: format!("/claim?id={id}"),
            body: serde_json::json!({ "claim": id }).to_string().into(),
            response: expected_response::claim_receipt(&id).into(),
            id,
        }
    }

    /// Creates an upload of `len` bytes, which returns their length and hash.
    pub fn upload(id: String, service: usize, len: usize) -> RequestSpec {
        let body = expected_response::response_bytes(&id, len);
        let hash = expected_response::hash(&body);
        RequestSpec {
            kind: RequestKind::Upload,
            service,
            path: format!("/upload?id={id}"),
            response: expected_response::upload_receipt(&id, len as u64, hash).into(),
            body,
            id,
        }
    }

    /// Creates a balance request, which returns `len` bytes derived from the ID.
    pub fn balance(id: String, service: usize, len: usize) -> RequestSpec {
        RequestSpec {
            kind: RequestKind::Balance,
            service,
            path: format!("/balance?id={id}&bytes={len}"),
            body: Bytes::new(),
            response: expected_response::response_bytes(&id, len),
            id,
        }
    }

    /// Creates a feed with one event per `period`.
    pub fn feed(id: String, service: usize, period: Duration) -> RequestSpec {
        RequestSpec {
            kind: RequestKind::Feed,
            service,
            path: format!("/feed?id={id}&every_ms={}", period.as_millis()),
            body: Bytes::new(),
            response: Bytes::new(),
            id,
        }
    }

    /// HTTP method: GET for idempotent requests, POST for the rest.
    pub fn method(&self) -> Method {
        if self.kind.is_idempotent() {
            Method::GET
        } else {
            Method::POST
        }
    }
}
