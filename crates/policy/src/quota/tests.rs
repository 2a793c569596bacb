use rstest::rstest;
use wire::clock::Millis;

use super::Contact;
use super::Demand;
use super::Draws;
use super::Limit;
use super::PER_MILLE;
use super::Pressure;
use super::START_ALLOWANCE;
use super::Step;
use super::Usage;
use super::Verdict;
use super::Window;
use super::decide;

const WINDOW: Millis = Millis::new(5_000);

/// Returns a limit of so many requests in a window.
const fn limit(allowance: u64) -> Limit {
    Limit {
        milli_per_second: 0,
        burst: allowance,
        window: WINDOW,
    }
}

fn usage(own: u32, others: u32) -> Usage {
    Usage {
        own,
        others,
        pending: 0,
        demand: Demand::default(),
        pressure: Pressure::High,
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

#[rstest]
#[case::below(usage(40, 59), Step::Continues, true)]
#[case::at_the_limit(usage(40, 60), Step::Continues, false)]
#[case::others_used_it(usage(0, 100), Step::Continues, false)]
#[case::program_that_fits(usage(40, 30), Step::Opens(35), true)]
#[case::program_that_does_not_fit(usage(40, 30), Step::Opens(36), false)]
#[case::nothing_was_refused(Usage { pressure: Pressure::Low, ..usage(40, 59) }, Step::Opens(36), true)]
#[case::nothing_is_left(Usage { pressure: Pressure::Low, ..usage(40, 60) }, Step::Opens(1), false)]
#[case::others_are_under_way(Usage { pending: 30, ..usage(40, 0) }, Step::Opens(36), false)]
#[case::program_larger_than_the_limit(usage(20, 29), Step::Opens(500), true)]
fn all_vms_count(#[case] usage: Usage, #[case] step: Step, #[case] admitted: bool) {
    let verdict = decide(&limit(100), usage, step, Draws::default());
    assert_eq!(verdict == Verdict::Admit, admitted, "{verdict:?}");
}

/// A limit of one request a window must not refuse all programs.
#[test]
fn a_program_can_begin_under_the_smallest_limit() {
    assert_eq!(
        decide(&limit(1), usage(0, 0), Step::Opens(11), Draws::default()),
        Verdict::Admit
    );
}

/// All processes were killed, and a workspace had used up its limit just before, all at once. Whatever it gets
/// before that has left the window comes on top.
#[rstest]
#[case::by_rate(50_000, 50)]
#[case::by_burst(1_000, 295)]
fn a_restart_of_all_does_not_hand_out_the_limit_again(
    #[case] milli_per_second: u64,
    #[case] burst: u64,
) {
    let limit = Limit {
        milli_per_second,
        burst,
        window: WINDOW,
    };
    let mut admitted = 0;
    for passed in 0..WINDOW.as_u64() {
        let usage = Usage {
            counted_for: Millis::new(passed),
            demand: Demand {
                own: 200,
                ..Demand::default()
            },
            ..usage(admitted, 0)
        };
        let is_sent = passed % 5 == 0;
        if is_sent && decide(&limit, usage, Step::Continues, Draws::default()) == Verdict::Admit {
            admitted += 1;
        }
    }
    assert!(u64::from(admitted) <= START_ALLOWANCE, "{admitted}");
}

/// All processes were killed, and the callers come back at once with what they could not send in the
/// second before. Workspaces below their limits must not be refused.
#[rstest]
#[case::large(50_000, 50, 31)]
#[case::small(500, 1, 1)]
fn a_restart_of_all_refuses_nobody_below_the_limit(
    #[case] milli_per_second: u64,
    #[case] burst: u64,
    #[case] per_second: u32,
) {
    let limit = Limit {
        milli_per_second,
        burst,
        window: WINDOW,
    };
    for admitted in 0..5 * per_second {
        if u64::from(admitted) == limit.allowance() {
            break;
        }
        let passed = u64::from(admitted.saturating_sub(per_second)) * 1_000 / u64::from(per_second);
        let usage = Usage {
            counted_for: Millis::new(passed),
            demand: Demand {
                own: (admitted + 1).min(2 * per_second),
                ..Demand::default()
            },
            ..usage(admitted, 0)
        };
        let verdict = decide(&limit, usage, Step::Continues, Draws::default());
        assert_eq!(verdict, Verdict::Admit, "{passed} ms, {admitted} admitted");
    }
}

/// Returns how many requests VMs that don't hear the others admit if they had admitted `then` with them.
fn admitted_alone(allowance: u64, then: u32, heard: u32, vms: u32, lot: u64) -> u64 {
    let contact = Contact::Partial { then, heard, vms };
    let draws = Draws { lot, request: 0 };
    let mut admitted = 0;
    let known = |admitted| Usage {
        contact,
        ..usage(admitted, then)
    };
    while decide(&limit(allowance), known(admitted), Step::Continues, draws) == Verdict::Admit {
        admitted += 1;
    }
    u64::from(admitted)
}

/// The VMs are cut off from each other one by one. Together they must not admit more than what was left of
/// the limit, also where that is less than a request for each.
#[rstest]
#[case::large(300, 100, 20)]
#[case::small(6, 0, 57)]
#[case::nothing_left(6, 6, 57)]
fn vms_that_hear_nobody_stay_within_the_limit_together(
    #[case] allowance: u64,
    #[case] then: u32,
    #[case] vms: u32,
) {
    let left = allowance - u64::from(then);
    let lots = (0..u64::from(vms)).map(|vm| vm * PER_MILLE / u64::from(vms));
    let sum: u64 = lots
        .map(|lot| admitted_alone(allowance, then, 1, vms, lot))
        .sum();
    assert!(sum <= left + 1, "{sum}");
    assert!(sum + 1 >= left, "{sum}");
}

/// A data centre is cut off from two others.
#[test]
fn both_sides_of_a_cut_stay_within_the_limit_together() {
    let inside = admitted_alone(300, 90, 19, 57, 0);
    let outside = admitted_alone(300, 90, 38, 57, 0);
    assert_eq!((inside, outside), (70, 140));
}

/// A VM that knows of no other one would have the whole limit for itself, and so would each other one.
#[test]
fn a_vm_that_has_heard_nobody_admits_nothing() {
    let unheard = Usage {
        contact: Contact::None,
        ..usage(0, 0)
    };
    let verdict = decide(&limit(100), unheard, Step::Continues, Draws::default());
    assert!(matches!(verdict, Verdict::OverShare(_)), "{verdict:?}");
}

/// A caller that comes back too soon is refused again; one that is told to wait for longer than it
/// has gives up.
#[rstest]
#[case::just_over(usage(0, 100), 200)]
#[case::far_over(usage(0, 300), 1_000)]
fn a_refusal_names_the_time_to_come_back(#[case] usage: Usage, #[case] millis: u64) {
    let verdict = decide(&limit(100), usage, Step::Continues, Draws::default());
    assert_eq!(verdict, Verdict::OverLimit(Millis::new(millis)));
}
