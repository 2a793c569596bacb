//! Takes in what another VM tells.

use std::sync::Arc;

use adapter::runner;
use wire::clock::Millis;

use crate::exchange::tell::Message;
use crate::fleet;
use crate::ingest;
use crate::node::Node;
use crate::peers::Told;
use crate::roster::Roster;

/// Takes a message in.
pub fn message(node: &Arc<Node>, told: Message) {
    let now = node.clock.now();
    let of_itself = Told {
        roster: told.roster,
        config: told.config,
        course: told.course,
    };
    node.peers().hear(&told.vm, of_itself, now);
    node.fleet().hear(&told.origin, &told.tallies, now);
    if let Some(document) = &told.document {
        ingest::configuration(node, document);
    }
    if let Some(entries) = told.entries {
        take_over(node, &told.vm, entries);
    }
    if told.roster >= node.roster().revision {
        let at = now.since(Millis::new(told.roster_age));
        node.set_runners_at(at);
    }
}

/// Takes newer entries over: all of them, and nothing else.
fn take_over(node: &Arc<Node>, vm: &str, entries: Roster) {
    if entries.revision <= node.roster().revision {
        return;
    }
    let listed: Vec<String> = entries.entries.iter().map(|(id, _)| id.clone()).collect();
    ingest::drop_missing(node, &listed, &format!("heard_from={vm}"));
    for (id, bytes) in &entries.entries {
        if let Some(entry) = runner::decode(bytes) {
            let line = format!("runner={id} service={} heard_from={vm}", entry.service);
            let change = ingest::set_runner(node, id, entry);
            fleet::log_change(&change, &line);
        }
    }
    *node.roster() = entries;
}
