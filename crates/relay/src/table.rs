//! The routes in force, looked up by host and path.

use std::sync::Arc;

use adapter::config::Config;
use adapter::config::Engine;
use adapter::config::Route;
use adapter::config::Service;

/// One version of the configuration, ready for look-ups.
#[derive(Debug, Default)]
pub struct Table {
    /// The version.
    pub version: u64,
    /// Whether a configuration has been read at all.
    pub loaded: bool,
    /// How long a client's connection may stay idle, in milliseconds.
    pub idle_ms: u64,
    /// The largest body in bytes.
    pub body_bytes: usize,
    /// The document as it was read, for other VMs.
    pub document: Vec<u8>,
    /// In the order of host and prefix.
    routes: Vec<Arc<Route>>,
    /// In the order of their names.
    services: Vec<Service>,
}

impl Table {
    /// Builds the table of a configuration.
    #[must_use]
    pub fn new(config: Config, document: &[u8]) -> Self {
        let mut routes: Vec<Arc<Route>> = config.routes.into_iter().map(Arc::new).collect();
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        let mut services = config.services;
        services.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            version: config.version,
            loaded: true,
            idle_ms: config.idle.as_u64(),
            body_bytes: config.body_bytes,
            document: document.to_vec(),
            routes,
            services,
        }
    }

    /// Finds the route with the longest prefix of the path, among those of the host.
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

    /// Finds a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name));
        found.ok().map(|at| &self.services[at])
    }

    /// Yields what a service's engines can do.
    #[must_use]
    pub fn engine(&self, service: &str) -> Option<Engine> {
        self.service(service)?.engine
    }

    /// Yields how much memory a service's engines have, in tokens; 0 for plain services and unknown
    /// ones.
    #[must_use]
    pub fn memory_tokens(&self, service: &str) -> u64 {
        let engine = self.engine(service);
        engine.map_or(0, |engine| engine.memory_tokens)
    }

    /// Tells whether any route takes turns, which need the VMs with a disk.
    #[must_use]
    pub fn has_streams(&self) -> bool {
        let stream = |route: &Arc<Route>| route.kind == adapter::config::Kind::Stream;
        self.routes.iter().any(stream)
    }

    /// Yields all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter()
    }
}

/// Draws a route's service for a request by the services' weights; `sample` is in [0, 1).
#[must_use]
pub fn pick_service(route: &Route, sample: f64) -> Option<&str> {
    let total: u32 = route.services.iter().map(|share| share.weight).sum();
    let mut left = sample * f64::from(total);
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
