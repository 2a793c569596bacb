//! What operators ask of a VM on its admin listener: the configuration and its changes, and why
//! calls went where they did.

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

/// Paths that begin with this belong here.
pub const PREFIX: &str = "/operate/";
/// How long another VM has to tell its decisions; one that is slower is left out.
const TELL: Millis = Millis::new(1_000);
/// VMs that are asked for their decisions at once.
const ASKED: usize = 32;
/// When a change that met an outage of the platform may be tried again.
const OUTAGE_PAUSE: Millis = Millis::new(2_000);

/// An operator's change.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Wish {
    edit: Edit,
    #[serde(default)]
    expected: Option<u64>,
}

/// Asks another VM for what it keeps of a program's decisions.
#[derive(Debug, Serialize, Deserialize)]
struct Tell {
    program: id::Program,
}

/// What a VM keeps of a program's decisions.
#[derive(Debug, Serialize, Deserialize)]
struct Told {
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
    let (verb, subject) = split(&path);
    match (request.method(), verb) {
        (&Method::POST, "change") => change(core, request).await,
        (&Method::GET, "config") => Ok(json!(*core.view().config)),
        (&Method::GET, "rollout") => rollout(core, request.uri().query()).await,
        (&Method::GET, "programs") => program(core, parse(subject)?).await,
        (&Method::DELETE, "programs") => end(core, parse(subject)?).await,
        (&Method::GET, "explain") => Ok(explain(core, parse(subject)?).await),
        (_, "change" | "config" | "rollout" | "programs" | "explain") => {
            Err(Refusal::new(Code::BadMethod, &path))
        }
        _ => Err(Refusal::new(Code::UnknownPath, &path)),
    }
}

/// Answers [`peer::EXPLAIN`]: what this VM keeps of a program's decisions.
pub fn tell(core: &Core, body: &[u8]) -> Option<Bytes> {
    let Tell { program } = call::decode(body)?;
    frame::encode(&own(core, &program)).ok()
}

fn split(path: &str) -> (&str, &str) {
    let rest = path.strip_prefix(PREFIX).unwrap_or_default();
    rest.split_once('/').unwrap_or((rest, ""))
}

fn parse(subject: &str) -> Result<id::Program> {
    id::Program::parse(subject).map_err(|fault| Refusal::new(Code::BadField, &fault.to_string()))
}

async fn change(core: &Arc<Core>, request: Request<Incoming>) -> Result<Value> {
    let limits = &core.settings.limits;
    let whole = body::read(request.into_body(), limits.body, limits.receive).await?;
    let wish: Wish = serde_json::from_slice(&whole)
        .map_err(|fault| Refusal::new(Code::BadJson, &fault.to_string()))?;
    let (outcome, reached) = config::make(core, wish.edit, wish.expected).await;
    match outcome {
        Outcome::Accepted(accepted) => {
            Ok(json!({ "revision": accepted.revision, "rollout": sorted(&reached) }))
        }
        Outcome::Conflict { revision } => {
            let detail = format!("it stands at revision {revision}");
            Err(Refusal::new(Code::RevisionConflict, &detail))
        }
        Outcome::Unknown { revision } => {
            let detail = format!("it may become revision {revision}");
            Err(Refusal::new(Code::ChangeUnknown, &detail).ran(Ran::Unknown))
        }
        Outcome::NotSent(fault) => {
            let refusal = Refusal::new(Code::PlatformDown, &fault.to_string());
            Err(refusal.retry_after(OUTAGE_PAUSE))
        }
        Outcome::Bad(refusal) => Err(refusal),
    }
}

async fn rollout(core: &Arc<Core>, query: Option<&str>) -> Result<Value> {
    let wanted = query.and_then(|query| query.strip_prefix("revision="));
    let revision = match wanted {
        None => core.view().config.revision,
        Some(text) => text
            .parse()
            .map_err(|_| Refusal::new(Code::BadField, "revision isn't a whole number"))?,
    };
    let mut answer = sorted(&config::survey(core, revision).await);
    answer["revision"] = json!(revision);
    Ok(answer)
}

fn sorted(rollout: &Rollout) -> Value {
    json!({ "reached": rollout.reached, "behind": rollout.behind, "silent": rollout.silent })
}

async fn program(core: &Arc<Core>, program: id::Program) -> Result<Value> {
    ask(core, program, operator()?, Body::Inspect).await
}

/// Ends a program in the name of its caller, who may be the one that can't be reached.
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

/// Asks the program's owner, as callers' requests do.
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
        deadline: Some(TELL),
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

/// Collects what all VMs keep of a program's decisions, by time.
async fn explain(core: &Arc<Core>, program: id::Program) -> Value {
    let mut told = vec![own(core, &program)];
    for some in others(core).chunks(ASKED) {
        let mut asks = tokio::task::JoinSet::new();
        for address in some.iter().copied() {
            let (core, tell) = (
                core.clone(),
                Tell {
                    program: program.clone(),
                },
            );
            asks.spawn(async move {
                call::send::<_, Told>(&core, address, peer::EXPLAIN, &tell, TELL).await
            });
        }
        told.extend(asks.join_all().await.into_iter().flatten());
    }
    let mut lines: Vec<(Millis, Value)> = told.iter().flat_map(lines).collect();
    lines.sort_by_key(|(at, _)| *at);
    let decisions: Vec<Value> = lines.into_iter().map(|(_, line)| line).collect();
    json!({ "program": program, "decisions": decisions })
}

fn others(core: &Core) -> Vec<SocketAddr> {
    let view = core.view();
    let others = view
        .peers
        .iter()
        .filter(|peer| peer.up && peer.vm != core.settings.vm.name);
    others.map(|peer| peer.address).collect()
}

fn own(core: &Core, program: &id::Program) -> Told {
    Told {
        vm: core.settings.vm.name.clone(),
        decisions: core.trace.decisions(program),
    }
}

fn lines(told: &Told) -> impl Iterator<Item = (Millis, Value)> {
    told.decisions.iter().map(|decision| {
        let line = json!({
            "at": decision.at,
            "vm": told.vm,
            "turn": decision.turn,
            "event": decision.event,
            "detail": decision.detail,
        });
        (decision.at, line)
    })
}
