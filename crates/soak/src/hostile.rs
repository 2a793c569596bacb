//! Clients outside the limits, beside the ordinary ones.

use std::sync::Arc;
use std::time::Duration;

use fakes::hostile::Crowd;
use fakes::hostile::Form;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::context::Context;

/// How many clients play at once.
const SIZE: usize = 20;
/// How long their connections stay open, and the pause until the next ones.
const HELD: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(500);
/// The path of their requests.
const PATH: &str = "/look/x";
/// What they send. None of it is a request, which the oracle would have to know.
const FORMS: [Form; 9] = [
    Form::Silence,
    Form::EmptyLines,
    Form::SlowEmptyLines,
    Form::Target,
    Form::Fields,
    Form::ShortFields,
    Form::HalfHead,
    Form::LongHead,
    Form::Garbage,
];

/// Lets crowds play at VMs, one after the other, until it is aborted.
pub async fn run(context: Arc<Context>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(!seed);
    let vms = context.balancer.rows().len();
    loop {
        sleep(PAUSE).await;
        let address = context.balancer.callers(random.random_range(0..vms));
        let form = FORMS[random.random_range(0..FORMS.len())];
        let crowd = Crowd::play(address, form, PATH, SIZE).await;
        sleep(HELD).await;
        drop(crowd);
    }
}
