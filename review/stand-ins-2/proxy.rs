//! A proxy that carries connections at the rate of a machine's link.

use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What is carried at once, so that connections take turns.
const PIECE_BYTES: usize = 4_096;

/// When one direction of the link is free again.
type FreeAt = Arc<Mutex<Instant>>;

/// Starts a proxy to an address; returns its own.
pub fn start(ip: IpAddr, to: SocketAddr, mbps: u64) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    let rate = mbps as f64 * 125_000.0;
    let (there, back): (FreeAt, FreeAt) = (free_now(), free_now());
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else {
                continue;
            };
            for (from, into, free_at) in [(&near, &far, &there), (&far, &near, &back)] {
                let (Ok(from), Ok(into)) = (from.try_clone(), into.try_clone()) else {
                    continue;
                };
                let free_at = Arc::clone(free_at);
                thread::spawn(move || carry(from, into, &free_at, rate));
            }
        }
    });
    Ok(address)
}

fn free_now() -> FreeAt {
    Arc::new(Mutex::new(Instant::now()))
}

fn carry(mut from: TcpStream, mut into: TcpStream, free_at: &FreeAt, bytes_per_s: f64) {
    let _ = into.set_nodelay(true);
    let mut piece = [0; PIECE_BYTES];
    while let Ok(size) = from.read(&mut piece) {
        if size == 0 {
            break;
        }
        let due = {
            let mut free_at = free_at.lock().unwrap();
            let time = Duration::from_secs_f64(size as f64 / bytes_per_s);
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if into.write_all(&piece[..size]).is_err() {
            break;
        }
    }
    let _ = into.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
