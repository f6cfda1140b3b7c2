//! TLS identities that are reloaded when their files change.
//!
//! An [`Identity`] reads a certificate chain, a private key and optional certificate authorities
//! from PEM files, and reads them again once one of them has been modified. New connections thus
//! use new keys without a restart, while open connections are unaffected.

use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::SystemTime;

use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use tokio_rustls::{TlsAcceptor, TlsConnector};

/// Kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// A file could not be read.
    Unreadable,
    /// A file contains no valid certificate or private key.
    Malformed,
    /// The private key does not match the certificate, or an authority is unusable.
    Unusable,
}

/// Error of loading a TLS identity.
#[derive(Debug, thiserror::Error)]
#[error("{}: {message}", path.display())]
pub struct Error {
    kind: ErrorKind,
    path: PathBuf,
    message: String,
}

impl Error {
    fn new<M>(kind: ErrorKind, path: &Path, message: &M) -> Self
    where
        M: ToString + ?Sized,
    {
        Self {
            kind,
            path: path.to_owned(),
            message: message.to_string(),
        }
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

/// PEM files of an identity.
#[derive(Clone, Debug)]
pub struct IdentityFiles {
    /// Certificate chain.
    pub certificate: PathBuf,
    /// Private key.
    pub key: PathBuf,
    /// Certificate authorities that the peer's certificate must chain to.
    pub authorities: Option<PathBuf>,
}

/// Certificate, private key and certificate authorities, reloaded when their files change.
#[derive(Debug)]
pub struct Identity {
    files: IdentityFiles,
    alpn: Option<&'static [u8]>,
    loaded: Mutex<LoadedIdentity>,
}

#[derive(Debug)]
struct LoadedIdentity {
    modified_at: Vec<SystemTime>,
    server: Arc<ServerConfig>,
    client: Option<Arc<ClientConfig>>,
}

impl Identity {
    /// Loads an identity. `alpn` is the protocol that connections negotiate, if any.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read or has invalid contents.
    pub fn load(files: IdentityFiles, alpn: Option<&'static [u8]>) -> Result<Self, Error> {
        let loaded = Mutex::new(load(&files, alpn)?);
        Ok(Self {
            files,
            alpn,
            loaded,
        })
    }

    /// Returns an acceptor for the current contents of the files.
    ///
    /// With certificate authorities, clients must present a certificate signed by one of them.
    ///
    /// # Errors
    ///
    /// Returns an error if modified files are unusable. Acceptors and connectors returned before
    /// remain valid.
    pub fn acceptor(&self) -> Result<TlsAcceptor, Error> {
        Ok(TlsAcceptor::from(
            self.with_current(|loaded| Arc::clone(&loaded.server))?,
        ))
    }

    /// Returns a connector for the current contents of the files.
    ///
    /// Returns `None` without certificate authorities.
    ///
    /// # Errors
    ///
    /// Returns an error if modified files are unusable. Acceptors and connectors returned before
    /// remain valid.
    pub fn connector(&self) -> Result<Option<TlsConnector>, Error> {
        Ok(self
            .with_current(|loaded| loaded.client.clone())?
            .map(TlsConnector::from))
    }

    fn with_current<T, F>(&self, select: F) -> Result<T, Error>
    where
        F: FnOnce(&LoadedIdentity) -> T,
    {
        let mut loaded = self.loaded.lock().unwrap_or_else(PoisonError::into_inner);
        if modification_times(&self.files)? != loaded.modified_at {
            *loaded = load(&self.files, self.alpn)?;
        }
        Ok(select(&loaded))
    }
}

fn load(files: &IdentityFiles, alpn: Option<&'static [u8]>) -> Result<LoadedIdentity, Error> {
    let modified_at = modification_times(files)?;
    let chain = certificates(&files.certificate)?;
    let roots = files.authorities.as_deref().map(authorities).transpose()?;
    let mut server = server_config(files, chain.clone(), roots.clone())?;
    let mut client = roots
        .map(|roots| client_config(files, chain, roots))
        .transpose()?;
    if let Some(alpn) = alpn {
        server.alpn_protocols = vec![alpn.to_vec()];
        if let Some(client) = &mut client {
            client.alpn_protocols = vec![alpn.to_vec()];
        }
    }
    Ok(LoadedIdentity {
        modified_at,
        server: Arc::new(server),
        client: client.map(Arc::new),
    })
}

fn server_config(
    files: &IdentityFiles,
    chain: Vec<CertificateDer<'static>>,
    roots: Option<Arc<RootCertStore>>,
) -> Result<ServerConfig, Error> {
    let unusable = |error: &dyn ToString| {
        Error::new(ErrorKind::Unusable, &files.certificate, &error.to_string())
    };
    let builder = ServerConfig::builder();
    let builder = match roots {
        Some(roots) => {
            let verifier = WebPkiClientVerifier::builder(roots).build();
            builder.with_client_cert_verifier(verifier.map_err(|error| unusable(&error))?)
        }
        None => builder.with_no_client_auth(),
    };
    builder
        .with_single_cert(chain, private_key(&files.key)?)
        .map_err(|error| unusable(&error))
}

fn client_config(
    files: &IdentityFiles,
    chain: Vec<CertificateDer<'static>>,
    roots: Arc<RootCertStore>,
) -> Result<ClientConfig, Error> {
    ClientConfig::builder()
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, private_key(&files.key)?)
        .map_err(|error| Error::new(ErrorKind::Unusable, &files.certificate, &error))
}

fn authorities(path: &Path) -> Result<Arc<RootCertStore>, Error> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(path)? {
        roots
            .add(certificate)
            .map_err(|error| Error::new(ErrorKind::Unusable, path, &error))?;
    }
    Ok(Arc::new(roots))
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let read: Result<Vec<_>, _> = rustls_pemfile::certs(&mut reader(path)?).collect();
    let chain = read.map_err(|error| Error::new(ErrorKind::Malformed, path, &error))?;
    if chain.is_empty() {
        return Err(Error::new(
            ErrorKind::Malformed,
            path,
            "no certificate found",
        ));
    }
    Ok(chain)
}

fn private_key(path: &Path) -> Result<PrivateKeyDer<'static>, Error> {
    rustls_pemfile::private_key(&mut reader(path)?)
        .map_err(|error| Error::new(ErrorKind::Malformed, path, &error))?
        .ok_or_else(|| Error::new(ErrorKind::Malformed, path, "no private key found"))
}

fn reader(path: &Path) -> Result<BufReader<File>, Error> {
    File::open(path)
        .map(BufReader::new)
        .map_err(|error| Error::new(ErrorKind::Unreadable, path, &error))
}

fn modification_times(files: &IdentityFiles) -> Result<Vec<SystemTime>, Error> {
    [
        Some(&files.certificate),
        Some(&files.key),
        files.authorities.as_ref(),
    ]
    .into_iter()
    .flatten()
    .map(|path| {
        std::fs::metadata(path)
            .and_then(|metadata| metadata.modified())
            .map_err(|error| Error::new(ErrorKind::Unreadable, path, &error))
    })
    .collect()
}
