//! Tests which configuration a node acts on.

use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use crate::fleet::Fleet;

/// Time within which a change has to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(4);

/// The platform loses the watch without ending it, and the node goes on with a configuration that
/// was replaced.
#[tokio::test]
async fn a_change_after_the_watch_is_lost_is_in_force_in_time() {
    let fleet = Fleet::plain().await;
    while fleet.platform.lose_watches() == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    fleet.change_config().await;
    timeout(IN_FORCE, fleet.until_revision(2)).await.unwrap();
}
