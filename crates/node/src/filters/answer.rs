//! Renders replies as HTTP responses: chat completions, whole or streamed, JSON, and refusals with
//! their result codes.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use policy::stop;
use serde_json::Value;
use serde_json::json;
use settings::config::Config;
use settings::config::Kind;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedSender;
use wire::ask::Reply;
use wire::chat;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;
use wire::id;

use crate::core::Core;
use crate::filters::Result;
use crate::filters::forward::Replies;
use crate::filters::header;
use crate::filters::parse::Action;
use crate::http;
use crate::http::Response;
use crate::http::body::Channel;
use crate::http::sse;
use crate::metrics;
use crate::view::View;

/// How long the entry VM still waits for the owner's refusal after the caller's deadline: one or
/// two hops between data centres.
const REFUSAL_MARGIN: Millis = Millis::new(100);

/// The format of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Format {
    /// A chat completion as one JSON document.
    Whole {
        /// The model asked for.
        model: String,
    },
    /// A chat completion as a stream of server-sent events.
    Stream {
        /// The model asked for.
        model: String,
    },
    /// The owner's reply as it is: a shown program or the response of a service.
    Plain,
}

impl Format {
    /// Returns the format that a request asks for.
    #[must_use]
    pub fn of(action: &Action) -> Self {
        match action {
            Action::Chat(request) if request.stream => Self::Stream {
                model: request.model.clone(),
            },
            Action::Chat(request) => Self::Whole {
                model: request.model.clone(),
            },
            _ => Self::Plain,
        }
    }
}

/// When a request arrived and how long its caller waits.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// When the request arrived.
    pub arrived: Millis,
    /// How long the caller waits from the arrival on.
    pub deadline: Option<Millis>,
}

impl Timing {
    /// Returns when the caller has its answer at the latest; `None` without a deadline.
    #[must_use]
    pub fn latest_end(&self) -> Option<Millis> {
        let deadline = self.deadline?;
        Some(self.arrived.plus(deadline).plus(REFUSAL_MARGIN))
    }
}

/// Answers health and readiness probes; returns `None` for other requests.
#[must_use]
pub fn probe(view: &View, action: &Action) -> Option<Response> {
    match action {
        Action::Health => Some(http::json(200, &json!({"status": "ok"}))),
        Action::Ready if view.stopping => Some(refuse(&Refusal::new(Code::ShuttingDown, ""))),
        Action::Ready if view.config.revision == 0 && view.config.callers.is_empty() => Some(
            refuse(&Refusal::new(Code::PlatformDown, "no configuration yet")),
        ),
        Action::Ready => Some(http::json(200, &json!({"status": "ready"}))),
        _ => None,
    }
}

/// Lists the models.
#[must_use]
pub fn models(config: &Config) -> Response {
    let runners = config.endpoints.iter().filter(|e| e.kind == Kind::Runner);
    let mut names: Vec<&String> = runners.flat_map(|e| &e.serves).collect();
    names.sort();
    names.dedup();
    let model = |name| json!({"id": name, "object": "model", "owned_by": "chestnutyoke"});
    let data: Vec<Value> = names.into_iter().map(model).collect();
    http::json(200, &json!({"object": "list", "data": data}))
}

/// Renders a refusal.
#[must_use]
pub fn refuse(refusal: &Refusal) -> Response {
    let mut response = http::json(refusal.code.status(), &refusal.to_json());
    if let Some(delay) = refusal.retry_after {
        let seconds = delay.as_u64().div_ceil(1_000).max(1);
        set_header(&mut response, header::RETRY_AFTER, &seconds.to_string());
    }
    response
}

/// Renders the replies to an ask in the requested format.
///
/// # Errors
///
/// Fails with the refusal if it comes before the response has started.
pub async fn answer(
    core: &Arc<Core>,
    format: Format,
    program: &id::Program,
    timing: Timing,
    mut replies: Replies,
) -> Result<Response> {
    let first = next_reply(core, timing, &mut replies).await?;
    core.metrics
        .record_first_reply(core.clock.now().since(timing.arrived));
    let mut response = match format {
        Format::Whole { model } => {
            let (turn, answer) = completed_turn(core, timing, first, &mut replies).await?;
            core.metrics
                .record_whole_answer(core.clock.now().since(timing.arrived));
            core.metrics.count_answer(metrics::Kind::Whole);
            let completion = completion(program, turn, &model, &answer);
            let mut response = http::json(200, &completion);
            set_header(&mut response, header::TURN, &turn.to_string());
            response
        }
        Format::Stream { model } => {
            let (sender, chunks) = mpsc::unbounded_channel();
            let stream = Stream {
                core: core.clone(),
                program: program.clone(),
                model,
                timing,
                sender,
            };
            core.work.spawn(stream.run(first, replies));
            let mut response = Response::new(BoxBody::new(Channel(chunks)));
            let content_type = HeaderValue::from_static("text/event-stream");
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            response
        }
        Format::Plain => {
            let response = plain(first)?;
            core.metrics.count_answer(metrics::Kind::Plain);
            response
        }
    };
    set_header(&mut response, header::PROGRAM, program.as_str());
    Ok(response)
}

/// Waits for the next reply. If the owner is lost, the deadline passes or this VM stops, it is
/// unknown whether the turn runs.
async fn next_reply(core: &Core, timing: Timing, replies: &mut Replies) -> Result<Reply> {
    tokio::select! {
        biased;
        reply = receive(core, timing, replies) => reply,
        // If the end of the process cut the answer off, the caller couldn't tell it from one whose
        // connection broke.
        () = core.expired.cancelled() => {
            let refusal = Refusal::new(Code::ShuttingDown, "").ran(Ran::Unknown);
            Err(refusal.retry_after(stop::RETRY))
        }
    }
}

async fn receive(core: &Core, timing: Timing, replies: &mut Replies) -> Result<Reply> {
    let lost = || Refusal::new(Code::OwnerLost, "").ran(Ran::Unknown);
    let reply = match timing.latest_end() {
        None => replies.recv().await.ok_or_else(lost)?,
        Some(end) => {
            let remaining = end.since(core.clock.now()).as_duration();
            let late = |_| Refusal::new(Code::DeadlineUnmeetable, "").ran(Ran::Unknown);
            let received = tokio::time::timeout(remaining, replies.recv()).await;
            received.map_err(late)?.ok_or_else(lost)?
        }
    };
    match reply {
        Reply::Refused(refusal) => Err(refusal),
        reply => Ok(reply),
    }
}

/// Waits for the reply that completes the turn.
async fn completed_turn(
    core: &Core,
    timing: Timing,
    first: Reply,
    replies: &mut Replies,
) -> Result<(u32, chat::Answer)> {
    let mut reply = first;
    loop {
        match reply {
            Reply::Done { turn, answer } => return Ok((turn, answer)),
            Reply::Delta(_) => reply = next_reply(core, timing, replies).await?,
            _ => return Err(Refusal::new(Code::Internal, "unexpected reply")),
        }
    }
}

fn plain(reply: Reply) -> Result<Response> {
    match reply {
        Reply::Shown(value) => Ok(http::json(200, &value)),
        Reply::Called { status, body } => Ok(http::response(status, "application/json", body)),
        _ => Err(Refusal::new(Code::Internal, "unexpected reply")),
    }
}

/// An answer that is streamed as server-sent events.
struct Stream {
    core: Arc<Core>,
    program: id::Program,
    model: String,
    timing: Timing,
    sender: UnboundedSender<Bytes>,
}

impl Stream {
    /// Sends every reply as an event. An incomplete answer ends with the refusal and without the
    /// end marker, so that it can't be mistaken for a complete one.
    async fn run(self, first: Reply, mut replies: Replies) {
        let mut reply = Ok(first);
        let mut sent = false;
        loop {
            match reply {
                Ok(Reply::Delta(delta)) => {
                    sent = true;
                    if self.send(&self.chunk(&delta, None)).is_err() {
                        return;
                    }
                }
                Ok(Reply::Done { turn, answer }) => return self.finish(turn, &answer, sent),
                Ok(_) => return self.fail(&Refusal::new(Code::Internal, "unexpected reply")),
                Err(refusal) => return self.fail(&refusal),
            }
            reply = next_reply(&self.core, self.timing, &mut replies).await;
        }
    }

    fn finish(&self, turn: u32, answer: &chat::Answer, sent: bool) {
        if !sent && let Ok(message) = serde_json::to_value(&answer.message) {
            // An answer from the history is sent as a single chunk.
            let _gone = self.send(&self.chunk(&message, None));
        }
        let mut chunk = self.chunk(&json!({}), Some(&answer.finish));
        chunk["usage"] = usage(&answer.usage);
        chunk["chestnutyoke"] = json!({"program": self.program, "turn": turn});
        let _gone = self.send(&chunk);
        let _gone = self.sender.send(Bytes::from_static(b"data: [DONE]\n\n"));
        let elapsed = self.core.clock.now().since(self.timing.arrived);
        self.core.metrics.record_whole_answer(elapsed);
        self.core.metrics.count_answer(metrics::Kind::Stream);
    }

    fn fail(&self, refusal: &Refusal) {
        self.core.metrics.count_refusal(refusal.code);
        let _gone = self.send(&refusal.to_json());
    }

    fn send(&self, value: &Value) -> std::result::Result<(), ()> {
        self.sender
            .send(sse::event(&value.to_string()))
            .map_err(|_| ())
    }

    fn chunk(&self, delta: &Value, finish: Option<&str>) -> Value {
        json!({
            "id": format!("chatcmpl-{}", self.program),
            "object": "chat.completion.chunk",
            "created": self.timing.arrived.as_u64() / 1_000,
            "model": self.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
        })
    }
}

fn completion(program: &id::Program, turn: u32, model: &str, answer: &chat::Answer) -> Value {
    json!({
        "id": format!("chatcmpl-{program}-{turn}"),
        "object": "chat.completion",
        "created": 0,
        "model": model,
        "choices": [{"index": 0, "message": answer.message, "finish_reason": answer.finish}],
        "usage": usage(&answer.usage),
        "chestnutyoke": {"program": program, "turn": turn},
    })
}

fn usage(usage: &chat::Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    })
}

fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}
