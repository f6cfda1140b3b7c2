//! TLS identities that follow their files.
//!
//! An [`Identity`] reads a certificate chain, a private key and optional authorities from PEM files.
//! It reads them again when one of them has changed, so that new connections use new keys without
//! a restart, while open connections go on undisturbed.

use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::SystemTime;

use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use tokio_rustls::{TlsAcceptor, TlsConnector};

/// What went wrong with a TLS identity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// A file could not be read.
    Unreadable,
    /// A file holds no usable certificate or key.
    Malformed,
    /// Certificate and key do not fit, or the authorities are unusable.
    Unusable,
}

/// Failure to read a TLS identity.
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

    /// Returns what went wrong.
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
    /// Authorities that sign the other side's certificate.
    pub authorities: Option<PathBuf>,
}

/// Certificate, key and authorities that follow their files.
#[derive(Debug)]
pub struct Identity {
    files: IdentityFiles,
    alpn: Option<&'static [u8]>,
    loaded: Mutex<Loaded>,
}

#[derive(Debug)]
struct Loaded {
    changed: Vec<SystemTime>,
    server: Arc<ServerConfig>,
    client: Option<Arc<ClientConfig>>,
}

impl Identity {
    /// Reads an identity; `alpn` names the protocol that both sides must speak, if any.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read or does not hold what it should.
    pub fn load(files: IdentityFiles, alpn: Option<&'static [u8]>) -> Result<Self, Error> {
        let loaded = Mutex::new(load(&files, alpn)?);
        Ok(Self {
            files,
            alpn,
            loaded,
        })
    }

    /// Returns an acceptor that uses the files as they are now.
    ///
    /// Where authorities are set, the other side must present a certificate of theirs.
    ///
    /// # Errors
    ///
    /// Returns an error if changed files are unusable; the caller may keep what it had.
    pub fn acceptor(&self) -> Result<TlsAcceptor, Error> {
        Ok(TlsAcceptor::from(
            self.refreshed(|loaded| Arc::clone(&loaded.server))?,
        ))
    }

    /// Returns a connector that uses the files as they are now, if authorities are set.
    ///
    /// # Errors
    ///
    /// Returns an error if changed files are unusable; the caller may keep what it had.
    pub fn connector(&self) -> Result<Option<TlsConnector>, Error> {
        Ok(self
            .refreshed(|loaded| loaded.client.clone())?
            .map(TlsConnector::from))
    }

    fn refreshed<T, F>(&self, pick: F) -> Result<T, Error>
    where
        F: FnOnce(&Loaded) -> T,
    {
        let mut loaded = self.loaded.lock().unwrap_or_else(PoisonError::into_inner);
        if changed(&self.files)? != loaded.changed {
            *loaded = load(&self.files, self.alpn)?;
        }
        Ok(pick(&loaded))
    }
}

fn load(files: &IdentityFiles, alpn: Option<&'static [u8]>) -> Result<Loaded, Error> {
    let changed = changed(files)?;
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
    Ok(Loaded {
        changed,
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

fn changed(files: &IdentityFiles) -> Result<Vec<SystemTime>, Error> {
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
