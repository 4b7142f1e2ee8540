//! The thread of the control connections and the handle on it.

use crate::{
    Counters, MAX_BATCH_BYTES, PeerSettings, PeerTls,
    client::{self, ClientContext},
    counters::{LiveCounters, increment},
    error::{ListenSnafu, PeerError, ThreadSnafu, TlsSnafu},
    generated::peer_server::PeerServer,
    server::Server,
};
use medlarspur_lib::message::Message;
use snafu::ResultExt;
use std::{
    net::{SocketAddr, SocketAddrV4, TcpListener},
    sync::{
        Arc,
        mpsc::{self, Receiver},
    },
    thread,
    time::Duration,
};
use tokio::sync::{
    mpsc::{Sender, channel},
    oneshot,
};
use tonic::transport::{
    Certificate, ClientTlsConfig, Identity, ServerTlsConfig, server::TcpIncoming,
};

/// How many messages wait in each direction between the threads. A fleet of a
/// thousand sends a node some tens a second; this is room for a long pause of
/// the control thread.
const CHANNEL_CAPACITY: usize = 4_096;
/// How long the first answer of a request may take; the handler only queues.
const SERVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts the control connections.
#[derive(Debug)]
pub struct Peers;

/// The control thread's end. Dropping it ends the connections.
#[derive(Debug)]
pub struct PeerHandle {
    addr: SocketAddrV4,
    outbox: Sender<(SocketAddrV4, Message)>,
    inbox: Receiver<Message>,
    counters: Arc<LiveCounters>,
    _stop: oneshot::Sender<()>,
}

impl Peers {
    /// Listens and starts the thread.
    ///
    /// # Errors
    ///
    /// If the address can't be listened at, the keys are unusable, or the
    /// thread can't be started.
    pub fn start(settings: PeerSettings) -> Result<PeerHandle, PeerError> {
        let addr = settings.listen;
        let listener = TcpListener::bind(addr).context(ListenSnafu { addr })?;
        listener.set_nonblocking(true).context(ListenSnafu { addr })?;
        let bound = match listener.local_addr().context(ListenSnafu { addr })? {
            SocketAddr::V4(bound) => bound,
            SocketAddr::V6(_) => addr,
        };
        let counters = Arc::new(LiveCounters::default());
        let (inbox_sender, inbox) = mpsc::sync_channel(CHANNEL_CAPACITY);
        let (outbox, outbox_receiver) = channel(CHANNEL_CAPACITY);
        let (stop, stopped) = oneshot::channel::<()>();
        let server =
            Server { site: settings.site.clone(), inbox: inbox_sender, counters: counters.clone() };
        let builder = server_builder(settings.tls.as_ref())?;
        // Twice the limit, so that what is somewhat too large is read and counted.
        let service = PeerServer::new(server).max_decoding_message_size(2 * MAX_BATCH_BYTES);
        let tls = settings.tls.as_ref().map(client_tls);
        let context =
            Arc::new(ClientContext { site: settings.site, tls, counters: counters.clone() });
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(ThreadSnafu)?;
        let run = move || {
            runtime.block_on(serve(listener, builder, service, context, outbox_receiver, stopped))
        };
        thread::Builder::new().name("peers".into()).spawn(run).context(ThreadSnafu)?;
        Ok(PeerHandle { addr: bound, outbox, inbox, counters, _stop: stop })
    }
}

async fn serve(
    listener: TcpListener,
    builder: tonic::transport::Server,
    service: PeerServer<Server>,
    context: Arc<ClientContext>,
    outbox: tokio::sync::mpsc::Receiver<(SocketAddrV4, Message)>,
    stopped: oneshot::Receiver<()>,
) {
    tokio::spawn(client::dispatch(context, outbox));
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => {
            log::error!("peers can't be listened for: {e}");
            return;
        }
    };
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let end = async {
        let _ = stopped.await;
    };
    if let Err(e) = builder.serve_with_incoming_shutdown(service, incoming, end).await {
        log::error!("peers are no longer served: {e}");
    }
}

fn server_builder(tls: Option<&PeerTls>) -> Result<tonic::transport::Server, PeerError> {
    let builder = tonic::transport::Server::builder().timeout(SERVE_TIMEOUT);
    let Some(tls) = tls else { return Ok(builder) };
    let config = ServerTlsConfig::new()
        .identity(Identity::from_pem(&tls.certificate, &tls.key))
        .client_ca_root(Certificate::from_pem(&tls.authority));
    builder.tls_config(config).context(TlsSnafu)
}

fn client_tls(tls: &PeerTls) -> ClientTlsConfig {
    ClientTlsConfig::new()
        .domain_name(tls.name.clone())
        .ca_certificate(Certificate::from_pem(&tls.authority))
        .identity(Identity::from_pem(&tls.certificate, &tls.key))
}

impl PeerHandle {
    /// Where peers reach this instance.
    pub fn addr(&self) -> SocketAddrV4 {
        self.addr
    }

    /// Sends `message` to the instance at `to`, if there is room and it is
    /// reached; it is not told whether.
    pub fn send(&self, to: SocketAddrV4, message: Message) {
        if self.outbox.try_send((to, message)).is_err() {
            increment(&self.counters.dropped);
        }
    }

    /// The next message that a peer sent, if there is one.
    pub fn try_recv(&self) -> Option<Message> {
        self.inbox.try_recv().ok()
    }

    /// The next message that a peer sent, waiting for it up to `limit`.
    pub fn recv_timeout(&self, limit: Duration) -> Option<Message> {
        self.inbox.recv_timeout(limit).ok()
    }

    /// What was sent, received, dropped and refused until now.
    pub fn counters(&self) -> Counters {
        self.counters.read()
    }
}
