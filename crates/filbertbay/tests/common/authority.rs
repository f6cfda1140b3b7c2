//! Certificate authority that issues certificates for tests.

use std::path::Path;

use filbertbay_transport::tls::IdentityFiles;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};

/// Issues a certificate for 127.0.0.1 and writes it, its key and its authority into a directory.
pub fn write(directory: &Path) -> IdentityFiles {
    let mut params = CertificateParams::new(Vec::new()).expect("no names");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().expect("a key");
    let issuer = CertifiedIssuer::self_signed(params, key).expect("signed");
    let key = KeyPair::generate().expect("a key");
    let params = CertificateParams::new(vec!["127.0.0.1".to_owned()]).expect("an address");
    let certificate = params.signed_by(&key, &issuer).expect("signed");
    let path = |name: &str| directory.join(name);
    std::fs::write(path("certificate.pem"), certificate.pem()).expect("written");
    std::fs::write(path("key.pem"), key.serialize_pem()).expect("written");
    std::fs::write(path("authorities.pem"), issuer.pem()).expect("written");
    IdentityFiles {
        certificate: path("certificate.pem"),
        key: path("key.pem"),
        authorities: Some(path("authorities.pem")),
    }
}
