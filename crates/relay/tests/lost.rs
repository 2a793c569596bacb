//! The log line for a turn that finds that the VMs with a disk don't serve it.

use std::sync::Mutex;

use adapter::settings;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use relay::member_health;
use relay::node::Node;
use replica::client::Coverage;
use replica::client::Fault;
use wire::clock::Clock;
use wire::event::Event;

/// Records all log lines.
struct LineRecorder(Mutex<Vec<String>>);

static LINES: LineRecorder = LineRecorder(Mutex::new(Vec::new()));

impl Log for LineRecorder {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        self.0.lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// A check finds too few members, and a turn's reads are refused because the members that answer
/// are still catching up. With that the members count as lost, and the following turns are refused
/// at once without a reason of their own. So the log line for the loss has to give the reason;
/// otherwise the on-call engineer looks for members that are down.
#[tokio::test]
async fn lost_members_line_gives_the_reason_of_the_turn() {
    log::set_logger(&LINES).unwrap();
    log::set_max_level(LevelFilter::Warn);
    let node = Node::new(
        settings::parse(&fakes::settings::alone()).expect("the settings are valid"),
        Clock::System,
    );
    let now = node.clock.now();
    assert!(node.member_health().record_check(Coverage::Full, now));
    assert!(!node.member_health().record_check(Coverage::TooFew, now));
    member_health::suspect(&node, &Fault::CatchingUp).await;
    let lines = LINES.0.lock().unwrap();
    let event = format!("event=E{} ", Event::MembersLost.number());
    let matching: Vec<&String> = lines.iter().filter(|line| line.contains(&event)).collect();
    assert_eq!(matching.len(), 1, "{lines:?}");
    assert!(
        matching[0].contains(&Fault::CatchingUp.to_string()),
        "{matching:?}"
    );
}
