//! Members that answer, and that go on catching up with the list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use adapter::settings;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use link::body;
use link::body::Body;
use link::listen;
use relay::member_health;
use relay::node::Node;
use replica::client::Fault;
use replica::inquiry::Inquiry;
use replica::list::List;
use replica::list::Member;
use replica::message::Answer;
use replica::message::Ask;
use replica::message::Body as AskBody;
use replica::message::Status;
use replica::record::Key;
use rstest::rstest;
use tokio::time::Instant;
use tokio::time::sleep;
use wire::clock::Clock;

/// The version of the list in use.
const VERSION: u64 = 2;
/// How often members are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which the VM has to tell the balancer: fewer than the five tries that a turn has, 0.3 s and 0.32 s each.
const TIME_TO_TELL: Duration = Duration::from_millis(2_500);

/// Members that have caught up.
const CAUGHT_UP: Status = Status {
    disk: 1,
    version: VERSION,
    ready: VERSION,
};

/// Members that share a state.
#[derive(Clone)]
struct Members {
    status: Arc<Mutex<Status>>,
}

impl Members {
    async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        let bytes = body::read(request.into_body(), 1 << 20).await.unwrap();
        let ask: Ask = rmp_serde::from_slice(&bytes).unwrap();
        let answer = match ask.body {
            AskBody::Status => Answer::Status(*self.status.lock().unwrap()),
            _ => Answer::NotReady,
        };
        Response::new(Body::whole(rmp_serde::to_vec(&answer).unwrap()))
    }

    /// Returns a process that reaches three of them.
    async fn start(&self) -> Arc<Node> {
        let mut members = Vec::new();
        for centre in ["a", "b", "c"] {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let listener = listen::bind(any).await.unwrap();
            members.push(Member {
                vm: format!("store-{centre}-1"),
                centre: centre.to_owned(),
                address: listener.local_addr().unwrap(),
                disk: 1,
            });
            let shared = self.clone();
            let handler = move |request| shared.clone().answer(request);
            tokio::spawn(listen::run(listener, Arc::default(), handler));
        }
        let settings = settings::parse(&fakes::settings::alone()).unwrap();
        let node = Node::new(settings, Clock::System);
        node.replicas.adopt(List {
            version: VERSION,
            members,
            before: Vec::new(),
        });
        node
    }
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
    let members = Members {
        status: Arc::new(Mutex::new(CAUGHT_UP)),
    };
    let node = members.start().await;
    assert!(check_until(&node, is_ready).await);
    *members.status.lock().unwrap() = status;
    let refused = node
        .replicas
        .chain(Key::of("t1"), &mut Inquiry::default(), |_| true)
        .await;
    assert_eq!(refused, Err(Fault::CatchingUp));
    assert!(check_until(&node, |node| !is_ready(node)).await);
    *members.status.lock().unwrap() = CAUGHT_UP;
    assert!(check_until(&node, is_ready).await);
}
