//! Resolves inheritance into typed values, and validates references between nodes.

use std::{str::FromStr, sync::Arc};

use sg_types::prelude::*;

use crate::{
    Digest, Fault, Node, Path, View,
    setting::{self, Spec},
    view::{
        Access, Account, Domain, Entry, Fleet, Key, Link, Method, Region, Route, Service, Target,
    },
};

/// Separator between the two regions in a link's name.
const LINK_SEPARATOR: &str = "--";

/// A node's path and the nodes from the root down to the node, whose settings are in effect there.
/// A setting of a deeper node takes precedence.
#[derive(Clone)]
struct Scope<'a> {
    path: Path,
    nodes: Vec<&'a Node>,
}

impl<'a> Scope<'a> {
    /// Returns the scope of the child `name`.
    fn child(&self, name: &str) -> Option<Self> {
        let node = self.nodes.last()?.children.get(name)?;
        let mut nodes = self.nodes.clone();
        nodes.push(node);
        Some(Self {
            path: self.path.join(name),
            nodes,
        })
    }

    /// Returns the names and scopes of all nodes in the child `group_name`.
    fn children(&self, group_name: &str) -> Vec<(&'a Arc<str>, Self)> {
        let Some(group) = self.child(group_name) else {
            return Vec::new();
        };
        let Some(node) = group.nodes.last().copied() else {
            return Vec::new();
        };
        node.children
            .keys()
            .filter_map(|name| group.child(name).map(|scope| (name, scope)))
            .collect()
    }

    /// Returns the text of the setting in effect. Returns `None` if no node sets it, even if the
    /// setting has a default.
    fn text(&self, spec: &Spec) -> Option<&'a str> {
        self.nodes
            .iter()
            .rev()
            .find_map(|node| node.settings.get(spec.name))
            .map(AsRef::as_ref)
    }
}

/// Resolves one tree into a view and collects the tree's faults.
pub(super) struct Resolver<'a> {
    root: &'a Node,
    faults: Vec<Fault>,
}

impl<'a> Resolver<'a> {
    pub(super) fn new(root: &'a Node, faults: Vec<Fault>) -> Self {
        Self { root, faults }
    }

    pub(super) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Resolves the tree into the view of `revision`, and records the tree's faults.
    pub(super) fn view(&mut self, revision: Revision) -> View {
        let root = Scope {
            path: Path::root(),
            nodes: vec![self.root],
        };
        let fleet_scope = root.child("fleet").unwrap_or_else(|| root.clone());
        let mut view = View {
            revision,
            digest: self.root.digest(),
            fleet: self.resolve_fleet(&fleet_scope),
            ..View::default()
        };
        for (name, scope) in root.children("regions") {
            self.insert_region(&mut view, name, &scope);
        }
        for (name, scope) in root.children("entries") {
            let drain = self.flag(&scope, &setting::DRAIN);
            if let Some(name) = self.parse_name::<id::Instance>(&scope, name) {
                view.entries.insert(name, Entry { drain });
            }
        }
        for (name, scope) in root.children("links") {
            self.insert_link(&mut view, name, &scope);
        }
        for (name, scope) in root.children("services") {
            if let Some(name) = self.parse_name::<id::Service>(&scope, name) {
                let service = self.resolve_service(&view, &name, &scope);
                view.services.insert(name, service);
            }
        }
        for (name, scope) in root.children("accounts") {
            if let Some(name) = self.parse_name::<id::Account>(&scope, name) {
                let account = self.resolve_account(&mut view, &name, &scope);
                view.accounts.insert(name, account);
            }
        }
        view
    }

    fn resolve_fleet(&mut self, scope: &Scope<'_>) -> Fleet {
        Fleet {
            slots: self.value(scope, &setting::SLOTS),
            validity: self.value(scope, &setting::VALIDITY),
            relays: self.value(scope, &setting::RELAYS),
            lookup_cache: self.value(scope, &setting::LOOKUP_CACHE),
            ticket_lifetime: self.value(scope, &setting::TICKET_LIFETIME),
            header_limit: self.value(scope, &setting::HEADER_LIMIT),
            concurrency: self.value(scope, &setting::CONCURRENCY),
            drain_grace: self.value(scope, &setting::DRAIN_GRACE),
        }
    }

    fn insert_region(&mut self, view: &mut View, name: &str, scope: &Scope<'_>) {
        let Some(region) = self.parse_name::<id::Region>(scope, name) else {
            return;
        };
        let mut domains = Vec::new();
        for (name, scope) in scope.children("domains") {
            let Some(domain) = self.parse_name::<id::Domain>(&scope, name) else {
                continue;
            };
            if view.domains.contains_key(&domain) {
                self.faults.push(Fault::error(
                    scope.path.clone(),
                    format!("failure domain '{domain}' is in two regions"),
                    "rename one of them",
                ));
            }
            let drain = self.flag(&scope, &setting::DRAIN);
            let blocks = self.text(&scope, &setting::BLOCKS);
            let value = Domain {
                region: region.clone(),
                drain,
                blocks: blocks.split(',').map(|block| block.trim().into()).collect(),
            };
            view.domains.insert(domain.clone(), value);
            domains.push(domain);
        }
        view.regions.insert(region, Region { domains });
    }

    fn insert_link(&mut self, view: &mut View, name: &str, scope: &Scope<'_>) {
        let ends = name.split_once(LINK_SEPARATOR).and_then(|(a, b)| {
            let a = id::Region::new(a).ok()?;
            let b = id::Region::new(b).ok()?;
            let known = view.regions.contains_key(&a) && view.regions.contains_key(&b);
            known.then_some((a, b))
        });
        let Some((a, b)) = ends else {
            self.faults.push(Fault::error(
                scope.path.clone(),
                "the link's name does not consist of two regions of the tree",
                "name it REGION--REGION",
            ));
            return;
        };
        let bandwidth = self.value(scope, &setting::BANDWIDTH);
        view.links.push(Link { a, b, bandwidth });
    }

    fn resolve_service(&mut self, view: &View, name: &id::Service, scope: &Scope<'_>) -> Service {
        let mut service = Service {
            name: name.clone(),
            answer_size: self.value(scope, &setting::ANSWER_SIZE),
            service_time: self.value(scope, &setting::SERVICE_TIME),
            connections: self.value(scope, &setting::CONNECTIONS),
            connect_timeout: self.value(scope, &setting::CONNECT_TIMEOUT),
            progress_timeout: self.value(scope, &setting::PROGRESS_TIMEOUT),
            retry_budget: self.value(scope, &setting::RETRY_BUDGET),
            attempts: self.value(scope, &setting::ATTEMPTS),
            shift_cap: self.value(scope, &setting::SHIFT_CAP),
            shift_interval: self.value(scope, &setting::SHIFT_INTERVAL),
            headroom: self.value(scope, &setting::HEADROOM),
            ejection_cap: self.value(scope, &setting::EJECTION_CAP),
            slow_start: self.value(scope, &setting::SLOW_START),
            load_stale: self.value(scope, &setting::LOAD_STALE),
            probe_interval: self.value(scope, &setting::PROBE_INTERVAL),
            quarantine: self.value(scope, &setting::QUARANTINE),
            split: IndexMap::new(),
            routes: Vec::new(),
            targets: IndexMap::new(),
        };
        self.insert_split(view, &mut service, scope);
        for (name, scope) in scope.children("routes") {
            if let Some(name) = self.parse_name::<id::Route>(&scope, name) {
                let route = self.resolve_route(name, &scope);
                service.routes.push(route);
            }
        }
        for (name, scope) in scope.children("targets") {
            if let Some(name) = self.parse_name::<id::Target>(&scope, name) {
                let target = self.resolve_target(view, &scope);
                service.targets.extend(target.map(|target| (name, target)));
            }
        }
        service
    }

    /// Sets the service's split, and records a fault if the weights don't add up to 100%.
    fn insert_split(&mut self, view: &View, service: &mut Service, scope: &Scope<'_>) {
        for (name, part_scope) in scope.children("split") {
            let region = name.parse().ok().filter(|r| view.regions.contains_key(r));
            match region {
                Some(region) => {
                    let weight = self.value(&part_scope, &setting::WEIGHT);
                    service.split.insert(region, weight);
                }
                None => self.faults.push(Fault::error(
                    part_scope.path.clone(),
                    format!("no region is named '{name}'"),
                    "name a region of the tree",
                )),
            }
        }
        let sum: u32 = service.split.values().map(|weight| weight.as_ppm()).sum();
        if !service.split.is_empty() && sum != Percent::FULL.as_ppm() {
            self.faults.push(Fault::error(
                scope.path.join("split"),
                format!("the weights add up to {}%", f64::from(sum) / 10_000.0),
                "make them add up to 100%",
            ));
        }
    }

    fn resolve_route(&mut self, name: id::Route, scope: &Scope<'_>) -> Route {
        let access = match self.text(scope, &setting::ACCESS).as_ref() {
            "open" => Access::Open,
            _ => Access::Keyed,
        };
        let method = self.text(scope, &setting::METHOD);
        Route {
            name,
            path: self.text(scope, &setting::PATH),
            method: Method::new(&method),
            access,
            repeatable: self.flag(scope, &setting::REPEATABLE),
            deadline: self.value(scope, &setting::DEADLINE),
            body_limit: self.value(scope, &setting::BODY_LIMIT),
            body_timeout: self.value(scope, &setting::BODY_TIMEOUT),
            answer_limit: self.value(scope, &setting::ANSWER_LIMIT),
        }
    }

    /// Resolves a target. Returns `None` if its address or domain is missing or invalid; a fault is
    /// then recorded here or in [`shape`](super::shape).
    fn resolve_target(&mut self, view: &View, scope: &Scope<'_>) -> Option<Target> {
        let address = self.text(scope, &setting::ADDRESS).parse().ok()?;
        let domain = self
            .text(scope, &setting::DOMAIN)
            .parse::<id::Domain>()
            .ok()?;
        let Some(resolved_domain) = view.domains.get(&domain) else {
            self.faults.push(Fault::error(
                scope.path.join(setting::DOMAIN.name),
                format!("no failure domain is named '{domain}'"),
                "name a failure domain of a region of the tree",
            ));
            return None;
        };
        Some(Target {
            address,
            region: resolved_domain.region.clone(),
            drain: resolved_domain.drain || self.flag(scope, &setting::DRAIN),
            domain,
            slots: self.value(scope, &setting::SLOTS),
        })
    }

    /// Resolves an account, and inserts the account's keys that work into `view`.
    fn resolve_account(
        &mut self,
        view: &mut View,
        name: &id::Account,
        scope: &Scope<'_>,
    ) -> Account {
        for (key, scope) in scope.children("keys") {
            let Some(key) = self.parse_name::<id::Key>(&scope, key) else {
                continue;
            };
            let withdrawn = self.flag(&scope, &setting::WITHDRAWN);
            let digest: Digest = self.value(&scope, &setting::DIGEST);
            if withdrawn {
                continue;
            }
            let resolved_key = Key {
                account: name.clone(),
                name: key,
            };
            if view.keys.insert(digest, resolved_key).is_some() {
                self.faults.push(Fault::error(
                    scope.path.clone(),
                    "the same key stands twice",
                    "withdraw one and add a new key",
                ));
            }
        }
        Account {
            rate: self.value(scope, &setting::RATE),
            burst: self.value(scope, &setting::BURST),
            priority: self.value(scope, &setting::PRIORITY),
            queue_limit: self.value(scope, &setting::QUEUE_LIMIT),
        }
    }

    /// Parses a node's name, and records a fault if the name is invalid.
    fn parse_name<T: FromStr>(&mut self, scope: &Scope<'_>, name: &str) -> Option<T> {
        let parsed = name.parse().ok();
        if parsed.is_none() {
            let problem = format!("'{name}' is not a valid name");
            self.faults
                .push(Fault::error(scope.path.clone(), problem, "rename the node"));
        }
        parsed
    }

    /// Returns the text of the setting in effect or the default, and records a fault if there is
    /// neither.
    fn text(&mut self, scope: &Scope<'_>, spec: &Spec) -> Arc<str> {
        match scope.text(spec).or(spec.default) {
            Some(text) => text.into(),
            None => {
                self.faults.push(Fault::error(
                    scope.path.join(spec.name),
                    "a value must be set",
                    format!("set it like {}", spec.format.example()),
                ));
                "".into()
            }
        }
    }

    fn flag(&mut self, scope: &Scope<'_>, spec: &Spec) -> bool {
        self.text(scope, spec).as_ref() == "yes"
    }

    /// Parses the setting in effect or the default, and records a fault if the value is invalid.
    fn value<T: FromStr + Default>(&mut self, scope: &Scope<'_>, spec: &Spec) -> T {
        let text = self.text(scope, spec);
        match text.parse() {
            Ok(value) => value,
            Err(_) if text.is_empty() => T::default(),
            Err(_) => {
                self.faults.push(Fault::error(
                    scope.path.join(spec.name),
                    format!("'{text}' is not a valid value of '{}'", spec.name),
                    format!("write it like {}", spec.format.example()),
                ));
                T::default()
            }
        }
    }
}
