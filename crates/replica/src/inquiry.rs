//! What each member said when a chain of turns was looked up, for the log.

use std::fmt;

use crate::list::List;
use crate::list::Member;
use crate::message::Answer;

/// The most members that a log line names.
const MAX_NAMED: usize = 12;

/// What a member said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// It wasn't asked.
    Unasked,
    /// It was asked, and its answer wasn't awaited to the end.
    Awaited,
    /// It gave no answer that can be read.
    Silent,
    /// It has caught up with the list, and holds no turn of this key.
    Absent,
    /// It holds the turn.
    Held,
    /// It hasn't caught up with the list.
    NotReady,
    /// Another disk than the list names answered at its address.
    OtherDisk,
    /// It uses this newer list.
    Newer(u64),
    /// It can't tell.
    Failed,
}

impl Word {
    /// Returns what an answer to a request for a chain says.
    #[must_use]
    pub fn of(answer: Option<&Answer>) -> Self {
        match answer {
            Some(Answer::Chain(chain)) if chain.turns.is_empty() => Self::Absent,
            Some(Answer::Chain(_)) => Self::Held,
            Some(Answer::NotReady) => Self::NotReady,
            Some(Answer::OtherDisk(_)) => Self::OtherDisk,
            Some(Answer::Newer(list)) => Self::Newer(list.version),
            Some(_) => Self::Failed,
            None => Self::Silent,
        }
    }
}

impl fmt::Display for Word {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unasked => f.write_str("unasked"),
            Self::Awaited => f.write_str("awaited"),
            Self::Silent => f.write_str("silent"),
            Self::Absent => f.write_str("absent"),
            Self::Held => f.write_str("held"),
            Self::NotReady => f.write_str("not_ready"),
            Self::OtherDisk => f.write_str("other_disk"),
            Self::Newer(version) => write!(f, "newer_list_{version}"),
            Self::Failed => f.write_str("failed"),
        }
    }
}

/// The last round of a look-up: the members that hold the key by the list, and what each said.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inquiry {
    version: u64,
    members: usize,
    rounds: usize,
    /// The VMs in the order in which they are asked.
    words: Vec<(String, Word)>,
}

impl Inquiry {
    /// Begins a round that asks these members of the list.
    pub fn begin<'a>(&mut self, list: &List, group: impl Iterator<Item = &'a Member>) {
        self.version = list.version;
        self.members = list.members.len();
        self.rounds += 1;
        self.words = group
            .map(|member| (member.vm.clone(), Word::Unasked))
            .collect();
    }

    /// Records what a member says.
    pub fn note(&mut self, member: &Member, said: Word) {
        let known = self.words.iter_mut().find(|(vm, _)| *vm == member.vm);
        if let Some((_, word)) = known {
            *word = said;
        }
    }
}

impl fmt::Display for Inquiry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            version,
            members,
            rounds,
            words,
        } = self;
        f.write_str("said=")?;
        for (at, (vm, word)) in words.iter().take(MAX_NAMED).enumerate() {
            let separator = if at == 0 { "" } else { "," };
            write!(f, "{separator}{vm}:{word}")?;
        }
        let more = words.len().saturating_sub(MAX_NAMED);
        if more > 0 {
            write!(f, ",+{more}")?;
        }
        write!(f, " version={version} members={members} rounds={rounds}")
    }
}

#[cfg(test)]
mod tests;
