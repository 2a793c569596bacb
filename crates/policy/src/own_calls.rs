//! Tracks a VM's own calls at one endpoint, to correct outdated load reports.
//!
//! Without it, a VM sends all its calls to an endpoint that the last report showed idle until the
//! next report arrives, which takes up to two seconds.

use wire::clock::Millis;

/// How long ended calls are kept without a report. Reports lag by up to two seconds; the load of an
/// endpoint that hasn't reported for longer than this is derived from this VM's own calls alone.
pub const ENDED_RETENTION: Millis = Millis::new(10_000);

/// One VM's calls at one endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Send times of the calls in flight, earliest first.
    in_flight: Vec<Millis>,
    /// Calls that ended after the last report.
    ended: Vec<Ended>,
    /// When the endpoint made its last report.
    last_report: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Ended {
    sent: Millis,
    at: Millis,
}

impl Calls {
    /// Records that a call was sent.
    pub fn record_sent(&mut self, now: Millis) {
        let at = self.in_flight.partition_point(|sent| *sent <= now);
        self.in_flight.insert(at, now);
    }

    /// Records that the call sent at `sent` has ended.
    pub fn record_ended(&mut self, sent: Millis, now: Millis) {
        let Ok(at) = self.in_flight.binary_search(&sent) else {
            return;
        };
        self.in_flight.remove(at);
        self.ended.push(Ended { sent, at: now });
        self.ended
            .retain(|call| now.since(call.at) < ENDED_RETENTION);
    }

    /// Records that the endpoint made a report at `at`; ignores one that is older than the last.
    pub fn record_report(&mut self, at: Millis) {
        self.last_report = self.last_report.max(at);
        let last_report = self.last_report;
        self.ended.retain(|call| call.at > last_report);
    }

    /// Returns the number of calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the number of calls in flight that were sent after the last report.
    #[must_use]
    pub fn sent_since_report(&self) -> usize {
        self.in_flight.len()
            - self
                .in_flight
                .partition_point(|sent| *sent <= self.last_report)
    }

    /// Returns the number of calls that the last report still counts but that have ended since.
    #[must_use]
    pub fn ended_since_report(&self) -> usize {
        self.ended
            .iter()
            .filter(|call| call.sent <= self.last_report && call.at > self.last_report)
            .count()
    }
}

#[cfg(test)]
mod tests;
