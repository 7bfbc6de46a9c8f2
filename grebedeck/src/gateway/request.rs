//! A caller's request, fully received, and the head that is sent to targets for it.

use std::cell::{Cell, OnceCell};
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::{Admitted, HeaderNames, TargetEntry};
use grebedeck_http::connection::MAX_COALESCED_BODY_BYTES;
use grebedeck_http::{Headers, RequestHead};
use grebedeck_routing::prompt::{prompt_fingerprints, shared_part_ids};
use grebedeck_routing::{Fingerprint, Fingerprints, Identity, PromptFingerprints};

use super::buffer::Buffer;
use super::trace::{Decision, Trace};

/// Largest (least urgent) priority sent to targets, which have ten levels.
const LOWEST_PRIORITY: u8 = 9;

/// A caller's request.
pub struct CallerRequest {
    /// Request head as received.
    pub head: RequestHead,
    /// Whole body.
    pub body: Buffer,
    /// When the request began to arrive.
    pub arrived: Moment,
}

/// A request that the configuration allows, with the data needed to send it.
pub struct RoutedRequest {
    /// The caller's request.
    pub request: CallerRequest,
    /// Route and organisation.
    pub admitted: Admitted,
    /// Service that the request goes to.
    pub service: String,
    /// Index of the request's urgency among its service's levels; `None` where requests do not
    /// differ.
    pub urgency_level: Option<u8>,
    /// When the request is given up.
    pub deadline: Moment,
    /// Last event of a stream that the caller has.
    pub last_event_id: Cell<Option<u64>>,
    /// Decisions on the request.
    pub trace: Trace,
    /// Headers that are sent to every target.
    headers: Headers,
    /// Ids of the parts of its prompt that it shares with other requests.
    part_ids: Vec<String>,
    prompt: OnceCell<PromptFingerprints>,
    fingerprints: OnceCell<Fingerprints>,
}

impl CallerRequest {
    /// Request id set by the caller, for logs; `-` if there is none.
    pub fn id<'a>(&'a self, names: &HeaderNames) -> &'a str {
        self.head.headers.text(names.request_id).unwrap_or("-")
    }

    /// API key that identifies the caller's organisation.
    pub fn key<'a>(&'a self, names: &HeaderNames) -> Option<&'a str> {
        let (scheme, key) =
            self.head.headers.text(names.authorization)?.split_once(char::is_whitespace)?;

        scheme.eq_ignore_ascii_case(names.key_scheme).then(|| key.trim())
    }

    /// Whether the caller resumes a stream that broke.
    pub fn is_resume(&self, names: &HeaderNames) -> bool {
        self.head.headers.get(names.last_event_id).is_some()
    }

    /// Prompt length in tokens, if the caller states it.
    pub fn prompt_tokens(&self, names: &HeaderNames) -> Option<u64> {
        let prompt = self.head.headers.text(names.tokens)?.split(',').next()?;

        prompt.trim().parse().ok()
    }

    /// Time limit requested by the caller, if any.
    pub fn requested_timeout(&self, names: &HeaderNames) -> Option<Duration> {
        let text = self.head.headers.text(names.deadline_ms)?;

        text.parse().ok().map(Duration::from_millis)
    }
}

impl RoutedRequest {
    /// Creates the request for its route, and starts its trace.
    pub fn new(
        request: CallerRequest,
        admitted: Admitted,
        service: String,
        urgency_level: Option<u8>,
        names: &HeaderNames,
    ) -> Self {
        let limit = admitted.rule.time_limit;
        let timeout = request.requested_timeout(names).unwrap_or(limit).min(limit);
        let deadline = request.arrived + timeout;
        let headers = forwarded_headers(&request, &admitted, names);
        let part_ids = shared_part_ids(request.head.headers.all(names.prompt_parts));
        let trace = Trace::new(request.id(names), request.arrived);
        let decision = Decision::Admitted {
            route: admitted.rule.name.clone(),
            service: service.clone(),
            version: admitted.version,
            left: timeout,
        };
        trace.add(request.arrived, decision);

        RoutedRequest {
            request,
            admitted,
            service,
            urgency_level,
            deadline,
            last_event_id: Cell::default(),
            trace,
            headers,
            part_ids,
            prompt: OnceCell::new(),
            fingerprints: OnceCell::new(),
        }
    }

    /// Ids of the parts of the prompt that the request shares with others.
    pub fn part_ids(&self) -> &[String] {
        &self.part_ids
    }

    /// Id of the part with this fingerprint.
    pub fn part_id(&self, fingerprint: Fingerprint) -> Option<&str> {
        let at = self.prompt_fingerprints().parts.iter().position(|part| *part == fingerprint)?;

        self.part_ids.get(at).map(String::as_str)
    }

    /// Fingerprints under which the request can be suspected of crashing its targets: its own,
    /// which it shares with its caller's retries, and those of the parts of its prompt.
    pub fn fingerprints(&self) -> &Fingerprints {
        self.fingerprints.get_or_init(|| Fingerprints {
            request: self.own_fingerprint(),
            prompt: self.prompt_fingerprints().clone(),
        })
    }

    /// Fingerprints of the prompt, which do not depend on the body.
    pub fn prompt_fingerprints(&self) -> &PromptFingerprints {
        self.prompt.get_or_init(|| prompt_fingerprints(&self.service, &self.part_ids))
    }

    fn own_fingerprint(&self) -> Fingerprint {
        let head = &self.request.head;
        let identity = Identity {
            caller: self.admitted.organisation.as_deref().unwrap_or_default(),
            method: &head.method,
            host: head.headers.text("host").unwrap_or_default(),
            path: &head.target,
            body: &self.request.body,
        };

        identity.fingerprint()
    }

    /// Whether the deadline has passed.
    pub fn is_past_deadline(&self, now: Moment) -> bool {
        now >= self.deadline
    }

    /// Encoded head for a target, with the time `left` to the deadline. For a resumed stream it
    /// contains the last event that the caller has.
    pub fn head_for(&self, target: &TargetEntry, left: Duration, names: &HeaderNames) -> Vec<u8> {
        let mut headers = self.headers.clone();
        headers.push(names.deadline_ms, left.as_millis().to_string());
        headers.push(names.expected_target, target.id.as_str());

        // Targets order their own queues by priority, as the gateway does.
        if let Some(urgency_level) = self.urgency_level {
            headers.push(names.priority, urgency_level.min(LOWEST_PRIORITY).to_string());
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

/// Headers for every target: the caller's own without those that the gateway sets.
fn forwarded_headers(request: &CallerRequest, admitted: &Admitted, names: &HeaderNames) -> Headers {
    let received = &request.head.headers;
    let mut headers = received.end_to_end();
    // A chunked body is sent with its length, as the whole body is known.
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
