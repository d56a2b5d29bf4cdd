//! Identities of the requests that a connection has carried.

use foxtide_http::CarriedRequests;

/// Guards against a late second rejection that passes for the response to the retry, which waited
/// while the connection carried many other requests.
#[test]
fn verify_a_rejected_request_is_remembered_for_as_long_as_its_connection() {
    let mut carried = CarriedRequests::default();
    carried.record("rejected");
    carried.record_rejected("rejected");
    for number in 0..10_000 {
        carried.record(&format!("r-{number}"));
    }
    assert!(carried.contains("rejected"));
    assert!(
        !carried.contains("r-1"),
        "what was not rejected is not repeated"
    );
    assert!(carried.contains("r-9999"));
}

/// Guards against a memory that grows with each rejection on a connection.
#[test]
fn verify_a_connection_with_many_rejections_is_not_used_again() {
    let mut carried = CarriedRequests::default();
    let mut rejections = 0;
    while !carried.is_full() {
        carried.record_rejected(&format!("r-{rejections}"));
        rejections += 1;
        assert!(rejections < 10_000);
    }
    assert!((0..rejections).all(|number| carried.contains(&format!("r-{number}"))));
}
