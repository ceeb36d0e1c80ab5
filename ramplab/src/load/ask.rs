//! What callers ask for, and the answer that would be right.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;

use crate::expected_response;
use crate::history::RequestKind;

/// One request, the same for each attempt.
#[derive(Clone, Debug)]
pub struct Ask {
    /// What kind of request.
    pub kind: RequestKind,
    /// Its identity, which is its idempotency key too.
    pub id: String,
    /// Service that it goes to, by position.
    pub service: usize,
    /// Path and query, without the attempt.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// The whole answer, but for feeds.
    pub answer: Bytes,
}

impl Ask {
    /// Claim of `id`.
    pub fn claim(id: String, service: usize) -> Ask {
        Ask {
            kind: RequestKind::Claim,
            service,
            path: format!("/claim?id={id}"),
            body: serde_json::json!({ "claim": id }).to_string().into(),
            answer: expected_response::claim_receipt(&id).into(),
            id,
        }
    }

    /// Upload of `len` bytes.
    pub fn upload(id: String, service: usize, len: usize) -> Ask {
        let body = expected_response::response_bytes(&id, len);
        let hash = expected_response::hash(&body);
        Ask {
            kind: RequestKind::Upload,
            service,
            path: format!("/upload?id={id}"),
            answer: expected_response::upload_receipt(&id, len as u64, hash).into(),
            body,
            id,
        }
    }

    /// Balance of `len` bytes.
    pub fn balance(id: String, service: usize, len: usize) -> Ask {
        Ask {
            kind: RequestKind::Balance,
            service,
            path: format!("/balance?id={id}&bytes={len}"),
            body: Bytes::new(),
            answer: expected_response::response_bytes(&id, len),
            id,
        }
    }

    /// Feed with an event each `period`.
    pub fn feed(id: String, service: usize, period: Duration) -> Ask {
        Ask {
            kind: RequestKind::Feed,
            service,
            path: format!("/feed?id={id}&every_ms={}", period.as_millis()),
            body: Bytes::new(),
            answer: Bytes::new(),
            id,
        }
    }

    /// Its method.
    pub fn method(&self) -> Method {
        if self.kind.is_idempotent() {
            Method::GET
        } else {
            Method::POST
        }
    }
}
