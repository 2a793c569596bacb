//! `try`: one node and its stand-ins as tasks of one process on loopback, for newcomers.

use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use node::controllers::config::edit::Edit;
use node::start;
use node::start::Handle;
use serde_json::json;
use settings::check;
use settings::config::Endpoint;
use settings::config::Kind;
use settings::vm::Settings;
use standin::http::Server;
use standin::platform;
use standin::runner;
use standin::service;
use tokio::net::TcpListener;
use tokio::signal::ctrl_c;
use wire::clock::Clock;

use crate::cli::Result;
use crate::client;
use crate::commands::apply;
use crate::logging;

/// The settings of the node.
const VM: &str = include_str!("../defaults/vm.toml");
/// The configuration to begin with.
const CONFIG: &str = include_str!("../defaults/config.toml");
/// Tokens a second of the slow runner; a quarter of the fast one's, as back ends differ widely.
const SLOW: f64 = 50.0;
/// How long the stand-in service works on a call.
const WORK: Duration = Duration::from_millis(20);

/// The embedded deployment.
pub struct Deployment {
    node: Handle,
    servers: Vec<Server>,
}

/// Runs the embedded deployment until it is interrupted.
///
/// # Errors
///
/// Fails where a port is taken.
pub async fn run(port: u16, admin: u16) -> Result<()> {
    let _logger = logging::start(logging::Format::Text)?;
    let deployment = start(port, admin).await?;
    let mut out = std::io::stdout();
    writeln!(out, "{}", deployment.welcome())?;
    out.flush()?;
    ctrl_c().await?;
    deployment.stop().await;
    Ok(())
}

/// Starts the embedded deployment; a port of 0 takes a free one.
///
/// # Errors
///
/// Fails where a port is taken.
pub async fn start(port: u16, admin: u16) -> Result<Deployment> {
    let store = platform::serve(free().await?, platform::Settings::default(), Clock::System)?;
    let mut settings = settings(&store)?;
    settings.listen.callers.set_port(port);
    settings.listen.admin.set_port(admin);
    let node = start::start(settings, Clock::System).await?;
    let fast = runner::serve(free().await?, runner::Settings::default(), Clock::System)?;
    let slow = runner::Settings {
        tokens_per_second: SLOW,
        ..runner::Settings::default()
    };
    let slow = runner::serve(free().await?, slow, Clock::System)?;
    let work = service::Settings {
        delay: WORK.into(),
        ..service::Settings::default()
    };
    let service = service::serve(free().await?, work)?;
    let edit = configuration(&[("fast", &fast), ("slow", &slow), ("shore", &service)])?;
    let change = json!({ "edit": edit });
    client::call(node.admin(), Method::POST, "/operate/change", Some(&change)).await?;
    Ok(Deployment {
        node,
        servers: vec![store, fast, slow, service],
    })
}

impl Deployment {
    /// Yields the callers' listener.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.node.callers()
    }

    /// Yields the operators' listener.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.node.admin()
    }

    /// Yields what a newcomer can do next.
    #[must_use]
    pub fn welcome(&self) -> String {
        let (callers, admin) = (self.callers(), self.admin());
        format!(
            "chestnutyoke answers callers on http://{callers} and operators on {admin}\n\n\
             curl -s http://{callers}/v1/chat/completions -H 'Authorization: Bearer crew-token' \
             -H 'Chestnutyoke-Program: ferry-7' -H 'Chestnutyoke-Turn: 1' \
             -d '{{\"model\":\"berth-assistant\",\"messages\":[{{\"role\":\"user\",\"content\":\
             \"plan the shore connection of berth 4\"}}]}}'\n\n\
             curl -s http://{callers}/v1/services/shore/switch -H 'Authorization: Bearer crew-token' \
             -H 'Idempotency-Key: order-1' -d '{{\"breaker\":12}}'\n\n\
             chestnutyoke status --admin {admin}\n\
             chestnutyoke explain ferry-7 --admin {admin}\n"
        )
    }

    /// Stops the node, then its stand-ins.
    pub async fn stop(self) {
        self.node.shutdown().await;
        for server in self.servers {
            server.stop().await;
        }
    }
}

async fn free() -> std::io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await
}

fn settings(store: &Server) -> Result<Settings> {
    let mut settings = check::parse(VM).map_err(|faults| format!("{faults:?}"))?;
    settings.platform.addresses = vec![store.address()];
    Ok(settings)
}

/// Fills the stand-ins' addresses into the configuration.
fn configuration(servers: &[(&str, &Server)]) -> Result<Edit> {
    let Edit::Several(mut edits) = apply::parse(CONFIG)? else {
        return Err("the configuration isn't a list of edits".into());
    };
    for edit in &mut edits {
        if let Edit::Endpoint(endpoint) = edit {
            fill(endpoint, servers)?;
        }
    }
    Ok(Edit::Several(edits))
}

fn fill(endpoint: &mut Endpoint, servers: &[(&str, &Server)]) -> Result<()> {
    let server = servers
        .iter()
        .find(|(name, _)| *name == endpoint.name.as_str());
    let (_, server) = server.ok_or_else(|| format!("no stand-in for {}", endpoint.name))?;
    endpoint.address = server.address().to_string();
    // The stand-in runners check fencing numbers, the service takes no orders.
    endpoint.fences = endpoint.kind == Kind::Runner;
    Ok(())
}
