//! Carries one call to a plain service through its steps. For a call that may run at most once, the
//! intent is durable before the call is sent, and the outcome is durable before the caller gets it.

use std::sync::Arc;

use journal::decision;
use journal::record::Outcome;
use policy::eject::Sample;
use policy::retry::Failure;
use policy::retry::Repeat;
use policy::retry::Verdict;
use ractor::ActorRef;
use settings::config;
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
use crate::dispatch::endpoint_state;
use crate::dispatch::runner;
use crate::dispatch::scheduler;
use crate::dispatch::scheduler::Slot;
use crate::dispatch::scheduler::Work;
use crate::dispatch::service;
use crate::dispatch::service::End;
use crate::owner::feed::Feed;
use crate::owner::feed::Sink;
use crate::owner::message;
use crate::owner::message::Message;
use crate::owner::pending::Name;
use crate::owner::pending::Pending;
use crate::owner::poison;
use crate::owner::poison::Subject;
use crate::owner::shard;
use crate::owner::shard::Owner;
use crate::owner::turn;
use crate::owner::turn::Result;
use crate::owner::work;

/// Expected run time of a service call in output tokens, the unit of run time in placement.
const EXPECTED_TOKENS: u64 = 8;

/// Accepts a call: starts it, joins it if it is already in progress, or replays its outcome.
///
/// # Errors
///
/// Returns a refusal, with what is known about whether the call ran.
pub fn accept(owner: &mut Owner, ask: &Ask, call: &Call, sink: &Sink) -> Result<()> {
    if !runs_once(&owner.core, call) {
        let work = work(&owner.core, ask, call)?;
        owner.check_open()?;
        let feed = Feed::default();
        feed.subscribe(sink.clone());
        let task = task(owner, ask, call, id::Digest(0), work, feed);
        owner.core.work.spawn(task.run_repeatable());
        return Ok(());
    }
    let Some(key) = &call.key else {
        return Err(Refusal::new(Code::KeyMissing, &call.operation));
    };
    accept_once(owner, ask, call, key, sink)
}

fn accept_once(
    owner: &mut Owner,
    ask: &Ask,
    call: &Call,
    key: &id::Key,
    sink: &Sink,
) -> Result<()> {
    let digest = content_digest(call);
    let name = Name::Call(ask.program.clone(), key.clone());
    if let Some(pending) = owner.pending.find(&name)
        && pending.caller == ask.caller
    {
        if pending.digest != digest {
            return Err(Refusal::new(Code::KeyConflict, key.as_str()));
        }
        pending.feed.subscribe(sink.clone());
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
                let _receiver_gone = sink.send(Reply::Called { status, body });
                return Ok(());
            }
            // A call that runs on this VM is pending and was joined above.
            decision::Call::Join(_) => return Err(Refusal::new(Code::KeyConflict, key.as_str())),
        }
    }
    // The configuration is checked after the journal. If it no longer allows the call, an earlier
    // request may still have run it; a refusal as not run could make the caller run it twice.
    let work = work(&owner.core, ask, call)?;
    owner.check_open()?;
    let feed = Feed::default();
    feed.subscribe(sink.clone());
    owner.pending.insert(Pending {
        name,
        caller: ask.caller.clone(),
        turn: 0,
        digest,
        feed: feed.clone(),
        cancel: CancellationToken::new(),
    });
    let task = task(owner, ask, call, digest, work, feed);
    owner.core.work.spawn(task.run_once(key.clone()));
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

/// A call in progress.
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
    async fn run_once(self, key: id::Key) {
        let outcome = self.attempt_once(&key).await;
        self.finish(outcome);
        let name = Name::Call(self.work.program.clone(), key);
        let _actor_gone = self.shard.cast(Message::Finished(name));
    }

    /// Runs a call that may be repeated.
    async fn run_repeatable(self) {
        let outcome = self.attempt_repeatable().await;
        self.finish(outcome);
    }

    fn finish(&self, outcome: Result<Reply>) {
        match outcome {
            Ok(reply) => self.feed.finish(reply),
            Err(refusal) => self.feed.refuse(refusal),
        }
    }

    async fn attempt_once(&self, key: &id::Key) -> Result<Reply> {
        let mut work = self.work.clone();
        loop {
            self.check_poison(Ran::No)?;
            let mut slot = scheduler::acquire(&self.core, work.clone()).await?;
            let attempt = id::Attempt(rand::random());
            self.intend(key, attempt).await?;
            let end = self.send(&mut slot, attempt).await;
            let endpoint = slot.endpoint.name.clone();
            drop(slot);
            match end {
                End::Answered { status, body } => {
                    let outcome = Outcome::Answered {
                        status,
                        body: body.clone(),
                    };
                    self.resolve(key, attempt, outcome).await?;
                    return Ok(Reply::Called { status, body });
                }
                End::Broken { detail } | End::Unknown { detail } => {
                    self.resolve(key, attempt, Outcome::Unknown).await?;
                    return Err(Refusal::new(Code::OutcomeUnknown, &detail).ran(Ran::Unknown));
                }
                End::NotRun { detail } => {
                    self.resolve(key, attempt, Outcome::NotRun).await?;
                    self.wait_for_retry(&mut work, &endpoint, &detail, Repeat::Once, Ran::No)
                        .await?;
                }
            }
        }
    }

    async fn attempt_repeatable(&self) -> Result<Reply> {
        let mut work = self.work.clone();
        let mut ran = Ran::No;
        loop {
            self.check_poison(ran)?;
            let placed = scheduler::acquire(&self.core, work.clone()).await;
            let mut slot = placed.map_err(|refusal| refusal.ran(ran))?;
            let attempt = id::Attempt(rand::random());
            let end = self.send(&mut slot, attempt).await;
            let endpoint = slot.endpoint.name.clone();
            drop(slot);
            let detail = match end {
                End::Answered { status, body } => return Ok(Reply::Called { status, body }),
                End::NotRun { detail } => detail,
                End::Broken { detail } | End::Unknown { detail } => {
                    ran = Ran::Unknown;
                    detail
                }
            };
            self.wait_for_retry(&mut work, &endpoint, &detail, Repeat::Safe, ran)
                .await?;
        }
    }

    /// Makes the intent durable. If that fails because the platform is down, withdraws the intent
    /// by resolving it as not run, because its call is never sent.
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
            let _actor_gone = self.shard.cast(message);
        }
        intended.map_err(|refusal| match refusal.code {
            // This VM didn't send the call, but the next owner may have run it for another request.
            Code::OwnerLost => refusal.ran(Ran::Unknown),
            _ => refusal,
        })
    }

    /// Makes the outcome durable. If that fails, the next owner sees only the intent.
    async fn resolve(&self, key: &id::Key, attempt: id::Attempt, outcome: Outcome) -> Result<()> {
        let program = self.work.program.clone();
        let message = |sender| Message::Resolve(program, key.clone(), attempt, outcome, sender);
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
            timeout: self.core.settings.limits.silence,
        };
        let end = service::run(&self.core.endpoint_client, job).await;
        match &end {
            End::Answered { .. } => {
                let elapsed = self.core.clock.now().since(slot.assigned_at());
                slot.set_sample(Sample::Done {
                    pace: turn::pace(elapsed, EXPECTED_TOKENS),
                });
                self.core.scheduler.record_success();
                let endpoint = &slot.endpoint.name;
                poison::note_completed(&self.core, subject(&self.call), endpoint);
            }
            End::NotRun { .. } => {
                let now = self.core.clock.now();
                self.core
                    .scheduler
                    .pause(&slot.endpoint.name, now, endpoint_state::DEFAULT_PAUSE);
            }
            End::Broken { .. } => {
                slot.set_sample(Sample::Failed);
                self.blame_if_crashed(&slot.endpoint).await;
            }
            End::Unknown { .. } => slot.set_sample(Sample::Failed),
        }
        end
    }

    /// Refuses the call if its content crashes endpoints.
    fn check_poison(&self, ran: Ran) -> Result<()> {
        if self.core.poison.refuses(subject(&self.call)) {
            return Err(Refusal::new(Code::Poisoned, "").ran(ran));
        }
        Ok(())
    }

    async fn blame_if_crashed(&self, endpoint: &config::Endpoint) {
        if runner::is_alive(&self.core.endpoint_client, &endpoint.address).await {
            return;
        }
        let is_refused = poison::note_crash(&self.core, subject(&self.call), &endpoint.name);
        log::warn!(
            "{} program={} endpoint={} refused={is_refused}",
            Event::CallBlamed,
            self.work.program,
            endpoint.name
        );
    }

    /// Waits until the call may be tried again. Fails with a refusal if it may not be.
    async fn wait_for_retry(
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
            class: endpoint_state::policy_class(work.class),
            repeat,
            ran,
            tries: work.tries,
        };
        let Verdict::Again { after } = self
            .core
            .scheduler
            .decide_retry(&failure, self.core.clock.now())
        else {
            return Err(Refusal::new(Code::EndpointFailed, detail).ran(ran));
        };
        let text = format!("tries={} reason={detail:?}", work.tries);
        let now = self.core.clock.now();
        self.core
            .trace
            .record(now, Event::CallRetried, &work.program, 0, &text);
        tokio::time::sleep(after.as_duration()).await;
        Ok(())
    }
}

fn subject(call: &Call) -> Subject {
    Subject {
        content: content_digest(call),
        body: None,
    }
}

fn content_digest(call: &Call) -> id::Digest {
    let mut content = format!("{}/{}\n", call.service, call.operation).into_bytes();
    content.extend_from_slice(&call.body);
    id::Digest::of(&content)
}

fn work(core: &Core, ask: &Ask, call: &Call) -> Result<Work> {
    let service = call.service.to_string();
    work::new(core, ask, Kind::Service, &service, 0, EXPECTED_TOKENS)
}
