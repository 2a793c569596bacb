//! Plays one event: what the product's tasks do between two waits.

use std::time::Instant;

use platform::edge::Fault;
use relay::exchange;
use relay::exchange::incoming;
use relay::exchange::outgoing;
use relay::exchange::outgoing::Message;
use relay::follow::step;
use relay::front;
use relay::node::STORE_TIMEOUT;
use relay::register;
use relay::subject;
use wire::clock::Millis;

use super::count::Mechanism;
use super::network::End;
use super::queue::Answer;
use super::queue::Ask;
use super::queue::Call;
use super::queue::Event;
use super::queue::Step;
use super::store;
use super::view::Return;
use super::vm;
use super::vm::SUBJECTS;
use super::vm::Vm;
use super::world::Watch;
use super::world::World;

/// How old the service's copies get.
const COPY: u64 = 2_000;
/// How long a VM's requests stay the same, in milliseconds.
const LOAD: u64 = 500;
/// Bytes of a call that renews a lease.
const RENEWAL: usize = 64;

impl World {
    pub(super) fn play(&mut self, event: Event) {
        match event {
            Event::Process { vm, life, step } if self.vms[vm].life == life => {
                if self.vms[vm].process.is_some() {
                    self.play_step(vm, step);
                    self.look_for_returns(vm);
                }
            }
            Event::Process { .. } => {}
            Event::Lapse { vm, due } => self.lapse(vm, due),
            Event::WatchEnds(number) => {
                let ends = |watch: &mut Watch| watch.number == number;
                let ended: Vec<Watch> = self.watches.extract_if(.., ends).collect();
                for watch in ended {
                    self.answer_watch(watch);
                }
            }
            Event::Copy => {
                self.store.renew_copy();
                self.queue.put(self.now() + COPY, Event::Copy);
            }
            Event::Second => {
                for vm in &mut self.vms {
                    vm.count.end_second();
                }
                self.queue.put(self.now() + 1_000, Event::Second);
            }
        }
    }

    fn play_step(&mut self, vm: usize, step: Step) {
        match step {
            Step::Follow(follower) => self.follow(vm, follower),
            Step::Called(call) => self.serve_call(vm, call),
            Step::Returned(follower, answer) => self.take_answer(vm, follower, answer),
            Step::Exchange => self.exchange(vm),
            Step::Asked {
                by,
                life,
                sent,
                message,
            } => self.respond(vm, by, life, sent, *message),
            Step::Answered(message) => {
                let begin = Instant::now();
                incoming::apply(&self.process(vm).node, *message);
                self.vms[vm].count.spent += begin.elapsed();
            }
            Step::Register => self.register(vm),
            Step::Sweep => {
                let node = &self.process(vm).node;
                let _gone = node.fleet().remove_missing(node.clock.now());
                self.later(vm, Millis::from(front::SWEEP).as_u64(), Step::Sweep);
            }
            Step::Load => self.change_load(vm),
        }
    }

    fn process(&mut self, vm: usize) -> &mut vm::Process {
        let process = self.vms[vm].process.as_mut();
        process.expect("steps of ended processes are dropped")
    }

    fn follow(&mut self, vm: usize, follower: usize) {
        let process = self.process(vm);
        let node = process.node.clone();
        let ask = match process.followers[follower].step(&node) {
            step::Step::Pause(pause) => {
                let pause = Millis::from(pause).as_u64();
                self.later(vm, pause, Step::Follow(follower));
                return;
            }
            step::Step::List(freshness) => Ask::List(freshness),
            step::Step::Watch(revision) => Ask::Watch(revision),
        };
        let waits = match ask {
            Ask::List(_) => 0,
            Ask::Watch(_) => SUBJECTS[follower].watch_timeout().as_u64(),
        };
        let call = Call {
            follower,
            ask,
            until: self.now() + STORE_TIMEOUT.as_u64() + waits,
        };
        match self.network.delay(End::Vm(vm), End::Store) {
            Some(delay) => self.later(vm, delay, Step::Called(call)),
            None => self.fail_call(vm, call),
        }
    }

    /// Has a call fail when its time is over.
    fn fail_call(&mut self, vm: usize, call: Call) {
        let fault = || Fault::Unknown("no answer".to_owned());
        let answer = match call.ask {
            Ask::List(_) => Answer::Listed(Err(fault())),
            Ask::Watch(_) => Answer::Watched(Err(fault())),
        };
        let after = call.until - self.now();
        self.later(vm, after, Step::Returned(call.follower, answer));
    }

    fn serve_call(&mut self, vm: usize, call: Call) {
        let subject = SUBJECTS[call.follower];
        match call.ask {
            Ask::List(freshness) => {
                let listing = self.store.list(subject.prefix(), freshness);
                let bytes = store::listing_bytes(&listing);
                self.return_answer(vm, call, Answer::Listed(Ok(listing)), bytes);
            }
            Ask::Watch(after) => {
                self.watched += 1;
                let watch = Watch {
                    number: self.watched,
                    vm,
                    life: self.vms[vm].life,
                    follower: call.follower,
                    after,
                    until: call.until,
                };
                if self.store.has_changed(subject.prefix(), after) {
                    self.answer_watch(watch);
                    return;
                }
                self.watches.push(watch);
                let ends = self.now() + subject.watch_timeout().as_u64();
                self.queue.put(ends, Event::WatchEnds(watch.number));
            }
        }
    }

    /// Answers the watches for which there is news.
    pub(super) fn notify(&mut self) {
        let store = &self.store;
        let has_news =
            |watch: &mut Watch| store.has_changed(SUBJECTS[watch.follower].prefix(), watch.after);
        let answered: Vec<Watch> = self.watches.extract_if(.., has_news).collect();
        for watch in answered {
            self.answer_watch(watch);
        }
    }

    fn answer_watch(&mut self, watch: Watch) {
        if self.vms[watch.vm].life != watch.life {
            return;
        }
        let prefix = SUBJECTS[watch.follower].prefix();
        let news = self.store.changes(prefix, watch.after);
        let bytes = store::news_bytes(&news);
        let call = Call {
            follower: watch.follower,
            ask: Ask::Watch(watch.after),
            until: watch.until,
        };
        self.return_answer(watch.vm, call, Answer::Watched(Ok(news)), bytes);
    }

    fn return_answer(&mut self, vm: usize, call: Call, answer: Answer, bytes: usize) {
        let of = Mechanism::of(SUBJECTS[call.follower]);
        self.vms[vm].count.note_call(of, bytes);
        match self.network.delay(End::Store, End::Vm(vm)) {
            Some(delay) => self.later(vm, delay, Step::Returned(call.follower, answer)),
            None => self.fail_call(vm, call),
        }
    }

    fn take_answer(&mut self, vm: usize, follower: usize, answer: Answer) {
        let process = self.process(vm);
        let node = process.node.clone();
        let follows = &mut process.followers[follower];
        let pause = match answer {
            Answer::Listed(listed) => follows.listed(&node, listed),
            Answer::Watched(news) => follows.watched(&node, news),
        };
        let pause = Millis::from(pause).as_u64();
        self.later(vm, pause, Step::Follow(follower));
    }

    fn exchange(&mut self, vm: usize) {
        let node = self.process(vm).node.clone();
        let life = self.vms[vm].life;
        let sent = self.now();
        for peer in exchange::targets(&node) {
            let begin = Instant::now();
            let message = outgoing::message(&node, &peer.vm, peer.roster, peer.config);
            self.vms[vm].count.spent += begin.elapsed();
            self.vms[vm].count.note_message(&message);
            let other = vm::number(&peer.vm).expect("the model named it");
            let Some(delay) = self.network.delay(End::Vm(vm), End::Vm(other)) else {
                continue;
            };
            let asked = Step::Asked {
                by: vm,
                life,
                sent,
                message: Box::new(message),
            };
            self.later(other, delay, asked);
        }
        let pause = Millis::from(exchange::pause(&node)).as_u64();
        self.later(vm, pause, Step::Exchange);
    }

    fn respond(&mut self, vm: usize, by: usize, life: u64, sent: u64, message: Message) {
        let node = self.process(vm).node.clone();
        let begin = Instant::now();
        let answer = exchange::respond(&node, message);
        let count = &mut self.vms[vm].count;
        count.spent += begin.elapsed();
        count.note_asked(by);
        count.note_message(&answer);
        let Some(delay) = self.network.delay(End::Vm(vm), End::Vm(by)) else {
            return;
        };
        let arrives = self.now() + delay;
        if arrives - sent > Millis::from(exchange::TIMEOUT).as_u64() {
            return;
        }
        let step = Step::Answered(Box::new(answer));
        self.queue
            .put(arrives, Event::Process { vm: by, life, step });
    }

    /// Writes the VM's entry, or renews its lease; where that has lapsed, the next time writes anew.
    fn register(&mut self, vm: usize) {
        self.vms[vm].count.note_call(Mechanism::StoreLease, RENEWAL);
        if self.network.delay(End::Vm(vm), End::Store).is_some() {
            let due = self.now() + register::LEASE_TTL.as_u64();
            let lapsed = self.leases[vm] <= self.now();
            let entered = std::mem::replace(&mut self.process(vm).entered, true);
            if entered && lapsed {
                self.process(vm).entered = false;
            } else {
                self.leases[vm] = due;
                self.queue.put(due, Event::Lapse { vm, due });
            }
            if !entered {
                let value = format!("{} {}", self.vms[vm].address, self.vms[vm].centre);
                let key = format!("{}{}", subject::vm_prefix(), self.vms[vm].name);
                self.put(&key, value.as_bytes());
            }
        }
        self.later(
            vm,
            Millis::from(register::RENEW_INTERVAL).as_u64(),
            Step::Register,
        );
    }

    fn lapse(&mut self, vm: usize, due: u64) {
        if self.leases[vm] == due {
            let key = format!("{}{}", subject::vm_prefix(), self.vms[vm].name);
            self.store.remove(&key);
            self.notify();
        }
    }

    /// Has half of a VM's requests end, and others begin at runners that it uses.
    fn change_load(&mut self, vm: usize) {
        let most = self.size.under_way;
        let mut under_way = std::mem::take(&mut self.process(vm).under_way);
        let ended = under_way.split_off(under_way.len() / 2);
        let used = super::view::View::of(self.process(vm)).runners;
        let begun: Vec<String> = if used.is_empty() {
            Vec::new()
        } else {
            let draws = under_way.len()..most;
            draws
                .map(|_| used[self.network.below(used.len())].clone())
                .collect()
        };
        let node = self.process(vm).node.clone();
        let mut fleet = node.fleet();
        for runner in &ended {
            if let Some(runner) = fleet.runner(runner) {
                runner.own_requests = runner.own_requests.saturating_sub(1);
            }
        }
        for runner in &begun {
            if let Some(runner) = fleet.runner(runner) {
                runner.own_requests += 1;
            }
        }
        drop(fleet);
        under_way.extend(begun);
        self.process(vm).under_way = under_way;
        self.later(vm, LOAD, Step::Load);
    }

    /// Notes a runner that left, that the VM gave no requests any more, and gives some again.
    fn look_for_returns(&mut self, vm: usize) {
        let at = self.since_start();
        let Vm { name, process, .. } = &mut self.vms[vm];
        let Some(process) = process else {
            return;
        };
        for runner in &self.left {
            if !process.uses(runner) {
                if process.used.remove(runner) {
                    process.dropped.insert(runner.clone());
                }
                continue;
            }
            process.used.insert(runner.clone());
            if process.dropped.remove(runner) {
                self.returns.push(Return {
                    vm: name.clone(),
                    runner: runner.clone(),
                    at,
                });
            }
        }
    }
}
