//! Runners' entries, routes and requests for tests that serve requests without a listener.
#![allow(dead_code)] // each test file uses only a part of this module

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use adapter::config;
use adapter::header::Call;
use adapter::runner::Entry;
use adapter::runner::State;
use adapter::settings;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use link::body;
use link::body::Body;
use link::listen;
use relay::identity::Identity;
use relay::job::Job;
use relay::node::Node;
use relay::table::Table;
use replica::list::List;
use replica::list::Member;
use replica::message::Answer;
use replica::message::Ask;
use tokio::time::Instant;
use wire::clock::Clock;
use wire::clock::Millis;

/// The service of all routes and runners.
const SERVICE: &str = "s";
/// A path on the only route.
const PATH: &str = "/r/x";
/// The most bytes of a request to a member.
const MAX_ASK_BYTES: usize = 1 << 20;
/// The time limit of a request.
const TIME_LIMIT: Millis = Millis::new(20_000);

/// Returns the entry of a runner in the tests' data centre.
pub fn entry(address: SocketAddr) -> Entry {
    Entry {
        service: SERVICE.to_owned(),
        address,
        centre: "a".to_owned(),
        slots: 8,
        state: State::Ready,
        cold: Millis::ZERO,
        build: "v1".to_owned(),
        born: Some(1),
    }
}

/// Creates a table with one route of a kind; `extra_fields` are added to the end of its JSON
/// object.
pub fn table(kind: &str, extra_fields: &str) -> Arc<Table> {
    let route = fakes::store::route("r", kind, SERVICE, TIME_LIMIT.as_u64(), extra_fields);
    let document = format!(r#"{{"version":1,"services":[],"routes":[{route}]}}"#);
    decode(&document)
}

/// Creates a table whose only route, with this JSON object, leads to engines.
pub fn engine_table(route: &str) -> Arc<Table> {
    let engine = r#"{"slots":16,"kvTokens":400000,"chunkTokens":10}"#;
    let document = format!(
        r#"{{"version":1,"services":[{{"name":"{SERVICE}","maxConns":9,"engine":{engine}}}],"routes":[{route}]}}"#
    );
    decode(&document)
}

fn decode(document: &str) -> Arc<Table> {
    let config = config::decode(document.as_bytes()).expect("the configuration is valid");
    Arc::new(Table::new(config, &[], &Table::default()))
}

/// Creates a process with these lines before its settings.
pub fn node(lines: &str) -> Arc<Node> {
    let text = format!("{lines}\n{}", fakes::settings::alone());
    let settings = settings::parse(&text).expect("the settings are valid");
    Node::new(settings, Clock::System)
}

/// Creates a process that uses a list of this version, with a member in each of three data centres: each has
/// disk 1 and answers with `answer`.
pub async fn node_with_members<H, F>(version: u64, answer: H) -> Arc<Node>
where
    H: Fn(Ask) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let handler = move |request: Request<Incoming>| {
        let answer = answer.clone();
        async move {
            let bytes = body::read(request.into_body(), MAX_ASK_BYTES).await;
            let ask = rmp_serde::from_slice(&bytes.unwrap()).unwrap();
            Response::new(Body::whole(rmp_serde::to_vec(&answer(ask).await).unwrap()))
        }
    };
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
        tokio::spawn(listen::run(listener, Arc::default(), handler.clone()));
    }
    let node = node("");
    node.replicas.adopt(List {
        version,
        members,
        before: Vec::new(),
        reset: None,
    });
    node
}

/// Creates a request that arrives now.
pub fn job(node: &Arc<Node>, table: &Arc<Table>, id: &str) -> Job {
    let route = table.find(fakes::store::HOST, PATH);
    let arrived = Instant::now();
    Job {
        node: node.clone(),
        table: table.clone(),
        route: route.expect("the table has the route").clone(),
        identity: Identity::Unmanaged,
        admission: None,
        service: SERVICE.to_owned(),
        call: Call {
            id: id.to_owned(),
            ..Call::default()
        },
        method: Method::GET,
        path: PATH.to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        prompt: Vec::new(),
        connection: None,
        passed_on: AtomicBool::default(),
        reserved: AtomicBool::default(),
        arrived,
        deadline: arrived + TIME_LIMIT.as_duration(),
    }
}
