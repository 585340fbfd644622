//! Serves lookups, which tell a caller the entry instances to use.

use std::{net::IpAddr, sync::Arc};

use arc_swap::ArcSwap;
use poem::{
    IntoResponse, Request, Response,
    http::{StatusCode, header},
    web::Json,
};
use serde::Deserialize;
use sg_lookup::{Answer, Member, Query, Table, decide, member::Candidates};
use sg_peer::member::Status;
use sg_tree::View;
use sg_types::prelude::*;

use crate::{
    daemon::Components,
    settings::{Role, Settings},
};

/// Path of lookups.
pub const PATH: &str = "/.sg/lookup";

/// Immutable state that lookups are decided from: the table of one revision and the known
/// instances.
#[derive(Debug, Default)]
pub struct Snapshot {
    view: Option<Arc<View>>,
    table: Arc<Table>,
    /// Members that [`Self::candidates`] was built from.
    member_list: Vec<Member>,
    candidates: Candidates,
}

impl Snapshot {
    fn has_revision_of(&self, view: &View) -> bool {
        let current = self.view.as_ref();
        current.is_some_and(|current| current.revision == view.revision)
    }
}

/// Shared handle to the snapshot that lookups read. Clones share the snapshot.
#[derive(Debug, Clone, Default)]
pub struct Handle {
    snapshot: Arc<ArcSwap<Snapshot>>,
}

impl Handle {
    /// Replaces the snapshot with one of `view` and `members`. Does nothing if the revision and the
    /// members are unchanged.
    pub fn refresh(&self, view: &Arc<View>, members: Vec<Member>) {
        let current = self.snapshot.load();
        let same_view = current.has_revision_of(view);
        if same_view && current.member_list == members {
            return;
        }
        let table = if same_view {
            current.table.clone()
        } else {
            Arc::new(Table::from_view(view))
        };
        self.snapshot.store(Arc::new(Snapshot {
            view: Some(view.clone()),
            table,
            candidates: Candidates::new(&members, view),
            member_list: members,
        }));
    }

    /// Decides a lookup. Returns `None` if no tree is in force or no service has the requested
    /// name.
    #[must_use]
    pub fn decide(&self, query: Query<'_>) -> Option<Answer> {
        let snapshot = self.snapshot.load();
        let view = snapshot.view.as_ref()?;
        view.services.get(query.service)?;
        Some(decide(view, &snapshot.table, &snapshot.candidates, query))
    }
}

/// Returns the instances that lookups may name: the other live or leaving instances, and this one
/// if this one forwards requests. Instances that are about to stop are marked as stopping. Also
/// publishes the headroom of this instance to the others.
#[must_use]
pub fn members(components: &Components, now: Instant) -> Vec<Member> {
    components.node.members.set_headroom(headroom(components));
    let peers = components.node.members.everybody(now);
    let mut members: Vec<Member> = peers
        .into_iter()
        .filter(|member| matches!(member.status, Status::Alive | Status::Leaving))
        .map(|member| Member {
            instance: member.instance,
            address: member.place.entry,
            region: member.place.region,
            domain: member.place.domain,
            is_stopping: member.status == Status::Leaving,
            headroom: member.headroom,
        })
        .collect();
    if components.settings.has_role(Role::Forward) {
        members.push(own_member(components));
    }
    members
}

fn own_member(components: &Components) -> Member {
    let Settings {
        instance,
        serve,
        region,
        domain,
        ..
    } = &*components.settings;
    Member {
        instance: instance.clone(),
        address: *serve,
        region: region.clone(),
        domain: domain.clone(),
        is_stopping: *components.stopping.borrow(),
        headroom: headroom(components),
    }
}

/// Returns the unused part of the concurrency limit of this instance.
fn headroom(components: &Components) -> Percent {
    let Some(view) = components.node.config.view() else {
        return Percent::FULL;
    };
    let used =
        components.request_path.in_flight() as f64 / f64::from(view.fleet.concurrency.max(1));
    Percent::from_ppm(((1.0 - used).max(0.0) * f64::from(Percent::FULL.as_ppm())) as u32)
}

/// Query parameters of a lookup.
#[derive(Debug, Deserialize)]
pub struct QueryParams {
    /// Requested service.
    service: id::Service,
    /// Client account of the caller, if given.
    account: Option<id::Account>,
    /// Address of the caller, if the lookup is made on its behalf.
    address: Option<IpAddr>,
}

/// `GET /.sg/lookup?service=NAME[&account=NAME][&address=IP]`.
#[derive(Debug, Clone)]
pub struct Endpoint {
    components: Arc<Components>,
}

impl Endpoint {
    /// Creates an endpoint that decides lookups from `components`.
    #[must_use]
    pub fn new(components: Components) -> Self {
        Self {
            components: Arc::new(components),
        }
    }
}

impl poem::Endpoint for Endpoint {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        Ok(respond(&self.components, &request))
    }
}

fn respond(components: &Components, request: &Request) -> Response {
    let params: QueryParams = match request.params() {
        Ok(params) => params,
        Err(error) => {
            let text = format!("{error}; ask like {PATH}?service=NAME");
            return text.with_status(StatusCode::BAD_REQUEST).into_response();
        }
    };
    let caller = request
        .remote_addr()
        .as_socket_addr()
        .map(std::net::SocketAddr::ip);
    let Some(address) = params.address.or(caller) else {
        let text =
            format!("the caller's address is not known; ask like {PATH}?service=NAME&address=IP");
        return text.with_status(StatusCode::BAD_REQUEST).into_response();
    };
    let query = Query {
        address,
        service: &params.service,
        account: params.account.as_ref(),
    };
    match components.lookup.decide(query) {
        Some(answer) => {
            let cache = answer.cache_control();
            Json(answer)
                .with_header(header::CACHE_CONTROL, cache)
                .into_response()
        }
        None if components.node.config.view().is_none() => {
            let text = "no tree is in force here yet; ask another entry";
            text.with_status(StatusCode::SERVICE_UNAVAILABLE)
                .into_response()
        }
        None => {
            let text = "no service has that name; check the service in the query";
            text.with_status(StatusCode::NOT_FOUND).into_response()
        }
    }
}
