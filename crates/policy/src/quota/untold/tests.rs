use rstest::rstest;
use wire::clock::Millis;

use super::News;
use super::Pool;
use super::Untold;
use crate::quota::Limit;
use crate::quota::PER_MILLE;

const VMS: u32 = 36;
const LIMIT: Limit = Limit {
    milli_per_second: 40_000,
    burst: 40,
    window: Millis::new(5_000),
};
/// The most requests that may run in a window.
const MOST: u64 = 284;

/// Returns how many requests VMs admit on average that hear nothing of each other since news by which `used`
/// had been admitted, and which got so many requests before.
fn admitted_unheard(used: u64, asked: &[u32], counted_for: Millis) -> u64 {
    let of_draw = |shift| admitted_with_lots(used, asked, counted_for, shift);
    (0..PER_MILLE).map(of_draw).sum::<u64>() / PER_MILLE
}

/// Returns how many they admit with one draw of lots.
fn admitted_with_lots(used: u64, asked: &[u32], counted_for: Millis, shift: u64) -> u64 {
    let asked_of_all: u32 = asked.iter().sum();
    let of_vm = |(vm, asked): (usize, &u32)| {
        let lot = (vm as u64 * PER_MILLE / u64::from(VMS) + shift) % PER_MILLE;
        let has_room = |admitted: &u32| {
            let untold = Untold {
                admitted: *admitted,
                asked: *asked,
                news: News::Late,
                vms: VMS,
            };
            let pool = Pool {
                bound: LIMIT.allowance(),
                used: used + u64::from(*admitted),
                asked_of_others: asked_of_all - asked,
                heard: VMS,
                counted_for,
            };
            untold.has_room(&LIMIT, &pool, lot)
        };
        (0..u32::MAX).take_while(has_room).count() as u64
    };
    asked.iter().enumerate().map(of_vm).sum()
}

/// A workspace that had paused when all VMs were cut off got its limit from each VM until the others counted
/// as silent.
#[rstest]
#[case::nobody_asked(vec![0; VMS as usize])]
#[case::all_asked(vec![10; VMS as usize])]
#[case::one_asked([vec![100], vec![0; VMS as usize - 1]].concat())]
#[case::some_asked_more((0..VMS).collect())]
fn vms_that_learn_of_a_cut_late_stay_within_the_limit(
    #[case] asked: Vec<u32>,
    #[values(0, 100, 200, 240)] used: u64,
) {
    let admitted = admitted_unheard(used, &asked, LIMIT.window);
    assert!(used + admitted <= MOST, "{admitted}");
}

/// Callers that use up their limit and come back after a restart of all VMs got it again before the VMs knew
/// how many they were.
#[test]
fn a_restart_of_all_leaves_room_for_what_may_exceed_the_limit() {
    let admitted = admitted_unheard(0, &[0; VMS as usize], Millis::new(1_000));
    assert!(LIMIT.allowance() + admitted <= MOST, "{admitted}");
}

/// Equal parts would refuse callers that reach a single VM most of what is left.
#[test]
fn a_vm_that_got_all_requests_has_half_of_what_is_left() {
    let asked = [vec![100], vec![0; VMS as usize - 1]].concat();
    let admitted = admitted_unheard(100, &asked, LIMIT.window);
    assert!(admitted >= (MOST - 100) / 2, "{admitted}");
}

/// In a large fleet, parts of a small limit are below one request.
#[rstest]
#[case::recent(News::Recent, true)]
#[case::late(News::Late, false)]
fn a_vm_with_recent_news_has_room_for_a_request(#[case] news: News, #[case] has_room: bool) {
    let untold = Untold {
        admitted: 0,
        asked: 0,
        news,
        vms: 300,
    };
    let pool = Pool {
        bound: 24,
        used: 20,
        asked_of_others: 2,
        heard: 300,
        counted_for: LIMIT.window,
    };
    let limit = Limit {
        milli_per_second: 4_000,
        burst: 4,
        ..LIMIT
    };
    assert_eq!(untold.has_room(&limit, &pool, PER_MILLE - 1), has_room);
}
