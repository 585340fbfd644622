//! Received bytes in segments of our own, charged to a hold.

use std::collections::VecDeque;

use bytes::Bytes;
use sg_types::prelude::{Arc, Bytes as Size};

use super::{Exhausted, Hold};

/// Size of the first segment, so that a small body takes little.
const FIRST_BYTES: usize = 1 << 10;
/// Size of the largest segment. Each is twice as long as the one before until then.
const MAX_BYTES: usize = 64 << 10;

/// Bytes in segments whose capacity is charged to a hold until the segment is dropped.
///
/// Bytes are copied in, because a received chunk, however short, keeps the whole buffer alive that it was
/// read into.
#[derive(Debug)]
pub struct Segments {
    hold: Arc<Hold>,
    full: VecDeque<Bytes>,
    last: Option<Segment>,
    next_capacity: usize,
    length: u64,
}

#[derive(Debug)]
struct Segment {
    data: Vec<u8>,
    /// Bytes charged to the hold.
    charged: Size,
    hold: Arc<Hold>,
}

impl AsRef<[u8]> for Segment {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for Segment {
    fn drop(&mut self) {
        self.hold.record_progress(Size::new(self.data.len() as u64));
        self.hold.shrink(self.charged);
    }
}

impl Segments {
    /// Creates an empty list whose segments are charged to `hold`.
    #[must_use]
    pub fn new(hold: Arc<Hold>) -> Self {
        Self {
            hold,
            full: VecDeque::new(),
            last: None,
            next_capacity: FIRST_BYTES,
            length: 0,
        }
    }

    /// Returns the number of bytes.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Returns the hold that the segments are charged to.
    #[must_use]
    pub fn hold(&self) -> &Arc<Hold> {
        &self.hold
    }

    /// Appends `data` if the budget has room at this moment.
    ///
    /// # Errors
    /// Returns [`Exhausted`] if it has none. Nothing is appended then.
    pub fn append(&mut self, data: &[u8]) -> Result<(), Exhausted> {
        let needed = self.needed_capacity(data);
        if needed > 0 {
            self.hold.grow(Size::new(needed as u64))?;
        }
        self.hold.record_progress(Size::new(data.len() as u64));
        self.copy(data, needed);
        Ok(())
    }

    /// Appends `data` as soon as there is room. See [`Hold::grow_when_released`].
    ///
    /// # Errors
    /// Returns [`Exhausted`] if there will be none. Nothing is appended then.
    pub async fn append_when_released(&mut self, data: &[u8]) -> Result<(), Exhausted> {
        // The bytes have arrived, so that they count as progress when the hold is compared with others.
        self.hold.record_progress(Size::new(data.len() as u64));
        let needed = self.needed_capacity(data);
        if needed > 0 {
            let size = Size::new(needed as u64);
            self.hold.grow_when_released(size).await?;
        }
        self.copy(data, needed);
        Ok(())
    }

    /// Appends `data` whether or not there is room.
    pub fn append_over(&mut self, data: &[u8]) {
        let needed = self.needed_capacity(data);
        self.hold.grow_over(Size::new(needed as u64));
        self.hold.record_progress(Size::new(data.len() as u64));
        self.copy(data, needed);
    }

    /// Returns the segments. Each is charged until its last copy is dropped.
    #[must_use]
    pub fn into_list(mut self) -> VecDeque<Bytes> {
        self.close_segment();
        self.full
    }

    /// Returns the size of the segment that is needed for what of `data` the last one has no room for.
    fn needed_capacity(&self, data: &[u8]) -> usize {
        let room = self.last.as_ref().map_or(0, Segment::room);
        if data.len() <= room {
            return 0;
        }
        self.next_capacity.max(data.len() - room)
    }

    /// Copies `data` to the last segment and, beyond its room, to a new one of `capacity` bytes, which are
    /// charged already.
    fn copy(&mut self, data: &[u8], capacity: usize) {
        self.length += data.len() as u64;
        let room = self.last.as_ref().map_or(0, Segment::room);
        let (head, tail) = data.split_at(room.min(data.len()));
        if let Some(last) = &mut self.last {
            last.data.extend_from_slice(head);
        }
        if capacity == 0 {
            return;
        }
        self.close_segment();
        let mut data = Vec::with_capacity(capacity);
        data.extend_from_slice(tail);
        self.last = Some(Segment {
            data,
            charged: Size::new(capacity as u64),
            hold: self.hold.clone(),
        });
        self.next_capacity = (2 * capacity).min(MAX_BYTES);
    }

    fn close_segment(&mut self) {
        if let Some(last) = self.last.take() {
            self.full.push_back(Bytes::from_owner(last));
        }
    }
}

impl Segment {
    fn room(&self) -> usize {
        self.data.capacity() - self.data.len()
    }
}
