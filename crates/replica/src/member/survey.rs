//! How a member watches the others, and what it does when they are too few.

use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::timeout;
use wire::clock::Millis;
use wire::event::Event;

use crate::call;
use crate::list;
use crate::list::List;
use crate::member::Driver;
use crate::member::list_change::Silence;
use crate::member::list_change::State;
use crate::message::Answer;
use crate::message::Body;
use crate::message::Status;
use crate::outlook;
use crate::outlook::Outlook;
use crate::outlook::Sight;
use crate::outlook::View;

/// How long a member that can't catch up waits before it proposes a new version of the list, whose members copy
/// from each other: longer than a restart or a short network cut.
const RENEW_AFTER: Millis = Millis::new(3_000);
/// How long a VM that didn't answer when it was last asked may take to answer: some ten times as long as usual. A member
/// that waited longer each time would hear late of a new list.
const SILENT_TIMEOUT: Duration = Duration::from_millis(250);
/// The longest time between two looks at a silent VM after which it still counts as silent in between.
const MAX_LOOK_GAP: Millis = Millis::new(5_000);
/// The most VMs that a log line names.
const MAX_NAMED_VMS: usize = 6;

impl Driver {
    /// Joins the list.
    pub(super) async fn join(&self, state: &mut State, list: &List) {
        let view = self.survey(state, list).await;
        if outlook::outlook(list, &view, self.losses) == Outlook::Lost {
            self.reset(state, list, &view).await;
            return;
        }
        let next = list.with(&self.own);
        self.propose(state, list, &view, &next).await;
    }

    /// Looks after a list with which the member can't catch up.
    pub(super) async fn restore(&self, state: &mut State, list: &List) {
        let now = self.clock.now();
        let since = *state.behind_since.get_or_insert(now);
        let view = self.survey(state, list).await;
        match outlook::outlook(list, &view, self.losses) {
            Outlook::Lost => self.reset(state, list, &view).await,
            Outlook::Usable if now.since(since) >= RENEW_AFTER => {
                state.behind_since = None;
                let next = list.with(&self.own);
                self.propose(state, list, &view, &next).await;
            }
            Outlook::Usable | Outlook::Waiting => {}
        }
    }

    /// Looks at the members of the list, learns of a newer one, and resets the list if too few disks are left.
    pub(super) async fn watch(&self, state: &mut State, list: &List) -> View {
        let mut view = View::default();
        self.look_at(state, &mut view, list, &list.members).await;
        let caught_up = view.caught_up(&list.members, list.version);
        self.note_complete(state, list, &caught_up);
        if outlook::outlook(list, &view, self.losses) != Outlook::Usable {
            self.look_at(state, &mut view, list, &list.before).await;
            if outlook::outlook(list, &view, self.losses) == Outlook::Lost {
                self.reset(state, list, &view).await;
            }
        }
        view
    }

    /// Looks at the members of the list and, where they aren't enough, at those of the list before.
    async fn survey(&self, state: &mut State, list: &List) -> View {
        let mut view = View::default();
        self.look_at(state, &mut view, list, &list.members).await;
        if outlook::outlook(list, &view, self.losses) != Outlook::Usable {
            self.look_at(state, &mut view, list, &list.before).await;
        }
        view
    }

    /// Asks VMs that the view doesn't hold yet for their state, all at the same time.
    async fn look_at(
        &self,
        state: &mut State,
        view: &mut View,
        list: &List,
        members: &[list::Member],
    ) {
        let mut asked = JoinSet::new();
        for member in members {
            if view.has(&member.vm) {
                continue;
            }
            if member.vm == self.own.vm {
                view.note(member.clone(), Sight::Answers(self.member.status()));
                continue;
            }
            let (http, member, version) = (self.http.clone(), member.clone(), list.version);
            let limit = if state.is_silent(&member.vm) {
                SILENT_TIMEOUT
            } else {
                call::ANSWER_TIMEOUT
            };
            asked.spawn(async move {
                let answer = call::ask(&http, member.address, version, Body::Status);
                let answer = timeout(limit, answer).await.ok().flatten();
                (member, answer)
            });
        }
        while let Some(next) = asked.join_next().await {
            let Ok((member, answer)) = next else {
                continue;
            };
            let sight = match answer {
                Some(Answer::Status(status)) if !self.is_of_another_vm(list, &member, status) => {
                    Sight::Answers(status)
                }
                _ => Sight::Silent,
            };
            let sight = self.note_silence(state, &member.vm, sight);
            if let Sight::Answers(status) = sight {
                self.learn_from(list, &member, status).await;
            }
            view.note(member, sight);
        }
    }

    /// Returns whether another VM, which has got a member's address, answered in its place. That VM's disk is
    /// known by its own entry, and tells nothing of the member's.
    fn is_of_another_vm(&self, list: &List, member: &list::Member, status: Status) -> bool {
        let known = list.members.iter().chain(&list.before);
        let mut known = known.chain([&self.own]);
        known.any(|other| other.disk == status.disk && other.vm != member.vm)
    }

    /// Adopts the list of a member that uses a newer one.
    async fn learn_from(&self, list: &List, member: &list::Member, status: Status) {
        if status.version <= self.member.status().version {
            return;
        }
        if let Some(Answer::Newer(newer)) = self.ask(member, list.version, Body::List).await {
            self.adopt(&newer).await;
        }
    }

    /// Records whether a VM answers, and gives up one that hasn't for too long. Only looks that follow each other
    /// closely tell for how long.
    fn note_silence(&self, state: &mut State, vm: &str, sight: Sight) -> Sight {
        let now = self.clock.now();
        let silent = &mut state.silent;
        silent.retain(|known| now.since(known.seen_at) < MAX_LOOK_GAP);
        let at = silent.binary_search_by(|known| known.vm.as_str().cmp(vm));
        match (sight, at) {
            (Sight::Answers(_), Ok(at)) => {
                silent.remove(at);
                sight
            }
            (Sight::Answers(_), Err(_)) | (Sight::GivenUp, _) => sight,
            (Sight::Silent, Err(at)) => {
                let vm = vm.to_owned();
                let silence = Silence {
                    vm,
                    since: now,
                    seen_at: now,
                };
                silent.insert(at, silence);
                sight
            }
            (Sight::Silent, Ok(at)) => {
                silent[at].seen_at = now;
                if now.since(silent[at].since) >= self.max_silence {
                    Sight::GivenUp
                } else {
                    sight
                }
            }
        }
    }

    /// Logs when there are too few complete members for another loss, and when there are enough again.
    fn note_complete(&self, state: &mut State, list: &List, caught_up: &[&list::Member]) {
        let complete = caught_up.len();
        self.member.note_complete(complete);
        let needed = 2 * self.losses + 1;
        let short = (complete < needed).then_some(complete);
        if std::mem::replace(&mut state.short_logged, short) == short {
            return;
        }
        let event = match short {
            Some(_) => Event::MembersShort,
            None => Event::MembersComplete,
        };
        let missing = list
            .members
            .iter()
            .filter(|member| !caught_up.contains(member));
        let missing: Vec<&str> = missing
            .map(|member| member.vm.as_str())
            .take(MAX_NAMED_VMS)
            .collect();
        log::warn!(
            "event=E{} text=\"{}\" version={} complete={complete} needed={needed} members={} missing={}",
            event.number(),
            event.text(),
            list.version,
            list.members.len(),
            missing.join(",")
        );
    }

    /// Resets the list to the disks that are left, once each other one is known to be lost.
    async fn reset(&self, state: &mut State, list: &List, view: &View) {
        if !outlook::is_settled(list, view) {
            return;
        }
        let knowing = self.ask_knowing(list, view).await;
        let now = self.clock.now();
        let next = outlook::reset(list, view, &self.own, &knowing, now, self.losses);
        self.submit(state, list, &next).await;
        if self.member.identity().list == next {
            log::warn!(
                "event=E{} text=\"{}\" version={} members={} left={} knowing={} before={}",
                Event::ListReset.number(),
                Event::ListReset.text(),
                next.version,
                next.members.len(),
                next.before.len(),
                knowing.len(),
                list.members.len()
            );
        }
    }

    /// Returns the numbers of the list's disks that know all accounts of it.
    async fn ask_knowing(&self, list: &List, view: &View) -> Vec<u64> {
        let mut knowing = Vec::new();
        for member in view.present(&list.members) {
            let known = if *member == self.own {
                Some(Answer::Accounts(self.member.accounts_ready()))
            } else {
                call::ask_disk(&self.http, member, list.version, Body::Accounts).await
            };
            if matches!(known, Some(Answer::Accounts(version)) if version >= list.version) {
                knowing.push(member.disk);
            }
        }
        knowing
    }

    /// Proposes to remove an unresponsive member if the list has more members than it needs. For how long each one has
    /// been so is known also while none can be spared, so that it goes as soon as its successor is complete.
    pub(super) async fn evict(&self, state: &mut State, list: &List, view: &View) {
        let responsive = view.responsive(&list.members);
        let now = self.clock.now();
        let answered: Vec<&str> = responsive.iter().map(|member| member.vm.as_str()).collect();
        state.unresponsive.record_answers(list, &answered, now);
        let present = view.present(&list.members);
        let caught_up = view.caught_up(&list.members, list.version);
        let needed = 2 * self.losses + 1;
        // In a partition, the side with too few members leaves the list alone because the other
        // side will come back.
        let can_spare = list.members.len() > needed && present.len() >= needed;
        // One that is behind has no time for it.
        if !can_spare || caught_up.first().is_none_or(|first| **first != self.own) {
            return;
        }
        let Some(vm) = state.unresponsive.to_evict(list, now) else {
            return;
        };
        let next = list.without(vm);
        let evicted = vm.to_owned();
        self.propose(state, list, view, &next).await;
        if self.member.identity().list == next {
            log::warn!(
                "event=E{} text=\"{}\" member={evicted}",
                Event::MemberEvicted.number(),
                Event::MemberEvicted.text()
            );
        }
    }

    /// Proposes the list without this member, if the others are enough without it.
    pub(super) async fn begin_leaving(&self, state: &mut State, list: &List, view: &View) {
        let caught_up = view.caught_up(&list.members, list.version);
        if outlook::may_leave(list, &caught_up, &self.own.vm, self.losses) {
            state.retirement_logged = false;
            let next = list.without(&self.own.vm);
            self.propose(state, list, view, &next).await;
            return;
        }
        if std::mem::replace(&mut state.retirement_logged, true) {
            return;
        }
        log::warn!(
            "event=E{} text=\"{}\" version={} complete={} needed={} members={}",
            Event::RetirementWaits.number(),
            Event::RetirementWaits.text(),
            list.version,
            caught_up.len(),
            2 * self.losses + 2,
            list.members.len()
        );
    }

    /// Completes leaving the list once the remaining members have caught up and so hold all that
    /// this member held.
    pub(super) async fn leave(&self, state: &mut State, list: &List) {
        let mut view = View::default();
        self.look_at(state, &mut view, list, &list.members).await;
        if view.caught_up(&list.members, list.version).len() < list.members.len() {
            return;
        }
        log::info!(
            "event=E{} text=\"{}\" version={}",
            Event::MemberLeft.number(),
            Event::MemberLeft.text(),
            list.version
        );
        self.phase.send_replace(super::Phase::Left);
    }
}
