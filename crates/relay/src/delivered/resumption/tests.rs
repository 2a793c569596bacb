use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use replica::ledger;
use replica::ledger::Entry;
use replica::record::Key;
use rstest::rstest;

use super::Claim;
use super::Keys;
use super::Resumption;
use super::origin;
use super::read;

const OWNER: Key = Key(1);
/// The events of a whole stream.
const LAST_EVENT: u64 = 9;

fn keys(number: usize) -> Keys {
    let key = |part: &str| Key::of(&format!("{part} {number}"));
    Keys {
        number: key("number"),
        claims: key("claims"),
        points: key("points"),
    }
}

fn claim(number: usize, attempt: &str, point: u64) -> Claim {
    Claim::new(OWNER, keys(number), Key::of(attempt), point)
}

fn entry(turn: Key, used: Option<u32>) -> Entry {
    Entry {
        turn,
        most: 0,
        used,
    }
}

/// Records claims, and withdraws those of these attempts.
fn entries(claims: &[Claim], withdrawn: &[Claim]) -> Vec<Entry> {
    let mut all = vec![entry(Key::of("a turn"), Some(7))];
    for claim in claims {
        let reservations = claim.reservations();
        let more = reservations.map(|reservation| entry(reservation.turn, None));
        ledger::merge_entries(&mut all, &more);
    }
    for claim in withdrawn {
        ledger::merge_entries(&mut all, &[entry(claim.withdrawal().turn, Some(0))]);
    }
    all
}

fn resumption(point: Option<u64>) -> Resumption {
    Resumption {
        point,
        is_withdrawn: false,
    }
}

/// Guards against an event that is taken from another attempt than the one whose event the caller has.
#[rstest]
#[case::never_resumed(vec![], 3, 0)]
#[case::before_the_resumption(vec![Some(5)], 5, 0)]
#[case::behind_the_resumption(vec![Some(5)], 6, 1)]
#[case::last_of_two(vec![Some(5), Some(7)], 8, 2)]
#[case::first_of_two(vec![Some(5), Some(7)], 7, 1)]
#[case::before_both(vec![Some(5), Some(7)], 4, 0)]
#[case::again_after_the_same_event(vec![Some(5), Some(5)], 6, 2)]
#[case::caller_that_went_back(vec![Some(7), Some(5)], 6, 2)]
#[case::point_that_is_not_known(vec![Some(5), None], 3, 2)]
fn an_event_belongs_to_the_last_attempt_that_began_before_it(
    #[case] points: Vec<Option<u64>>,
    #[case] event: u64,
    #[case] expected: usize,
) {
    let resumptions: Vec<Resumption> = points.into_iter().map(resumption).collect();
    assert_eq!(origin(&resumptions, event), expected);
}

/// Guards against an attempt that brought nothing and makes all later ones impossible.
#[test]
fn a_withdrawn_resumption_made_no_event() {
    let (first, second) = (claim(1, "b", 5), claim(2, "c", 5));
    let known = read(&entries(&[first, second], &[second]), keys);
    assert_eq!(known.len(), 2);
    assert_eq!(origin(&known, 6), 1);
}

/// Guards against two attempts that record different events under the same keys.
#[test]
fn a_number_that_two_attempts_claim_is_contested_until_one_withdraws() {
    let (one, other) = (claim(1, "b", 5), claim(1, "c", 7));
    assert!(!one.is_contested(&entries(&[one], &[])));
    assert!(one.is_contested(&entries(&[one, other], &[])));
    assert!(other.is_contested(&entries(&[one, other], &[])));
    assert!(!one.is_contested(&entries(&[one, other], &[other])));
    let known = read(&entries(&[one, other], &[other]), keys);
    assert_eq!(known, [resumption(Some(5))]);
}

/// An attempt at a stream, and what became of its events.
struct Attempt {
    /// The event after which it went on.
    point: u64,
    /// The last event that it recorded: as many as came before the first that it couldn't record.
    recorded: u64,
    claim: Option<Claim>,
    is_withdrawn: bool,
}

/// A caller that takes its stream up again and again, and the attempts that made its events.
struct Model {
    draws: ChaCha8Rng,
    attempts: Vec<Attempt>,
    /// Which attempt made each event that the caller has, from the first event on.
    held: Vec<usize>,
    records_stop: bool,
}

impl Model {
    fn new(seed: u64, records_stop: bool) -> Self {
        Self {
            draws: ChaCha8Rng::seed_from_u64(seed),
            attempts: Vec::new(),
            held: Vec::new(),
            records_stop,
        }
    }

    fn last_held(&self) -> u64 {
        self.held.len() as u64
    }

    fn resumptions(&self) -> Vec<Resumption> {
        let claims = |attempts: &[&Attempt]| -> Vec<Claim> {
            attempts
                .iter()
                .filter_map(|attempt| attempt.claim)
                .collect()
        };
        let all: Vec<&Attempt> = self.attempts.iter().collect();
        let withdrawn: Vec<&Attempt> = self.attempts.iter().filter(|it| it.is_withdrawn).collect();
        read(&entries(&claims(&all), &claims(&withdrawn)), keys)
    }

    /// Plays one attempt: events are made and passed on up to one, recorded up to one, and reach the caller up
    /// to one.
    fn attempt(&mut self) {
        let point = self.last_held();
        let number = self.attempts.len();
        let passed_on = self.draws.random_range(point..=LAST_EVENT);
        let recorded = if self.records_stop {
            self.draws.random_range(point..=passed_on)
        } else {
            passed_on
        };
        let received = self.draws.random_range(point..=passed_on);
        let claim = (number > 0).then(|| claim(number, &number.to_string(), point));
        self.attempts.push(Attempt {
            point,
            recorded,
            claim,
            is_withdrawn: passed_on == point && self.draws.random(),
        });
        self.held.extend((point..received).map(|_| number));
    }

    fn has_record(&self, attempt: usize, event: u64) -> bool {
        let attempt = &self.attempts[attempt];
        attempt.point < event && event <= attempt.recorded
    }
}

/// Guards against the event of another attempt that is taken where the record of the caller's is missing, after
/// any order of breaks and lost records; and against a stream that can't be taken up though all was recorded.
#[rstest]
#[case::all_recorded(false)]
#[case::records_that_stop(true)]
fn the_record_that_is_read_is_the_callers(#[case] records_stop: bool) {
    let mut older_records = 0;
    for seed in 0..2_000 {
        let mut model = Model::new(seed, records_stop);
        for _ in 0..5 {
            model.attempt();
            let Some(made_by) = model.held.last().copied() else {
                break;
            };
            let event = model.last_held();
            let found = origin(&model.resumptions(), event);
            assert_eq!(found, made_by, "seed {seed}");
            let others = 0..model.attempts.len();
            let is_missing = !model.has_record(made_by, event);
            assert!(records_stop || !is_missing, "seed {seed}");
            if is_missing
                && others
                    .into_iter()
                    .any(|other| model.has_record(other, event))
            {
                older_records += 1;
            }
        }
    }
    assert_eq!(older_records > 0, records_stop, "the model draws the gap");
}
