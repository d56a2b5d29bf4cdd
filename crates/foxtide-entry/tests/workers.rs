//! Worker pool.

use foxtide_entry::Workers;

#[test]
fn verify_a_panic_in_a_task_ends_no_worker() {
    let workers = Workers::start(1).unwrap();
    workers.spawn(async { panic!("induced") }).detach();
    let after = workers.spawn(async { 7 });
    assert_eq!(smol::block_on(after), 7);
}
