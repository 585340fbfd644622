//! Creates the components of an instance.

use std::sync::Arc;

use sg_clock::Timer;
use sg_forward::{Forward, dependencies::Dependencies, forward};
use sg_peer::{Metrics, Rpc, core::Identity, frame::Place, list, node};
use sg_share::engine;
use sg_store::http;
use sg_types::prelude::*;
use tokio::sync::watch;

use super::{Components, Error, Node};
use crate::{
    Settings, budgets,
    dependencies::{
        AccountAdmission, Announcer, BudgetedSelector, FreshnessCheck, PeerDirectory, Readiness,
        TreeSource,
    },
    evidence::Recorder,
};

/// Timeout of a request to another instance.
const PEER_TIMEOUT: Span = Span::from_secs(1);
/// Timeout of a request to the instance list.
const LIST_TIMEOUT: Span = Span::from_secs(2);
/// Interval between reads of the instance list.
const LIST_PERIOD: Span = Span::from_secs(2);
/// Time limit for handing over shares to other instances at a stop.
const STOP_TIMEOUT: Span = Span::from_secs(2);
/// Number of instances that steering assumes until the membership is known.
const INITIAL_FLEET_SIZE: u32 = 7;

/// Dependencies of the request path on the other components.
type RequestDependencies = Dependencies<
    TreeSource,
    AccountAdmission,
    FreshnessCheck,
    BudgetedSelector,
    Announcer,
    PeerDirectory,
>;

/// Creates and starts the components. Does not listen for callers or operators yet.
pub(super) async fn build(
    settings: Settings,
    stopping: watch::Receiver<bool>,
) -> Result<Components, Error> {
    let settings = Arc::new(settings);
    let timer = Timer::new();
    let registry = prometheus::Registry::new();
    let incarnation = Incarnation::new(rand::random());
    let node = start_node(&settings, incarnation, &timer, &registry).await?;
    let steering = sg_steer::Engine::new(sg_steer::engine::Options {
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        seed: rand::random(),
        instances: INITIAL_FLEET_SIZE,
    });
    let ready = Readiness::default();
    let dependencies = dependencies(&settings, &timer, &node, &steering, &ready);
    let identity = forward::Identity {
        instance: settings.instance.clone(),
        incarnation,
    };
    let request_path = Forward::new(identity, dependencies, timer.clone(), &registry)?;
    Ok(Components {
        ready,
        lookup: crate::lookup::Handle::default(),
        evidence: Arc::new(Recorder::new(settings.instance.clone(), incarnation)),
        settings,
        incarnation,
        timer,
        registry,
        node: Arc::new(node),
        steering,
        request_path,
        stopping,
    })
}

async fn start_node(
    settings: &Settings,
    incarnation: Incarnation,
    timer: &Timer,
    registry: &prometheus::Registry,
) -> Result<Node, Error> {
    let place = Place {
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        peer: settings.peer,
        entry: settings.serve,
        admin: Some(settings.admin),
    };
    let options = node::Options {
        identity: Identity {
            instance: settings.instance.clone(),
            incarnation,
            place,
        },
        listen: settings.peer,
        share: engine::Options {
            sole_runs: settings.sole_runs,
            ..engine::Options::default()
        },
        budgets: budgets::from_view,
        list_period: LIST_PERIOD,
        stop_within: STOP_TIMEOUT,
        metrics: Metrics::register(registry)?,
    };
    let store = http::Client::new(http::Options::new(settings.store.clone()), timer.clone())?;
    let list = list::Options {
        addresses: vec![settings.instances],
        timeout: LIST_TIMEOUT,
    };
    let list = list::Client::new(list, timer.clone())?;
    let rpc = Rpc::new(PEER_TIMEOUT);
    Ok(sg_peer::Node::start(options, timer.clone(), store, list, rpc).await?)
}

/// Connects the request path to the other components.
fn dependencies(
    settings: &Settings,
    timer: &Timer,
    node: &Node,
    steering: &sg_steer::Engine,
    ready: &Readiness,
) -> RequestDependencies {
    Dependencies {
        tree: TreeSource {
            config: node.config.clone(),
            ready: ready.clone(),
        },
        admission: AccountAdmission(node.shares.clone()),
        freshness: FreshnessCheck(node.fresh.clone()),
        selector: BudgetedSelector {
            engine: steering.clone(),
            shares: node.shares.clone(),
            region: settings.region.clone(),
        },
        notice_sender: Announcer {
            notices: node.notices.clone(),
            engine: steering.clone(),
            timer: timer.clone(),
        },
        directory: PeerDirectory {
            members: node.members.clone(),
            timer: timer.clone(),
        },
    }
}
