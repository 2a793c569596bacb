//! Follows what the operators and the runners write into the key-value service.

use std::sync::Arc;
use std::time::Duration;

use adapter::config;
use adapter::keys;
use adapter::kv::Freshness;
use adapter::kv::Listing;
use adapter::kv::News;
use adapter::runner;
use platform::edge;
use platform::edge::Entry;
use replica::list::List;
use tokio::time::sleep;
use wire::clock::Millis;
use wire::event::Event;

use crate::fleet;
use crate::metrics::Counter;
use crate::node::Node;
use crate::peers::Place;
use crate::roster;
use crate::table::Table;

/// How long a watch waits at the service for a change.
const WAIT: Millis = Millis::new(20_000);
/// How long a watch of the runners does. Heartbeats alone change no entry, so that in quiet minutes
/// nothing comes; each return, also an empty one, tells that what is known is current. With the
/// pause it stays below the age at which other VMs take the knowledge for stale and read the
/// entries themselves, all of them at once.
const WAIT_RUNNERS: Millis = Millis::new(500);
/// The pause between two watches of the runners. Their entries change at each heartbeat, so that a
/// watch returns at once; the pause gathers changes, and keeps a leaving runner from being used
/// for longer than a fifth of the time that is allowed.
const PAUSE: Duration = Duration::from_millis(400);
/// By how many VMs the pause between two watches of the system's own keys grows by [`PAUSE`]. Each
/// VM that starts writes a key, which every other VM's watch returns for: with 87 of them restarted
/// one by one that were 8,137 calls in a minute. What these keys tell isn't urgent, as members with
/// a disk tell a new list themselves.
const OWN_SPREAD: u32 = 8;
/// The longest pause after failed calls for the system's own keys, and for VMs that read the runners
/// only as the one that does it for them doesn't; so many at once would keep the service busy with
/// refusals.
const AGAIN_MOST: Duration = Duration::from_millis(1_200);
/// The longest pause after failed calls for the configuration: under a third of the time in which
/// one has to be in force. With the first pause each time, 19 VMs that the service turned away for
/// nine seconds asked it 678 times for the configuration alone.
const AGAIN_CONFIG: Duration = Duration::from_millis(600);
/// The pause after a failed call, below a tenth of the time in which a configuration has to be in
/// force.
const AGAIN: Duration = Duration::from_millis(150);

/// What is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The operators' configuration.
    Config,
    /// The runners' entries.
    Runners,
    /// The system's own keys.
    Own,
}

impl Subject {
    const fn prefix(self) -> &'static str {
        match self {
            Self::Config => keys::CONFIG,
            Self::Runners => keys::RUNNERS,
            Self::Own => keys::OWN,
        }
    }

    const fn wait(self) -> Millis {
        match self {
            Self::Config | Self::Own => WAIT,
            Self::Runners => WAIT_RUNNERS,
        }
    }
}

/// Where a VM learns of a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// It watches the key-value service.
    Store,
    /// It reads a copy there now and then, which may be seconds old and costs a tenth.
    Copy,
    /// Other VMs tell it.
    Peers,
}

impl Source {
    const fn freshness(self) -> Freshness {
        match self {
            Self::Store | Self::Peers => Freshness::Latest,
            Self::Copy => Freshness::Stale,
        }
    }
}

/// Decides where a VM learns of a subject: `place` is the VM's among those that tell each other,
/// `reads` whether it reads the runners for all, `stale` whether what others told is too old.
///
/// In a large deployment a watch of every VM for every subject was most of what the service was
/// asked: each change has as many answers as there are VMs, in which a VM that has a hub hears of
/// it within two exchanges. What its hub tells is current as long as the runners' entries are, as
/// both come in one message; when they aren't, it asks the service itself.
#[must_use]
pub const fn source(subject: Subject, place: Place, reads: bool, stale: bool) -> Source {
    match (subject, place) {
        (Subject::Runners, _) if reads || stale => Source::Store,
        (Subject::Runners, _) => Source::Peers,
        (Subject::Config, Place::Leaf) if !stale => Source::Peers,
        (Subject::Own, Place::Leaf) => Source::Copy,
        (Subject::Config | Subject::Own, _) => Source::Store,
    }
}

/// Yields the pause between two reads of the system's own keys.
fn own_pause(node: &Node) -> Duration {
    let vms = u32::try_from(node.peers().count()).unwrap_or(u32::MAX);
    PAUSE * (1 + vms / OWN_SPREAD)
}

/// Names the key of the list of VMs with a disk.
#[must_use]
pub fn list_key() -> String {
    format!("{}members", keys::OWN)
}

/// Names the prefix of the VMs that take requests.
#[must_use]
pub fn vm_prefix() -> String {
    format!("{}vm/", keys::OWN)
}

/// Follows a subject for as long as it is polled.
pub async fn run(node: Arc<Node>, subject: Subject) {
    let mut away = Away::default();
    loop {
        let source = node.source(subject);
        if source == Source::Peers {
            sleep(PAUSE).await;
            continue;
        }
        let listed = node.kv.list(subject.prefix(), source.freshness()).await;
        node.metrics.count(Counter::StoreCalls);
        match listed {
            Ok(listing) => {
                away.answered(subject);
                let revision = listing.revision;
                take_all(&node, subject, listing);
                match source {
                    Source::Copy => sleep(own_pause(&node)).await,
                    Source::Store | Source::Peers => {
                        watch(&node, subject, revision, &mut away).await;
                    }
                }
            }
            Err(fault) => away.failed(subject, &fault),
        }
        sleep(away.pause(subject, &node)).await;
    }
}

/// Watches until the history has been dropped.
async fn watch(node: &Arc<Node>, subject: Subject, revision: u64, away: &mut Away) {
    let mut revision = revision;
    loop {
        let news = node
            .kv
            .changes(subject.prefix(), revision, subject.wait())
            .await;
        node.metrics.count(Counter::StoreCalls);
        match news {
            Ok(News::Changes {
                changes,
                revision: next,
            }) => {
                away.answered(subject);
                revision = next.max(revision);
                for change in changes {
                    take(node, subject, change);
                }
                match subject {
                    Subject::Runners => {
                        node.set_runners_at(node.clock.now());
                        sleep(PAUSE).await;
                    }
                    Subject::Own => sleep(own_pause(node)).await,
                    Subject::Config => {}
                }
                if node.source(subject) != Source::Store {
                    return;
                }
            }
            Ok(News::Dropped) => return,
            Err(fault) => {
                away.failed(subject, &fault);
                sleep(away.pause(subject, node)).await;
                // What is listed tells more than a watch that may have been cut for long.
                if away.since_failures() {
                    return;
                }
            }
        }
    }
}

/// Whether the service answers, for the log.
#[derive(Debug, Default)]
struct Away {
    failures: u32,
}

impl Away {
    fn answered(&mut self, subject: Subject) {
        if self.failures > 0 {
            log::info!(
                "event=E{} text=\"{}\" subject={subject:?} failures={}",
                Event::OutageEnded.number(),
                Event::OutageEnded.text(),
                self.failures
            );
        }
        self.failures = 0;
    }

    fn failed(&mut self, subject: Subject, fault: &edge::Fault) {
        if self.failures == 0 {
            log::warn!(
                "event=E{} text=\"{}\" subject={subject:?} fault=\"{fault}\"",
                Event::OutageBegan.number(),
                Event::OutageBegan.text()
            );
        }
        self.failures += 1;
    }

    /// Yields how long to wait before the next call.
    fn pause(&self, subject: Subject, node: &Node) -> Duration {
        let now = node.clock.now();
        let reads = node.peers().is_reader(&node.settings.vm, now);
        let most = match subject {
            Subject::Config => AGAIN_CONFIG,
            Subject::Runners if reads => AGAIN,
            Subject::Runners | Subject::Own => AGAIN_MOST,
        };
        let doublings = self.failures.saturating_sub(1).min(4);
        (AGAIN * 2_u32.pow(doublings)).min(most)
    }

    const fn since_failures(&self) -> bool {
        self.failures > 2
    }
}

fn take_all(node: &Arc<Node>, subject: Subject, listing: Listing) {
    if subject == Subject::Runners {
        let mut ids: Vec<String> = listing
            .entries
            .iter()
            .filter_map(|entry| id(&entry.key))
            .collect();
        ids.sort();
        let now = node.clock.now();
        node.fleet().note_missing(&ids, now);
        node.set_runners_at(now);
        let missing: Vec<String> = {
            let roster = node.roster();
            let known = roster.entries.iter().map(|(id, _)| id.clone());
            known.filter(|id| ids.binary_search(id).is_err()).collect()
        };
        for id in missing {
            node.roster().remove(&id, listing.revision);
        }
    }
    if subject == Subject::Own {
        let prefix = vm_prefix();
        let listed = listing.entries.iter();
        let vms = listed.filter_map(|entry| entry.key.strip_prefix(&prefix));
        let vms: Vec<String> = vms.map(str::to_owned).collect();
        let now = node.clock.now();
        node.peers().keep(&vms, now);
    }
    for entry in listing.entries {
        take(node, subject, edge::Change::Set(entry));
    }
}

fn take(node: &Arc<Node>, subject: Subject, change: edge::Change) {
    match (subject, change) {
        (Subject::Config, edge::Change::Set(entry)) => take_config(node, &entry.value),
        (Subject::Runners, edge::Change::Set(entry)) => take_runner(node, &entry),
        (Subject::Runners, edge::Change::Removed { key, revision }) => {
            drop_runner(node, &key, revision);
        }
        (Subject::Own, edge::Change::Set(entry)) => take_own(node, &entry),
        (Subject::Own, edge::Change::Removed { key, .. }) => {
            if let Some(vm) = key.strip_prefix(&vm_prefix()) {
                let now = node.clock.now();
                node.peers().lapse(vm, now);
            }
        }
        (Subject::Config, edge::Change::Removed { .. }) => {}
    }
}

/// Puts a configuration in force, wherever it came from.
pub fn take_config(node: &Arc<Node>, bytes: &[u8]) {
    let config = match config::decode(bytes) {
        Ok(config) => config,
        Err(fault) => {
            log::error!(
                "event=E{} text=\"{}\" fault=\"{fault}\"",
                Event::RevisionDropped.number(),
                Event::RevisionDropped.text()
            );
            return;
        }
    };
    let version = config.version;
    let routes = config.routes.len();
    let before = node.table().version;
    if node.set_table(Table::new(config, bytes)) {
        let table = node.table();
        node.fleet().learn_memory(|service| table.memory(service));
        log::info!(
            "event=E{} text=\"{}\" revision={version} before={before} routes={routes}",
            Event::RevisionApplied.number(),
            Event::RevisionApplied.text()
        );
    }
}

fn id(key: &str) -> Option<String> {
    key.strip_prefix(keys::RUNNERS).map(str::to_owned)
}

fn take_runner(node: &Arc<Node>, entry: &Entry) {
    let Some(id) = id(&entry.key) else {
        return;
    };
    let Some(decoded) = runner::decode(&entry.value) else {
        log::warn!(
            "event=E{} text=\"{}\" key={} store_revision={}",
            Event::EntryUnreadable.number(),
            Event::EntryUnreadable.text(),
            entry.key,
            entry.revision
        );
        return;
    };
    let line = format!(
        "runner={id} service={} address={} slots={} store_revision={}",
        decoded.service, decoded.address, decoded.slots, entry.revision
    );
    let change = set_runner(node, &id, decoded);
    let weight = match change {
        fleet::Change::Same => roster::Weight::Heartbeat,
        _ => roster::Weight::Matters,
    };
    node.roster().set(&id, &entry.value, entry.revision, weight);
    log_change(&change, &line);
}

/// Takes a runner's entry in, wherever it came from.
pub fn set_runner(node: &Arc<Node>, id: &str, entry: runner::Entry) -> fleet::Change {
    let memory = node.table().memory(&entry.service);
    node.fleet().set(id, entry, memory)
}

fn drop_runner(node: &Arc<Node>, key: &str, revision: u64) {
    if let Some(id) = id(key) {
        node.roster().remove(&id, revision);
        let change = node.fleet().remove(&id);
        log_change(&change, &format!("runner={id}"));
    }
}

/// Logs what became of a runner.
pub fn log_change(change: &fleet::Change, line: &str) {
    let event = match change {
        fleet::Change::Appeared => Event::EndpointAppeared,
        fleet::Change::Leaves => Event::EndpointLeaving,
        fleet::Change::Gone => Event::EndpointGone,
        fleet::Change::Same => return,
    };
    log::info!("event=E{} text=\"{}\" {line}", event.number(), event.text());
}

fn take_own(node: &Arc<Node>, entry: &Entry) {
    if entry.key == list_key() {
        match rmp_serde::from_slice::<List>(&entry.value) {
            Ok(list) => node.replicas.adopt(list),
            Err(fault) => log::error!("text=\"the list can't be read\" fault=\"{fault}\""),
        }
        return;
    }
    if let Some(vm) = entry.key.strip_prefix(&vm_prefix()) {
        let text = std::str::from_utf8(&entry.value).ok();
        let parts = text.and_then(|text| text.split_once(' '));
        let parsed = parts.and_then(|(address, centre)| Some((address.parse().ok()?, centre)));
        match parsed {
            Some((address, centre)) if vm != node.settings.vm => {
                let now = node.clock.now();
                node.peers().set(vm, centre, address, now);
            }
            Some(_) => {}
            None => log::warn!("text=\"a VM's entry can't be read\" key={}", entry.key),
        }
    }
}

#[cfg(test)]
mod tests;
