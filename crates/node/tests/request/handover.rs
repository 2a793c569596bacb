//! Shards that change hands while a node stops: what is taken for them, and what is passed on.

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

// A shard is given up, and an ask arrives when nothing runs of it any more but the actor still
// lives. The actor takes it, is stopped at once, and the caller's turn is lost on the way, with an
// unknown outcome. It is refused, so that it goes to the next owner.
#[tokio::test]
async fn a_shard_that_is_given_up_takes_nothing_more() {
    let fleet = Fleet::plain().await;
    let core = fleet.node.core().clone();
    let program = id::Program::parse("berth").unwrap();
    let shard = route::shard(&core.settings, &program);
    let ask = chat_of(program);
    let (sender, mut replies) = mpsc::unbounded_channel();
    // Both on this one thread: the ask is queued right behind the order to drain.
    let late = async { core.registry.ask(&shard, ask, sender).is_ok() };
    let ((), taken) = tokio::join!(biased; core.registry.release(&shard), late);
    assert!(taken);
    let reply = replies.recv().await;
    let Some(Reply::Refused(refusal)) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!((refusal.code, refusal.ran), (Code::ShuttingDown, Ran::No));
    assert!(fleet.attempts().await.is_empty());
}

// A shard is given up while a turn of it runs, and a caller makes a program of the same shard. Its
// record may come after the shard's last one: its caller gets no answer, or one for a program that the
// next owner doesn't know. It is refused, so that it goes to the next owner.
#[tokio::test]
async fn a_shard_that_is_given_up_makes_no_program() {
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

// A shard is given up while a turn of it runs, and a caller ends the turn's program. It is refused for
// the same reason; the turn is answered.
#[tokio::test]
async fn a_shard_that_is_given_up_ends_no_program() {
    let (callers, ended) = stopping().await;
    let answer = send(callers, "DELETE", "/v1/programs/berth", "").await;
    assert_eq!(refusal(&answer), ("CY2203", "no"), "{}", answer.1);
    ended.await;
}

// An order under a key waits in vain for an owner, and its caller's time is over. This node has not
// passed it on, but an earlier asking may have run, which only the next owner's journal tells.
#[tokio::test]
async fn an_order_that_found_no_owner_may_have_run_before() {
    let (callers, ended) = stopping().await;
    let headers = [
        ("chestnutyoke-deadline-ms", "700"),
        ("idempotency-key", "order-1"),
    ];
    let answer = client::ask(callers, SWITCH, &headers, &json!({})).await;
    assert_eq!(refusal(&answer), ("CY2203", "unknown"), "{}", answer.1);
    ended.await;
}

// A claim that was under way when the node was told to end brings one more shard, after the node has
// looked at what it has to give up. Asks for it come until the process ends, which nobody makes wait
// for them. They are refused, so that they go to the next owner.
#[tokio::test]
async fn a_shard_that_comes_during_the_stop_takes_nothing() {
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

// Another VM takes the stopping one for the owner of a shard that it has given up. Passed on from
// there, the answer would come through a process that ends, and be cut off with it. The ask is given
// back at once, so that the other VM looks for the owner itself.
#[tokio::test]
async fn a_stopping_node_passes_nothing_on_for_others() {
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
