//! Builds messages to other VMs.

use replica::list::List;
use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;

use crate::directory::Directory;
use crate::node::Node;
use crate::peers;
use crate::peers::Lifecycle;
use crate::peers::Status;
use crate::roster::Roster;
use crate::tally;
use crate::tally::Origin;
use crate::tally::Recipient;
use crate::tally::Tally;

/// The message that each side of an exchange sends. Encoded by position, so the order of fields
/// must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Name of the sender.
    pub vm: String,
    /// Data centre of the sender.
    pub centre: String,
    /// State of the sender.
    pub status: Status,
    /// The VMs whose figures `tallies` contains.
    pub origin: Origin,
    /// Figures about runners from the sender and the VMs that it speaks for, sorted by runner id.
    pub tallies: Vec<Tally>,
    /// Age of the sender's knowledge of the runners, in milliseconds.
    pub roster_age: u64,
    /// All runners' entries, if the recipient's are older.
    pub entries: Option<Roster>,
    /// The configuration, if the recipient's is older.
    pub document: Option<Vec<u8>>,
    /// The directory, if the recipient's is older.
    pub directory: Option<Directory>,
    /// The list of VMs with a disk, if the recipient's is older.
    pub members: Option<List>,
}

/// Builds the message to a VM with the given status.
pub fn message(node: &Node, to: &str, theirs: &Status) -> Message {
    let now = node.clock.now();
    let settings = &node.settings;
    let (origin, tallies) = tallies_for(node, to, now);
    let table = node.table();
    let members = node.replicas.list();
    let status = status(node);
    let is_newer = |own: u64, theirs: u64| own > theirs;
    Message {
        vm: settings.vm.clone(),
        centre: settings.centre.clone(),
        status,
        origin,
        tallies,
        roster_age: node.runners_age().as_u64(),
        entries: is_newer(status.roster, theirs.roster).then(|| node.roster().clone()),
        document: is_newer(status.config, theirs.config).then(|| table.document.clone()),
        directory: is_newer(status.directory, theirs.directory).then(|| node.directory().clone()),
        members: is_newer(status.members, theirs.members).then(|| List::clone(&members)),
    }
}

/// Returns the state that this VM reports of itself.
fn status(node: &Node) -> Status {
    Status {
        roster: node.roster().revision,
        config: node.table().version,
        directory: node.directory().revision,
        members: node.replicas.list().version,
        centre_vms: node.peers().count_in(&node.settings.centre),
        lifecycle: node.stop().map_or(Lifecycle::Stays, |_| Lifecycle::Stops),
        access: node.access(),
    }
}

/// Returns the tallies for a VM and their origin. A hub sends the VMs of its own data centre the
/// sum of all other VMs, and other hubs the sum of its data centre.
fn tallies_for(node: &Node, to: &str, now: Millis) -> (Origin, Vec<Tally>) {
    let settings = &node.settings;
    let peers = node.peers();
    let in_own_centre = |vm: &str| peers.is_in_centre(vm, &settings.centre);
    match peers.exchange_role(&settings.vm, &settings.centre, now) {
        peers::Role::Direct | peers::Role::Leaf => {
            let tallies = node.fleet().tallies(now, |_| false);
            (Origin::Vm(settings.vm.clone()), tallies)
        }
        peers::Role::Hub => {
            let (recipient, origin) = if in_own_centre(to) {
                (Recipient::SameCentre(to), Origin::Others)
            } else {
                (Recipient::OtherHub, Origin::Centre(settings.centre.clone()))
            };
            let is_forwarded =
                |of: &Origin| tally::is_forwarded(of, recipient, &settings.centre, in_own_centre);
            (origin, node.fleet().tallies(now, is_forwarded))
        }
    }
}
