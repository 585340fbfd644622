//! Answers look-ups: which entry a caller should use.

use std::{net::IpAddr, sync::Arc};

use arc_swap::ArcSwap;
use poem::{
    IntoResponse, Request, Response,
    http::{StatusCode, header},
    web::Json,
};
use serde::Deserialize;
use sg_lookup::{Answer, Ask, Member, Table, decide, member::Set};
use sg_peer::member::Status;
use sg_tree::View;
use sg_types::prelude::*;

use crate::{
    daemon::Parts,
    settings::{Role, Settings},
};

/// The path of look-ups.
pub const PATH: &str = "/.sg/lookup";

/// What look-ups are decided by: one revision's table and the instances of the moment.
#[derive(Debug, Default)]
pub struct Book {
    view: Option<Arc<View>>,
    table: Arc<Table>,
    /// What [`Self::members`] was made of.
    known: Vec<Member>,
    members: Set,
}

impl Book {
    fn is_of(&self, view: &View) -> bool {
        let known = self.view.as_ref();
        known.is_some_and(|known| known.revision == view.revision)
    }
}

/// The book that look-ups read. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Handle {
    book: Arc<ArcSwap<Book>>,
}

impl Handle {
    /// Takes in the view in force and the instances of the moment. Does nothing if both are as before.
    pub fn refresh(&self, view: &Arc<View>, members: Vec<Member>) {
        let old = self.book.load();
        let same_view = old.is_of(view);
        if same_view && old.known == members {
            return;
        }
        let table = if same_view {
            old.table.clone()
        } else {
            Arc::new(Table::from_view(view))
        };
        self.book.store(Arc::new(Book {
            view: Some(view.clone()),
            table,
            members: Set::new(&members, view),
            known: members,
        }));
    }

    /// Answers a look-up; `None` while there is no tree, or if no service has that name.
    #[must_use]
    pub fn answer(&self, ask: Ask<'_>) -> Option<Answer> {
        let book = self.book.load();
        let view = book.view.as_ref()?;
        view.services.get(ask.service)?;
        Some(decide(view, &book.table, &book.members, ask))
    }
}

/// The instances that may be named: the others that are believed to be alive, and this one unless it
/// is about to stop or forwards nothing. Tells the others the room that this one has.
#[must_use]
pub fn members(parts: &Parts, now: Instant) -> Vec<Member> {
    parts.node.members.set_headroom(headroom(parts));
    let others = parts.node.members.everybody(now);
    let mut members: Vec<Member> = others
        .into_iter()
        .filter(|member| matches!(member.status, Status::Alive | Status::Leaving))
        .map(|member| Member {
            instance: member.instance,
            address: member.place.entry,
            region: member.place.region,
            domain: member.place.domain,
            leaving: member.status == Status::Leaving,
            headroom: member.headroom,
        })
        .collect();
    if parts.settings.does(Role::Forward) {
        members.push(own(parts));
    }
    members
}

fn own(parts: &Parts) -> Member {
    let Settings {
        instance,
        serve,
        region,
        domain,
        ..
    } = &*parts.settings;
    Member {
        instance: instance.clone(),
        address: *serve,
        region: region.clone(),
        domain: domain.clone(),
        leaving: *parts.leaving.borrow(),
        headroom: headroom(parts),
    }
}

/// The part of this instance's limit of concurrent work that is free.
fn headroom(parts: &Parts) -> Percent {
    let Some(view) = parts.node.config.view() else {
        return Percent::FULL;
    };
    let used = parts.path.in_hand() as f64 / f64::from(view.fleet.concurrency.max(1));
    Percent::from_ppm(((1.0 - used).max(0.0) * f64::from(Percent::FULL.as_ppm())) as u32)
}

/// What a look-up asks for.
#[derive(Debug, Deserialize)]
pub struct Question {
    /// The service.
    service: id::Service,
    /// The client account, if the caller says so.
    account: Option<id::Account>,
    /// The caller's address, if another asks on its behalf.
    address: Option<IpAddr>,
}

/// `GET /.sg/lookup?service=NAME[&account=NAME][&address=IP]`.
#[derive(Debug, Clone)]
pub struct Endpoint {
    parts: Arc<Parts>,
}

impl Endpoint {
    /// An endpoint that answers from `parts`, which it shares between requests.
    #[must_use]
    pub fn new(parts: Parts) -> Self {
        Self {
            parts: Arc::new(parts),
        }
    }
}

impl poem::Endpoint for Endpoint {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        Ok(respond(&self.parts, &request))
    }
}

fn respond(parts: &Parts, request: &Request) -> Response {
    let question: Question = match request.params() {
        Ok(question) => question,
        Err(error) => {
            let text = format!("{error}; ask like {PATH}?service=NAME");
            return text.with_status(StatusCode::BAD_REQUEST).into_response();
        }
    };
    let caller = request
        .remote_addr()
        .as_socket_addr()
        .map(std::net::SocketAddr::ip);
    let Some(address) = question.address.or(caller) else {
        let text =
            format!("the caller's address is not known; ask like {PATH}?service=NAME&address=IP");
        return text.with_status(StatusCode::BAD_REQUEST).into_response();
    };
    let ask = Ask {
        address,
        service: &question.service,
        account: question.account.as_ref(),
    };
    match parts.lookup.answer(ask) {
        Some(answer) => {
            let cache = answer.cache_control();
            Json(answer)
                .with_header(header::CACHE_CONTROL, cache)
                .into_response()
        }
        None if parts.node.config.view().is_none() => {
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
