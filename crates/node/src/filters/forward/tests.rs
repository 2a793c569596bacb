use rstest::rstest;
use tokio::sync::mpsc;
use wire::ask::Reply;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;

use super::forward_reply;

// A turn's owner dies while it runs the turn. The next owner has no capacity for it and refuses. If
// the caller were told that the turn didn't run, it would ask elsewhere, and the turn might run
// twice. Without a broken try the refusal is forwarded unchanged, and `Ran::Yes` is always kept.
#[rstest]
#[case::first_try(Ran::No, Ran::No, Ran::No)]
#[case::after_a_broken_try(Ran::Unknown, Ran::No, Ran::Unknown)]
#[case::already_ran(Ran::Unknown, Ran::Yes, Ran::Yes)]
fn a_refusal_after_a_broken_try_does_not_say_not_run(
    #[case] broken: Ran,
    #[case] received: Ran,
    #[case] forwarded: Ran,
    #[values(Code::PlatformDown, Code::QueueFull, Code::NoEndpoint)] code: Code,
) {
    let (sender, mut replies) = mpsc::unbounded_channel();
    let refusal = Refusal::new(code, "").ran(received);
    let outcome = forward_reply(Reply::Refused(refusal.clone()), 0, broken, &sender);
    assert!(outcome.is_some());
    assert_eq!(
        replies.try_recv(),
        Ok(Reply::Refused(refusal.ran(forwarded)))
    );
}
