//! The daemon: runs one node until a signal ends it.

use std::future;
use std::io::Write;

use node::start;
use node::start::Handle;
use settings::vm::Settings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use wire::clock::Clock;

use crate::cli::Result;
use crate::logging;

/// Runs a node until SIGTERM or SIGINT, then shuts it down without cutting off a request.
///
/// # Errors
///
/// Fails if the log can't be set up or the node doesn't start.
pub async fn run(settings: Settings, format: logging::Format) -> Result<()> {
    let _logger = logging::start(format)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let handle = start::open(settings, Clock::System).await?;
    // A starting node already accepts callers, and may wait for its platform indefinitely.
    let serving = async {
        handle.start_controllers().await;
        announce(&handle)?;
        future::pending::<Result<()>>().await
    };
    let outcome = tokio::select! {
        failed = serving => failed,
        _signal = terminate.recv() => Ok(()),
        _signal = interrupt.recv() => Ok(()),
    };
    handle.shutdown().await;
    outcome
}

/// Prints the addresses of the listeners, for whoever started the process with port 0.
fn announce(handle: &Handle) -> Result<()> {
    let mut out = std::io::stdout();
    writeln!(
        out,
        "listening callers={} peers={} admin={}",
        handle.callers(),
        handle.peers(),
        handle.admin()
    )?;
    out.flush()?;
    Ok(())
}
