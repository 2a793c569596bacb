//! Handles a chat completion from the request to the last token.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::chat;
use wire::chat::Usage;

use super::ATTEMPT;
use super::Crash;
use super::MAX_ATTEMPTS;
use super::PROGRAM;
use super::Runner;
use super::answer;
use super::answer::Plan;
use super::cache;
use super::cache::Part;
use super::report::Attempt;
use crate::http;
use crate::http::Body;
use crate::http::Dropped;
use crate::http::Reply;

/// Maximum number of pieces of an answer that wait to be sent; a slow reader slows generation down.
const MAX_WAITING_PIECES: usize = 64;

/// A call in progress.
struct Call {
    runner: Arc<Runner>,
    request: chat::Request,
    program: String,
    parts: Vec<Part>,
    plan: Plan,
    /// Index of the attempt, counted from the first attempt since the start of the runner.
    attempt_index: usize,
    finished: bool,
}

/// A part of the answer to a call.
enum Piece {
    Token(String),
    End(Usage),
}

type Pieces = mpsc::Sender<http::Result<Piece>>;

impl Drop for Call {
    fn drop(&mut self) {
        if !self.finished {
            self.runner.lock().stats.aborted += 1;
        }
    }
}

/// Handles a chat completion.
pub(super) async fn handle(runner: &Arc<Runner>, request: Request<Incoming>) -> Reply {
    let program = header(&request, PROGRAM);
    let attempt = header(&request, ATTEMPT);
    let completion: chat::Request = match http::read_json(request).await {
        Ok(completion) => completion,
        Err(refusal) => return Ok(*refusal),
    };
    if let Some(refusal) = refusal(runner, &completion) {
        return Ok(refusal);
    }
    let streamed = completion.stream;
    let id = format!("chatcmpl-{attempt}");
    let model = completion.model.clone();
    let call = register(runner, completion, program, attempt);
    let finish = call.plan.finish;
    let (sender, mut pieces) = mpsc::channel(MAX_WAITING_PIECES);
    tokio::spawn(run(call, sender));
    if streamed {
        let (events, parts) = mpsc::channel(MAX_WAITING_PIECES);
        tokio::spawn(send_events(id, model, finish, pieces, events));
        return Ok(http::stream("text/event-stream", parts));
    }
    let mut text = String::new();
    while let Some(piece) = pieces.recv().await {
        match piece? {
            Piece::Token(token) => text.push_str(&token),
            Piece::End(usage) => {
                let whole = answer::completion(&id, &model, &text, finish, usage);
                return Ok(http::json(StatusCode::OK, &whole));
            }
        }
    }
    Err(Dropped)
}

fn header(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn refusal(runner: &Runner, completion: &chat::Request) -> Option<Response<Body>> {
    let state = runner.lock();
    if state.leaving {
        let refusal = json!({ "error": "the runner is leaving", "ran": "no" });
        return Some(http::json(StatusCode::SERVICE_UNAVAILABLE, &refusal));
    }
    if !state.models.is_empty() && !state.models.contains(&completion.model) {
        let refusal = json!({ "error": "the runner doesn't serve this model", "ran": "no" });
        return Some(http::json(StatusCode::NOT_FOUND, &refusal));
    }
    None
}

/// Adds an attempt to the statistics and plans its answer.
fn register(
    runner: &Arc<Runner>,
    request: chat::Request,
    program: String,
    attempt: String,
) -> Call {
    let parts = cache::parts(&request.messages);
    let plan = Plan::new(&request, runner.settings.answer_tokens);
    let mut state = runner.lock();
    let entry = Attempt {
        attempt,
        program: program.clone(),
        prompt: parts.iter().map(|part| part.tokens).sum(),
        ..Attempt::default()
    };
    if state.stats.attempts.len() >= MAX_ATTEMPTS {
        state.stats.attempts.drain(..MAX_ATTEMPTS / 2);
        state.dropped_attempts += MAX_ATTEMPTS / 2;
    }
    state.stats.attempts.push(entry);
    let attempt_index = state.dropped_attempts + state.stats.attempts.len() - 1;
    drop(state);
    Call {
        runner: runner.clone(),
        request,
        program,
        parts,
        plan,
        attempt_index,
        finished: false,
    }
}

/// Runs a call until it ends, its reader disconnects or the runner crashes.
async fn run(mut call: Call, pieces: Pieces) {
    let mut crashes = call.runner.crashes.subscribe();
    let result = tokio::select! {
        result = process(&mut call, &pieces) => result,
        () = pieces.closed() => return,
        _ = crashes.changed() => Err(Dropped),
    };
    if result.is_err() {
        let _reader_gone = pieces.send(Err(Dropped)).await;
    }
}

async fn process(call: &mut Call, pieces: &Pieces) -> http::Result<()> {
    let runner = call.runner.clone();
    let priority = call.request.rest.get("priority").and_then(Value::as_i64);
    let _slot = runner.engine.acquire(priority.unwrap_or(0)).await;
    let cached = prefill(call).await;
    crash_if_marked(call)?;
    let cut = take_cut(&runner);
    generate(call, pieces, cut).await?;
    call.finished = true;
    record_finished(call);
    if take_drop(&runner) {
        return Err(Dropped);
    }
    let usage = Usage {
        prompt_tokens: call.parts.iter().map(|part| part.tokens).sum(),
        completion_tokens: call.plan.end - call.plan.first,
        cached_tokens: cached,
    };
    let _reader_gone = pieces.send(Ok(Piece::End(usage))).await;
    Ok(())
}

/// Waits as long as computing the prompt takes, and returns how many of its tokens were cached.
async fn prefill(call: &Call) -> u64 {
    let runner = &call.runner;
    let prompt: u64 = call.parts.iter().map(|part| part.tokens).sum();
    let (cached, factor) = {
        let mut state = runner.lock();
        let cached = state.cache.lookup(&call.program, &call.parts);
        state.stats.cached += cached;
        state.stats.prefilled += prompt - cached;
        update_attempt(&mut state, call, |attempt| {
            attempt.started = true;
            attempt.cached = cached;
        });
        (cached, state.faults.slow)
    };
    let duration = runner.speed.prefill(prompt - cached, factor);
    tokio::time::sleep(duration).await;
    cached
}

/// Changes the attempt of a call in the statistics, unless it has been dropped from there.
fn update_attempt(state: &mut super::State, call: &Call, change: impl FnOnce(&mut Attempt)) {
    let index = call.attempt_index.checked_sub(state.dropped_attempts);
    if let Some(attempt) = index.and_then(|index| state.stats.attempts.get_mut(index)) {
        change(attempt);
    }
}

fn crash_if_marked(call: &Call) -> http::Result<()> {
    let mut state = call.runner.lock();
    let marker = &state.faults.crash_mark;
    let has_marker = |message| answer::text(message).contains(marker);
    if marker.is_empty() || !call.request.messages.iter().any(has_marker) {
        return Ok(());
    }
    if call.runner.settings.crash == Crash::Exit {
        std::process::exit(134);
    }
    state.faults.crashed = true;
    drop(state);
    call.runner.crashes.send_modify(|count| *count += 1);
    Err(Dropped)
}

/// Uses up one of the set cuts and returns the number of tokens after which to break off.
fn take_cut(runner: &Runner) -> Option<u64> {
    let faults = &mut runner.lock().faults;
    faults.cuts = faults.cuts.checked_sub(1)?;
    Some(faults.cut_after)
}

/// Uses up one of the set drops; returns `false` if there is none left.
fn take_drop(runner: &Runner) -> bool {
    let faults = &mut runner.lock().faults;
    let remaining = faults.drop_answers.checked_sub(1);
    faults.drop_answers = remaining.unwrap_or(0);
    remaining.is_some()
}

async fn generate(call: &Call, pieces: &Pieces, cut: Option<u64>) -> http::Result<()> {
    let runner = &call.runner;
    let mut due = Instant::now();
    for index in call.plan.first..call.plan.end {
        if cut.is_some_and(|after| index - call.plan.first >= after) {
            return Err(Dropped);
        }
        let (hang, factor) = {
            let state = runner.lock();
            (state.faults.hang, state.faults.slow)
        };
        if hang {
            std::future::pending::<()>().await;
        }
        due += runner.speed.token(runner.engine.running(), factor);
        tokio::time::sleep_until(due).await;
        {
            let mut state = runner.lock();
            state.stats.generated += 1;
            update_attempt(&mut state, call, |attempt| attempt.generated += 1);
        }
        let piece = Piece::Token(call.plan.token(index));
        pieces.send(Ok(piece)).await.map_err(|_| Dropped)?;
    }
    Ok(())
}

/// Marks the attempt as finished and caches the conversation including its answer.
fn record_finished(call: &Call) {
    let mut state = call.runner.lock();
    update_attempt(&mut state, call, |attempt| attempt.finished = true);
    if call.program.is_empty() {
        return;
    }
    let mut messages = call.request.messages.clone();
    let text = call.plan.text();
    match messages.last_mut() {
        Some(last) if last.role == "assistant" => {
            last.content = Value::String(format!("{}{text}", answer::text(last)));
        }
        _ => messages.push(chat::Message {
            role: "assistant".to_owned(),
            content: Value::String(text),
            rest: serde_json::Map::new(),
        }),
    }
    state.cache.insert(&call.program, cache::parts(&messages));
}

/// Sends the pieces of an answer as server-sent events.
async fn send_events(
    id: String,
    model: String,
    finish: &'static str,
    mut pieces: mpsc::Receiver<http::Result<Piece>>,
    events: mpsc::Sender<http::Result<Bytes>>,
) {
    let first_chunk = answer::chunk(&id, &model, &json!({ "role": "assistant", "content": "" }));
    if events.send(Ok(event(&first_chunk))).await.is_err() {
        return;
    }
    loop {
        let piece = tokio::select! {
            piece = pieces.recv() => piece,
            () = events.closed() => return,
        };
        let part = match piece {
            Some(Ok(Piece::Token(token))) => Ok(event(&answer::chunk(
                &id,
                &model,
                &json!({ "content": token }),
            ))),
            Some(Ok(Piece::End(usage))) => {
                let last = event(&answer::last_chunk(&id, &model, finish, usage));
                let mut text = last.to_vec();
                text.extend_from_slice(b"data: [DONE]\n\n");
                let _reader_gone = events.send(Ok(Bytes::from(text))).await;
                return;
            }
            Some(Err(Dropped)) | None => Err(Dropped),
        };
        let broken = part.is_err();
        if events.send(part).await.is_err() || broken {
            return;
        }
    }
}

fn event<T: Serialize>(value: &T) -> Bytes {
    let text = serde_json::to_string(value).unwrap_or_default();
    Bytes::from(format!("data: {text}\n\n"))
}
