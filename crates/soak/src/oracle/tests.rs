use std::time::Duration;

use bytes::Bytes;
use fakes::caller;
use fakes::caller::Info;
use fakes::runner::Log;
use fakes::runner::Mode;
use fakes::runner::Seen;
use hyper::HeaderMap;
use tokio::time::Instant;
use wire::clock::Millis;

use crate::body::Pace;
use crate::check::Check;
use crate::connection::Answer;
use crate::connection::Outcome;
use crate::request;
use crate::request::Kind;
use crate::request::Spec;
use crate::request::Turn;

use super::Oracle;
use super::summary::MAX_UNDISTURBED_CLOSES;

/// An oracle for one VM, and the log that its runner writes.
struct Bench {
    oracle: Oracle,
    log: Log,
}

impl Bench {
    fn new() -> Self {
        let log = Log::default();
        let names = vec!["vm-1".to_owned()];
        Self {
            oracle: Oracle::new(Instant::now(), names, log.clone()),
            log,
        }
    }

    fn begin(&mut self, spec: &Spec) -> String {
        self.oracle.begin(0, spec, spec.deadline)
    }

    fn run(&self, id: &str, path: &str, body: &Bytes) {
        let now = Instant::now().into_std();
        self.log.lock().unwrap().push(Seen {
            runner: "i-1".to_owned(),
            id: id.to_owned(),
            path: path.to_owned(),
            body: body.clone(),
            headers: HeaderMap::new(),
            mode: Mode::Normal,
            at: now,
            ended: Some(now),
        });
    }

    /// Sends a request, executes it and ends it with `outcome`.
    fn execute(&mut self, spec: &Spec, outcome: impl FnOnce(&str) -> Outcome) -> String {
        let id = self.begin(spec);
        self.run(&id, &spec.path(), &spec.input);
        self.oracle.finish(&id, &outcome(&id));
        id
    }

    /// Advances the time by moving the start of the run into the past.
    fn advance(&mut self, millis: u64) {
        let started = self.oracle.started;
        self.oracle.started = started.checked_sub(Duration::from_millis(millis)).unwrap();
    }

    fn stop(&mut self) {
        let now = self.oracle.now();
        self.oracle.history.note_stop(0, now);
    }

    fn broken_checks(&self) -> Vec<Check> {
        let rows = self.oracle.results.rows().iter();
        rows.filter(|row| row.broken > 0)
            .map(|row| row.check)
            .collect()
    }
}

fn spec(kind: Kind) -> Spec {
    Spec {
        kind,
        events: 3,
        pause: Duration::from_millis(500),
        deadline: Duration::from_secs(2),
        leave_after: None,
        pace: Pace::AtOnce,
        input: Bytes::from_static(b"in\n"),
        turn: None,
    }
}

fn turn(program: usize, budget: u64, previous: Option<&str>) -> Spec {
    Spec {
        turn: Some(Turn {
            program,
            budget,
            previous: previous.map(str::to_owned),
        }),
        ..spec(Kind::Kept)
    }
}

fn answer(id: &str, status: u16, body: String) -> Answer {
    Answer {
        status,
        info: Info {
            id: Some(id.to_owned()),
            is_signed: true,
            ..caller::info(&HeaderMap::new())
        },
        body,
    }
}

fn whole(id: &str) -> Outcome {
    Outcome::Whole(answer(id, 200, request::answer(id, b"in\n", 3)))
}

fn refused(id: &str) -> Outcome {
    Outcome::Whole(answer(id, 503, String::new()))
}

#[test]
fn a_complete_answer_breaks_nothing() {
    let mut bench = Bench::new();
    bench.execute(&spec(Kind::Order), whole);
    bench.oracle.check_whole_run();
    assert_eq!(bench.broken_checks(), []);
    assert_eq!(bench.oracle.results.row(Check::Order).exercised, 1);
    assert_eq!(bench.oracle.results.row(Check::Lost).exercised, 0);
}

/// A VM stops while a runner executes a request that the VM has forwarded. Its process ends before
/// the answer does, so the client sees a closed connection.
#[test]
fn a_request_that_a_stop_cuts_off_is_lost() {
    for outcome in [
        Outcome::Closed,
        Outcome::Cut(answer("", 200, String::new())),
    ] {
        let mut bench = Bench::new();
        let id = bench.begin(&spec(Kind::Order));
        bench.run(&id, &spec(Kind::Order).path(), &spec(Kind::Order).input);
        bench.stop();
        bench.oracle.finish(&id, &outcome);
        assert_eq!(bench.broken_checks(), [Check::Lost]);
    }
}

/// The VM closes the connection while a request is on its way, so it has not read the request.
#[test]
fn a_request_that_the_vm_never_read_is_not_lost() {
    let mut bench = Bench::new();
    bench.stop();
    let id = bench.begin(&spec(Kind::Order));
    bench.oracle.finish(&id, &Outcome::Closed);
    assert_eq!(bench.broken_checks(), []);
}

/// The connection closes so long after the request that the VM must have read it, although it never
/// forwarded it.
#[test]
fn a_request_that_is_held_and_cut_off_is_lost() {
    let mut bench = Bench::new();
    bench.stop();
    let id = bench.begin(&spec(Kind::Order));
    bench.advance(250);
    bench.oracle.finish(&id, &Outcome::Closed);
    assert_eq!(bench.broken_checks(), [Check::Lost]);
}

#[test]
fn during_a_disruption_nothing_counts_as_lost() {
    let mut bench = Bench::new();
    bench.stop();
    bench.oracle.history.begin_disruption(Millis::ZERO);
    bench.execute(&spec(Kind::Order), |_| Outcome::Closed);
    assert_eq!(bench.broken_checks(), []);
    assert_eq!(bench.oracle.results.row(Check::Lost).exercised, 0);
}

#[test]
fn a_runner_that_cut_its_answer_off_excuses_the_vm() {
    let mut bench = Bench::new();
    bench.stop();
    let id = bench.begin(&spec(Kind::Order));
    bench.run(&id, &spec(Kind::Order).path(), &spec(Kind::Order).input);
    bench.log.lock().unwrap()[0].mode = Mode::AnswerLost;
    bench.oracle.finish(&id, &Outcome::Closed);
    assert_eq!(bench.broken_checks(), []);
}

#[test]
fn a_few_closed_connections_are_tolerated_without_a_fault() {
    let mut bench = Bench::new();
    for _ in 0..MAX_UNDISTURBED_CLOSES {
        bench.execute(&spec(Kind::Order), |_| Outcome::Closed);
    }
    assert_eq!(
        bench.oracle.undisturbed_closes().len(),
        MAX_UNDISTURBED_CLOSES
    );
    bench.execute(&spec(Kind::Order), |_| Outcome::Closed);
    bench.oracle.check_whole_run();
    assert_eq!(bench.broken_checks(), [Check::Calm]);
}

#[test]
fn an_answer_without_its_end_must_not_look_complete() {
    let mut bench = Bench::new();
    bench.execute(&spec(Kind::Look), |id| {
        Outcome::Whole(answer(id, 200, request::answer(id, b"in\n", 2)))
    });
    assert_eq!(bench.broken_checks(), [Check::Order]);
}

#[test]
fn an_answer_may_be_cut_off_but_not_skip_events() {
    let mut bench = Bench::new();
    bench.execute(&spec(Kind::Talk), |id| {
        let body = request::answer(id, b"in\n", 2);
        Outcome::GaveUp(Some(answer(id, 200, body)))
    });
    assert_eq!(bench.broken_checks(), []);
    bench.execute(&spec(Kind::Talk), |id| {
        let body = request::answer(id, b"in\n", 3);
        let second = body.split_once("\n\n").unwrap().1.to_owned();
        Outcome::GaveUp(Some(answer(id, 200, second)))
    });
    assert_eq!(bench.broken_checks(), [Check::Order]);
}

#[test]
fn the_answer_of_another_request_is_detected() {
    let mut bench = Bench::new();
    bench.execute(&spec(Kind::Look), |_| whole("50a0000000000099"));
    assert_eq!(bench.broken_checks(), [Check::Own, Check::Order]);
}

#[test]
fn a_request_that_runs_at_most_once_must_not_run_twice() {
    for (kind, broken) in [(Kind::Order, vec![Check::Once]), (Kind::Look, vec![])] {
        let mut bench = Bench::new();
        let id = bench.execute(&spec(kind), whole);
        bench.run(&id, &spec(kind).path(), &spec(kind).input);
        bench.oracle.check_whole_run();
        assert_eq!(bench.broken_checks(), broken);
    }
}

/// A VM refuses a call, which guarantees that it has not run and never will. A runner receives the
/// call before or after the refusal.
#[test]
fn a_refused_request_must_not_run() {
    let mut bench = Bench::new();
    bench.execute(&spec(Kind::Order), refused);
    assert_eq!(bench.broken_checks(), [Check::Refused]);
    let mut bench = Bench::new();
    let id = bench.begin(&spec(Kind::Order));
    bench.oracle.finish(&id, &refused(&id));
    assert_eq!(bench.broken_checks(), []);
    bench.run(&id, &spec(Kind::Order).path(), &spec(Kind::Order).input);
    bench.oracle.check_whole_run();
    assert_eq!(bench.broken_checks(), [Check::Refused]);
}

#[test]
fn a_turn_continues_its_chain() {
    let mut bench = Bench::new();
    let program = bench.oracle.add_program(100);
    let first = bench.execute(&turn(program, 100, None), whole);
    let next = turn(program, 100, Some(&first));
    let id = bench.begin(&next);
    let text = format!("in\n{}in\n", request::output(&first, b"in\n", 3));
    bench.run(&id, &next.path(), &text.into());
    let id = bench.begin(&next);
    bench.oracle.check_whole_run();
    assert_eq!(bench.broken_checks(), []);
    bench.run(&id, &next.path(), &next.input);
    bench.oracle.check_whole_run();
    assert_eq!(bench.broken_checks(), [Check::Chain]);
}

#[test]
fn a_kept_turn_must_be_found() {
    let mut bench = Bench::new();
    let program = bench.oracle.add_program(100);
    let first = bench.execute(&turn(program, 100, None), whole);
    let id = bench.begin(&turn(program, 100, Some(&first)));
    let outcome = Outcome::Whole(answer(&id, 404, String::new()));
    bench.oracle.finish(&id, &outcome);
    assert_eq!(bench.broken_checks(), [Check::Kept]);
}

#[test]
fn a_program_gets_its_budget_and_one_turn_at_most() {
    for (turns, broken) in [(2, vec![]), (3, vec![Check::Budget])] {
        let mut bench = Bench::new();
        let program = bench.oracle.add_program(30);
        for _ in 0..turns {
            bench.execute(&turn(program, 30, None), whole);
        }
        bench.oracle.check_whole_run();
        assert_eq!(bench.broken_checks(), broken);
    }
}

#[test]
fn an_unknown_id_at_a_runner_is_detected() {
    let mut bench = Bench::new();
    bench.run("50b", "/look/x", &Bytes::new());
    bench.oracle.check_whole_run();
    assert_eq!(bench.broken_checks(), [Check::Asked]);
}

/// A runner announces that it leaves, and receives a request after the time that VMs have to
/// notice.
#[test]
fn a_leaving_runner_must_not_receive_late_requests() {
    let mut bench = Bench::new();
    bench.oracle.history.note_leaving("i-1", Millis::ZERO);
    bench.advance(1_900);
    bench.execute(&spec(Kind::Look), whole);
    assert_eq!(bench.broken_checks(), []);
    bench.advance(200);
    bench.execute(&spec(Kind::Look), whole);
    assert_eq!(bench.broken_checks(), [Check::Drains]);
}

/// A configuration adds a route and drops another. A VM that still uses the previous configuration
/// answers 404 on the added route and serves the dropped one.
#[test]
fn an_older_configuration_is_detected() {
    let unknown = |id: &str| Outcome::Whole(answer(id, 404, String::new()));
    for (kind, holds) in [(Kind::Added(3), true), (Kind::Dropped(1), false)] {
        let mut bench = Bench::new();
        bench.execute(&spec(kind), whole);
        assert_eq!(bench.broken_checks().is_empty(), holds, "{kind:?}");
        let mut bench = Bench::new();
        let id = bench.begin(&spec(kind));
        bench.oracle.finish(&id, &unknown(&id));
        assert_eq!(bench.broken_checks().is_empty(), !holds, "{kind:?}");
    }
}

/// A client leaves while a runner works for it, and the runner is told at once or never.
#[test]
fn a_runner_must_be_told_that_its_client_has_left() {
    for (is_told, broken) in [(true, vec![]), (false, vec![Check::Gone])] {
        let mut bench = Bench::new();
        bench.execute(&spec(Kind::Talk), |_| Outcome::GaveUp(None));
        if !is_told {
            bench.log.lock().unwrap()[0].ended = None;
        }
        bench.oracle.check_whole_run();
        assert_eq!(bench.broken_checks(), broken);
    }
}

/// A runner takes longer than the route allows. The VM ends the request at the route's time-out, or
/// holds it until the client gives up.
#[test]
fn a_request_must_end_at_its_routes_time_out() {
    for (held_ms, broken) in [(3_400, vec![]), (3_600, vec![Check::Timely])] {
        let mut bench = Bench::new();
        let long = Spec {
            events: 8,
            deadline: Duration::from_millis(4_500),
            ..spec(Kind::Look)
        };
        let id = bench.begin(&long);
        bench.advance(held_ms);
        let outcome = Outcome::Whole(answer(&id, 504, String::new()));
        bench.oracle.finish(&id, &outcome);
        bench.oracle.check_whole_run();
        assert_eq!(bench.broken_checks(), broken);
    }
}
