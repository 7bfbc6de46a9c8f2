//! The rule on recovery.

use std::time::{Duration, Instant};

use crate::clients::{Book, served};
use crate::engines::Engines;

/// `recover_s` of the site.
const RECOVER: Duration = Duration::from_secs(12);
/// How long requests are counted after that, and how long the last of them may take.
const COUNTED: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(8);

/// Judges the rule on recovery from the requests that clients have sent, `at` being the end of the
/// last disruption; returns the exit status.
pub fn judge(engines: &Engines, book: &Book, at: Instant, was_served: bool) -> i32 {
    if !was_served {
        return engines.record.end(2, "the case did not run: too little was served before");
    }

    let from = at + RECOVER;
    let to = from + COUNTED;
    std::thread::sleep((to + DEADLINE).saturating_duration_since(Instant::now()));
    let (good, asked) = served(book, from, to);
    let group = engines.lock();
    let stands = group.pass_at.elapsed().as_secs();
    let state = match group.held() {
        Some(held) => format!(
            "pass {held} is held, no pass has begun for {stands} s, and the ranks are armed for {:?}",
            group.armed()
        ),
        None => format!("pass {} began {stands} s ago", group.pass),
    };
    drop(group);
    engines.record.line(&state);
    let text = format!(
        "{good} of {asked} requests were served that were sent 12 s to 22 s after the last \
         disruption; {state}"
    );

    if good * 4 < asked {
        engines.record.end(1, &format!("RECOVER broken: {text}"))
    } else {
        engines.record.end(0, &format!("held: {text}"))
    }
}
