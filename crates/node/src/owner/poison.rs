//! The contents that this VM refuses because they crash the endpoints that run them.
//!
//! A caller that repeats a request without naming a program gets a new program, perhaps in another
//! shard or through another VM. So what an endpoint was running when it crashed is told to all VMs,
//! and each decides by `policy::crash`. A shard's journal also contains the contents that the shard
//! refuses for good; those are told as such. All of this is kept in memory only: a VM that missed it
//! learns of the content from the next crashes.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use bytes::BytesMut;
use policy::crash::Content;
use policy::crash::Incarnation;
use policy::crash::Ledger;
use policy::crash::Outcome;
use policy::crash::Report;
use policy::crash::Scope;
use policy::crash::Verdict;
use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;
use wire::frame;
use wire::id;

use crate::core::Core;
use crate::http::client::Post;
use crate::peer;

/// The most contents kept; the oldest is dropped first. Such requests are rare, so a thousand
/// entries outlast every caller's retries.
const MAX_CONTENTS: usize = 1_024;
/// Timeout for notifying another VM of a content.
const NOTIFY_TIMEOUT: Millis = Millis::new(1_000);
/// An endpoint that hasn't answered since its last crash has crashed again if its connections break
/// this long after the last one did; sooner, it may not be back yet.
const CRASH_SPAN: Millis = Millis::new(500);

/// What tells the digest of a body from that of a content.
const BODY_MARK: u128 = 1 << 64;

/// The contents that this VM refuses.
#[derive(Debug, Default)]
pub struct Poison(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// Contents that are refused permanently, sorted, with the time at which this VM added each.
    refused: Vec<(id::Digest, Millis)>,
    /// Crashes of endpoints and the contents that they were running.
    ledger: Ledger,
    /// The endpoints that have crashed and not answered this VM since, sorted by endpoint.
    crashed: Vec<Crash>,
}

#[derive(Debug)]
struct Crash {
    endpoint: id::Endpoint,
    incarnation: Incarnation,
    /// When a connection to it last broke.
    at: Millis,
}

/// What endpoints crash under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Subject {
    /// The content: of a turn with its program's history.
    pub content: id::Digest,
    /// The new messages of a turn, whatever history they follow. `None` for a call.
    pub body: Option<id::Digest>,
}

/// What one VM tells another of a content that an endpoint was running.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Notice {
    content: id::Digest,
    #[serde(default)]
    body: Option<id::Digest>,
    /// The endpoint's life that ended; `None` if it ran the content to its end.
    crashed: Option<u64>,
}

impl Poison {
    /// Returns whether a content is refused permanently.
    #[must_use]
    pub fn contains(&self, content: id::Digest) -> bool {
        let state = self.lock();
        let known = &state.refused;
        known.binary_search_by_key(&content, |(c, _)| *c).is_ok()
    }

    /// Returns whether a content is refused, or its body is whatever history it follows.
    #[must_use]
    pub fn refuses(&self, subject: Subject) -> bool {
        if self.contains(subject.content) {
            return true;
        }
        let state = self.lock();
        let verdict = state.ledger.verdict(key(subject.content), subject.wider());
        verdict != Verdict::Allowed
    }

    /// Adds a content that is refused permanently; drops the oldest one if there are too many.
    pub fn add(&self, content: id::Digest, now: Millis) {
        let known = &mut self.lock().refused;
        if let Err(at) = known.binary_search_by_key(&content, |(c, _)| *c) {
            known.insert(at, (content, now));
        }
        if known.len() > MAX_CONTENTS {
            let oldest = known.iter().enumerate().min_by_key(|(_, (_, at))| *at);
            if let Some((at, _)) = oldest {
                known.remove(at);
            }
        }
    }

    /// Records what an endpoint did with a content, and returns whether that is news.
    fn note(&self, subject: Subject, outcome: Outcome, now: Millis) -> bool {
        let report = Report {
            content: key(subject.content),
            wider: subject.wider(),
            outcome,
            age: Millis::ZERO,
        };
        let mut state = self.lock();
        state.ledger.forget_old(now);
        state.ledger.note(report, now)
    }

    /// Records that an endpoint answers.
    fn note_answer(&self, endpoint: &id::Endpoint) {
        let mut state = self.lock();
        if let Ok(index) = state.find_crashed(endpoint) {
            state.crashed.remove(index);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the life of an endpoint whose connection broke in a crash.
    fn incarnation(&mut self, endpoint: &id::Endpoint, now: Millis) -> Incarnation {
        let index = self.find_crashed(endpoint).unwrap_or_else(|index| {
            let crash = Crash {
                endpoint: endpoint.clone(),
                incarnation: Incarnation(rand::random()),
                at: now,
            };
            self.crashed.insert(index, crash);
            index
        });
        let crash = &mut self.crashed[index];
        if now.since(crash.at) >= CRASH_SPAN {
            crash.incarnation = Incarnation(rand::random());
        }
        crash.at = now;
        crash.incarnation
    }

    fn find_crashed(&self, endpoint: &id::Endpoint) -> Result<usize, usize> {
        self.crashed
            .binary_search_by(|crash| crash.endpoint.cmp(endpoint))
    }
}

/// Records that an endpoint crashed while it ran a content, and tells all VMs. Returns whether the
/// content is refused from now on.
pub fn note_crash(core: &Arc<Core>, subject: Subject, endpoint: &id::Endpoint) -> bool {
    let now = core.clock.now();
    let incarnation = core.poison.lock().incarnation(endpoint, now);
    core.poison
        .note(subject, Outcome::Crashed(incarnation), now);
    tell_notice(core, subject, Some(incarnation.0));
    core.poison.refuses(subject)
}

/// Records that an endpoint ran a content to its end. If that clears the content of a crash, tells all
/// VMs.
pub fn note_completed(core: &Arc<Core>, subject: Subject, endpoint: &id::Endpoint) {
    let now = core.clock.now();
    core.poison.note_answer(endpoint);
    if core.poison.note(subject, Outcome::Completed, now) {
        tell_notice(core, subject, None);
    }
}

fn tell_notice(core: &Arc<Core>, subject: Subject, crashed: Option<u64>) {
    let Subject { content, body } = subject;
    let notice = Notice {
        content,
        body,
        crashed,
    };
    if let Ok(frame) = frame::encode(&notice) {
        tell_all(core, peer::CRASH, &frame);
    }
}

/// Marks a content as refused permanently on this VM and tells all VMs.
pub fn mark(core: &Arc<Core>, content: id::Digest) {
    core.poison.add(content, core.clock.now());
    if let Ok(body) = frame::encode(&content) {
        tell_all(core, peer::POISON, &body);
    }
}

fn tell_all(core: &Arc<Core>, path: &'static str, body: &Bytes) {
    let own = &core.settings.vm;
    let view = core.view();
    let others = view.peers.iter().filter(|p| p.vm != own.name && p.up);
    for other in others {
        let (core, body) = (core.clone(), body.clone());
        let address = other.address.to_string();
        core.clone()
            .tasks
            .spawn(async move { notify(&core, &address, path, body).await });
    }
}

async fn notify(core: &Core, address: &str, path: &str, body: Bytes) {
    let post = Post {
        address,
        path,
        content_type: "application/msgpack",
        headers: &[],
        body,
    };
    let _unreached =
        tokio::time::timeout(NOTIFY_TIMEOUT.as_duration(), core.client.post(post)).await;
}

/// Handles [`peer::POISON`]. Returns `None` if the body isn't a frame.
pub fn serve(core: &Core, body: Bytes) -> Option<Bytes> {
    let content = frame::decode::<id::Digest>(&mut BytesMut::from(body)).ok()??;
    core.poison.add(content, core.clock.now());
    frame::encode(&()).ok()
}

/// Handles [`peer::CRASH`]. Returns `None` if the body isn't a frame.
pub fn serve_crash(core: &Core, body: Bytes) -> Option<Bytes> {
    let notice = frame::decode::<Notice>(&mut BytesMut::from(body)).ok()??;
    let crashed = notice.crashed.map(Incarnation);
    let outcome = crashed.map_or(Outcome::Completed, Outcome::Crashed);
    let subject = Subject {
        content: notice.content,
        body: notice.body,
    };
    core.poison.note(subject, outcome, core.clock.now());
    frame::encode(&()).ok()
}

impl Subject {
    /// Returns what the content is a part of. A turn has no resource but the service that all share, so
    /// its body stands for that.
    fn wider(self) -> Option<Scope> {
        let body = Content(u128::from(self.body?.0) | BODY_MARK);
        Some(Scope {
            body,
            resource: body,
        })
    }
}

fn key(content: id::Digest) -> Content {
    Content(u128::from(content.0))
}

#[cfg(test)]
mod tests;
