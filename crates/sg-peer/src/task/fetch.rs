//! Task that fetches trees from peers, one at a time.

use std::sync::Arc;

use sg_store::Head;
use sg_tree::{Node, compile};
use sg_types::{id, revision::Revision, time::Span};
use tokio::sync::mpsc;

use crate::{
    config::Origin,
    shared::{FetchRequest, Shared},
    transport::{ChunkRequest, Error, MAX_CHUNK_BYTES, MAX_TREE_BYTES, MIN_CHUNK_BYTES, Transport},
};

/// The timeout for one chunk.
const CHUNK_TIMEOUT: Span = Span::from_secs(2);
/// The factor by which chunks become smaller after one did not arrive in time.
const CHUNK_REDUCTION: usize = 4;
/// The interval between checks of whether the candidate is backed.
const CHECK_INTERVAL: Span = Span::from_millis(100);

/// A tree that may not be installed until evidence such as votes of a majority backs it, since no
/// revision is in force yet.
struct Candidate {
    head: Head,
    tree: Node,
    slots: u32,
    validity: Span,
}

pub(crate) async fn run(
    shared: Arc<Shared>,
    transport: impl Transport,
    mut requests: mpsc::Receiver<FetchRequest>,
) {
    let mut candidate: Option<Candidate> = None;
    loop {
        let deadline = shared.timer.now() + CHECK_INTERVAL;
        let next = shared.timer.until(deadline, requests.recv()).await;
        match next {
            Ok(None) => return,
            Ok(Some(fetch)) => {
                let known = candidate.as_ref().map(|candidate| candidate.head.revision);
                let known = known.max(Some(shared.config.newest().revision));
                if known < Some(fetch.revision) {
                    candidate = fetch_candidate(&shared, &transport, fetch)
                        .await
                        .or(candidate);
                }
            }
            Err(_) => {}
        }
        candidate = install_if_backed(&shared, candidate);
    }
}

/// Fetches a tree. Installs it if a revision is already in force; otherwise returns it as a
/// candidate.
async fn fetch_candidate(
    shared: &Arc<Shared>,
    transport: &impl Transport,
    fetch: FetchRequest,
) -> Option<Candidate> {
    let (head, tree) = match download(shared, transport, &fetch.from, fetch.revision).await {
        Ok(found) => found,
        Err(error) => {
            let labels = [error.as_str()];
            shared.metrics.failed.with_label_values(&labels).inc();
            return None;
        }
    };
    let now = shared.timer.now();
    if shared.config.view().is_some() {
        shared.install(&head, &tree, Origin::Peer, now);
        return None;
    }
    let view = compile::compile(&tree, head.revision).ok()?.view;
    Some(Candidate {
        head,
        tree,
        slots: view.fleet.slots,
        validity: view.fleet.validity,
    })
}

/// Installs the candidate if it is backed, see [`is_backed`](crate::core::Core::is_backed).
/// Otherwise returns the candidate, unless a revision is in force by now.
fn install_if_backed(shared: &Arc<Shared>, candidate: Option<Candidate>) -> Option<Candidate> {
    let candidate = candidate?;
    if shared.config.view().is_some() {
        return None;
    }
    let now = shared.timer.now();
    let revision = candidate.head.revision;
    let is_backed = {
        let core = shared.core.lock();
        core.is_backed(revision, candidate.slots, candidate.validity, now)
    };
    if !is_backed {
        return Some(candidate);
    }
    shared.install(&candidate.head, &candidate.tree, Origin::Peer, now);
    None
}

/// Downloads a tree from an instance, chunk by chunk. Over a link that can't carry a chunk in time, the chunks
/// become smaller.
async fn download(
    shared: &Arc<Shared>,
    transport: &impl Transport,
    from: &id::Instance,
    revision: Revision,
) -> Result<(Head, Node), Error> {
    let place = shared.core.lock().members().place(from).cloned();
    let address = place.ok_or(Error::Absent)?.peer;
    let mut text = String::new();
    let mut max_bytes = MAX_CHUNK_BYTES;
    loop {
        let request = ChunkRequest {
            revision,
            offset: text.len(),
            max_bytes: Some(max_bytes),
        };
        let deadline = shared.timer.now() + CHUNK_TIMEOUT;
        let response = shared
            .timer
            .until(deadline, transport.tree_chunk(address, request));
        let chunk = match response.await.unwrap_or(Err(Error::Timeout)) {
            Err(Error::Timeout) if max_bytes > MIN_CHUNK_BYTES => {
                max_bytes = (max_bytes / CHUNK_REDUCTION).max(MIN_CHUNK_BYTES);
                continue;
            }
            chunk => chunk?,
        };
        if chunk.total > MAX_TREE_BYTES || chunk.text.is_empty() || chunk.head.revision != revision
        {
            return Err(Error::Malformed(
                "chunk is not part of the requested tree".to_owned(),
            ));
        }
        text.push_str(&chunk.text);
        if text.len() > chunk.total {
            return Err(Error::Malformed("tree longer than stated".to_owned()));
        }
        if text.len() == chunk.total {
            let tree = Node::from_json(&text).map_err(|error| Error::Malformed(error.to_string()));
            return Ok((chunk.head, tree?));
        }
    }
}
