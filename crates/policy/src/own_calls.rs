//! A VM's own calls at one endpoint, to correct a load report for its age.
//!
//! Answers lagging load reports. Without it a VM sends to an endpoint that the last report showed
//! idle until the next one comes, up to two seconds of all its calls.

use wire::clock::Millis;

/// How long ended calls are kept without a report. Reports lag by up to two seconds; an endpoint
/// that hasn't reported for longer is judged by this VM's own calls alone.
pub const KEPT: Millis = Millis::new(10_000);

/// One VM's calls at one endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// When the calls under way were sent, earliest first.
    in_flight: Vec<Millis>,
    /// The calls that have ended since the last report.
    ended: Vec<Ended>,
    /// When the endpoint made its last report.
    reported: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Ended {
    sent: Millis,
    at: Millis,
}

impl Calls {
    /// Counts a call that is sent.
    pub fn record_sent(&mut self, now: Millis) {
        let at = self.in_flight.partition_point(|sent| *sent <= now);
        self.in_flight.insert(at, now);
    }

    /// Counts a call that has ended, given when it was sent.
    pub fn record_ended(&mut self, sent: Millis, now: Millis) {
        let Ok(at) = self.in_flight.binary_search(&sent) else {
            return;
        };
        self.in_flight.remove(at);
        self.ended.push(Ended { sent, at: now });
        self.ended.retain(|call| now.since(call.at) < KEPT);
    }

    /// Takes in that the endpoint made a report at `at`; one older than the last is ignored.
    pub fn record_report(&mut self, at: Millis) {
        self.reported = self.reported.max(at);
        let reported = self.reported;
        self.ended.retain(|call| call.at > reported);
    }

    /// Yields how many calls are under way.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Yields how many calls under way the last report can't know of.
    #[must_use]
    pub fn sent_since_report(&self) -> usize {
        self.in_flight.len()
            - self
                .in_flight
                .partition_point(|sent| *sent <= self.reported)
    }

    /// Yields how many calls the last report still counts that have ended since.
    #[must_use]
    pub fn ended_since_report(&self) -> usize {
        self.ended
            .iter()
            .filter(|call| call.sent <= self.reported && call.at > self.reported)
            .count()
    }
}

#[cfg(test)]
mod tests;
