//! The listener for VMs. Bodies are [`wire::frame`] frames, whole or in a stream.

use std::sync::Arc;

use hyper::Request;
use hyper::body::Incoming;
use wire::code::Code;
use wire::code::Refusal;
use wire::frame;

use crate::controllers;
use crate::core::Core;
use crate::filters::answer;
use crate::filters::forward;
use crate::http::Response;
use crate::http::body;
use crate::http::listen::Room;
use crate::operate;
use crate::owner::poison;

/// Takes a [`wire::ask::Ask`], streams [`wire::ask::Reply`] frames.
pub const ASK: &str = "/peer/ask";
/// Takes a heartbeat with a digest of what the sender knows, answers the receiver's.
pub const BEAT: &str = "/peer/beat";
/// Answers the whole configuration at the receiver's revision.
pub const CONFIG: &str = "/peer/config";
/// Takes the digest of a content that is refused for good.
pub const POISON: &str = "/peer/poison";
/// Takes a pending batch of a shard to hold during an outage of the platform.
pub const HOLD: &str = "/peer/hold";
/// Fences a shard's earlier owner and answers the pending batches held for it.
pub const COLLECT: &str = "/peer/collect";
/// Asks an owner which programs that an endpoint holds are gone.
pub const HELD: &str = "/peer/held";
/// Tells that held batches are in the journal.
pub const DRAINED: &str = "/peer/drained";

/// Answers what the receiver keeps of a program's decisions.
pub const EXPLAIN: &str = "/peer/explain";

/// Answers one request of another VM.
pub async fn handle(core: Arc<Core>, request: Request<Incoming>, room: Room) -> Response {
    if request.uri().path() == ASK {
        return forward::serve(core, request, room).await;
    }
    let path = request.uri().path().to_owned();
    let receive = core.settings.limits.receive;
    let whole = match body::read(request.into_body(), frame::MAX_BODY, receive).await {
        Ok(whole) => whole,
        Err(refusal) => return answer::refuse(&refusal),
    };
    let answer = match path.as_str() {
        EXPLAIN => operate::tell(&core, &whole),
        POISON => poison::serve(&core, whole),
        _ => controllers::serve(&core, &path, whole).await,
    };
    match answer {
        Some(body) => forward::frames(body),
        None => answer::refuse(&Refusal::new(Code::UnknownPath, &path)),
    }
}
