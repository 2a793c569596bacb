//! Asks for shards that are handed over while a node stops: which are accepted and which are
//! forwarded.

use bytes::BytesMut;
use http_body_util::BodyExt;
use node::filters::route;
use node::http::client::Post;
use node::peer;
use serde_json::json;
use standin::client;
use tokio::sync::mpsc;
use wire::ask::Reply;
use wire::code::Code;
use wire::code::Ran;
use wire::frame;
use wire::id;

use crate::fleet::CHAT;
use crate::fleet::Fleet;
use crate::fleet::SETTINGS;
use crate::fleet::chat_of;
use crate::fleet::named;
use crate::fleet::refusal;
use crate::fleet::send;
use crate::stop::SWITCH;
use crate::stop::short;
use crate::stop::stopping;

// A shard is released, and an ask arrives when nothing of the shard runs any more but its actor
// still exists. If the actor accepted the ask, it would be stopped right after, and the caller's
// turn would be lost with an unknown outcome. The ask is refused, so that it goes to the next
// owner.
#[tokio::test]
async fn a_released_shard_accepts_no_ask() {
    let fleet = Fleet::plain().await;
    let core = fleet.node.core().clone();
    let program = id::Program::parse("berth").unwrap();
    let shard = route::shard(&core.settings, &program);
    let ask = chat_of(program);
    let (sender, mut replies) = mpsc::unbounded_channel();
    // Both run on this one thread, so the ask is queued right behind the release.
    let late = async { core.registry.ask(&shard, ask, sender).is_ok() };
    let ((), accepted) = tokio::join!(biased; core.registry.release(&shard), late);
    assert!(accepted);
    let reply = replies.recv().await;
    let Some(Reply::Refused(refusal)) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!((refusal.code, refusal.ran), (Code::ShuttingDown, Ran::No));
    assert!(fleet.attempts().await.is_empty());
}

// A shard is released while one of its turns runs, and a caller creates a program in the same
// shard. The program's record might come after the shard's last one: the caller would get no
// answer, or an answer for a program that the next owner doesn't know. The request is refused, so
// that it goes to the next owner.
#[tokio::test]
async fn a_released_shard_creates_no_program() {
    let (callers, ended) = stopping().await;
    let settings = settings::vm::parse(SETTINGS).unwrap();
    let shard = |program: &id::Program| route::shard(&settings, program);
    let busy = shard(&id::Program::parse("berth").unwrap());
    let names = (0..).map(|number| id::Program::parse(&format!("p{number}")).unwrap());
    let program = names.into_iter().find(|p| shard(p) == busy).unwrap();
    let body = json!({"program": program}).to_string();
    let answer = send(callers, "POST", "/v1/programs", &body).await;
    assert_eq!(refusal(&answer), ("CY2203", "no"), "{}", answer.1);
    ended.await;
}

// A shard is released while one of its turns runs, and a caller ends the turn's program. The
// request is refused for the same reason; the turn is answered.
#[tokio::test]
async fn a_released_shard_ends_no_program() {
    let (callers, ended) = stopping().await;
    let answer = send(callers, "DELETE", "/v1/programs/berth", "").await;
    assert_eq!(refusal(&answer), ("CY2203", "no"), "{}", answer.1);
    ended.await;
}

// A call with an idempotency key finds no owner before its caller's deadline. This node hasn't
// forwarded it, but an earlier request with the key may have run, which only the next owner's
// journal can tell.
#[tokio::test]
async fn a_call_that_finds_no_owner_may_have_run_before() {
    let (callers, ended) = stopping().await;
    let headers = [
        ("chestnutyoke-deadline-ms", "700"),
        ("idempotency-key", "order-1"),
    ];
    let answer = client::ask(callers, SWITCH, &headers, &json!({})).await;
    assert_eq!(refusal(&answer), ("CY2203", "unknown"), "{}", answer.1);
    ended.await;
}

// A claim that is in progress when the node is told to stop adds a shard after the node has listed
// the shards to release. Asks for it may arrive until the process ends, and the process doesn't
// wait for them. They are refused, so that they go to the next owner.
#[tokio::test]
async fn a_shard_claimed_during_the_stop_accepts_no_ask() {
    let fleet = Fleet::plain().await;
    let core = fleet.node.core().clone();
    let program = id::Program::parse("berth").unwrap();
    let shard = route::shard(&core.settings, &program);
    core.stopping.cancel();
    assert!(core.registry.serves(&shard));
    let (sender, mut replies) = mpsc::unbounded_channel();
    assert!(core.registry.ask(&shard, chat_of(program), sender).is_ok());
    let reply = replies.recv().await;
    let Some(Reply::Refused(refusal)) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!((refusal.code, refusal.ran), (Code::ShuttingDown, Ran::No));
}

// Another VM forwards a request to the stopping VM, because it doesn't know yet that the stopping VM
// has released the shard. If the stopping VM forwarded the request on to the new owner, the answer
// would pass through a process that is ending, and be cut off. The stopping VM refuses the request
// at once, so that the other VM looks for the owner itself.
#[tokio::test]
async fn a_stopping_node_forwards_no_asks_of_other_vms() {
    let fleet = short().await;
    let core = fleet.node.core().clone();
    let peers = fleet.node.peers();
    let callers = fleet.callers;
    let chat = client::chat("plan #tokens=50");
    let first = named("berth", "1");
    let first = tokio::spawn(async move { client::ask(callers, CHAT, &first, &chat).await });
    fleet.until_started(1).await;
    let shutdown = tokio::spawn(fleet.node.shutdown());
    let names = (0..).map(|number| id::Program::parse(&format!("p{number}")).unwrap());
    let shard = |program: &id::Program| route::shard(&core.settings, program);
    let busy = shard(&id::Program::parse("berth").unwrap());
    let program = names.into_iter().find(|p| shard(p) != busy).unwrap();
    while core.registry.holds(&shard(&program)) {
        tokio::task::yield_now().await;
    }
    let post = Post {
        address: &peers.to_string(),
        path: peer::ASK,
        content_type: "application/msgpack",
        headers: &[],
        body: frame::encode(&chat_of(program)).unwrap(),
    };
    let answer = core.client.post(post).await.unwrap();
    let body = answer.into_body().collect().await.unwrap().to_bytes();
    let reply = frame::decode::<Reply>(&mut BytesMut::from(body)).unwrap();
    let Some(Reply::Refused(refusal)) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!((refusal.code, refusal.ran), (Code::ShuttingDown, Ran::No));
    assert_eq!(first.await.unwrap().0, 200);
    shutdown.await.unwrap();
}
