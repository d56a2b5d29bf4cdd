//! Stand-ins for clients.

use crate::http::Connection;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};
use std::time::Duration;

/// The largest segment on an Ethernet link, which a loopback link exceeds forty times.
const ETHERNET_SEGMENT_BYTES: i32 = 1_448;

const AF_INET: i32 = 2;
const SOCK_STREAM_CLOEXEC: i32 = 1 | 0o2_000_000;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
    fn bind(socket: i32, address: *const SocketAddress, size: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, size: u32) -> i32;
}

fn form(address: SocketAddr) -> SocketAddress {
    let IpAddr::V4(ip) = address.ip() else {
        panic!("only IPv4");
    };
    SocketAddress {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        ip: ip.octets(),
        zero: [0; 8],
    }
}

/// Connects from `source` with segments as on an Ethernet link and a receive buffer of a size.
pub fn connect_as_over_ethernet(
    source: IpAddr,
    to: SocketAddr,
    receive_bytes: i32,
) -> io::Result<Connection> {
    let size = std::mem::size_of::<SocketAddress>() as u32;
    // SAFETY: the calls get a valid descriptor and pointers to values that outlive them; the
    // descriptor is owned by the stream from its creation on.
    let stream = unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        let options = [
            (IPPROTO_TCP, TCP_MAXSEG, ETHERNET_SEGMENT_BYTES),
            (SOL_SOCKET, SO_RCVBUF, receive_bytes),
        ];
        for (level, name, value) in &options {
            if setsockopt(stream.as_raw_fd(), *level, *name, value, 4) != 0 {
                return Err(io::Error::last_os_error());
            }
        }
        let own = form(SocketAddr::new(source, 0));
        if bind(stream.as_raw_fd(), &own, size) != 0
            || connect(stream.as_raw_fd(), &form(to), size) != 0
        {
            return Err(io::Error::last_os_error());
        }
        stream
    };
    Ok(Connection::new(stream))
}

/// Reads until `size` bytes have come, at most `bytes_per_s`, or the connection ends; returns how
/// much came. The time limit is the caller's.
pub fn read_slowly(
    connection: &mut Connection,
    size: usize,
    bytes_per_s: usize,
    limit: Duration,
) -> usize {
    let began_at = std::time::Instant::now();
    let mut came = connection.buffer.len();
    while came < size && began_at.elapsed() < limit {
        let due = (began_at.elapsed().as_secs_f64() * bytes_per_s as f64) as usize;
        if came > due {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        }
        connection.buffer.clear();
        match connection.fill() {
            Ok(0) | Err(_) => break,
            Ok(more) => came += more,
        }
    }
    came
}
