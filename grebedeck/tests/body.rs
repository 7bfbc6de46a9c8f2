//! The memory that request bodies may take.

use std::sync::Arc;
use std::time::Duration;

use grebedeck::entry::request::{BodyBudget, BodyLimits, CallerRequest};
use grebedeck_core::Reason;
use http_types::{Body, Method, Request, Url};

const LIMITS: BodyLimits = BodyLimits { max_bytes: 1_000, limit: Duration::from_secs(5) };

fn request(body: Body) -> Request {
    let mut request = Request::new(Method::Post, Url::parse("http://10.0.0.1/").unwrap());
    request.insert_header("grebedeck-organisation", "northwind");
    request.insert_header("grebedeck-service", "roster");
    request.set_body(body);

    request
}

async fn read(body: Body, budget: &Arc<BodyBudget>) -> Result<CallerRequest, Reason> {
    CallerRequest::try_new(request(body), LIMITS, budget).await
}

#[test]
fn bodies_are_held_within_the_budget_and_give_it_back() {
    async_std::task::block_on(async {
        let budget = Arc::new(BodyBudget::new(1_500));
        let first = read(Body::from(vec![1; 900]), &budget).await.unwrap();
        assert_eq!((first.body.len(), budget.used_bytes()), (900, 900));

        let second = read(Body::from(vec![1; 900]), &budget).await;
        assert!(matches!(second, Err(Reason::Overloaded(_))), "{second:?}");
        // A body without a length counts as the longest.
        let unknown = Body::from_reader(futures::io::Cursor::new(vec![1u8; 10]), None);
        assert!(matches!(read(unknown, &budget).await, Err(Reason::Overloaded(_))));

        drop(first);
        assert_eq!(budget.used_bytes(), 0);
        assert!(read(Body::from(vec![1; 900]), &budget).await.is_ok());
    });
}

#[test]
fn bodies_over_the_limit_are_refused_with_and_without_a_length() {
    async_std::task::block_on(async {
        let budget = Arc::new(BodyBudget::new(10_000));
        let told = read(Body::from(vec![1; 1_001]), &budget).await;
        let untold = Body::from_reader(futures::io::Cursor::new(vec![1u8; 1_001]), None);

        assert_eq!(told.unwrap_err(), Reason::TooLarge(1_000));
        assert_eq!(read(untold, &budget).await.unwrap_err(), Reason::TooLarge(1_000));
        assert_eq!(budget.used_bytes(), 0);
    });
}
