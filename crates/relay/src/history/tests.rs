use adapter::settings;
use replica::client::Coverage;
use wire::clock::Clock;

use super::*;

/// A turn's history can't be read just after a check that found too few members. If this did not
/// count as a sign that the members are lost, the next turns would be sent here and wait as well,
/// and the log wouldn't say why this turn was refused.
#[tokio::test]
async fn an_unreadable_history_makes_the_vm_suspect_its_members() {
    let settings = settings::parse(&fakes::settings::alone()).unwrap();
    let node = Node::new(settings, Clock::System);
    let now = node.clock.now();
    node.member_health().record_check(Coverage::Full, now);
    node.member_health().record_check(Coverage::TooFew, now);
    assert!(node.member_health().serves_turns());
    let refusal = load(&node, "r1", Key::of("t1"), 0, Millis::new(1_000))
        .await
        .unwrap_err();
    assert_eq!(refusal.code, Code::RecordsUnreachable);
    assert!(!node.member_health().serves_turns());
}
