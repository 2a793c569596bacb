//! `try`: one node and its stand-ins as tasks of one process on loopback, to try the system out.

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

/// The settings of the node, as TOML.
const SETTINGS: &str = include_str!("../defaults/vm.toml");
/// The initial configuration, as TOML.
const CONFIG: &str = include_str!("../defaults/config.toml");
/// Tokens per second of the slow runner: a quarter of the fast one's, because real backends differ
/// widely.
const SLOW_RUNNER_SPEED: f64 = 50.0;
/// How long a call of the stand-in service takes.
const SERVICE_DELAY: Duration = Duration::from_millis(20);

/// A running embedded deployment.
pub struct Deployment {
    node: Handle,
    servers: Vec<Server>,
}

/// Runs the embedded deployment until it is interrupted.
///
/// # Errors
///
/// Fails if a port is in use.
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

/// Starts the embedded deployment; port 0 picks a free port.
///
/// # Errors
///
/// Fails if a port is in use.
pub async fn start(port: u16, admin: u16) -> Result<Deployment> {
    let store = platform::serve(
        bind_free_port().await?,
        platform::Settings::default(),
        Clock::System,
    )?;
    let mut settings = settings(&store)?;
    settings.listen.callers.set_port(port);
    settings.listen.admin.set_port(admin);
    let node = start::start(settings, Clock::System).await?;
    let fast = runner::serve(
        bind_free_port().await?,
        runner::Settings::default(),
        Clock::System,
    )?;
    let slow = runner::Settings {
        tokens_per_second: SLOW_RUNNER_SPEED,
        ..runner::Settings::default()
    };
    let slow = runner::serve(bind_free_port().await?, slow, Clock::System)?;
    let service = service::Settings {
        delay: SERVICE_DELAY.into(),
        ..service::Settings::default()
    };
    let service = service::serve(bind_free_port().await?, service)?;
    let edit = configuration(&[("fast", &fast), ("slow", &slow), ("shore", &service)])?;
    let change = json!({ "edit": edit });
    client::call(node.admin(), Method::POST, "/operate/change", Some(&change)).await?;
    Ok(Deployment {
        node,
        servers: vec![store, fast, slow, service],
    })
}

impl Deployment {
    /// Returns the address of the callers' listener.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.node.callers()
    }

    /// Returns the address of the operators' listener.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.node.admin()
    }

    /// Returns a text with commands that a new user can run next.
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

    /// Stops the node and then its stand-ins.
    pub async fn stop(self) {
        self.node.shutdown().await;
        for server in self.servers {
            server.stop().await;
        }
    }
}

async fn bind_free_port() -> std::io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await
}

fn settings(store: &Server) -> Result<Settings> {
    let mut settings = check::parse(SETTINGS).map_err(|faults| format!("{faults:?}"))?;
    settings.platform.addresses = vec![store.address()];
    Ok(settings)
}

/// Parses the configuration and sets the stand-ins' addresses in it.
fn configuration(servers: &[(&str, &Server)]) -> Result<Edit> {
    let Edit::Several(mut edits) = apply::parse(CONFIG)? else {
        return Err("the configuration isn't a list of edits".into());
    };
    for edit in &mut edits {
        if let Edit::Endpoint(endpoint) = edit {
            set_address(endpoint, servers)?;
        }
    }
    Ok(Edit::Several(edits))
}

fn set_address(endpoint: &mut Endpoint, servers: &[(&str, &Server)]) -> Result<()> {
    let server = servers
        .iter()
        .find(|(name, _)| *name == endpoint.name.as_str());
    let (_, server) = server.ok_or_else(|| format!("no stand-in for {}", endpoint.name))?;
    endpoint.address = server.address().to_string();
    // The stand-in runners check fencing tokens; the service doesn't take fenced orders.
    endpoint.fences = endpoint.kind == Kind::Runner;
    Ok(())
}
