//! Parses a caller's HTTP request into typed values. Invalid requests are refused here, before
//! anything runs.

use std::str::FromStr;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::header::AUTHORIZATION;
use hyper::http::request::Parts;
use settings::vm::Limits;
use wire::ask::Call;
use wire::chat;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;
use wire::id;

use crate::filters::Result;
use crate::filters::header;
use crate::http::body::Reader;
use crate::http::listen::MAX_HEADERS;

/// The prefix of the paths for service calls.
const SERVICES_PREFIX: &str = "/v1/services/";
/// The valid roles of a message. A model answers a message with another role all the same, and the
/// stored history then holds a message whose author is unclear.
const ROLES: [&str; 6] = [
    "system",
    "developer",
    "user",
    "assistant",
    "tool",
    "function",
];

/// A caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Parsed {
    /// The digest of the bearer token.
    pub token: Option<id::Digest>,
    /// The program that the caller names.
    pub program: Option<id::Program>,
    /// The turn that the caller names.
    pub turn: Option<u32>,
    /// The idempotency key.
    pub key: Option<id::Key>,
    /// How long the caller waits.
    pub deadline: Option<Millis>,
    /// What the caller requests.
    pub action: Action,
}

/// What a caller requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run a chat completion.
    Chat(chat::Request),
    /// Call a service.
    Call(Call),
    /// Create a program.
    Create,
    /// Show a program.
    Show,
    /// End a program.
    End,
    /// List the models.
    Models,
    /// Health probe: whether the process works.
    Health,
    /// Readiness probe: whether the VM accepts requests.
    Ready,
}

/// Parses a request.
///
/// # Errors
///
/// Refuses an unknown path or method, headers or a body over their limits, a body that arrives too
/// slowly, invalid JSON and values that aren't allowed.
pub async fn parse(limits: &Limits, head: &Parts, body: &mut Reader) -> Result<Parsed> {
    let length: usize = head
        .headers
        .iter()
        .map(|(n, v)| n.as_str().len() + v.len())
        .sum();
    if length + head.uri.path().len() > MAX_HEADERS {
        let detail = format!("at most {MAX_HEADERS} bytes");
        return Err(Refusal::new(Code::HeadersTooLarge, &detail));
    }
    let segments: Vec<&str> = head.uri.path().split('/').skip(1).collect();
    let path = path(&head.method, &segments)?;
    let mut program = optional::<id::Program>(&head.headers, header::PROGRAM, parse_id!(Program))?;
    if let Path::Program(named, _) = &path {
        program = Some(named.clone());
    }
    let body = body.read(limits.body, limits.receive).await?;
    let action = action(path, body, &mut program)?;
    Ok(Parsed {
        token: token(&head.headers),
        program,
        turn: optional(&head.headers, header::TURN, turn)?,
        key: optional::<id::Key>(&head.headers, header::KEY, parse_id!(Key))?,
        deadline: optional(&head.headers, header::DEADLINE, millis)?,
        action,
    })
}

/// Returns whether an earlier request for the same call may have run, as far as the headers tell.
/// Does for an unparsed request what [`crate::filters::forward::earlier_run`] does for a parsed
/// one.
#[must_use]
pub fn earlier_run(head: &Parts) -> Ran {
    let keyed = head.headers.contains_key(header::KEY);
    if keyed && head.uri.path().starts_with(SERVICES_PREFIX) {
        Ran::Unknown
    } else {
        Ran::No
    }
}

macro_rules! parse_id {
    ($name:ident) => {
        |text: &str| id::$name::parse(text).map_err(|fault| fault.to_string())
    };
}
use parse_id;

/// A known path with its parameters.
enum Path {
    Chat,
    Models,
    Create,
    Program(id::Program, Action),
    Call(id::Service, String),
    Probe(Action),
}

fn path(method: &Method, segments: &[&str]) -> Result<Path> {
    let known = match *segments {
        ["v1", "chat", "completions"] => (&Method::POST, Path::Chat),
        ["v1", "models"] => (&Method::GET, Path::Models),
        ["v1", "programs"] => (&Method::POST, Path::Create),
        ["v1", "programs", program] => {
            let program = id::Program::parse(program).map_err(|f| bad_field("program", f))?;
            if *method == Method::DELETE {
                return Ok(Path::Program(program, Action::End));
            }
            (&Method::GET, Path::Program(program, Action::Show))
        }
        ["v1", "services", service, operation] => {
            let service = id::Service::parse(service).map_err(|f| bad_field("service", f))?;
            // Operations are limited to the characters of service names, so that an operation can't
            // leave its path segment.
            id::Service::parse(operation).map_err(|f| bad_field("operation", f))?;
            (&Method::POST, Path::Call(service, operation.to_owned()))
        }
        ["health"] => (&Method::GET, Path::Probe(Action::Health)),
        ["ready"] => (&Method::GET, Path::Probe(Action::Ready)),
        _ => return Err(Refusal::new(Code::UnknownPath, "")),
    };
    if method != known.0 {
        return Err(Refusal::new(Code::BadMethod, method.as_str()));
    }
    Ok(known.1)
}

fn action(path: Path, content: Bytes, program: &mut Option<id::Program>) -> Result<Action> {
    match path {
        Path::Chat => Ok(Action::Chat(chat(&content)?)),
        Path::Models => Ok(Action::Models),
        Path::Create => {
            if !content.trim_ascii().is_empty() {
                *program = create(&content)?.or(program.take());
            }
            Ok(Action::Create)
        }
        Path::Call(service, operation) => Ok(Action::Call(Call {
            service,
            operation,
            key: None,
            body: content,
        })),
        Path::Program(_, action) | Path::Probe(action) => Ok(action),
    }
}

fn chat(body: &[u8]) -> Result<chat::Request> {
    let request: chat::Request = serde_json::from_slice(body).map_err(|f| bad_json(&f))?;
    if request.messages.is_empty() {
        return Err(bad_field("messages", "at least one message"));
    }
    let unknown = |message: &&chat::Message| !ROLES.contains(&message.role.as_str());
    if let Some(message) = request.messages.iter().find(unknown) {
        let text = format!("{:?} isn't one of {}", message.role, ROLES.join(", "));
        return Err(bad_field("messages.role", text));
    }
    if request.max_tokens == Some(0) {
        return Err(bad_field("max_tokens", "at least 1"));
    }
    if request.rest.get("n").is_some_and(|n| n.as_u64() != Some(1)) {
        return Err(bad_field("n", "only 1"));
    }
    Ok(request)
}

fn create(body: &[u8]) -> Result<Option<id::Program>> {
    #[derive(serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Create {
        program: Option<id::Program>,
    }
    let create: Create = serde_json::from_slice(body).map_err(|f| bad_json(&f))?;
    Ok(create.program)
}

fn token(headers: &HeaderMap) -> Option<id::Digest> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return None;
    }
    Some(id::Digest::of(token.trim().as_bytes()))
}

/// Parses an optional header.
fn optional<T>(
    headers: &HeaderMap,
    name: &str,
    parse: impl Fn(&str) -> std::result::Result<T, String>,
) -> Result<Option<T>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|f| bad_field(name, f))?;
    parse(text)
        .map(Some)
        .map_err(|fault| bad_field(name, fault))
}

fn turn(text: &str) -> std::result::Result<u32, String> {
    match u32::from_str(text) {
        Ok(turn) if turn > 0 => Ok(turn),
        _ => Err("a number from 1".to_owned()),
    }
}

fn millis(text: &str) -> std::result::Result<Millis, String> {
    let parsed = u64::from_str(text).map(Millis::new);
    parsed.map_err(|_| "a number of milliseconds".to_owned())
}

fn bad_field(name: &str, fault: impl std::fmt::Display) -> Refusal {
    Refusal::new(Code::BadField, &format!("{name}: {fault}"))
}

fn bad_json(fault: &serde_json::Error) -> Refusal {
    Refusal::new(Code::BadJson, &fault.to_string())
}

#[cfg(test)]
mod tests;
