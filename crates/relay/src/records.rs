//! Whether enough VMs with a disk answer this VM, and what it does where they don't.
//!
//! A turn needs a majority of them. In a data centre that is cut off every turn would wait in vain,
//! and its client come back to the same VM, until the balancer sends elsewhere. So the VM looks
//! often, tells the balancer at the first look that fails, refuses turns at once from the second one
//! on, and asks their clients to come back when the balancer is expected to have noticed.
//!
//! A turn whose tokens can't be set aside makes a VM doubt its members. Their disks may be slow while
//! they answer: taken for lost then, turns would be refused and answers broken off that only have to
//! wait. So a doubt counts as one look that failed, however many turns have it, and a look is taken at
//! once to settle it.

use std::time::Duration;

use policy::balancer;
use replica::client::Fault;
use replica::client::Reach;
use wire::clock::Millis;
use wire::event::Event;

use crate::node::Node;

/// How long the members may take to answer a look. They answer in a few milliseconds; one that is
/// busy with many records takes some tens.
pub const PATIENCE: Duration = Duration::from_millis(250);
/// Looks that fail in a row before turns are refused: one may meet a pause of two members.
const LOST_AFTER: u32 = 2;
/// How long VMs with a disk that restart are away at most: their processes are started again after a
/// short delay. Those that are away for longer are cut off or down, and nobody knows until when.
const RESTART: Millis = Millis::new(1_000);
/// VMs that a line of the log names at most.
const NAMED: usize = 12;
/// When a turn may come again at the soonest: about the time in which a VM with a disk restarts, or in
/// which a slow disk ends what it does.
pub const RETRY: Millis = Millis::new(300);
/// When it may come again where the balancer should have noticed already.
const RETRY_NOTICED: Millis = Millis::new(100);

/// What one look at the members found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Look {
    /// Enough of them answer for every key.
    Enough,
    /// They don't.
    TooFew,
}

/// Looks whether enough members answer, and tells the log where that is news.
pub async fn look(node: &Node) -> Look {
    let reach = node.replicas.reachable(PATIENCE).await;
    let look = if reach.enough {
        Look::Enough
    } else {
        Look::TooFew
    };
    let news = node.records().note(look, node.clock.now());
    match look {
        Look::Enough if news => log_reach(Event::MembersRegained, &reach),
        Look::TooFew if reach.members > 0 && node.records().is_to_name() => {
            log_reach(Event::MembersLost, &reach);
        }
        Look::Enough | Look::TooFew => {}
    }
    look
}

/// Notes that a turn found too few members, and returns when a look has settled whether they are lost:
/// one look for all turns that have the doubt at the time.
pub async fn doubt(node: &Node, fault: &Fault) {
    let lost = node.records().doubt(node.clock.now());
    if lost {
        log::warn!(
            "event=E{} text=\"{}\" why=\"a turn's tokens could not be set aside: {fault}\"",
            Event::MembersLost.number(),
            Event::MembersLost.text()
        );
        return;
    }
    let _one = node.records_check.lock().await;
    if node.records().is_doubted() {
        look(node).await;
    }
}

fn log_reach(event: Event, reach: &Reach) {
    log::warn!(
        "event=E{} text=\"{}\" answered={} members={} silent={}",
        event.number(),
        event.text(),
        reach.answered,
        reach.members,
        names(&reach.silent)
    );
}

/// Joins the names of the first VMs, and tells how many more there are.
fn names(vms: &[String]) -> String {
    let named = &vms[..vms.len().min(NAMED)];
    let more = vms.len() - named.len();
    match more {
        0 => named.join(","),
        _ => format!("{},+{more}", named.join(",")),
    }
}

/// Whether turns are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Service {
    /// Not yet since the start.
    #[default]
    Starting,
    /// They are.
    Served,
    /// They were.
    Lost,
}

/// What the looks at the members found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Records {
    service: Service,
    /// Looks that failed since the last one that didn't.
    failed: u32,
    /// Whether a turn has found too few since then.
    doubted: bool,
    /// Whether the log has the names of those that are lost: a turn that finds out has none.
    named: bool,
    /// When the first of all these failed.
    since: Millis,
}

impl Records {
    /// Notes what a look found; tells whether turns are served from now on where they weren't, or
    /// the other way round.
    pub fn note(&mut self, look: Look, now: Millis) -> bool {
        match look {
            Look::Enough => {
                self.failed = 0;
                self.doubted = false;
                self.named = false;
                std::mem::replace(&mut self.service, Service::Served) != Service::Served
            }
            Look::TooFew => {
                self.note_since(now);
                let doubts = u32::from(std::mem::take(&mut self.doubted));
                self.failed = self.failed.saturating_add(1 + doubts);
                self.judge()
            }
        }
    }

    /// Notes that a turn found too few members; tells whether turns are refused from now on where
    /// they were served.
    pub fn doubt(&mut self, now: Millis) -> bool {
        self.note_since(now);
        self.doubted = true;
        self.judge()
    }

    /// Tells whether a turn has found too few members since the last look.
    #[must_use]
    pub const fn is_doubted(&self) -> bool {
        self.doubted
    }

    /// Tells once whether the members are lost and the log lacks their names.
    fn is_to_name(&mut self) -> bool {
        !self.serves() && !std::mem::replace(&mut self.named, true)
    }

    fn note_since(&mut self, now: Millis) {
        if self.failed == 0 && !self.doubted {
            self.since = now;
        }
    }

    fn judge(&mut self) -> bool {
        let looks = self.failed.saturating_add(u32::from(self.doubted));
        let lost = looks >= LOST_AFTER && self.serves();
        if lost {
            self.service = Service::Lost;
        }
        lost
    }

    /// Tells whether turns are served.
    #[must_use]
    pub const fn serves(&self) -> bool {
        matches!(self.service, Service::Served)
    }

    /// Tells whether turns aren't served, and haven't been for longer than a restart takes.
    #[must_use]
    pub fn is_outage(&self, now: Millis) -> bool {
        !self.serves() && now.since(self.since) > RESTART
    }

    /// Tells whether the balancer should send turns here.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.serves() && self.failed == 0 && !self.doubted
    }

    /// Yields when a turn that is refused may come again: when the balancer is expected to send it
    /// to another VM. Coming sooner it would meet the same refusal, and use up one of its tries; a
    /// VM that has just started needs some milliseconds more, not another VM, and neither does one
    /// whose members answer but are slow.
    #[must_use]
    pub fn retry(&self, now: Millis) -> Millis {
        if self.service == Service::Starting || self.is_ready() {
            return RETRY;
        }
        balancer::NOTICES
            .since(now.since(self.since))
            .max(RETRY_NOTICED)
    }
}

#[cfg(test)]
mod tests;
