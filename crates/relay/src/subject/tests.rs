use rstest::rstest;

use super::Source;
use super::Subject;
use super::source;
use crate::peers::Place;

/// A VM that watched what it can hear from others would add its answers to every change; one that
/// relied on others after they fell silent would go on with an old configuration.
#[rstest]
#[case::first_reads_runners(Subject::Runners, Place::Direct, true, false, Source::Store)]
#[case::others_hear_of_runners(Subject::Runners, Place::Direct, false, false, Source::Peers)]
#[case::unless_they_are_stale(Subject::Runners, Place::Leaf, false, true, Source::Store)]
#[case::few_vms_watch_the_configuration(
    Subject::Config,
    Place::Direct,
    false,
    false,
    Source::Store
)]
#[case::a_hub_watches_it(Subject::Config, Place::Hub, true, false, Source::Store)]
#[case::a_leaf_hears_of_it(Subject::Config, Place::Leaf, false, false, Source::Peers)]
#[case::unless_its_hub_is_silent(Subject::Config, Place::Leaf, false, true, Source::Store)]
#[case::a_leaf_reads_copies(Subject::Own, Place::Leaf, false, false, Source::Copy)]
#[case::a_hub_watches_own_keys(Subject::Own, Place::Hub, true, false, Source::Store)]
fn subjects_are_learnt_from(
    #[case] subject: Subject,
    #[case] place: Place,
    #[case] first: bool,
    #[case] stale: bool,
    #[case] expected: Source,
) {
    assert_eq!(source(subject, place, first, stale), expected);
}
