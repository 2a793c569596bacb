//! Records what callers were told and what endpoints ran, and checks that the two agree.

use journal::state::State;
use wire::chat;
use wire::code::Ran;
use wire::id;

/// A program's token budget.
pub const TOKENS: u64 = 200;

/// An attempt at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub program: id::Program,
    pub turn: u32,
    pub attempt: id::Attempt,
    /// The prompt that the engine got, as the texts of its messages.
    pub prompt: Vec<String>,
    /// The number of generated tokens; the whole reservation until the number is known.
    pub generated: u64,
}

/// A turn whose answer a caller received.
#[derive(Clone, Debug, PartialEq)]
pub struct Answered {
    pub program: id::Program,
    pub turn: u32,
    pub answer: chat::Answer,
}

/// A call that a service received.
#[derive(Clone, Debug)]
pub struct Call {
    pub key: id::Key,
    pub attempt: id::Attempt,
    /// Whether the service refused the call and so didn't run it.
    pub refused: bool,
}

#[derive(Default)]
pub struct Oracle {
    pub runs: Vec<Run>,
    pub answered: Vec<Answered>,
    pub calls: Vec<Call>,
    /// Calls whose outcome a caller received.
    pub answered_calls: Vec<(id::Key, id::Attempt)>,
    /// Attempts refused before their dispatch, with what their callers were told about `ran`.
    pub refused: Vec<(id::Attempt, Ran)>,
    /// Attempts whose records were reported as certainly absent from the journal.
    pub reported_absent: Vec<id::Attempt>,
}

impl Oracle {
    /// Records an answer that reached a caller.
    pub fn note_answer(&mut self, answered: Answered) {
        let same =
            |other: &&Answered| other.program == answered.program && other.turn == answered.turn;
        match self.answered.iter().find(same) {
            Some(other) => assert_eq!(*other, answered, "two different answers to one turn"),
            None => self.answered.push(answered),
        }
    }

    /// Checks the invariants that hold after each step.
    pub fn check(&self) {
        for (at, call) in self.calls.iter().enumerate() {
            let same_key = |other: &&Call| other.key == call.key && !other.refused;
            let runs = self.calls[at..].iter().filter(same_key).count();
            assert!(runs <= 1, "{} ran {runs} times", call.key);
        }
        for (attempt, ran) in &self.refused {
            let dispatched = self.runs.iter().any(|run| run.attempt == *attempt)
                || self.calls.iter().any(|call| call.attempt == *attempt);
            assert!(
                *ran != Ran::No || !dispatched,
                "a caller was told that {attempt} did not run, but it was dispatched"
            );
        }
        for run in &self.runs {
            let same_program = self
                .runs
                .iter()
                .filter(|other| other.program == run.program);
            let sum: u64 = same_program.map(|run| run.generated).sum();
            assert!(sum <= TOKENS, "{} generated {sum} tokens", run.program);
        }
    }

    /// Checks a state that was rebuilt at the end.
    pub fn check_rebuilt(&self, state: &State) {
        for answered in &self.answered {
            let program = state.program(&answered.program);
            let turn = program.and_then(|p| p.history.get(answered.turn as usize - 1));
            let answer = turn.map(|turn| &turn.answer);
            assert_eq!(
                answer,
                Some(&answered.answer),
                "an answered turn is lost: {answered:?}"
            );
        }
        for program in state.programs() {
            let texts: Vec<String> = program.messages().map(text).collect();
            for turn in &program.history {
                let attempt = text(&turn.answer.message);
                let run = self
                    .runs
                    .iter()
                    .find(|run| run.attempt.to_string() == attempt);
                let run = run.unwrap_or_else(|| panic!("no engine gave the answer {attempt}"));
                assert_eq!(
                    run.program, program.id,
                    "the histories of two programs are mixed"
                );
                let before = (run.turn as usize - 1) * 2;
                assert_eq!(
                    run.prompt[..before],
                    texts[..before],
                    "the prompt differs from the history"
                );
                assert_eq!(
                    run.prompt[before], texts[before],
                    "the turn's own message differs"
                );
                assert_eq!(attempt, texts[before + 1], "turns out of order");
            }
        }
        self.check_calls(state);
    }

    fn check_calls(&self, state: &State) {
        let calls = || state.programs().flat_map(|program| &program.calls);
        for (key, attempt) in &self.answered_calls {
            let known = calls().any(|call| call.key == *key && call.attempt == *attempt);
            assert!(known, "the outcome of {key} is lost");
        }
        for call in self.calls.iter().filter(|call| !call.refused) {
            let known = calls().any(|c| c.key == call.key && c.attempt == call.attempt);
            assert!(known, "{} ran without an intent", call.key);
        }
        for attempt in &self.reported_absent {
            let is_recorded = calls().any(|call| call.attempt == *attempt);
            assert!(
                !is_recorded,
                "{attempt} is in the journal although it was reported as absent"
            );
        }
    }
}

/// Returns a message's text.
pub fn text(message: &chat::Message) -> String {
    message.content.as_str().unwrap_or_default().to_owned()
}
