//! Runners' entries, routes and requests for tests that serve requests without a listener.

use std::net::SocketAddr;
use std::sync::Arc;

use adapter::config;
use adapter::header::Call;
use adapter::runner::Entry;
use adapter::runner::State;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use relay::job::Job;
use relay::node::Node;
use relay::table::Table;
use tokio::time::Instant;
use wire::clock::Millis;

/// The service of all routes and runners.
const SERVICE: &str = "s";
/// A path on the only route.
const PATH: &str = "/r/x";
/// What a request may take.
const TIME: Millis = Millis::new(20_000);

/// Yields the entry of a runner of the tests' data centre.
pub fn entry(address: SocketAddr) -> Entry {
    Entry {
        service: SERVICE.to_owned(),
        address,
        centre: "a".to_owned(),
        slots: 8,
        state: State::Ready,
        cold: Millis::ZERO,
        born: Some(1),
    }
}

/// Makes a table with one route of a kind; `rest` ends its JSON object.
pub fn table(kind: &str, rest: &str) -> Arc<Table> {
    let route = fakes::store::route("r", kind, SERVICE, TIME.as_u64(), rest);
    let document = format!(r#"{{"version":1,"services":[],"routes":[{route}]}}"#);
    let config = config::decode(document.as_bytes()).expect("it is sound");
    Arc::new(Table::new(config, &[]))
}

/// Makes a request that arrives now.
pub fn job(node: &Arc<Node>, table: &Arc<Table>, id: &str) -> Job {
    let route = table.find(fakes::store::HOST, PATH);
    let arrived = Instant::now();
    Job {
        node: node.clone(),
        table: table.clone(),
        route: route.expect("the route is there").clone(),
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
        arrived,
        until: arrived + TIME.as_duration(),
    }
}
