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
pub struct Told {
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
    pub told: Vec<Told>,
    pub calls: Vec<Call>,
    /// Calls whose outcome a caller received.
    pub called: Vec<(id::Key, id::Attempt)>,
    /// Attempts refused before the dispatch, and whether their callers were told that they ran.
    pub refused: Vec<(id::Attempt, Ran)>,
    /// Attempts whose records were reported as certainly absent from the journal.
    pub absent: Vec<id::Attempt>,
}

impl Oracle {
    /// Records an answer that reached a caller.
    pub fn tell(&mut self, told: Told) {
        let same = |other: &&Told| other.program == told.program && other.turn == told.turn;
        match self.told.iter().find(same) {
            Some(other) => assert_eq!(*other, told, "two answers to one turn"),
            None => self.told.push(told),
        }
    }

    /// Checks the invariants that hold after each step.
    pub fn check(&self) {
        for (at, call) in self.calls.iter().enumerate() {
            let again = |other: &&Call| other.key == call.key && !other.refused;
            let runs = self.calls[at..].iter().filter(again).count();
            assert!(runs <= 1, "{} ran {runs} times", call.key);
        }
        for (attempt, ran) in &self.refused {
            let dispatched = self.runs.iter().any(|run| run.attempt == *attempt)
                || self.calls.iter().any(|call| call.attempt == *attempt);
            assert!(
                *ran != Ran::No || !dispatched,
                "told 'no' of {attempt}, which was sent"
            );
        }
        for run in &self.runs {
            let own = self
                .runs
                .iter()
                .filter(|other| other.program == run.program);
            let sum: u64 = own.map(|run| run.generated).sum();
            assert!(sum <= TOKENS, "{} generated {sum} tokens", run.program);
        }
    }

    /// Checks a state that was rebuilt at the end.
    pub fn check_rebuilt(&self, state: &State) {
        for told in &self.told {
            let program = state.program(&told.program);
            let turn = program.and_then(|p| p.history.get(told.turn as usize - 1));
            let answer = turn.map(|turn| &turn.answer);
            assert_eq!(
                answer,
                Some(&told.answer),
                "an answered turn is lost: {told:?}"
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
                let run = run.unwrap_or_else(|| panic!("nobody gave the answer {attempt}"));
                assert_eq!(run.program, program.id, "mixed histories");
                let before = (run.turn as usize - 1) * 2;
                assert_eq!(
                    run.prompt[..before],
                    texts[..before],
                    "the prompt wasn't the history"
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
        for (key, attempt) in &self.called {
            let known = calls().any(|call| call.key == *key && call.attempt == *attempt);
            assert!(known, "the outcome of {key} is lost");
        }
        for call in self.calls.iter().filter(|call| !call.refused) {
            let known = calls().any(|c| c.key == call.key && c.attempt == call.attempt);
            assert!(known, "{} ran without an intent", call.key);
        }
        for attempt in &self.absent {
            let landed = calls().any(|call| call.attempt == *attempt);
            assert!(!landed, "{attempt} was said to be absent from the journal");
        }
    }
}

/// Returns a message's text.
pub fn text(message: &chat::Message) -> String {
    message.content.as_str().unwrap_or_default().to_owned()
}
