//! Applies what operators, runners and VMs write into the key-value service.

use std::sync::Arc;

use adapter::config;
use adapter::keys;
use adapter::kv::Listing;
use adapter::runner;
use platform::edge;
use platform::edge::Entry;
use replica::list::List;
use wire::event::Event;

use crate::crashes;
use crate::directory;
use crate::directory::Directory;
use crate::fleet;
use crate::metrics::Counter;
use crate::node::Node;
use crate::roster;
use crate::subject;
use crate::subject::Subject;
use crate::table::Table;

/// Applies a complete listing of a subject's entries.
pub fn listing(node: &Arc<Node>, subject: Subject, listing: Listing) {
    // After an outage, another VM may have read the entries while they had lapsed and passed that on
    // as newer than what this VM knows.
    let is_news = subject == Subject::Runners
        && !listing.entries.is_empty()
        && (node.roster().entries.is_empty() || node.may_have_lapsed());
    let before = node.roster().revision;
    let mut removed = 0;
    if subject == Subject::Runners {
        removed = apply_missing(node, &listing);
    }
    if subject == Subject::Own {
        replace_directory(node, &listing);
    }
    let listed = listing.entries.len();
    let is_in_directory = |entry: &Entry| entry.key.starts_with(&subject::directory_prefix());
    for entry in listing.entries {
        if subject == Subject::Own && is_in_directory(&entry) {
            continue;
        }
        change(node, subject, edge::Change::Set(entry));
    }
    // An empty list may come from a service that has lost all entries, so the roster's revision
    // stays and other VMs keep their entries.
    if is_news {
        node.roster().note_listed(before, listing.revision);
    }
    if subject == Subject::Runners {
        node.roster().log_step(&roster::Step {
            source: roster::Source::List,
            from: before,
            changed: listed,
            removed,
        });
    }
}

/// Drops the runners that a listing lacks.
///
/// A listing that is older than what another VM has passed on lacks runners that came since, so
/// nothing is dropped because of it. Returns how many entries were removed.
fn apply_missing(node: &Node, listing: &Listing) -> usize {
    let entries = listing.entries.iter();
    let mut ids: Vec<String> = entries.filter_map(|entry| runner_id(&entry.key)).collect();
    ids.sort();
    let mut removed = 0;
    if listing.revision >= node.roster().revision {
        drop_missing(node, &ids, "listed=false");
        removed = node.roster().retain_listed(&ids, listing.revision);
    }
    node.note_runners_current(node.clock.now());
    removed
}

/// Drops the runners that aren't listed; `source` says in the log where the list came from.
///
/// If the last known list is too recent for entries to have lapsed, the runners have left: if they
/// were used any longer, they would get calls after the time in which a leaving runner has to stop
/// getting them. Otherwise the service may have been unavailable and lost the entries of live
/// runners, so these runners are used a while longer.
pub fn drop_missing(node: &Node, listed: &[String], source: &str) {
    if node.may_have_lapsed() {
        let now = node.clock.now();
        node.fleet().note_missing(listed, now);
        return;
    }
    let gone = node.fleet().remove_unlisted(listed);
    for id in gone {
        fleet::log_change(&fleet::Change::Removed, &format!("runner={id} {source}"));
    }
}

/// Applies a change of one entry.
pub fn change(node: &Arc<Node>, subject: Subject, change: edge::Change) {
    match (subject, change) {
        (Subject::Config | Subject::Proof, edge::Change::Set(entry)) => {
            configuration(node, &entry.value);
        }
        (Subject::Runners, edge::Change::Set(entry)) => runner_entry(node, &entry),
        (Subject::Runners, edge::Change::Removed { key, revision }) => {
            drop_runner(node, &key, revision);
        }
        (Subject::Own, edge::Change::Set(entry)) => system_entry(node, &entry),
        (Subject::Own, edge::Change::Removed { key, revision }) => {
            change_directory(node, |directory| {
                directory.remove(&key, revision);
                directory.raise_revision(revision);
            });
        }
        (Subject::Config | Subject::Proof, edge::Change::Removed { .. }) => {}
    }
}

/// Puts a configuration in force, whether it came from the key-value service or from another VM.
pub fn configuration(node: &Arc<Node>, bytes: &[u8]) {
    let config = match config::decode(bytes) {
        Ok(config) => config,
        Err(fault) => {
            log::error!(
                "event=E{} text=\"{}\" fault=\"{fault}\"",
                Event::RevisionDropped.number(),
                Event::RevisionDropped.text()
            );
            node.metrics.count(Counter::ConfigsDropped);
            node.note_config_unreadable();
            return;
        }
    };
    let version = config.version;
    let routes = config.routes.len();
    let previous = node.table();
    let before = previous.version;
    if node.set_table(Table::new(config, bytes, &previous)) {
        let table = node.table();
        node.fleet()
            .set_memory(|service| table.memory_tokens(service));
        log::info!(
            "event=E{} text=\"{}\" revision={version} before={before} routes={routes}",
            Event::RevisionApplied.number(),
            Event::RevisionApplied.text()
        );
    }
}

fn runner_id(key: &str) -> Option<String> {
    key.strip_prefix(keys::RUNNERS).map(str::to_owned)
}

fn runner_entry(node: &Arc<Node>, entry: &Entry) {
    let Some(id) = runner_id(&entry.key) else {
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
    let roster_change = match change {
        fleet::Change::Unchanged => roster::Change::Heartbeat,
        _ => roster::Change::Significant,
    };
    node.roster()
        .set(&id, &entry.value, entry.revision, roster_change);
    fleet::log_change(&change, &line);
}

/// Applies a runner's entry, whether it came from the key-value service or from another VM.
pub fn set_runner(node: &Arc<Node>, id: &str, entry: runner::Entry) -> fleet::Change {
    let memory = node.table().memory_tokens(&entry.service);
    node.fleet().set(id, entry, memory)
}

fn drop_runner(node: &Arc<Node>, key: &str, revision: u64) {
    if let Some(id) = runner_id(key) {
        node.roster().remove(&id, revision);
        let change = node.fleet().remove(&id);
        fleet::log_change(&change, &format!("runner={id}"));
    }
}

/// Changes the directory, and the VMs that this one exchanges with accordingly.
pub fn change_directory(node: &Node, change: impl FnOnce(&mut Directory)) {
    let mut directory = node.directory();
    change(&mut directory);
    let now = node.clock.now();
    node.peers().apply(&directory.entries, now);
}

/// Replaces the directory by the entries of a listing unless the directory is newer.
fn replace_directory(node: &Node, listing: &Listing) {
    let entries = listing.entries.iter();
    let mut entries: Vec<_> = entries.filter_map(directory::decode).collect();
    entries.sort_by(|a, b| a.key.cmp(&b.key));
    let listed = Directory {
        revision: listing.revision,
        entries,
    };
    change_directory(node, |directory| directory.adopt(listed));
}

fn system_entry(node: &Arc<Node>, entry: &Entry) {
    if entry.key == subject::members_key() {
        match rmp_serde::from_slice::<List>(&entry.value) {
            Ok(list) => node.replicas.adopt(list),
            Err(fault) => log::error!("text=\"can't decode list of members\" fault=\"{fault}\""),
        }
        return;
    }
    if crashes::record::apply(node, entry) || !entry.key.starts_with(&subject::directory_prefix()) {
        return;
    }
    let Some(decoded) = directory::decode(entry) else {
        log::warn!("text=\"a VM's entry can't be decoded\" key={}", entry.key);
        return;
    };
    change_directory(node, |directory| {
        directory.set(decoded);
        directory.raise_revision(entry.revision);
    });
}
