use adapter::settings;
use wire::clock::Clock;

use super::*;
use crate::member_health::Check;

/// A turn's history can't be read, just after a look that found too few members. Were it no sign that they
/// are lost, the next turns would be sent here and wait as well, and the log wouldn't tell why this one
/// was refused.
#[tokio::test]
async fn a_history_that_cannot_be_read_counts_as_a_loss() {
    let settings = settings::parse(&fakes::settings::alone()).unwrap();
    let node = Node::new(settings, Clock::System);
    let now = node.clock.now();
    node.member_health().record_check(Check::Enough, now);
    node.member_health().record_check(Check::TooFew, now);
    assert!(node.member_health().serves_turns());
    let refusal = whole(&node, Key::of("t1")).await.unwrap_err();
    assert_eq!(refusal.code, Code::RecordsUnreachable);
    assert!(!node.member_health().serves_turns());
}
