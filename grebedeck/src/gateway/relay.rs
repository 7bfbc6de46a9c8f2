//! Following the store through a relay, and being one.
//!
//! [`RelayedStore`] stands in for the store: it asks whom [`RelaySelector`] names, and keeps what it reads from the store itself
//! in feeds, from which others are answered. A watch of a relay waits for a change as one of the store does. A relay whose
//! own call to the store has failed says so at once, so that its followers lose no time.

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

use super::options::GatewaySettings;
use super::service::Gateway;
use crate::pages::Page;

const OPERATOR_PATH: &str = "/peer/operator";
const TARGETS_PATH: &str = "/peer/targets";
const GATEWAYS_PATH: &str = "/peer/gateways";
const QUARANTINE_PATH: &str = "/peer/quarantine";
/// How long a connection to a relay may take to be made, how long an answer that has begun may pause, and how much later
/// than asked for it may begin.
const RELAY_LIMIT: Duration = Duration::from_millis(400);
/// How long a relay that has read nothing yet lets others wait for it: longer than a slow store takes to answer, or to
/// be given up.
const READ_WAIT: Duration = Duration::from_millis(800);
/// Relays that are asked before the store is: what was missed has to be known soon.
const MAX_RELAYS_ASKED: usize = 2;
/// How long a gateway waits at its start until it knows which others there are.
const FIRST_LIST_LIMIT: Duration = Duration::from_millis(1500);
/// Status of an answer that there is nothing newer.
const UNCHANGED: u16 = 204;

/// An answer of a relay.
#[derive(Debug, Serialize, Deserialize)]
struct Relayed<T> {
    /// How long ago the store confirmed it.
    age: Duration,
    value: T,
}

/// What a gateway has for others that follow it, and whom it follows itself.
pub struct RelayState {
    relays: RefCell<RelaySelector<SocketAddr>>,
    operator: RefCell<Feed<OperatorState>>,
    targets: RefCell<Feed<TargetListing>>,
    gateways: RefCell<Option<(Digest, GatewayListing)>>,
    /// Told when a feed changes.
    changed: Event,
    /// Told when another gateway asks this one, which is to read the store then.
    asked: Event,
    /// Told when the list of gateways was first read, or could not be.
    listed: Event,
    is_listed: Cell<bool>,
    /// Whether the quarantine that the store holds is known.
    is_quarantine_known: Cell<bool>,
    /// How long ago the store confirmed what operators have written, by the source's last answer.
    operator_age: Cell<Duration>,
    /// What was followed last.
    followed: RefCell<Source<SocketAddr>>,
}

impl RelayState {
    /// Makes the state of a gateway that knows no other.
    pub fn new(own: SocketAddr) -> Self {
        RelayState {
            relays: RefCell::new(RelaySelector::new(own, RelayOptions::default())),
            operator: RefCell::default(),
            targets: RefCell::default(),
            gateways: RefCell::default(),
            changed: Event::new(),
            asked: Event::new(),
            listed: Event::new(),
            is_listed: Cell::new(false),
            is_quarantine_known: Cell::new(false),
            operator_age: Cell::default(),
            followed: RefCell::new(Source::Store),
        }
    }

    /// Tells whether another gateway is followed.
    pub fn follows_relay(&self) -> bool {
        matches!(*self.followed.borrow(), Source::Relay(_))
    }

    /// Tells whether others may follow this gateway.
    pub fn has_followers(&self) -> bool {
        self.relays.borrow().uses_relays()
    }

    /// Gets how long ago the store confirmed what is known of what operators have written.
    pub fn operator_age(&self) -> Duration {
        self.operator_age.get()
    }

    /// Notes that the quarantine that the store holds is known.
    pub fn set_quarantine_known(&self) {
        self.is_quarantine_known.set(true);
        self.changed.notify(usize::MAX);
    }

    /// Waits until it is known which other gateways there are, or for as long as that is worth it.
    pub async fn wait_for_list(&self) {
        let listed = self.listed.listen();

        if !self.is_listed.get() {
            let _ = timeout(FIRST_LIST_LIMIT, listed).await;
        }
    }

    /// Takes in the list of gateways as it was read, where it could be. A list that lacks the gateway itself and is not
    /// the last one that it reads at its start may be one of a start of all: each would see other relays in it, so where
    /// there are any the next list is waited for.
    pub fn set_gateways(
        &self,
        own: &GatewayEntry,
        listing: Option<&GatewayListing>,
        is_last: bool,
    ) {
        if let Some(listing) = listing {
            let of_hall = listing.gateways.iter().filter(|other| other.info.hall == own.info.hall);
            let links = of_hall.map(|other| (other.info.peer_address, other.info.link_mbps));
            self.relays.borrow_mut().set_gateways(&own.info.hall, links);

            if !is_last && self.has_followers() && !listing.gateways.contains(own) {
                self.relays.borrow_mut().set_gateways(&own.info.hall, []);
                return;
            }
        }

        self.is_listed.set(true);
        self.listed.notify(usize::MAX);
    }

    /// Gets what to follow, and logs when that changes.
    fn source(&self, now: Moment) -> Source<SocketAddr> {
        let source = self.relays.borrow().source(now);
        let before = self.followed.replace(source.clone());

        if before != source {
            let followed = match &source {
                Source::Store => "store".to_string(),
                Source::Relay(relay) => relay.to_string(),
            };
            log::info!("source changed", kv: { followed });
        }

        source
    }

    /// Notes that another gateway asks this one, and has it read the store where it has no answer.
    fn record_ask(&self, has_answer: bool, now: Moment) {
        self.relays.borrow_mut().record_follower(now);

        if !has_answer {
            self.asked.notify(usize::MAX);
        }
    }

    fn record_store_failure(&self, now: Moment) {
        self.relays.borrow_mut().record_store_failure(now);
        self.changed.notify(usize::MAX);
    }

    fn record_relay_failure(&self, relay: SocketAddr, error: &Error, now: Moment) {
        log::warn!("relay lost", kv: { relay = relay.to_string(), error = error.to_string() });
        self.relays.borrow_mut().record_relay_failure(&relay, now);
    }
}

/// State that the store holds and that a relay passes on.
trait Followed:
    ApplyChange<Change: Serialize + DeserializeOwned> + Serialize + DeserializeOwned
{
    /// Where relays answer.
    const PATH: &'static str;

    /// Gets the gateway's own feed.
    fn feed(state: &RelayState) -> &RefCell<Feed<Self>>;

    /// Reads the store.
    fn read<S: SiteStore>(store: &S) -> impl Future<Output = Result<Snapshot<Self>>>;

    /// Watches the store.
    fn watch<S: SiteStore>(
        store: &S,
        after: StoreVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched<Self::Change>>>;

    /// Gets how long a relay lets its followers wait for a change, and waits for the store itself.
    fn relay_wait(settings: &GatewaySettings) -> Duration;

    /// Notes how long ago the store confirmed what was read last.
    fn record_age(_state: &RelayState, _age: Duration) {}
}

impl Followed for OperatorState {
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

impl Followed for TargetListing {
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

/// The store, or a relay that reads it.
#[derive(Clone)]
pub struct RelayedStore<S> {
    gateway: Rc<Gateway>,
    store: S,
    clients: Rc<RefCell<HashMap<SocketAddr, Rc<Client>>>>,
}

impl<S: SiteStore> RelayedStore<S> {
    /// Makes it for a gateway.
    pub fn new(gateway: Rc<Gateway>, store: S) -> Self {
        RelayedStore { gateway, store, clients: Rc::default() }
    }

    fn state(&self) -> &RelayState {
        &self.gateway.relay
    }

    /// Reads from relays where there are some, else from the store.
    async fn read<T: DeserializeOwned>(
        &self,
        path: &str,
        read_store: impl AsyncFnOnce(&S) -> Result<T>,
    ) -> Result<Relayed<T>> {
        for _ in 0..MAX_RELAYS_ASKED {
            let asked = self.state().asked.listen();
            let Source::Relay(relay) = self.state().source(self.gateway.now()) else {
                break;
            };
            let limit = READ_WAIT + RELAY_LIMIT;
            let answer = futures::select! {
                answer = self.ask(relay, path, limit).fuse() => answer,
                // Two that ask each other as they start would wait for each other.
                () = asked.fuse() => continue,
            };

            match answer {
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

    async fn read_whole<T: Followed>(&self) -> Result<Snapshot<T>> {
        let read_store = async |store: &S| {
            let read = T::read(store).await;
            let mut feed = T::feed(self.state()).borrow_mut();

            // Buffer also where nobody follows yet: who is asked for the first time has an answer at once.
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

    async fn watch<T: Followed>(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Watched<T::Change>> {
        match self.state().source(self.gateway.now()) {
            Source::Store => self.watch_store::<T>(after, wait).await,
            Source::Relay(relay) => Ok(self.watch_relay::<T>(relay, after, wait).await),
        }
    }

    async fn watch_store<T: Followed>(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Watched<T::Change>> {
        let feed = T::feed(self.state());

        // What others are to follow begins with the whole state.
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

    /// Watches a relay. Where that fails the state is read whole: how old a change is that comes from the next source
    /// is not known, as it may have been missed here.
    async fn watch_relay<T: Followed>(
        &self,
        relay: SocketAddr,
        after: StoreVersion,
        wait: Duration,
    ) -> Watched<T::Change> {
        let asked = self.state().asked.listen();
        T::feed(self.state()).borrow_mut().clear();
        let wait = wait.min(T::relay_wait(&self.gateway.settings()));
        let path = format!("{}?after={after}&wait_ms={}", T::PATH, wait.as_millis());
        let answer = futures::select! {
            answer = self.ask(relay, &path, wait + RELAY_LIMIT).fuse() => answer,
            // Whoever asks waits for this gateway to read the store.
            () = asked.fuse() => return Watched::HistoryGone,
        };

        match answer {
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

    async fn ask<T: DeserializeOwned>(
        &self,
        relay: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<Relayed<T>> {
        match self.ask_if_changed(relay, path, limit).await? {
            Some(relayed) => Ok(relayed),
            None => platform_error(format!("relay {relay}: no answer to {path}")),
        }
    }

    async fn ask_if_changed<T: DeserializeOwned>(
        &self,
        relay: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<Option<Relayed<T>>> {
        self.gateway.counters.sources.add("relay");
        let client = self.client(relay);
        let answer = client
            .get(path, limit)
            .await
            .map_err(|e| Error::Platform(format!("relay {relay}: {e}")))?;

        match answer.head.status {
            200 => Ok(Some(decode(&answer.body)?)),
            UNCHANGED => Ok(None),
            status => platform_error(format!("relay {relay}: status {status}")),
        }
    }

    fn client(&self, relay: SocketAddr) -> Rc<Client> {
        let mut clients = self.clients.borrow_mut();
        let client = clients.entry(relay);

        client.or_insert_with(|| Rc::new(Client::new(relay, RELAY_LIMIT))).clone()
    }

    /// Reads the list of gateways from a relay, if it has another one than this gateway.
    async fn relayed_gateways(&self, relay: SocketAddr) -> Result<GatewayListing> {
        let known = self.state().gateways.borrow().as_ref().map_or(0, |(digest, _)| *digest);
        let path = format!("{GATEWAYS_PATH}?after={known}");
        let limit = RELAY_LIMIT;

        match self.ask_if_changed::<GatewayListing>(relay, &path, limit).await? {
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
        self.read_whole().await
    }

    async fn watch_operator(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Watched<OperatorChange>> {
        self.watch::<OperatorState>(after, wait).await
    }

    async fn read_targets(&self) -> Result<Snapshot<TargetListing>> {
        self.read_whole().await
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

/// Answers a gateway that follows this one; `None` where the request is about something else.
pub async fn answer(gateway: &Gateway, request: &RequestHead, unix_ms: UnixMs) -> Option<Page> {
    let state = &gateway.relay;

    match request.path() {
        OPERATOR_PATH => Some(answer_feed::<OperatorState>(gateway, request).await),
        TARGETS_PATH => Some(answer_feed::<TargetListing>(gateway, request).await),
        GATEWAYS_PATH => Some(match &*state.gateways.borrow() {
            Some((known, _)) if query(request, "after") == Some(*known) => Page::empty(UNCHANGED),
            Some((_, listing)) => page(Duration::ZERO, listing),
            None => Page::empty(503),
        }),
        QUARANTINE_PATH => Some(answer_quarantine(gateway, unix_ms).await),
        _ => None,
    }
}

async fn answer_quarantine(gateway: &Gateway, unix_ms: UnixMs) -> Page {
    let state = &gateway.relay;
    state.record_ask(state.is_quarantine_known.get(), gateway.now());
    let changed = async {
        while !state.is_quarantine_known.get() {
            state.changed.listen().await;
        }
    };

    if timeout(READ_WAIT, changed).await.is_err() {
        return Page::empty(503);
    }

    let quarantine = gateway.quarantine.borrow();
    let entry = |(request, trials)| QuarantineEntry { request, trials, written_unix_ms: unix_ms };
    let entries = quarantine.entries().map(entry).collect();

    page(Duration::ZERO, &QuarantineListing { entries, unreadable: Vec::new() })
}

async fn answer_feed<T: Followed>(gateway: &Gateway, request: &RequestHead) -> Page {
    let state = &gateway.relay;
    let wait = query(request, "wait_ms").map_or(READ_WAIT, Duration::from_millis);
    let give_up = gateway.now() + wait.min(T::relay_wait(&gateway.settings()).max(READ_WAIT));
    state.record_ask(T::feed(state).borrow().state() != FeedState::Empty, gateway.now());

    loop {
        let changed = state.changed.listen();
        let now = gateway.now();

        if let Some(page) = feed_page::<T>(gateway, query(request, "after"), now >= give_up) {
            return page;
        }

        // Whichever comes first.
        let _ = timeout(give_up.saturating_sub(now), changed).await;
    }
}

/// Gets the answer from a feed; `None` while there is nothing to tell, and time to wait.
fn feed_page<T: Followed>(
    gateway: &Gateway,
    after: Option<StoreVersion>,
    is_last: bool,
) -> Option<Page> {
    let feed = T::feed(&gateway.relay).borrow();
    let age = feed.age(gateway.now());
    // A process that was suspended has not noticed yet that its watch is over.
    let is_old = age > gateway.settings().max_relay_age();

    let is_cut_off = gateway.relay.relays.borrow().is_store_failing(gateway.now());

    match feed.state() {
        FeedState::Empty if !is_last && !is_cut_off => return None,
        FeedState::Fresh if !is_old => {}
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
            log::error!("relay has no answer", kv: { error = error.to_string() });
            Page::empty(500)
        }
    }
}

/// Gets a number from a request's query.
fn query(request: &RequestHead, name: &str) -> Option<u64> {
    let (_, query) = request.target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));

    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}
