//! Budget for sending a request to a second target, kept per service over a sliding window.
//!
//! All gateways together may send a part of a window's requests again, and a fixed number on top. Each
//! gateway counts its own requests, so the parts add up; the fixed number is divided among them.

use std::collections::VecDeque;
use std::time::Duration;

use grebedeck_core::Moment;

/// Slots that a window is counted in.
const SLOTS_PER_WINDOW: u32 = 20;

/// Settings of a budget.
#[derive(Clone, Copy, Debug)]
pub struct WindowedRetryOptions {
    /// Length of the window.
    pub window: Duration,
    /// Repeats for each request in the window.
    pub ratio: f64,
    /// Repeats on top of that.
    pub allowance: f64,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    from: Moment,
    requests: u32,
    repeats: u32,
}

/// A budget.
#[derive(Clone, Debug)]
pub struct WindowedRetryBudget {
    options: WindowedRetryOptions,
    slots: VecDeque<Slot>,
}

impl WindowedRetryOptions {
    /// Gets one gateway's part of what `gateways` of them may do together. Each counts its own requests, so
    /// only the allowance is divided: by `least` at the least, as some may not be known yet.
    pub fn share_of(self, gateways: usize, least: f64) -> Self {
        WindowedRetryOptions { allowance: self.allowance / least.max(gateways as f64), ..self }
    }
}

impl WindowedRetryBudget {
    /// Makes a budget that nothing was taken of.
    pub fn new(options: WindowedRetryOptions) -> Self {
        WindowedRetryBudget { options, slots: VecDeque::new() }
    }

    /// Puts other settings in force, such as a smaller part of the allowance as gateways are added. What was
    /// counted stays.
    pub fn set_options(&mut self, options: WindowedRetryOptions) {
        self.options = options;
    }

    /// Notes a first attempt.
    pub fn record_request(&mut self, now: Moment) {
        self.slot(now).requests += 1;
    }

    /// Takes one repeat, where the window has one left.
    pub fn try_acquire(&mut self, now: Moment) -> bool {
        // A slot that is partly outside counts whole for repeats and not at all for requests: counted for both, the
        // window of requests is longer than the one in which repeats are compared with them.
        let whole_from = now.saturating_sub(self.options.window);
        let partly_from = now.saturating_sub(self.options.window + self.slot_length());
        let since = |from: Moment| self.slots.iter().filter(move |slot| slot.from >= from);
        let requests: u32 = since(whole_from).map(|slot| slot.requests).sum();
        let repeats: u32 = since(partly_from).map(|slot| slot.repeats).sum();
        let allowed = f64::from(requests) * self.options.ratio + self.options.allowance;

        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }

        self.slot(now).repeats += 1;
        true
    }

    fn slot_length(&self) -> Duration {
        self.options.window / SLOTS_PER_WINDOW
    }

    fn slot(&mut self, now: Moment) -> &mut Slot {
        let length = self.slot_length();
        let oldest = now.saturating_sub(self.options.window * 2);

        while self.slots.front().is_some_and(|s| s.from < oldest) {
            self.slots.pop_front();
        }

        let is_current = |s: &Slot| now < s.from + length;

        if !self.slots.back().is_some_and(is_current) {
            self.slots.push_back(Slot { from: now, requests: 0, repeats: 0 });
        }

        self.slots.back_mut().expect("a slot was pushed where there was none")
    }
}
