use rstest::rstest;

use super::Source;
use super::Subject;
use super::source;
use crate::peers::ExchangeRole;

/// If a VM watched keys that it can learn of from other VMs, its watches would add to the answers
/// for every change. If it relied on other VMs after they fell silent, it would keep using an old
/// configuration.
#[rstest]
#[case::first_reads_runners(Subject::Runners, ExchangeRole::Direct, true, false, Source::Store)]
#[case::others_hear_of_runners(Subject::Runners, ExchangeRole::Direct, false, false, Source::Peers)]
#[case::unless_they_are_stale(Subject::Runners, ExchangeRole::Leaf, false, true, Source::Store)]
#[case::few_vms_watch_the_configuration(
    Subject::Config,
    ExchangeRole::Direct,
    false,
    false,
    Source::Store
)]
#[case::a_hub_watches_it(Subject::Config, ExchangeRole::Hub, true, false, Source::Store)]
#[case::a_leaf_hears_of_it(Subject::Config, ExchangeRole::Leaf, false, false, Source::Peers)]
#[case::unless_its_hub_is_silent(Subject::Config, ExchangeRole::Leaf, false, true, Source::Store)]
#[case::a_leaf_reads_copies(Subject::Own, ExchangeRole::Leaf, false, false, Source::Copy)]
#[case::a_hub_watches_own_keys(Subject::Own, ExchangeRole::Hub, true, false, Source::Store)]
fn subjects_are_learnt_from(
    #[case] subject: Subject,
    #[case] role: ExchangeRole,
    #[case] first: bool,
    #[case] stale: bool,
    #[case] expected: Source,
) {
    assert_eq!(source(subject, role, first, stale), expected);
}
