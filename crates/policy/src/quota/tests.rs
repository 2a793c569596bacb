use rstest::rstest;
use wire::clock::Millis;

use super::Contact;
use super::START_ALLOWANCE;
use super::Step;
use super::Usage;
use super::Verdict;
use super::Window;
use super::allowance;
use super::decide;

const WINDOW: Millis = Millis::new(5_000);

fn usage(own: u32, others: u32) -> Usage {
    Usage {
        own,
        others,
        contact: Contact::Kept,
        counted_for: WINDOW,
    }
}

#[test]
fn events_fall_out_of_the_window() {
    let mut window = Window::new(WINDOW);
    window.add(Millis::new(10_000));
    window.add(Millis::new(12_000));
    assert_eq!(window.count(Millis::new(14_900)), 2);
    assert_eq!(window.count(Millis::new(15_300)), 1);
    assert_eq!(window.count(Millis::new(60_000)), 0);
}

/// An event that leaves the count before its window is over would let a workspace exceed its limit.
#[rstest]
fn an_event_counts_for_the_whole_window(#[values(0, 1, 199, 208, 417)] offset: u64) {
    let mut window = Window::new(WINDOW);
    let at = Millis::new(100_000 + offset);
    window.add(at);
    assert_eq!(window.count(at.plus(WINDOW)), 1);
}

#[test]
fn a_request_that_was_not_sent_is_taken_back() {
    let mut window = Window::new(WINDOW);
    window.add(Millis::new(10_000));
    window.take_back(Millis::new(11_000));
    assert_eq!(window.count(Millis::new(11_000)), 0);
    window.take_back(Millis::new(11_000));
    assert_eq!(window.count(Millis::new(11_000)), 0);
}

#[rstest]
#[case::below(usage(40, 59), Step::Continues, true)]
#[case::at_the_limit(usage(40, 60), Step::Continues, false)]
#[case::others_used_it(usage(0, 100), Step::Continues, false)]
#[case::first_turn_below_its_bound(usage(40, 44), Step::Opens, true)]
#[case::first_turn_at_its_bound(usage(40, 45), Step::Opens, false)]
fn all_vms_count(#[case] usage: Usage, #[case] step: Step, #[case] admitted: bool) {
    let verdict = decide(100, WINDOW, usage, step);
    assert_eq!(verdict == Verdict::Admit, admitted, "{verdict:?}");
}

/// A limit of one request a window must not refuse all programs.
#[test]
fn a_program_can_begin_under_the_smallest_limit() {
    assert_eq!(decide(1, WINDOW, usage(0, 0), Step::Opens), Verdict::Admit);
}

/// All processes were killed, and a workspace had used up its limit just before. It would get it
/// twice in one window.
#[test]
fn a_restart_of_all_does_not_hand_out_the_limit_again() {
    let allowance = allowance(50_000, 50, WINDOW);
    let mut admitted = 0;
    for passed in 0..500 {
        let counted_for = Millis::new(passed);
        let usage = Usage {
            counted_for,
            ..usage(admitted, 0)
        };
        // Twice the limit's rate.
        if passed % 10 == 0 && decide(allowance, WINDOW, usage, Step::Continues) == Verdict::Admit {
            admitted += 1;
        }
    }
    let fair = allowance / 10 + START_ALLOWANCE;
    assert!(u64::from(admitted) <= fair, "{admitted} {fair}");
    assert!(u64::from(admitted) >= fair * 9 / 10, "{admitted} {fair}");
}

/// After a restart of all processes, a workspace below its limit must not be refused.
#[rstest]
#[case::large(50_000, 50, 31)]
#[case::small(500, 1, 1)]
fn a_restart_of_all_refuses_nobody_below_the_limit(
    #[case] milli_per_second: u64,
    #[case] burst: u64,
    #[case] per_second: u64,
) {
    let allowance = allowance(milli_per_second, burst, WINDOW);
    let mut admitted = 0;
    for request in 0..5 * per_second {
        let passed = request * 1_000 / per_second;
        let usage = Usage {
            counted_for: Millis::new(passed),
            ..usage(admitted, 0)
        };
        let verdict = decide(allowance, WINDOW, usage, Step::Continues);
        assert_eq!(verdict, Verdict::Admit, "{passed} ms, {admitted} admitted");
        admitted += 1;
        if admitted == u32::try_from(allowance).unwrap() {
            break;
        }
    }
}

/// The VMs are cut off from each other one by one. Together they must not admit more than the limit
/// and one request each.
#[test]
fn vms_that_hear_nobody_stay_within_the_limit_together() {
    let allowance = 300;
    let vms = 20;
    let mut sum = 0;
    for vm in 0..vms {
        let own_then = vm * 2 % 9;
        let mut own = own_then;
        let others = (0..vms)
            .filter(|other| *other != vm)
            .map(|other| other * 2 % 9)
            .sum();
        let lost = |own| Usage {
            contact: Contact::Lost { own_then, vms },
            ..usage(own, others)
        };
        while decide(allowance, WINDOW, lost(own), Step::Continues) == Verdict::Admit {
            own += 1;
        }
        sum += u64::from(own);
    }
    assert!(sum <= allowance + u64::from(vms), "{sum}");
    assert!(sum >= allowance, "{sum}");
}

/// A caller that comes back too soon is refused again; one that is told to wait for longer than it
/// has gives up.
#[rstest]
#[case::just_over(usage(0, 100), 200)]
#[case::far_over(usage(0, 300), 1_000)]
fn a_refusal_names_the_time_to_come_back(#[case] usage: Usage, #[case] millis: u64) {
    let verdict = decide(100, WINDOW, usage, Step::Continues);
    assert_eq!(verdict, Verdict::OverLimit(Millis::new(millis)));
}
