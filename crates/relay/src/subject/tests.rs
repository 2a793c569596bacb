use rstest::rstest;

use super::Knowledge;
use super::Situation;
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
#[case::leaf_that_reads_for_all_watches(
    Subject::Config,
    peers::Role::Leaf,
    true,
    false,
    Source::Store
)]
#[case::leaf_with_a_silent_hub_watches(
    Subject::Config,
    peers::Role::Leaf,
    false,
    true,
    Source::Store
)]
#[case::leaf_learns_own_keys_from_its_hub(
    Subject::Own,
    peers::Role::Leaf,
    false,
    false,
    Source::Peers
)]
#[case::leaf_with_a_silent_hub_reads_a_copy(
    Subject::Own,
    peers::Role::Leaf,
    false,
    true,
    Source::Copy
)]
#[case::hub_watches_own_keys(Subject::Own, peers::Role::Hub, true, false, Source::Store)]
fn source_of_each_subject(
    #[case] subject: Subject,
    #[case] role: peers::Role,
    #[case] is_reader: bool,
    #[case] stale: bool,
    #[case] expected: Source,
) {
    let situation = Situation {
        role,
        is_listed: true,
        is_reader,
        knowledge: if stale {
            Knowledge::Stale
        } else {
            Knowledge::Current
        },
    };
    assert_eq!(source(subject, situation), expected);
}

/// The service fails. If all VMs called it until it returns, the calls would grow with the number
/// of VMs.
#[rstest]
fn leaf_whose_hub_answers_awaits_what_others_read(
    #[values(Subject::Config, Subject::Runners, Subject::Own)] subject: Subject,
) {
    let situation = Situation {
        role: peers::Role::Leaf,
        is_listed: true,
        is_reader: false,
        knowledge: Knowledge::Awaited,
    };
    assert_eq!(source(subject, situation), Source::Peers);
}

/// A hub dies. Each of its leaves takes itself for the first VM until another one answers. If all
/// read the service at once, its calls would grow with the number of VMs.
#[rstest]
#[case::config(Subject::Config, Knowledge::Current, Source::Peers)]
#[case::runners(Subject::Runners, Knowledge::Current, Source::Peers)]
#[case::own(Subject::Own, Knowledge::Current, Source::Peers)]
#[case::stale_config(Subject::Config, Knowledge::Stale, Source::Store)]
#[case::stale_runners(Subject::Runners, Knowledge::Stale, Source::Store)]
#[case::stale_own(Subject::Own, Knowledge::Stale, Source::Copy)]
fn vm_without_an_entry_reads_only_if_its_knowledge_is_stale(
    #[case] subject: Subject,
    #[case] knowledge: Knowledge,
    #[case] expected: Source,
) {
    let situation = Situation {
        role: peers::Role::Hub,
        is_listed: false,
        is_reader: true,
        knowledge,
    };
    assert_eq!(source(subject, situation), expected);
}

/// All VMs start at once. A VM that doesn't know yet whom to ask reads a copy of the directory,
/// and nothing else: everything else it learns from the VMs that it finds there.
#[rstest]
#[case(Subject::Own, Source::Copy)]
#[case(Subject::Config, Source::Peers)]
#[case(Subject::Runners, Source::Peers)]
fn starting_vm_reads_the_directory_first(#[case] subject: Subject, #[case] expected: Source) {
    let situation = Situation {
        role: peers::Role::Direct,
        is_listed: false,
        is_reader: true,
        knowledge: Knowledge::None,
    };
    assert_eq!(source(subject, situation), expected);
}
