//! Reads a chain of turns from the members.
//!
//! The nearby member is asked first, and another one each time that none has begun to answer for a while.
//! Chains are long: only one answer is read at a time, and requests whose answer isn't needed any more
//! are broken off, so that a VM that is short of time doesn't read each chain as often as there are
//! members.

use std::sync::Arc;
use std::time::Duration;

use link::client::Client;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::call;
use crate::call::Recipient;
use crate::call::Unread;
use crate::client::Found;
use crate::inquiry::Inquiry;
use crate::inquiry::Word;
use crate::list;
use crate::list::List;
use crate::list::Member;
use crate::message::Answer;
use crate::message::Body;
use crate::record::Key;

/// How long to wait for an answer to begin before one more member is asked.
const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// Why a chain couldn't be read.
#[derive(Debug)]
pub enum Fault {
    /// A member uses a newer list: this one.
    Newer(List),
    /// The members don't yet hold everything that was acknowledged before their list, or the list
    /// doesn't name their disks yet.
    CatchingUp,
    /// Too few members answered.
    TooFew,
}

/// A member that was asked, and its answer if it has begun.
struct Asked {
    member: Member,
    reply: Option<call::Reply>,
}

/// Reads a chain from a group of members, those of `centre` first, if `may_read` allows an answer's bytes. Notes in
/// `inquiry` what each says.
///
/// # Errors
///
/// Fails if no member returns the chain and too few are certain that there is none.
pub async fn read(
    http: &Arc<Client>,
    list: &List,
    group: Vec<Member>,
    centre: &str,
    key: Key,
    inquiry: &mut Inquiry,
    may_read: &mut (impl FnMut(u64) -> bool + Send),
) -> Result<Found, Fault> {
    let majority = list::majority(group.len());
    let (nearby, others): (Vec<_>, Vec<_>) = group
        .into_iter()
        .partition(|member| member.centre == centre);
    inquiry.begin(list, nearby.iter().chain(&others));
    let mut rest = nearby.into_iter().chain(others);
    let bytes = call::encode(list.version, Body::Chain(key)).ok_or(Fault::TooFew)?;
    let mut asked = JoinSet::new();
    let mut absent = 0;
    let mut fault = Fault::TooFew;
    loop {
        let next = rest.next();
        let may_ask_more = next.is_some();
        if let Some(member) = next {
            inquiry.note(&member, Word::Awaited);
            let (http, bytes) = (http.clone(), bytes.clone());
            asked.spawn(async move {
                let reply = call::open(&http, Recipient::Disk(&member), bytes).await;
                Asked { member, reply }
            });
        }
        let begun = if may_ask_more {
            timeout(HEDGE_DELAY, asked.join_next()).await
        } else {
            Ok(asked.join_next().await)
        };
        let begun = match begun {
            Ok(None) => return Err(fault),
            Ok(Some(Ok(begun))) => begun,
            Ok(Some(Err(_))) | Err(_) => continue,
        };
        let Some(reply) = begun.reply else {
            inquiry.note(&begun.member, Word::Silent);
            continue;
        };
        let mut answer = reply.read_while(&mut *may_read).await;
        if answer == Ok(Answer::Older) {
            let again = call::reopen_with_list(http, &begun.member, list, bytes.clone());
            answer = match again.await {
                Some(reply) => reply.read_while(&mut *may_read).await,
                None => Err(Unread::Failed),
            };
        }
        inquiry.note(&begun.member, Word::of(answer.as_ref().ok()));
        match answer {
            Ok(Answer::Chain(chain)) if chain.turns.is_empty() => absent += 1,
            Ok(Answer::Chain(chain)) => return Ok(Found::Part(chain.turns, chain.next)),
            Ok(Answer::Newer(newer)) => return Err(Fault::Newer(newer)),
            Ok(Answer::NotReady | Answer::OtherDisk(_)) => fault = Fault::CatchingUp,
            Err(Unread::Stopped) => return Ok(Found::Unread),
            _ => {}
        }
        if absent >= majority {
            return Ok(Found::Absent);
        }
    }
}
