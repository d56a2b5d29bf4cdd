//! The metrics of an instance, as text over HTTP.

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

/// The longest head of a question for metrics.
const HEAD_MAX_BYTES: usize = 8 * 1_024;

/// How long one who asks may take.
const EXCHANGE_TIME: Duration = Duration::from_secs(3);

/// How often the samples of histograms are taken in; until then each sample
/// takes memory.
const UPKEEP_PERIOD: Duration = Duration::from_secs(5);

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
/// Fails where the address cannot be bound.
pub(super) fn bind_metrics(address: SocketAddr) -> Result<MetricsListener> {
    let step = || format!("bind {address} for metrics");
    let socket = Async::<TcpListener>::bind(address).with_context(step)?;
    let address = socket.get_ref().local_addr().with_context(step)?;
    Ok(MetricsListener { socket, address })
}

impl MetricsListener {
    /// Returns the address that is bound.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves metrics for as long as the future is run.
    pub(super) async fn serve(self) {
        let handle = telemetry::start_metrics();
        let upkeep = async {
            loop {
                Timer::after(UPKEEP_PERIOD).await;
                handle.run_upkeep();
            }
        };
        or(accept(self.socket, handle.clone()), upkeep).await;
    }
}

/// Answers one question after the other; there is one who asks.
async fn accept(listener: Async<TcpListener>, handle: PrometheusHandle) {
    loop {
        match listener.accept().await {
            Ok((socket, peer)) => {
                let answering = answer(BufferedStream::new(socket), &handle);
                let late = async {
                    Timer::after(EXCHANGE_TIME).await;
                    Err(MessageError::Truncated)
                };
                if let Err(error) = or(answering, late).await {
                    log::debug!("metrics were not served to {peer}: {error}");
                }
            }
            Err(error) => {
                log::debug!("no question for metrics was accepted: {error}");
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
