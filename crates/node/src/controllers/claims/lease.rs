//! The one lease of this VM, under which its ownership records stand, and whether the platform
//! answers, as the renewals tell.

use platform::edge;
use wire::clock::Millis;

use super::Health;

/// Renewals in a lease time. Two may fail before the lease lapses.
const RENEWALS_PER_TTL: u64 = 3;
/// Tries in a lease time after a renewal failed.
const RETRIES_PER_TTL: u64 = 9;
/// Failures in a row that are an outage. One is a lost answer. With two, this VM notices within
/// `1/3 + 1/9` of a lease time, before any lease can have lapsed, at `2/3` from the outage's begin.
const OUTAGE_FAILURES: u32 = 2;

/// What to ask of the platform now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// A new lease.
    Grant,
    /// A renewal of this one.
    Renew(edge::Lease),
}

/// The lease and the health of the platform.
#[derive(Clone, Debug)]
pub struct Renewer {
    ttl: Millis,
    lease: Option<edge::Lease>,
    next_request: Millis,
    failures: u32,
    health: Health,
}

impl Renewer {
    /// Begins without a lease.
    #[must_use]
    pub fn new(ttl: Millis) -> Self {
        Self {
            ttl,
            lease: None,
            next_request: Millis::ZERO,
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
    pub fn due(&self, now: Millis) -> Option<Request> {
        if now < self.next_request {
            return None;
        }
        Some(self.lease.map_or(Request::Grant, Request::Renew))
    }

    /// Takes the answer to [`Ask::Grant`], asked at `asked`. With a new lease the records that
    /// stood under the last one are to be written anew.
    pub fn on_grant(
        &mut self,
        answer: &edge::Result<edge::Lease>,
        requested_at: Millis,
        now: Millis,
    ) {
        match answer {
            Ok(lease) => {
                self.lease = Some(*lease);
                self.note_answer(now);
                self.next_request = requested_at.plus(self.ttl_fraction(RENEWALS_PER_TTL));
            }
            Err(fault) => self.note_failure(fault, requested_at),
        }
    }

    /// Takes the answer to [`Ask::Renew`], asked at `asked`.
    pub fn on_renewal(&mut self, answer: &edge::Result<bool>, requested_at: Millis, now: Millis) {
        match answer {
            Ok(true) => {
                self.note_answer(now);
                self.next_request = requested_at.plus(self.ttl_fraction(RENEWALS_PER_TTL));
            }
            // The lease lapsed: this VM was paused, or there was an outage that it has not seen.
            // Others may be about to renew, so what holds after an outage holds here.
            Ok(false) => {
                self.lease = None;
                self.health = Health::Down;
                self.note_answer(now);
                self.next_request = now;
            }
            Err(fault) => self.note_failure(fault, requested_at),
        }
    }

    fn note_answer(&mut self, now: Millis) {
        self.failures = 0;
        if self.health == Health::Down {
            self.health = Health::Since(now);
        }
    }

    fn note_failure(&mut self, fault: &edge::Fault, requested_at: Millis) {
        self.next_request = requested_at.plus(self.ttl_fraction(RETRIES_PER_TTL));
        if matches!(fault, edge::Fault::Limited(_)) {
            return;
        }
        self.failures += 1;
        if self.failures >= OUTAGE_FAILURES {
            self.health = Health::Down;
        }
    }

    fn ttl_fraction(&self, divisor: u64) -> Millis {
        Millis::new(self.ttl.as_u64() / divisor)
    }
}
