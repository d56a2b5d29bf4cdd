//! Tests of accepting changes: conflicts and lost answers.

#[allow(dead_code)]
mod support;

use foxtide_config::change::{
    self,
    ChangeError, //
};
use foxtide_core::units::Revision;
use foxtide_testing::Availability;
use support::{
    LONG_TIMEOUT,
    SHORT_TIMEOUT,
    client,
    client_behind_proxy_dropping_one_request,
    create,
    document,
    load,
    organisation_id,
    request,
    server,
    set_deadline,
    with_deadline, //
};

#[test]
fn verify_an_accepted_change_raises_the_revision() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, LONG_TIMEOUT);
        let first = create(&store).await;
        assert_eq!(first.document.revision, Revision::new(1));
        let accepted = set_deadline(&store, &first, 0, 1_234).await.unwrap();
        assert!(!accepted.settled);
        let second = load(&store).await;
        assert_eq!(second.document, accepted.document);
        assert_eq!(second.document.revision, Revision::new(2));
        let history: Vec<u64> = second
            .document
            .history
            .iter()
            .map(|one| one.revision.get())
            .collect();
        assert_eq!(history, [1, 2]);
    });
}

#[test]
fn verify_a_conflict_contains_both_changes() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, LONG_TIMEOUT);
        let base = create(&store).await;
        set_deadline(&store, &base, 0, 1_111).await.unwrap();
        let error = set_deadline(&store, &base, 0, 2_222).await.unwrap_err();
        let ChangeError::Conflict(conflict) = error else {
            panic!("{error}");
        };
        let path = "services[viewer].contract.deadline_ms";
        assert_eq!(conflict.conflicting_paths, [path]);
        assert_eq!(conflict.theirs[0].after, Some(1_111.into()));
        assert_eq!(conflict.ours[0].after, Some(2_222.into()));
        assert_eq!(
            load(&store).await.document.services[0].contract.deadline_ms,
            1_111
        );
    });
}

#[test]
fn verify_changes_of_different_fields_can_be_rebased() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, LONG_TIMEOUT);
        let base = create(&store).await;
        set_deadline(&store, &base, 0, 1_111).await.unwrap();
        let ours = request(Some(base.clone()), with_deadline(&base, 1, 2_222));
        let accepted = change::accept_rebased(&store, ours).await.unwrap();
        assert_eq!(accepted.document.revision, Revision::new(3));
        let deadlines = |index: usize| accepted.document.services[index].contract.deadline_ms;
        assert_eq!((deadlines(0), deadlines(1)), (1_111, 2_222));
    });
}

#[test]
fn verify_changes_of_the_same_field_are_not_rebased() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, LONG_TIMEOUT);
        let base = create(&store).await;
        set_deadline(&store, &base, 0, 1_111).await.unwrap();
        let ours = request(Some(base.clone()), with_deadline(&base, 0, 2_222));
        let error = change::accept_rebased(&store, ours).await.unwrap_err();
        assert!(matches!(error, ChangeError::Conflict(_)), "{error}");
    });
}

#[test]
fn verify_a_lost_answer_is_settled_as_accepted() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, LONG_TIMEOUT);
        let base = create(&store).await;
        server.lose_answers(1);
        let accepted = set_deadline(&store, &base, 0, 1_234).await.unwrap();
        assert!(accepted.settled);
        assert_eq!(load(&store).await.document, accepted.document);
    });
}

#[test]
fn verify_a_lost_write_is_settled_by_writing_again() {
    smol::block_on(async {
        let server = server().await;
        let base = create(&client(&server, LONG_TIMEOUT)).await;
        let store = client_behind_proxy_dropping_one_request(&server).await;
        let accepted = set_deadline(&store, &base, 0, 1_234).await.unwrap();
        assert!(accepted.settled);
        let stored = load(&client(&server, LONG_TIMEOUT)).await;
        assert_eq!(stored.document, accepted.document);
        assert_eq!(stored.document.revision, Revision::new(2));
    });
}

#[test]
fn verify_a_lost_answer_is_settled_after_later_changes() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, LONG_TIMEOUT);
        let base = create(&store).await;
        // Another change follows before the writer reads the outcome.
        server.lose_answers(1);
        let writer = store.clone();
        let write = smol::spawn(async move { set_deadline(&writer, &base, 0, 1_234).await });
        let second = loop {
            let stored = load(&store).await;
            if stored.document.revision == Revision::new(2) {
                break stored;
            }
        };
        let third = set_deadline(&store, &second, 1, 2_222).await.unwrap();
        let accepted = write.await.unwrap();
        assert!(accepted.settled);
        assert_eq!(load(&store).await.document, third.document);
        assert_eq!(third.document.services[0].contract.deadline_ms, 1_234);
    });
}

#[test]
fn verify_an_unsettled_write_is_reported_and_can_be_repeated() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, SHORT_TIMEOUT);
        let working = client(&server, LONG_TIMEOUT);
        let base = create(&working).await;
        server.set_availability(Availability::Silent).await;
        let error = set_deadline(&store, &base, 0, 1_234).await.unwrap_err();
        assert!(matches!(error, ChangeError::Unsettled { .. }), "{error}");
        server.set_availability(Availability::Serving).await;
        let current = load(&working).await;
        let wanted = with_deadline(&current, 0, 1_234);
        change::accept(&working, request(Some(current), wanted))
            .await
            .unwrap();
        let again = load(&working).await;
        assert_eq!(again.document.services[0].contract.deadline_ms, 1_234);
    });
}

#[test]
fn verify_an_invalid_document_is_not_written() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, LONG_TIMEOUT);
        let mut broken = document();
        broken.services[0].contract.homes.pop();
        let error = change::accept(&store, request(None, broken))
            .await
            .unwrap_err();
        assert!(matches!(error, ChangeError::Invalid(_)), "{error}");
        assert_eq!(
            change::load(&store, &organisation_id()).await.unwrap(),
            None
        );
    });
}

#[test]
fn verify_the_history_is_bounded() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, LONG_TIMEOUT);
        let mut stored = create(&store).await;
        for round in 0..25 {
            set_deadline(&store, &stored, 0, 1_000 + round)
                .await
                .unwrap();
            stored = load(&store).await;
        }
        let history = &stored.document.history;
        assert_eq!(history.len(), foxtide_core::organisation::HISTORY_MAX);
        assert_eq!(
            history.last().map(|one| one.revision),
            Some(Revision::new(26))
        );
    });
}
