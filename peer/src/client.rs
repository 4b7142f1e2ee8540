//! Sends batches to peers, each over a persistent connection.

use crate::{
    MAX_BATCH_BYTES,
    counters::{LiveCounters, increment},
    encode,
    generated::{Batch, peer_client::PeerClient},
};
use medlarspur_lib::{collections::Map, ids::SiteName, message::Message};
use prost::Message as _;
use std::{net::SocketAddrV4, sync::Arc, time::Duration};
use tokio::{
    sync::mpsc::{self, Receiver, Sender},
    time::timeout,
};
use tonic::transport::{Channel, ClientTlsConfig, Endpoint};

/// Maximum number of messages that wait for one peer. It keeps a peer that hangs from taking
/// memory that the others need.
const MAX_QUEUED: usize = 64;
/// Size in bytes from which no more messages are added to a batch.
const BATCH_BYTES: usize = MAX_BATCH_BYTES / 4;
/// Timeout of connecting and of sending a batch. A frozen peer never answers. After this
/// time, its queued messages are outdated, and their information is sent again anyway.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an unused connection is closed. Neighbours get messages every second,
/// other peers only single requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Settings and counters that all connections share.
#[derive(Debug)]
pub(crate) struct ClientContext {
    pub(crate) site: SiteName,
    pub(crate) tls: Option<ClientTlsConfig>,
    pub(crate) counters: Arc<LiveCounters>,
}

/// Puts each message into the queue of its receiver and opens queues as needed, until the
/// control thread ends.
pub(crate) async fn dispatch(
    context: Arc<ClientContext>,
    mut outbox: Receiver<(SocketAddrV4, Message)>,
) {
    let mut queues: Map<SocketAddrV4, Sender<Message>> = Map::default();
    while let Some((to, message)) = outbox.recv().await {
        queues.retain(|addr, queue| *addr == to || !queue.is_closed());
        let queue = queues.entry(to).or_insert_with(|| open_queue(&context, to));
        if queue.is_closed() {
            *queue = open_queue(&context, to);
        }
        if queue.try_send(message).is_err() {
            increment(&context.counters.dropped);
        }
    }
}

/// Opens the queue of a peer and starts the task that sends its messages.
fn open_queue(context: &Arc<ClientContext>, to: SocketAddrV4) -> Sender<Message> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED);
    tokio::spawn(send_queued(context.clone(), to, receiver));
    sender
}

/// Sends the queued messages of one peer until none arrives for [`IDLE_TIMEOUT`].
async fn send_queued(context: Arc<ClientContext>, to: SocketAddrV4, mut queue: Receiver<Message>) {
    let Some(channel) = connect(&context, to) else {
        increment(&context.counters.failed);
        return;
    };
    let mut client = PeerClient::new(channel);
    while let Ok(Some(first)) = timeout(IDLE_TIMEOUT, queue.recv()).await {
        let batch = fill_batch(&context, first, &mut queue);
        if let Err(status) = client.exchange(batch).await {
            increment(&context.counters.failed);
            log::debug!("sending a batch to peer {to} failed: {}", status.code());
        }
    }
}

fn connect(context: &ClientContext, to: SocketAddrV4) -> Option<Channel> {
    let scheme = if context.tls.is_some() { "https" } else { "http" };
    let endpoint = Endpoint::from_shared(format!("{scheme}://{to}")).ok()?;
    let endpoint = endpoint.connect_timeout(CALL_TIMEOUT).timeout(CALL_TIMEOUT).tcp_nodelay(true);
    let endpoint = match &context.tls {
        Some(tls) => endpoint.tls_config(tls.clone()).ok()?,
        None => endpoint,
    };
    Some(endpoint.connect_lazy())
}

/// Combines the queued messages into one batch, since each call costs some hundred bytes.
fn fill_batch(context: &ClientContext, first: Message, queue: &mut Receiver<Message>) -> Batch {
    let mut batch = Batch { site: context.site.to_string(), messages: Vec::new() };
    let mut bytes = 0;
    let mut next = Some(first);
    while let Some(message) = next {
        let envelope = encode(&message);
        context.counters.count_sent(&envelope);
        bytes += envelope.encoded_len();
        batch.messages.push(envelope);
        next = if bytes < BATCH_BYTES { queue.try_recv().ok() } else { None };
    }
    batch
}
