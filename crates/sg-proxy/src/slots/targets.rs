//! The targets of this instance's region as their dispatcher sees them.

use sg_dispatch::message::TargetView;
use sg_types::prelude::*;

use crate::Core;

impl<D> Core<D> {
    /// Returns the targets of `service` in the region of this instance.
    #[must_use]
    pub fn target_views(&self, service: &id::Service) -> Vec<TargetView> {
        let now = self.timer.now();
        let state = self.state.lock();
        let Some(pool) = state.pools.get(service) else {
            return Vec::new();
        };
        let region = &self.options.location.region;
        let members = pool.members();
        let members = members.filter(|member| member.target.region == *region);
        let views = members.map(|member| TargetView {
            id: member.target.id.clone(),
            slots: member.slots(),
            is_usable: member.is_staying()
                && !member.pause.is_active(now)
                && !member.is_banned(now)
                && !state.closed_domains.contains(&member.target.domain),
            is_cold: member.is_cold(now),
        });
        views.collect()
    }
}
