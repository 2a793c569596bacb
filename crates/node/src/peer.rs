//! The listener for other VMs. Bodies are [`wire::frame`] frames, single or streamed.

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
use crate::http::listen::Admission;
use crate::operate;
use crate::owner::poison;

/// Receives a [`wire::ask::Ask`]; streams [`wire::ask::Reply`] frames back.
pub const ASK: &str = "/peer/ask";
/// Receives a heartbeat with a digest of what the sender knows; answers with the receiver's.
pub const BEAT: &str = "/peer/beat";
/// Answers with the whole configuration, at the receiver's revision.
pub const CONFIG: &str = "/peer/config";
/// Receives the digest of a content that is refused permanently because it crashes endpoints.
pub const POISON: &str = "/peer/poison";
/// Receives a content that an endpoint was running when it crashed, or that one ran to its end since.
pub const CRASH: &str = "/peer/crash";
/// Receives a pending batch of a shard, to be held during an outage of the platform.
pub const HOLD: &str = "/peer/hold";
/// Fences a shard's earlier owner and answers with the pending batches held for the shard.
pub const COLLECT: &str = "/peer/collect";
/// Asks an owner which of the programs that an endpoint holds no longer exist.
pub const HELD: &str = "/peer/held";
/// Reports that held batches are in the journal.
pub const DRAINED: &str = "/peer/drained";

/// Answers with the receiver's stored decisions about a program.
pub const EXPLAIN: &str = "/peer/explain";

/// Answers one request from another VM.
pub async fn handle(core: Arc<Core>, request: Request<Incoming>, admission: Admission) -> Response {
    if request.uri().path() == ASK {
        return forward::serve(core, request, admission).await;
    }
    let path = request.uri().path().to_owned();
    let receive = core.settings.limits.receive;
    let body = match body::read(request.into_body(), frame::MAX_BODY, receive).await {
        Ok(body) => body,
        Err(refusal) => return answer::refuse(&refusal),
    };
    let answer = match path.as_str() {
        EXPLAIN => operate::serve_explain(&core, &body),
        POISON => poison::serve(&core, body),
        CRASH => poison::serve_crash(&core, body),
        _ => controllers::serve(&core, &path, body).await,
    };
    match answer {
        Some(body) => forward::frame_response(body),
        None => answer::refuse(&Refusal::new(Code::UnknownPath, &path)),
    }
}
