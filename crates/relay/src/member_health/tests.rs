use replica::client::Coverage;
use wire::clock::Millis;

use super::Health;
use super::MAX_CATCH_UP_TIME;
use super::MAX_NAMED_VMS;
use super::RETRY_DELAY;
use super::format_names;

const START: Millis = Millis::new(50_000);

fn later(ms: u64) -> Millis {
    START.plus(Millis::new(ms))
}

fn serving() -> Health {
    let mut health = Health::default();
    assert!(
        health.record_check(Coverage::Full, START),
        "turns are served from now on"
    );
    health
}

/// A data centre is cut off. The load balancer is told at the first failed check, so that it sends
/// callers elsewhere as soon as it can; turns are refused from the second failed check on.
#[test]
fn readiness_is_lost_at_the_first_failed_check() {
    let mut health = serving();
    assert!(!health.record_check(Coverage::TooFew, later(300)));
    assert!(health.serves_turns(), "two members may have paused");
    assert!(!health.is_ready(later(300)));
    assert!(health.record_check(Coverage::TooFew, later(600)));
    assert!(!health.serves_turns());
    assert!(health.record_check(Coverage::Full, later(900)));
    assert!(health.is_ready(later(900)));
}

/// Several turns can't reserve their tokens, because the disks of two members are slow; both
/// members answer. The turns in progress wait for the members, and other turns arrive: only a check
/// that fails as well shows that the members are lost. Meanwhile the load balancer is told that the
/// VM isn't ready.
#[test]
fn suspicions_by_turns_alone_do_not_lose_the_members() {
    let mut health = serving();
    for ms in [100, 110, 120] {
        assert!(!health.suspect(later(ms)));
        assert!(health.serves_turns());
        assert!(!health.is_ready(later(ms)));
    }
    assert!(!health.record_check(Coverage::Full, later(150)));
    assert!(health.is_ready(later(150)));
    assert_eq!(health.retry_after(later(150)), RETRY_DELAY);
}

/// A data centre is cut off, and a turn finds out before or after the check in progress does. Turns
/// are refused from the second of the two failures on.
#[test]
fn a_suspicion_and_a_failed_check_lose_the_members() {
    let mut health = serving();
    assert!(!health.suspect(later(100)));
    assert!(health.record_check(Coverage::TooFew, later(300)));
    assert!(!health.serves_turns());
    let mut health = serving();
    assert!(!health.record_check(Coverage::TooFew, later(300)));
    assert!(health.suspect(later(350)));
    assert!(!health.serves_turns());
}

/// A turn is refused by a VM that is cut off. Its caller has few tries: the caller should come back
/// when the load balancer will send it to another VM, not before, and not long after.
#[test]
fn refused_turn_is_retried_when_the_balancer_has_noticed() {
    let mut health = serving();
    assert!(!health.suspect(later(100)));
    assert!(health.record_check(Coverage::TooFew, later(200)));
    assert_eq!(health.retry_after(later(100)), Millis::new(2_000));
    assert_eq!(health.retry_after(later(1_600)), Millis::new(500));
    assert_eq!(health.retry_after(later(5_000)), Millis::new(100));
}

/// All processes were killed. A caller that a VM refuses just after its start is told to retry soon:
/// the VM only needs time to reach the members, and the caller needs no other VM.
#[test]
fn retry_delay_is_short_just_after_the_start() {
    let mut health = Health::default();
    assert!(!health.record_check(Coverage::TooFew, START));
    assert!(!health.serves_turns());
    assert_eq!(health.retry_after(later(3_000)), RETRY_DELAY);
}

/// Guards against a fleet of which no VM is ready after each change of the list, as all of them see its members
/// catch up. They wait 0.7 s for the answer of one that is silent.
#[test]
fn a_usual_catch_up_does_not_cost_readiness() {
    let mut health = serving();
    for ms in [0, 300, 600, 900] {
        assert!(!health.record_check(Coverage::CatchingUp, later(ms)));
        assert!(health.is_ready(later(ms)));
        assert_eq!(health.retry_after(later(ms)), RETRY_DELAY);
    }
    assert!(!health.record_check(Coverage::Full, later(1_200)));
    assert!(health.is_ready(later(10_000)));
}

/// Members go on catching up, as they are cut off from those that they copy from. The VM isn't ready, refused
/// turns come back when the load balancer sends them elsewhere, and turns that can be served still are.
#[test]
fn members_that_go_on_catching_up_cost_readiness_but_refuse_nothing() {
    let mut health = serving();
    for ms in (0..=1_500).step_by(300) {
        assert!(!health.record_check(Coverage::CatchingUp, later(ms)));
    }
    assert!(!health.is_ready(later(1_500)));
    assert!(health.serves_turns());
    let told_at = later(0).plus(MAX_CATCH_UP_TIME);
    let retry_after = health.retry_after(told_at.plus(Millis::new(500)));
    assert_eq!(retry_after, Millis::new(1_500));
    health.record_check(Coverage::Full, later(2_100));
    assert!(health.is_ready(later(2_100)));
}

#[test]
fn a_log_line_names_some_vms_and_counts_the_others() {
    let vms: Vec<String> = (0..MAX_NAMED_VMS + 3).map(|at| format!("v{at}")).collect();
    assert_eq!(format_names(&vms[..2]), "v0,v1");
    assert_eq!(format_names(&[]), "");
    let text = format_names(&vms);
    assert!(
        text.starts_with("v0,v1,") && text.ends_with(",+3"),
        "{text}"
    );
    assert_eq!(text.split(',').count(), MAX_NAMED_VMS + 1);
}
