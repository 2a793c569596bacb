//! Operators' requests on the admin listener: reading and changing the configuration, showing and
//! ending programs, and explaining why calls went where they did.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use wire::ask::Ask;
use wire::ask::Body;
use wire::ask::Reply;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;
use wire::frame;
use wire::id;

use crate::controllers::call;
use crate::controllers::config::Rollout;
use crate::controllers::config::change::Outcome;
use crate::controllers::config::edit::Edit;
use crate::controllers::run::config;
use crate::core::Core;
use crate::filters::forward;
use crate::http::body;
use crate::peer;
use crate::trace::Decision;

/// The outcome of an operator's request.
pub type Result<T> = std::result::Result<T, Refusal>;

/// The prefix of the paths that [`handle`] serves.
pub const PREFIX: &str = "/operate/";
/// The time limit for asking a VM for its decisions, or a program's owner. A VM that is slower to
/// send its decisions is left out.
const TIMEOUT: Millis = Millis::new(1_000);
/// The maximum number of VMs that are asked for their decisions at once.
const MAX_CONCURRENT: usize = 32;
/// The `retry-after` of a change during an outage of the platform.
const OUTAGE_RETRY_AFTER: Millis = Millis::new(2_000);

/// An operator's change of the configuration.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Change {
    edit: Edit,
    #[serde(default)]
    expected: Option<u64>,
}

/// Asks another VM for its stored decisions about a program.
#[derive(Debug, Serialize, Deserialize)]
struct Query {
    program: id::Program,
}

/// A VM's stored decisions about a program.
#[derive(Debug, Serialize, Deserialize)]
struct Decisions {
    vm: id::Vm,
    decisions: Vec<Decision>,
}

/// Answers a request whose path begins with [`PREFIX`].
///
/// # Errors
///
/// Fails with the refusal that the operator gets.
pub async fn handle(core: &Arc<Core>, request: Request<Incoming>) -> Result<Value> {
    let path = request.uri().path().to_owned();
    let (operation, argument) = split(&path);
    match (request.method(), operation) {
        (&Method::POST, "change") => change(core, request).await,
        (&Method::GET, "config") => Ok(json!(*core.view().config)),
        (&Method::GET, "rollout") => rollout(core, request.uri().query()).await,
        (&Method::GET, "programs") => program(core, parse(argument)?).await,
        (&Method::DELETE, "programs") => end(core, parse(argument)?).await,
        (&Method::GET, "explain") => Ok(explain(core, parse(argument)?).await),
        (_, "change" | "config" | "rollout" | "programs" | "explain") => {
            Err(Refusal::new(Code::BadMethod, &path))
        }
        _ => Err(Refusal::new(Code::UnknownPath, &path)),
    }
}

/// Serves [`peer::EXPLAIN`]: returns this VM's stored decisions about a program.
pub fn serve_explain(core: &Core, body: &[u8]) -> Option<Bytes> {
    let Query { program } = call::decode(body)?;
    frame::encode(&local_decisions(core, &program)).ok()
}

fn split(path: &str) -> (&str, &str) {
    let rest = path.strip_prefix(PREFIX).unwrap_or_default();
    rest.split_once('/').unwrap_or((rest, ""))
}

fn parse(argument: &str) -> Result<id::Program> {
    id::Program::parse(argument).map_err(|fault| Refusal::new(Code::BadField, &fault.to_string()))
}

async fn change(core: &Arc<Core>, request: Request<Incoming>) -> Result<Value> {
    let limits = &core.settings.limits;
    let body = body::read(request.into_body(), limits.body, limits.receive).await?;
    let change: Change = serde_json::from_slice(&body)
        .map_err(|fault| Refusal::new(Code::BadJson, &fault.to_string()))?;
    let (outcome, rollout) = config::make(core, change.edit, change.expected).await;
    match outcome {
        Outcome::Accepted(accepted) => {
            Ok(json!({ "revision": accepted.revision, "rollout": render_rollout(&rollout) }))
        }
        Outcome::Conflict { revision } => {
            let detail = format!("the configuration is at revision {revision}");
            Err(Refusal::new(Code::RevisionConflict, &detail))
        }
        Outcome::Unknown { revision } => {
            let detail = format!("the change may become revision {revision}");
            Err(Refusal::new(Code::ChangeUnknown, &detail).ran(Ran::Unknown))
        }
        Outcome::NotSent(fault) => {
            let refusal = Refusal::new(Code::PlatformDown, &fault.to_string());
            Err(refusal.retry_after(OUTAGE_RETRY_AFTER))
        }
        Outcome::Bad(refusal) => Err(refusal),
    }
}

async fn rollout(core: &Arc<Core>, query: Option<&str>) -> Result<Value> {
    let requested = query.and_then(|query| query.strip_prefix("revision="));
    let revision = match requested {
        None => core.view().config.revision,
        Some(text) => text
            .parse()
            .map_err(|_| Refusal::new(Code::BadField, "revision isn't a whole number"))?,
    };
    let mut answer = render_rollout(&config::survey(core, revision).await);
    answer["revision"] = json!(revision);
    Ok(answer)
}

fn render_rollout(rollout: &Rollout) -> Value {
    json!({ "reached": rollout.reached, "behind": rollout.behind, "silent": rollout.silent })
}

async fn program(core: &Arc<Core>, program: id::Program) -> Result<Value> {
    ask(core, program, operator()?, Body::Inspect).await
}

/// Ends a program in the name of its caller, because the caller may be unreachable.
async fn end(core: &Arc<Core>, program: id::Program) -> Result<Value> {
    let shown = ask(core, program.clone(), operator()?, Body::Inspect).await?;
    let caller = shown["caller"].as_str().unwrap_or_default();
    let caller = id::Caller::parse(caller)
        .map_err(|fault| Refusal::new(Code::Internal, &fault.to_string()))?;
    ask(core, program, caller, Body::End).await
}

fn operator() -> Result<id::Caller> {
    id::Caller::parse("operator").map_err(|f| Refusal::new(Code::Internal, &f.to_string()))
}

/// Sends an [`Ask`] to the program's owner, as a caller's request does.
async fn ask(
    core: &Arc<Core>,
    program: id::Program,
    caller: id::Caller,
    body: Body,
) -> Result<Value> {
    let ask = Ask {
        program,
        caller,
        revision: core.view().config.revision,
        deadline: Some(TIMEOUT),
        hops: 0,
        body,
    };
    let mut replies = forward::ask(core, ask);
    while let Some(reply) = replies.recv().await {
        match reply {
            Reply::Shown(shown) => return Ok(shown),
            Reply::Refused(refusal) => return Err(refusal),
            Reply::Delta(_) | Reply::Done { .. } | Reply::Called { .. } => {}
        }
    }
    Err(Refusal::new(Code::ForwardFailed, ""))
}

/// Collects the decisions about a program from all VMs, in order of time.
async fn explain(core: &Arc<Core>, program: id::Program) -> Value {
    let mut decisions = vec![local_decisions(core, &program)];
    for addresses in other_vms(core).chunks(MAX_CONCURRENT) {
        let mut asks = tokio::task::JoinSet::new();
        for address in addresses.iter().copied() {
            let (core, query) = (
                core.clone(),
                Query {
                    program: program.clone(),
                },
            );
            asks.spawn(async move {
                call::send::<_, Decisions>(&core, address, peer::EXPLAIN, &query, TIMEOUT).await
            });
        }
        decisions.extend(asks.join_all().await.into_iter().flatten());
    }
    let mut lines: Vec<(Millis, Value)> = decisions.iter().flat_map(lines).collect();
    lines.sort_by_key(|(at, _)| *at);
    let decisions: Vec<Value> = lines.into_iter().map(|(_, line)| line).collect();
    json!({ "program": program, "decisions": decisions })
}

fn other_vms(core: &Core) -> Vec<SocketAddr> {
    let view = core.view();
    let others = view
        .peers
        .iter()
        .filter(|peer| peer.up && peer.vm != core.settings.vm.name);
    others.map(|peer| peer.address).collect()
}

fn local_decisions(core: &Core, program: &id::Program) -> Decisions {
    Decisions {
        vm: core.settings.vm.name.clone(),
        decisions: core.trace.decisions(program),
    }
}

fn lines(stored: &Decisions) -> impl Iterator<Item = (Millis, Value)> {
    stored.decisions.iter().map(|decision| {
        let line = json!({
            "at": decision.at,
            "vm": stored.vm,
            "turn": decision.turn,
            "event": decision.event,
            "detail": decision.detail,
        });
        (decision.at, line)
    })
}
