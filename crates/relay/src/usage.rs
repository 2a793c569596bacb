//! Counts the requests of workspaces that have a limit, at this VM and, as they tell, at the others.
//!
//! The counts travel with the exchange of the VMs, summed up by hubs in the same way as the figures
//! about runners (`tally`). `policy::quota` decides what they mean.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use derive_more::Display;
use policy::quota;
use policy::quota::Verdict;
use wire::code::Code;
use wire::code::Refusal;
use xxhash_rust::xxh3::xxh3_64;

use crate::exchange;
use crate::node::Node;
use crate::usage::contact::Fleet;
use crate::workspace::Workspace;

pub mod account;
pub mod contact;
pub mod ledger;
pub mod report;

/// A request that was counted. Unless it is sent, it is taken back when this is dropped.
#[derive(Debug)]
pub struct Admission {
    node: Arc<Node>,
    workspace: u64,
    sent: AtomicBool,
    /// What was known when it was admitted.
    pub known: Known,
}

/// What a VM knew of a workspace's requests when it decided on one.
#[derive(Clone, Copy, Debug, Display)]
#[display("{usage},allowed:{allowance}")]
pub struct Known {
    /// The counts.
    pub usage: quota::Usage,
    /// The limit, as the number of requests in a window.
    pub allowance: u64,
}

impl Admission {
    /// Records that the request was sent to a runner, again or for the first time.
    pub fn note_sent(&self) {
        if !self.sent.swap(true, Ordering::Relaxed) {
            let now = self.node.clock.now();
            self.node.usage().note_sent(self.workspace, now);
        }
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if !self.sent.load(Ordering::Relaxed) {
            let now = self.node.clock.now();
            self.node.usage().release(self.workspace, now);
        }
    }
}

/// What a request itself shows of its place in its program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shown {
    /// The program has begun.
    HasBegun,
    /// Nothing.
    Nothing,
}

/// Counts a request of a workspace, or refuses it if it is over the workspace's limit.
///
/// # Errors
///
/// Refuses a request that is over the limit, or over what this VM may admit alone.
pub fn admit(
    node: &Arc<Node>,
    workspace: &Workspace,
    program: Option<&str>,
    shown: Shown,
) -> Result<Option<Admission>, Refusal> {
    let Some(limit) = workspace.limit else {
        return Ok(None);
    };
    let now = node.clock.now();
    let fleet = fleet(node);
    let mut ledger = node.usage();
    let program = program.map(|id| xxh3_64(id.as_bytes()));
    let step = ledger.step(workspace.id, program, shown, now);
    let (verdict, known) = ledger.decide(workspace.id, limit, step, fleet, now);
    let (code, span) = match verdict {
        Verdict::Admit => {
            ledger.reserve(workspace.id, program, now);
            return Ok(Some(Admission {
                node: node.clone(),
                workspace: workspace.id,
                sent: AtomicBool::new(false),
                known,
            }));
        }
        Verdict::OverLimit(span) => (Code::OverLimit, span),
        Verdict::OverShare(span) => (Code::OverShare, span),
    };
    node.metrics.count_over_limit(&workspace.name);
    let detail = format!("{} ({known})", workspace.name);
    Err(Refusal::new(code, &detail).retry_after(span))
}

/// Counts a request that waits until requests of its workspace can be admitted. Those that arrive meanwhile
/// show what callers send, which other VMs have to know before all of them are admitted at once.
pub fn note_waiting(node: &Node, workspace: &Workspace) {
    let now = node.clock.now();
    node.usage().note_asked(workspace.id, now);
}

/// Returns whether requests of workspaces that have a limit can be admitted.
pub fn knows_others(node: &Node) -> bool {
    let fleet = fleet(node);
    node.usage().knows_others(fleet, node.clock.now())
}

/// Returns what a VM knows of all VMs by itself.
pub fn fleet(node: &Node) -> Fleet {
    let peers = node.peers();
    Fleet {
        vms: peers.count_all(),
        centre_vms: peers.count_in(&node.settings.centre),
        centres: peers.count_centres(),
        lag: exchange::lag(&peers),
    }
}
