//! Which requests ask for the same.

mod support;

use std::sync::Arc;

use bytes::Bytes;
use hyper::Method;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use policy::crash::Content;
use relay::content;
use relay::identity::Identity;
use relay::job::Job;
use relay::workspace::Workspace;

fn job(kind: &str, id: &str) -> Job {
    support::job(&support::node(""), &support::table(kind, ""), id)
}

/// Guards against a content that looks new with each attempt and so is never recognised.
#[tokio::test]
async fn another_attempt_has_the_same_digest() {
    let first = job("idempotent", "q-1");
    let mut second = job("idempotent", "q-2");
    second.call.program = Some("p2".to_owned());
    second.call.previous = Some("t1".to_owned());
    assert_eq!(content::digest(&first), content::digest(&second));
}

/// Guards against a request that is taken for another one.
#[tokio::test]
async fn each_field_is_part_of_the_digest() {
    let workspace = Arc::new(Workspace {
        name: "w".to_owned(),
        id: 1,
        priority: None,
        limit: None,
    });
    let mut jobs: Vec<Job> = (0..7).map(|_| job("stream", "q-1")).collect();
    jobs[1].method = Method::PUT;
    jobs[2].path = "/r/y".to_owned();
    jobs[3].body = Bytes::from_static(b"body");
    jobs[4].call.previous = Some("t1".to_owned());
    let host = HeaderValue::from_static("other.example");
    jobs[5].headers.insert(HOST, host);
    jobs[6].identity = Identity::Workspace(workspace);
    let mut digests: Vec<Content> = jobs.iter().map(content::digest).collect();
    digests.sort_unstable();
    digests.dedup();
    assert_eq!(digests.len(), jobs.len());
}

/// Guards against a body that looks new as it continues another turn.
#[tokio::test]
async fn another_turn_has_the_same_body() {
    let mut jobs: Vec<Job> = (0..3).map(|_| job("stream", "q-1")).collect();
    jobs[1].call.previous = Some("t1".to_owned());
    jobs[2].body = Bytes::from_static(b"body");
    let [first, second, third] = [0, 1, 2].map(|index| content::digests(&jobs[index]).wider);
    assert_eq!(first, second);
    assert_ne!(first.body, third.body);
    assert_eq!(first.resource, third.resource);
    let exact = content::digest(&jobs[0]);
    assert!(exact != first.body && exact != first.resource && first.body != first.resource);
}

/// Guards against a resource that is taken for another one.
#[tokio::test]
async fn another_path_is_another_resource() {
    let first = content::digests(&job("stream", "q-1")).wider;
    let mut other = job("stream", "q-1");
    other.path = "/r/y".to_owned();
    let other = content::digests(&other).wider;
    assert_ne!(first.body, other.body);
    assert_ne!(first.resource, other.resource);
}
