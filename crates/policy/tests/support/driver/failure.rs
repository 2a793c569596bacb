//! Handling of calls that an endpoint fails.

use policy::admit;
use policy::eject;
use policy::retry;
use wire::clock::Millis;
use wire::code::Ran;

use super::Driver;
use super::Event;
use crate::support::engine::Job;
use crate::support::outcome::Status;
use crate::support::rules::Rules;

impl Driver<'_> {
    /// Handles a failed call. Under this crate's rules the VM retries while its budget lasts; under
    /// the others the caller sends the request anew.
    pub(super) fn fail(&mut self, endpoint: usize, job: &Job) {
        let now = self.millis();
        let program = job.program;
        let vm = &mut self.vms[job.vm];
        vm.in_flight.retain(|sent| *sent != program);
        vm.views[endpoint]
            .own_calls
            .record_ended(Millis::new(job.sent), now);
        vm.detectors[endpoint].note(eject::Sample::Failed);
        let progress = &mut self.progress[program];
        progress.sent = None;
        if self.records[program].status != Status::Open {
            return;
        }
        if self.vms[job.vm].rules != Rules::Ours {
            // A sticky program keeps its endpoint even if the endpoint fails.
            self.refuse(program, Some(admit::MIN_RETRY_AFTER));
            return;
        }
        let failure = retry::Failure {
            class: job.class,
            repeat: retry::Repeat::Safe,
            ran: Ran::Unknown,
            tries: progress.tries,
        };
        let vm = &mut self.vms[job.vm];
        match vm.retries.decide(&failure, now, &mut vm.rng) {
            retry::Verdict::Again { after } => {
                self.at(self.now + after.as_u64(), Event::Retry { program });
            }
            retry::Verdict::Final | retry::Verdict::Spent => {
                self.progress[program].tries = 0;
                self.refuse(program, Some(admit::MIN_RETRY_AFTER));
            }
        }
    }

    /// Puts a call back into the queue with the time of its first arrival.
    pub(super) fn retry(&mut self, program: usize) {
        if self.records[program].status != Status::Open {
            return;
        }
        let at = program % self.vms.len();
        let arrived = Millis::new(self.progress[program].requested);
        self.enqueue(at, program, arrived);
        self.dispatch(at);
    }
}
