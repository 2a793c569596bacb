use wire::clock::Millis;

use super::GRACE;
use super::History;
use super::RECOVERY;

fn at(millis: u64) -> Millis {
    Millis::new(millis)
}

#[test]
fn a_disruption_disturbs_until_guarantees_apply_again() {
    let mut history = History::default();
    let disruption = history.begin_disruption(at(5_000));
    assert!(!history.is_disturbed(at(1_000), at(4_999)));
    assert!(history.is_disturbed(at(60_000), at(60_001)), "it lasts");
    history.end_disruption(disruption, at(6_000));
    let recovered = at(6_001).plus(RECOVERY);
    assert!(history.is_disturbed(at(6_001), at(7_000)));
    assert!(!history.is_disturbed(recovered, recovered));
}

#[test]
fn a_stop_is_planned_work_of_its_vm_until_after_its_grace() {
    let mut history = History::default();
    history.note_stop(1, at(5_000));
    let last = at(6_000).plus(GRACE);
    assert_eq!(
        history.planned_work(1, at(4_000), at(5_000)),
        Some(at(5_000))
    );
    assert_eq!(history.planned_work(1, at(12_000), last), Some(at(5_000)));
    assert_eq!(history.planned_work(1, at(12_000), last.plus(at(1))), None);
    assert_eq!(history.planned_work(0, at(4_000), at(6_000)), None);
    assert_eq!(history.planned_work(1, at(4_000), at(4_999)), None);
}

#[test]
fn a_reload_is_planned_work_for_requests_sent_until_it_has_to_be_done() {
    let mut history = History::default();
    history.note_reload(1, at(5_000));
    assert_eq!(
        history.planned_work(1, at(4_000), at(6_000)),
        Some(at(5_000))
    );
    assert_eq!(history.planned_work(1, at(7_001), at(7_500)), None);
}

/// The end of the grace period may only cut off requests that were sent soon after SIGTERM and
/// whose runner was still working on them then.
#[test]
fn a_request_sent_soon_after_a_stop_may_be_cut_by_the_end_of_its_grace() {
    let mut history = History::default();
    history.note_stop(1, at(10_000));
    assert!(history.is_cut_by_grace(1, at(13_000), at(17_000)));
    assert!(!history.is_cut_by_grace(1, at(13_001), at(17_000)));
    assert!(!history.is_cut_by_grace(1, at(13_000), at(16_000)));
    assert!(!history.is_cut_by_grace(0, at(13_000), at(17_000)));
}

#[test]
fn a_runner_leaves_until_it_is_back() {
    let mut history = History::default();
    history.note_leaving("i-1", at(1_000));
    assert_eq!(history.leaving_since("i-1", at(2_000)), Some(at(1_000)));
    assert_eq!(history.leaving_since("i-1", at(999)), None);
    history.note_runner_back("i-1", at(3_000));
    assert_eq!(history.leaving_since("i-1", at(3_000)), None);
    assert_eq!(history.leaving_since("i-2", at(2_000)), None);
}

/// Two of three VMs with a disk are restarted in such quick succession that the second goes down
/// while the first may still have to catch up. That is more than one loss at a time.
#[test]
fn two_lost_disks_are_a_disruption() {
    let mut history = History::default();
    history.note_disk_lost(6, at(10_000));
    history.note_disk_back(6, at(11_000));
    assert!(!history.is_disturbed(at(10_500), at(12_000)), "one loss");
    history.note_disk_lost(6, at(12_000));
    history.note_disk_back(6, at(13_000));
    assert!(!history.is_disturbed(at(10_500), at(14_000)), "the same VM");
    history.note_disk_lost(7, at(17_000));
    assert!(history.is_disturbed(at(17_500), at(18_000)));
    history.note_disk_back(7, at(18_000));
    assert!(!history.is_disturbed(at(30_000), at(30_000)), "long after");
}
