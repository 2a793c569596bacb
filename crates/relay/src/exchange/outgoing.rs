//! Builds messages to other VMs.

use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;

use crate::node::Node;
use crate::peers;
use crate::peers::Lifecycle;
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
    /// The VMs whose figures `tallies` contains.
    pub origin: Origin,
    /// Figures about runners from the sender and the VMs that it speaks for, sorted by runner id.
    pub tallies: Vec<Tally>,
    /// Revision of the sender's roster.
    pub roster: u64,
    /// Age of the sender's knowledge of the runners, in milliseconds.
    pub roster_age: u64,
    /// Revision of the sender's configuration.
    pub config: u64,
    /// All runners' entries, if the recipient's are older.
    pub entries: Option<Roster>,
    /// The configuration, if the recipient's is older.
    pub document: Option<Vec<u8>>,
    /// Whether the sender keeps running.
    #[serde(default)]
    pub course: Lifecycle,
}

/// Builds the message to a VM that has the given revisions of roster and configuration.
pub fn message(node: &Node, to: &str, roster: u64, config: u64) -> Message {
    let now = node.clock.now();
    let settings = &node.settings;
    let (origin, tallies) = tallies_for(node, to, now);
    let table = node.table();
    let known = node.roster();
    Message {
        vm: settings.vm.clone(),
        origin,
        tallies,
        roster: known.revision,
        roster_age: node.runners_age().as_u64(),
        config: table.version,
        entries: (known.revision > roster).then(|| known.clone()),
        document: (table.version > config).then(|| table.document.clone()),
        course: node.stop().map_or(Lifecycle::Stays, |_| Lifecycle::Stops),
    }
}

/// Returns the tallies for a VM and their origin. A hub sends the VMs of its own data centre all
/// that it knows of the others, and other hubs the sum of its data centre.
fn tallies_for(node: &Node, to: &str, now: Millis) -> (Origin, Vec<Tally>) {
    let settings = &node.settings;
    let peers = node.peers();
    let in_own_centre = |vm: &str| {
        let peer = peers.peer(vm);
        peer.is_some_and(|peer| peer.centre == settings.centre)
    };
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
