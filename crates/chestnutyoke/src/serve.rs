//! The daemon: one node, from its settings to a signal that ends it.

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

/// Runs a node until SIGTERM or SIGINT, then shuts it down without cutting a request off.
///
/// # Errors
///
/// Fails where the log can't be set up or the node doesn't start.
pub async fn run(settings: Settings, format: logging::Format) -> Result<()> {
    let _logger = logging::start(format)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let handle = start::open(settings, Clock::System).await?;
    // A node that starts takes callers already, and may wait for its platform for any time.
    let served = async {
        handle.settle().await;
        announce(&handle)?;
        future::pending::<Result<()>>().await
    };
    let outcome = tokio::select! {
        failed = served => failed,
        _signal = terminate.recv() => Ok(()),
        _signal = interrupt.recv() => Ok(()),
    };
    handle.shutdown().await;
    outcome
}

/// Tells the listeners to whoever started the process with port 0.
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
