//! The one lease of this VM, under which its ownership records stand, and whether the platform
//! answers, as the renewals tell.

use platform::edge;
use wire::clock::Millis;

use super::Health;

/// Renewals in a lease time. Two may fail before the lease lapses.
const RENEWALS: u64 = 3;
/// Tries in a lease time after a renewal failed.
const TRIES: u64 = 9;
/// Failures in a row that are an outage. One is a lost answer. With two, this VM notices within
/// `1/3 + 1/9` of a lease time, before any lease can have lapsed, at `2/3` from the outage's begin.
const FAILURES: u32 = 2;

/// What to ask of the platform now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// A new lease.
    Grant,
    /// A renewal of this one.
    Renew(edge::Lease),
}

/// The lease and the health of the platform.
#[derive(Clone, Debug)]
pub struct Keeping {
    ttl: Millis,
    lease: Option<edge::Lease>,
    next: Millis,
    failures: u32,
    health: Health,
}

impl Keeping {
    /// Begins without a lease.
    #[must_use]
    pub fn new(ttl: Millis) -> Self {
        Self {
            ttl,
            lease: None,
            next: Millis::ZERO,
            failures: 0,
            health: Health::Since(Millis::ZERO),
        }
    }

    /// Yields the lease, which may have lapsed since its last renewal.
    #[must_use]
    pub fn lease(&self) -> Option<edge::Lease> {
        self.lease
    }

    /// Yields whether the platform answers.
    #[must_use]
    pub fn health(&self) -> Health {
        self.health
    }

    /// Yields what to ask now, if anything.
    #[must_use]
    pub fn due(&self, now: Millis) -> Option<Ask> {
        if now < self.next {
            return None;
        }
        Some(self.lease.map_or(Ask::Grant, Ask::Renew))
    }

    /// Takes the answer to [`Ask::Grant`], asked at `asked`. With a new lease the records that
    /// stood under the last one are to be written anew.
    pub fn granted(&mut self, answer: &edge::Result<edge::Lease>, asked: Millis, now: Millis) {
        match answer {
            Ok(lease) => {
                self.lease = Some(*lease);
                self.answered(now);
                self.next = asked.plus(self.part(RENEWALS));
            }
            Err(fault) => self.failed(fault, asked),
        }
    }

    /// Takes the answer to [`Ask::Renew`], asked at `asked`.
    pub fn renewed(&mut self, answer: &edge::Result<bool>, asked: Millis, now: Millis) {
        match answer {
            Ok(true) => {
                self.answered(now);
                self.next = asked.plus(self.part(RENEWALS));
            }
            // The lease lapsed: this VM was paused, or there was an outage that it has not seen.
            // Others may be about to renew, so what holds after an outage holds here.
            Ok(false) => {
                self.lease = None;
                self.health = Health::Down;
                self.answered(now);
                self.next = now;
            }
            Err(fault) => self.failed(fault, asked),
        }
    }

    fn answered(&mut self, now: Millis) {
        self.failures = 0;
        if self.health == Health::Down {
            self.health = Health::Since(now);
        }
    }

    fn failed(&mut self, fault: &edge::Fault, asked: Millis) {
        self.next = asked.plus(self.part(TRIES));
        if matches!(fault, edge::Fault::Limited(_)) {
            return;
        }
        self.failures += 1;
        if self.failures >= FAILURES {
            self.health = Health::Down;
        }
    }

    fn part(&self, of: u64) -> Millis {
        Millis::new(self.ttl.as_u64() / of)
    }
}
