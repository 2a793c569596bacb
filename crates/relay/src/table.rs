//! The routes in force, looked up by host and path.

use std::sync::Arc;

use adapter::config::Config;
use adapter::config::Engine;
use adapter::config::Route;
use adapter::config::Service;
use bytes::Bytes;
use wire::clock::Millis;
use xxhash_rust::xxh3::xxh3_64;

use crate::workspace::Index;

/// One version of the configuration, indexed for look-ups.
#[derive(Debug, Default)]
pub struct Table {
    /// Version of the configuration.
    pub version: u64,
    /// Whether a configuration has been read yet.
    pub loaded: bool,
    /// The largest head of a caller's request in bytes.
    pub head_bytes: usize,
    /// How long a head may take.
    pub head_time: Millis,
    /// How long a caller's connection may be idle.
    pub idle_time: Millis,
    /// The largest body in bytes.
    pub body_bytes: usize,
    /// The configuration's bytes as they were read, for other VMs.
    pub document: Bytes,
    /// The workspaces; `None` if callers need no key.
    pub workspaces: Option<Index>,
    /// Sorted by host and prefix.
    routes: Vec<Arc<Route>>,
    /// Sorted by name.
    services: Vec<Service>,
}

impl Table {
    /// Builds the table of a configuration; `previous` is the one in force before.
    #[must_use]
    pub fn new(config: Config, document: &[u8], previous: &Self) -> Self {
        let workspaces = config
            .workspaces
            .map(|workspaces| Index::new(workspaces, previous.workspaces.as_ref()));
        let mut routes: Vec<Arc<Route>> = config.routes.into_iter().map(Arc::new).collect();
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        let mut services = config.services;
        services.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            version: config.version,
            loaded: true,
            head_bytes: config.head_bytes,
            head_time: config.head_time,
            idle_time: config.idle,
            body_bytes: config.body_bytes,
            document: Bytes::copy_from_slice(document),
            workspaces,
            routes,
            services,
        }
    }

    /// Finds the host's route with the longest prefix that matches the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let first = self
            .routes
            .partition_point(|route| route.host.as_str() < host);
        let of_host = self.routes[first..].iter();
        let of_host = of_host.take_while(|route| route.host == host);
        of_host
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name));
        found.ok().map(|at| &self.services[at])
    }

    /// Returns the engine parameters of a service; `None` for plain and unknown services.
    #[must_use]
    pub fn engine(&self, service: &str) -> Option<Engine> {
        self.service(service)?.engine
    }

    /// Returns the memory of a service's engines in tokens; 0 for plain and unknown services.
    #[must_use]
    pub fn memory_tokens(&self, service: &str) -> u64 {
        let engine = self.engine(service);
        engine.map_or(0, |engine| engine.memory_tokens)
    }

    /// Returns whether any route takes turns, which need the VMs with a disk.
    #[must_use]
    pub fn has_streams(&self) -> bool {
        let stream = |route: &Arc<Route>| route.kind == adapter::config::Kind::Stream;
        self.routes.iter().any(stream)
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter()
    }
}

/// Returns the sample of a request in [0, 1), which its id determines.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "a sample needs no more digits than it has"
)]
pub fn sample(id: &str) -> f64 {
    const STEPS: u64 = 1 << 32;
    (xxh3_64(id.as_bytes()) % STEPS) as f64 / STEPS as f64
}

/// Picks a route's service for a request by the services' weights; `sample` is in [0, 1).
#[must_use]
pub fn pick_service(route: &Route, sample: f64) -> Option<&str> {
    let weights = route.services.iter().map(|share| f64::from(share.weight));
    let mut left = sample * weights.sum::<f64>();
    for share in &route.services {
        left -= f64::from(share.weight);
        if left < 0.0 {
            return Some(&share.service);
        }
    }
    route.services.last().map(|share| share.service.as_str())
}

#[cfg(test)]
mod tests;
