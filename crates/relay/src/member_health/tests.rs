use wire::clock::Millis;

use super::Check;
use super::MemberHealth;
use super::NAMED;
use super::RETRY;
use super::names;

const NOW: Millis = Millis::new(50_000);

fn later(ms: u64) -> Millis {
    NOW.plus(Millis::new(ms))
}

fn serving() -> MemberHealth {
    let mut member_health = MemberHealth::default();
    assert!(member_health.record_check(Check::Enough, NOW), "it is news");
    member_health
}

/// A data centre is cut off. The balancer is told at the first look that fails, so that it sends
/// elsewhere as soon as it can; turns are refused from the second one on.
#[test]
fn the_balancer_hears_of_a_cut_at_the_first_look() {
    let mut member_health = serving();
    assert!(!member_health.record_check(Check::TooFew, later(300)));
    assert!(member_health.serves_turns(), "two members may have paused");
    assert!(!member_health.is_ready());
    assert!(member_health.record_check(Check::TooFew, later(600)));
    assert!(!member_health.serves_turns());
    assert!(member_health.record_check(Check::Enough, later(900)));
    assert!(member_health.is_ready());
}

/// Several turns can't have their tokens set aside, as the disks of two members are slow; both answer.
/// The turns that run wait for them, and others come: only a look that fails as well says that the
/// members are lost. The balancer is told meanwhile.
#[test]
fn turns_alone_lose_no_members() {
    let mut member_health = serving();
    for ms in [100, 110, 120] {
        assert!(!member_health.suspect(later(ms)));
        assert!(member_health.serves_turns());
        assert!(!member_health.is_ready());
    }
    assert!(!member_health.record_check(Check::Enough, later(150)));
    assert!(member_health.is_ready());
    assert_eq!(member_health.retry_after(later(150)), RETRY);
}

/// A data centre is cut off, and a turn finds out before the look under way does, or after it. Turns are
/// refused from the second of the two on.
#[test]
fn a_turn_and_a_look_lose_the_members() {
    let mut member_health = serving();
    assert!(!member_health.suspect(later(100)));
    assert!(member_health.record_check(Check::TooFew, later(300)));
    assert!(!member_health.serves_turns());
    let mut member_health = serving();
    assert!(!member_health.record_check(Check::TooFew, later(300)));
    assert!(member_health.suspect(later(350)));
    assert!(!member_health.serves_turns());
}

/// A turn of a cut VM is refused. Its client has few tries: it should come back when it will be sent
/// to another VM, not before, and not long after.
#[test]
fn a_refused_turn_comes_back_when_the_balancer_has_noticed() {
    let mut member_health = serving();
    assert!(!member_health.suspect(later(100)));
    assert!(member_health.record_check(Check::TooFew, later(200)));
    assert_eq!(member_health.retry_after(later(100)), Millis::new(2_000));
    assert_eq!(member_health.retry_after(later(1_600)), Millis::new(500));
    assert_eq!(member_health.retry_after(later(5_000)), Millis::new(100));
}

/// All processes were killed. A VM that has just started needs no other VM, only some time.
#[test]
fn a_vm_that_has_just_started_asks_for_little_patience() {
    let mut member_health = MemberHealth::default();
    assert!(!member_health.record_check(Check::TooFew, NOW));
    assert!(!member_health.serves_turns());
    assert_eq!(member_health.retry_after(later(3_000)), RETRY);
}

#[test]
fn a_line_names_some_vms_and_counts_the_others() {
    let vms: Vec<String> = (0..NAMED + 3).map(|at| format!("v{at}")).collect();
    assert_eq!(names(&vms[..2]), "v0,v1");
    assert_eq!(names(&[]), "");
    let text = names(&vms);
    assert!(
        text.starts_with("v0,v1,") && text.ends_with(",+3"),
        "{text}"
    );
    assert_eq!(text.split(',').count(), NAMED + 1);
}
