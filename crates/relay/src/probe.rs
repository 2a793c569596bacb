//! Answers probes of the balancer and scrapers: whether the VM takes callers, and its metrics.

use hyper::Response;
use hyper::StatusCode;
use link::body::Body;

use crate::answer;
use crate::memory;
use crate::metrics;
use crate::node::Node;

/// Answers whether the VM takes callers. Ignores the path, because nothing else is asked there.
#[must_use]
pub fn answer_readiness(node: &Node) -> Response<Body> {
    if node.is_ready() {
        return answer::text(StatusCode::OK, "ready\n");
    }
    answer::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
}

/// Answers with the metrics.
#[must_use]
pub fn answer_metrics(node: &Node) -> Response<Body> {
    // Taken before the array is built: otherwise the lock would be held until the array is
    // complete, and `is_ready` locks it again.
    let load = node.fleet().load(node.clock.now());
    let held = node.holdings.figures();
    let answers = node.work.answers() as u64;
    let gauges = [
        ("requests_under_way", node.work.count() as u64),
        (
            "requests_without_runner",
            answers.saturating_sub(load.own_requests),
        ),
        ("requests_at_runners", load.own_requests),
        ("slots", load.slots),
        ("slots_occupied", load.occupied),
        ("connections", node.listeners.callers.open() as u64),
        ("runners", load.runners),
        ("runners_slowed", load.slowed),
        ("runners_age_ms", node.runners_age().as_u64()),
        ("revision", node.table().version),
        ("revision_age_ms", node.config_age().as_u64()),
        ("members_version", node.replicas.list().version),
        ("runner_connections_made", node.runner_client.made()),
        (
            "runner_connections_unsolicited",
            node.runner_client.unsolicited(),
        ),
        ("vm_connections_made", node.vm_client.made()),
        ("request_bytes", held.bytes),
        ("requests_without_memory", held.waiting as u64),
        ("memory_bytes", memory::resident()),
        ("ready", u64::from(node.is_ready())),
    ];
    let figures = node.listeners.figures();
    // Behind all others, as some scrapers read only the first kilobytes.
    let connections = metrics::render(&[
        ("connections_ended", figures.let_go + figures.expired),
        ("connections_turned_away", figures.turned_away),
    ]);
    answer::text(StatusCode::OK, node.metrics.render(&gauges) + &connections)
}
