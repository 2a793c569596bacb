//! Whether enough VMs with a disk answer this VM, and what it does where they don't.
//!
//! A turn needs a majority of them. In a data centre that is cut off every turn would wait in vain,
//! and its client come back to the same VM, until the balancer sends elsewhere. So the VM looks
//! often, tells the balancer at the first look that fails, refuses turns at once from the second one
//! on, and asks their clients to come back when the balancer is expected to have noticed.

use std::time::Duration;

use policy::balancer;
use wire::clock::Millis;

/// How long the members may take to answer a look. They answer in a few milliseconds; one that is
/// busy with many records takes some tens.
pub const PATIENCE: Duration = Duration::from_millis(250);
/// Looks that fail in a row before turns are refused: one may meet a pause of two members.
const LOST_AFTER: u32 = 2;
/// When a turn may come again at the soonest: about the time in which a VM with a disk restarts.
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

/// What the looks at the members found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Records {
    /// Whether turns are served.
    enough: bool,
    /// Whether they ever were since the start.
    ever: bool,
    /// Looks that failed since the last one that didn't.
    failed: u32,
    /// When the first of these failed.
    since: Millis,
}

impl Records {
    /// Notes what a look found; tells whether turns are served from now on where they weren't, or
    /// the other way round.
    pub fn note(&mut self, look: Look, now: Millis) -> bool {
        match look {
            Look::Enough => {
                self.ever = true;
                self.failed = 0;
                !std::mem::replace(&mut self.enough, true)
            }
            Look::TooFew => self.note_failed(now, 1),
        }
    }

    /// Notes that a turn found too few members, which tells as much as the looks that it takes to
    /// refuse turns; tells whether that is news.
    pub fn note_lost(&mut self, now: Millis) -> bool {
        self.note_failed(now, LOST_AFTER)
    }

    fn note_failed(&mut self, now: Millis, looks: u32) -> bool {
        if self.failed == 0 {
            self.since = now;
        }
        self.failed = self.failed.saturating_add(looks);
        self.failed >= LOST_AFTER && std::mem::replace(&mut self.enough, false)
    }

    /// Tells whether turns are served.
    #[must_use]
    pub const fn serves(&self) -> bool {
        self.enough
    }

    /// Tells whether the balancer should send turns here.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.enough && self.failed == 0
    }

    /// Yields when a turn that is refused may come again: when the balancer is expected to send it
    /// to another VM. Coming sooner it would meet the same refusal, and use up one of its tries; a
    /// VM that has just started needs some milliseconds more, not another VM.
    #[must_use]
    pub fn retry(&self, now: Millis) -> Millis {
        if !self.ever {
            return RETRY;
        }
        balancer::NOTICES
            .since(now.since(self.since))
            .max(RETRY_NOTICED)
    }
}

#[cfg(test)]
mod tests;
