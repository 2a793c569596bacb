//! The client of plain services: makes one call and reports what is known about whether it ran.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use link::head;
use serde_json::Value;
use tokio::time::timeout;
use wire::ask::Call;
use wire::clock::Millis;
use wire::id;

use crate::filters::header;
use crate::http::client::Client;
use crate::http::client::Fault;
use crate::http::client::Post;

/// The longest answer of a service. Leaves room in a journal key for the rest of the record.
const MAX_ANSWER_BYTES: usize = 512 * 1024;

/// One attempt at a call.
#[derive(Clone, Copy, Debug)]
pub struct Job<'a> {
    /// IP address and port of the service.
    pub address: &'a str,
    /// The service, the operation, the idempotency key and the body.
    pub call: &'a Call,
    /// The attempt.
    pub attempt: id::Attempt,
    /// How long the answer may take.
    pub timeout: Millis,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The service answered.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Bytes,
    },
    /// The call didn't run: no connection was made, or the service says so.
    NotRun {
        /// Why.
        detail: String,
    },
    /// The connection broke off, as it does when an endpoint crashes. The call may have run.
    Broken {
        /// Why.
        detail: String,
    },
    /// The call may have run or may still be running.
    Unknown {
        /// Why.
        detail: String,
    },
}

/// Runs one attempt.
pub async fn run(client: &Client, job: Job<'_>) -> End {
    let mut headers = vec![(header::ATTEMPT, job.attempt.to_string())];
    if let Some(key) = &job.call.key {
        headers.push((header::KEY, key.to_string()));
    }
    let path = format!("/{}/{}", job.call.service, job.call.operation);
    let post = Post {
        address: job.address,
        path: &path,
        content_type: "application/json",
        headers: &headers,
        body: job.call.body.clone(),
    };
    let answered = timeout(job.timeout.as_duration(), send(client, post)).await;
    answered.unwrap_or_else(|_| End::Unknown {
        detail: format!("no answer within {}", job.timeout),
    })
}

async fn send(client: &Client, post: Post<'_>) -> End {
    let response = match client.post(post).await {
        Ok(response) => response,
        Err(Fault::NotSent(detail)) => return End::NotRun { detail },
        Err(Fault::Broken(detail)) => return End::Broken { detail },
        Err(Fault::Garbled(detail)) => return End::Unknown { detail },
    };
    let status = response.status();
    // What is journaled as the answer of a call stays its answer.
    if status.is_success() && !head::states_end(&response) {
        return End::Unknown {
            detail: "the answer doesn't state where its body ends".to_owned(),
        };
    }
    let body = match Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
    {
        Ok(body) => body.to_bytes(),
        Err(fault) => {
            return End::Unknown {
                detail: fault.to_string(),
            };
        }
    };
    if !status.is_success() && says_not_run(&body) {
        let detail = String::from_utf8_lossy(&body).into_owned();
        return End::NotRun { detail };
    }
    End::Answered {
        status: status.as_u16(),
        body,
    }
}

/// Returns whether a service's refusal says that the call didn't run: `{"ran": "no"}`, at the top
/// level or under `error`.
fn says_not_run(body: &[u8]) -> bool {
    let Ok(value) = serde_json::from_slice::<Value>(body) else {
        return false;
    };
    let ran = value.get("ran").or_else(|| value.pointer("/error/ran"));
    ran.and_then(Value::as_str) == Some("no")
}
