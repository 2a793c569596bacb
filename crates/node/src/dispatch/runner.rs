//! The client of model runners: runs one streamed chat completion and checks its silence timeout,
//! its output limit and its end marker.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use settings::config::Class;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;
use wire::chat;
use wire::clock::Millis;
use wire::id;

use crate::dispatch::collect::Partial;
use crate::filters::header;
use crate::http::client::Client;
use crate::http::client::Fault;
use crate::http::client::Post;
use crate::http::client::is_garbled;
use crate::http::sse::Events;

/// The priority field of urgent calls; runners serve lower values first.
const URGENT_PRIORITY: i64 = -1;
/// The priority field of routine calls.
const ROUTINE_PRIORITY: i64 = 0;
/// How long a runner may take to answer a probe after a connection broke: many times as long as a
/// load report takes, and shorter than any start of a model engine.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest body of a refusal that is read.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// One attempt at a turn.
#[derive(Clone, Copy, Debug)]
pub struct Job<'a> {
    /// IP address and port of the runner.
    pub address: &'a str,
    /// The model and the options that are passed on to the runner.
    pub request: &'a chat::Request,
    /// The whole history and the new messages.
    pub prompt: &'a [chat::Message],
    /// The program, which is a hint to the runner's cache.
    pub program: &'a id::Program,
    /// The attempt.
    pub attempt: id::Attempt,
    /// The priority class.
    pub class: Class,
    /// The most tokens that this attempt may generate.
    pub limit: u64,
    /// How long the runner may send nothing.
    pub silence: Millis,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The end marker arrived.
    Complete {
        /// Why the model stopped.
        finish: String,
        /// Tokens used.
        usage: chat::Usage,
    },
    /// No connection was made, so the call didn't run.
    NotSent(String),
    /// The runner refused the call before it ran.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body of the refusal.
        detail: String,
        /// The time to wait before a retry, if the runner named one.
        retry_after: Option<Millis>,
        /// Whether the refusal is about the request, so that every runner would refuse it.
        permanent: bool,
    },
    /// The connection broke, as it does when a runner crashes.
    Broken(String),
    /// The runner sent nothing for too long, or violated the protocol; the call may still run.
    Stalled(String),
}

/// Returns whether a runner whose connection broke is still alive; one that sends bytes that are no
/// answer is.
///
/// Without this check, a network fault or a runner that disconnects a slow reader would count as a
/// crash, and two of them would make an innocent request be refused permanently. A crashed runner
/// can't answer at once: it has to load gigabytes of weights before it listens again.
pub async fn is_alive(client: &Client, address: &str) -> bool {
    let probe = client.get(address, "/load");
    let probed = timeout(PROBE_TIMEOUT, probe).await;
    matches!(probed, Ok(Ok(_) | Err(Fault::Garbled(_))))
}

/// Runs one attempt; calls `send_delta` with each piece of the message.
pub async fn run(
    client: &Client,
    job: Job<'_>,
    partial: &mut Partial,
    mut send_delta: impl FnMut(Value) + Send,
) -> End {
    let headers = [
        (header::ATTEMPT, job.attempt.to_string()),
        (header::PROGRAM, job.program.to_string()),
    ];
    let post = Post {
        address: job.address,
        path: "/v1/chat/completions",
        content_type: "application/json",
        headers: &headers,
        body: body(&job, partial),
    };
    let silence = job.silence.as_duration();
    let response = match timeout(silence, client.post(post)).await {
        Ok(Ok(response)) => response,
        Ok(Err(Fault::NotSent(detail))) => return End::NotSent(detail),
        Ok(Err(Fault::Broken(detail))) => return End::Broken(detail),
        Ok(Err(Fault::Garbled(detail))) => return End::Stalled(detail),
        Err(_) => return End::Stalled(format!("no response headers within {}", job.silence)),
    };
    if !response.status().is_success() {
        return refused(response, silence).await;
    }
    stream(job, response.into_body(), partial, &mut send_delta).await
}

fn body(job: &Job<'_>, partial: &Partial) -> Bytes {
    let mut fields = job.request.rest.clone();
    fields.insert("model".to_owned(), json!(job.request.model));
    fields.insert("max_tokens".to_owned(), json!(job.limit));
    fields.insert("stream".to_owned(), json!(true));
    fields.insert("stream_options".to_owned(), json!({"include_usage": true}));
    let priority = match job.class {
        Class::Urgent => URGENT_PRIORITY,
        Class::Routine => ROUTINE_PRIORITY,
    };
    fields.insert("priority".to_owned(), json!(priority));
    if partial.is_empty() {
        fields.insert("messages".to_owned(), json!(job.prompt));
        return Value::Object(fields).to_string().into();
    }
    // The answer so far comes last, and the runner continues it.
    let answer_so_far = partial.message();
    let messages: Vec<&chat::Message> = job.prompt.iter().chain([&answer_so_far]).collect();
    fields.insert("messages".to_owned(), json!(messages));
    fields.insert("continue_final_message".to_owned(), json!(true));
    fields.insert("add_generation_prompt".to_owned(), json!(false));
    Value::Object(fields).to_string().into()
}

/// Reads a refusal, as much of its body as comes within `silence`.
async fn refused(response: hyper::Response<Incoming>, silence: Duration) -> End {
    let status = response.status();
    let seconds = response.headers().get(header::RETRY_AFTER);
    let seconds = seconds.and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    let body = Limited::new(response.into_body(), MAX_REFUSAL_BYTES).collect();
    let body = timeout(silence, body).await.ok().and_then(Result::ok);
    let body = body
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    End::Refused {
        status: status.as_u16(),
        detail: String::from_utf8_lossy(&body).into_owned(),
        retry_after: seconds.map(|s| Millis::new(s.saturating_mul(1_000))),
        permanent: status.is_client_error() && status.as_u16() != 429 && status.as_u16() != 409,
    }
}

/// What has been received on a stream so far.
#[derive(Default)]
struct Received {
    finish: Option<String>,
    usage: Option<chat::Usage>,
    pieces: u64,
}

impl Received {
    /// Returns how far the answer has come; two of them differ only if it got on meanwhile.
    const fn progress(&self) -> (u64, bool) {
        (self.pieces, self.finish.is_some())
    }
}

async fn stream(
    job: Job<'_>,
    mut incoming: Incoming,
    partial: &mut Partial,
    send_delta: &mut (impl FnMut(Value) + Send),
) -> End {
    let silence = job.silence.as_duration();
    let mut events = Events::default();
    let mut received = Received::default();
    let mut progress = received.progress();
    let mut until = Instant::now() + silence;
    loop {
        while let Some(data) = events.pop() {
            if &*data == b"[DONE]" {
                return complete(received);
            }
            let Ok(chunk) = serde_json::from_slice::<Value>(&data) else {
                return End::Stalled("a chunk isn't JSON".to_owned());
            };
            if chunk.get("error").is_some() {
                return End::Broken(chunk["error"].to_string());
            }
            apply_chunk(chunk, job.limit, &mut received, partial, send_delta);
            if received.pieces > job.limit {
                // The runner ignores its limit. Dropping the connection cancels the call before it
                // uses more tokens than the program has left.
                received.finish = Some("length".to_owned());
                return complete(received);
            }
        }
        // Other bytes that come meanwhile, such as comments or empty chunks, are no progress: they may come
        // without end.
        if received.progress() != progress {
            progress = received.progress();
            until = Instant::now() + silence;
        }
        let stalled = || End::Stalled(format!("no piece for {}", job.silence));
        // A time limit isn't looked at while the next frame is always there.
        if Instant::now() >= until {
            return stalled();
        }
        match timeout_at(until, incoming.frame()).await {
            Err(_) => return stalled(),
            Ok(None) => return End::Broken("the stream ended without an end marker".to_owned()),
            Ok(Some(Err(fault))) if is_garbled(&fault) => return End::Stalled(fault.to_string()),
            Ok(Some(Err(fault))) => return End::Broken(fault.to_string()),
            Ok(Some(Ok(frame))) => {
                let data = frame.data_ref().map_or(&[][..], |data| data);
                if let Err(fault) = events.push(data) {
                    return End::Stalled(fault.to_string());
                }
            }
        }
    }
}

fn apply_chunk(
    mut chunk: Value,
    limit: u64,
    received: &mut Received,
    partial: &mut Partial,
    send_delta: &mut (impl FnMut(Value) + Send),
) {
    if let Some(usage) = parse_usage(&chunk) {
        received.usage = Some(usage);
    }
    let Some(choice) = chunk.pointer_mut("/choices/0") else {
        return;
    };
    if let Some(finish) = choice.get("finish_reason").and_then(Value::as_str) {
        received.finish = Some(finish.to_owned());
    }
    let piece = choice.get_mut("delta").map(Value::take).unwrap_or_default();
    if has_content(&piece) {
        received.pieces += 1;
        if received.pieces <= limit {
            partial.add(&piece);
            send_delta(piece);
        }
    }
}

fn has_content(piece: &Value) -> bool {
    let empty = |value: &Value| value.is_null() || value.as_str() == Some("");
    let fields = piece.as_object();
    fields.is_some_and(|f: &Map<String, Value>| f.iter().any(|(n, v)| n != "role" && !empty(v)))
}

fn parse_usage(chunk: &Value) -> Option<chat::Usage> {
    let usage = chunk.get("usage").filter(|usage| usage.is_object())?;
    let mut parsed: chat::Usage = serde_json::from_value(usage.clone()).ok()?;
    if let Some(cached) = usage.pointer("/prompt_tokens_details/cached_tokens") {
        parsed.cached_tokens = cached.as_u64().unwrap_or(parsed.cached_tokens);
    }
    Some(parsed)
}

/// Returns the end of a stream whose end marker arrived. A stream without a finish reason was cut
/// off by the runner and isn't complete.
fn complete(received: Received) -> End {
    let Some(finish) = received.finish else {
        return End::Broken("the end marker came without a finish reason".to_owned());
    };
    let counted = chat::Usage {
        completion_tokens: received.pieces,
        ..chat::Usage::default()
    };
    End::Complete {
        finish,
        usage: received.usage.unwrap_or(counted),
    }
}
