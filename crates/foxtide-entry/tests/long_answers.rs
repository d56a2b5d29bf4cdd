//! Streamed answers, which exceed the buffer.

mod support;

use foxtide_core::units::ByteSize;
use foxtide_entry::{
    EntryOptions,
    Limits, //
};
use std::io::{
    Read,
    Write, //
};
use support::{
    Harness,
    RawUpstream,
    get,
    read_message, //
};

const BODY_BYTES: usize = 300_000;

fn small_buffer_options() -> EntryOptions {
    EntryOptions {
        limits: Limits {
            answer_buffer: ByteSize::from_kib(64),
            ..Limits::default()
        },
        ..EntryOptions::default()
    }
}

/// Starts a harness whose upstream sends `head`, `sent_bytes` of body and
/// `end`, then closes the connection.
fn harness(head: &'static str, sent_bytes: usize, end: &'static str) -> Harness {
    let upstream = RawUpstream::start(move |mut stream, _| {
        read_message(&mut stream);
        let body = "x".repeat(sent_bytes);
        let _ = stream.write_all(format!("{head}{body}{end}").as_bytes());
    });
    Harness::start_with(&[upstream.address], small_buffer_options())
}

/// Sends a request and reads until the connection closes.
fn read_until_close(harness: &Harness) -> String {
    let mut caller = harness.caller();
    caller.send(&get("/photo").replace("host: x", "host: x\r\nconnection: close"));
    let mut answer = String::new();
    let _ = caller.stream.read_to_string(&mut answer);
    answer
}

#[test]
fn verify_a_streamed_answer_arrives_complete() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 300000\r\n\r\n";
    let answer = read_until_close(&harness(head, BODY_BYTES, ""));
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    assert!(head.contains("content-length: 300000"), "{head}");
    assert_eq!(body.len(), BODY_BYTES);
}

#[test]
fn verify_a_chunked_streamed_answer_arrives_complete() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n493e0\r\n";
    let answer = read_until_close(&harness(head, BODY_BYTES, "\r\n0\r\n\r\n"));
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    assert!(head.contains("transfer-encoding: chunked"), "{head}");
    assert!(body.ends_with("\r\n0\r\n\r\n"), "the last chunk is missing");
    assert_eq!(body.matches('x').count(), BODY_BYTES);
}

#[test]
fn verify_a_truncated_streamed_answer_is_never_shown_as_complete() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 300000\r\n\r\n";
    let answer = read_until_close(&harness(head, BODY_BYTES / 2, ""));
    let (_, body) = answer.split_once("\r\n\r\n").unwrap();
    assert!(body.len() < BODY_BYTES);
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n493e0\r\n";
    let answer = read_until_close(&harness(head, BODY_BYTES, "\r\n"));
    assert!(
        !answer.ends_with("\r\n0\r\n\r\n"),
        "the truncated body looks complete"
    );
}
