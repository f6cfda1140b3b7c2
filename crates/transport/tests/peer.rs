//! Tests connections between instances: responses out of order, deadlines, malformed input, mutual
//! TLS and key rotation.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use filbertbay_coordination::membership::MembershipUpdate;
use filbertbay_coordination::share::{Allocation, Message};
use filbertbay_protocol::peer::{Heartbeat, Peer, Relay};
use filbertbay_transport::peer::{ErrorKind, PeerPool, Server};
use filbertbay_transport::tls::{Identity, IdentityFiles};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use tarpc::context::Context;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::LocalSet;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Peer that responds to the part "first" only after another part has been requested.
#[derive(Clone, Default)]
struct Service {
    other_requested: Arc<Notify>,
}

impl Peer for Service {
    async fn probe(self, _: Context, heartbeat: Heartbeat) -> Option<Heartbeat> {
        Some(heartbeat)
    }

    async fn relay(self, _: Context, _: Relay) -> Option<Heartbeat> {
        std::future::pending().await
    }

    async fn members(self, _: Context) -> Vec<MembershipUpdate> {
        Vec::new()
    }

    async fn announce(self, _: Context, _: Arc<str>, _: u64) {}

    async fn head(self, _: Context, above: u64) -> Option<Vec<u8>> {
        Some(above.to_be_bytes().to_vec())
    }

    async fn part(self, _: Context, digest: Arc<str>) -> Option<Vec<u8>> {
        match digest.as_ref() {
            "first" => self.other_requested.notified().await,
            _ => self.other_requested.notify_one(),
        }
        Some(digest.as_bytes().to_vec())
    }

    async fn share(self, _: Context, _: Arc<str>, messages: Vec<Message>) -> Vec<Message> {
        messages
    }

    async fn allocation(self, _: Context, _: u64) -> Option<Allocation> {
        None
    }
}

struct CertificateAuthority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl CertificateAuthority {
    fn new() -> Self {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap();
        Self { issuer }
    }

    fn write(&self, folder: &Path) -> IdentityFiles {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec!["127.0.0.1".to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        let files = IdentityFiles {
            certificate: folder.join("certificate.pem"),
            key: folder.join("key.pem"),
            authorities: Some(folder.join("authorities.pem")),
        };
        std::fs::write(&files.certificate, certificate.pem()).unwrap();
        std::fs::write(&files.key, key.serialize_pem()).unwrap();
        std::fs::write(files.authorities.as_ref().unwrap(), self.issuer.pem()).unwrap();
        files
    }

    fn identity(&self, folder: &Path) -> Arc<Identity> {
        let alpn = Some(filbertbay_transport::peer::ALPN);
        Arc::new(Identity::load(self.write(folder), alpn).unwrap())
    }
}

async fn bind(identity: Option<Arc<Identity>>) -> Server {
    let address = "127.0.0.1:0".parse().unwrap();
    Server::bind(address, identity, Service::default())
        .await
        .unwrap()
}

async fn head(pool: &PeerPool, server: &Server, above: u64) -> Result<Option<Vec<u8>>, ErrorKind> {
    pool.call(server.address(), TIMEOUT, |client, context| async move {
        client.head(context, above).await
    })
    .await
    .map_err(|error| error.kind())
}

#[tokio::test]
async fn out_of_order_responses_reach_their_requests() {
    let local = LocalSet::new();
    let test = async {
        let server = bind(None).await;
        let pool = PeerPool::new(None);
        let part = |digest: &'static str| {
            pool.call(
                server.address(),
                TIMEOUT,
                move |client, context| async move { client.part(context, digest.into()).await },
            )
        };
        let (first, second) = tokio::join!(part("first"), part("second"));
        assert_eq!(first.unwrap().unwrap(), b"first");
        assert_eq!(second.unwrap().unwrap(), b"second");
    };
    local.run_until(Box::pin(test)).await;
}

#[tokio::test]
async fn missed_deadline_keeps_the_connection_usable() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let server = bind(None).await;
            let pool = PeerPool::new(None);
            assert!(head(&pool, &server, 1).await.is_ok());
            let timed_out = pool
                .call(
                    server.address(),
                    Duration::from_millis(50),
                    |client, context| async move { client.relay(context, relay_request()).await },
                )
                .await;
            assert_eq!(timed_out.unwrap_err().kind(), ErrorKind::Unanswered);
            assert_eq!(
                head(&pool, &server, 2).await.unwrap().unwrap(),
                2_u64.to_be_bytes()
            );
        })
        .await;
}

/// Guards against input that stops the server: after arbitrary bytes on some connections, it must
/// still serve others.
#[test]
fn arbitrary_bytes_do_not_affect_other_connections() {
    fn property(streams: Vec<Vec<u8>>) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        LocalSet::new().block_on(&runtime, async {
            let server = bind(None).await;
            for bytes in streams {
                // A valid length prefix lets the bytes pass the framing and reach the message decoder.
                let length = u32::try_from(bytes.len()).unwrap().to_be_bytes();
                let mut stream = TcpStream::connect(server.address()).await.unwrap();
                // Writing may fail because the server may close the connection first.
                let _ = stream.write_all(&[&length[..], &bytes[..]].concat()).await;
                let _ = stream.write_all(&bytes).await;
            }
            let pool = PeerPool::new(None);
            head(&pool, &server, 1).await.is_ok()
        })
    }
    check::runner(24).quickcheck(property as fn(Vec<Vec<u8>>) -> bool);
}

#[tokio::test]
async fn peers_without_a_trusted_certificate_are_rejected() {
    let (trusted_folder, untrusted_folder) =
        (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let local = LocalSet::new();
    local
        .run_until(async {
            let identity = CertificateAuthority::new().identity(trusted_folder.path());
            let server = bind(Some(Arc::clone(&identity))).await;
            let untrusted = CertificateAuthority::new().identity(untrusted_folder.path());
            let trusted = PeerPool::new(Some(identity));
            assert!(head(&trusted, &server, 1).await.is_ok());
            assert!(
                head(&PeerPool::new(Some(untrusted)), &server, 1)
                    .await
                    .is_err()
            );
            assert!(head(&PeerPool::new(None), &server, 1).await.is_err());
        })
        .await;
}

#[tokio::test]
async fn key_rotation_keeps_connections_open() {
    let folder = tempfile::tempdir().unwrap();
    let local = LocalSet::new();
    local
        .run_until(async {
            let authority = CertificateAuthority::new();
            let identity = authority.identity(folder.path());
            let server = bind(Some(Arc::clone(&identity))).await;
            let before = PeerPool::new(Some(Arc::clone(&identity)));
            assert!(head(&before, &server, 1).await.is_ok());
            authority.write(folder.path());
            assert!(head(&before, &server, 2).await.is_ok());
            let after = PeerPool::new(Some(identity));
            assert!(head(&after, &server, 3).await.is_ok());
        })
        .await;
}

fn relay_request() -> Relay {
    use filbertbay_state::instance::{Instance, Presence};
    let address = "127.0.0.1:1".parse().unwrap();
    let instance = Instance {
        name: "a".into(),
        incarnation: 1,
        data_centre: "quimper".into(),
        caller_address: address,
        peer_address: address,
        forward_address: address,
        presence: Presence::Live,
    };
    let heartbeat = Heartbeat {
        protocol: filbertbay_protocol::peer::PROTOCOL_VERSION,
        from: MembershipUpdate::first(instance),
        config_version: 0,
        platform_contact_age: Some(Duration::ZERO),
        allocation_epoch: 1,
        updates: Vec::new(),
    };
    Relay {
        heartbeat,
        to: "b".into(),
    }
}
