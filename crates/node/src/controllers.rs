//! Keeps the view of a VM that is the only one of its data centre: reads the configuration once,
//! thinks every peer up, and claims every shard of the data centre.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use journal::copy;
use journal::copy::Collected;
use journal::copy::Held;
use journal::copy::Holder;
use journal::copy::Peers;
use journal::log::Setup;
use platform::edge::Lease;
use settings::config::Config;
use wire::clock::Millis;
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
    let Ok(lease) = core.platform.grant(core.settings.platform.lease).await else {
        return;
    };
    core.tasks.spawn(keep(core.clone(), lease));
    for index in 0..centre.shards {
        let shard = id::Shard {
            centre: own.centre.clone(),
            index,
        };
        let setup = Setup {
            platform: core.platform.clone(),
            peers: Arc::new(Nobody),
            vm: own.name.clone(),
            shard: shard.clone(),
            seed: rand::random(),
            copies: Vec::new(),
            acks: 0,
        };
        match core.registry.claim(core, setup, lease).await {
            Ok(epoch) => {
                let vm = own.name.clone();
                core.update(|view| view.owners.push(Owner { shard, vm, epoch }));
            }
            Err(fault) => log::warn!("shard={shard} reason={fault}"),
        }
    }
}

async fn keep(core: Arc<Core>, lease: Lease) {
    let third = Millis::new(core.settings.platform.lease.as_u64() / 3);
    loop {
        tokio::select! {
            () = tokio::time::sleep(third.as_duration()) => {}
            () = core.stopped.cancelled() => return,
        }
        let _lapsed = core.platform.renew(lease).await;
    }
}

/// The other VMs of a data centre that has none.
struct Nobody;

#[async_trait]
impl Peers for Nobody {
    async fn hold(&self, _: &Holder, _: &id::Shard, _: &Held) -> copy::Result<()> {
        Err(copy::Fault::Unreachable)
    }

    async fn collect(&self, _: &id::Vm, _: &id::Shard, _: u64) -> copy::Result<Collected> {
        Err(copy::Fault::Unreachable)
    }

    async fn drained(&self, _: &Holder, _: &id::Shard, _: u64, _: u64) {}
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
