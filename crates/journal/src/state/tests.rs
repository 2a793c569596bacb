use wire::clock::Millis;
use wire::code::Code;

use super::*;

fn created(program: &str) -> Record {
    Record::Created {
        program: id::Program::parse(program).unwrap(),
        caller: id::Caller::parse("crew").unwrap(),
        tokens: 100,
        turns: 3,
        idle: Millis::new(1_000),
        at: Millis::ZERO,
    }
}

fn opened(epoch: u64) -> Record {
    Record::Opened {
        vm: id::Vm::parse("vm-1").unwrap(),
        epoch,
        copies: Vec::new(),
    }
}

#[test]
fn programs_are_sorted_whatever_the_order_of_their_records() {
    let records = [opened(1), created("c"), created("a"), created("b")];
    let state = State::rebuild(&records).unwrap();
    let ids: Vec<&str> = state.programs().map(|p| p.id.as_str()).collect();
    assert_eq!(ids, ["a", "b", "c"]);
}

#[test]
fn an_inconsistent_journal_is_reported() {
    // An operator restores the platform from a mixture of two backups. The new owner must not serve
    // a history combined from both.
    let created_twice = State::rebuild(&[opened(1), created("a"), created("a")]);
    assert!(matches!(created_twice, Err(Mismatch::Exists(_))));
    let same_epoch = State::rebuild(&[opened(2), opened(2)]);
    assert_eq!(same_epoch, Err(Mismatch::Epoch(2)));
    let ended = Record::Ended {
        program: id::Program::parse("b").unwrap(),
        code: Code::ProgramEnded,
        at: Millis::ZERO,
    };
    let unknown_program = State::rebuild(&[opened(1), created("a"), ended]);
    assert!(matches!(unknown_program, Err(Mismatch::Unknown(_))));
}

#[test]
fn previous_holders_are_asked_until_the_second_change() {
    // A change of the holders is being written when the platform goes down, and it takes effect
    // while the previous holders still hold batches. A claimer that asked only the new holders
    // would miss those batches.
    let holder = |name: &str| Holder {
        vm: id::Vm::parse(name).unwrap(),
        incarnation: 1,
    };
    let (old, new) = ([holder("a"), holder("b")], [holder("b"), holder("c")]);
    let mut state = State::rebuild(&[opened(1)]).unwrap();
    let mut asked = Vec::new();
    for holders in [&old, &old, &new, &new, &new] {
        if let Some(record) = crate::decision::change_copy_holders(&state, holders) {
            state.apply(&record);
        }
        let vms = state
            .copy_holders()
            .iter()
            .map(|h| h.vm.as_str().to_owned());
        let mut vms: Vec<String> = vms.collect();
        vms.sort();
        asked.push(vms.concat());
    }
    assert_eq!(asked, ["ab", "ab", "abc", "bc", "bc"]);
}
