//! A caller's request, whole, and how it looks towards a target.

use std::cell::{Cell, OnceCell};
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::{Admitted, HeaderNames, TargetEntry};
use grebedeck_http::connection::MAX_COALESCED_BODY_BYTES;
use grebedeck_http::{Headers, RequestHead};
use grebedeck_routing::{Fingerprint, Identity};

use super::buffer::Buffer;
use super::trace::{Decision, Trace};

/// The least urgent rank that is told to targets: they know ten.
const LEAST_RANK: u8 = 9;

/// A caller's request.
pub struct CallerRequest {
    /// Its head, as it came.
    pub head: RequestHead,
    /// Its body, whole.
    pub body: Buffer,
    /// When it began to arrive.
    pub arrived: Moment,
}

/// A request that the configuration allows, with what is needed to send it.
pub struct RoutedRequest {
    /// The caller's request.
    pub request: CallerRequest,
    /// Its route and organisation.
    pub admitted: Admitted,
    /// The service that it goes to.
    pub service: String,
    /// Its rank among the requests for its service, where they differ in urgency.
    pub rank: Option<u8>,
    /// When it is given up.
    pub deadline: Moment,
    /// The last event that the caller has got, for a stream.
    pub last_event_id: Cell<Option<u64>>,
    /// The decisions on it.
    pub trace: Trace,
    /// The headers that are passed on to any target.
    headers: Headers,
    fingerprint: OnceCell<Fingerprint>,
}

impl CallerRequest {
    /// Gets the caller's id of the request, for logs.
    pub fn id<'a>(&'a self, names: &HeaderNames) -> &'a str {
        self.head.headers.text(names.request_id).unwrap_or("-")
    }

    /// Gets the key with which the caller proves its organisation.
    pub fn key<'a>(&'a self, names: &HeaderNames) -> Option<&'a str> {
        let (scheme, key) =
            self.head.headers.text(names.authorization)?.split_once(char::is_whitespace)?;

        scheme.eq_ignore_ascii_case(names.key_scheme).then(|| key.trim())
    }

    /// Tells whether it goes on with a stream that broke.
    pub fn resumes(&self, names: &HeaderNames) -> bool {
        self.head.headers.get(names.last_event_id).is_some()
    }

    /// Gets the tokens of its prompt, if it says so.
    pub fn prompt_tokens(&self, names: &HeaderNames) -> Option<u64> {
        let prompt = self.head.headers.text(names.tokens)?.split(',').next()?;

        prompt.trim().parse().ok()
    }

    /// Gets how long the caller waits, if it says so.
    pub fn patience(&self, names: &HeaderNames) -> Option<Duration> {
        let text = self.head.headers.text(names.deadline_ms)?;

        text.parse().ok().map(Duration::from_millis)
    }
}

impl RoutedRequest {
    /// Makes the request for its route.
    pub fn new(
        request: CallerRequest,
        admitted: Admitted,
        service: String,
        rank: Option<u8>,
        names: &HeaderNames,
    ) -> Self {
        let limit = admitted.rule.time_limit;
        let patience = request.patience(names).unwrap_or(limit).min(limit);
        let deadline = request.arrived + patience;
        let headers = passed_on(&request, &admitted, names);
        let trace = Trace::new(request.id(names), request.arrived);
        let decision = Decision::Admitted {
            route: admitted.rule.name.clone(),
            service: service.clone(),
            version: admitted.version,
            left: patience,
        };
        trace.add(request.arrived, decision);

        RoutedRequest {
            request,
            admitted,
            service,
            rank,
            deadline,
            last_event_id: Cell::default(),
            trace,
            headers,
            fingerprint: OnceCell::new(),
        }
    }

    /// Gets the identity that it has in common with other tries of its caller.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let head = &self.request.head;
            let identity = Identity {
                caller: self.admitted.organisation.as_deref().unwrap_or_default(),
                method: &head.method,
                host: head.headers.text("host").unwrap_or_default(),
                path: &head.target,
                body: &self.request.body,
            };

            identity.fingerprint()
        })
    }

    /// Tells whether the time of the request is over.
    pub fn is_late(&self, now: Moment) -> bool {
        now >= self.deadline
    }

    /// Gets the head to send to a target, with `left` of the time. A stream that another target goes on
    /// with names the last event that the caller has.
    pub fn head_for(&self, target: &TargetEntry, left: Duration, names: &HeaderNames) -> Vec<u8> {
        let mut headers = self.headers.clone();
        headers.push(names.deadline_ms, left.as_millis().to_string());
        headers.push(names.expected_target, target.id.as_str());

        // Those that wait at the target are let in by it, as those who wait here are.
        if let Some(rank) = self.rank {
            headers.push(names.priority, rank.min(LEAST_RANK).to_string());
        }

        if let Some(id) = self.last_event_id.get() {
            headers.remove(names.last_event_id);
            headers.push(names.last_event_id, id.to_string());
        }

        let head = RequestHead {
            method: self.request.head.method.clone(),
            target: self.request.head.target.clone(),
            minor_version: 1,
            headers,
        };
        let mut bytes =
            Vec::with_capacity(512 + self.request.body.len().min(MAX_COALESCED_BODY_BYTES));
        head.write(&mut bytes);
        bytes
    }
}

/// Gets the headers that go to every target: the caller's own, without those that this process sets.
fn passed_on(request: &CallerRequest, admitted: &Admitted, names: &HeaderNames) -> Headers {
    let received = &request.head.headers;
    let mut headers = received.end_to_end();
    // A body that came in chunks is sent whole, so its length is always known.
    let has_body =
        received.get("content-length").is_some() || received.get("transfer-encoding").is_some();

    if has_body {
        headers.push("content-length", request.body.len().to_string());
    }

    for name in [
        names.deadline_ms,
        names.expected_target,
        names.organisation,
        names.authorization,
        names.priority,
    ] {
        headers.remove(name);
    }

    if let Some(organisation) = &admitted.organisation {
        headers.push(names.organisation, organisation.as_str());
    }

    headers
}
