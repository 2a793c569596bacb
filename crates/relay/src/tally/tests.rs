use rstest::rstest;
use wire::clock::Millis;

use super::Origin;
use super::Recipient;
use super::Reports;
use super::Tally;
use super::is_forwarded;

const NOW: Millis = Millis::new(5_000);

fn tally(under_way: u32) -> Tally {
    Tally {
        runner: "i-0".to_owned(),
        under_way,
        held_off: 0,
    }
}

fn vm(name: &str) -> Origin {
    Origin::Vm(name.to_owned())
}

/// Returns what one of two VMs sends to the other, where both consider themselves the hub of their
/// data centre.
fn forwarded_sum(from: &Reports, own: u32, to: &str) -> Tally {
    let counts = |origin: &Origin| is_forwarded(origin, Recipient::SameCentre(to), "a", |_| true);
    tally(own + from.sum(NOW, counts).0)
}

/// After a hub was killed, two VMs both consider themselves its successor and send each other sums.
/// If these were forwarded, each exchange would add a VM's own requests once more. Within a second
/// all runners would look full, and callers would be refused although the runners are idle.
#[test]
fn two_hubs_do_not_forward_each_others_sums() {
    let (mut a, mut b) = (Reports::default(), Reports::default());
    a.note(&vm("leaf"), Some(&tally(2)), NOW);
    b.note(&vm("leaf"), Some(&tally(2)), NOW);
    for _ in 0..20 {
        let sum = forwarded_sum(&a, 3, "b");
        b.note(&Origin::Others, Some(&sum), NOW);
        let sum = forwarded_sum(&b, 4, "a");
        a.note(&Origin::Others, Some(&sum), NOW);
    }
    assert_eq!(a.all(NOW), (6, 0), "4 of b and 2 of the leaf");
    assert_eq!(b.all(NOW), (5, 0), "3 of a and 2 of the leaf");
}

#[test]
fn latest_sum_of_a_data_centre_counts_whoever_sent_it() {
    let mut reports = Reports::default();
    let centre = Origin::Centre("b".to_owned());
    reports.note(&centre, Some(&tally(5)), NOW);
    reports.note(&centre, Some(&tally(7)), NOW);
    reports.note(&vm("leaf"), Some(&tally(1)), NOW);
    assert_eq!(reports.all(NOW), (8, 0));
    assert_eq!(reports.all(NOW.plus(Millis::new(700))), (0, 0), "too old");
}

#[test]
fn empty_reports_are_not_stored() {
    let mut reports = Reports::default();
    reports.note(&vm("idle"), None, NOW);
    assert!(reports.0.stored.is_empty());
    reports.note(&vm("busy"), Some(&tally(2)), NOW);
    reports.note(&vm("idle"), None, NOW);
    assert_eq!((reports.0.stored.len(), reports.all(NOW)), (1, (2, 0)));
    reports.note(&vm("busy"), None, NOW);
    assert!(reports.0.stored.is_empty());
}

#[rstest]
#[case::leaf_gets_other_leaves(vm("x"), Recipient::SameCentre("y"), true)]
#[case::no_figures_of_the_leaf_itself(vm("y"), Recipient::SameCentre("y"), false)]
#[case::leaf_gets_other_centres(Origin::Centre("b".to_owned()), Recipient::SameCentre("y"), true)]
#[case::no_sum_of_own_centre(Origin::Centre("a".to_owned()), Recipient::SameCentre("y"), false)]
#[case::leaf_gets_no_sum_of_others(Origin::Others, Recipient::SameCentre("y"), false)]
#[case::hub_gets_vms_of_the_centre(vm("x"), Recipient::OtherHub, true)]
#[case::hub_gets_no_remote_vms(vm("far"), Recipient::OtherHub, false)]
#[case::hub_gets_no_third_centres(Origin::Centre("c".to_owned()), Recipient::OtherHub, false)]
#[case::hub_gets_no_sum_of_others(Origin::Others, Recipient::OtherHub, false)]
fn hub_forwards(#[case] origin: Origin, #[case] recipient: Recipient<'_>, #[case] expected: bool) {
    let in_own_centre = |vm: &str| vm != "far";
    assert_eq!(
        is_forwarded(&origin, recipient, "a", in_own_centre),
        expected
    );
}
