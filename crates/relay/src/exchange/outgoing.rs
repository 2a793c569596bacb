//! What a VM tells another one.

use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;

use crate::node::Node;
use crate::peers::ExchangeRole;
use crate::peers::Lifecycle;
use crate::roster::Roster;
use crate::tally;
use crate::tally::Origin;
use crate::tally::Recipient;
use crate::tally::Tally;

/// One side of an exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The VM.
    pub vm: String,
    /// Whose tallies these are.
    pub origin: Origin,
    /// What the VM, and other VMs that it speaks for, have at runners; in the order of their ids.
    pub tallies: Vec<Tally>,
    /// The roster's revision that it has.
    pub roster: u64,
    /// How old its knowledge of the runners is, in milliseconds.
    pub roster_age: u64,
    /// The configuration's revision that it has.
    pub config: u64,
    /// All entries, where the other has older ones.
    pub entries: Option<Roster>,
    /// The configuration, where the other has an older one.
    pub document: Option<Vec<u8>>,
    /// Whether the VM goes on.
    #[serde(default)]
    pub course: Lifecycle,
}

/// Builds the message for a VM that has these revisions.
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

/// Yields what a VM is told of the runners, and whose figures these are: a hub tells its own VMs
/// all that it knows of the others, and other hubs the sum of its data centre.
fn tallies_for(node: &Node, to: &str, now: Millis) -> (Origin, Vec<Tally>) {
    let settings = &node.settings;
    let peers = node.peers();
    let in_own_centre = |vm: &str| {
        let peer = peers.peer(vm);
        peer.is_some_and(|peer| peer.centre == settings.centre)
    };
    match peers.exchange_role(&settings.vm, &settings.centre, now) {
        ExchangeRole::Direct | ExchangeRole::Leaf => {
            let tallies = node.fleet().tallies(now, |_| false);
            (Origin::Vm(settings.vm.clone()), tallies)
        }
        ExchangeRole::Hub => {
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
