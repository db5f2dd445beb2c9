//! The callers' listener with TLS.

use std::sync::Arc;

use coltsfoothook_caller::{CallerServer, CallerSettings};
use coltsfoothook_keys::testing::{TestCa, TestDirectory};
use coltsfoothook_keys::{TlsKeys, client_config};
use rustls_pki_types::ServerName;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;

use crate::client::{parse, request};
use crate::fake::{FakeHandler, Script};

/// The VM's key and authority are replaced while it serves. Callers that trust the new authority
/// can connect without a restart; plain text and a connection without a handshake are refused and
/// counted.
#[tokio::test]
async fn replaced_while_serving() {
    let directory = TestDirectory::new("tls_listener");
    let (old, new) = (TestCa::new(), TestCa::new());
    let files = old.write(directory.path(), "nbo-1");
    let authority = files.authority.clone().expect("a file");
    let keys = TlsKeys::load(files).expect("keys");
    let settings = CallerSettings { handshake_timeout_ms: 100, ..Default::default() };
    let tls = keys.server().expect("a configuration");
    let handler = FakeHandler::answering(Script::Hang);
    let server = CallerServer::start(settings, handler, Some(tls)).expect("the server starts");
    let request_status = async || {
        let config = Arc::new(client_config(&authority).expect("a configuration"));
        let name = ServerName::try_from("127.0.0.1").expect("an address");
        let stream = TcpStream::connect(server.address()).await.expect("connect");
        let mut stream =
            TlsConnector::from(config).connect(name, stream).await.expect("the handshake succeeds");
        let text = request("GET", "/v1/entries", "", "");
        stream.write_all(text.as_bytes()).await.expect("write");
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.expect("read");
        parse(&bytes).status
    };
    assert_eq!(request_status().await, 200);
    let _ = new.write(directory.path(), "nbo-1");
    assert!(keys.reload().expect("read"));
    assert_eq!(request_status().await, 200);

    let mut plain = TcpStream::connect(server.address()).await.expect("connect");
    plain.write_all(b"GET /health HTTP/1.1\r\n\r\n").await.expect("write");
    let _ = plain.read_to_end(&mut Vec::new()).await;
    let mut unresponsive = TcpStream::connect(server.address()).await.expect("connect");
    let _ = unresponsive.read_to_end(&mut Vec::new()).await;
    while server.refused_connections() < 2 {
        tokio::task::yield_now().await;
    }
    server.close().await;
}
