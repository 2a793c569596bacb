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
    match subject {
        Subject::Runners => runners_listing(node, &listing),
        Subject::Own => own_listing(node, listing),
        Subject::Config | Subject::Proof => {
            let entries = listing.entries.into_iter().map(edge::Change::Set);
            changes(node, subject, entries.collect());
        }
    }
}

/// Applies a list of the runners' entries, unless another VM has passed on newer ones meanwhile: those
/// would be undone, and departed runners would be used again.
fn runners_listing(node: &Arc<Node>, listing: &Listing) {
    let before = node.roster().revision;
    if listing.revision >= before {
        let entries = listing.entries.iter();
        let ids = entries.filter_map(|entry| keys::runner_id(&entry.key));
        let mut ids: Vec<String> = ids.map(str::to_owned).collect();
        ids.sort();
        node.unreadable().retain(|key| {
            let entries = &listing.entries;
            let found = entries.binary_search_by(|entry| entry.key.as_str().cmp(key));
            found.is_ok()
        });
        // These haven't lapsed: the service has told of their removal.
        for key in &listing.removed {
            drop_runner(node, key, listing.revision);
        }
        drop_missing(node, &ids, "listed=false");
        let removed = node.roster().retain_listed(&ids, listing.revision);
        for entry in &listing.entries {
            runner_entry(node, entry);
        }
        let mut roster = node.roster();
        // An empty list may come from a service that has lost all entries, so the roster's revision
        // stays and other VMs keep their entries.
        if !listing.entries.is_empty() {
            roster.note_listed(before, listing.revision);
        }
        roster.log_step(&roster::Step {
            source: roster::Source::List,
            from: before,
            changed: listing.entries.len(),
            removed,
        });
    }
    node.note_runners_current(node.clock.now());
}

fn own_listing(node: &Arc<Node>, listing: Listing) {
    replace_directory(node, &listing);
    let is_in_directory = |entry: &Entry| entry.key.starts_with(&subject::directory_prefix());
    let entries = listing.entries.into_iter();
    for entry in entries.filter(|entry| !is_in_directory(entry)) {
        system_entry(node, &entry);
    }
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

/// Applies changes of entries, in order. Changes of runners that this VM's entries have already, as
/// another VM has told it of them, are left out: an older state would undo a newer one.
pub fn changes(node: &Arc<Node>, subject: Subject, changes: Vec<edge::Change>) {
    let known = match subject {
        Subject::Runners => node.roster().revision,
        Subject::Config | Subject::Own | Subject::Proof => 0,
    };
    let is_new = |change: &edge::Change| change.revision() > known;
    for change in changes.into_iter().filter(is_new) {
        apply(node, subject, change);
    }
}

fn apply(node: &Arc<Node>, subject: Subject, change: edge::Change) {
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

fn runner_entry(node: &Arc<Node>, entry: &Entry) {
    let decoded = runner::decode(&entry.value);
    let (Some(id), Some(decoded)) = (keys::runner_id(&entry.key), decoded) else {
        unreadable_entry(node, entry);
        return;
    };
    node.unreadable().forget(&entry.key);
    let line = format!(
        "runner={id} service={} address={} slots={} store_revision={}",
        decoded.service, decoded.address, decoded.slots, entry.revision
    );
    let change = set_runner(node, id, decoded);
    let roster_change = match change {
        fleet::Change::Unchanged => roster::Change::Heartbeat,
        _ => roster::Change::Significant,
    };
    node.roster()
        .set(id, &entry.value, entry.revision, roster_change);
    fleet::log_change(&change, &line);
}

/// Applies an entry that names no runner. The one that it named before isn't used any more: no VM that
/// starts now would know it.
fn unreadable_entry(node: &Node, entry: &Entry) {
    node.metrics.count(Counter::EntriesUnreadable);
    if node.unreadable().note(&entry.key) {
        log::warn!(
            "event=E{} text=\"{}\" key={:?} store_revision={}",
            Event::EntryUnreadable.number(),
            Event::EntryUnreadable.text(),
            entry.key,
            entry.revision
        );
    }
    remove_runner(node, &entry.key, entry.revision);
}

/// Applies a runner's entry, whether it came from the key-value service or from another VM.
pub fn set_runner(node: &Arc<Node>, id: &str, entry: runner::Entry) -> fleet::Change {
    let memory = node.table().memory_tokens(&entry.service);
    node.fleet().set(id, entry, memory)
}

fn drop_runner(node: &Node, key: &str, revision: u64) {
    node.unreadable().forget(key);
    remove_runner(node, key, revision);
}

fn remove_runner(node: &Node, key: &str, revision: u64) {
    if let Some(id) = keys::runner_id(key) {
        node.roster().remove(id, revision);
        let change = node.fleet().remove(id);
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
