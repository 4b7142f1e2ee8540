//! The settings as they are now: the file may change while the process runs,
//! with a signal or without one.
//!
//! What may change is where the store and the peers are. It is read again when
//! a signal says so and when the store can't be reached, which is when another
//! address would help. Everything else needs a restart.

use medlarspur_lib::settings::MarkedSettings;
use snafu::{ResultExt, Snafu};
use std::{
    fs, io,
    net::SocketAddrV4,
    path::{Path, PathBuf},
    sync::{Mutex, PoisonError},
};

/// Why settings that were read again are not taken.
#[derive(Debug, Snafu)]
enum ReloadError {
    #[snafu(display("they can't be read"))]
    Read { source: io::Error },
    #[snafu(display("they don't hold: {faults}"))]
    Faulty { faults: medlarspur_lib::document::Report },
}

/// The settings that are in force.
#[derive(Debug)]
pub struct LiveSettings {
    path: PathBuf,
    settings: Mutex<MarkedSettings>,
}

impl LiveSettings {
    /// Starts with settings that were read from `path`.
    pub fn new(path: &Path, settings: &MarkedSettings) -> LiveSettings {
        LiveSettings { path: path.to_owned(), settings: Mutex::new(settings.clone()) }
    }

    /// Where the store is.
    pub fn store_address(&self) -> SocketAddrV4 {
        self.settings.lock().unwrap_or_else(PoisonError::into_inner).store
    }

    /// Where instances are that may know others.
    pub fn seeds(&self) -> Vec<SocketAddrV4> {
        self.settings.lock().unwrap_or_else(PoisonError::into_inner).peers.clone()
    }

    /// Reads the settings again and takes over what may change. Those in force
    /// stay if the new ones don't hold.
    pub fn reload(&self) {
        let fresh = match self.read() {
            Ok(fresh) => fresh,
            Err(error) => {
                log::warn!("reload: the settings stay as they are: {error}");
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
            log::warn!("reload: some settings have changed that need a restart");
        }
        log::info!("reload: the store is at {}, peers at {:?}", fresh.store, fresh.peers);
        *settings = taken;
    }

    fn read(&self) -> Result<MarkedSettings, ReloadError> {
        let text = fs::read_to_string(&self.path).context(ReadSnafu)?;
        MarkedSettings::parse(&text).map_err(|faults| ReloadError::Faulty { faults })
    }
}
