//! Members that answer, and that go on catching up with the list.

mod support;

use std::future::ready;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use relay::member_health;
use relay::node::Node;
use replica::client::Fault;
use replica::inquiry::Inquiry;
use replica::message::Answer;
use replica::message::Ask;
use replica::message::Body;
use replica::message::Status;
use replica::record::Key;
use rstest::rstest;
use tokio::time::Instant;
use tokio::time::sleep;

/// The version of the list in use.
const VERSION: u64 = 2;
/// How often members are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which the VM has to tell the balancer: less than the five tries of a turn take, 0.3 s and 0.32 s each.
const TIME_TO_TELL: Duration = Duration::from_millis(2_500);

/// Members that have caught up.
const CAUGHT_UP: Status = Status {
    disk: 1,
    version: VERSION,
    ready: VERSION,
};

/// Returns a process that reaches members which share this state.
async fn start(status: &Arc<Mutex<Status>>) -> Arc<Node> {
    let status = status.clone();
    support::node_with_members(VERSION, move |ask: Ask| {
        ready(match ask.body {
            Body::Status => Answer::Status(*status.lock().unwrap()),
            _ => Answer::NotReady,
        })
    })
    .await
}

fn is_ready(node: &Node) -> bool {
    node.member_health().is_ready(node.clock.now())
}

async fn check_until(node: &Node, is_wanted: impl Fn(&Node) -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < TIME_TO_TELL {
        member_health::check(node).await;
        if is_wanted(node) {
            return true;
        }
        sleep(CHECK_INTERVAL).await;
    }
    false
}

/// Guards against a VM that the balancer goes on sending turns to while its members can't serve any.
#[rstest]
#[case::they_go_on_catching_up(Status { ready: VERSION - 1, ..CAUGHT_UP })]
#[case::they_have_lost_their_disks(Status { disk: 2, ..CAUGHT_UP })]
#[tokio::test]
async fn a_vm_whose_members_cannot_serve_is_not_ready(#[case] status: Status) {
    let members = Arc::new(Mutex::new(CAUGHT_UP));
    let node = start(&members).await;
    assert!(check_until(&node, is_ready).await);
    *members.lock().unwrap() = status;
    let refused = node
        .replicas
        .chain(Key::of("t1"), &mut Inquiry::default(), |_| true)
        .await;
    assert_eq!(refused, Err(Fault::CatchingUp));
    assert!(check_until(&node, |node| !is_ready(node)).await);
    *members.lock().unwrap() = CAUGHT_UP;
    assert!(check_until(&node, is_ready).await);
}
