//! Applies messages from other VMs.

use std::sync::Arc;

use adapter::kv::Freshness;
use adapter::runner;
use wire::clock::Millis;

use crate::exchange::outgoing::Message;
use crate::fleet;
use crate::freshness;
use crate::ingest;
use crate::metrics::Counter;
use crate::node::Node;
use crate::roster::Delta;
use crate::roster::Roster;
use crate::roster::Source;
use crate::roster::Step;
use crate::roster::transfer::Part;

/// Applies a message: the sender's status and figures, and its configuration and entries of runners
/// if they are newer.
pub fn apply(node: &Arc<Node>, received: Message) {
    let now = node.clock.now();
    let Message { vm, centre, .. } = &received;
    let proof = received.extension.proof;
    {
        let mut peers = node.peers();
        peers.note_status(vm, centre, received.status, now);
        peers.note_extension(vm, proof.stamp, received.extension.cursor.clone());
    }
    let process = node.stamp().process;
    node.crashes().apply(vm, &received.crashes, process, now);
    if let Some(directory) = received.directory {
        ingest::change_directory(node, |own| own.adopt(directory));
        node.note_directory_listed(Freshness::Stale);
    }
    if let Some(members) = received.members {
        node.replicas.adopt(members);
    }
    node.fleet()
        .note_tallies(&received.origin, &received.tallies, now);
    let taken = node
        .fleet()
        .note_slowdowns(&received.origin, &received.slowdowns, now);
    node.metrics.add(Counter::SlowdownsHeard, taken);
    if let Some(report) = &received.limits {
        let process = proof.stamp.map_or(0, |stamp| stamp.process);
        node.usage().note(&received.origin, process, report, now);
    } else {
        let sums = &received.extension.sums;
        let counted_for = Millis::new(received.extension.counted_for);
        node.usage()
            .note_sums(&received.origin, sums, counted_for, now);
    }
    if let Some(document) = &received.document {
        ingest::configuration(node, document);
    }
    if let Some(at) = freshness::current_at(&proof, process, now) {
        node.note_config_current(received.status.config, at);
    }
    if let Some(entries) = received.entries {
        replace_entries(node, &received.vm, entries);
    }
    if let Some(part) = received.extension.part {
        add_part(node, &received.vm, part);
    }
    if let Some(changes) = &received.extension.changes {
        change_entries(node, &received.vm, changes);
    }
    if received.status.roster >= node.roster().revision {
        let current_at = now.since(Millis::new(received.roster_age));
        node.note_runners_current(current_at);
    }
}

/// Replaces all runners' entries if those from the other VM are newer.
fn replace_entries(node: &Arc<Node>, vm: &str, entries: Roster) {
    let from = node.roster().revision;
    if entries.revision <= from {
        return;
    }
    let listed: Vec<String> = entries.entries.iter().map(|(id, _)| id.clone()).collect();
    ingest::drop_missing(node, &listed, &format!("heard_from={vm}"));
    set_runners(node, vm, &entries.entries);
    let mut roster = node.roster();
    let removed = roster.retain_listed(&listed, entries.revision);
    roster.replace(entries);
    roster.log_step(&Step {
        source: Source::Whole(vm),
        from,
        changed: listed.len(),
        removed,
    });
}

/// Applies a part of the runners' entries: the runners in it are used at once, and those that no part
/// has are dropped when the last one is there.
fn add_part(node: &Arc<Node>, vm: &str, part: Part) {
    if part.revision <= node.roster().revision {
        return;
    }
    set_runners(node, vm, &part.entries);
    if let Some(complete) = node.add_roster_part(vm, part) {
        replace_entries(node, vm, complete);
    }
}

/// Applies changes of the runners' entries if they follow on what this VM knows.
fn change_entries(node: &Arc<Node>, vm: &str, changes: &Delta) {
    let listed: Vec<String> = {
        let mut roster = node.roster();
        let from = roster.revision;
        if !roster.apply(changes) {
            return;
        }
        roster.log_step(&Step {
            source: Source::Changes(vm),
            from,
            changed: changes.changed.len(),
            removed: changes.removed.len(),
        });
        roster.entries.iter().map(|(id, _)| id.clone()).collect()
    };
    ingest::drop_missing(node, &listed, &format!("heard_from={vm}"));
    set_runners(node, vm, &changes.changed);
}

/// Applies runners' entries that another VM sent.
fn set_runners(node: &Arc<Node>, vm: &str, entries: &[(String, Vec<u8>)]) {
    for (id, bytes) in entries {
        if let Some(entry) = runner::decode(bytes) {
            let line = format!("runner={id} service={} heard_from={vm}", entry.service);
            let change = ingest::set_runner(node, id, entry);
            fleet::log_change(&change, &line);
        }
    }
}
