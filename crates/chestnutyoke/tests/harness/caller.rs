//! A caller of the system: a client of the OpenAI-style API that can also send the system's own
//! headers.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper_util::client::legacy;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use wire::chat::Message;

use super::MODEL;
use super::SERVICE;
use super::TOKEN;
use super::http::wait_for;

/// Builds one message of a conversation.
pub fn message(role: &str, text: &str) -> Message {
    Message {
        role: role.to_owned(),
        content: text.into(),
        rest: serde_json::Map::new(),
    }
}

/// A chat request for one turn of a program.
#[derive(Clone, Debug, Default)]
pub struct ChatRequest {
    /// The program; with `None` the system creates one.
    pub program: Option<String>,
    /// The turn number; `None` means the next turn.
    pub turn: Option<u32>,
    /// The user's message.
    pub text: String,
    /// The maximum number of tokens of the answer.
    pub max_tokens: Option<u64>,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
}

impl ChatRequest {
    /// Builds a request for a turn of a program.
    pub fn turn(program: &str, turn: u32, text: &str) -> Self {
        Self {
            program: Some(program.to_owned()),
            turn: Some(turn),
            text: text.to_owned(),
            max_tokens: None,
            deadline_ms: None,
        }
    }
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, or `null` where it isn't JSON.
    pub body: Value,
}

impl Answer {
    /// Returns the assistant's message.
    pub fn content(&self) -> &str {
        let text = &self.body["choices"][0]["message"]["content"];
        text.as_str()
            .unwrap_or_else(|| panic!("no answer: {self:?}"))
    }

    /// Returns the code of a refusal.
    pub fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or_default()
    }

    /// Returns whether a refused request ran: `yes`, `no` or `unknown`.
    pub fn ran(&self) -> &str {
        self.body["error"]["ran"].as_str().unwrap_or_default()
    }

    /// Returns the text of a header, or an empty text if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default()
    }
}

/// A streamed answer while it is being received.
pub struct Stream {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    body: Incoming,
    /// The text received so far.
    pub text: String,
    buffer: String,
    /// Whether the end marker was received.
    pub ended: bool,
    /// The error event, or null if none was received.
    pub error: Value,
}

impl Stream {
    /// Waits for the next frame; returns `false` at the end of the stream.
    pub async fn next(&mut self) -> bool {
        let Some(Ok(frame)) = self.body.frame().await else {
            return false;
        };
        if let Ok(data) = frame.into_data() {
            self.buffer.push_str(&String::from_utf8_lossy(&data));
        }
        while let Some(end) = self.buffer.find("\n\n") {
            let event: String = self.buffer.drain(..end + 2).collect();
            self.apply(&event);
        }
        true
    }

    /// Waits until the text has at least `count` words.
    pub async fn words(&mut self, count: usize) {
        while self.text.split_whitespace().count() < count {
            assert!(self.next().await, "ended early: {}", self.text);
        }
    }

    /// Waits for the end of the stream.
    pub async fn finish(&mut self) {
        while self.next().await {}
    }

    fn apply(&mut self, event: &str) {
        for line in event.lines() {
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                self.ended = true;
                continue;
            }
            let chunk: Value = serde_json::from_str(data).unwrap();
            if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
                self.text.push_str(text);
            }
            if !chunk["error"].is_null() {
                self.error = chunk["error"].clone();
            }
        }
    }
}

async fn post(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, String)],
    body: &Value,
) -> Option<Response<Incoming>> {
    send_with_method(Method::POST, address, path, headers, body).await
}

async fn send_with_method(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, String)],
    body: &Value,
) -> Option<Response<Incoming>> {
    let http = legacy::Client::builder(TokioExecutor::new()).build_http();
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .header("content-type", "application/json");
    for (name, value) in headers {
        request = request.header(*name, value);
    }
    let body = Full::new(Bytes::from(body.to_string()));
    http.request(request.body(body).unwrap()).await.ok()
}

async fn send_chat(
    address: SocketAddr,
    request: &ChatRequest,
    streamed: bool,
) -> Option<Response<Incoming>> {
    let mut headers = Vec::new();
    if let Some(program) = &request.program {
        headers.push(("chestnutyoke-program", program.clone()));
    }
    if let Some(turn) = request.turn {
        headers.push(("chestnutyoke-turn", turn.to_string()));
    }
    if let Some(deadline_ms) = request.deadline_ms {
        headers.push(("chestnutyoke-deadline-ms", deadline_ms.to_string()));
    }
    let mut body = json!({
        "model": MODEL,
        "stream": streamed,
        "messages": [{ "role": "user", "content": request.text }],
    });
    if let Some(limit) = request.max_tokens {
        body["max_tokens"] = json!(limit);
    }
    post(address, "/v1/chat/completions", &headers, &body).await
}

async fn collect(response: Response<Incoming>) -> Option<Answer> {
    let status = response.status().as_u16();
    let headers = response.headers().clone();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some(Answer {
        status,
        headers,
        body: serde_json::from_slice(&body).unwrap_or_default(),
    })
}

/// Requests a complete answer; returns `None` if the connection broke.
pub async fn chat(address: SocketAddr, request: &ChatRequest) -> Option<Answer> {
    collect(send_chat(address, request, false).await?).await
}

/// Retries at each of the addresses in turn until the answer's status is 200, also after broken
/// connections.
pub async fn chat_until_answered(addresses: &[SocketAddr], request: &ChatRequest) -> Answer {
    let mut attempts = 0;
    wait_for(&format!("the answer to {request:?}"), async || {
        let address = addresses[attempts % addresses.len()];
        attempts += 1;
        let answer = chat(address, request).await?;
        (answer.status == 200).then_some(answer)
    })
    .await
}

/// Requests a streamed answer; returns `None` if the connection broke.
pub async fn open(address: SocketAddr, request: &ChatRequest) -> Option<Stream> {
    let response = send_chat(address, request, true).await?;
    let (head, body) = response.into_parts();
    Some(Stream {
        status: head.status.as_u16(),
        headers: head.headers,
        body,
        text: String::new(),
        buffer: String::new(),
        ended: false,
        error: Value::Null,
    })
}

/// Calls the service with an idempotency key; returns `None` if the connection broke.
pub async fn call(
    address: SocketAddr,
    program: Option<&str>,
    operation: &str,
    key: &str,
) -> Option<Answer> {
    let mut headers = vec![("idempotency-key", key.to_owned())];
    if let Some(program) = program {
        headers.push(("chestnutyoke-program", program.to_owned()));
    }
    let path = format!("/v1/services/{SERVICE}/{operation}");
    let body = json!({ "berth": 7 });
    collect(post(address, &path, &headers, &body).await?).await
}

/// Ends a program; returns `None` if the connection broke.
pub async fn end(address: SocketAddr, program: &str) -> Option<Answer> {
    let path = format!("/v1/programs/{program}");
    let response = send_with_method(Method::DELETE, address, &path, &[], &Value::Null);
    collect(response.await?).await
}
