//! Tests of the authentication of both ends of a connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use burdockslip_http2::{Client, Options, Server, Tls};
use burdockslip_runtime::{block_on, timeout};
use bytes::Bytes;
use futures::{AsyncReadExt, AsyncWriteExt, FutureExt};
use futures_rustls::TlsConnector;
use monoio::net::TcpStream;
use monoio_compat::StreamWrapper;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::{ClientConfig, RootCertStore};
use tokio_util::compat::TokioAsyncReadCompatExt;

/// The time after which a test counts as hanging; it is no measure of speed.
const LIMIT: Duration = Duration::from_secs(20);

struct Authority {
    issuer: Issuer<'static, KeyPair>,
    pem: String,
}

impl Authority {
    fn new() -> Self {
        let mut params = CertificateParams::new(Vec::new()).expect("no names");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().expect("keys can be made");
        let pem = params.self_signed(&key).expect("it can be signed").pem();
        Self {
            issuer: Issuer::new(params, key),
            pem,
        }
    }

    /// Issues a certificate for `name`, for use with the trusted authority `trusted`.
    fn issue(&self, name: &str, trusted: &Self) -> Tls {
        let (certificate, key) = self.issue_pem(name);
        let trusted = trusted.pem.as_bytes();
        Tls::new(certificate.as_bytes(), key.as_bytes(), trusted)
            .expect("the certificate is usable")
    }

    fn issue_pem(&self, name: &str) -> (String, String) {
        let key = KeyPair::generate().expect("keys can be made");
        let params = CertificateParams::new(vec![name.to_owned()]).expect("the name is valid");
        let certificate = params.signed_by(&key, &self.issuer).expect("it is signed");
        (certificate.pem(), key.serialize_pem())
    }
}

fn options(tls: Option<Tls>) -> Options {
    Options {
        tls,
        ..Options::default()
    }
}

fn bind(tls: Tls) -> Server {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Server::with_options(any, options(Some(tls)), |_, mut receiver, mut sender| {
        async move {
            while let Ok(Some(message)) = receiver.next().await {
                if sender.send(message).await.is_err() {
                    return;
                }
            }
            let _ = sender.close();
        }
        .boxed_local()
    })
    .expect("loopback has a free port")
}

/// Returns whether the server echoes a message to the client.
fn is_served(server: Tls, client: Options) -> bool {
    block_on(async {
        let server = bind(server);
        let client = Client::with_options(server.address(), client);
        let message = Bytes::from(vec![7; 1 << 20]);
        let call = client.call("/echo", message.clone());
        let reply = timeout(LIMIT, call).await.expect("no call may hang");
        reply.is_ok_and(|reply| reply == message)
    })
}

/// Guards against encryption that rejects hosts with valid certificates.
#[test]
fn hosts_of_one_authority_connect() {
    let authority = Authority::new();
    let server = authority.issue("127.0.0.1", &authority);
    let client = authority.issue("127.0.0.1", &authority);
    assert!(is_served(server, options(Some(client))));
}

/// Guards against serving a client whose certificate is from another authority
/// but which trusts the authority of the server.
#[test]
fn client_of_another_authority_is_refused() {
    let (authority, other) = (Authority::new(), Authority::new());
    let server = authority.issue("127.0.0.1", &authority);
    let client = other.issue("127.0.0.1", &authority);
    assert!(!is_served(server, options(Some(client))));
}

/// Guards against a client that sends requests to a server whose certificate is
/// from another authority but which accepts the client's certificate.
#[test]
fn server_of_another_authority_is_refused() {
    let (authority, other) = (Authority::new(), Authority::new());
    let server = other.issue("127.0.0.1", &authority);
    let client = authority.issue("127.0.0.1", &authority);
    assert!(!is_served(server, options(Some(client))));
}

/// Guards against a host that serves at the address of another host.
#[test]
fn server_with_another_address_is_refused() {
    let authority = Authority::new();
    let server = authority.issue("127.0.0.2", &authority);
    let client = authority.issue("127.0.0.1", &authority);
    assert!(!is_served(server, options(Some(client))));
}

/// Guards against a server that requests no certificate: the handshake succeeds
/// on the side of a client without one, so only the bytes that the server sends
/// afterwards show whether it accepted the client.
#[test]
fn client_without_a_certificate_is_refused() {
    let authority = Authority::new();
    let received = |with_certificate| {
        let server = authority.issue("127.0.0.1", &authority);
        block_on(async {
            let server = bind(server);
            let reading = first_bytes(server.address(), &authority, with_certificate);
            timeout(LIMIT, reading).await.expect("no read may hang")
        })
    };
    assert!(received(true).is_ok_and(|count| count > 0));
    assert!(!received(false).is_ok_and(|count| count > 0));
}

/// Connects without the client under test and reads what the server sends first.
async fn first_bytes(
    address: SocketAddr,
    authority: &Authority,
    with_certificate: bool,
) -> std::io::Result<usize> {
    let mut roots = RootCertStore::empty();
    let root = CertificateDer::from_pem_slice(authority.pem.as_bytes());
    roots.add(root.expect("is PEM")).expect("is a certificate");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("the versions are known")
        .with_root_certificates(roots);
    let mut config = if with_certificate {
        let (certificate, key) = authority.issue_pem("127.0.0.1");
        let certificate = CertificateDer::from_pem_slice(certificate.as_bytes());
        let key = PrivateKeyDer::from_pem_slice(key.as_bytes()).expect("is PEM");
        let chain = vec![certificate.expect("is PEM")];
        builder
            .with_client_auth_cert(chain, key)
            .expect("they match")
    } else {
        builder.with_no_client_auth()
    };
    config.alpn_protocols = vec![b"h2".to_vec()];
    let stream = TcpStream::connect_addr(address).await?;
    let stream = StreamWrapper::new(stream).compat();
    let name = ServerName::IpAddress(address.ip().into());
    let connector = TlsConnector::from(Arc::new(config));
    let mut stream = connector.connect(name, stream).await?;
    stream
        .write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
        .await?;
    stream.flush().await?;
    stream.read(&mut [0; 64]).await
}

/// Guards against a server that also serves without encryption.
#[test]
fn plain_client_is_refused() {
    let authority = Authority::new();
    let server = authority.issue("127.0.0.1", &authority);
    assert!(!is_served(server, options(None)));
}
