//! Delivers operating system signals through channels.

use signal_hook::consts::{
    SIGHUP,
    SIGINT,
    SIGTERM, //
};
use signal_hook::iterator::Signals;
use smol::channel::Receiver;
use std::io;
use std::thread;

/// The signals that stop an instance gracefully.
const STOP_SIGNALS: [i32; 2] = [SIGTERM, SIGINT];

/// Returns a channel that receives the number of each stop signal.
///
/// # Errors
///
/// Returns an error if the handlers or their thread cannot be set up.
pub fn stop_signals() -> io::Result<Receiver<i32>> {
    receive(&STOP_SIGNALS)
}

/// Returns a channel that receives the number of each reload signal.
///
/// # Errors
///
/// Returns an error in the same cases as [`stop_signals`].
pub fn reload_signals() -> io::Result<Receiver<i32>> {
    receive(&[SIGHUP])
}

fn receive(numbers: &[i32]) -> io::Result<Receiver<i32>> {
    let mut signals = Signals::new(numbers)?;
    let (sender, receiver) = smol::channel::unbounded();
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for signal in signals.forever() {
                if sender.send_blocking(signal).is_err() {
                    return;
                }
            }
        })?;
    Ok(receiver)
}
