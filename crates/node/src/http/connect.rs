//! The client's connections, each of which accepts a bounded number of bytes in answer to a request.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use link::inbound::Allowance;
use link::inbound::Renewal;
use link::inbound::Stream;
use tower_service::Service;
use wire::frame;

/// The most bytes of an answer, with its head and framing: four times the longest message between VMs,
/// which is longer than any answer of an endpoint.
const MAX_ANSWER_BYTES: u64 = 4 * frame::MAX_BODY as u64;

/// Makes the connections.
#[derive(Clone, Debug)]
pub struct Connector(HttpConnector);

impl Connector {
    /// Creates a connector that gives an attempt up after `timeout`.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        Self(connector)
    }
}

impl Service<Uri> for Connector {
    type Response = TokioIo<Stream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, address: Uri) -> Self::Future {
        let connecting = self.0.call(address);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            let allowance = Allowance::new(MAX_ANSWER_BYTES);
            Ok(TokioIo::new(Stream::new(
                stream,
                allowance,
                Renewal::WithEachWrite,
            )))
        })
    }
}
