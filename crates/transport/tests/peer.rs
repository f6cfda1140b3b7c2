//! Control links: authentication, crossed answers, deadlines and keys rolled without a cut.

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

/// Answers parts after the second request has come in, so that answers cross.
#[derive(Clone, Default)]
struct Service {
    second: Arc<Notify>,
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
            "first" => self.second.notified().await,
            _ => self.second.notify_one(),
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

struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Authority {
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
async fn crossed_answers_reach_their_requests() {
    let local = LocalSet::new();
    let exchange = async {
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
    local.run_until(Box::pin(exchange)).await;
}

#[tokio::test]
async fn deadline_ends_a_call_and_leaves_the_link() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let server = bind(None).await;
            let pool = PeerPool::new(None);
            assert!(head(&pool, &server, 1).await.is_ok());
            let stuck = pool
                .call(
                    server.address(),
                    Duration::from_millis(50),
                    |client, context| async move { client.relay(context, relay()).await },
                )
                .await;
            assert_eq!(stuck.unwrap_err().kind(), ErrorKind::Unanswered);
            assert_eq!(
                head(&pool, &server, 2).await.unwrap().unwrap(),
                2_u64.to_be_bytes()
            );
        })
        .await;
}

/// Whatever bytes come in on a link, the server goes on to answer other links.
#[test]
fn arbitrary_bytes_disturb_no_other_link() {
    fn property(streams: Vec<Vec<u8>>) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        LocalSet::new().block_on(&runtime, async {
            let server = bind(None).await;
            for bytes in streams {
                // A frame of a stated length lets the bytes reach the decoder of messages.
                let length = u32::try_from(bytes.len()).unwrap().to_be_bytes();
                let mut stream = TcpStream::connect(server.address()).await.unwrap();
                // The server may end the link before all is written.
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
async fn unauthenticated_peer_gets_nothing() {
    let (ours, theirs) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let local = LocalSet::new();
    local
        .run_until(async {
            let identity = Authority::new().identity(ours.path());
            let server = bind(Some(Arc::clone(&identity))).await;
            let foreign = Authority::new().identity(theirs.path());
            let same = PeerPool::new(Some(identity));
            assert!(head(&same, &server, 1).await.is_ok());
            assert!(
                head(&PeerPool::new(Some(foreign)), &server, 1)
                    .await
                    .is_err()
            );
            assert!(head(&PeerPool::new(None), &server, 1).await.is_err());
        })
        .await;
}

#[tokio::test]
async fn rolled_keys_cut_no_link() {
    let folder = tempfile::tempdir().unwrap();
    let local = LocalSet::new();
    local
        .run_until(async {
            let authority = Authority::new();
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

fn relay() -> Relay {
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
