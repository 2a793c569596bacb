use serde_json::json;
use tokio::sync::mpsc;
use wire::code::Code;

use super::*;

#[test]
fn a_late_listener_gets_every_reply_once() {
    let feed = Feed::default();
    feed.push(json!("a"));
    let (sink, mut replies) = mpsc::unbounded_channel();
    feed.subscribe(sink);
    feed.push(json!("b"));
    feed.refuse(Refusal::new(Code::Poisoned, ""));
    feed.refuse(Refusal::new(Code::Internal, ""));
    assert_eq!(replies.try_recv(), Ok(Reply::Delta(json!("a"))));
    assert_eq!(replies.try_recv(), Ok(Reply::Delta(json!("b"))));
    let last = Reply::Refused(Refusal::new(Code::Poisoned, ""));
    assert_eq!(replies.try_recv(), Ok(last));
    assert!(replies.try_recv().is_err());
}
