//! Builds messages to other VMs.

use replica::list::List;
use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;

use crate::crashes::news::News;
use crate::crashes::news::Relations;
use crate::directory::Directory;
use crate::document;
use crate::fleet::silence;
use crate::fleet::slowdown;
use crate::freshness::Proof;
use crate::metrics::Counter;
use crate::node::Node;
use crate::peers;
use crate::peers::Lifecycle;
use crate::peers::Recipient;
use crate::peers::Status;
use crate::roster::Delta;
use crate::roster::Roster;
use crate::roster::transfer;
use crate::roster::transfer::Part;
use crate::tally;
use crate::tally::Origin;
use crate::tally::Tally;
use crate::usage;
use crate::usage::contact::Fleet;
use crate::usage::report::Entry;
use crate::usage::report::Report;
use crate::usage::report::Scope;
use crate::usage::report::Sum;

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
    /// The configuration, if the recipient's is older and it isn't too long for a message.
    pub document: Option<Vec<u8>>,
    /// The directory, if the recipient's is older.
    pub directory: Option<Directory>,
    /// The list of VMs with a disk, if the recipient's is older.
    pub members: Option<List>,
    /// What was added to the format later.
    #[serde(skip)]
    pub extension: Extension,
    /// What was added after that; its relations were added last and follow [`Self::slowdowns`].
    #[serde(skip)]
    pub crashes: News,
    /// What was added after that: the requests of workspaces that have a limit, from the VMs of the message's
    /// origin. `None` from a process that tells only their sums.
    #[serde(skip)]
    pub limits: Option<Report>,
    /// What was added after that: how fast the runners' machines are, as read by the VMs of the message's
    /// origin. Sorted by runner. Only a message with [`Self::limits`] has any.
    #[serde(skip)]
    pub slowdowns: Vec<slowdown::Told>,
    /// What was added after that: which runners the VMs of the message's origin found silent, or reached
    /// again. Sorted by runner. Only a message with [`Self::limits`] has any.
    #[serde(skip)]
    pub silences: Vec<silence::Told>,
}

/// The part of a message that follows its first part. A process that doesn't know it reads the first
/// part only.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extension {
    /// What the sender says of its configuration.
    pub proof: Proof,
    /// The sums of the requests of workspaces that have a limit, for processes that don't know
    /// [`Message::limits`]; sorted by workspace.
    pub sums: Vec<Sum>,
    /// The changes of the runners' entries, if the recipient's are only a few changes behind.
    pub changes: Option<Delta>,
    /// Some of the runners' entries, if they are too many for a message.
    pub part: Option<Part>,
    /// The last entry that the sender has of those that the recipient sends in parts.
    pub cursor: Option<String>,
    /// For how long the VMs of the message's origin, or others that they heard, have counted requests
    /// of workspaces, in milliseconds; for processes that don't know [`Message::limits`].
    pub counted_for: u64,
}

/// Encodes a message.
///
/// # Errors
///
/// Fails if the message can't be encoded.
pub fn encode(message: &Message) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut bytes = rmp_serde::to_vec(message)?;
    rmp_serde::encode::write(&mut bytes, &message.extension)?;
    if message.crashes != News::default() || message.limits.is_some() {
        rmp_serde::encode::write(&mut bytes, &message.crashes)?;
    }
    if let Some(limits) = &message.limits {
        rmp_serde::encode::write(&mut bytes, limits)?;
        let relations = &message.crashes.relations;
        let has_silences = !message.silences.is_empty();
        let has_relations = *relations != Relations::default() || has_silences;
        if has_relations || !message.slowdowns.is_empty() {
            rmp_serde::encode::write(&mut bytes, &message.slowdowns)?;
        }
        if has_relations {
            rmp_serde::encode::write(&mut bytes, relations)?;
        }
        if has_silences {
            rmp_serde::encode::write(&mut bytes, &message.silences)?;
        }
    }
    Ok(bytes)
}

/// Decodes a message, which may lack the extension and what follows it.
///
/// # Errors
///
/// Fails if the bytes aren't a message.
pub fn decode(bytes: &[u8]) -> Result<Message, rmp_serde::decode::Error> {
    let mut rest = bytes;
    let mut message: Message = rmp_serde::from_read(&mut rest)?;
    if !rest.is_empty() {
        message.extension = rmp_serde::from_read(&mut rest)?;
    }
    if !rest.is_empty() {
        message.crashes = rmp_serde::from_read(&mut rest)?;
    }
    if !rest.is_empty() {
        message.limits = Some(rmp_serde::from_read(&mut rest)?);
    }
    if !rest.is_empty() {
        message.slowdowns = rmp_serde::from_read(&mut rest)?;
    }
    if !rest.is_empty() {
        message.crashes.relations = rmp_serde::from_read(&mut rest)?;
    }
    if !rest.is_empty() {
        message.silences = rmp_serde::from_read(&mut rest)?;
    }
    Ok(message)
}

/// Builds the message to a VM with the given status.
pub fn message(node: &Node, to: &str, theirs: &Status, peer: Recipient<'_>) -> Message {
    let now = node.clock.now();
    let settings = &node.settings;
    let Figures {
        origin,
        tallies,
        limits,
        slowdowns,
        silences,
    } = figures_for(node, to, now);
    let (table, config_age) = node.table_with_age();
    let members = node.replicas.list();
    let status = status(node, table.version);
    let is_newer = |own: u64, theirs: u64| own > theirs;
    let is_short = table.document.len() <= document::MAX_ATTACHED_BYTES;
    let attaches = is_short && is_newer(status.config, theirs.config);
    let document = attaches.then(|| table.document.to_vec());
    let document_bytes = document.as_ref().map_or(0, Vec::len);
    node.metrics
        .add(Counter::DocumentBytes, document_bytes as u64);
    let RosterNews {
        entries,
        changes,
        part,
    } = roster_news(node, theirs, peer);
    Message {
        vm: settings.vm.clone(),
        centre: settings.centre.clone(),
        status,
        origin,
        tallies,
        roster_age: node.runners_age().as_u64(),
        entries,
        document,
        directory: is_newer(status.directory, theirs.directory).then(|| node.directory().clone()),
        members: is_newer(status.members, theirs.members).then(|| List::clone(&members)),
        extension: Extension {
            proof: Proof {
                stamp: Some(node.stamp()),
                echo: peer.stamp,
                age: config_age.map(Millis::as_u64),
            },
            sums: limits.entries.iter().map(Entry::sum).collect(),
            changes,
            part,
            cursor: node.roster_cursor(to),
            counted_for: limits.counted_for,
        },
        crashes: node.crashes().news(to, node.stamp().process, now),
        limits: Some(limits),
        slowdowns,
        silences,
    }
}

/// Returns the state that this VM reports of itself.
fn status(node: &Node, config: u64) -> Status {
    Status {
        roster: node.roster().revision,
        config,
        directory: node.directory().revision,
        members: node.replicas.list().version,
        centre_vms: node.peers().count_in(&node.settings.centre),
        lifecycle: node.stop().map_or(Lifecycle::Stays, |_| Lifecycle::Stops),
        access: node.access(),
    }
}

/// What a VM needs to know of the runners' entries; at most one of these.
#[derive(Default)]
struct RosterNews {
    entries: Option<Roster>,
    changes: Option<Delta>,
    part: Option<Part>,
}

fn roster_news(node: &Node, theirs: &Status, peer: Recipient<'_>) -> RosterNews {
    let roster = node.roster();
    if roster.revision <= theirs.roster {
        return RosterNews::default();
    }
    let knows_extension = peer.stamp.is_some();
    let changes = if knows_extension {
        roster.delta(theirs.roster)
    } else {
        None
    };
    let is_large = knows_extension && roster.entries.len() > transfer::MAX_ENTRIES;
    match changes {
        Some(_) => RosterNews {
            changes,
            ..RosterNews::default()
        },
        None if is_large => RosterNews {
            part: Some(Part::of(&roster, peer.cursor)),
            ..RosterNews::default()
        },
        None => RosterNews {
            entries: Some(roster.clone()),
            ..RosterNews::default()
        },
    }
}

/// What a message says of the requests of several VMs, and of what they read.
struct Figures {
    origin: Origin,
    tallies: Vec<Tally>,
    limits: Report,
    slowdowns: Vec<slowdown::Told>,
    silences: Vec<silence::Told>,
}

/// Returns the figures for a VM and their origin. A hub sends the VMs of its own data centre the
/// sum of all other VMs, and other hubs the sum of its data centre.
fn figures_for(node: &Node, to: &str, now: Millis) -> Figures {
    let settings = &node.settings;
    let fleet = usage::fleet(node);
    let peers = node.peers();
    let in_own_centre = |vm: &str| peers.is_in_centre(vm, &settings.centre);
    match peers.exchange_role(&settings.vm, &settings.centre, now) {
        peers::Role::Direct | peers::Role::Leaf => {
            let origin = Origin::Vm(settings.vm.clone());
            figures(node, origin, now, Scope::Own, fleet, |_| false)
        }
        peers::Role::Hub => {
            let (recipient, origin, scope) = if in_own_centre(to) {
                let recipient = tally::Recipient::SameCentre(to);
                (recipient, Origin::Others, Scope::AllBut(to))
            } else {
                let origin = Origin::Centre(settings.centre.clone());
                (tally::Recipient::OtherHub, origin, Scope::Centre)
            };
            let is_forwarded =
                |of: &Origin| tally::is_forwarded(of, recipient, &settings.centre, in_own_centre);
            figures(node, origin, now, scope, fleet, is_forwarded)
        }
    }
}

/// Returns the figures of an origin. A leaf of the hub is told of the runners that it uses only.
fn figures(
    node: &Node,
    origin: Origin,
    now: Millis,
    scope: Scope<'_>,
    fleet: Fleet,
    speaks_for: impl Fn(&Origin) -> bool,
) -> Figures {
    let tallies = match scope {
        Scope::AllBut(vm) => {
            let centre = &node.settings.centre;
            node.fleet().tallies_for(vm, centre, now, &speaks_for)
        }
        Scope::Own | Scope::Centre => node.fleet().tallies(now, &speaks_for),
    };
    // Locked once: in the value below, two guards would be held at the same time.
    let (slowdowns, silences) = {
        let fleet = node.fleet();
        let silences = fleet.silences(now, &speaks_for);
        (fleet.slowdowns(now, &speaks_for), silences)
    };
    Figures {
        origin,
        tallies,
        slowdowns,
        silences,
        limits: node.usage().report(scope, fleet, &speaks_for, now),
    }
}
