use wire::clock::Millis;

use super::Look;
use super::RETRY;
use super::Records;

const NOW: Millis = Millis::new(50_000);

fn later(ms: u64) -> Millis {
    NOW.plus(Millis::new(ms))
}

fn serving() -> Records {
    let mut records = Records::default();
    assert!(records.note(Look::Enough, NOW), "it is news");
    records
}

/// A data centre is cut off. The balancer is told at the first look that fails, so that it sends
/// elsewhere as soon as it can; turns are refused from the second one on.
#[test]
fn the_balancer_hears_of_a_cut_at_the_first_look() {
    let mut records = serving();
    assert!(!records.note(Look::TooFew, later(300)));
    assert!(records.serves(), "two members may have paused");
    assert!(!records.is_ready());
    assert!(records.note(Look::TooFew, later(600)));
    assert!(!records.serves());
    assert!(records.note(Look::Enough, later(900)));
    assert!(records.is_ready());
}

/// A turn of a cut VM is refused. Its client has few tries: it should come back when it will be sent
/// to another VM, not before, and not long after.
#[test]
fn a_refused_turn_comes_back_when_the_balancer_has_noticed() {
    let mut records = serving();
    assert!(records.note_lost(later(100)));
    assert_eq!(records.retry(later(100)), Millis::new(2_000));
    assert_eq!(records.retry(later(1_600)), Millis::new(500));
    assert_eq!(records.retry(later(5_000)), Millis::new(100));
}

/// All processes were killed. A VM that has just started needs no other VM, only some time.
#[test]
fn a_vm_that_has_just_started_asks_for_little_patience() {
    let mut records = Records::default();
    assert!(!records.note(Look::TooFew, NOW));
    assert!(!records.serves());
    assert_eq!(records.retry(later(3_000)), RETRY);
}
