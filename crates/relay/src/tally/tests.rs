use rstest::rstest;
use wire::clock::Millis;

use super::Origin;
use super::PeerReports;
use super::Recipient;
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

/// Returns what a VM that considers itself a hub sends to another one of its data centre that does
/// as well.
fn tell(from: &PeerReports, own: u32, to: &str) -> Tally {
    let counts = |origin: &Origin| is_forwarded(origin, Recipient::SameCentre(to), "a", |_| true);
    tally(own + from.sum(NOW, counts).0)
}

/// After a hub was killed, two VMs both consider themselves its successor and send each other sums.
/// If these were forwarded, each exchange would add a VM's own requests once more. Within a second
/// all runners would look full, and callers would be refused although the runners are idle.
#[test]
fn two_hubs_do_not_echo_each_others_sums() {
    let (mut a, mut b) = (PeerReports::default(), PeerReports::default());
    a.note(&vm("leaf"), Some(&tally(2)), NOW);
    b.note(&vm("leaf"), Some(&tally(2)), NOW);
    for _ in 0..20 {
        let told = tell(&a, 3, "b");
        b.note(&Origin::Others, Some(&told), NOW);
        let told = tell(&b, 4, "a");
        a.note(&Origin::Others, Some(&told), NOW);
    }
    assert_eq!(a.all(NOW), (6, 0), "4 of b and 2 of the leaf");
    assert_eq!(b.all(NOW), (5, 0), "3 of a and 2 of the leaf");
}

#[test]
fn the_latest_sum_of_a_data_centre_counts_whoever_told_it() {
    let mut told = PeerReports::default();
    let centre = Origin::Centre("b".to_owned());
    told.note(&centre, Some(&tally(5)), NOW);
    told.note(&centre, Some(&tally(7)), NOW);
    told.note(&vm("leaf"), Some(&tally(1)), NOW);
    assert_eq!(told.all(NOW), (8, 0));
    assert_eq!(told.all(NOW.plus(Millis::new(700))), (0, 0), "too old");
}

#[test]
fn what_is_nothing_is_not_kept() {
    let mut told = PeerReports::default();
    told.note(&vm("idle"), None, NOW);
    assert!(told.0.is_empty());
    told.note(&vm("busy"), Some(&tally(2)), NOW);
    told.note(&vm("idle"), None, NOW);
    assert_eq!((told.0.len(), told.all(NOW)), (1, (2, 0)));
    told.note(&vm("busy"), None, NOW);
    assert!(told.0.is_empty());
}

#[rstest]
#[case::a_leaf_hears_of_others(vm("x"), Recipient::SameCentre("y"), true)]
#[case::not_of_itself(vm("y"), Recipient::SameCentre("y"), false)]
#[case::of_other_centres(Origin::Centre("b".to_owned()), Recipient::SameCentre("y"), true)]
#[case::not_of_its_own_centre_twice(Origin::Centre("a".to_owned()), Recipient::SameCentre("y"), false)]
#[case::no_sum_of_others(Origin::Others, Recipient::SameCentre("y"), false)]
#[case::a_hub_hears_of_the_centres_vms(vm("x"), Recipient::OtherHub, true)]
#[case::not_of_distant_ones(vm("far"), Recipient::OtherHub, false)]
#[case::not_of_third_centres(Origin::Centre("c".to_owned()), Recipient::OtherHub, false)]
#[case::no_sum_told_far(Origin::Others, Recipient::OtherHub, false)]
fn a_hub_tells_on(
    #[case] origin: Origin,
    #[case] recipient: Recipient<'_>,
    #[case] expected: bool,
) {
    let in_own_centre = |vm: &str| vm != "far";
    assert_eq!(
        is_forwarded(&origin, recipient, "a", in_own_centre),
        expected
    );
}
