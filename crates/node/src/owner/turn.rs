//! Carries one turn through its steps: waits for a slot, makes the start durable, runs the turn at
//! the endpoint, makes the commit durable, and sends the last reply. The turn goes on even if no
//! caller listens.

use std::sync::Arc;

use journal::log::Fault;
use journal::program::Program;
use policy::eject::Sample;
use policy::retry::Failure;
use policy::retry::Repeat;
use policy::retry::Verdict;
use ractor::ActorRef;
use settings::config::Budget;
use settings::config::Kind;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use wire::ask::Ask;
use wire::ask::Chat;
use wire::ask::Reply;
use wire::chat;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;
use wire::event::Event;
use wire::id;

use crate::core::Core;
use crate::dispatch::collect::Partial;
use crate::dispatch::endpoint_state;
use crate::dispatch::endpoint_state::Content;
use crate::dispatch::runner;
use crate::dispatch::runner::End;
use crate::dispatch::scheduler;
use crate::dispatch::scheduler::Slot;
use crate::dispatch::scheduler::Work;
use crate::owner::feed::Feed;
use crate::owner::message;
use crate::owner::message::Answer;
use crate::owner::message::Message;
use crate::owner::pending::Name;
use crate::owner::work;

/// Bytes of English text per token with common tokenizers.
const BYTES_PER_TOKEN: u64 = 4;
/// Tokens that an answer is expected to have if it has no limit or a higher one.
const MAX_EXPECTED_TOKENS: u64 = 256;

/// The result of a step.
pub type Result<T> = std::result::Result<T, Refusal>;

/// A turn in progress.
pub struct Task {
    /// The node.
    pub core: Arc<Core>,
    /// The shard's actor.
    pub shard: ActorRef<Message>,
    /// The caller that asked for the turn.
    pub caller: id::Caller,
    /// The program's budget, used if the program has to be created.
    pub budget: Budget,
    /// The new messages and the options.
    pub request: chat::Request,
    /// The most tokens that the answer may have.
    pub max_tokens: u64,
    /// The turn's number.
    pub turn: u32,
    /// The digest of the new messages and the options.
    pub digest: id::Digest,
    /// The scheduler's input.
    pub work: Work,
    /// Sends the replies to the callers.
    pub feed: Feed,
    /// Cancelled when the program ends or the shard is lost.
    pub cancel: CancellationToken,
}

/// An attempt whose start is durable, so that it may be sent.
struct Attempt {
    id: id::Attempt,
    limit: u64,
    slot: Slot,
}

/// What the end of an incomplete attempt means for the turn.
struct Failed {
    /// The refusal that the caller gets if there is no further attempt.
    refusal: Refusal,
    /// Tokens generated; `None` if unknown.
    used: Option<u64>,
    /// Whether the endpoint may have crashed.
    crashed: bool,
    /// Whether every other endpoint would refuse the request too.
    permanent: bool,
}

impl Task {
    /// Runs the turn and sends its last reply.
    pub async fn run(self) {
        let mut ran = Ran::No;
        let outcome = tokio::select! {
            outcome = self.run_attempts(&mut ran) => outcome,
            () = self.cancel.cancelled() => Err(Refusal::new(Code::ProgramEnded, "")),
        };
        match outcome {
            Ok(last) => self.feed.finish(last),
            // The refusal only covers the last step; an attempt before it may have run.
            Err(refusal) if refusal.ran == Ran::No => self.feed.refuse(refusal.ran(ran)),
            Err(refusal) => self.feed.refuse(refusal),
        }
        let name = Name::Turn(self.work.program.clone());
        let _actor_gone = self.shard.cast(Message::Finished(name));
    }

    async fn run_attempts(&self, ran: &mut Ran) -> Result<Reply> {
        let mut work = self.work.clone();
        let mut partial = Partial::default();
        let (mut attempt, prompt) = self.begin(&work).await?;
        loop {
            let ran_before = std::mem::replace(ran, Ran::Unknown);
            let end = self.send(&attempt, &prompt, &mut partial).await;
            let failed = match end {
                End::Complete { finish, usage } => {
                    return self.commit(attempt, &partial, finish, usage).await;
                }
                other => classify(other),
            };
            if failed.used == Some(0) {
                *ran = ran_before;
            }
            self.record_failure(&mut attempt, &failed);
            if partial.pieces() >= self.max_tokens {
                // All requested tokens have arrived; only the end marker is missing.
                let usage = chat::Usage::default();
                return self
                    .commit(attempt, &partial, "length".to_owned(), usage)
                    .await;
            }
            work.tries += 1;
            attempt = self.retry(&mut work, attempt, failed, &partial).await?;
        }
    }

    /// Waits for a slot and makes the turn's start durable. Returns the attempt and its prompt.
    async fn begin(&self, work: &Work) -> Result<(Attempt, Vec<chat::Message>)> {
        let slot = scheduler::acquire(&self.core, work.clone()).await?;
        let id = id::Attempt(rand::random());
        let begin = message::Begin {
            program: work.program.clone(),
            caller: self.caller.clone(),
            budget: self.budget,
            turn: self.turn,
            messages: self.request.messages.clone(),
            digest: self.digest,
            max_tokens: self.max_tokens,
            attempt: id,
            endpoint: slot.endpoint.name.clone(),
        };
        let started = decide(&self.core, &self.shard, |answer| {
            Message::Begin(begin, answer)
        })
        .await?;
        let mut prompt = started.history;
        prompt.extend(self.request.messages.iter().cloned());
        let limit = started.start.reserved;
        Ok((Attempt { id, limit, slot }, prompt))
    }

    async fn send(
        &self,
        attempt: &Attempt,
        prompt: &[chat::Message],
        partial: &mut Partial,
    ) -> End {
        let job = runner::Job {
            address: &attempt.slot.endpoint.address,
            request: &self.request,
            prompt,
            program: &self.work.program,
            attempt: attempt.id,
            class: self.work.class,
            limit: attempt.limit,
            silence: self.core.settings.limits.silence,
        };
        let feed = &self.feed;
        let client = &self.core.endpoint_client;
        runner::run(client, job, partial, |piece| feed.push(piece)).await
    }

    async fn commit(
        &self,
        mut attempt: Attempt,
        partial: &Partial,
        finish: String,
        usage: chat::Usage,
    ) -> Result<Reply> {
        let elapsed = self.core.clock.now().since(attempt.slot.assigned_at());
        let used = usage.completion_tokens.max(1);
        attempt.slot.set_sample(Sample::Done {
            pace: pace(elapsed, used),
        });
        self.core.scheduler.record_success();
        let endpoint = attempt.slot.endpoint.name.clone();
        // Frees the slot for other calls while the commit becomes durable.
        drop(attempt.slot);
        let answer = chat::Answer {
            message: partial.message(),
            finish,
            usage: chat::Usage {
                completion_tokens: partial.pieces().max(usage.completion_tokens),
                ..usage
            },
        };
        let commit = message::Commit {
            program: self.work.program.clone(),
            attempt: attempt.id,
            messages: self.request.messages.clone(),
            answer: answer.clone(),
            used,
            endpoint,
        };
        let turn = decide(&self.core, &self.shard, |sender| {
            Message::Commit(commit, sender)
        })
        .await?;
        Ok(Reply::Done { turn, answer })
    }

    /// Tells the scheduler what the failure says about the endpoint.
    fn record_failure(&self, attempt: &mut Attempt, failed: &Failed) {
        let endpoint = &attempt.slot.endpoint.name;
        let now = self.core.clock.now();
        let pause = failed
            .refusal
            .retry_after
            .unwrap_or(endpoint_state::DEFAULT_PAUSE);
        if failed.crashed || failed.used == Some(0) {
            self.core.scheduler.pause(endpoint, now, pause);
        }
        if failed.refusal.code == Code::EndpointFailed {
            attempt.slot.set_sample(Sample::Failed);
        }
    }

    /// Decides whether to make a further attempt. If so, waits for a slot and makes the start of
    /// the attempt durable.
    async fn retry(
        &self,
        work: &mut Work,
        ended: Attempt,
        failed: Failed,
        partial: &Partial,
    ) -> Result<Attempt> {
        let endpoint = ended.slot.endpoint.name.clone();
        let address = ended.slot.endpoint.address.clone();
        let ended_id = ended.id;
        drop(ended);
        let crashed =
            failed.crashed && !runner::is_alive(&self.core.endpoint_client, &address).await;
        if crashed && self.blame(&endpoint).await? {
            self.stop(ended_id, failed.used).await?;
            return Err(Refusal::new(Code::Poisoned, "").ran(Ran::Yes));
        }
        work.avoid.push(endpoint);
        if crashed {
            work.content = Content::Suspect;
        }
        let after = match self.verdict(work, &failed, partial) {
            Verdict::Again { after } => after,
            Verdict::Final | Verdict::Spent => {
                self.stop(ended_id, failed.used).await?;
                return Err(failed.refusal);
            }
        };
        let detail = format!("tries={} reason={:?}", work.tries, failed.refusal.message);
        let now = self.core.clock.now();
        self.core
            .trace
            .record(now, Event::CallRetried, &work.program, self.turn, &detail);
        tokio::time::sleep(after.as_duration()).await;
        let slot = match scheduler::acquire(&self.core, work.clone()).await {
            Ok(slot) => slot,
            Err(refusal) => {
                self.stop(ended_id, failed.used).await?;
                return Err(refusal);
            }
        };
        self.restart(ended_id, failed.used, slot, partial).await
    }

    async fn restart(
        &self,
        ended: id::Attempt,
        used: Option<u64>,
        slot: Slot,
        partial: &Partial,
    ) -> Result<Attempt> {
        let id = id::Attempt(rand::random());
        let restart = message::Restart {
            program: self.work.program.clone(),
            ended,
            used,
            max_tokens: self.max_tokens.saturating_sub(partial.pieces()).max(1),
            attempt: id,
            endpoint: slot.endpoint.name.clone(),
        };
        let started = decide(&self.core, &self.shard, |answer| {
            Message::Restart(restart, answer)
        })
        .await;
        match started {
            Ok(start) => Ok(Attempt {
                id,
                limit: start.reserved,
                slot,
            }),
            Err(refusal) => {
                drop(slot);
                self.stop(ended, used).await?;
                Err(refusal)
            }
        }
    }

    fn verdict(&self, work: &Work, failed: &Failed, partial: &Partial) -> Verdict {
        if failed.permanent || !partial.can_resume() {
            return Verdict::Final;
        }
        let failure = Failure {
            class: endpoint_state::policy_class(work.class),
            repeat: Repeat::Safe,
            ran: failed.refusal.ran,
            tries: work.tries,
        };
        self.core
            .scheduler
            .decide_retry(&failure, self.core.clock.now())
    }

    async fn blame(&self, endpoint: &id::Endpoint) -> Result<bool> {
        let program = self.work.program.clone();
        let blame = |answer| Message::Blame(program, self.digest, endpoint.clone(), answer);
        decide(&self.core, &self.shard, blame).await
    }

    async fn stop(&self, attempt: id::Attempt, used: Option<u64>) -> Result<()> {
        let program = self.work.program.clone();
        decide(&self.core, &self.shard, |answer| {
            Message::Stop(program, attempt, used, answer)
        })
        .await
    }
}

/// Classifies the end of an attempt that didn't complete.
fn classify(end: End) -> Failed {
    let (code, detail, used, crashed) = match end {
        End::NotSent(detail) => (Code::EndpointFailed, detail, Some(0), false),
        End::Refused {
            status,
            detail,
            retry_after,
            permanent,
        } => {
            let detail = format!("status {status}: {detail}");
            let mut refusal = Refusal::new(Code::EndpointRefused, &detail);
            refusal.retry_after = retry_after;
            return Failed {
                refusal,
                used: Some(0),
                crashed: false,
                permanent,
            };
        }
        End::Broken(detail) => (Code::EndpointFailed, detail, None, true),
        End::Stalled(detail) => (Code::EndpointFailed, detail, None, false),
        End::Complete { .. } => (Code::Internal, String::new(), None, false),
    };
    let ran = if used == Some(0) {
        Ran::No
    } else {
        Ran::Unknown
    };
    Failed {
        refusal: Refusal::new(code, &detail).ran(ran),
        used,
        crashed,
        permanent: false,
    }
}

/// Asks the shard's actor for a decision and waits until its records are durable.
///
/// # Errors
///
/// Returns the refusal of the decision, or the reason why its records aren't durable.
pub async fn decide<T>(
    core: &Core,
    shard: &ActorRef<Message>,
    message: impl FnOnce(Answer<T>) -> Message,
) -> Result<T> {
    let (sender, receiver) = oneshot::channel();
    let owner_lost = || Refusal::new(Code::OwnerLost, "");
    shard.cast(message(sender)).map_err(|_| owner_lost())?;
    let decided = receiver.await.map_err(|_| owner_lost())??;
    if let Some(durable) = decided.durable {
        let appended_at = core.clock.now();
        durable.await.map_err(|fault| append_refusal(&fault))?;
        core.metrics
            .record_append(core.clock.now().since(appended_at));
    }
    Ok(decided.value)
}

/// Converts a failed append to the refusal that the caller gets.
#[must_use]
pub fn append_refusal(fault: &Fault) -> Refusal {
    let refusal = |code| Refusal::new(code, &fault.to_string());
    match fault {
        Fault::Lost { ran } => refusal(Code::OwnerLost).ran(*ran),
        Fault::Withheld { ran, retry_after } => refusal(Code::PlatformDown)
            .ran(*ran)
            .retry_after(*retry_after),
        Fault::TooLarge => refusal(Code::Internal),
    }
}

/// Builds the scheduler's input for a turn, without its program's history.
///
/// # Errors
///
/// Refuses an unknown model, and work that no selector allows.
pub fn work(core: &Core, ask: &Ask, chat: &Chat) -> Result<Work> {
    let limit = chat.request.max_tokens.unwrap_or(MAX_EXPECTED_TOKENS);
    let prompt = estimate_tokens(chat.request.messages.iter());
    let output = limit.min(MAX_EXPECTED_TOKENS);
    work::new(core, ask, Kind::Runner, &chat.request.model, prompt, output)
}

/// Adds the program's history to the scheduler's input: the tokens of the history, the tokens
/// generated so far, and the endpoints that hold cache of the program.
pub fn add_history(work: &mut Work, program: &Program, last_endpoint: Option<&id::Endpoint>) {
    let history = estimate_tokens(program.messages());
    work.prompt += history;
    work.spent = program.spent;
    work.held = match last_endpoint {
        Some(last_endpoint) => vec![(last_endpoint.clone(), history)],
        None => program
            .holders
            .iter()
            .map(|e| (e.clone(), history))
            .collect(),
    };
}

/// Estimates the number of tokens in the messages.
fn estimate_tokens<'a>(messages: impl Iterator<Item = &'a chat::Message>) -> u64 {
    let bytes = |message: &chat::Message| match &message.content {
        serde_json::Value::String(text) => text.len() as u64,
        other => other.to_string().len() as u64,
    };
    messages.map(bytes).sum::<u64>() / BYTES_PER_TOKEN
}

/// Returns the milliseconds per token of a call.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "both are far below 2^52")]
pub fn pace(elapsed: Millis, tokens: u64) -> f64 {
    elapsed.as_u64() as f64 / tokens as f64
}
