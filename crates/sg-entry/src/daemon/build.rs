//! Makes the parts of an instance.

use std::sync::Arc;

use sg_clock::Timer;
use sg_forward::{Forward, forward, gate::Gates};
use sg_peer::{Metrics, Rpc, core::Identity, frame::Place, list, node};
use sg_share::engine;
use sg_store::http;
use sg_types::prelude::*;
use tokio::sync::watch;

use super::{Error, Node, Parts};
use crate::{
    Settings, budgets,
    evidence::Ring,
    gates::{Accounts, Config, Fresh, Others, Ready, Speaker, Steering},
};

/// How long another instance may take to answer.
const PEER_TIMEOUT: Span = Span::from_secs(1);
/// How long the list of instances may take to answer.
const LIST_TIMEOUT: Span = Span::from_secs(2);
/// How often the list of instances is read.
const LIST_PERIOD: Span = Span::from_secs(2);
/// How long handing shares on may take at a stop.
const STOP_WITHIN: Span = Span::from_secs(2);
/// How many instances the fleet is thought to have at first.
const FIRST_ENTRIES: u32 = 7;

/// What joins the request path to the other parts.
type Joints = Gates<Config, Accounts, Fresh, Steering, Speaker, Others>;

/// Makes and starts the parts; nothing is served yet.
pub(super) async fn build(
    settings: Settings,
    leaving: watch::Receiver<bool>,
) -> Result<Parts, Error> {
    let settings = Arc::new(settings);
    let timer = Timer::new();
    let registry = prometheus::Registry::new();
    let incarnation = Incarnation::new(rand::random());
    let node = node(&settings, incarnation, &timer, &registry).await?;
    let steer = sg_steer::Engine::new(sg_steer::engine::Options {
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        seed: rand::random(),
        entries: FIRST_ENTRIES,
    });
    let ready = Ready::default();
    let gates = gates(&settings, &timer, &node, &steer, &ready);
    let options = forward::Options {
        instance: settings.instance.clone(),
        incarnation,
    };
    let path = Forward::new(options, gates, timer.clone(), &registry)?;
    Ok(Parts {
        ready,
        lookup: crate::lookup::Handle::default(),
        evidence: Arc::new(Ring::new(settings.instance.clone(), incarnation)),
        settings,
        incarnation,
        timer,
        registry,
        node: Arc::new(node),
        steer,
        path,
        leaving,
    })
}

async fn node(
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
        budgets: budgets::of,
        list_period: LIST_PERIOD,
        stop_within: STOP_WITHIN,
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

/// Joins the request path to the other parts.
fn gates(
    settings: &Settings,
    timer: &Timer,
    node: &Node,
    steer: &sg_steer::Engine,
    ready: &Ready,
) -> Joints {
    Gates {
        tree: Config {
            config: node.config.clone(),
            ready: ready.clone(),
        },
        admission: Accounts(node.shares.clone()),
        freshness: Fresh(node.fresh.clone()),
        steer: Steering {
            engine: steer.clone(),
            shares: node.shares.clone(),
            region: settings.region.clone(),
        },
        announce: Speaker {
            notices: node.notices.clone(),
            engine: steer.clone(),
            timer: timer.clone(),
        },
        directory: Others {
            members: node.members.clone(),
            timer: timer.clone(),
        },
    }
}
