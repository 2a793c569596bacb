//! Logs and counts what runners send that no request asked for.

use link::client::Foreign;
use link::client::History;
use wire::clock::Millis;
use wire::event::Event;

use crate::job::Job;
use crate::job::format_span;
use crate::metrics::Counter;
use crate::node::Node;

/// Logs and counts an answer that isn't known to belong to the request that waited for it.
pub fn log_foreign(job: &Job, runner: &str, foreign: &Foreign) {
    job.node.metrics.count(Counter::AnswersForeign);
    log::warn!(
        "event=E{} text=\"{}\" request={} runner={runner} status={} named=\"{}\" {} route={}",
        Event::AnswerForeign.number(),
        Event::AnswerForeign.text(),
        job.call.id,
        foreign.status.as_u16(),
        foreign.mark.as_deref().unwrap_or_default().escape_debug(),
        format_history(&foreign.history),
        job.route.name
    );
}

/// Logs the connections to runners that were closed for unsolicited bytes since the last call.
pub fn log_unsolicited(node: &Node) {
    for history in node.runner_client.take_unsolicited() {
        let fleet = node.fleet();
        let runners = fleet.runners();
        let runner = runners
            .iter()
            .find(|runner| runner.entry.address == history.address);
        log::warn!(
            "event=E{} text=\"{}\" runner={} {}",
            Event::BytesUnsolicited.number(),
            Event::BytesUnsolicited.text(),
            runner.map_or("", |runner| &runner.id),
            format_history(&history)
        );
    }
}

fn format_history(history: &History) -> String {
    format!(
        "address={} port={} age_ms={} requests={} since_answer_ms={}",
        history.address,
        history.local_port,
        Millis::from(history.age).as_u64(),
        history.requests,
        format_span(history.since_answer.map(Millis::from))
    )
}
