use rstest::rstest;
use tokio::sync::mpsc;
use wire::ask::Reply;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;

use super::pass;

// A turn is sent to its owner, which dies in the middle of it. The next owner has no place for it and
// refuses. Told that it didn't run, the caller would ask elsewhere and might have it run twice. After no
// broken try the refusal is passed on as it is, and never is what an owner says made weaker.
#[rstest]
#[case::first_try(Ran::No, Ran::No, Ran::No)]
#[case::after_a_broken_one(Ran::Unknown, Ran::No, Ran::Unknown)]
#[case::that_ran(Ran::Unknown, Ran::Yes, Ran::Yes)]
fn a_refusal_after_a_broken_try_says_no_of_nothing(
    #[case] broken: Ran,
    #[case] said: Ran,
    #[case] told: Ran,
    #[values(Code::PlatformDown, Code::QueueFull, Code::NoEndpoint)] code: Code,
) {
    let (sender, mut replies) = mpsc::unbounded_channel();
    let refusal = Refusal::new(code, "").ran(said);
    let tried = pass(Reply::Refused(refusal.clone()), 0, broken, &sender);
    assert!(tried.is_some());
    assert_eq!(replies.try_recv(), Ok(Reply::Refused(refusal.ran(told))));
}
