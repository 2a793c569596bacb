//! What VMs tell each other of crashes, with each exchange.
//!
//! Each VM numbers the changes of what it knows, and sends another one those after the last that the
//! other has confirmed. Where nothing has crashed, nothing is sent.

use policy::crash::Content;
use policy::crash::Incarnation;
use policy::crash::Outcome;
use policy::crash::Report;
use policy::crash::Scope;
use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;

use crate::crashes::Crashes;

/// The most changes that a message holds.
const MAX_TOLD: usize = 128;
/// How long another VM that isn't heard is remembered. If it is heard again later, it is told
/// everything anew.
const CONTACT_RETENTION: Millis = Millis::new(60_000);

/// The part of a message about crashes. Encoded by position, so the order of fields must not change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The sender's process, to which its numbers belong.
    pub process: u64,
    /// Changes that the recipient hasn't confirmed.
    pub changes: Vec<Change>,
    /// The number of the last of these changes.
    pub through: u64,
    /// The recipient's process that the sender has last heard.
    pub heard: u64,
    /// The number of the last change that the sender has of that process.
    pub received: u64,
    /// What was added to the format later: what the contents are a part of.
    #[serde(skip)]
    pub relations: Relations,
}

/// The part of a message that says what the contents of its [`News`] are a part of. A process that
/// doesn't know it suspects these contents by themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relations(pub Vec<Relation>);

/// What a content is a part of. Encoded by position, so the order of fields must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relation {
    /// The content.
    pub content: u128,
    /// Its body.
    pub body: u128,
    /// Its resource.
    pub resource: u128,
}

/// What a runner did with a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The content.
    pub content: u128,
    /// The runner that crashed; `None` if one ran the content to its end.
    pub crashed: Option<u64>,
    /// How long ago, in milliseconds.
    pub age: u64,
}

/// How far this VM and another one have told each other what they know.
#[derive(Clone, Debug)]
pub(super) struct Contact {
    vm: String,
    /// The other VM's process.
    process: u64,
    /// The number of its last change that this VM has.
    received: u64,
    /// The number of this VM's last change that it has.
    confirmed: u64,
    last_heard: Millis,
}

impl Crashes {
    /// Builds the news for another VM.
    #[must_use]
    pub fn news(&self, to: &str, process: u64, now: Millis) -> News {
        let contact = self.find(to).ok().map(|index| &self.contacts[index]);
        let confirmed = contact.map_or(0, |contact| contact.confirmed);
        let received = contact.map_or(0, |contact| contact.received);
        if self.ledger.latest() == 0 && received == 0 {
            return News::default();
        }
        let changes = self.ledger.changes(confirmed, MAX_TOLD, now);
        let relations = Relations::of(&changes.reports);
        News {
            process,
            changes: changes.reports.into_iter().map(Change::from).collect(),
            through: changes.through,
            heard: contact.map_or(0, |contact| contact.process),
            received,
            relations,
        }
    }

    /// Applies the news of another VM; `process` is this VM's own.
    pub fn apply(&mut self, from: &str, news: &News, process: u64, now: Millis) {
        let found = self.find(from);
        if *news == News::default() {
            // A process that has just started, or one of a release without news.
            if let Ok(index) = found {
                self.contacts.remove(index);
            }
            return;
        }
        for change in &news.changes {
            let report = Report {
                wider: news.relations.of_content(change.content),
                ..Report::from(*change)
            };
            self.ledger.note(report, now);
        }
        let index = found.unwrap_or_else(|index| {
            let contact = Contact {
                vm: from.to_owned(),
                process: news.process,
                received: 0,
                confirmed: 0,
                last_heard: now,
            };
            self.contacts.insert(index, contact);
            index
        });
        let contact = &mut self.contacts[index];
        if contact.process != news.process {
            contact.process = news.process;
            contact.received = 0;
            contact.confirmed = 0;
        }
        contact.last_heard = now;
        contact.received = contact.received.max(news.through);
        if news.heard == process {
            contact.confirmed = contact.confirmed.max(news.received);
        }
    }

    pub(super) fn forget_contacts(&mut self, now: Millis) {
        let is_heard = |contact: &Contact| now.since(contact.last_heard) < CONTACT_RETENTION;
        self.contacts.retain(is_heard);
    }

    fn find(&self, vm: &str) -> Result<usize, usize> {
        self.contacts
            .binary_search_by(|contact| contact.vm.as_str().cmp(vm))
    }
}

impl Relations {
    /// Lists what the contents of some reports are a part of, sorted by content.
    fn of(reports: &[Report]) -> Self {
        let relation = |report: &Report| {
            let wider = report.wider?;
            Some(Relation {
                content: report.content.0,
                body: wider.body.0,
                resource: wider.resource.0,
            })
        };
        let mut relations: Vec<Relation> = reports.iter().filter_map(relation).collect();
        relations.sort_by_key(|relation| relation.content);
        relations.dedup_by_key(|relation| relation.content);
        Self(relations)
    }

    fn of_content(&self, content: u128) -> Option<Scope> {
        let relations = &self.0;
        let found = relations.binary_search_by_key(&content, |relation| relation.content);
        let relation = relations[found.ok()?];
        Some(Scope {
            body: Content(relation.body),
            resource: Content(relation.resource),
        })
    }
}

impl From<Report> for Change {
    fn from(report: Report) -> Self {
        let crashed = match report.outcome {
            Outcome::Crashed(incarnation) => Some(incarnation.0),
            Outcome::Completed => None,
        };
        Self {
            content: report.content.0,
            crashed,
            age: report.age.as_u64(),
        }
    }
}

impl From<Change> for Report {
    fn from(change: Change) -> Self {
        let crashed = change.crashed.map(Incarnation);
        Self {
            content: Content(change.content),
            wider: None,
            outcome: crashed.map_or(Outcome::Completed, Outcome::Crashed),
            age: Millis::new(change.age),
        }
    }
}

#[cfg(test)]
mod tests;
