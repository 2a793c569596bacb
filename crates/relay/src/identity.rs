//! Decides on whose behalf a request runs, and refuses those whose key doesn't hold.
//!
//! A key that was taken away has to be refused by every VM within a bound, also by one that is cut
//! off and can't hear of it. So a VM accepts a key only while it has proof that its configuration
//! was current a short while ago ([`crate::freshness`]); when the proof gets too old, it refuses all
//! keys, because any of them may have been taken away.

use std::sync::Arc;

use adapter::config::Route;
use adapter::header;
use adapter::key::Credential;
use replica::record::Key;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;
use wire::event::Event;

use crate::node::Node;
use crate::peers::Others;
use crate::workspace::Index;
use crate::workspace::Lookup;
use crate::workspace::Workspace;

/// By how much a key is refused before its bound, for the time between reading the clock and using
/// what was read.
const MARGIN: Millis = Millis::new(50);
/// When a request may be retried whose key can't be checked by this VM, which hears no other one:
/// another VM probably can, and a retry reaches another one.
const RETRY_DELAY_ELSEWHERE: Millis = Millis::new(300);
/// The same where the other VMs can't check keys either. The key-value service has been silent for
/// seconds and probably will be for seconds more. Callers have a few tries, and wait for up to a third
/// of their time before each: with shorter pauses their programs would fail before it is back.
const RETRY_DELAY_OUTAGE: Millis = Millis::new(900);
/// Separates a workspace's name from an id within it.
const SEPARATOR: char = '\0';

/// Whether a route's requests need a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Anyone may ask.
    Public,
    /// The caller needs the key of a workspace.
    Keyed,
}

impl Access {
    /// Returns the access of a route.
    #[must_use]
    pub const fn of(route: &Route) -> Self {
        if route.public {
            Self::Public
        } else {
            Self::Keyed
        }
    }
}

/// On whose behalf a request runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Identity {
    /// The configuration knows no keys.
    #[default]
    Unmanaged,
    /// The route needs no key.
    Public,
    /// The workspace that holds the key.
    Workspace(Arc<Workspace>),
}

/// How old a VM's knowledge of the configuration is, and how old it may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// The age; `None` if nothing shows that the configuration was ever current.
    pub age: Option<Millis>,
    /// The age up to which keys are accepted; `None` for any age.
    pub max_accept: Option<Millis>,
    /// The age up to which an unknown key is certain not to have been added meanwhile, at a VM that
    /// hears of changes in time.
    pub max_reject: Millis,
    /// Whether other VMs are heard. They would pass on that the configuration is current if they
    /// knew.
    pub others: Others,
}

impl Freshness {
    fn allows_accept(&self) -> bool {
        let Some(bound) = self.max_accept else {
            return true;
        };
        self.age.is_some_and(|age| age.plus(MARGIN) <= bound)
    }

    fn allows_reject(&self) -> bool {
        self.age.is_some_and(|age| age <= self.max_reject)
    }
}

impl Identity {
    /// Returns the workspace, if there is one.
    #[must_use]
    pub fn workspace(&self) -> Option<&Arc<Workspace>> {
        match self {
            Self::Workspace(workspace) => Some(workspace),
            Self::Unmanaged | Self::Public => None,
        }
    }

    /// Returns what the runner is told.
    #[must_use]
    pub fn header(&self) -> header::Identity<'_> {
        match self {
            Self::Unmanaged => header::Identity::Unmanaged,
            Self::Public => header::Identity::Public,
            Self::Workspace(workspace) => header::Identity::Workspace(&workspace.name),
        }
    }

    /// Returns the key of a turn or program of this workspace. The same id of another workspace has
    /// another key, so that its turns can't be found, wherever they are stored.
    #[must_use]
    pub fn key_of(&self, id: &str) -> Key {
        match self {
            Self::Workspace(workspace) => Key::of(&format!("{}{SEPARATOR}{id}", workspace.name)),
            Self::Unmanaged | Self::Public => Key::of(id),
        }
    }
}

/// Identifies a request by what its caller presents.
///
/// # Errors
///
/// Refuses a request without a key that holds, and one whose key can't be checked.
pub fn identify(
    index: Option<&Index>,
    access: Access,
    credential: Credential,
    freshness: Freshness,
) -> Result<Identity, Refusal> {
    let Some(index) = index else {
        return Ok(Identity::Unmanaged);
    };
    if access == Access::Public {
        return Ok(Identity::Public);
    }
    let lookup = match credential {
        Credential::Key(key) => index.lookup(key),
        Credential::Missing | Credential::Malformed => Lookup::Unknown,
    };
    match lookup {
        Lookup::Held(workspace) if freshness.allows_accept() => Ok(Identity::Workspace(workspace)),
        Lookup::Revoked if freshness.allows_reject() => Err(Refusal::new(Code::RevokedKey, "")),
        Lookup::Unknown if freshness.allows_reject() => {
            let detail = match credential {
                Credential::Missing => "none was sent",
                Credential::Malformed => "it isn't a single bearer key",
                Credential::Key(_) => "",
            };
            Err(Refusal::new(Code::UnknownKey, detail))
        }
        Lookup::Held(_) | Lookup::Revoked | Lookup::Unknown => Err(stale(freshness)),
    }
}

/// Logs when the configuration is no longer known to be current, and when it is again. Meanwhile
/// routes may have changed, and keys can't be refused for good.
#[derive(Debug, Default)]
pub struct ChangeLog {
    is_stale: bool,
}

impl ChangeLog {
    /// Logs a change since the last call.
    pub fn log_change(&mut self, node: &Node) {
        let is_stale = !node.is_config_proved();
        if std::mem::replace(&mut self.is_stale, is_stale) == is_stale {
            return;
        }
        let event = if is_stale {
            Event::ConfigurationStale
        } else {
            Event::ConfigurationCurrent
        };
        log::warn!(
            "event=E{} text=\"{}\" revision={} revision_age_ms={}",
            event.number(),
            event.text(),
            node.table().version,
            node.config_age().as_u64()
        );
    }
}

/// Returns the refusal of a request that a later configuration may allow.
#[must_use]
pub fn stale(freshness: Freshness) -> Refusal {
    let detail = match freshness.age {
        Some(age) => format!("last known to be current {age} ago"),
        None => "not known to be current yet".to_owned(),
    };
    let delay = match (freshness.age, freshness.others) {
        (Some(_), Others::Heard) => RETRY_DELAY_OUTAGE,
        (None, _) | (Some(_), Others::Silent) => RETRY_DELAY_ELSEWHERE,
    };
    Refusal::new(Code::StaleConfiguration, &detail).retry_after(delay)
}

#[cfg(test)]
mod tests;
