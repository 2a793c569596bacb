//! Selects the runners of a service that a VM uses.

use policy::subset;
use policy::subset::Candidate;
use policy::subset::Place;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::runner::Runner;

/// Returns the runners among those of one service that a VM of a data centre uses, at most `max`.
pub(super) fn used<'a>(
    vm: &str,
    centre: &str,
    runners: &[&'a Runner],
    max: usize,
) -> Vec<&'a Runner> {
    if runners.len() <= max {
        return runners.to_vec();
    }
    let candidate = |runner: &&Runner| Candidate {
        id: runner.id_hash,
        place: if runner.entry.centre == centre {
            Place::Near
        } else {
            Place::Far
        },
    };
    let candidates: Vec<Candidate> = runners.iter().map(candidate).collect();
    let chosen = subset::choose(xxh3_64(vm.as_bytes()), &candidates, max);
    chosen.into_iter().map(|index| runners[index]).collect()
}
