//! What programs were promised in a play: the turns and tokens that were acknowledged, and what broke a
//! promise.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use replica::client::Found;
use replica::client::Replicas;
use replica::inquiry::Inquiry;
use replica::ledger::Entry;
use replica::record::Key;

/// What a play promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// No more disks are lost at once than are tolerated: nothing that was acknowledged is lost.
    Tolerated,
    /// Any disks may be lost: nothing that was acknowledged is called absent.
    Any,
}

/// What is known of an attempt's tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    Reserved,
    /// A settlement was sent.
    Sent(u32),
    /// It was acknowledged.
    Settled(u32),
}

#[derive(Clone, Debug)]
struct Attempt {
    turn: Key,
    most: u32,
    used: Use,
}

impl Attempt {
    /// Returns the fewest tokens that the attempt can be charged for.
    fn least(&self) -> u64 {
        match self.used {
            Use::Reserved => u64::from(self.most),
            Use::Sent(used) | Use::Settled(used) => u64::from(used),
        }
    }

    /// Returns whether members that know these entries know the attempt.
    fn is_known(&self, entries: &[Entry]) -> bool {
        let found = entries.iter().find(|entry| entry.turn == self.turn);
        found.is_some_and(|entry| match self.used {
            Use::Reserved | Use::Sent(_) => true,
            Use::Settled(used) => entry.used == Some(used),
        })
    }
}

#[derive(Clone, Debug)]
struct Account {
    program: Key,
    budget: u64,
    attempts: Vec<Attempt>,
}

/// A turn that was acknowledged.
#[derive(Clone, Debug)]
pub struct Stored {
    pub key: Key,
    pub text: Bytes,
}

#[derive(Debug, Default)]
struct State {
    turns: Vec<Stored>,
    accounts: Vec<Account>,
    violations: Vec<String>,
}

/// The promises of a play.
#[derive(Debug)]
pub struct Oracle {
    pub mode: Mode,
    state: Mutex<State>,
}

impl Oracle {
    pub fn new(mode: Mode) -> Self {
        Self {
            mode,
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn acknowledge_turn(&self, turn: Stored) {
        self.lock().turns.push(turn);
    }

    /// Returns a turn that was acknowledged, chosen by a number.
    pub fn turn(&self, choice: usize) -> Option<Stored> {
        let state = self.lock();
        let at = choice.checked_rem(state.turns.len())?;
        Some(state.turns[at].clone())
    }

    pub fn turns(&self) -> Vec<Stored> {
        self.lock().turns.clone()
    }

    /// Records that tokens were given, and checks the budget if no entries may be lost.
    pub fn give(&self, program: Key, budget: u64, turn: Key, most: u32) {
        let mut state = self.lock();
        let state = &mut *state;
        let found = state
            .accounts
            .iter()
            .position(|account| account.program == program);
        let at = found.unwrap_or_else(|| {
            state.accounts.push(Account {
                program,
                budget,
                attempts: Vec::new(),
            });
            state.accounts.len() - 1
        });
        let account = &mut state.accounts[at];
        account.attempts.push(Attempt {
            turn,
            most,
            used: Use::Reserved,
        });
        let given: u64 = account.attempts.iter().map(Attempt::least).sum();
        if self.mode == Mode::Tolerated && given > budget {
            let line = format!("a program was given {given} of {budget} tokens");
            state.violations.push(line);
        }
    }

    pub fn send_settlement(&self, program: Key, turn: Key, used: u32) {
        self.set_use(program, turn, Use::Sent(used));
    }

    pub fn acknowledge_settlement(&self, program: Key, turn: Key, used: u32) {
        self.set_use(program, turn, Use::Settled(used));
    }

    fn set_use(&self, program: Key, turn: Key, used: Use) {
        let mut state = self.lock();
        let mut accounts = state.accounts.iter_mut();
        let account = accounts.find(|account| account.program == program);
        let attempts = account.map(|account| account.attempts.iter_mut());
        let found = attempts.and_then(|mut all| all.find(|attempt| attempt.turn == turn));
        if let Some(attempt) = found {
            attempt.used = used;
        }
    }

    pub fn violate(&self, violation: String) {
        self.lock().violations.push(violation);
    }

    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Reads an acknowledged turn. Returns why it couldn't be read, if so.
    pub async fn read_turn(&self, client: &Replicas, turn: &Stored) -> Option<String> {
        let mut inquiry = Inquiry::default();
        match client.chain(turn.key, &mut inquiry, |_| true).await {
            Ok(Found::Part(links, _)) => {
                let is_same = links
                    .first()
                    .is_some_and(|link| link.key == turn.key && link.text == turn.text);
                if !is_same {
                    self.violate("a turn has another text".to_owned());
                }
                None
            }
            Ok(Found::Absent) => {
                let line = format!("an acknowledged turn is called absent: {inquiry}");
                self.violate(line.clone());
                Some(line)
            }
            Ok(Found::Unread) => Some("unread".to_owned()),
            Err(fault) => Some(format!("{fault}: {inquiry}")),
        }
    }

    /// Returns the programs that were given tokens.
    pub fn programs(&self) -> Vec<Key> {
        let state = self.lock();
        let accounts = state.accounts.iter();
        accounts.map(|account| account.program).collect()
    }

    /// Reads a program's entries. Returns what of them is missing or wasn't read, if anything.
    pub async fn read_account(&self, client: &Replicas, program: Key) -> Option<String> {
        let entries = match client.entries(program).await {
            Ok(entries) => entries,
            Err(fault) => return Some(fault.to_string()),
        };
        let state = self.lock();
        let mut accounts = state.accounts.iter();
        let account = accounts.find(|account| account.program == program)?;
        let missing = account
            .attempts
            .iter()
            .filter(|attempt| !attempt.is_known(&entries));
        let missing: Vec<&Attempt> = missing.collect();
        if missing.is_empty() {
            return None;
        }
        Some(format!(
            "{} of {} entries of a program (budget {}) are lost",
            missing.len(),
            account.attempts.len(),
            account.budget
        ))
    }
}
