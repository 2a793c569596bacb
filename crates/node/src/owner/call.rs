//! Carries one call of a plain service through its steps. A call that may run at most once has a
//! durable intent before it is sent and a durable outcome before it is answered.

use std::sync::Arc;

use journal::decision;
use journal::record::Outcome;
use policy::eject::Sample;
use policy::retry::Failure;
use policy::retry::Repeat;
use policy::retry::Verdict;
use ractor::ActorRef;
use settings::config::Budget;
use settings::config::Kind;
use tokio_util::sync::CancellationToken;
use wire::ask::Ask;
use wire::ask::Call;
use wire::ask::Reply;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;
use wire::event::Event;
use wire::id;

use crate::core::Core;
use crate::dispatch::desk;
use crate::dispatch::desk::Slot;
use crate::dispatch::desk::Work;
use crate::dispatch::service;
use crate::dispatch::service::End;
use crate::dispatch::standing;
use crate::owner::feed::Feed;
use crate::owner::feed::Sink;
use crate::owner::message;
use crate::owner::message::Message;
use crate::owner::pending::Name;
use crate::owner::pending::Pending;
use crate::owner::shard;
use crate::owner::shard::Owner;
use crate::owner::turn;
use crate::owner::turn::Result;
use crate::owner::work;

/// Tokens' worth of time that a service's call is expected to take in placement.
const EXPECTED: u64 = 8;

/// Takes a call in.
///
/// # Errors
///
/// Refuses it, with what is known of whether it ran.
pub fn ask(owner: &mut Owner, ask: &Ask, call: &Call, sink: &Sink) -> Result<()> {
    if !runs_once(&owner.core, call) {
        let work = work(&owner.core, ask, call)?;
        owner.check_open()?;
        let feed = Feed::default();
        feed.join(sink.clone());
        let task = task(owner, ask, call, id::Digest(0), work, feed);
        owner.core.work.spawn(task.repeatable());
        return Ok(());
    }
    let Some(key) = &call.key else {
        return Err(Refusal::new(Code::KeyMissing, &call.operation));
    };
    once(owner, ask, call, key, sink)
}

fn once(owner: &mut Owner, ask: &Ask, call: &Call, key: &id::Key, sink: &Sink) -> Result<()> {
    let digest = digest(call);
    let name = Name::Call(ask.program.clone(), key.clone());
    if let Some(pending) = owner.pending.find(&name)
        && pending.caller == ask.caller
    {
        if pending.digest != digest {
            return Err(Refusal::new(Code::KeyConflict, key.as_str()));
        }
        pending.feed.join(sink.clone());
        return Ok(());
    }
    if owner.state.program(&ask.program).is_some() {
        let intend = decision::Intend {
            program: &ask.program,
            caller: &ask.caller,
            key,
            digest,
            attempt: id::Attempt(rand::random()),
            now: owner.now(),
            status: owner.status(),
        };
        match decision::intend(&owner.state, &intend)? {
            decision::Call::Start(_) => {}
            decision::Call::Replay { status, body } => {
                let body = body.clone();
                let _gone = sink.send(Reply::Called { status, body });
                return Ok(());
            }
            // A call that runs here is pending and was joined above.
            decision::Call::Join(_) => return Err(Refusal::new(Code::KeyConflict, key.as_str())),
        }
    }
    // Only after the journal: a configuration that allows the call no more tells nothing of an earlier
    // asking, and refused as not run, its caller might have it run twice.
    let work = work(&owner.core, ask, call)?;
    owner.check_open()?;
    let feed = Feed::default();
    feed.join(sink.clone());
    owner.pending.insert(Pending {
        name,
        caller: ask.caller.clone(),
        turn: 0,
        digest,
        feed: feed.clone(),
        cancel: CancellationToken::new(),
    });
    let task = task(owner, ask, call, digest, work, feed);
    owner.core.work.spawn(task.once(key.clone()));
    Ok(())
}

fn task(owner: &Owner, ask: &Ask, call: &Call, digest: id::Digest, work: Work, feed: Feed) -> Task {
    Task {
        core: owner.core.clone(),
        shard: owner.myself.clone(),
        caller: ask.caller.clone(),
        budget: shard::budget(&owner.core, ask),
        call: call.clone(),
        digest,
        work,
        feed,
    }
}

fn runs_once(core: &Core, call: &Call) -> bool {
    let view = core.view();
    view.config
        .runs_at_most_once(call.service.as_str(), &call.operation)
}

/// One call under way.
struct Task {
    core: Arc<Core>,
    shard: ActorRef<Message>,
    caller: id::Caller,
    budget: Budget,
    call: Call,
    digest: id::Digest,
    work: Work,
    feed: Feed,
}

impl Task {
    /// Runs a call that may run at most once.
    async fn once(self, key: id::Key) {
        let outcome = self.drive_once(&key).await;
        self.finish(outcome);
        let name = Name::Call(self.work.program.clone(), key);
        let _gone = self.shard.cast(Message::Over(name));
    }

    /// Runs a call that may be repeated.
    async fn repeatable(self) {
        let outcome = self.drive_repeatable().await;
        self.finish(outcome);
    }

    fn finish(&self, outcome: Result<Reply>) {
        match outcome {
            Ok(reply) => self.feed.finish(reply),
            Err(refusal) => self.feed.refuse(refusal),
        }
    }

    async fn drive_once(&self, key: &id::Key) -> Result<Reply> {
        let mut work = self.work.clone();
        loop {
            let mut slot = desk::place(&self.core, work.clone()).await?;
            let attempt = id::Attempt(rand::random());
            self.intend(key, attempt).await?;
            let end = self.send(&mut slot, attempt).await;
            let endpoint = slot.endpoint.name.clone();
            drop(slot);
            match end {
                End::Answered { status, body } => {
                    let effect = Outcome::Answered {
                        status,
                        body: body.clone(),
                    };
                    self.resolve(key, attempt, effect).await?;
                    return Ok(Reply::Called { status, body });
                }
                End::Unknown { detail } => {
                    self.resolve(key, attempt, Outcome::Unknown).await?;
                    return Err(Refusal::new(Code::OutcomeUnknown, &detail).ran(Ran::Unknown));
                }
                End::NotRun { detail } => {
                    self.resolve(key, attempt, Outcome::NotRun).await?;
                    self.again(&mut work, &endpoint, &detail, Repeat::Once, Ran::No)
                        .await?;
                }
            }
        }
    }

    async fn drive_repeatable(&self) -> Result<Reply> {
        let mut work = self.work.clone();
        let mut ran = Ran::No;
        loop {
            let placed = desk::place(&self.core, work.clone()).await;
            let mut slot = placed.map_err(|refusal| refusal.ran(ran))?;
            let attempt = id::Attempt(rand::random());
            let end = self.send(&mut slot, attempt).await;
            let endpoint = slot.endpoint.name.clone();
            drop(slot);
            let detail = match end {
                End::Answered { status, body } => return Ok(Reply::Called { status, body }),
                End::NotRun { detail } => detail,
                End::Unknown { detail } => {
                    ran = Ran::Unknown;
                    detail
                }
            };
            self.again(&mut work, &endpoint, &detail, Repeat::Safe, ran)
                .await?;
        }
    }

    /// Makes the intent durable. One that is withheld is withdrawn, as it is never sent.
    async fn intend(&self, key: &id::Key, attempt: id::Attempt) -> Result<()> {
        let intend = message::Intend {
            program: self.work.program.clone(),
            caller: self.caller.clone(),
            budget: self.budget,
            key: key.clone(),
            digest: self.digest,
            attempt,
        };
        let intended = turn::decide(&self.core, &self.shard, |sender| {
            Message::Intend(intend, sender)
        })
        .await;
        if intended
            .as_ref()
            .is_err_and(|refusal| refusal.code == Code::PlatformDown)
        {
            let (sender, _withdrawn) = tokio::sync::oneshot::channel();
            let program = self.work.program.clone();
            let key = key.clone();
            let message = Message::Resolve(program, key, attempt, Outcome::NotRun, sender);
            let _gone = self.shard.cast(message);
        }
        intended.map_err(|refusal| match refusal.code {
            // It wasn't sent from here; but the next owner may have run it on an earlier asking.
            Code::OwnerLost => refusal.ran(Ran::Unknown),
            _ => refusal,
        })
    }

    /// Makes the outcome durable. Where that fails, the next owner will only see the intent.
    async fn resolve(&self, key: &id::Key, attempt: id::Attempt, effect: Outcome) -> Result<()> {
        let program = self.work.program.clone();
        let message = |sender| Message::Resolve(program, key.clone(), attempt, effect, sender);
        let resolved = turn::decide(&self.core, &self.shard, message).await;
        resolved.map_err(|refusal| {
            Refusal::new(Code::OutcomeUnknown, &refusal.message).ran(Ran::Unknown)
        })
    }

    async fn send(&self, slot: &mut Slot, attempt: id::Attempt) -> End {
        let job = service::Job {
            address: &slot.endpoint.address,
            call: &self.call,
            attempt,
            silence: self.core.settings.limits.silence,
        };
        let end = service::run(&self.core.client, job).await;
        match &end {
            End::Answered { .. } => {
                let elapsed = self.core.clock.now().since(slot.began());
                slot.note(Sample::Done {
                    pace: turn::pace(elapsed, EXPECTED),
                });
                self.core.desk.succeed();
            }
            End::NotRun { .. } => {
                let now = self.core.clock.now();
                self.core
                    .desk
                    .pause(&slot.endpoint.name, now, standing::PAUSE);
            }
            End::Unknown { .. } => slot.note(Sample::Failed),
        }
        end
    }

    /// Waits for a further try, where there may be one.
    async fn again(
        &self,
        work: &mut Work,
        endpoint: &id::Endpoint,
        detail: &str,
        repeat: Repeat,
        ran: Ran,
    ) -> Result<()> {
        work.tries += 1;
        work.avoid.push(endpoint.clone());
        let failure = Failure {
            class: standing::class(work.class),
            repeat,
            ran,
            tries: work.tries,
        };
        let Verdict::Again { after } = self.core.desk.retry(&failure, self.core.clock.now()) else {
            return Err(Refusal::new(Code::EndpointFailed, detail).ran(ran));
        };
        let text = format!("tries={} reason={detail:?}", work.tries);
        let now = self.core.clock.now();
        self.core
            .trace
            .note(now, Event::CallRetried, &work.program, 0, &text);
        tokio::time::sleep(after.as_duration()).await;
        Ok(())
    }
}

fn digest(call: &Call) -> id::Digest {
    let mut content = format!("{}/{}\n", call.service, call.operation).into_bytes();
    content.extend_from_slice(&call.body);
    id::Digest::of(&content)
}

fn work(core: &Core, ask: &Ask, call: &Call) -> Result<Work> {
    let service = call.service.to_string();
    work::new(core, ask, Kind::Service, &service, 0, EXPECTED)
}
