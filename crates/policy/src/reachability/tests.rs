use rstest::rstest;
use wire::clock::Millis;

use super::Evidence;
use super::Knowledge;
use super::MAX_AGE;
use super::Path;
use super::Report;
use super::TOLD_FOR;
use super::Verdict;
use super::is_cut_off;

const NOW: Millis = Millis::new(50_000);

fn at(offset: u64) -> Millis {
    NOW.plus(Millis::new(offset))
}

fn silent(offset: u64) -> Report {
    Report {
        evidence: Evidence::Silent,
        at: at(offset),
    }
}

fn reached(offset: u64) -> Report {
    Report {
        evidence: Evidence::Reached,
        at: at(offset),
    }
}

/// Guards against VMs that take another one's word for a silence: what they reached since is theirs.
#[rstest]
#[case::not_reached(None, Verdict::Suspected(at(100)))]
#[case::reached_before(Some(50), Verdict::Suspected(at(100)))]
#[case::reached_since(Some(150), Verdict::Trusted)]
fn a_silence_is_suspected_unless_the_endpoint_was_reached_since(
    #[case] reached_at: Option<u64>,
    #[case] expected: Verdict,
) {
    let mut known = Knowledge::default();
    if let Some(reached_at) = reached_at {
        known.note_reached(at(reached_at));
    }
    assert!(known.note_told(silent(100)));
    assert_eq!(known.verdict(at(400)), expected);
    assert_eq!(known.verdict(at(100).plus(MAX_AGE)), Verdict::Trusted);
}

/// Guards against an older report that replaces a newer one on another way between VMs.
#[test]
fn the_newest_report_counts() {
    let mut known = Knowledge::default();
    known.note_told(silent(100));
    assert!(known.note_told(reached(300)));
    assert!(!known.note_told(silent(200)));
    assert_eq!(known.verdict(at(400)), Verdict::Trusted);
    known.note_told(silent(500));
    assert_eq!(known.verdict(at(600)), Verdict::Suspected(at(500)));
}

/// A check that succeeds ends the suspicion and is told; one that fails says nothing new.
#[test]
fn a_check_that_succeeds_is_told() {
    let mut known = Knowledge::default();
    known.note_told(silent(0));
    known.begin_attempt(at(300), at(550));
    assert_eq!(known.verdict(at(400)), Verdict::Checked(at(300)));
    let mut failed = known;
    failed.note_silent(at(300), at(550));
    assert_eq!(failed.own_news(at(550)), None);
    known.note_reached(at(303));
    assert_eq!(known.own_news(at(400)), Some(reached(303)));
    assert_eq!(known.own_news(at(303).plus(TOLD_FOR)), None);
    assert_eq!(known.verdict(at(304)), Verdict::Trusted);
}

/// Guards against silences that nobody hears of, and quiet times in which VMs tell each other anything.
#[test]
fn only_silences_and_their_ends_are_told() {
    let mut known = Knowledge::default();
    known.note_reached(at(0));
    assert_eq!(known.own_news(at(0)), None);
    known.note_silent(at(100), at(350));
    known.note_silent(at(350), at(600));
    assert_eq!(known.own_news(at(600)), Some(silent(100)), "told once");
    known.note_reached(at(700));
    known.note_reached(at(800));
    assert_eq!(known.own_news(at(900)), Some(reached(700)), "told once");
}

/// Guards against endpoints that are avoided for ever after an attempt of which nobody hears.
#[test]
fn an_attempt_ends_by_itself() {
    let mut known = Knowledge::default();
    known.begin_attempt(at(0), at(250));
    assert_eq!(known.verdict(at(249)), Verdict::Checked(at(0)));
    assert_eq!(known.verdict(at(250)), Verdict::Trusted);
}

/// Guards against a data centre that is avoided for one endpoint's silence or though another one answers,
/// and one that is used on after two silences.
#[rstest]
#[case::quiet(&[Verdict::Trusted], false)]
#[case::one_told(&[Verdict::Suspected(at(100)), Verdict::Trusted], false)]
#[case::two_told(&[Verdict::Suspected(at(100)), Verdict::Suspected(at(100))], true)]
#[case::answered_since(&[Verdict::Suspected(at(40)), Verdict::Suspected(at(100))], false)]
#[case::attempt(&[Verdict::Trusted, Verdict::Checked(at(60))], true)]
#[case::attempt_before(&[Verdict::Trusted, Verdict::Checked(at(40))], false)]
fn several_silences_are_a_cut(#[case] verdicts: &[Verdict], #[case] expected: bool) {
    assert_eq!(is_cut_off(verdicts.iter().copied(), at(50)), expected);
}

/// Guards against a first wait that is too short for a distant data centre, or any before it is known.
#[test]
fn a_first_wait_is_a_multiple_of_the_usual_time() {
    let mut path = Path::default();
    assert_eq!(path.first_wait_ms(), None);
    path.note(1.0);
    assert_eq!(path.first_wait_ms(), Some(25.0));
    for _ in 0..100 {
        path.note(40.0);
    }
    assert!(path.first_wait_ms().is_some_and(|wait| wait > 300.0));
}
