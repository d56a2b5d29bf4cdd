//! Runs a store, an instance list and upstreams on loopback, to try foxtide by hand.
//!
//!     cargo run -p foxtide-testing --example stand_ins -- --store-port 8500 --upstreams 4
//!
//! Prints the name and address of each server on a line and runs until it is stopped.

use argh::FromArgs;
use foxtide_testing::{
    InstanceListOptions,
    InstanceListServer,
    ServiceTime,
    StoreOptions,
    StoreServer,
    UpstreamOptions,
    UpstreamServer, //
};
use std::net::{
    Ipv4Addr,
    SocketAddr, //
};
use std::time::Duration;

/// Runs test servers that simulate the platform on loopback.
#[derive(FromArgs)]
struct Arguments {
    /// port of the store; 0, the default, selects a free port
    #[argh(option, default = "0")]
    store_port: u16,
    /// port of the instance list; 0, the default, selects a free port
    #[argh(option, default = "0")]
    instance_list_port: u16,
    /// number of upstreams; 3 by default
    #[argh(option, default = "3")]
    upstreams: u16,
    /// port of the first upstream, followed by the others; 0, the default,
    /// selects free ports
    #[argh(option, default = "0")]
    first_upstream_port: u16,
    /// slots of each upstream; 4 by default
    #[argh(option, default = "4")]
    slots: u32,
    /// mean of the exponential service time in milliseconds; 5 by default
    #[argh(option, default = "5")]
    service_time_ms: u64,
}

fn loopback(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

async fn start_upstream(arguments: &Arguments, number: u16) -> anyhow::Result<UpstreamServer> {
    let port = match arguments.first_upstream_port {
        0 => 0,
        first => first + number,
    };
    let mean = Duration::from_millis(arguments.service_time_ms);
    let options = UpstreamOptions {
        address: loopback(port),
        name: format!("upstream-{number}"),
        slots: arguments.slots,
        service_time: ServiceTime::Exponential { mean },
        seed: u64::from(number),
        ..Default::default()
    };
    Ok(UpstreamServer::start(options).await?)
}

fn main() -> anyhow::Result<()> {
    env_logger::init();
    let arguments: Arguments = argh::from_env();
    smol::block_on(async {
        let store = StoreServer::start(StoreOptions {
            address: loopback(arguments.store_port),
            ..Default::default()
        });
        let store = store.await?;
        println!("store {}", store.address());
        let list = InstanceListServer::start(InstanceListOptions {
            address: loopback(arguments.instance_list_port),
            ..Default::default()
        });
        let list = list.await?;
        println!("instance-list {}", list.address());
        let mut upstreams = Vec::new();
        for number in 0..arguments.upstreams {
            let upstream = start_upstream(&arguments, number).await?;
            println!("upstream-{number} {}", upstream.address());
            upstreams.push(upstream);
        }
        std::future::pending::<()>().await;
        Ok(())
    })
}
