//! Messages of another release, encoded independently of this release's types.

use serde::Serialize;
use serde::de::IgnoredAny;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fake::{FakeVm, plain_settings, start};

#[derive(Serialize)]
struct Header<'a> {
    id: u64,
    kind: &'a str,
    hop_count: u8,
}

#[derive(Serialize)]
enum Call {
    Withdraw { call: Withdraw },
    Revoke { call: Revoke },
    Summarise { lines: u32 },
}

/// A `WithdrawCall` with an extra field.
#[derive(Serialize)]
struct Withdraw {
    mood: Vec<u8>,
    asker: Identity,
    group: &'static str,
    id: &'static str,
}

#[derive(Serialize)]
struct Identity {
    vm: &'static str,
    incarnation: u64,
    boot: Option<u8>,
}

/// A `RevokeCall` without fields that this release requires.
#[derive(Serialize)]
struct Revoke {
    tenant: &'static str,
}

/// Sends a call and returns the id and the message of the response.
async fn send(stream: &mut TcpStream, id: u64, call: &Call) -> (u64, String) {
    let mut frame =
        rmp_serde::to_vec_named(&Header { id, kind: "call", hop_count: 3 }).expect("a header");
    frame.extend(rmp_serde::to_vec_named(call).expect("a message"));
    let length = u32::try_from(frame.len()).expect("a short frame");
    stream.write_all(&length.to_be_bytes()).await.expect("write");
    stream.write_all(&frame).await.expect("write");
    let length = stream.read_u32().await.expect("a length");
    let mut answer = vec![0; usize::try_from(length).expect("a short frame")];
    stream.read_exact(&mut answer).await.expect("a frame");
    let mut parser = rmp_serde::Deserializer::new(&answer[..]);
    #[derive(serde::Deserialize)]
    struct AnswerHeader {
        id: u64,
    }
    let header: AnswerHeader = serde::Deserialize::deserialize(&mut parser).expect("a header");
    let rest = parser.into_inner();
    let _: IgnoredAny = rmp_serde::from_slice(rest).expect("a message");
    (header.id, String::from_utf8_lossy(rest).into_owned())
}

/// A newer release's unknown fields are ignored. Its unknown methods and undecodable messages are
/// answered as unsupported under the call's id, and the connection stays open; closing it would
/// fail all other calls of that VM.
#[tokio::test]
async fn newer_release() {
    let vm = FakeVm::new("b", 0);
    let (server, _, _) = start(vm.clone(), plain_settings());
    let mut stream = TcpStream::connect(server.address()).await.expect("connect");
    let requester = || Identity { vm: "a", incarnation: 1, boot: Some(1) };
    let withdraw = || Call::Withdraw {
        call: Withdraw { mood: vec![1], asker: requester(), group: "g", id: "r" },
    };
    let (id, answer) = send(&mut stream, 1, &withdraw()).await;
    assert!(id == 1 && answer.contains("Ok"), "{answer}");
    let (id, answer) = send(&mut stream, 2, &Call::Summarise { lines: 4 }).await;
    assert!(id == 2 && answer.contains("unsupported"), "{answer}");
    let revoke = Call::Revoke { call: Revoke { tenant: "t" } };
    let (id, answer) = send(&mut stream, 3, &revoke).await;
    assert!(id == 3 && answer.contains("missing field"), "{answer}");
    let (id, answer) = send(&mut stream, 4, &withdraw()).await;
    assert!(id == 4 && answer.contains("Ok"), "{answer}");
    assert_eq!(vm.withdrawn.load(std::sync::atomic::Ordering::SeqCst), 2);
    assert_eq!(server.counters().unsupported_messages(), 2);
}
