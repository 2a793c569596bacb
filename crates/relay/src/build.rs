//! Keeps a stream at the build (version of a runner's software) that began it.
//!
//! What two builds write doesn't fit together, and runners don't check it. A caller may take a stream up
//! at any VM, also after the one that began it has ended, so the build is recorded by the VMs with a disk
//! before the first event is passed on. A runner may start again with another build before its new entry is
//! read, so a resumable stream is sent only to the process that wrote the entry, if it tells. A stream whose
//! build can't be found out is refused, not guessed.
//!
//! The record is a reservation of no tokens, whose key is computed from the attempt and the build: it is
//! copied, restored and dropped like any other, and goes with the turn's own reservation. Whoever takes
//! the stream up computes the keys of the builds that it knows and looks for one that is there. A
//! settled one has been withdrawn.

use adapter::config::Kind;
use replica::ledger::Entry;
use replica::record::Key;
use replica::record::Record;
use replica::record::Reservation;
use replica::record::Settlement;
use tokio::time::timeout_at;
use wire::code::Code;
use wire::code::Refusal;

use crate::account;
use crate::account::Account;
use crate::fleet::Software;
use crate::job::Job;
use crate::refuse;

/// The result of a step that may refuse the request.
type Result<T> = std::result::Result<T, Refusal>;

/// Which builds may run a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pin {
    /// Any: the stream can't be resumed, by its route or because it begins while no runner's build is
    /// known.
    Any,
    /// One, as long as the caller has no event; another one has to be recorded first.
    Movable(String),
    /// One for good.
    Fixed(String),
}

impl Pin {
    /// Returns which software may run the stream.
    #[must_use]
    pub fn software(&self) -> Software<'_> {
        match self {
            Self::Any => Software::Any,
            Self::Movable(build) | Self::Fixed(build) => Software::Build(build),
        }
    }

    /// Records that the caller is about to get events.
    pub fn fix(&mut self) {
        if let Self::Movable(build) = self {
            *self = Self::Fixed(std::mem::take(build));
        }
    }
}

/// Decides which builds may run a stream that begins or that its caller takes up.
///
/// # Errors
///
/// Refuses a stream that begins if no runner can take it, and one that is taken up unless the build
/// that began it is known and has a runner.
pub async fn pin(job: &Job, account: Option<Account>) -> Result<Pin> {
    // Another VM may have begun the stream under a newer configuration, which lets streams of the route be
    // resumed.
    if job.call.last_event.is_some() {
        return begun_by(job).await.map(Pin::Fixed);
    }
    if job.route.kind != Kind::Stream || !job.route.resumable {
        return Ok(Pin::Any);
    }
    let Some(runner) = job.choose(&[], Software::Known) else {
        let other = job.choose(&[], Software::Any);
        return other.map(|_| Pin::Any).ok_or(refuse::no_runner(0));
    };
    if account.is_none() {
        record_beside(job, &runner.build);
    }
    Ok(Pin::Movable(runner.build))
}

/// Checks that a call doesn't take a stream up, as it may if the route's requests are streams in a newer
/// configuration.
///
/// # Errors
///
/// Refuses a call that names the attempt and the event after which a stream is to go on.
pub fn check_call(job: &Job) -> Result<()> {
    match (&job.call.resumes, job.call.last_event) {
        (Some(attempt), Some(_)) => {
            let why = format!("the route has calls, and the request takes {attempt} up");
            Err(unavailable(&why))
        }
        (Some(_), None) | (None, _) => Ok(()),
    }
}

/// Records the build of a stream without a budget beside its run. If that fails, the stream can't be
/// taken up.
fn record_beside(job: &Job, build: &str) {
    let record = Record::Reserve(reservation(job, &job.call.id, build));
    let (node, owner) = (job.node.clone(), owner(job, &job.call.id));
    tokio::spawn(async move {
        if let Err(fault) = node.replicas.apply(owner, vec![record]).await {
            log::debug!("the build of a stream isn't recorded: {fault}");
        }
    });
}

/// Returns the reservation that records the build of a stream that begins, to go with its tokens.
#[must_use]
pub fn reservation_of(job: &Job, pin: &Pin) -> Option<Reservation> {
    match pin {
        Pin::Movable(build) => Some(reservation(job, &job.call.id, build)),
        Pin::Any | Pin::Fixed(_) => None,
    }
}

/// Moves a stream of which the caller has no event to a build that has a runner for it, and records that.
///
/// # Errors
///
/// Refuses the stream if it can't be moved; `possible_runs` counts the runners that may have run it.
pub async fn move_on(
    job: &Job,
    pin: &mut Pin,
    excluded: &[String],
    possible_runs: u32,
) -> Result<()> {
    let before = match pin {
        Pin::Movable(build) => build,
        Pin::Fixed(build) if possible_runs == 0 => {
            return Err(unavailable(&format!("no runner of {build}")));
        }
        Pin::Any | Pin::Fixed(_) => return Err(refuse::no_runner(possible_runs)),
    };
    let Some(runner) = job.choose(excluded, Software::Known) else {
        return Err(refuse::no_runner(possible_runs));
    };
    let attempt = &job.call.id;
    let withdrawn = reservation(job, attempt, before);
    let records = vec![
        Record::Settle(Settlement {
            program: withdrawn.program,
            turn: withdrawn.turn,
            used: 0,
        }),
        Record::Reserve(reservation(job, attempt, &runner.build)),
    ];
    let applied = job.node.replicas.apply(owner(job, attempt), records);
    match timeout_at(job.deadline, applied).await {
        Ok(Ok(())) => {
            *pin = Pin::Movable(runner.build);
            Ok(())
        }
        Ok(Err(_)) | Err(_) => Err(refuse::no_runner(possible_runs)),
    }
}

/// Returns the build that began the stream that a caller takes up.
async fn begun_by(job: &Job) -> Result<String> {
    let Some(attempt) = &job.call.resumes else {
        return Err(unavailable("the request names no attempt that began it"));
    };
    account::wait_for_members(job).await?;
    let read = job.node.replicas.entries(owner(job, attempt));
    let entries = account::answer_of(job, read).await?;
    let known = known_builds(job);
    let is_of_stream = |build: &&String| is_recorded(&entries, key(job, attempt, build));
    let mut recorded: Vec<&String> = known.iter().filter(is_of_stream).collect();
    match (recorded.pop(), recorded.is_empty()) {
        (Some(build), true) => Ok(build.clone()),
        (Some(_), false) => Err(unavailable(&format!("several builds began {attempt}"))),
        (None, _) => {
            let known = known.join(", ");
            Err(unavailable(&format!(
                "none of the known builds ({known}) began {attempt}"
            )))
        }
    }
}

fn is_recorded(entries: &[Entry], key: Key) -> bool {
    let found = entries.iter().find(|entry| entry.turn == key);
    found.is_some_and(|entry| entry.used.is_none())
}

/// Returns the builds of the service's runners, sorted.
fn known_builds(job: &Job) -> Vec<String> {
    let fleet = job.node.fleet();
    let runners = fleet.runners().iter();
    let of_service = runners.filter(|runner| runner.entry.service == job.service);
    let mut builds: Vec<String> = of_service
        .map(|runner| runner.entry.build.clone())
        .collect();
    builds.sort();
    builds.dedup();
    builds
}

fn reservation(job: &Job, attempt: &str, build: &str) -> Reservation {
    Reservation {
        program: owner(job, attempt),
        turn: key(job, attempt, build),
        most: 0,
    }
}

/// Returns the key under which the VMs with a disk keep a stream's build.
#[must_use]
pub fn owner(job: &Job, attempt: &str) -> Key {
    let program = job.call.program.as_deref();
    job.identity.key_of(program.unwrap_or(attempt))
}

fn key(job: &Job, attempt: &str, build: &str) -> Key {
    let service = &job.service;
    job.identity
        .key_of(&format!("{attempt}\n{service}\n{build}"))
}

fn unavailable(why: &str) -> Refusal {
    Refusal::new(Code::BuildUnavailable, why).retry_after(refuse::RETRY_DELAY)
}
