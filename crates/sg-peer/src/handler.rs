//! Handling of requests from other instances.

use std::sync::Arc;

use crate::{
    Frame,
    frame::Refused,
    shared::Shared,
    transport::{Error, PART, Part, Slice},
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
    /// [`Refused`] if the frame is refused.
    pub fn exchange(&self, frame: Frame) -> Result<Frame, Refused> {
        let now = self.shared.timer.now();
        self.shared.sync(now);
        self.shared.metrics.frame("received", frame.size());
        let result = self.shared.core.lock().answer(frame, now);
        match result {
            Ok((mut answer, effects)) => {
                let to = answer_to(&effects);
                self.shared.apply(effects, now);
                if let Some(to) = to {
                    self.shared.core.lock().add_shares(&to, &mut answer);
                }
                self.shared.metrics.frame("answered", answer.size());
                Ok(answer)
            }
            Err(refused) => {
                self.shared.metrics.refused(refused.as_str());
                Err(refused)
            }
        }
    }

    /// Returns a chunk of the tree of a revision that is known here.
    ///
    /// # Errors
    /// [`Error::Absent`] if the revision is unknown or has no text at that offset.
    pub fn tree(&self, part: Part) -> Result<Slice, Error> {
        let (head, text) = self
            .shared
            .config
            .text_of(part.revision)
            .ok_or(Error::Absent)?;
        let rest = text.get(part.offset..).ok_or(Error::Absent)?;
        let mut end = rest.len().min(PART);
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        Ok(Slice {
            head,
            total: text.len(),
            text: rest[..end].to_owned(),
        })
    }
}

/// Returns the instance that the share engine may have replies for.
fn answer_to(effects: &[crate::core::Effect]) -> Option<sg_types::id::Instance> {
    effects.iter().find_map(|effect| match effect {
        crate::core::Effect::Shares { from, .. } => Some(from.clone()),
        _ => None,
    })
}
