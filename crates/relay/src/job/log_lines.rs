//! What is logged of a request.

use std::sync::atomic::Ordering;

use link::ending::Ending;
use link::ingress::Meter;
use wire::clock::Millis;
use wire::event::Event;

use crate::content;
use crate::fleet;
use crate::job::Job;
use crate::job::format_span;
use crate::metrics::Counter;
use crate::metrics::Outcome;

/// Returns what ended a caller's connection, for the log; empty if that isn't known.
pub(crate) fn ended_by(connection: Option<&Meter>) -> &'static str {
    connection.and_then(Meter::ending).map_or("", Ending::name)
}

impl Job {
    /// Logs and counts a failed attempt: one whose answer, if any, isn't passed on to the caller.
    pub fn log_retry(&self, runner: &str, why: &str) {
        self.node.metrics.count(Counter::Retried);
        log::info!(
            "event=E{} text=\"{}\" request={} program={} runner={runner} waited_ms={} why=\"{why}\" route={} content={}",
            Event::CallRetried.number(),
            Event::CallRetried.text(),
            self.call.id,
            self.call.program.as_deref().unwrap_or_default(),
            self.age().as_u64(),
            self.route.name,
            content::digest(self)
        );
    }

    /// Logs and counts an answer that was broken off as it had grown into memory that others need.
    pub fn log_displaced(&self, runner: &fleet::Choice) {
        self.node.metrics.count(Counter::Displaced);
        log::warn!(
            "event=E{} text=\"{}\" request={} route={} runner={} held={} ms={}",
            Event::AnswerDisplaced.number(),
            Event::AnswerDisplaced.text(),
            self.call.id,
            self.route.name,
            runner.id,
            self.node.holdings.figures().bytes,
            self.age().as_u64()
        );
    }

    /// Logs that the caller left before its answer was complete.
    pub fn log_caller_gone(&self, events: u64) {
        let kind = Some(self.route.kind);
        self.node.metrics.count_outcome(kind, Outcome::Gone);
        log::info!(
            "event=E{} text=\"{}\" request={} program={} events={events} ms={} ended_by={} passed_on={} route={}",
            Event::CallerGone.number(),
            Event::CallerGone.text(),
            self.call.id,
            self.call.program.as_deref().unwrap_or_default(),
            self.age().as_u64(),
            ended_by(self.connection.as_ref()),
            self.passed_on.load(Ordering::Relaxed),
            self.route.name
        );
    }

    /// Logs that the caller left before its answer was complete, and that the request ran on.
    pub fn log_ran_on(&self) {
        log::info!(
            "event=E{} text=\"{}\" request={} ran_on=true ended_by={} passed_on={}",
            Event::CallerGone.number(),
            Event::CallerGone.text(),
            self.call.id,
            ended_by(self.connection.as_ref()),
            self.passed_on.load(Ordering::Relaxed)
        );
    }

    /// Logs the end of a request that ran; `first_event` is the time until its first event.
    pub fn log_answered(
        &self,
        runner: &str,
        status: u16,
        events: u64,
        first_event: Option<Millis>,
    ) {
        log::info!(
            "event=E{} text=\"{}\" request={} program={} runner={runner} status={status} events={events} first_ms={} ms={} finish_ms={} line={} route={} revision={}",
            Event::RequestAnswered.number(),
            Event::RequestAnswered.text(),
            self.call.id,
            self.call.program.as_deref().unwrap_or_default(),
            format_span(first_event),
            self.age().as_u64(),
            self.call.finish_within.unwrap_or_default().as_u64(),
            self.call.session.as_deref().unwrap_or_default(),
            self.route.name,
            self.table.version
        );
    }
}
