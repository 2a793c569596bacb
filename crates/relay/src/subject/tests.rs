use rstest::rstest;

use super::Source;
use super::Subject;
use super::source;
use crate::peers;

/// If a VM watched keys that it can learn of from other VMs, its watches would add to the answers
/// for every change. If it relied on other VMs after they fell silent, it would keep using an old
/// configuration.
#[rstest]
#[case::reader_watches_runners(Subject::Runners, peers::Role::Direct, true, false, Source::Store)]
#[case::others_learn_runners_from_peers(
    Subject::Runners,
    peers::Role::Direct,
    false,
    false,
    Source::Peers
)]
#[case::stale_runners_are_read(Subject::Runners, peers::Role::Leaf, false, true, Source::Store)]
#[case::few_vms_watch_the_configuration(
    Subject::Config,
    peers::Role::Direct,
    false,
    false,
    Source::Store
)]
#[case::hub_watches_the_configuration(
    Subject::Config,
    peers::Role::Hub,
    true,
    false,
    Source::Store
)]
#[case::leaf_learns_the_configuration_from_its_hub(
    Subject::Config,
    peers::Role::Leaf,
    false,
    false,
    Source::Peers
)]
#[case::leaf_with_a_silent_hub_watches(
    Subject::Config,
    peers::Role::Leaf,
    false,
    true,
    Source::Store
)]
#[case::leaf_reads_copies_of_own_keys(Subject::Own, peers::Role::Leaf, false, false, Source::Copy)]
#[case::hub_watches_own_keys(Subject::Own, peers::Role::Hub, true, false, Source::Store)]
fn source_of_each_subject(
    #[case] subject: Subject,
    #[case] role: peers::Role,
    #[case] is_reader: bool,
    #[case] stale: bool,
    #[case] expected: Source,
) {
    assert_eq!(source(subject, role, is_reader, stale), expected);
}
