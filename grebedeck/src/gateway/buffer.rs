//! Buffers for request bodies and responses, within memory budgets that all requests share.

use std::cell::RefCell;
use std::ops::Deref;
use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use event_listener::Event;
use grebedeck_gateway::memory::MemoryBudget;
use serde_json::json;

/// First reservation if the length is unknown, in bytes; about a small response.
const FIRST_BYTES: usize = 1024;

/// Memory budget shared by all requests.
pub struct SharedMemory {
    memory: RefCell<MemoryBudget>,
    /// Notified whenever memory is released.
    freed: Event,
}

impl SharedMemory {
    /// Creates an unused budget.
    pub fn new(max_bytes: usize) -> Rc<Self> {
        Rc::new(SharedMemory {
            memory: RefCell::new(MemoryBudget::new(max_bytes)),
            freed: Event::new(),
        })
    }

    /// Reserved bytes.
    pub fn used_bytes(&self) -> usize {
        self.memory.borrow().used_bytes()
    }

    /// State for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let memory = self.memory.borrow();

        json!({
            "used": memory.used_bytes(), "most": memory.peak_bytes(), "allowed": memory.max_bytes(),
        })
    }
}

/// Bytes with a memory reservation, which is released when the buffer is dropped.
pub struct Buffer {
    shared: Rc<SharedMemory>,
    bytes: Vec<u8>,
    reserved_bytes: usize,
}

impl Buffer {
    /// Creates an empty buffer.
    pub fn new(shared: &Rc<SharedMemory>) -> Self {
        Buffer { shared: shared.clone(), bytes: Vec::new(), reserved_bytes: 0 }
    }

    /// Reserves memory for `len_bytes` in all, waiting for it for up to `limit`; returns whether it
    /// succeeded.
    pub async fn reserve(&mut self, len_bytes: usize, limit: Duration) -> bool {
        if self.try_reserve(len_bytes) {
            return true;
        }

        if !self.shared.memory.borrow().can_hold(len_bytes) {
            return false;
        }

        let shared = self.shared.clone();
        let reserving = async {
            loop {
                let freed = shared.freed.listen();

                if self.try_reserve(len_bytes) {
                    return;
                }

                freed.await;
            }
        };

        timeout(limit, reserving).await.is_ok()
    }

    /// Appends a part once there is memory for it; returns `false` if there is none within `limit`.
    pub async fn push_with_wait(&mut self, part: &[u8], limit: Duration) -> bool {
        self.reserve(self.bytes.len() + part.len(), limit).await && self.push(part)
    }

    /// Appends a part; returns `false` if there is no memory for it.
    pub fn push(&mut self, part: &[u8]) -> bool {
        let needed = self.bytes.len() + part.len();

        if needed > self.reserved_bytes {
            // Doubling keeps copying rare; if there is not enough memory for that, only what is
            // needed is reserved.
            let wanted = needed.max(self.reserved_bytes * 2).max(FIRST_BYTES);

            if !self.try_reserve(wanted) && !self.try_reserve(needed) {
                return false;
            }
        }

        self.bytes.reserve_exact(self.reserved_bytes - self.bytes.len());
        self.bytes.extend_from_slice(part);
        true
    }

    /// Drops the bytes but keeps their reservation, for a holder that has copied them.
    pub fn discard_bytes(&mut self) {
        self.bytes = Vec::new();
    }

    /// Sets how many bytes the holder keeps outside this buffer; returns `false` if there is no
    /// memory for them.
    pub fn set_external_len(&mut self, len_bytes: usize) -> bool {
        if len_bytes < self.reserved_bytes {
            let surplus = self.reserved_bytes - len_bytes;
            self.reserved_bytes = len_bytes;
            self.release(surplus);
        }

        self.try_reserve(len_bytes)
    }

    fn try_reserve(&mut self, len_bytes: usize) -> bool {
        let more = len_bytes.saturating_sub(self.reserved_bytes);
        let is_taken = self.shared.memory.borrow_mut().try_reserve(self.reserved_bytes, more);

        if is_taken {
            self.reserved_bytes += more;
        }

        is_taken
    }

    fn release(&self, bytes: usize) {
        if bytes > 0 {
            self.shared.memory.borrow_mut().release(bytes);
            self.shared.freed.notify(usize::MAX);
        }
    }
}

impl Deref for Buffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.release(self.reserved_bytes);
    }
}
