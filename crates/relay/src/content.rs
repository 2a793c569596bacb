//! Identifies what a request asks for: the same for each attempt, through any VM. The numbers of fields
//! tell digests of several widths apart.
//!
//! A digest of a cryptographic hash: a caller that knew another one's request could otherwise make
//! up a request of its own with the same digest.

use adapter::config::Kind;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use policy::crash::Content;
use policy::crash::Scope;
use sha2::Digest as _;
use sha2::Sha256;

use crate::job::Job;

/// What tells the digest of a body from that of a request that continues no turn.
const BODY: &[u8] = b"body";
/// What tells the digest of a resource from that of a request.
const RESOURCE: &[u8] = b"resource";

/// Computes the digest of a request's workspace, method, host, path and body, and of the turn that
/// it continues. Ids of the attempt and of its program aren't part of it.
#[must_use]
pub fn digest(job: &Job) -> Content {
    let previous = match job.route.kind {
        Kind::Stream => job.call.previous.as_deref(),
        Kind::Idempotent | Kind::AtMostOnce => None,
    };
    hash(job, &[previous.unwrap_or_default().as_bytes(), &job.body])
}

/// The digests of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digests {
    /// That of all that it asks for; see [`digest`].
    pub content: Content,
    /// Those of what it is a part of: its body, whatever turn it continues, and its workspace, method,
    /// host and path, whatever its body is.
    pub wider: Scope,
}

/// Computes the digests of a request at all widths.
#[must_use]
pub fn digests(job: &Job) -> Digests {
    let content = digest(job);
    let body = match job.route.kind {
        Kind::Stream => hash(job, &[BODY, &job.body, &[]]),
        Kind::Idempotent | Kind::AtMostOnce => content,
    };
    let resource = hash(job, &[RESOURCE]);
    Digests {
        content,
        wider: Scope { body, resource },
    }
}

fn hash(job: &Job, parts: &[&[u8]]) -> Content {
    let host = job.headers.get(HOST).map(HeaderValue::as_bytes);
    let resource = [
        job.workspace_name().as_bytes(),
        job.method.as_str().as_bytes(),
        host.unwrap_or_default(),
        job.path.as_bytes(),
    ];
    let mut hash = Sha256::new();
    for field in resource.iter().chain(parts) {
        hash.update((field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    let mut digest = [0; 16];
    digest.copy_from_slice(&hash.finalize()[..16]);
    Content(u128::from_le_bytes(digest))
}
