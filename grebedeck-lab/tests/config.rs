//! Configuration changes with real entries and agents when the store loses answers, is down or is
//! slow, and when operators submit conflicting changes.

use std::collections::BTreeMap;
use std::time::Duration;

use grebedeck::command::client::OperatorClient;
use grebedeck_config::{AcceptResult, Change, Organisation};
use grebedeck_lab::caller::Caller;
use grebedeck_lab::platform::TableFaults;
use grebedeck_lab::site::{Site, SiteOptions};

async fn site() -> Site {
    Site::start(&SiteOptions { groups: 0, ..SiteOptions::default() }).await.unwrap()
}

fn add_organisation(id: &str, name: &str) -> Change {
    let labels = BTreeMap::from([("tier".to_string(), "gold".to_string())]);

    Change {
        id: id.to_string(),
        organisations: BTreeMap::from([(
            name.to_string(),
            Some(Organisation { labels: labels.into() }),
        )]),
        ..Change::default()
    }
}

async fn apply_at(address: std::net::SocketAddr, change: &Change) -> AcceptResult {
    let client = OperatorClient::new(address);
    let answer = client.post("/config/changes", serde_json::to_vec(change).unwrap()).await.unwrap();

    answer.parse().unwrap()
}

#[test]
fn a_change_is_applied_once_if_the_stores_answer_is_lost_and_the_change_repeated() {
    async_std::task::block_on(async {
        let site = site().await;
        site.platform.set_faults(TableFaults { lose_answers: 1, ..TableFaults::default() });
        let change = add_organisation("add-tailspin", "tailspin");

        assert_eq!(site.apply(&change).await.unwrap(), 2);
        assert_eq!(site.apply(&change).await.unwrap(), 2);
        site.wait_in_force(2).await.unwrap();

        let caller = Caller::new(site.entry_addresses()[1], "tailspin", "roster");
        assert_eq!(caller.get("/").await.unwrap().status, 200);
        site.stop().await;
    });
}

#[test]
fn one_of_two_concurrent_changes_of_the_same_revision_is_refused() {
    async_std::task::block_on(async {
        let site = site().await;
        let change_of_first_revision = |n: usize| Change {
            base_revision: Some(1),
            ..add_organisation(&format!("race-{n}"), &format!("racer-{n}"))
        };
        let addresses: Vec<_> =
            site.entries.iter().map(|e| e.settings.common.operator_address).collect();
        let (first, second) = futures::join!(
            async { apply_at(addresses[0], &change_of_first_revision(0)).await },
            async { apply_at(addresses[1], &change_of_first_revision(1)).await }
        );

        let refused: Vec<_> = [&first, &second]
            .into_iter()
            .filter_map(|r| match r {
                AcceptResult::Refused(faults) => Some(faults.to_string()),
                _ => None,
            })
            .collect();
        assert_eq!(refused.len(), 1, "{first:?} {second:?}");
        assert!(refused[0].contains("base_revision"), "{refused:?}");
        site.wait_in_force(2).await.unwrap();
        assert!(site.revisions().iter().all(|r| *r == 2), "{:?}", site.revisions());
        site.stop().await;
    });
}

#[test]
fn requests_are_served_and_changes_refused_while_the_store_is_down() {
    async_std::task::block_on(async {
        let site = site().await;
        site.platform.set_faults(TableFaults { down: true, ..TableFaults::default() });
        let change = add_organisation("while-away", "tailspin");

        let result = apply_at(site.operator_address(), &change).await;
        assert!(matches!(result, AcceptResult::Refused(_)), "{result:?}");
        let caller = Caller::new(site.entry_addresses()[0], "northwind", "roster");
        assert_eq!(caller.get("/").await.unwrap().status, 200);

        site.platform.set_faults(TableFaults::default());
        assert_eq!(site.apply(&change).await.unwrap(), 2);
        site.stop().await;
    });
}

#[test]
fn a_new_entry_gets_the_configuration_from_peers_while_the_store_is_down() {
    async_std::task::block_on(async {
        let mut site = site().await;
        site.apply(&add_organisation("second", "tailspin")).await.unwrap();
        site.wait_in_force(2).await.unwrap();
        site.platform.set_faults(TableFaults { down: true, ..TableFaults::default() });

        site.start_entry(2, &SiteOptions::default()).await.unwrap();
        site.wait_in_force(2).await.unwrap();

        let caller = Caller::new(*site.entry_addresses().last().unwrap(), "tailspin", "roster");
        assert_eq!(caller.get("/").await.unwrap().status, 200);
        site.stop().await;
    });
}

#[test]
fn a_slow_store_does_not_delay_requests() {
    async_std::task::block_on(async {
        let site = site().await;
        let slow = Duration::from_secs(30);
        site.platform.set_faults(TableFaults { delay: slow, ..TableFaults::default() });
        let caller = Caller::new(site.entry_addresses()[0], "northwind", "roster");

        // The calls would take far too long if each waited for the store.
        for _ in 0..200 {
            assert_eq!(caller.get("/").await.unwrap().status, 200);
        }

        site.stop().await;
    });
}
