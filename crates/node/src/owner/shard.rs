//! The actor of one shard: the only place that decides on its programs. It applies each decision
//! to its state and hands it to the journal in one step; the effects wait, in the requests' own
//! tasks, until the journal has it.

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
use crate::owner::last_endpoint::LastEndpoints;
use crate::owner::maintenance;
use crate::owner::message;
use crate::owner::message::Answer;
use crate::owner::message::Decided;
use crate::owner::message::Message;
use crate::owner::pending;
use crate::owner::pending::Name;
use crate::owner::pending::Pending;
use crate::owner::turn;

/// Tokens reserved for a turn whose caller names no limit: what a long answer takes. The rest of
/// the reservation is free again once the turn commits.
const RESERVE: u64 = 4_096;
/// When a caller may come again in an outage of the platform; it is looked at once a second.
const OUTAGE_PAUSE: Millis = Millis::new(1_000);
/// When a caller may come again whose shard is being handed over.
const HANDOVER: Millis = Millis::new(500);

/// The actor's behaviour.
pub struct Shard;

/// What an actor is started with.
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

/// What an actor knows.
pub struct Owner {
    pub(super) core: Arc<Core>,
    pub(super) shard: id::Shard,
    pub(super) state: State,
    pub(super) log: Log,
    pub(super) myself: ActorRef<Message>,
    pub(super) pending: pending::List,
    pub(super) last_endpoints: LastEndpoints,
    /// Whether the shard takes nothing new any more; it never does again once it was told so, or
    /// what comes between its last look and its end would be lost on the way.
    draining: bool,
    drained: Vec<oneshot::Sender<()>>,
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
            last_endpoints: LastEndpoints::default(),
            draining: false,
            drained: Vec::new(),
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
            Message::Resolve(program, key, attempt, effect, answer) => {
                let record = decision::resolve(&owner.state, &program, &key, attempt, effect);
                reply(answer, Ok(owner.decide((), record)));
            }
            Message::Over(name) => owner.over(&name),
            Message::Gone(programs, answer) => {
                let _asker_left = answer.send(maintenance::gone(owner, programs));
            }
            Message::Sweep(endpoint, programs) => maintenance::sweep(owner, &endpoint, programs),
            Message::Released(program, endpoint) => {
                let record = decision::cache_released(&owner.state, &program, &endpoint);
                owner.apply(record.into_iter().collect());
            }
            Message::Tick => maintenance::tick(owner),
            Message::Drain(done) => owner.drain(done),
            Message::Close => myself.stop(None),
            Message::Lost => {
                owner.lose();
                myself.stop(None);
            }
        }
        Ok(())
    }
}

/// Answers a task; one that is gone needs no answer.
fn reply<T>(answer: Answer<T>, decided: Result<Decided<T>, Refusal>) {
    let _gone = answer.send(decided);
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
            Body::Call(call) => call::ask(self, ask, call, sink),
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
            let _gone = sink.send(Reply::Refused(refusal));
        }
    }

    /// Refuses new work while the shard is handed over or the VM stops, and in an outage in which nothing of it
    /// could become durable: it would wait for the platform with its caller none the wiser.
    pub(super) fn check_open(&self) -> Result<(), Refusal> {
        self.check_kept()?;
        if let Status::Outage { retry_after } = self.status()
            && self.log.has_no_holders()
        {
            let detail = "no other VM of the data centre can hold a copy";
            return Err(Refusal::new(Code::PlatformDown, detail).retry_after(retry_after));
        }
        Ok(())
    }

    /// Refuses what changes the shard's state while it is handed over or the VM stops: nothing would
    /// wait for its record, which the next owner may not read.
    fn check_kept(&self) -> Result<(), Refusal> {
        // A claim that ends after the stop's begin brings a shard that nobody drains.
        if self.draining || self.core.stopping.is_cancelled() {
            return Err(Refusal::new(Code::ShuttingDown, "").retry_after(HANDOVER));
        }
        Ok(())
    }

    /// Yields where the log stands. What the VM knows of the platform counts, too: a log learns of
    /// an outage only from an append of its own, and an intent among that one would have to be
    /// answered as unknown although it never runs.
    pub(super) fn status(&self) -> Status {
        match self.log.status() {
            Status::Open if !self.core.view().platform => Status::Outage {
                retry_after: OUTAGE_PAUSE,
            },
            status => status,
        }
    }

    fn chat(&mut self, ask: &Ask, chat: &Chat, sink: &Sink) -> Result<(), Refusal> {
        let digest = digest(chat);
        let name = Name::Turn(ask.program.clone());
        if let Some(pending) = self.pending.find(&name)
            && pending.caller == ask.caller
            && chat.turn.is_none_or(|turn| turn == pending.turn)
        {
            if pending.digest != digest {
                return Err(Refusal::new(Code::TurnConflict, &pending.turn.to_string()));
            }
            pending.feed.join(sink.clone());
            return Ok(());
        }
        let work = turn::work(&self.core, ask, chat)?;
        if self.state.program(&ask.program).is_none() && chat.turn == Some(1) {
            return self.chat_first(ask, chat, digest, work, sink);
        }
        let begin = self.gate(ask, chat, digest);
        match decision::begin(&self.state, &begin)? {
            Turn::Replay { turn, answer } => {
                let answer = answer.clone();
                let _gone = sink.send(Reply::Done { turn, answer });
                Ok(())
            }
            // A turn that runs here is pending and was joined above.
            Turn::Join { turn, .. } => Err(Refusal::new(Code::TurnConflict, &turn.to_string())),
            Turn::Start(start) => {
                self.check_open()?;
                self.check_poison(ask, digest)?;
                self.launch(ask, chat, start.turn, digest, work, sink);
                Ok(())
            }
        }
    }

    /// Begins a program with its first turn. It is made when the turn starts, in the same append.
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
        self.launch(ask, chat, 1, digest, work, sink);
        Ok(())
    }

    /// Refuses what has crashed endpoints, here or under another shard or VM.
    fn check_poison(&self, ask: &Ask, digest: id::Digest) -> Result<(), Refusal> {
        let content = self.state.content_digest(&ask.program, digest);
        if self.state.is_poisoned(content) || self.core.poison.knows(content) {
            return Err(Refusal::new(Code::Poisoned, ""));
        }
        Ok(())
    }

    fn gate<'a>(&self, ask: &'a Ask, chat: &'a Chat, digest: id::Digest) -> decision::Begin<'a> {
        decision::Begin {
            program: &ask.program,
            caller: &ask.caller,
            turn: chat.turn,
            messages: &chat.request.messages,
            digest,
            want: chat.request.max_tokens.unwrap_or(RESERVE),
            attempt: id::Attempt(rand::random()),
            endpoint: None,
            now: self.now(),
        }
    }

    fn launch(
        &mut self,
        ask: &Ask,
        chat: &Chat,
        turn: u32,
        digest: id::Digest,
        mut work: Work,
        sink: &Sink,
    ) {
        let feed = Feed::default();
        feed.join(sink.clone());
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
            turn::remember(&mut work, program, self.last_endpoints.find(&ask.program));
        }
        let task = turn::Task {
            core: self.core.clone(),
            shard: self.myself.clone(),
            caller: ask.caller.clone(),
            budget: budget(&self.core, ask),
            request: chat.request.clone(),
            want: chat.request.max_tokens.unwrap_or(RESERVE),
            turn,
            digest,
            work,
            feed,
            cancel,
        };
        self.core.work.spawn(task.run());
    }

    /// Makes a program; its budget is that of the selector that speaks for its caller.
    fn create(&mut self, ask: &Ask) -> Result<Option<Append>, Refusal> {
        let budget = budget(&self.core, ask);
        let wish = decision::Create {
            program: &ask.program,
            caller: &ask.caller,
            tokens: budget.tokens,
            turns: budget.turns,
            idle: budget.idle,
            now: self.now(),
        };
        let records: Vec<Record> = decision::create(&self.state, &wish)?.into_iter().collect();
        if !records.is_empty() {
            self.check_kept()?;
        }
        Ok(self.apply(records))
    }

    fn end(&mut self, ask: &Ask) -> Result<Option<Append>, Refusal> {
        let now = self.now();
        let code = Code::ProgramEnded;
        let records = decision::end(&self.state, &ask.program, &ask.caller, code, now)?;
        if !records.is_empty() {
            self.check_kept()?;
        }
        if let Some(pending) = self.pending.find(&Name::Turn(ask.program.clone())) {
            pending.cancel.cancel();
        }
        Ok(self.apply(records))
    }

    /// Shows a program once what was decided of it is durable.
    fn show(&self, ask: &Ask, sink: &Sink, durable: Option<Append>) -> Result<(), Refusal> {
        let unknown = || Refusal::new(Code::UnknownProgram, ask.program.as_str());
        let program: Option<&Program> = self.state.program(&ask.program);
        let program = program
            .filter(|p| p.caller == ask.caller)
            .ok_or_else(unknown)?;
        let shown = Reply::Shown(message::show(program));
        let Some(durable) = durable else {
            let _gone = sink.send(shown);
            return Ok(());
        };
        let sink = sink.clone();
        self.core.work.spawn(async move {
            let reply = match durable.await {
                Ok(_) => shown,
                Err(fault) => Reply::Refused(turn::lost(&fault)),
            };
            let _gone = sink.send(reply);
        });
        Ok(())
    }

    /// Shows a program to an operator.
    fn inspect(&self, ask: &Ask, sink: &Sink) -> Result<(), Refusal> {
        let program: Option<&Program> = self.state.program(&ask.program);
        let unknown = || Refusal::new(Code::UnknownProgram, ask.program.as_str());
        let _gone = sink.send(Reply::Shown(message::show(program.ok_or_else(unknown)?)));
        Ok(())
    }

    fn over(&mut self, name: &Name) {
        self.pending.remove(name);
        self.answer_drained();
    }

    fn drain(&mut self, done: oneshot::Sender<()>) {
        self.draining = true;
        self.drained.push(done);
        self.answer_drained();
    }

    fn answer_drained(&mut self) {
        if !self.pending.is_empty() {
            return;
        }
        for done in std::mem::take(&mut self.drained) {
            let _gone = done.send(());
        }
    }

    /// Ends every request: whatever another owner does with them, this one can't know.
    fn lose(&mut self) {
        log::warn!(
            "{} shard={} epoch={}",
            Event::ShardLost,
            self.shard,
            self.state.epoch()
        );
        self.core.registry.lose(&self.shard, self.state.epoch());
        for pending in self.pending.iter() {
            let lost = Refusal::new(Code::OwnerLost, "").ran(Ran::Unknown);
            pending.feed.refuse(lost);
            pending.cancel.cancel();
        }
    }
}

/// Yields the digest of a turn's content: the same turn asked again has the same, streamed or not.
fn digest(chat: &Chat) -> id::Digest {
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
