//! The lease of this VM, to which its ownership records are attached, and the health of the
//! platform, derived from the renewals.

use platform::edge;
use wire::clock::Millis;

use super::Health;

/// Renewals in a lease time. Two may fail before the lease expires.
const RENEWALS_PER_TTL: u64 = 3;
/// Attempts in a lease time after a renewal failed.
const RETRIES_PER_TTL: u64 = 9;
/// Consecutive failures that count as an outage. A single one is a lost answer. With two, this VM
/// detects an outage within `1/3 + 1/9` of a lease time, before any lease can have expired, which
/// is at `2/3` after the outage began.
const OUTAGE_FAILURES: u32 = 2;

/// A request to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// Grant a new lease.
    Grant,
    /// Renew this lease.
    Renew(edge::Lease),
}

/// Keeps the lease and the health of the platform.
#[derive(Clone, Debug)]
pub struct Renewer {
    ttl: Millis,
    lease: Option<edge::Lease>,
    next_request: Millis,
    failures: u32,
    health: Health,
}

impl Renewer {
    /// Makes the state without a lease.
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

    /// Returns the lease, which may have expired since its last renewal.
    #[must_use]
    pub fn lease(&self) -> Option<edge::Lease> {
        self.lease
    }

    /// Returns whether the platform answers.
    #[must_use]
    pub fn health(&self) -> Health {
        self.health
    }

    /// Returns the request that is due now, if any.
    #[must_use]
    pub fn due(&self, now: Millis) -> Option<Request> {
        if now < self.next_request {
            return None;
        }
        Some(self.lease.map_or(Request::Grant, Request::Renew))
    }

    /// Handles the answer to [`Request::Grant`], sent at `requested_at`. With a new lease, the
    /// records that were attached to the last one must be written again.
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

    /// Handles the answer to [`Request::Renew`], sent at `requested_at`.
    pub fn on_renewal(&mut self, answer: &edge::Result<bool>, requested_at: Millis, now: Millis) {
        match answer {
            Ok(true) => {
                self.note_answer(now);
                self.next_request = requested_at.plus(self.ttl_fraction(RENEWALS_PER_TTL));
            }
            // The lease has expired: this VM was paused, or it missed an outage. Other VMs may be
            // about to renew, so the same wait applies as after an outage.
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
