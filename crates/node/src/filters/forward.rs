//! Hands an ask to the owner of its program, here or on another VM, and streams the replies back.

mod gone;

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use policy::stop;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use wire::ask::Ask;
use wire::ask::Body;
use wire::ask::Reply;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;
use wire::event::Event;
use wire::frame;
use wire::id;

use crate::core::Core;
use crate::filters::Result;
use crate::filters::answer;
use crate::filters::route;
use crate::filters::route::Hop;
use crate::http;
use crate::http::Response;
use crate::http::body;
use crate::http::body::Parts;
use crate::http::client::Fault;
use crate::http::client::Post;
use crate::http::listen::Room;
use crate::peer;

/// The replies to one ask.
pub type Replies = UnboundedReceiver<Reply>;

/// How often an ask is forwarded at most: entry to the data centre's gate, gate to the owner, and
/// one more for an owner that has just handed the shard over.
pub const MAX_HOPS: u8 = 3;
/// How often a VM looks for the owner anew before it gives an ask back.
const TRIES: u32 = 4;
/// How long a VM waits for news of an owner between tries; a hand-over takes a few of the
/// platform's round trips of some milliseconds.
const PAUSE: Millis = Millis::new(150);
/// What a takeover takes beyond the lease's end: the next round of claims and the claim itself.
/// Seven seconds in all were measured with a lease of five.
const MARGIN: Millis = Millis::new(5_000);
/// When a caller may come again whose shard has no owner: a takeover waits for the lease to end.
const TAKEOVER: Millis = Millis::new(5_000);
/// The type of a body of frames.
const FRAMES: &str = "application/msgpack";

/// Sends an ask to its program's owner.
pub fn ask(core: &Arc<Core>, ask: Ask) -> Replies {
    let (sender, replies) = mpsc::unbounded_channel();
    let view = core.view();
    let (ask, sender) = match route::hop(core, &view, &ask.program) {
        // The usual case needs no task of its own.
        Hop::Here(shard) if core.registry.serves(&shard) => {
            log::info!(
                "{} program={} owner=here shard={shard}",
                Event::RequestRouted,
                ask.program
            );
            match core.registry.ask(&shard, ask, sender) {
                Ok(()) => return replies,
                // The shard went between the look-up and the hand-over.
                Err(back) => *back,
            }
        }
        _ => (ask, sender),
    };
    core.work.spawn(relay(core.clone(), ask, sender));
    replies
}

/// Answers [`peer::ASK`]: an ask of another VM.
pub async fn serve(core: Arc<Core>, request: Request<Incoming>, _room: Room) -> Response {
    let limits = &core.settings.limits;
    let whole = match body::read(request.into_body(), frame::MAX_BODY, limits.receive).await {
        Ok(whole) => whole,
        Err(refusal) => return answer::refuse(&refusal),
    };
    let decoded = frame::decode::<Ask>(&mut BytesMut::from(whole));
    let Ok(Some(mut asked)) = decoded else {
        return answer::refuse(&Refusal::new(Code::BadField, "not a frame with an ask"));
    };
    asked.hops = asked.hops.saturating_add(1);
    let (sender, parts) = mpsc::unbounded_channel();
    let replies = match check_owner(&core, &asked) {
        Ok(()) => ask(&core, asked),
        Err(refusal) => refused(refusal),
    };
    core.work.spawn(encode(replies, sender));
    let body = http_body_util::combinators::BoxBody::new(Parts(parts));
    let mut response = Response::new(body);
    let kind = hyper::header::HeaderValue::from_static(FRAMES);
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    response
}

/// Refuses an ask of another VM that this one could only pass on while it stops: the answer would
/// be cut off when the process ends. The other VM looks for the owner itself.
fn check_owner(core: &Core, ask: &Ask) -> Result<()> {
    let shard = route::shard(&core.settings, &ask.program);
    if core.stop.get().is_none() || core.registry.holds(&shard) {
        return Ok(());
    }
    Err(Refusal::new(Code::ShuttingDown, "").retry_after(PAUSE))
}

fn refused(refusal: Refusal) -> Replies {
    let (sender, replies) = mpsc::unbounded_channel();
    let _received = sender.send(Reply::Refused(refusal));
    replies
}

async fn encode(mut replies: Replies, sender: UnboundedSender<Bytes>) {
    while let Some(reply) = replies.recv().await {
        let Ok(bytes) = frame::encode(&reply) else {
            // The stream ends without its last reply, which the other side takes for a cut.
            return;
        };
        if sender.send(bytes).is_err() {
            return;
        }
    }
}

/// What became of one try to reach the owner.
enum Tried {
    /// The last reply went out, or nobody waits any more.
    Finished,
    /// The ask did not run, and another try may find another owner.
    Elsewhere(Refusal),
    /// The connection broke off after the ask may have arrived; so many replies had come.
    Broken(usize),
}

async fn relay(core: Arc<Core>, ask: Ask, replies: UnboundedSender<Reply>) {
    let mut last = no_owner(&ask);
    let mut arrived = earlier(&ask);
    let mut broken = Ran::No;
    let now = core.clock.now();
    let until = now.plus(patience(&core, &ask));
    let leaves = leaves(&ask, now);
    let mut tries = 0;
    while tries < TRIES {
        match step(&core, &ask, broken, &replies).await {
            Tried::Finished => return,
            Tried::Elsewhere(refusal) => {
                // An owner is on its way: the ask waits for it and isn't given back.
                let waits = is_moving(&refusal) && core.clock.now() < until;
                tries += u32::from(!waits);
                last = refusal;
            }
            Tried::Broken(seen) => {
                arrived = Ran::Unknown;
                if !journal_decides(&core, &ask) {
                    broken = Ran::Unknown;
                }
                last = Refusal::new(Code::ForwardFailed, "").retry_after(PAUSE);
                if seen > 0 || !repeatable(&ask) {
                    break;
                }
                tries += 1;
            }
        }
        await_news(&core, leaves).await;
        if let Some(refusal) = give_up(&core, leaves, &last) {
            last = refusal;
            break;
        }
    }
    // What an earlier try may have started, a later refusal doesn't undo.
    if arrived == Ran::Unknown {
        last = last.ran(Ran::Unknown);
    }
    let _gone = replies.send(Reply::Refused(last));
}

/// Yields how long an ask may wait for an owner: a takeover lasts about one lease. Only the VM that
/// the caller entered waits; the others send the ask back, as it may have been misdirected.
fn patience(core: &Core, ask: &Ask) -> Millis {
    if ask.hops > 0 {
        return Millis::ZERO;
    }
    let takeover = core.settings.platform.lease.plus(MARGIN);
    ask.deadline
        .map_or(takeover, |deadline| deadline.min(takeover))
}

/// Yields when the caller of an ask stops waiting, where this VM is the one that it entered: the ask
/// isn't passed on any more. Another VM's clock says nothing of it.
fn leaves(ask: &Ask, now: Millis) -> Millis {
    let deadline = ask.deadline.filter(|_| ask.hops == 0);
    now.plus(deadline.unwrap_or(Millis::new(u64::MAX)))
}

/// Yields the refusal of an ask that nobody has taken, where its caller's time is over or the process
/// is about to end: passed on then, its answer would come too late.
fn give_up(core: &Core, leaves: Millis, last: &Refusal) -> Option<Refusal> {
    let now = core.clock.now();
    if now >= leaves {
        let refusal = Refusal::new(Code::DeadlineUnmeetable, last.code.text());
        return Some(Refusal {
            retry_after: last.retry_after,
            ..refusal
        });
    }
    let stop = core.stop.get()?;
    let ends = stop.gives_up(now, Some(leaves));
    ends.then(|| Refusal::new(Code::ShuttingDown, "").retry_after(stop::RETRY))
}

/// Tells whether a refusal says that the shard changes hands, or is about to, as its owner doesn't
/// answer.
fn is_moving(refusal: &Refusal) -> bool {
    let moving = [Code::NoOwner, Code::ShuttingDown, Code::ForwardFailed];
    moving.contains(&refusal.code) && refusal.ran == Ran::No
}

/// Tells what a VM that doesn't ask the owner knows of earlier askings of the same call.
///
/// Only the owner's journal tells whether a call with an idempotency key has been sent. The caller
/// of a switching order whose owner died asks again; were it told here that the order did not run,
/// it would give another one, and both would have run.
pub fn earlier(ask: &Ask) -> Ran {
    match &ask.body {
        Body::Call(call) if call.key.is_some() => Ran::Unknown,
        Body::Call(_) | Body::Chat(_) | Body::Create | Body::Show | Body::End | Body::Inspect => {
            Ran::No
        }
    }
}

/// Waits for a change of the view, as it may name a new owner, until `leaves` at the latest.
async fn await_news(core: &Core, leaves: Millis) {
    let mut news = core.view.subscribe();
    let left = leaves.since(core.clock.now());
    let pause = PAUSE.min(left).as_duration();
    let _elapsed = tokio::time::timeout(pause, news.changed()).await;
}

/// Tells whether the order gate makes a second arrival of the ask harmless: the same turn, or the
/// same key, asked again joins the first.
fn repeatable(ask: &Ask) -> bool {
    match &ask.body {
        Body::Chat(chat) => chat.turn.is_some(),
        Body::Call(call) => call.key.is_some(),
        Body::Create | Body::Show | Body::End | Body::Inspect => true,
    }
}

/// Tells whether the next owner knows of a call that an earlier one took: its intent is in the journal
/// before it is sent. Of any other ask that owner sees only that it doesn't run there.
fn journal_decides(core: &Core, ask: &Ask) -> bool {
    let Body::Call(call) = &ask.body else {
        return false;
    };
    let view = core.view();
    view.config
        .runs_at_most_once(call.service.as_str(), &call.operation)
}

fn no_owner(ask: &Ask) -> Refusal {
    Refusal::new(Code::NoOwner, ask.program.as_str()).retry_after(TAKEOVER)
}

/// Makes one try; `broken` is what earlier ones that broke off leave unknown.
async fn step(core: &Arc<Core>, ask: &Ask, broken: Ran, replies: &UnboundedSender<Reply>) -> Tried {
    let view = core.view();
    match route::hop(core, &view, &ask.program) {
        Hop::Here(shard) => here(core, ask, &shard, broken, replies).await,
        Hop::There(..) if ask.hops >= MAX_HOPS => Tried::Elsewhere(no_owner(ask)),
        Hop::There(vm, address) => {
            log::info!(
                "{} program={} owner={vm} hops={}",
                Event::RequestRouted,
                ask.program,
                ask.hops
            );
            let next = Next {
                vm,
                address: address.to_string(),
            };
            there(core, ask, &next, broken, replies).await
        }
        Hop::NoOwner(_) => Tried::Elsewhere(no_owner(ask)),
        Hop::Unreachable(centre) => {
            let refusal = Refusal::new(Code::HomeUnreachable, centre.as_str());
            Tried::Elsewhere(refusal.retry_after(TAKEOVER))
        }
    }
}

/// Hands an ask to this VM's own actor and passes its replies on.
async fn here(
    core: &Core,
    ask: &Ask,
    shard: &id::Shard,
    broken: Ran,
    replies: &UnboundedSender<Reply>,
) -> Tried {
    let (sender, mut received) = mpsc::unbounded_channel();
    if core.registry.ask(shard, ask.clone(), sender).is_err() {
        return Tried::Elsewhere(no_owner(ask));
    }
    let mut seen = 0;
    while let Some(reply) = received.recv().await {
        match pass(reply, seen, broken, replies) {
            Some(tried) => return tried,
            None => seen += 1,
        }
    }
    Tried::Broken(seen)
}

/// The VM that an ask is sent to.
struct Next {
    vm: id::Vm,
    address: String,
}

/// Sends an ask to another VM and passes its replies on.
async fn there(
    core: &Arc<Core>,
    ask: &Ask,
    next: &Next,
    broken: Ran,
    replies: &UnboundedSender<Reply>,
) -> Tried {
    let Ok(body) = frame::encode(ask) else {
        let refusal = Refusal::new(Code::BodyTooLarge, "").ran(broken);
        let _gone = replies.send(Reply::Refused(refusal));
        return Tried::Finished;
    };
    let post = Post {
        address: &next.address,
        path: peer::ASK,
        kind: FRAMES,
        headers: &[],
        body,
    };
    let response = tokio::select! {
        response = core.client.post(post) => response,
        () = gone::gone(core, ask, &next.vm) => return Tried::Broken(0),
    };
    let mut incoming = match response {
        Ok(response) if response.status().is_success() => response.into_body(),
        Err(Fault::NotSent(detail)) => {
            return Tried::Elsewhere(Refusal::new(Code::ForwardFailed, &detail).retry_after(PAUSE));
        }
        Ok(_) | Err(Fault::Broken(_)) => return Tried::Broken(0),
    };
    let mut buffer = BytesMut::new();
    let mut seen = 0;
    loop {
        match frame::decode::<Reply>(&mut buffer) {
            Ok(Some(reply)) => match pass(reply, seen, broken, replies) {
                Some(tried) => return tried,
                None => seen += 1,
            },
            Ok(None) => {
                let part = tokio::select! {
                    part = incoming.frame() => part,
                    () = gone::gone(core, ask, &next.vm) => return Tried::Broken(seen),
                };
                let Some(Ok(part)) = part else {
                    return Tried::Broken(seen);
                };
                buffer.extend_from_slice(part.data_ref().map_or(&[], |d| d));
            }
            Err(_) => return Tried::Broken(seen),
        }
    }
}

/// Passes one reply on; tells what became of the try where it was the last.
///
/// An owner that refuses speaks of its own try only. Passed on as it is, its "no" would cover an
/// earlier owner's run, and the caller might have the work done twice: it is raised to `broken`.
fn pass(reply: Reply, seen: usize, broken: Ran, replies: &UnboundedSender<Reply>) -> Option<Tried> {
    let last = !matches!(reply, Reply::Delta(_));
    if let Reply::Refused(refusal) = &reply
        && is_moving(refusal)
        && seen == 0
    {
        return Some(Tried::Elsewhere(refusal.clone()));
    }
    if let Reply::Refused(refusal) = &reply
        && refusal.code == Code::OwnerLost
        && refusal.ran == Ran::Unknown
        && seen == 0
    {
        // The next owner knows from the journal what became of it.
        return Some(Tried::Broken(seen));
    }
    let reply = match reply {
        Reply::Refused(refusal) if refusal.ran == Ran::No => Reply::Refused(refusal.ran(broken)),
        reply => reply,
    };
    let gone = replies.send(reply).is_err();
    (last || gone).then_some(Tried::Finished)
}

/// Answers a controllers' path of another VM.
#[must_use]
pub fn frames(body: Bytes) -> Response {
    http::whole(200, FRAMES, body)
}

#[cfg(test)]
mod tests;
