//! Memory for callers' bodies, which all requests share.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that all requests may hold in memory together.
#[derive(Debug)]
pub struct BodyBudget {
    max_bytes: usize,
    used_bytes: Cell<usize>,
}

/// Part of a budget, given back when it is dropped.
#[derive(Debug)]
pub struct Reserved {
    budget: Rc<BodyBudget>,
    bytes: usize,
}

impl BodyBudget {
    /// Makes an unused budget.
    pub fn new(max_bytes: usize) -> Self {
        BodyBudget { max_bytes, used_bytes: Cell::new(0) }
    }

    /// Starts with nothing reserved.
    pub fn reserve(self: &Rc<Self>) -> Reserved {
        Reserved { budget: self.clone(), bytes: 0 }
    }

    /// Gets the bytes that are taken.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }
}

impl Reserved {
    /// Takes some more; tells whether there was enough left.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let used = self.budget.used_bytes.get() + bytes;

        if used > self.budget.max_bytes {
            return false;
        }

        self.budget.used_bytes.set(used);
        self.bytes += bytes;
        true
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.budget.used_bytes.set(self.budget.used_bytes.get() - self.bytes);
    }
}
