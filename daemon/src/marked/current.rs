//! Settings that can be reloaded while the process runs.
//!
//! Only the addresses of the store and of the peers can change; everything else needs a
//! restart. The file is read again on a signal, and when the store can't be reached, as
//! its address may have changed.

use medlarspur_lib::settings::MarkedSettings;
use snafu::{ResultExt, Snafu};
use std::{
    fs, io,
    net::SocketAddrV4,
    path::{Path, PathBuf},
    sync::{Mutex, PoisonError},
};

/// Reasons why reloaded settings are rejected.
#[derive(Debug, Snafu)]
enum ReloadError {
    #[snafu(display("the file can't be read"))]
    Read { source: io::Error },
    #[snafu(display("the file is invalid: {faults}"))]
    Faulty { faults: medlarspur_lib::document::Report },
}

/// The settings in force.
#[derive(Debug)]
pub struct LiveSettings {
    path: PathBuf,
    settings: Mutex<MarkedSettings>,
}

impl LiveSettings {
    /// Creates live settings from those read from `path`.
    pub fn new(path: &Path, settings: &MarkedSettings) -> LiveSettings {
        LiveSettings { path: path.to_owned(), settings: Mutex::new(settings.clone()) }
    }

    /// The store's address.
    pub fn store_address(&self) -> SocketAddrV4 {
        self.settings.lock().unwrap_or_else(PoisonError::into_inner).store
    }

    /// The addresses of instances from which others can be learned.
    pub fn seeds(&self) -> Vec<SocketAddrV4> {
        self.settings.lock().unwrap_or_else(PoisonError::into_inner).peers.clone()
    }

    /// Reads the settings again and takes over those that can change. Invalid settings
    /// are rejected as a whole.
    pub fn reload(&self) {
        let fresh = match self.read() {
            Ok(fresh) => fresh,
            Err(error) => {
                log::warn!("reload: rejected, the settings stay as they are: {error}");
                return;
            }
        };
        let mut settings = self.settings.lock().unwrap_or_else(PoisonError::into_inner);
        if *settings == fresh {
            return;
        }
        let peers = fresh.peers.clone();
        let taken = MarkedSettings { store: fresh.store, peers, ..settings.clone() };
        if taken != fresh {
            log::warn!("reload: some changed settings need a restart and are ignored");
        }
        log::info!("reload: store address {}, peer addresses {:?}", fresh.store, fresh.peers);
        *settings = taken;
    }

    fn read(&self) -> Result<MarkedSettings, ReloadError> {
        let text = fs::read_to_string(&self.path).context(ReadSnafu)?;
        MarkedSettings::parse(&text).map_err(|faults| ReloadError::Faulty { faults })
    }
}
