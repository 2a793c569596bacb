//! What decides in a log line stands in the part of it that collectors keep.

mod support;

use std::sync::Arc;
use std::sync::LazyLock;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use log::Log;
use log::Metadata;
use log::Record;
use relay::history;
use relay::member_health;
use relay::node::Node;
use relay::refuse;
use relay::refuse::Info;
use replica::list::List;
use replica::message::Answer;
use replica::message::Ask;
use replica::message::Body;
use replica::message::Status;
use replica::record::Key;
use tokio::time::sleep;
use wire::clock::Millis;
use wire::event::Event;

/// How much of a line collectors keep.
const KEPT_BYTES: usize = 200;
/// What stands before each line.
const PREFIX: &str = "at=2026-05-17T07:00:51.763 level=WARN ";
const REQUEST: &str = "f218b529f06de527";
const PROGRAM: &str = "dfb702ab34cd";
const VERSION: u64 = 12;
const VMS: [&str; 3] = ["store-riga-a-1", "store-riga-b-1", "store-riga-c-1"];
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Keeps the lines that are logged.
#[derive(Debug, Default)]
struct Capture(Mutex<Vec<String>>);

impl Log for Capture {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        self.lines().push(format!("{PREFIX}{}", record.args()));
    }

    fn flush(&self) {}
}

impl Capture {
    fn lines(&self) -> MutexGuard<'_, Vec<String>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the kept part of the last line of an event.
    fn kept(&self, event: Event) -> Option<String> {
        let event = format!(" event=E{} ", event.number());
        let lines = self.lines();
        let line = lines.iter().rfind(|line| line.contains(&event))?;
        Some(line.chars().take(KEPT_BYTES).collect())
    }

    /// Checks that these parts stand in the kept part of the last line of an event.
    fn assert_kept(&self, event: Event, parts: &[&str]) {
        let kept = self.kept(event).unwrap_or_default();
        for part in parts {
            assert!(kept.contains(part), "{part} isn't in {kept}");
        }
    }
}

/// Returns the lines of this process.
fn capture() -> &'static Capture {
    static CAPTURE: LazyLock<Capture> = LazyLock::new(Capture::default);
    // The other test may have set it.
    let _set = log::set_logger(&*CAPTURE);
    log::set_max_level(log::LevelFilter::Info);
    &CAPTURE
}

/// What the members answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Ready,
    /// They answer checks, and have lost what the list says that they hold.
    Behind,
    Failing,
}

async fn start(phase: &Arc<Mutex<Phase>>) -> Arc<Node> {
    let phase = phase.clone();
    let node = support::node_with_members(1, move |ask: Ask| {
        let phase = *phase.lock().unwrap();
        let status = |ready| Status {
            disk: 1,
            version: VERSION,
            ready,
        };
        std::future::ready(match (ask.body, phase) {
            (Body::Status, Phase::Ready) => Answer::Status(status(VERSION)),
            (Body::Status, Phase::Behind) => Answer::Status(status(VERSION - 1)),
            (_, Phase::Failing) => Answer::Failed("no space left".to_owned()),
            _ => Answer::NotReady,
        })
    });
    let node = node.await;
    let mut members = node.replicas.list().members.clone();
    for (member, vm) in members.iter_mut().zip(VMS) {
        vm.clone_into(&mut member.vm);
    }
    node.replicas.adopt(List {
        version: VERSION,
        members,
        before: Vec::new(),
        reset: None,
    });
    node
}

/// Refuses a turn whose history can't be read.
async fn refuse_turn(node: &Arc<Node>) {
    let last = Key::of("t1");
    let refusal = history::load(node, REQUEST, last, 0, Millis::new(5_000)).await;
    let info = Info {
        request: REQUEST,
        program: PROGRAM,
        route: "r-jm5ub5u",
        waited: Millis::new(379),
        ..Info::default()
    };
    let _response = refuse::respond(node, &refusal.unwrap_err(), &info);
}

async fn check_until_logged(node: &Node, capture: &Capture, event: Event) {
    while capture.kept(event).is_none() {
        member_health::check(node).await;
        sleep(POLL_INTERVAL).await;
    }
}

/// Guards against a record of refused turns that ends before it says why they were refused.
#[tokio::test]
async fn what_decides_is_kept() {
    let capture = capture();
    let phase = Arc::new(Mutex::new(Phase::Ready));
    let node = start(&phase).await;
    member_health::check(&node).await;

    *phase.lock().unwrap() = Phase::Behind;
    refuse_turn(&node).await;
    let request = format!("request={REQUEST}");
    let program = format!("program={PROGRAM}");
    capture.assert_kept(
        Event::RequestRefused,
        &[
            &request,
            &program,
            "code=CY4107",
            "ran=No",
            "waited_ms=379",
            "why=\"catching up, list 12/3, 0 ready 3 behind\"",
        ],
    );
    let said = VMS.map(|vm| format!("{vm}:not_ready"));
    let said = said.each_ref().map(String::as_str);
    capture.assert_kept(Event::TurnNotFound, &said);

    check_until_logged(&node, capture, Event::MembersBehind).await;
    let counts = "answered=3 ready=0 members=3 version=12";
    let behind = format!("behind={}", VMS.join(","));
    capture.assert_kept(Event::MembersBehind, &[counts, &behind]);

    *phase.lock().unwrap() = Phase::Failing;
    check_until_logged(&node, capture, Event::MembersLost).await;
    let counts = "answered=0 ready=0 members=3 version=12";
    let silent = format!("silent={}", VMS.join(","));
    capture.assert_kept(Event::MembersLost, &[counts, &silent]);
}

/// Guards against turns that are refused for seconds while each check finds that the members serve.
#[tokio::test]
async fn refusals_that_no_check_explains_are_told() {
    let phase = Arc::new(Mutex::new(Phase::Ready));
    let node = start(&phase).await;
    member_health::check(&node).await;
    let capture = capture();
    while capture.kept(Event::TurnsRefused).is_none() {
        *phase.lock().unwrap() = Phase::Behind;
        refuse_turn(&node).await;
        *phase.lock().unwrap() = Phase::Ready;
        member_health::check(&node).await;
        assert!(node.member_health().is_ready(node.clock.now()));
    }
    let parts = ["answered=3 ", " members=3 version=12", "catching up"];
    capture.assert_kept(Event::TurnsRefused, &parts);
    check_until_logged(&node, capture, Event::TurnsServed).await;
}
