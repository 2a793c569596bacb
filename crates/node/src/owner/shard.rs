//! The actor of one shard, which alone decides on the shard's programs. The actor applies each
//! decision to its state and hands the records to the journal in one step. The effects of a
//! decision wait in the requests' own tasks until its records are durable.

use std::sync::Arc;

use journal::decision;
use journal::decision::Turn;
use journal::log::Append;
use journal::log::Log;
use journal::log::Status;
use journal::program::Program;
use journal::record::Record;
use journal::state::State;
use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use settings::config::Budget;
use settings::config::Kind;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use wire::ask::Ask;
use wire::ask::Body;
use wire::ask::Chat;
use wire::ask::Reply;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;
use wire::event::Event;
use wire::id;

use crate::core::Core;
use crate::dispatch::scheduler::Work;
use crate::owner::call;
use crate::owner::feed::Feed;
use crate::owner::feed::Sink;
use crate::owner::last_endpoint;
use crate::owner::maintenance;
use crate::owner::message;
use crate::owner::message::Answer;
use crate::owner::message::Decided;
use crate::owner::message::Message;
use crate::owner::pending;
use crate::owner::pending::Name;
use crate::owner::pending::Pending;
use crate::owner::turn;

/// Tokens reserved for a turn whose caller sets no limit: enough for a long answer. The unused part
/// is released when the turn commits.
const DEFAULT_RESERVATION: u64 = 4_096;
/// How long callers are told to wait before a retry during an outage of the platform, which is
/// checked once a second.
const OUTAGE_RETRY_DELAY: Millis = Millis::new(1_000);
/// How long callers are told to wait before a retry while their shard is handed over.
const HANDOVER_RETRY_DELAY: Millis = Millis::new(500);

/// The actor's message handler.
pub struct Shard;

/// The arguments of a new actor.
pub struct Arguments {
    /// The node.
    pub core: Arc<Core>,
    /// The shard.
    pub shard: id::Shard,
    /// Its state, rebuilt from the journal.
    pub state: State,
    /// Its journal.
    pub log: Log,
}

/// The state of an actor.
pub struct Owner {
    pub(super) core: Arc<Core>,
    pub(super) shard: id::Shard,
    pub(super) state: State,
    pub(super) log: Log,
    pub(super) myself: ActorRef<Message>,
    pub(super) pending: pending::List,
    pub(super) last_endpoints: last_endpoint::Map,
    /// Whether the shard refuses new work. Never reset, because work accepted between the report
    /// that the shard is drained and the actor's end would be lost.
    draining: bool,
    /// Notified once no request is pending.
    drain_waiters: Vec<oneshot::Sender<()>>,
}

impl Actor for Shard {
    type Msg = Message;
    type State = Owner;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments,
    ) -> Result<Owner, ActorProcessingErr> {
        Ok(Owner {
            core: arguments.core,
            shard: arguments.shard,
            state: arguments.state,
            log: arguments.log,
            myself,
            pending: pending::List::default(),
            last_endpoints: last_endpoint::Map::default(),
            draining: false,
            drain_waiters: Vec::new(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        owner: &mut Owner,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Ask(ask, sink) => owner.ask(&ask, &sink),
            Message::Begin(begin, answer) => reply(answer, owner.begin(&begin)),
            Message::Restart(restart, answer) => reply(answer, owner.restart(&restart)),
            Message::Commit(commit, answer) => reply(answer, owner.commit(commit)),
            Message::Stop(program, attempt, used, answer) => {
                let record = decision::stop(&owner.state, &program, attempt, used);
                reply(answer, Ok(owner.decide((), record)));
            }
            Message::Blame(program, digest, endpoint, answer) => {
                reply(answer, Ok(owner.blame(&program, digest, &endpoint)));
            }
            Message::Intend(intend, answer) => reply(answer, owner.intend(&intend)),
            Message::Resolve(program, key, attempt, outcome, answer) => {
                let record = decision::resolve(&owner.state, &program, &key, attempt, outcome);
                reply(answer, Ok(owner.decide((), record)));
            }
            Message::Finished(name) => owner.finish(&name),
            Message::Gone(programs, answer) => {
                let _asker_gone = answer.send(maintenance::gone(owner, programs));
            }
            Message::Sweep(endpoint, programs) => maintenance::sweep(owner, &endpoint, programs),
            Message::Released(program, endpoint) => {
                let record = decision::cache_released(&owner.state, &program, &endpoint);
                owner.apply(record.into_iter().collect());
            }
            Message::Tick => maintenance::tick(owner),
            Message::Drain(sender) => owner.drain(sender),
            Message::Close => myself.stop(None),
            Message::Lost => {
                owner.abandon();
                myself.stop(None);
            }
        }
        Ok(())
    }
}

/// Sends a decision to a task. Does nothing if the task is gone.
fn reply<T>(answer: Answer<T>, decided: Result<Decided<T>, Refusal>) {
    let _receiver_gone = answer.send(decided);
}

impl Owner {
    /// Applies records to the state and hands them to the journal.
    pub(super) fn apply(&mut self, records: Vec<Record>) -> Option<Append> {
        if records.is_empty() {
            return None;
        }
        for record in &records {
            self.state.apply(record);
        }
        Some(self.log.append(records))
    }

    pub(super) fn now(&self) -> Millis {
        self.core.clock.now()
    }

    pub(super) fn decide<T>(
        &mut self,
        value: T,
        records: impl IntoIterator<Item = Record>,
    ) -> Decided<T> {
        let durable = self.apply(records.into_iter().collect());
        Decided { value, durable }
    }

    fn ask(&mut self, ask: &Ask, sink: &Sink) {
        let refused = match &ask.body {
            Body::Chat(chat) => self.chat(ask, chat, sink),
            Body::Call(call) => call::accept(self, ask, call, sink),
            Body::Create => self
                .create(ask)
                .and_then(|durable| self.show(ask, sink, durable)),
            Body::Show => self.show(ask, sink, None),
            Body::Inspect => self.inspect(ask, sink),
            Body::End => self
                .end(ask)
                .and_then(|durable| self.show(ask, sink, durable)),
        };
        if let Err(refusal) = refused {
            let _receiver_gone = sink.send(Reply::Refused(refusal));
        }
    }

    /// Refuses new work while the shard is handed over or the VM stops, and in an outage in which
    /// none of its records could become durable: the work would wait for the platform, and its
    /// caller would get no explanation.
    pub(super) fn check_open(&self) -> Result<(), Refusal> {
        self.check_writable()?;
        if let Status::Outage { retry_after } = self.status()
            && self.log.has_no_holders()
        {
            let detail = "no other VM of the data centre can hold copies of the records";
            return Err(Refusal::new(Code::PlatformDown, detail).retry_after(retry_after));
        }
        Ok(())
    }

    /// Refuses changes of the shard's state while the shard is handed over or the VM stops: nothing
    /// would wait for their records, which the next owner may not read.
    fn check_writable(&self) -> Result<(), Refusal> {
        // A claim that completes after the VM began to stop opens a shard that nothing drains.
        if self.draining || self.core.stopping.is_cancelled() {
            return Err(Refusal::new(Code::ShuttingDown, "").retry_after(HANDOVER_RETRY_DELAY));
        }
        Ok(())
    }

    /// Returns the status of the log, or an outage if the VM knows that the platform doesn't
    /// answer. The log itself learns of an outage only from one of its own appends; if that append
    /// contained an intent, the call would have to be answered as unknown although it never runs.
    pub(super) fn status(&self) -> Status {
        match self.log.status() {
            Status::Open if !self.core.view().platform => Status::Outage {
                retry_after: OUTAGE_RETRY_DELAY,
            },
            status => status,
        }
    }

    fn chat(&mut self, ask: &Ask, chat: &Chat, sink: &Sink) -> Result<(), Refusal> {
        let digest = turn_digest(chat);
        let name = Name::Turn(ask.program.clone());
        if let Some(pending) = self.pending.find(&name)
            && pending.caller == ask.caller
            && chat.turn.is_none_or(|turn| turn == pending.turn)
        {
            if pending.digest != digest {
                return Err(Refusal::new(Code::TurnConflict, &pending.turn.to_string()));
            }
            pending.feed.subscribe(sink.clone());
            return Ok(());
        }
        let work = turn::work(&self.core, ask, chat)?;
        if self.state.program(&ask.program).is_none() && chat.turn == Some(1) {
            return self.chat_first(ask, chat, digest, work, sink);
        }
        let input = self.begin_input(ask, chat, digest);
        match decision::begin(&self.state, &input)? {
            Turn::Replay { turn, answer } => {
                let answer = answer.clone();
                let _receiver_gone = sink.send(Reply::Done { turn, answer });
                Ok(())
            }
            // A turn that runs on this VM is pending and was joined above.
            Turn::Join { turn, .. } => Err(Refusal::new(Code::TurnConflict, &turn.to_string())),
            Turn::Start(start) => {
                self.check_open()?;
                self.check_poison(ask, digest)?;
                self.start_turn(ask, chat, start.turn, digest, work, sink);
                Ok(())
            }
        }
    }

    /// Starts the first turn of a new program. The program is created in the same append as the
    /// turn's start.
    fn chat_first(
        &mut self,
        ask: &Ask,
        chat: &Chat,
        digest: id::Digest,
        work: Work,
        sink: &Sink,
    ) -> Result<(), Refusal> {
        self.check_open()?;
        self.check_poison(ask, digest)?;
        self.start_turn(ask, chat, 1, digest, work, sink);
        Ok(())
    }

    /// Refuses content that has crashed endpoints, under this shard or, as far as this VM knows,
    /// under another shard or VM.
    fn check_poison(&self, ask: &Ask, digest: id::Digest) -> Result<(), Refusal> {
        let subject = self.subject(&ask.program, digest);
        if self.state.is_poisoned(subject.content) || self.core.poison.refuses(subject) {
            return Err(Refusal::new(Code::Poisoned, ""));
        }
        Ok(())
    }

    fn begin_input<'a>(
        &self,
        ask: &'a Ask,
        chat: &'a Chat,
        digest: id::Digest,
    ) -> decision::Begin<'a> {
        decision::Begin {
            program: &ask.program,
            caller: &ask.caller,
            turn: chat.turn,
            messages: &chat.request.messages,
            digest,
            max_tokens: chat.request.max_tokens.unwrap_or(DEFAULT_RESERVATION),
            attempt: id::Attempt(rand::random()),
            endpoint: None,
            now: self.now(),
        }
    }

    fn start_turn(
        &mut self,
        ask: &Ask,
        chat: &Chat,
        turn: u32,
        digest: id::Digest,
        mut work: Work,
        sink: &Sink,
    ) {
        let feed = Feed::default();
        feed.subscribe(sink.clone());
        let cancel = CancellationToken::new();
        let name = Name::Turn(ask.program.clone());
        self.pending.insert(Pending {
            name,
            caller: ask.caller.clone(),
            turn,
            digest,
            feed: feed.clone(),
            cancel: cancel.clone(),
        });
        work.turn = turn;
        if let Some(program) = self.state.program(&ask.program) {
            turn::add_history(&mut work, program, self.last_endpoints.find(&ask.program));
        }
        let task = turn::Task {
            core: self.core.clone(),
            shard: self.myself.clone(),
            caller: ask.caller.clone(),
            budget: budget(&self.core, ask),
            request: chat.request.clone(),
            max_tokens: chat.request.max_tokens.unwrap_or(DEFAULT_RESERVATION),
            turn,
            digest,
            work,
            feed,
            cancel,
        };
        self.core.work.spawn(task.run());
    }

    /// Creates a program with the budget of the selector that applies to its caller.
    fn create(&mut self, ask: &Ask) -> Result<Option<Append>, Refusal> {
        let budget = budget(&self.core, ask);
        let create = decision::Create {
            program: &ask.program,
            caller: &ask.caller,
            tokens: budget.tokens,
            turns: budget.turns,
            idle: budget.idle,
            now: self.now(),
        };
        let records: Vec<Record> = decision::create(&self.state, &create)?
            .into_iter()
            .collect();
        if !records.is_empty() {
            self.check_writable()?;
        }
        Ok(self.apply(records))
    }

    fn end(&mut self, ask: &Ask) -> Result<Option<Append>, Refusal> {
        let now = self.now();
        let code = Code::ProgramEnded;
        let records = decision::end(&self.state, &ask.program, &ask.caller, code, now)?;
        if !records.is_empty() {
            self.check_writable()?;
        }
        if let Some(pending) = self.pending.find(&Name::Turn(ask.program.clone())) {
            pending.cancel.cancel();
        }
        Ok(self.apply(records))
    }

    /// Shows a program to its caller, once `durable` is durable.
    fn show(&self, ask: &Ask, sink: &Sink, durable: Option<Append>) -> Result<(), Refusal> {
        let unknown = || Refusal::new(Code::UnknownProgram, ask.program.as_str());
        let program: Option<&Program> = self.state.program(&ask.program);
        let program = program
            .filter(|p| p.caller == ask.caller)
            .ok_or_else(unknown)?;
        let shown = Reply::Shown(message::show(program));
        let Some(durable) = durable else {
            let _receiver_gone = sink.send(shown);
            return Ok(());
        };
        let sink = sink.clone();
        self.core.work.spawn(async move {
            let reply = match durable.await {
                Ok(_) => shown,
                Err(fault) => Reply::Refused(turn::append_refusal(&fault)),
            };
            let _receiver_gone = sink.send(reply);
        });
        Ok(())
    }

    /// Shows a program to an operator.
    fn inspect(&self, ask: &Ask, sink: &Sink) -> Result<(), Refusal> {
        let program: Option<&Program> = self.state.program(&ask.program);
        let unknown = || Refusal::new(Code::UnknownProgram, ask.program.as_str());
        let _receiver_gone = sink.send(Reply::Shown(message::show(program.ok_or_else(unknown)?)));
        Ok(())
    }

    fn finish(&mut self, name: &Name) {
        self.pending.remove(name);
        self.notify_if_drained();
    }

    fn drain(&mut self, sender: oneshot::Sender<()>) {
        self.draining = true;
        self.drain_waiters.push(sender);
        self.notify_if_drained();
    }

    fn notify_if_drained(&mut self) {
        if !self.pending.is_empty() {
            return;
        }
        for sender in std::mem::take(&mut self.drain_waiters) {
            let _receiver_gone = sender.send(());
        }
    }

    /// Refuses every pending request with an unknown outcome, because another owner may continue
    /// it without this one knowing.
    fn abandon(&mut self) {
        log::warn!(
            "{} shard={} epoch={}",
            Event::ShardLost,
            self.shard,
            self.state.epoch()
        );
        self.core.registry.forget(&self.shard, self.state.epoch());
        for pending in self.pending.iter() {
            let refusal = Refusal::new(Code::OwnerLost, "").ran(Ran::Unknown);
            pending.feed.refuse(refusal);
            pending.cancel.cancel();
        }
    }
}

/// Returns the digest of a turn's content. A repeated request for the turn has the same digest,
/// whether the answer is streamed or not.
fn turn_digest(chat: &Chat) -> id::Digest {
    let request = &chat.request;
    let content = (
        &request.messages,
        &request.model,
        &request.max_tokens,
        &request.rest,
    );
    id::Digest::of(&serde_json::to_vec(&content).unwrap_or_default())
}

pub(super) fn budget(core: &Core, ask: &Ask) -> Budget {
    let view = core.view();
    let (kind, serves) = match &ask.body {
        Body::Chat(chat) => (Kind::Runner, chat.request.model.as_str()),
        Body::Call(call) => (Kind::Service, call.service.as_str()),
        Body::Create | Body::Show | Body::End | Body::Inspect => (Kind::Runner, ""),
    };
    let caller = view.config.caller(ask.caller.as_str());
    let grant = caller.and_then(|c| view.config.grant(c, &ask.program, kind, serves));
    grant.map(|grant| grant.selector.budget).unwrap_or_default()
}
