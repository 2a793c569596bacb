//! A caller of the system: an OpenAI-style client with the headers of the system where wanted.

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
use super::switch::until_some;

/// Builds a message of a conversation.
pub fn said(role: &str, text: &str) -> Message {
    Message {
        role: role.to_owned(),
        content: text.into(),
        rest: serde_json::Map::new(),
    }
}

/// What is asked for a program's turn.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// The program; `None` has one made.
    pub program: Option<String>,
    /// The turn; `None` takes the next.
    pub turn: Option<u32>,
    /// The user's message.
    pub text: String,
    /// The most tokens that the answer may have.
    pub max_tokens: Option<u64>,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
}

impl Ask {
    /// Asks for a turn of a program.
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

/// A whole answer.
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
    /// Yields what the assistant said.
    pub fn content(&self) -> &str {
        let said = &self.body["choices"][0]["message"]["content"];
        said.as_str()
            .unwrap_or_else(|| panic!("no answer: {self:?}"))
    }

    /// Yields a refusal's code.
    pub fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or_default()
    }

    /// Yields whether a refused request ran.
    pub fn ran(&self) -> &str {
        self.body["error"]["ran"].as_str().unwrap_or_default()
    }

    /// Yields a header's text.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default()
    }
}

/// A streamed answer as it comes.
pub struct Stream {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    body: Incoming,
    /// The text so far.
    pub text: String,
    buffer: String,
    /// Whether the end marker came.
    pub ended: bool,
    /// The error event, where one came.
    pub error: Value,
}

impl Stream {
    /// Waits for the next piece; `false` at the end of the stream.
    pub async fn next(&mut self) -> bool {
        let Some(Ok(frame)) = self.body.frame().await else {
            return false;
        };
        if let Ok(data) = frame.into_data() {
            self.buffer.push_str(&String::from_utf8_lossy(&data));
        }
        while let Some(end) = self.buffer.find("\n\n") {
            let event: String = self.buffer.drain(..end + 2).collect();
            self.take(&event);
        }
        true
    }

    /// Waits until the text has at least so many words.
    pub async fn words(&mut self, count: usize) {
        while self.text.split_whitespace().count() < count {
            assert!(self.next().await, "ended early: {}", self.text);
        }
    }

    /// Waits for the end.
    pub async fn finish(&mut self) {
        while self.next().await {}
    }

    fn take(&mut self, event: &str) {
        for line in event.lines() {
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                self.ended = true;
                continue;
            }
            let piece: Value = serde_json::from_str(data).unwrap();
            if let Some(text) = piece["choices"][0]["delta"]["content"].as_str() {
                self.text.push_str(text);
            }
            if !piece["error"].is_null() {
                self.error = piece["error"].clone();
            }
        }
    }
}

async fn send(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, String)],
    body: &Value,
) -> Option<Response<Incoming>> {
    submit(Method::POST, address, path, headers, body).await
}

async fn submit(
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

async fn ask(address: SocketAddr, ask: &Ask, streamed: bool) -> Option<Response<Incoming>> {
    let mut headers = Vec::new();
    if let Some(program) = &ask.program {
        headers.push(("chestnutyoke-program", program.clone()));
    }
    if let Some(turn) = ask.turn {
        headers.push(("chestnutyoke-turn", turn.to_string()));
    }
    if let Some(span) = ask.deadline_ms {
        headers.push(("chestnutyoke-deadline-ms", span.to_string()));
    }
    let mut body = json!({
        "model": MODEL,
        "stream": streamed,
        "messages": [{ "role": "user", "content": ask.text }],
    });
    if let Some(limit) = ask.max_tokens {
        body["max_tokens"] = json!(limit);
    }
    send(address, "/v1/chat/completions", &headers, &body).await
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

/// Asks for a whole answer; `None` where the connection broke.
pub async fn chat(address: SocketAddr, wanted: &Ask) -> Option<Answer> {
    collect(ask(address, wanted, false).await?).await
}

/// Asks again while the answer is a refusal that did not run or the connection breaks, as a
/// patient caller does, by each of the addresses in turn.
pub async fn chat_until_answered(addresses: &[SocketAddr], wanted: &Ask) -> Answer {
    let mut tries = 0;
    until_some(&format!("the answer to {wanted:?}"), async || {
        let address = addresses[tries % addresses.len()];
        tries += 1;
        let answer = chat(address, wanted).await?;
        (answer.status == 200).then_some(answer)
    })
    .await
}

/// Asks for a streamed answer; `None` where the connection broke.
pub async fn open(address: SocketAddr, wanted: &Ask) -> Option<Stream> {
    let response = ask(address, wanted, true).await?;
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

/// Calls the service with an idempotency key; `None` where the connection broke.
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
    collect(send(address, &path, &headers, &body).await?).await
}

/// Ends a program; `None` where the connection broke.
pub async fn end(address: SocketAddr, program: &str) -> Option<Answer> {
    let path = format!("/v1/programs/{program}");
    let ended = submit(Method::DELETE, address, &path, &[], &Value::Null);
    collect(ended.await?).await
}
