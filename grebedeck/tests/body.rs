//! Memory budget for request bodies, and the limit on their size.

use std::sync::Arc;
use std::time::Duration;

use grebedeck::entry::request::{BodyLimits, BodyMemoryBudget, CallerRequest};
use grebedeck_core::Reason;
use http_types::{Body, Method, Request, Url};

const LIMITS: BodyLimits = BodyLimits { max_bytes: 1_000, timeout: Duration::from_secs(5) };

fn request(body: Body) -> Request {
    let mut request = Request::new(Method::Post, Url::parse("http://10.0.0.1/").unwrap());
    request.insert_header("grebedeck-organisation", "northwind");
    request.insert_header("grebedeck-service", "roster");
    request.set_body(body);

    request
}

async fn read(body: Body, budget: &Arc<BodyMemoryBudget>) -> Result<CallerRequest, Reason> {
    CallerRequest::try_new(request(body), LIMITS, budget).await
}

#[test]
fn bodies_reserve_memory_within_the_budget_and_release_it() {
    async_std::task::block_on(async {
        let budget = Arc::new(BodyMemoryBudget::new(1_500));
        let first = read(Body::from(vec![1; 900]), &budget).await.unwrap();
        assert_eq!((first.body.len(), budget.used_bytes()), (900, 900));

        let second = read(Body::from(vec![1; 900]), &budget).await;
        assert!(matches!(second, Err(Reason::Overloaded(_))), "{second:?}");
        // A body without a declared length reserves the maximum size.
        let undeclared = Body::from_reader(futures::io::Cursor::new(vec![1u8; 10]), None);
        assert!(matches!(read(undeclared, &budget).await, Err(Reason::Overloaded(_))));

        drop(first);
        assert_eq!(budget.used_bytes(), 0);
        assert!(read(Body::from(vec![1; 900]), &budget).await.is_ok());
    });
}

#[test]
fn bodies_larger_than_the_limit_are_refused_with_and_without_a_declared_length() {
    async_std::task::block_on(async {
        let budget = Arc::new(BodyMemoryBudget::new(10_000));
        let declared = read(Body::from(vec![1; 1_001]), &budget).await;
        let undeclared = Body::from_reader(futures::io::Cursor::new(vec![1u8; 1_001]), None);

        assert_eq!(declared.unwrap_err(), Reason::TooLarge(1_000));
        assert_eq!(read(undeclared, &budget).await.unwrap_err(), Reason::TooLarge(1_000));
        assert_eq!(budget.used_bytes(), 0);
    });
}
