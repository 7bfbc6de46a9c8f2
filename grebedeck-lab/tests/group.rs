//! Map switches of a group with real agents, also after the replacement of an agent.

use std::time::Duration;

use grebedeck_config::Change;
use grebedeck_lab::caller::Caller;
use grebedeck_lab::model::GroupOptions;
use grebedeck_lab::site::{Site, SiteOptions};
use serde_json::Value;

/// Maximum time to wait for a switch, which takes well under a second.
const SWITCH_TIMEOUT: Duration = Duration::from_secs(30);

async fn site() -> Site {
    let group = GroupOptions { shift_every: Duration::from_secs(3), ..GroupOptions::default() };
    let options = SiteOptions { groups: 1, plain_targets: 1, group, ..SiteOptions::default() };

    Site::start(&options).await.unwrap()
}

fn status(site: &Site, rank: usize) -> Value {
    let name = format!("summary-0-rank-{rank}");

    site.agents[&name].kernel.dump()["group"].clone()
}

/// Waits until all members use the same map and it satisfies the predicate.
async fn wait_for_map(site: &Site, is_expected: impl Fn(&Value) -> bool) -> Value {
    let start = std::time::Instant::now();

    loop {
        let maps: Vec<Value> =
            (0..4).map(|rank| status(site, rank)["switch"]["current"].clone()).collect();

        if maps.iter().all(|m| *m == maps[0] && !m.is_null() && is_expected(m)) {
            return maps[0].clone();
        }

        assert!(start.elapsed() < SWITCH_TIMEOUT, "{maps:?}");
        async_std::task::sleep(Duration::from_millis(20)).await;
    }
}

fn is_switched(map: &Value) -> bool {
    map["epoch"].as_u64() > Some(0)
}

#[test]
fn maps_change_as_popularity_shifts_without_disturbing_requests() {
    async_std::task::block_on(async {
        let site = site().await;
        let caller = Caller::new(site.entry_addresses()[0], "northwind", "summary");
        let stream = {
            let caller = caller.clone();
            async_std::task::spawn(async move { caller.get("/generate?tokens=600").await })
        };

        let first = wait_for_map(&site, is_switched).await;
        wait_for_map(&site, |map| *map != first && is_switched(map)).await;

        let answer = stream.await.unwrap();
        assert_eq!(answer.text().matches("data:").count(), 600);
        site.stop().await;
    });
}

#[test]
fn a_replacement_agent_joins_its_group_and_the_group_keeps_switching() {
    async_std::task::block_on(async {
        let mut site = site().await;
        let before = wait_for_map(&site, is_switched).await;

        let name = "summary-0-rank-2";
        let engine = site.servers[name].address;
        site.agents.remove(name).unwrap().stop().await;
        let target = site.start_agent(name, "hall-a", engine, true).await.unwrap();
        let target = grebedeck_config::Target {
            group: Some("summary-0".to_string()),
            ranks: vec![2],
            ..target
        };
        site.publish_instances();
        let mut change = Change { id: "replace".to_string(), ..Change::default() };
        change.targets.insert(name.to_string(), Some(target));
        site.apply(&change).await.unwrap();

        wait_for_map(&site, |map| *map != before && is_switched(map)).await;
        let rosters: Vec<Value> =
            (0..4).map(|rank| status(&site, rank)["switch"]["roster"].clone()).collect();
        assert!(rosters.iter().all(|r| *r == rosters[0]), "{rosters:?}");

        // The task of the stand-in panics if a step would run on two maps, which ends the steps.
        let steps = site.model_groups[0].take_stats().steps;
        async_std::task::sleep(Duration::from_millis(200)).await;
        assert!(site.model_groups[0].take_stats().steps > steps);
        site.stop().await;
    });
}
