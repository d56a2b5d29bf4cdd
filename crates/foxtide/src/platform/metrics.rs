//! Serves the metrics of an instance as text over HTTP.

use crate::telemetry;
use anyhow::{
    Context,
    Result, //
};
use foxtide_http::{
    BufferedStream,
    ForwardedRequest,
    MessageError,
    read_head, //
};
use metrics_exporter_prometheus::PrometheusHandle;
use smol::future::or;
use smol::{
    Async,
    Timer, //
};
use std::net::{
    SocketAddr,
    TcpListener, //
};
use std::time::Duration;

const PATH: &str = "/metrics";

/// Maximum size of a request head.
const HEAD_MAX_BYTES: usize = 8 * 1_024;

/// Maximum time to receive and answer a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// How often histogram samples are aggregated, which frees their memory.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// The bound listener for metrics.
#[derive(Debug)]
pub(super) struct MetricsListener {
    socket: Async<TcpListener>,
    address: SocketAddr,
}

/// Binds the listener for metrics.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(super) fn bind_metrics(address: SocketAddr) -> Result<MetricsListener> {
    let step = || format!("bind {address} for metrics");
    let socket = Async::<TcpListener>::bind(address).with_context(step)?;
    let address = socket.get_ref().local_addr().with_context(step)?;
    Ok(MetricsListener { socket, address })
}

impl MetricsListener {
    /// Returns the bound address.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves metrics until the future is dropped.
    pub(super) async fn serve(self) {
        let handle = telemetry::start_metrics();
        let upkeep = async {
            loop {
                Timer::after(UPKEEP_INTERVAL).await;
                handle.run_upkeep();
            }
        };
        or(accept(self.socket, handle.clone()), upkeep).await;
    }
}

/// Serves connections sequentially; only one scraper is expected.
async fn accept(listener: Async<TcpListener>, handle: PrometheusHandle) {
    loop {
        match listener.accept().await {
            Ok((socket, peer)) => {
                let answering = answer(BufferedStream::new(socket), &handle);
                let timeout = async {
                    Timer::after(REQUEST_TIMEOUT).await;
                    Err(MessageError::Truncated)
                };
                if let Err(error) = or(answering, timeout).await {
                    log::debug!("cannot serve metrics to {peer}: {error}");
                }
            }
            Err(error) => {
                log::debug!("cannot accept a connection for metrics: {error}");
                Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn answer(mut stream: BufferedStream, handle: &PrometheusHandle) -> Result<(), MessageError> {
    let Some(bytes) = read_head(&mut stream, HEAD_MAX_BYTES).await? else {
        return Ok(());
    };
    let request = ForwardedRequest::parse(&bytes)?;
    let (status, body) = match request.path() {
        PATH => ("200 OK", handle.render()),
        _ => ("404 Not Found", String::new()),
    };
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: text/plain; version=0.0.4\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    stream.shutdown_write();
    Ok(())
}
