//! Start of the control connections' thread, and the handle to it.

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

/// Maximum number of messages that wait between the threads, in each direction. In a fleet
/// of a thousand, an instance receives some tens a second, so this outlasts a long pause of
/// the control thread.
const CHANNEL_CAPACITY: usize = 4_096;
/// Timeout of the request handler, which only queues messages.
const SERVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts the control connections.
#[derive(Debug)]
pub struct Peers;

/// The control thread's handle to the connections. Dropping it closes them.
#[derive(Debug)]
pub struct PeerHandle {
    addr: SocketAddrV4,
    outbox: Sender<(SocketAddrV4, Message)>,
    inbox: Receiver<Message>,
    counters: Arc<LiveCounters>,
    _stop: oneshot::Sender<()>,
}

impl Peers {
    /// Binds the address and starts the thread.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound, the keys are unusable, or the thread can't be
    /// started.
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
        // Twice the maximum, so that a batch slightly above it is read and counted.
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
    /// Returns the address at which this instance accepts connections.
    pub fn addr(&self) -> SocketAddrV4 {
        self.addr
    }

    /// Sends `message` to the instance at `to`. If the channel is full or the instance can't
    /// be reached, the message is dropped without an error.
    pub fn send(&self, to: SocketAddrV4, message: Message) {
        if self.outbox.try_send((to, message)).is_err() {
            increment(&self.counters.dropped);
        }
    }

    /// Returns the next received message, if any.
    pub fn try_recv(&self) -> Option<Message> {
        self.inbox.try_recv().ok()
    }

    /// Returns the next received message, and waits for one up to `timeout`.
    pub fn recv_timeout(&self, timeout: Duration) -> Option<Message> {
        self.inbox.recv_timeout(timeout).ok()
    }

    /// Returns the current values of the counters.
    pub fn counters(&self) -> Counters {
        self.counters.read()
    }
}
