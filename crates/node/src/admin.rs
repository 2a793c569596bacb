//! The listener for operators: health, metrics, the node's view of the deployment and the requests
//! of [`operate`].

use std::fmt::Write;
use std::sync::Arc;

use hyper::Request;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use wire::code::Code;
use wire::code::Refusal;

use crate::core::Core;
use crate::filters::answer;
use crate::filters::parse::Action;
use crate::http;
use crate::http::Response;
use crate::http::listen::Admission;
use crate::metrics;
use crate::operate;
use crate::owner::registry::Phase;
use crate::view::View;

/// Answers one request.
pub async fn handle(core: Arc<Core>, request: Request<Incoming>, _room: Admission) -> Response {
    if request.uri().path().starts_with(operate::PREFIX) {
        return match operate::handle(&core, request).await {
            Ok(answer) => http::json(200, &answer),
            Err(refusal) => answer::refuse(&refusal),
        };
    }
    let view = core.view();
    let path = request.uri().path();
    let response = match path {
        "/health" => answer::probe(&view, &Action::Health),
        "/ready" => answer::probe(&view, &Action::Ready),
        "/metrics" => Some(render_metrics(&core)),
        "/status" => Some(http::json(200, &status(&core, &view))),
        _ => None,
    };
    let unknown = || answer::refuse(&Refusal::new(Code::UnknownPath, path));
    response.unwrap_or_else(unknown)
}

fn render_metrics(core: &Core) -> Response {
    let mut text = core.metrics.render();
    let gauges = [
        (
            "connections",
            "connections of callers that are open",
            u64::from(core.connections.open()),
        ),
        (
            "calls_waiting",
            "calls that wait for an endpoint's slot",
            core.scheduler.waiting() as u64,
        ),
        (
            "shards_owned",
            "shards that the VM owns",
            core.registry.owned().len() as u64,
        ),
        (
            "config_revision",
            "the configuration in force",
            core.view().config.revision,
        ),
    ];
    for (name, help, value) in gauges {
        metrics::write_header(&mut text, name, "gauge", help);
        let _infallible = writeln!(text, "chestnutyoke_{name} {value}");
    }
    http::response(200, "text/plain; version=0.0.4", text)
}

/// Renders the deployment as this VM sees it.
fn status(core: &Core, view: &View) -> Value {
    let peers = view.peers.iter().map(|p| {
        json!({"vm": p.vm, "centre": p.centre, "address": p.address, "size": p.size,
               "up": p.up, "stopping": p.stopping})
    });
    let owners = view.owners.iter();
    let owners =
        owners.map(|o| json!({"shard": o.shard.to_string(), "vm": o.vm, "epoch": o.epoch}));
    let owned = core.registry.owned().into_iter().map(|o| {
        json!({"shard": o.shard.to_string(), "epoch": o.epoch,
               "draining": o.phase == Phase::Draining, "journal": format!("{:?}", o.status)})
    });
    let loads = view.loads.iter().map(|l| {
        json!({"endpoint": l.endpoint, "up": l.up, "leaving": l.leaving, "running": l.running,
               "waiting": l.waiting, "speed": l.speed, "at_ms": l.at})
    });
    json!({
        "vm": core.settings.vm.name,
        "centre": core.settings.vm.centre,
        "revision": view.config.revision,
        "platform": view.platform,
        "stopping": view.stopping,
        "peers": peers.collect::<Vec<_>>(),
        "owners": owners.collect::<Vec<_>>(),
        "owned": owned.collect::<Vec<_>>(),
        "loads": loads.collect::<Vec<_>>(),
    })
}
