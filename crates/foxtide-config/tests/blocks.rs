//! Tests of client blocks in the store: conflicts, lost answers and rewritten chunks.

#[allow(dead_code)]
mod support;

use foxtide_config::blocks::{
    self,
    BlocksChangeError,
    PublishedBlocks,
    StoredManifest, //
};
use foxtide_config::{
    BudgetOptions,
    BudgetedStore,
    Fleet,
    HttpStore,
    StoreBudget, //
};
use foxtide_core::blocks::{
    Block,
    CHUNK_PREFIX,
    ClientBlocks,
    Site,
    SiteTable, //
};
use foxtide_core::store::Store;
use foxtide_core::time::MonotonicTime;
use support::{
    LONG_TIMEOUT,
    client,
    server, //
};

fn sites() -> SiteTable {
    let site = |name: &str, region: &str| Site {
        site: name.parse().unwrap(),
        region: region.parse().unwrap(),
        alternatives: Vec::new(),
    };
    SiteTable::new(vec![site("windhoek", "khomas"), site("walvis", "erongo")]).unwrap()
}

fn block(net: &str, site: &str) -> Block {
    Block {
        net: net.parse().unwrap(),
        site: sites().index_of(&site.parse().unwrap()).unwrap(),
    }
}

async fn replace(store: &HttpStore) -> StoredManifest {
    let first = [block("10.0.0.0/8", "windhoek")];
    blocks::replace(store, None, sites(), &first).await.unwrap();
    stored(store).await
}

async fn stored(store: &HttpStore) -> StoredManifest {
    blocks::load_manifest(store).await.unwrap().unwrap()
}

async fn set(
    store: &HttpStore,
    base: &StoredManifest,
    net: &str,
) -> Result<PublishedBlocks, BlocksChangeError> {
    blocks::change(store, base, vec![block(net, "walvis")], Vec::new()).await
}

fn region(table: &ClientBlocks, client: &str) -> Option<String> {
    let site = table.site_of(client.parse().unwrap());
    site.map(|site| site.region.to_string())
}

#[test]
fn verify_a_changed_table_is_read_back() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, LONG_TIMEOUT);
        let base = replace(&store).await;
        let accepted = set(&store, &base, "10.1.0.0/16").await.unwrap();
        assert!(!accepted.settled);
        let manifest = stored(&store).await.manifest;
        assert_eq!(manifest, accepted.manifest);
        let table = blocks::load_table(&store, &manifest).await.unwrap();
        assert_eq!(table.revision(), 2);
        assert_eq!(region(&table, "10.1.2.3").as_deref(), Some("erongo"));
        assert_eq!(region(&table, "10.2.2.3").as_deref(), Some("khomas"));
    });
}

#[test]
fn verify_the_second_of_two_concurrent_changes_is_refused() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, LONG_TIMEOUT);
        let base = replace(&store).await;
        set(&store, &base, "10.1.0.0/16").await.unwrap();
        let error = set(&store, &base, "10.2.0.0/16").await.unwrap_err();
        assert_eq!(error, BlocksChangeError::Conflict { revision: 2 });
        assert_eq!(stored(&store).await.manifest.deltas.len(), 1);
    });
}

#[test]
fn verify_a_lost_answer_is_settled_by_reading() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, LONG_TIMEOUT);
        let base = replace(&store).await;
        server.lose_answers(1);
        let accepted = set(&store, &base, "10.1.0.0/16").await.unwrap();
        assert!(accepted.settled);
        assert_eq!(stored(&store).await.manifest.revision, 2);
    });
}

#[test]
fn verify_chunk_writes_with_lost_answers_are_repeated() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, LONG_TIMEOUT);
        server.set_answer_loss_probability(0.3);
        let first = [block("10.0.0.0/8", "windhoek")];
        let mut tries = 0;
        while blocks::replace(&store, None, sites(), &first)
            .await
            .is_err()
        {
            tries += 1;
            assert!(tries < 100, "never accepted");
            if blocks::load_manifest(&store)
                .await
                .is_ok_and(|it| it.is_some())
            {
                break;
            }
        }
        server.set_answer_loss_probability(0.0);
        let manifest = stored(&store).await.manifest;
        let table = blocks::load_table(&store, &manifest).await.unwrap();
        assert_eq!(region(&table, "10.1.2.3").as_deref(), Some("khomas"));
    });
}

#[test]
fn verify_many_changes_rewrite_the_chunks_and_delete_old_ones() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, LONG_TIMEOUT);
        let mut base = replace(&store).await;
        for number in 0..20 {
            set(&store, &base, &format!("10.{number}.0.0/16"))
                .await
                .unwrap();
            base = stored(&store).await;
            let chunks = store.list(CHUNK_PREFIX).await.unwrap().entries;
            assert_eq!(chunks.len(), base.manifest.chunks.len());
            blocks::load_table(&store, &base.manifest).await.unwrap();
        }
        assert!(base.manifest.base_revision > 1);
        assert_eq!(base.manifest.revision, 21);
    });
}

#[test]
fn verify_a_damaged_chunk_is_refused() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, LONG_TIMEOUT);
        let manifest = replace(&store).await.manifest;
        server.set_value(&manifest.chunks[0].key(), "not a chunk");
        let error = blocks::load_table(&store, &manifest).await.unwrap_err();
        assert!(matches!(error, BlocksChangeError::Blocks(_)), "{error}");
    });
}

#[test]
fn verify_a_load_waits_for_its_call_budget() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, LONG_TIMEOUT);
        let first = [
            block("10.0.0.0/8", "windhoek"),
            block("2001:db8::/32", "walvis"),
        ];
        blocks::replace(&store, None, sites(), &first)
            .await
            .unwrap();
        let manifest = stored(&store).await.manifest;
        assert_eq!(manifest.chunks.len(), 2);
        let options = BudgetOptions {
            fleet_reads_per_s: 4.0,
            ..BudgetOptions::default()
        };
        // A new bucket has one token, so reading the second chunk must wait.
        let budget = StoreBudget::new(options, Fleet::default(), MonotonicTime::ZERO);
        let budgeted = BudgetedStore::new(store, "store", budget);
        let table = blocks::load_table(&budgeted, &manifest).await.unwrap();
        assert_eq!(table.len(), 2);
    });
}
