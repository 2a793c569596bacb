//! Renders replies in the forms that callers know: chat completions whole or in parts, JSON, and
//! numbered refusals.

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
use crate::filters::parse::What;
use crate::http;
use crate::http::Response;
use crate::http::body::Parts;
use crate::http::sse;
use crate::metrics;
use crate::view::View;

/// How long an entry VM waits for an owner's own refusal after the caller's deadline: a hop or two
/// between data centres.
const SLACK: Millis = Millis::new(100);

/// The form of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Shape {
    /// A chat completion in one piece.
    Whole {
        /// The model asked for.
        model: String,
    },
    /// A chat completion in parts.
    Stream {
        /// The model asked for.
        model: String,
    },
    /// Whatever the owner shows.
    Plain,
}

impl Shape {
    /// Picks the form that a request asks for.
    #[must_use]
    pub fn of(what: &What) -> Self {
        match what {
            What::Chat(request) if request.stream => Self::Stream {
                model: request.model.clone(),
            },
            What::Chat(request) => Self::Whole {
                model: request.model.clone(),
            },
            _ => Self::Plain,
        }
    }
}

/// How long a caller has waited and will.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    /// When the request arrived.
    pub arrived: Millis,
    /// How long the caller waits from then on.
    pub deadline: Option<Millis>,
}

impl Wait {
    /// Yields when the caller has its answer at the latest; `None` where it waits for any time.
    #[must_use]
    pub fn until(&self) -> Option<Millis> {
        let deadline = self.deadline?;
        Some(self.arrived.plus(deadline).plus(SLACK))
    }
}

/// Answers health and readiness probes; `None` for other requests.
#[must_use]
pub fn probe(view: &View, what: &What) -> Option<Response> {
    match what {
        What::Health => Some(http::json(200, &json!({"status": "ok"}))),
        What::Ready if view.stopping => Some(refuse(&Refusal::new(Code::ShuttingDown, ""))),
        What::Ready if view.config.revision == 0 && view.config.callers.is_empty() => Some(refuse(
            &Refusal::new(Code::PlatformDown, "no configuration yet"),
        )),
        What::Ready => Some(http::json(200, &json!({"status": "ready"}))),
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
    if let Some(span) = refusal.retry_after {
        let seconds = span.as_u64().div_ceil(1_000).max(1);
        set(&mut response, header::RETRY_AFTER, &seconds.to_string());
    }
    response
}

/// Renders the replies to an ask in the form asked for.
///
/// # Errors
///
/// Yields the owner's refusal where it comes first.
pub async fn answer(
    core: &Arc<Core>,
    shape: Shape,
    program: &id::Program,
    wait: Wait,
    mut replies: Replies,
) -> Result<Response> {
    let first = next(core, wait, &mut replies).await?;
    core.metrics
        .record_first_reply(core.clock.now().since(wait.arrived));
    let mut response = match shape {
        Shape::Whole { model } => {
            let (turn, answer) = last(core, wait, first, &mut replies).await?;
            core.metrics
                .record_whole_answer(core.clock.now().since(wait.arrived));
            core.metrics.count_answer(metrics::Kind::Whole);
            let completion = completion(program, turn, &model, &answer);
            let mut response = http::json(200, &completion);
            set(&mut response, header::TURN, &turn.to_string());
            response
        }
        Shape::Stream { model } => {
            let (sender, parts) = mpsc::unbounded_channel();
            let stream = Stream {
                core: core.clone(),
                program: program.clone(),
                model,
                wait,
                sender,
            };
            core.work.spawn(stream.run(first, replies));
            let mut response = Response::new(BoxBody::new(Parts(parts)));
            let kind = HeaderValue::from_static("text/event-stream");
            response.headers_mut().insert(CONTENT_TYPE, kind);
            response
        }
        Shape::Plain => {
            let response = plain(first)?;
            core.metrics.count_answer(metrics::Kind::Plain);
            response
        }
    };
    set(&mut response, header::PROGRAM, program.as_str());
    Ok(response)
}

/// Waits for the next reply. An owner that vanished, a deadline that passed and a VM that ends leave
/// open whether the turn runs.
async fn next(core: &Core, wait: Wait, replies: &mut Replies) -> Result<Reply> {
    tokio::select! {
        biased;
        reply = receive(core, wait, replies) => reply,
        // Cut off by the process's end, the caller couldn't tell its answer from a whole one whose
        // connection broke.
        () = core.expired.cancelled() => {
            let refusal = Refusal::new(Code::ShuttingDown, "").ran(Ran::Unknown);
            Err(refusal.retry_after(stop::RETRY))
        }
    }
}

async fn receive(core: &Core, wait: Wait, replies: &mut Replies) -> Result<Reply> {
    let lost = || Refusal::new(Code::OwnerLost, "").ran(Ran::Unknown);
    let reply = match wait.until() {
        None => replies.recv().await.ok_or_else(lost)?,
        Some(end) => {
            let left = end.since(core.clock.now()).as_duration();
            let late = |_| Refusal::new(Code::DeadlineUnmeetable, "").ran(Ran::Unknown);
            let received = tokio::time::timeout(left, replies.recv()).await;
            received.map_err(late)?.ok_or_else(lost)?
        }
    };
    match reply {
        Reply::Refused(refusal) => Err(refusal),
        other => Ok(other),
    }
}

async fn last(
    core: &Core,
    wait: Wait,
    first: Reply,
    replies: &mut Replies,
) -> Result<(u32, chat::Answer)> {
    let mut reply = first;
    loop {
        match reply {
            Reply::Done { turn, answer } => return Ok((turn, answer)),
            Reply::Delta(_) => reply = next(core, wait, replies).await?,
            _ => return Err(Refusal::new(Code::Internal, "a reply of another kind")),
        }
    }
}

fn plain(reply: Reply) -> Result<Response> {
    match reply {
        Reply::Shown(value) => Ok(http::json(200, &value)),
        Reply::Called { status, body } => Ok(http::whole(status, "application/json", body)),
        _ => Err(Refusal::new(Code::Internal, "a reply of another kind")),
    }
}

/// An answer that is sent in parts.
struct Stream {
    core: Arc<Core>,
    program: id::Program,
    model: String,
    wait: Wait,
    sender: UnboundedSender<Bytes>,
}

impl Stream {
    /// Sends every reply as an event. An answer that isn't whole ends with the refusal and without
    /// the end marker, so that it can't be taken for a whole one.
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
                Ok(_) => return self.fail(&Refusal::new(Code::Internal, "another kind")),
                Err(refusal) => return self.fail(&refusal),
            }
            reply = next(&self.core, self.wait, &mut replies).await;
        }
    }

    fn finish(&self, turn: u32, answer: &chat::Answer, sent: bool) {
        if !sent && let Ok(message) = serde_json::to_value(&answer.message) {
            // An answer from the history comes in one part.
            let _gone = self.send(&self.chunk(&message, None));
        }
        let mut chunk = self.chunk(&json!({}), Some(&answer.finish));
        chunk["usage"] = usage(&answer.usage);
        chunk["chestnutyoke"] = json!({"program": self.program, "turn": turn});
        let _gone = self.send(&chunk);
        let _gone = self.sender.send(Bytes::from_static(b"data: [DONE]\n\n"));
        let elapsed = self.core.clock.now().since(self.wait.arrived);
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
            "created": self.wait.arrived.as_u64() / 1_000,
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

fn set(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}
