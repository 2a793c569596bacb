//! The controllers that keep this VM's view of the deployment. Stand-in until the real ones land:
//! reads the configuration once, thinks every peer up, and claims every shard of the own data
//! centre where the VM is the only one of it.

use std::sync::Arc;

use bytes::Bytes;
use settings::config::Config;
use wire::id;

use crate::core::Core;
use crate::view::Owner;
use crate::view::Peer;

pub mod config;

/// The platform key of the operators' configuration.
pub const CONFIG_KEY: &str = "config";

/// Starts the controllers as tasks that end when [`Core::stopped`] is set. Returns when the VM
/// may serve.
pub async fn start(core: &Arc<Core>) {
    let config = match core.platform.read(CONFIG_KEY).await {
        Ok(Some(entry)) => serde_json::from_slice::<Config>(&entry.value).unwrap_or_default(),
        _ => Config::default(),
    };
    let own = &core.settings.vm;
    let alone = !core.settings.peers.iter().any(|p| p.centre == own.centre);
    core.update(|view| {
        view.config = Arc::new(config);
        view.platform = true;
        view.peers = peers(core);
    });
    if alone {
        claim_all(core).await;
    }
}

/// Answers a request of another VM on one of the controllers' paths of [`crate::peer`]; `None`
/// where the path isn't theirs. Body and answer are frames.
#[allow(clippy::unused_async)]
pub async fn serve(_core: &Arc<Core>, _path: &str, _body: Bytes) -> Option<Bytes> {
    None
}

async fn claim_all(core: &Arc<Core>) {
    let own = &core.settings.vm;
    let Some(centre) = core.settings.centres.iter().find(|c| c.name == own.centre) else {
        return;
    };
    for index in 0..centre.shards {
        let shard = id::Shard {
            centre: own.centre.clone(),
            index,
        };
        if let Ok(epoch) = core.registry.claim(core, &shard).await {
            let vm = own.name.clone();
            core.update(|view| view.owners.push(Owner { shard, vm, epoch }));
        }
    }
}

fn peers(core: &Core) -> Vec<Peer> {
    let own = &core.settings.vm;
    let others = core.settings.peers.iter().map(|p| Peer {
        vm: p.name.clone(),
        centre: p.centre.clone(),
        address: p.address,
        size: 1,
        up: true,
        stopping: false,
    });
    let mut peers: Vec<Peer> = others.collect();
    peers.push(Peer {
        vm: own.name.clone(),
        centre: own.centre.clone(),
        address: core.settings.listen.peers,
        size: own.size,
        up: true,
        stopping: false,
    });
    peers.sort_by(|a, b| a.vm.cmp(&b.vm));
    peers
}
