//! Receives batches from peers.

use crate::{
    MAX_BATCH_BYTES,
    counters::{LiveCounters, increment},
    decode,
    error::{BatchError, MalformedSnafu, OversizeSnafu, SiteSnafu},
    generated::{Batch, peer_server},
};
use medlarspur_lib::{ids::SiteName, message::Message};
use prost::Message as _;
use snafu::{ResultExt, ensure};
use std::sync::{Arc, mpsc::SyncSender};
use tonic::{Request, Response, Status};

/// Passes the messages of peers to the control thread.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) site: SiteName,
    pub(crate) inbox: SyncSender<Message>,
    pub(crate) counters: Arc<LiveCounters>,
}

#[tonic::async_trait]
impl peer_server::Peer for Server {
    async fn exchange(&self, request: Request<Batch>) -> Result<Response<Batch>, Status> {
        match self.accept(request.into_inner()) {
            Ok(()) => Ok(Response::new(Batch::default())),
            Err(error) => Err(self.refuse(&error)),
        }
    }
}

impl Server {
    /// Accepts a batch, or refuses all of it if a message is invalid.
    fn accept(&self, batch: Batch) -> Result<(), BatchError> {
        ensure!(batch.site == self.site.as_str(), SiteSnafu);
        let bytes = batch.encoded_len();
        ensure!(bytes <= MAX_BATCH_BYTES, OversizeSnafu { bytes });
        for envelope in &batch.messages {
            self.counters.count_received(envelope);
        }
        let messages = batch.messages.into_iter().map(decode).collect::<Result<Vec<_>, _>>();
        for message in messages.context(MalformedSnafu)? {
            if self.inbox.try_send(message).is_err() {
                increment(&self.counters.unread);
            }
        }
        Ok(())
    }

    /// Counts a refused batch and returns its gRPC status.
    fn refuse(&self, error: &BatchError) -> Status {
        let counters = &self.counters;
        match error {
            BatchError::Site => {
                increment(&counters.foreign);
                Status::permission_denied(error.to_string())
            }
            BatchError::Oversize { .. } => {
                increment(&counters.oversize);
                Status::out_of_range(error.to_string())
            }
            BatchError::Malformed { .. } => {
                increment(&counters.malformed);
                Status::invalid_argument(error.to_string())
            }
        }
    }
}
