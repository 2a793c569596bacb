//! What the log tells where a turn finds that the VMs with a disk don't serve it.

use std::sync::Mutex;

use adapter::settings;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use relay::member_health;
use relay::member_health::Check;
use relay::node::Node;
use replica::client::Fault;
use wire::clock::Clock;
use wire::event::Event;

/// Keeps all lines.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl Log for Lines {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        self.0.lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// A look finds too few members, and a turn's reads are refused, as those that answer still learn: with that
/// the members are lost. The turns after it are refused at once, with no reason of their own; the line of
/// the loss has to tell it, as on-call else looks for members that are down.
#[tokio::test]
async fn a_loss_that_a_turn_finds_tells_why() {
    log::set_logger(&LINES).unwrap();
    log::set_max_level(LevelFilter::Warn);
    let node = Node::new(
        settings::parse(&fakes::settings::alone()).expect("it is sound"),
        Clock::System,
    );
    let now = node.clock.now();
    assert!(node.member_health().record_check(Check::Enough, now));
    assert!(!node.member_health().record_check(Check::TooFew, now));
    member_health::suspect(&node, &Fault::Learning).await;
    let lines = LINES.0.lock().unwrap();
    let event = format!("event=E{} ", Event::MembersLost.number());
    let told: Vec<&String> = lines.iter().filter(|line| line.contains(&event)).collect();
    assert_eq!(told.len(), 1, "{lines:?}");
    assert!(told[0].contains(&Fault::Learning.to_string()), "{told:?}");
}
