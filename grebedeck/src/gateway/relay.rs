//! Reads the store through a relay, and relays it to other gateways.
//!
//! [`RelayedStore`] implements the store's interface. It reads from the source that
//! [`RelaySelector`] selects: another gateway (the relay) or the store itself. What it reads from
//! the store is buffered in feeds, which answer the gateways that follow this one. A watch of a
//! relay waits for a change, as a watch of the store does. A relay whose own call to the store
//! failed answers with an error at once, so that its followers switch to another source without
//! delay.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use event_listener::Event;
use futures::FutureExt;
use grebedeck_core::digest::{Digest, digest};
use grebedeck_core::error::platform_error;
use grebedeck_core::{Error, Moment, Result, UnixMs};
use grebedeck_gateway::source::{QuarantineEntry, QuarantineListing};
use grebedeck_gateway::{
    ApplyChange, Feed, FeedState, GatewayEntry, GatewayListing, OperatorChange, OperatorState,
    RelayOptions, RelaySelector, SiteStore, Snapshot, Source, StoreVersion, TargetChange,
    TargetListing, Watched,
};
use grebedeck_http::{Client, RequestHead};
use grebedeck_kernel::log;
use grebedeck_net::codec::{PREFIX_BYTES, decode, encode};
use grebedeck_routing::Fingerprint;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::options::GatewaySettings;
use super::service::Gateway;
use crate::pages::Page;

const OPERATOR_PATH: &str = "/peer/operator";
const TARGETS_PATH: &str = "/peer/targets";
const GATEWAYS_PATH: &str = "/peer/gateways";
const QUARANTINE_PATH: &str = "/peer/quarantine";
/// Timeout for connecting to a relay and for pauses within a response, and grace time for a
/// response to begin after the requested wait.
const RELAY_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a relay that has read nothing yet lets followers wait: longer than a slow store
/// takes to answer or to time out.
const FIRST_READ_WAIT: Duration = Duration::from_millis(800);
/// Maximum number of relays to try before the store, as missed changes must be found soon.
const MAX_RELAY_ATTEMPTS: usize = 2;
/// Time for which a starting gateway waits for the list of gateways.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(1500);
/// HTTP status of a response without a newer version.
const UNCHANGED_STATUS: u16 = 204;

/// Response of a relay.
#[derive(Debug, Serialize, Deserialize)]
struct Relayed<T> {
    /// Time since the store confirmed the value.
    age: Duration,
    value: T,
}

/// Buffered contents of the store for followers, and the source that this gateway follows itself.
pub struct RelayState {
    relays: RefCell<RelaySelector<SocketAddr>>,
    operator: RefCell<Feed<OperatorState>>,
    targets: RefCell<Feed<TargetListing>>,
    gateways: RefCell<Option<(Digest, GatewayListing)>>,
    /// Notified when a feed changes.
    changed: Event,
    /// Notified when a follower waits for this gateway, which must then read the store.
    follower_waiting: Event,
    /// Notified when the first read of the list of gateways has succeeded or failed.
    listed: Event,
    is_listed: Cell<bool>,
    /// Whether the stored quarantine has been read.
    is_quarantine_known: Cell<bool>,
    /// Time since the store confirmed the operator state, as of the source's last response.
    operator_age: Cell<Duration>,
    /// Source that was selected last.
    followed: RefCell<Source<SocketAddr>>,
}

impl RelayState {
    /// Creates the state of a gateway that knows no others.
    pub fn new(own: SocketAddr) -> Self {
        RelayState {
            relays: RefCell::new(RelaySelector::new(own, RelayOptions::default())),
            operator: RefCell::default(),
            targets: RefCell::default(),
            gateways: RefCell::default(),
            changed: Event::new(),
            follower_waiting: Event::new(),
            listed: Event::new(),
            is_listed: Cell::new(false),
            is_quarantine_known: Cell::new(false),
            operator_age: Cell::default(),
            followed: RefCell::new(Source::Store),
        }
    }

    /// Returns whether this gateway follows another one.
    pub fn follows_relay(&self) -> bool {
        matches!(*self.followed.borrow(), Source::Relay(_))
    }

    /// Returns whether others may follow this gateway.
    pub fn has_followers(&self) -> bool {
        self.relays.borrow().uses_relays()
    }

    /// Returns the time since the store confirmed the operator state.
    pub fn operator_age(&self) -> Duration {
        self.operator_age.get()
    }

    /// Memory of the feeds, for a dump.
    pub fn dump(&self) -> serde_json::Value {
        json!({
            "operator": self.operator.borrow().size(),
            "targets": self.targets.borrow().size(),
        })
    }

    /// Records that the stored quarantine has been read.
    pub fn set_quarantine_known(&self) {
        self.is_quarantine_known.set(true);
        self.changed.notify(usize::MAX);
    }

    /// Waits for the first list of gateways, for a limited time.
    pub async fn wait_for_gateways(&self) {
        let listed = self.listed.listen();

        if !self.is_listed.get() {
            let _ = timeout(FIRST_LIST_TIMEOUT, listed).await;
        }
    }

    /// Applies the list of gateways, or `None` if it could not be read. `is_last` tells whether the
    /// list is the last one read at the start. An earlier one that lacks this gateway may date from
    /// a simultaneous start of all gateways, which would then each derive another relay from it. In
    /// a hall with relays such a list is not used, and the next one is waited for.
    pub fn set_gateways(
        &self,
        own: &GatewayEntry,
        listing: Option<&GatewayListing>,
        is_last: bool,
    ) {
        if let Some(listing) = listing {
            let in_hall = listing.gateways.iter().filter(|other| other.info.hall == own.info.hall);
            let links = in_hall.map(|other| (other.info.peer_address, other.info.link_mbps));
            self.relays.borrow_mut().set_gateways(&own.info.hall, links);

            if !is_last && self.has_followers() && !listing.gateways.contains(own) {
                self.relays.borrow_mut().set_gateways(&own.info.hall, []);
                return;
            }
        }

        self.is_listed.set(true);
        self.listed.notify(usize::MAX);
    }

    /// Selects the source to read from, and logs when it changes.
    fn source(&self, now: Moment) -> Source<SocketAddr> {
        let source = self.relays.borrow().source(now);
        let before = self.followed.replace(source.clone());

        if before != source {
            let followed = match &source {
                Source::Store => "store".to_string(),
                Source::Relay(relay) => relay.to_string(),
            };
            log::info!("store source changed", kv: { followed });
        }

        source
    }

    /// Records a request of a follower. If it cannot be answered yet, this gateway is made to
    /// read the store.
    fn record_follower_request(&self, can_answer: bool, now: Moment) {
        self.relays.borrow_mut().record_follower(now);

        if !can_answer {
            self.follower_waiting.notify(usize::MAX);
        }
    }

    fn record_store_failure(&self, now: Moment) {
        self.relays.borrow_mut().record_store_failure(now);
        self.changed.notify(usize::MAX);
    }

    fn record_relay_failure(&self, relay: SocketAddr, error: &Error, now: Moment) {
        log::warn!("relay failed", kv: { relay = relay.to_string(), error = error.to_string() });
        self.relays.borrow_mut().record_relay_failure(&relay, now);
    }
}

/// State in the store that relays pass on.
trait Relayable:
    ApplyChange<Change: Serialize + DeserializeOwned> + Serialize + DeserializeOwned
{
    /// HTTP path at which relays serve the state.
    const PATH: &'static str;

    /// Returns the gateway's own feed of the state.
    fn feed(state: &RelayState) -> &RefCell<Feed<Self>>;

    /// Reads the state from the store.
    fn read<S: SiteStore>(store: &S) -> impl Future<Output = Result<Snapshot<Self>>>;

    /// Watches the store for changes of the state.
    fn watch<S: SiteStore>(
        store: &S,
        after: StoreVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched<Self::Change>>>;

    /// Maximum time for which a relay lets followers wait for a change, and itself waits for the
    /// store.
    fn relay_wait(settings: &GatewaySettings) -> Duration;

    /// Records the time since the store confirmed the last read.
    fn record_age(_state: &RelayState, _age: Duration) {}
}

impl Relayable for OperatorState {
    const PATH: &'static str = OPERATOR_PATH;

    fn feed(state: &RelayState) -> &RefCell<Feed<Self>> {
        &state.operator
    }

    async fn read<S: SiteStore>(store: &S) -> Result<Snapshot<Self>> {
        store.read_operator().await
    }

    async fn watch<S: SiteStore>(
        store: &S,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Watched<OperatorChange>> {
        store.watch_operator(after, wait).await
    }

    fn relay_wait(settings: &GatewaySettings) -> Duration {
        settings.operator_relay_wait()
    }

    fn record_age(state: &RelayState, age: Duration) {
        state.operator_age.set(age);
    }
}

impl Relayable for TargetListing {
    const PATH: &'static str = TARGETS_PATH;

    fn feed(state: &RelayState) -> &RefCell<Feed<Self>> {
        &state.targets
    }

    async fn read<S: SiteStore>(store: &S) -> Result<Snapshot<Self>> {
        store.read_targets().await
    }

    async fn watch<S: SiteStore>(
        store: &S,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Watched<TargetChange>> {
        store.watch_targets(after, wait).await
    }

    fn relay_wait(settings: &GatewaySettings) -> Duration {
        settings.targets_relay_wait()
    }
}

/// A store that is read through a relay where possible.
#[derive(Clone)]
pub struct RelayedStore<S> {
    gateway: Rc<Gateway>,
    store: S,
    clients: Rc<RefCell<HashMap<SocketAddr, Rc<Client>>>>,
}

impl<S: SiteStore> RelayedStore<S> {
    /// Creates the store of a gateway.
    pub fn new(gateway: Rc<Gateway>, store: S) -> Self {
        RelayedStore { gateway, store, clients: Rc::default() }
    }

    fn state(&self) -> &RelayState {
        &self.gateway.relay
    }

    /// Reads from relays if there are any, otherwise from the store.
    async fn read<T: DeserializeOwned>(
        &self,
        path: &str,
        read_store: impl AsyncFnOnce(&S) -> Result<T>,
    ) -> Result<Relayed<T>> {
        for _ in 0..MAX_RELAY_ATTEMPTS {
            let follower_waiting = self.state().follower_waiting.listen();
            let Source::Relay(relay) = self.state().source(self.gateway.now()) else {
                break;
            };
            let limit = FIRST_READ_WAIT + RELAY_TIMEOUT;
            let response = futures::select! {
                response = self.fetch(relay, path, limit).fuse() => response,
                // Prevents a deadlock of two gateways that follow each other while they start.
                () = follower_waiting.fuse() => continue,
            };

            match response {
                Ok(relayed) => return Ok(relayed),
                Err(error) => {
                    self.state().record_relay_failure(relay, &error, self.gateway.now());
                }
            }
        }

        self.gateway.counters.sources.add("store");
        let read = read_store(&self.store).await;

        if read.is_err() {
            self.state().record_store_failure(self.gateway.now());
        }

        Ok(Relayed { age: Duration::ZERO, value: read? })
    }

    async fn read_snapshot<T: Relayable>(&self) -> Result<Snapshot<T>> {
        let read_store = async |store: &S| {
            let read = T::read(store).await;
            let mut feed = T::feed(self.state()).borrow_mut();

            // The feed is filled even without followers, so that the first one is answered at once.
            match &read {
                Ok(snapshot) => feed.replace(snapshot.clone(), self.gateway.now()),
                Err(_) => feed.mark_stale(),
            }

            drop(feed);
            self.state().changed.notify(usize::MAX);
            read
        };
        let Relayed { age, value } = self.read(T::PATH, read_store).await?;
        T::record_age(self.state(), age);

        Ok(value)
    }

    async fn watch<T: Relayable>(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Watched<T::Change>> {
        match self.state().source(self.gateway.now()) {
            Source::Store => self.watch_store::<T>(after, wait).await,
            Source::Relay(relay) => Ok(self.watch_relay::<T>(relay, after, wait).await),
        }
    }

    async fn watch_store<T: Relayable>(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Watched<T::Change>> {
        let feed = T::feed(self.state());

        // A feed must begin with a snapshot.
        if feed.borrow().state() == FeedState::Empty {
            return Ok(Watched::HistoryGone);
        }

        let is_relay = self.state().has_followers();
        let relay_wait = T::relay_wait(&self.gateway.settings());
        let wait = if is_relay { wait.min(relay_wait) } else { wait };
        self.gateway.counters.sources.add("store");
        let watched = T::watch(&self.store, after, wait).await;

        match &watched {
            Ok(watched) => feed.borrow_mut().extend(watched, self.gateway.now()),
            Err(_) => {
                feed.borrow_mut().mark_stale();
                self.state().record_store_failure(self.gateway.now());
            }
        }

        self.state().changed.notify(usize::MAX);
        T::record_age(self.state(), Duration::ZERO);
        watched
    }

    /// Watches a relay. If that fails, the caller has to read a snapshot: changes of the next
    /// source may be old ones that this gateway missed.
    async fn watch_relay<T: Relayable>(
        &self,
        relay: SocketAddr,
        after: StoreVersion,
        wait: Duration,
    ) -> Watched<T::Change> {
        let follower_waiting = self.state().follower_waiting.listen();
        T::feed(self.state()).borrow_mut().clear();
        let wait = wait.min(T::relay_wait(&self.gateway.settings()));
        let path = format!("{}?after={after}&wait_ms={}", T::PATH, wait.as_millis());
        let response = futures::select! {
            response = self.fetch(relay, &path, wait + RELAY_TIMEOUT).fuse() => response,
            // The follower waits until this gateway has read the store.
            () = follower_waiting.fuse() => return Watched::HistoryGone,
        };

        match response {
            Ok(Relayed { age, value }) => {
                T::record_age(self.state(), age);
                value
            }
            Err(error) => {
                self.state().record_relay_failure(relay, &error, self.gateway.now());
                Watched::HistoryGone
            }
        }
    }

    async fn fetch<T: DeserializeOwned>(
        &self,
        relay: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<Relayed<T>> {
        match self.fetch_if_changed(relay, path, limit).await? {
            Some(relayed) => Ok(relayed),
            None => platform_error(format!("relay {relay}: no answer to {path}")),
        }
    }

    async fn fetch_if_changed<T: DeserializeOwned>(
        &self,
        relay: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<Option<Relayed<T>>> {
        self.gateway.counters.sources.add("relay");
        let client = self.client(relay);
        let response = client
            .get(path, limit)
            .await
            .map_err(|e| Error::Platform(format!("relay {relay}: {e}")))?;

        match response.head.status {
            200 => Ok(Some(decode(&response.body)?)),
            UNCHANGED_STATUS => Ok(None),
            status => platform_error(format!("relay {relay}: status {status}")),
        }
    }

    fn client(&self, relay: SocketAddr) -> Rc<Client> {
        let mut clients = self.clients.borrow_mut();
        let client = clients.entry(relay);

        client.or_insert_with(|| Rc::new(Client::new(relay, RELAY_TIMEOUT))).clone()
    }

    /// Reads the list of gateways from a relay; the known list if the relay has the same one.
    async fn relayed_gateways(&self, relay: SocketAddr) -> Result<GatewayListing> {
        let known = self.state().gateways.borrow().as_ref().map_or(0, |(digest, _)| *digest);
        let path = format!("{GATEWAYS_PATH}?after={known}");
        let limit = RELAY_TIMEOUT;

        match self.fetch_if_changed::<GatewayListing>(relay, &path, limit).await? {
            Some(relayed) => Ok(relayed.value),
            None => {
                let gateways = self.state().gateways.borrow();
                Ok(gateways.as_ref().map(|(_, listing)| listing.clone()).unwrap_or_default())
            }
        }
    }
}

impl<S: SiteStore> SiteStore for RelayedStore<S> {
    async fn read_operator(&self) -> Result<Snapshot<OperatorState>> {
        self.read_snapshot().await
    }

    async fn watch_operator(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Watched<OperatorChange>> {
        self.watch::<OperatorState>(after, wait).await
    }

    async fn read_targets(&self) -> Result<Snapshot<TargetListing>> {
        self.read_snapshot().await
    }

    async fn watch_targets(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Watched<TargetChange>> {
        self.watch::<TargetListing>(after, wait).await
    }

    async fn publish(&self, gateway: &GatewayEntry) -> Result<()> {
        self.gateway.counters.sources.add("store");
        self.store.publish(gateway).await
    }

    async fn read_gateways(&self) -> Result<GatewayListing> {
        let relayed = match self.state().source(self.gateway.now()) {
            Source::Relay(relay) => self.relayed_gateways(relay).await.ok(),
            Source::Store => None,
        };
        let listing = match relayed {
            Some(listing) => listing,
            None => {
                self.gateway.counters.sources.add("store");
                self.store.read_gateways().await?
            }
        };
        let known = digest(&encode(&listing)?);
        *self.state().gateways.borrow_mut() = Some((known, listing.clone()));

        Ok(listing)
    }

    async fn read_quarantine(&self) -> Result<QuarantineListing> {
        let read_store = async |store: &S| store.read_quarantine().await;

        Ok(self.read(QUARANTINE_PATH, read_store).await?.value)
    }

    async fn quarantine(&self, entry: &QuarantineEntry) -> Result<()> {
        self.gateway.counters.sources.add("store");
        self.store.quarantine(entry).await
    }

    async fn release(&self, request: Fingerprint) -> Result<()> {
        self.gateway.counters.sources.add("store");
        self.store.release(request).await
    }
}

/// Answers a request of a follower; `None` if the path is not one of a relay.
pub async fn answer(gateway: &Gateway, request: &RequestHead, unix_ms: UnixMs) -> Option<Page> {
    let state = &gateway.relay;

    match request.path() {
        OPERATOR_PATH => Some(answer_feed::<OperatorState>(gateway, request).await),
        TARGETS_PATH => Some(answer_feed::<TargetListing>(gateway, request).await),
        GATEWAYS_PATH => Some(match &*state.gateways.borrow() {
            Some((known, _)) if query(request, "after") == Some(*known) => {
                Page::empty(UNCHANGED_STATUS)
            }
            Some((_, listing)) => page(Duration::ZERO, listing),
            None => Page::empty(503),
        }),
        QUARANTINE_PATH => Some(answer_quarantine(gateway, unix_ms).await),
        _ => None,
    }
}

async fn answer_quarantine(gateway: &Gateway, unix_ms: UnixMs) -> Page {
    let state = &gateway.relay;
    state.record_follower_request(state.is_quarantine_known.get(), gateway.now());
    let changed = async {
        while !state.is_quarantine_known.get() {
            state.changed.listen().await;
        }
    };

    if timeout(FIRST_READ_WAIT, changed).await.is_err() {
        return Page::empty(503);
    }

    let quarantine = gateway.quarantine.borrow();
    let entry = |(request, trials)| QuarantineEntry { request, trials, written_unix_ms: unix_ms };
    let entries = quarantine.entries().map(entry).collect();

    page(Duration::ZERO, &QuarantineListing { entries, unreadable: Vec::new() })
}

async fn answer_feed<T: Relayable>(gateway: &Gateway, request: &RequestHead) -> Page {
    let state = &gateway.relay;
    let wait = query(request, "wait_ms").map_or(FIRST_READ_WAIT, Duration::from_millis);
    let deadline =
        gateway.now() + wait.min(T::relay_wait(&gateway.settings()).max(FIRST_READ_WAIT));
    state.record_follower_request(
        T::feed(state).borrow().state() != FeedState::Empty,
        gateway.now(),
    );

    loop {
        let changed = state.changed.listen();
        let now = gateway.now();

        if let Some(page) = feed_page::<T>(gateway, query(request, "after"), now >= deadline) {
            return page;
        }

        // The feed is checked again after a change and at the deadline.
        let _ = timeout(deadline.saturating_sub(now), changed).await;
    }
}

/// Returns the response from a feed; `None` if there is no change and the deadline (`is_last`) has
/// not passed.
fn feed_page<T: Relayable>(
    gateway: &Gateway,
    after: Option<StoreVersion>,
    is_last: bool,
) -> Option<Page> {
    let feed = T::feed(&gateway.relay).borrow();
    let age = feed.age(gateway.now());
    // A process that was suspended may not have noticed yet that its watch has ended.
    let is_stale = age > gateway.settings().max_relay_age();

    let is_store_failing = gateway.relay.relays.borrow().is_store_failing(gateway.now());

    match feed.state() {
        FeedState::Empty if !is_last && !is_store_failing => return None,
        FeedState::Fresh if !is_stale => {}
        _ => return Some(Page::empty(503)),
    }

    match after.map(|after| feed.changes_after(after)) {
        None => feed.read().map(|snapshot| page(age, &snapshot)),
        Some(Watched::Quiet) if !is_last => None,
        Some(watched) => Some(page(age, &watched)),
    }
}

fn page<T: Serialize>(age: Duration, value: &T) -> Page {
    match encode(&Relayed { age, value }) {
        Ok(bytes) => Page::bytes(bytes[PREFIX_BYTES..].to_vec()),
        Err(error) => {
            log::error!("relay response not encoded", kv: { error = error.to_string() });
            Page::empty(500)
        }
    }
}

/// Parses a number in a request's query.
fn query(request: &RequestHead, name: &str) -> Option<u64> {
    let (_, query) = request.target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));

    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}
