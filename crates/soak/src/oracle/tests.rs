use std::time::Duration;

use bytes::Bytes;
use fakes::caller;
use fakes::caller::Info;
use fakes::runner::Execution;
use fakes::runner::Log;
use fakes::runner::Mode;
use hyper::HeaderMap;
use tokio::time::Instant;
use wire::clock::Millis;

use crate::body::Pace;
use crate::check::Check;
use crate::connection::Answer;
use crate::connection::Outcome;
use crate::request;
use crate::request::Got;
use crate::request::Kind;
use crate::request::Spec;
use crate::request::Turn;

use super::Oracle;
use super::summary::MAX_UNDISTURBED_CLOSES;

/// An oracle for one VM, and the log that its runner writes.
struct Fixture {
    oracle: Oracle,
    log: Log,
}

impl Fixture {
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
        self.log.lock().unwrap().push(Execution {
            runner: "i-1".to_owned(),
            born: 1,
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
        got: None,
    }
}

fn two_events() -> Spec {
    Spec {
        events: 2,
        ..spec(Kind::Talk)
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
    Outcome::Whole(answer(
        id,
        200,
        request::answer(id, b"in\n", &spec(Kind::Talk)),
    ))
}

fn refused(id: &str) -> Outcome {
    Outcome::Whole(answer(id, 503, String::new()))
}

#[test]
fn a_complete_answer_breaks_nothing() {
    let mut fixture = Fixture::new();
    fixture.execute(&spec(Kind::Order), whole);
    fixture.oracle.check_whole_run();
    assert_eq!(fixture.broken_checks(), []);
    assert_eq!(fixture.oracle.results.row(Check::Order).exercised, 1);
    assert_eq!(fixture.oracle.results.row(Check::Lost).exercised, 0);
}

/// A VM stops while a runner executes a request that the VM has forwarded. Its process ends before
/// the answer does, so the client sees a closed connection.
#[test]
fn a_request_that_a_stop_cuts_off_is_lost() {
    for outcome in [
        Outcome::Closed,
        Outcome::Cut(answer("", 200, String::new())),
    ] {
        let mut fixture = Fixture::new();
        let id = fixture.begin(&spec(Kind::Order));
        fixture.run(&id, &spec(Kind::Order).path(), &spec(Kind::Order).input);
        fixture.stop();
        fixture.oracle.finish(&id, &outcome);
        assert_eq!(fixture.broken_checks(), [Check::Lost]);
    }
}

/// The VM closes the connection while a request is on its way, so it has not read the request.
#[test]
fn a_request_that_the_vm_never_read_is_not_lost() {
    let mut fixture = Fixture::new();
    fixture.stop();
    let id = fixture.begin(&spec(Kind::Order));
    fixture.oracle.finish(&id, &Outcome::Closed);
    assert_eq!(fixture.broken_checks(), []);
}

/// The connection closes so long after the request that the VM must have read it, although it never
/// forwarded it.
#[test]
fn a_request_that_is_held_and_cut_off_is_lost() {
    let mut fixture = Fixture::new();
    fixture.stop();
    let id = fixture.begin(&spec(Kind::Order));
    fixture.advance(250);
    fixture.oracle.finish(&id, &Outcome::Closed);
    assert_eq!(fixture.broken_checks(), [Check::Lost]);
}

#[test]
fn during_a_disruption_nothing_counts_as_lost() {
    let mut fixture = Fixture::new();
    fixture.stop();
    fixture.oracle.history.begin_disruption(Millis::ZERO);
    fixture.execute(&spec(Kind::Order), |_| Outcome::Closed);
    assert_eq!(fixture.broken_checks(), []);
    assert_eq!(fixture.oracle.results.row(Check::Lost).exercised, 0);
}

#[test]
fn a_runner_that_cut_its_answer_off_excuses_the_vm() {
    let mut fixture = Fixture::new();
    fixture.stop();
    let id = fixture.begin(&spec(Kind::Order));
    fixture.run(&id, &spec(Kind::Order).path(), &spec(Kind::Order).input);
    fixture.log.lock().unwrap()[0].mode = Mode::AnswerLost;
    fixture.oracle.finish(&id, &Outcome::Closed);
    assert_eq!(fixture.broken_checks(), []);
}

#[test]
fn a_few_closed_connections_are_tolerated_without_a_fault() {
    let mut fixture = Fixture::new();
    for _ in 0..MAX_UNDISTURBED_CLOSES {
        fixture.execute(&spec(Kind::Order), |_| Outcome::Closed);
    }
    assert_eq!(
        fixture.oracle.undisturbed_closes().len(),
        MAX_UNDISTURBED_CLOSES
    );
    fixture.execute(&spec(Kind::Order), |_| Outcome::Closed);
    fixture.oracle.check_whole_run();
    assert_eq!(fixture.broken_checks(), [Check::Calm]);
}

#[test]
fn an_answer_without_its_end_must_not_look_complete() {
    let mut fixture = Fixture::new();
    fixture.execute(&spec(Kind::Look), |id| {
        Outcome::Whole(answer(id, 200, request::answer(id, b"in\n", &two_events())))
    });
    assert_eq!(fixture.broken_checks(), [Check::Order]);
}

#[test]
fn an_answer_may_be_cut_off_but_not_skip_events() {
    let mut fixture = Fixture::new();
    fixture.execute(&spec(Kind::Talk), |id| {
        let body = request::answer(id, b"in\n", &two_events());
        Outcome::GaveUp(Some(answer(id, 200, body)))
    });
    assert_eq!(fixture.broken_checks(), []);
    fixture.execute(&spec(Kind::Talk), |id| {
        let body = request::answer(id, b"in\n", &spec(Kind::Talk));
        let second = body.split_once("\n\n").unwrap().1.to_owned();
        Outcome::GaveUp(Some(answer(id, 200, second)))
    });
    assert_eq!(fixture.broken_checks(), [Check::Order]);
}

#[test]
fn the_answer_of_another_request_is_detected() {
    let mut fixture = Fixture::new();
    fixture.execute(&spec(Kind::Look), |_| whole("50a0000000000099"));
    assert_eq!(fixture.broken_checks(), [Check::Own, Check::Order]);
}

#[test]
fn a_request_that_runs_at_most_once_must_not_run_twice() {
    for (kind, broken) in [(Kind::Order, vec![Check::Once]), (Kind::Look, vec![])] {
        let mut fixture = Fixture::new();
        let id = fixture.execute(&spec(kind), whole);
        fixture.run(&id, &spec(kind).path(), &spec(kind).input);
        fixture.oracle.check_whole_run();
        assert_eq!(fixture.broken_checks(), broken);
    }
}

/// A VM refuses a call, which guarantees that it has not run and never will. A runner receives the
/// call before or after the refusal.
#[test]
fn a_refused_request_must_not_run() {
    let mut fixture = Fixture::new();
    fixture.execute(&spec(Kind::Order), refused);
    assert_eq!(fixture.broken_checks(), [Check::Refused]);
    let mut fixture = Fixture::new();
    let id = fixture.begin(&spec(Kind::Order));
    fixture.oracle.finish(&id, &refused(&id));
    assert_eq!(fixture.broken_checks(), []);
    fixture.run(&id, &spec(Kind::Order).path(), &spec(Kind::Order).input);
    fixture.oracle.check_whole_run();
    assert_eq!(fixture.broken_checks(), [Check::Refused]);
}

#[test]
fn a_turn_continues_its_chain() {
    let mut fixture = Fixture::new();
    let program = fixture.oracle.add_program(100);
    let first = fixture.execute(&turn(program, 100, None), whole);
    let next = turn(program, 100, Some(&first));
    let id = fixture.begin(&next);
    let text = format!(
        "in\n{}in\n",
        request::output(&first, b"in\n", &spec(Kind::Kept))
    );
    fixture.run(&id, &next.path(), &text.clone().into());
    let id = fixture.begin(&next);
    fixture.oracle.check_whole_run();
    assert_eq!(fixture.broken_checks(), []);
    fixture.run(&id, &next.path(), &next.input);
    fixture.oracle.check_whole_run();
    assert_eq!(fixture.broken_checks(), [Check::Chain]);
}

#[test]
fn a_kept_turn_must_be_found() {
    let mut fixture = Fixture::new();
    let program = fixture.oracle.add_program(100);
    let first = fixture.execute(&turn(program, 100, None), whole);
    let id = fixture.begin(&turn(program, 100, Some(&first)));
    let outcome = Outcome::Whole(answer(&id, 404, String::new()));
    fixture.oracle.finish(&id, &outcome);
    assert_eq!(fixture.broken_checks(), [Check::Kept]);
}

#[test]
fn a_program_gets_its_budget_and_one_turn_at_most() {
    for (turns, broken) in [(2, vec![]), (3, vec![Check::Budget])] {
        let mut fixture = Fixture::new();
        let program = fixture.oracle.add_program(30);
        for _ in 0..turns {
            fixture.execute(&turn(program, 30, None), whole);
        }
        fixture.oracle.check_whole_run();
        assert_eq!(fixture.broken_checks(), broken);
    }
}

#[test]
fn an_unknown_id_at_a_runner_is_detected() {
    let mut fixture = Fixture::new();
    fixture.run("50b", "/look/x", &Bytes::new());
    fixture.oracle.check_whole_run();
    assert_eq!(fixture.broken_checks(), [Check::Asked]);
}

/// A runner announces that it leaves, and receives a request after the time that VMs have to
/// notice.
#[test]
fn a_leaving_runner_must_not_receive_late_requests() {
    let mut fixture = Fixture::new();
    fixture.oracle.history.note_leaving("i-1", Millis::ZERO);
    fixture.advance(1_900);
    fixture.execute(&spec(Kind::Look), whole);
    assert_eq!(fixture.broken_checks(), []);
    fixture.advance(200);
    fixture.execute(&spec(Kind::Look), whole);
    assert_eq!(fixture.broken_checks(), [Check::Drains]);
}

/// A configuration adds a route and drops another. A VM that still uses the previous configuration
/// answers 404 on the added route and serves the dropped one.
#[test]
fn an_older_configuration_is_detected() {
    let unknown = |id: &str| Outcome::Whole(answer(id, 404, String::new()));
    for (kind, holds) in [(Kind::Added(3), true), (Kind::Dropped(1), false)] {
        let mut fixture = Fixture::new();
        fixture.execute(&spec(kind), whole);
        assert_eq!(fixture.broken_checks().is_empty(), holds, "{kind:?}");
        let mut fixture = Fixture::new();
        let id = fixture.begin(&spec(kind));
        fixture.oracle.finish(&id, &unknown(&id));
        assert_eq!(fixture.broken_checks().is_empty(), !holds, "{kind:?}");
    }
}

/// A client leaves while a runner works for it, and the runner is told at once or never.
#[test]
fn a_runner_must_be_told_that_its_client_has_left() {
    for (is_told, broken) in [(true, vec![]), (false, vec![Check::Gone])] {
        let mut fixture = Fixture::new();
        fixture.execute(&spec(Kind::Talk), |_| Outcome::GaveUp(None));
        if !is_told {
            fixture.log.lock().unwrap()[0].ended = None;
        }
        fixture.oracle.check_whole_run();
        assert_eq!(fixture.broken_checks(), broken);
    }
}

/// A runner takes longer than the route allows. The VM ends the request at the route's time-out, or
/// holds it until the client gives up.
#[test]
fn a_request_must_end_at_its_routes_time_out() {
    for (held_ms, broken) in [(3_400, vec![]), (3_600, vec![Check::Timely])] {
        let mut fixture = Fixture::new();
        let long = Spec {
            events: 8,
            deadline: Duration::from_millis(4_500),
            ..spec(Kind::Look)
        };
        let id = fixture.begin(&long);
        fixture.advance(held_ms);
        let outcome = Outcome::Whole(answer(&id, 504, String::new()));
        fixture.oracle.finish(&id, &outcome);
        fixture.oracle.check_whole_run();
        assert_eq!(fixture.broken_checks(), broken);
    }
}

/// Guards against an oracle that takes the part of a stream that an earlier attempt brought for missing, or
/// that doesn't miss it in the next turn.
#[test]
fn a_stream_that_was_taken_up_continues_what_its_client_has() {
    let mut fixture = Fixture::new();
    let program = fixture.oracle.add_program(1_000);
    let mut begun = turn(program, 1_000, None);
    begun.kind = Kind::Resumable;
    let mut part = String::new();
    let first = fixture.execute(&begun, |id| {
        part = request::answer(id, b"in\n", &two_events());
        Outcome::Cut(answer(id, 200, part.clone()))
    });
    let resumed = Spec {
        got: Got::after(&begun, &first, &part),
        ..begun.clone()
    };
    assert_eq!(resumed.first_event(), 3);
    let second = fixture.execute(&resumed, |id| {
        Outcome::Whole(answer(id, 200, request::answer(id, b"in\n", &resumed)))
    });
    assert_eq!(fixture.oracle.counts.taken_up, 1);
    let next = turn(program, 1_000, Some(&second));
    let id = fixture.begin(&next);
    let text = format!("in\n{}in\n", request::output(&second, b"in\n", &resumed));
    assert!(text.contains(&first) && text.contains(&second));
    fixture.run(&id, &next.path(), &text.clone().into());
    fixture.oracle.check_whole_run();
    assert_eq!(fixture.broken_checks(), []);
    let id = fixture.begin(&next);
    let short = text.replace(&first, &second);
    fixture.run(&id, &next.path(), &short.into());
    fixture.oracle.check_whole_run();
    assert_eq!(fixture.broken_checks(), [Check::Chain]);
}
