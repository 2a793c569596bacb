//! Sends an [`Ask`] to the owner of its program, on this VM or another, and streams the replies
//! back.

mod owner_loss;

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
use crate::http::body::Channel;
use crate::http::client::Fault;
use crate::http::client::Post;
use crate::http::listen::Admission;
use crate::peer;

/// The replies to one ask.
pub type Replies = UnboundedReceiver<Reply>;

/// The maximum number of hops between VMs: from the entry VM to a VM of the program's data centre,
/// from there to the owner, and one more when that owner has just handed the shard over.
pub const MAX_HOPS: u8 = 3;
/// How many times a VM tries to reach an owner before it refuses an ask.
const MAX_TRIES: u32 = 4;
/// How long a VM waits for a change of the view between tries. A handover takes a few round trips
/// to the platform, of a few milliseconds each.
const RETRY_PAUSE: Millis = Millis::new(150);
/// An upper limit for the time from the end of the lease to the end of a takeover: the next round
/// of claims and the claim itself. With a lease of 5 s, a takeover takes 7 s in all.
const TAKEOVER_MARGIN: Millis = Millis::new(5_000);
/// The `retry-after` of a request whose shard has no owner: a takeover waits for the lease to end.
const NO_OWNER_RETRY_AFTER: Millis = Millis::new(5_000);
/// The content type of a body of frames.
const CONTENT_TYPE: &str = "application/msgpack";

/// Sends an ask to its program's owner.
pub fn ask(core: &Arc<Core>, ask: Ask) -> Replies {
    let (sender, replies) = mpsc::unbounded_channel();
    let view = core.view();
    let (ask, sender) = match route::next_hop(core, &view, &ask.program) {
        // The usual case: the replies come straight from the local actor, without another task.
        Hop::Local(shard) if core.registry.serves(&shard) => {
            log::info!(
                "{} program={} owner=here shard={shard}",
                Event::RequestRouted,
                ask.program
            );
            match core.registry.ask(&shard, ask, sender) {
                Ok(()) => return replies,
                // The shard was lost between the look-up and the ask.
                Err(returned) => *returned,
            }
        }
        _ => (ask, sender),
    };
    core.work.spawn(forward(core.clone(), ask, sender));
    replies
}

/// Serves [`peer::ASK`]: an ask from another VM.
pub async fn serve(core: Arc<Core>, request: Request<Incoming>, _room: Admission) -> Response {
    let limits = &core.settings.limits;
    let body = match body::read(request.into_body(), frame::MAX_BODY, limits.receive).await {
        Ok(body) => body,
        Err(refusal) => return answer::refuse(&refusal),
    };
    let decoded = frame::decode::<Ask>(&mut BytesMut::from(body));
    let Ok(Some(mut asked)) = decoded else {
        return answer::refuse(&Refusal::new(
            Code::BadField,
            "the body isn't a frame with an ask",
        ));
    };
    asked.hops = asked.hops.saturating_add(1);
    let (sender, chunks) = mpsc::unbounded_channel();
    let replies = match check_owner(&core, &asked) {
        Ok(()) => ask(&core, asked),
        Err(refusal) => refused(refusal),
    };
    core.work.spawn(encode(replies, sender));
    let body = http_body_util::combinators::BoxBody::new(Channel(chunks));
    let mut response = Response::new(body);
    let content_type = hyper::header::HeaderValue::from_static(CONTENT_TYPE);
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

/// Refuses an ask from another VM when this VM is stopping and doesn't own the shard: the answer
/// that it forwards would be cut off when the process ends. The other VM looks for the owner
/// itself.
fn check_owner(core: &Core, ask: &Ask) -> Result<()> {
    let shard = route::shard(&core.settings, &ask.program);
    if core.stop.get().is_none() || core.registry.holds(&shard) {
        return Ok(());
    }
    Err(Refusal::new(Code::ShuttingDown, "").retry_after(RETRY_PAUSE))
}

fn refused(refusal: Refusal) -> Replies {
    let (sender, replies) = mpsc::unbounded_channel();
    let _received = sender.send(Reply::Refused(refusal));
    replies
}

async fn encode(mut replies: Replies, sender: UnboundedSender<Bytes>) {
    while let Some(reply) = replies.recv().await {
        let Ok(bytes) = frame::encode(&reply) else {
            // The stream ends without a last reply, which the receiver treats as a broken
            // connection.
            return;
        };
        if sender.send(bytes).is_err() {
            return;
        }
    }
}

/// The outcome of one try to reach the owner.
enum Outcome {
    /// The last reply was sent on, or the receiver has gone.
    Finished,
    /// The ask didn't run, and another try may find another owner.
    NotRun(Refusal),
    /// The connection broke after the ask may have arrived. Holds the number of replies received.
    Broken(usize),
}

async fn forward(core: Arc<Core>, ask: Ask, replies: UnboundedSender<Reply>) {
    let mut last = no_owner(&ask);
    let mut ran = earlier_run(&ask);
    let mut broken = Ran::No;
    let now = core.clock.now();
    let owner_deadline = now.plus(max_owner_wait(&core, &ask));
    let caller_deadline = caller_deadline(&ask, now);
    let mut tries = 0;
    while tries < MAX_TRIES {
        match try_owner(&core, &ask, broken, &replies).await {
            Outcome::Finished => return,
            Outcome::NotRun(refusal) => {
                // The shard is changing owners: waiting for the next one doesn't count as a try.
                let waits = is_changing_owner(&refusal) && core.clock.now() < owner_deadline;
                tries += u32::from(!waits);
                last = refusal;
            }
            Outcome::Broken(seen) => {
                ran = Ran::Unknown;
                if !is_journaled(&core, &ask) {
                    broken = Ran::Unknown;
                }
                last = Refusal::new(Code::ForwardFailed, "").retry_after(RETRY_PAUSE);
                if seen > 0 || !is_repeatable(&ask) {
                    break;
                }
                tries += 1;
            }
        }
        wait_for_view_change(&core, caller_deadline).await;
        if let Some(refusal) = refuse_expired(&core, caller_deadline, &last) {
            last = refusal;
            break;
        }
    }
    // The refusal of a later try doesn't undo what an earlier try may have started.
    if ran == Ran::Unknown {
        last = last.ran(Ran::Unknown);
    }
    let _gone = replies.send(Reply::Refused(last));
}

/// Returns how long an ask may wait for an owner: for the longest takeover, which is the lease plus
/// [`TAKEOVER_MARGIN`], or until the caller's deadline if that is earlier. Only the entry VM waits.
/// The others refuse the ask at once, because it may have been sent to the wrong VM.
fn max_owner_wait(core: &Core, ask: &Ask) -> Millis {
    if ask.hops > 0 {
        return Millis::ZERO;
    }
    let takeover = core.settings.platform.lease.plus(TAKEOVER_MARGIN);
    ask.deadline
        .map_or(takeover, |deadline| deadline.min(takeover))
}

/// Returns when the caller of an ask stops waiting; the ask isn't forwarded after that. Only the
/// entry VM knows this, because the deadline counts from the request's arrival there. On other VMs,
/// the time returned is never reached.
fn caller_deadline(ask: &Ask, now: Millis) -> Millis {
    let deadline = ask.deadline.filter(|_| ask.hops == 0);
    now.plus(deadline.unwrap_or(Millis::new(u64::MAX)))
}

/// Returns the refusal for an ask that no owner has accepted if its caller's deadline has passed or
/// the process is about to end. An answer would come too late.
fn refuse_expired(core: &Core, caller_deadline: Millis, last: &Refusal) -> Option<Refusal> {
    let now = core.clock.now();
    if now >= caller_deadline {
        let refusal = Refusal::new(Code::DeadlineUnmeetable, last.code.text());
        return Some(Refusal {
            retry_after: last.retry_after,
            ..refusal
        });
    }
    let stop = core.stop.get()?;
    let expired = stop.gives_up(now, Some(caller_deadline));
    expired.then(|| Refusal::new(Code::ShuttingDown, "").retry_after(stop::RETRY))
}

/// Returns whether a refusal means that the shard is changing owners, or is about to because its
/// owner doesn't answer.
fn is_changing_owner(refusal: &Refusal) -> bool {
    let changing = [Code::NoOwner, Code::ShuttingDown, Code::ForwardFailed];
    changing.contains(&refusal.code) && refusal.ran == Ran::No
}

/// Returns whether an earlier request for the same call may have run, as far as a VM knows without
/// asking the owner.
///
/// Only the owner's journal records whether a call with an idempotency key has been sent. A caller
/// whose owner died sends its call again. If the refusal here said that the call didn't run, the
/// caller would send it under another key, and both would have run.
pub fn earlier_run(ask: &Ask) -> Ran {
    match &ask.body {
        Body::Call(call) if call.key.is_some() => Ran::Unknown,
        Body::Call(_) | Body::Chat(_) | Body::Create | Body::Show | Body::End | Body::Inspect => {
            Ran::No
        }
    }
}

/// Waits for a change of the view, which may name a new owner, for at most [`RETRY_PAUSE`] and
/// until `caller_deadline` at the latest.
async fn wait_for_view_change(core: &Core, caller_deadline: Millis) {
    let mut view = core.view.subscribe();
    let remaining = caller_deadline.since(core.clock.now());
    let pause = RETRY_PAUSE.min(remaining).as_duration();
    let _elapsed = tokio::time::timeout(pause, view.changed()).await;
}

/// Returns whether the ask may be sent to an owner twice: the owner joins a second ask for the same
/// turn or the same key to the first.
fn is_repeatable(ask: &Ask) -> bool {
    match &ask.body {
        Body::Chat(chat) => chat.turn.is_some(),
        Body::Call(call) => call.key.is_some(),
        Body::Create | Body::Show | Body::End | Body::Inspect => true,
    }
}

/// Returns whether the next owner knows of a call that an earlier owner accepted, because its
/// intent is journaled before the call is sent. For any other ask, the next owner knows only that
/// it isn't running there.
fn is_journaled(core: &Core, ask: &Ask) -> bool {
    let Body::Call(call) = &ask.body else {
        return false;
    };
    let view = core.view();
    view.config
        .runs_at_most_once(call.service.as_str(), &call.operation)
}

fn no_owner(ask: &Ask) -> Refusal {
    Refusal::new(Code::NoOwner, ask.program.as_str()).retry_after(NO_OWNER_RETRY_AFTER)
}

/// Tries once to reach the owner. `broken` is [`Ran::Unknown`] if an earlier try broke off and may
/// have run the ask.
async fn try_owner(
    core: &Arc<Core>,
    ask: &Ask,
    broken: Ran,
    replies: &UnboundedSender<Reply>,
) -> Outcome {
    let view = core.view();
    match route::next_hop(core, &view, &ask.program) {
        Hop::Local(shard) => ask_local(core, ask, &shard, broken, replies).await,
        Hop::Remote(..) if ask.hops >= MAX_HOPS => Outcome::NotRun(no_owner(ask)),
        Hop::Remote(vm, address) => {
            log::info!(
                "{} program={} owner={vm} hops={}",
                Event::RequestRouted,
                ask.program,
                ask.hops
            );
            let target = Target {
                vm,
                address: address.to_string(),
            };
            ask_remote(core, ask, &target, broken, replies).await
        }
        Hop::NoOwner(_) => Outcome::NotRun(no_owner(ask)),
        Hop::Unreachable(centre) => {
            let refusal = Refusal::new(Code::HomeUnreachable, centre.as_str());
            Outcome::NotRun(refusal.retry_after(NO_OWNER_RETRY_AFTER))
        }
    }
}

/// Sends an ask to the shard's actor on this VM and forwards its replies.
async fn ask_local(
    core: &Core,
    ask: &Ask,
    shard: &id::Shard,
    broken: Ran,
    replies: &UnboundedSender<Reply>,
) -> Outcome {
    let (sender, mut received) = mpsc::unbounded_channel();
    if core.registry.ask(shard, ask.clone(), sender).is_err() {
        return Outcome::NotRun(no_owner(ask));
    }
    let mut seen = 0;
    while let Some(reply) = received.recv().await {
        match forward_reply(reply, seen, broken, replies) {
            Some(outcome) => return outcome,
            None => seen += 1,
        }
    }
    Outcome::Broken(seen)
}

/// The VM that an ask is sent to.
struct Target {
    vm: id::Vm,
    address: String,
}

/// Sends an ask to another VM and forwards its replies.
async fn ask_remote(
    core: &Arc<Core>,
    ask: &Ask,
    target: &Target,
    broken: Ran,
    replies: &UnboundedSender<Reply>,
) -> Outcome {
    let Ok(body) = frame::encode(ask) else {
        let refusal = Refusal::new(Code::BodyTooLarge, "").ran(broken);
        let _gone = replies.send(Reply::Refused(refusal));
        return Outcome::Finished;
    };
    let post = Post {
        address: &target.address,
        path: peer::ASK,
        content_type: CONTENT_TYPE,
        headers: &[],
        body,
    };
    let response = tokio::select! {
        response = core.client.post(post) => response,
        () = owner_loss::detect(core, ask, &target.vm) => return Outcome::Broken(0),
    };
    let mut incoming = match response {
        Ok(response) if response.status().is_success() => response.into_body(),
        Err(Fault::NotSent(detail)) => {
            return Outcome::NotRun(
                Refusal::new(Code::ForwardFailed, &detail).retry_after(RETRY_PAUSE),
            );
        }
        Ok(_) | Err(Fault::Broken(_) | Fault::Garbled(_)) => return Outcome::Broken(0),
    };
    let mut buffer = BytesMut::new();
    let mut seen = 0;
    loop {
        match frame::decode::<Reply>(&mut buffer) {
            Ok(Some(reply)) => match forward_reply(reply, seen, broken, replies) {
                Some(outcome) => return outcome,
                None => seen += 1,
            },
            Ok(None) => {
                let chunk = tokio::select! {
                    chunk = incoming.frame() => chunk,
                    () = owner_loss::detect(core, ask, &target.vm) => return Outcome::Broken(seen),
                };
                let Some(Ok(chunk)) = chunk else {
                    return Outcome::Broken(seen);
                };
                buffer.extend_from_slice(chunk.data_ref().map_or(&[], |d| d));
            }
            Err(_) => return Outcome::Broken(seen),
        }
    }
}

/// Forwards one reply, and returns the outcome of the try if the reply was the last one.
///
/// An owner that refuses with [`Ran::No`] knows only of its own try. Forwarded unchanged, that
/// would hide that an earlier owner may have run the ask, and the caller might have the work done
/// twice. [`Ran::No`] is therefore replaced by `broken`.
fn forward_reply(
    reply: Reply,
    seen: usize,
    broken: Ran,
    replies: &UnboundedSender<Reply>,
) -> Option<Outcome> {
    let last = !matches!(reply, Reply::Delta(_));
    if let Reply::Refused(refusal) = &reply
        && is_changing_owner(refusal)
        && seen == 0
    {
        return Some(Outcome::NotRun(refusal.clone()));
    }
    if let Reply::Refused(refusal) = &reply
        && refusal.code == Code::OwnerLost
        && refusal.ran == Ran::Unknown
        && seen == 0
    {
        // The next owner learns the ask's outcome from the journal.
        return Some(Outcome::Broken(seen));
    }
    let reply = match reply {
        Reply::Refused(refusal) if refusal.ran == Ran::No => Reply::Refused(refusal.ran(broken)),
        reply => reply,
    };
    let gone = replies.send(reply).is_err();
    (last || gone).then_some(Outcome::Finished)
}

/// Returns a response whose body is an encoded frame, for another VM's request.
#[must_use]
pub fn frame_response(body: Bytes) -> Response {
    http::response(200, CONTENT_TYPE, body)
}

#[cfg(test)]
mod tests;
