//! Requests run at most once when instances are killed, replaced or paused.

mod processes;

use foxtide_core::idempotency::IdempotencyKey;
use foxtide_core::time::WallTime;
use foxtide_testing::{
    Availability,
    HttpAnswer,
    ServiceTime, //
};
use processes::{
    InstanceProcess,
    Platform,
    send_notice,
    wait_for, //
};
use std::time::{
    Duration,
    SystemTime, //
};

/// Long enough to kill a process while a request runs.
const SLOW_SERVICE_TIME: ServiceTime = ServiceTime::Fixed(Duration::from_secs(2));

async fn mint_key(instance: &InstanceProcess) -> String {
    let owner = instance.owner().await.parse().unwrap();
    let since_epoch = SystemTime::UNIX_EPOCH.elapsed().unwrap();
    let now = WallTime::ZERO + since_epoch;
    IdempotencyKey::mint(owner, now, [7; 10]).to_string()
}

fn outcome(answer: &HttpAnswer) -> Option<&str> {
    answer.header("foxtide-outcome")
}

async fn wait_for_run(platform: &Platform, key: &str) {
    wait_for("the request to run", || async {
        (platform.upstream.runs_of(key) == 1).then_some(())
    })
    .await;
}

/// Sends a notice until the response is not a redirect.
async fn send_until_final(instance: &InstanceProcess, key: &str) -> HttpAnswer {
    wait_for("a response that is not a redirect", || async {
        let answer = send_notice(instance.caller, key.to_owned()).await;
        answer.filter(|answer| answer.status != 307)
    })
    .await
}

#[test]
fn verify_a_retry_elsewhere_reaches_the_owner_while_the_store_is_down() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let first = InstanceProcess::start("khomas-1", &platform, &[]).await;
        let second = InstanceProcess::start("khomas-2", &platform, &[first.peer]).await;
        platform
            .store
            .set_availability(Availability::Refusing)
            .await;
        let key = mint_key(&first).await;
        let response = send_notice(first.caller, key.clone()).await.unwrap();
        assert_eq!(response.status, 200, "{response:?}");
        let elsewhere = wait_for("a redirect from the second instance", || async {
            let answer = send_notice(second.caller, key.clone()).await;
            answer.filter(|answer| answer.status == 307)
        })
        .await;
        let expected = format!("http://{}/hamutenya/notices/new", first.caller);
        assert_eq!(elsewhere.header("location"), Some(expected.as_str()));
        let again = send_notice(first.caller, key.clone()).await.unwrap();
        assert_eq!(outcome(&again), Some("done"));
        assert_eq!(again.body, response.body);
        assert_eq!(platform.upstream.runs_of(&key), 1);
    });
}

#[test]
fn verify_a_request_runs_once_when_its_instance_is_killed() {
    smol::block_on(async {
        let platform = Platform::start().await;
        platform.upstream.set_service_time(SLOW_SERVICE_TIME);
        let mut first = InstanceProcess::start("khomas-3", &platform, &[]).await;
        let second = InstanceProcess::start("khomas-4", &platform, &[first.peer]).await;
        let key = mint_key(&first).await;
        let request = smol::spawn(send_notice(first.caller, key.clone()));
        wait_for_run(&platform, &key).await;
        first.kill();
        assert!(
            request.await.is_none(),
            "the killed process must not answer"
        );
        let elsewhere = send_until_final(&second, &key).await;
        assert_eq!(outcome(&elsewhere), Some("unknown"), "{elsewhere:?}");
        first.replace(&platform, &[second.peer]).await;
        let replaced = send_until_final(&first, &key).await;
        assert_eq!(outcome(&replaced), Some("unknown"), "{replaced:?}");
        assert_eq!(platform.upstream.runs_of(&key), 1);
    });
}

#[test]
fn verify_a_resumed_instance_does_not_run_a_request_twice() {
    smol::block_on(async {
        let platform = Platform::start().await;
        platform.upstream.set_service_time(SLOW_SERVICE_TIME);
        let first = InstanceProcess::start("khomas-5", &platform, &[]).await;
        let second = InstanceProcess::start("khomas-6", &platform, &[first.peer]).await;
        let key = mint_key(&first).await;
        let request = smol::spawn(send_notice(first.caller, key.clone()));
        wait_for_run(&platform, &key).await;
        first.pause();
        let meanwhile = send_until_final(&second, &key).await;
        assert_eq!(outcome(&meanwhile), Some("unknown"), "{meanwhile:?}");
        first.resume();
        let response = request.await.unwrap();
        assert_eq!(response.status, 200, "{response:?}");
        let again = send_notice(first.caller, key.clone()).await.unwrap();
        assert_eq!(outcome(&again), Some("done"));
        assert_eq!(platform.upstream.runs_of(&key), 1);
    });
}
