//! Notes the callers that leave while their requests are read, before anything is known of the requests
//! but their heads.

use link::ingress::Meter;
use tokio::time::Instant;
use wire::clock::Millis;
use wire::event::Event;

use crate::job::ended_by;
use crate::metrics::Outcome;
use crate::node::Node;

/// Logs and counts a caller that has left if it is dropped before [`Guard::finish`].
#[derive(Debug)]
pub struct Guard<'a> {
    node: &'a Node,
    request: &'a str,
    program: &'a str,
    connection: Option<Meter>,
    arrived: Instant,
    progress: Progress,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Reading,
    Finished,
}

impl<'a> Guard<'a> {
    /// Begins to read a request that has arrived on `connection`, where the listener tracks it. `program` is
    /// empty if it belongs to none.
    #[must_use]
    pub fn begin(
        node: &'a Node,
        request: &'a str,
        program: &'a str,
        connection: Option<Meter>,
        arrived: Instant,
    ) -> Self {
        Self {
            node,
            request,
            program,
            connection,
            arrived,
            progress: Progress::Reading,
        }
    }

    /// Notes that the request has been read or refused.
    pub fn finish(mut self) {
        self.progress = Progress::Finished;
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if self.progress == Progress::Finished {
            return;
        }
        self.node.metrics.count_outcome(None, Outcome::Gone);
        log::info!(
            "event=E{} text=\"{}\" request={} program={} events=0 ms={} ended_by={} passed_on=false route=",
            Event::CallerGone.number(),
            Event::CallerGone.text(),
            self.request,
            self.program,
            Millis::from(self.arrived.elapsed()).as_u64(),
            ended_by(self.connection.as_ref())
        );
    }
}
