//! Handling of requests from other instances.

use std::sync::Arc;

use crate::{
    Frame,
    frame::Rejection,
    shared::Shared,
    transport::{Chunk, ChunkRequest, Error, MAX_CHUNK_BYTES, MIN_CHUNK_BYTES},
};

/// Handler for frames and requests for trees. All clones answer for the same instance.
#[derive(Debug, Clone)]
pub struct Handler {
    shared: Arc<Shared>,
}

impl Handler {
    pub(crate) const fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Processes a frame and returns the response.
    ///
    /// # Errors
    /// [`Rejection`] if the frame is refused.
    pub fn exchange(&self, frame: Frame) -> Result<Frame, Rejection> {
        let now = self.shared.timer.now();
        self.shared.sync_core(now);
        self.shared.metrics.record_frame("received", frame.size());
        let result = self.shared.core.lock().handle_request(frame, now);
        match result {
            Ok((mut response, effects)) => {
                let to = share_sender(&effects);
                self.shared.apply_effects(effects, now);
                if let Some(to) = to {
                    self.shared.core.lock().add_shares(&to, &mut response);
                }
                self.shared
                    .metrics
                    .record_frame("answered", response.size());
                Ok(response)
            }
            Err(refused) => {
                self.shared.metrics.record_refused(refused.as_str());
                Err(refused)
            }
        }
    }

    /// Returns a chunk of the tree of a revision that is known here.
    ///
    /// # Errors
    /// [`Error::Absent`] if the revision is unknown or has no text at that offset.
    pub fn tree_chunk(&self, request: ChunkRequest) -> Result<Chunk, Error> {
        let (head, text) = self
            .shared
            .config
            .tree_text(request.revision)
            .ok_or(Error::Absent)?;
        let rest = text.get(request.offset..).ok_or(Error::Absent)?;
        let wanted = request.max_bytes.unwrap_or(MAX_CHUNK_BYTES);
        let max_bytes = wanted.clamp(MIN_CHUNK_BYTES, MAX_CHUNK_BYTES);
        let mut end = rest.len().min(max_bytes);
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        Ok(Chunk {
            head,
            total: text.len(),
            text: rest[..end].to_owned(),
        })
    }
}

/// Returns the sender of share messages, for which the share engine may have queued replies.
fn share_sender(effects: &[crate::core::Effect]) -> Option<sg_types::id::Instance> {
    effects.iter().find_map(|effect| match effect {
        crate::core::Effect::Shares { from, .. } => Some(from.clone()),
        _ => None,
    })
}
