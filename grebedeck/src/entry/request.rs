//! Parses a caller's request and reads its body, within the entry's memory budget for bodies.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::future::timeout;
use futures::AsyncReadExt;
use grebedeck_core::{OrganisationName, Reason, ServiceName, UnixMs};
use grebedeck_net::http::end_to_end_headers;
use grebedeck_routing::prompt::{prompt_fingerprints, shared_part_ids};
use grebedeck_routing::{Fingerprint, Fingerprints, Identity, Key, RequestTraits};
use http_types::{Method, Request};

/// Header with the organisation.
pub const ORGANISATION_HEADER: &str = "grebedeck-organisation";
/// Header with the service.
pub const SERVICE_HEADER: &str = "grebedeck-service";
/// Header that says whether the request may run more than once: `yes` or `no`.
pub const REPEATABLE_HEADER: &str = "grebedeck-repeatable";
/// Header with the time for which the caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "grebedeck-deadline-ms";
/// Header with the caller's key for a request that runs at most once.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the time when the caller issued the key, in Unix milliseconds.
pub const KEY_ISSUED_HEADER: &str = "idempotency-issued-ms";

/// Header with the parts of the prompt in order, as `ID:TOKENS` separated by commas.
pub const PROMPT_PARTS_HEADER: &str = "grebedeck-prompt-parts";

/// `Retry-After` of a refusal because the memory budget for bodies is exhausted.
const BUDGET_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum length of a key.
const MAX_KEY_BYTES: usize = 255;

/// Limits on the body of a request.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size in bytes.
    pub max_bytes: usize,
    /// Maximum time for receiving it.
    pub timeout: Duration,
}

/// Memory budget for the bodies of all requests of an entry.
#[derive(Debug)]
pub struct BodyMemoryBudget {
    max_bytes: usize,
    used_bytes: AtomicUsize,
}

/// Reserved part of the budget, released when it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    budget: Arc<BodyMemoryBudget>,
    bytes: usize,
}

impl BodyMemoryBudget {
    /// Creates an unused budget.
    pub fn new(max_bytes: usize) -> Self {
        BodyMemoryBudget { max_bytes, used_bytes: AtomicUsize::new(0) }
    }

    /// Reserves a part; fails with [`Reason::Overloaded`] if too little is left.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Result<BodyReservation, Reason> {
        let take = |used: usize| Some(used + bytes).filter(|sum| *sum <= self.max_bytes);
        let taken = self.used_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);

        match taken {
            Ok(_) => Ok(BodyReservation { budget: self.clone(), bytes }),
            Err(_) => Err(Reason::Overloaded(BUDGET_RETRY_AFTER)),
        }
    }

    /// Number of reserved bytes.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A caller's request with its complete body.
#[derive(Debug)]
pub struct CallerRequest {
    /// Organisation of the caller.
    pub organisation: OrganisationName,
    /// Requested service.
    pub service: ServiceName,
    /// Whether it may be repeated, and whether it has a key.
    pub traits: RequestTraits,
    /// Idempotency key, if any.
    pub key: Option<Key>,
    /// Time for which the caller waits, if specified.
    pub deadline: Option<Duration>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Vec<u8>,
    /// Its part of the memory budget for bodies.
    pub reservation: Option<BodyReservation>,
}

impl CallerRequest {
    /// Parses a request and reads its body.
    pub async fn try_new(
        mut request: Request,
        limits: BodyLimits,
        budget: &Arc<BodyMemoryBudget>,
    ) -> Result<Self, Reason> {
        let mut parsed = Self::read_head(&request)?;
        // A body without a declared length may have the maximum size.
        let expected = request.len().unwrap_or(limits.max_bytes);

        if expected > limits.max_bytes {
            return Err(Reason::TooLarge(limits.max_bytes as u64));
        }

        parsed.reservation = Some(budget.reserve(expected)?);
        parsed.body = read_body(&mut request, limits).await?;

        Ok(parsed)
    }

    /// Fingerprints of the request, which its caller's repetitions share, and of the parts of its
    /// prompt, which others may share.
    pub fn fingerprints(&self) -> Fingerprints {
        let values = self.headers.iter().filter(|(name, _)| name == PROMPT_PARTS_HEADER);
        let part_ids = shared_part_ids(values.map(|(_, value)| value.as_bytes()));

        Fingerprints {
            request: self.own_fingerprint(),
            prompt: prompt_fingerprints(&self.service, &part_ids),
        }
    }

    fn own_fingerprint(&self) -> Fingerprint {
        let identity = Identity {
            caller: &self.organisation,
            method: &self.method,
            // Paths are interpreted per service, so the service takes the place of the host.
            host: &self.service,
            path: &self.path,
            body: &self.body,
        };

        identity.fingerprint()
    }

    fn read_head(request: &Request) -> Result<Self, Reason> {
        let organisation = required_header(request, ORGANISATION_HEADER)?;
        let service = required_header(request, SERVICE_HEADER)?;
        let issued: Option<UnixMs> = optional_number(request, KEY_ISSUED_HEADER)?;
        let key = match single_header(request, KEY_HEADER)? {
            Some(text) if text.is_empty() || text.len() > MAX_KEY_BYTES => {
                return Err(bad_request(format!(
                    "{KEY_HEADER}: expected 1 to {MAX_KEY_BYTES} characters"
                )));
            }
            Some(text) => Some(Key::new(&organisation, &service, &text, issued)),
            None => None,
        };

        let traits = RequestTraits {
            repeatable: key.is_none() && is_repeatable(request)?,
            keyed: key.is_some(),
        };
        let url = request.url();
        let path = match url.query() {
            Some(query) => format!("{}?{query}", url.path()),
            None => url.path().to_string(),
        };

        Ok(CallerRequest {
            organisation,
            service,
            traits,
            key,
            deadline: optional_number(request, DEADLINE_HEADER)?.map(Duration::from_millis),
            method: request.method().to_string(),
            path,
            headers: end_to_end_headers(request.as_ref()),
            body: Vec::new(),
            reservation: None,
        })
    }
}

/// Whether a request may run more than once: as its header says, or else by its method.
fn is_repeatable(request: &Request) -> Result<bool, Reason> {
    match single_header(request, REPEATABLE_HEADER)?.as_deref() {
        Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(other) => {
            Err(bad_request(format!("{REPEATABLE_HEADER}: `{other}`: expected `yes` or `no`")))
        }
        None => Ok(matches!(
            request.method(),
            Method::Get | Method::Head | Method::Options | Method::Put | Method::Delete
        )),
    }
}

async fn read_body(request: &mut Request, limits: BodyLimits) -> Result<Vec<u8>, Reason> {
    let too_large = Reason::TooLarge(limits.max_bytes as u64);

    let mut body = Vec::with_capacity(request.len().unwrap_or(0));
    let mut limited = request.take_body().take(limits.max_bytes as u64 + 1);

    match timeout(limits.timeout, limited.read_to_end(&mut body)).await {
        Ok(Ok(_)) if body.len() > limits.max_bytes => Err(too_large),
        Ok(Ok(_)) => Ok(body),
        Ok(Err(error)) => Err(bad_request(format!("body: {error}"))),
        Err(_) => Err(bad_request(format!("body: not whole within {:?}", limits.timeout))),
    }
}

fn single_header(request: &Request, name: &str) -> Result<Option<String>, Reason> {
    match request.header(name) {
        None => Ok(None),
        Some(values) if values.iter().count() > 1 => {
            Err(bad_request(format!("{name}: sent twice")))
        }
        Some(values) => Ok(Some(values.as_str().to_string())),
    }
}

fn required_header(request: &Request, name: &str) -> Result<String, Reason> {
    match single_header(request, name)? {
        Some(value) if !value.is_empty() => Ok(value),
        _ => Err(bad_request(format!("{name}: missing"))),
    }
}

fn optional_number(request: &Request, name: &str) -> Result<Option<u64>, Reason> {
    let Some(text) = single_header(request, name)? else {
        return Ok(None);
    };

    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(bad_request(format!("{name}: `{text}`: expected a whole number"))),
    }
}

fn bad_request(what: String) -> Reason {
    Reason::BadRequest(what)
}
