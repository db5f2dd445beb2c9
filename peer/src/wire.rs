//! Frames on the wire.
//!
//! A frame is a length, a [`FrameHead`] and a message, both as MessagePack with named fields. The
//! head is the project's own, so that the wire format does not change with the library, and that a
//! message which this release cannot read still has an id to answer to.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfoothook_telemetry::{TrafficKind, event};
use futures::{Sink, Stream, ready};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tarpc::{ClientMessage, Request, Response, ServerError, context, trace};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::service::{VmPeerRequest, VmPeerResponse};
use crate::settings::{PeerCounters, PeerSettings};

/// How deep a message may be nested. The parser recurses, and a deep frame would exhaust its stack.
const MESSAGE_DEPTH: usize = 64;

/// The beginning of a frame.
#[derive(Debug, Serialize, Deserialize)]
struct FrameHead {
    /// The call's number on its connection.
    id: u64,
    /// What follows.
    kind: FrameKind,
    /// Milliseconds that the sender of a call still waits. Clocks of VMs differ, so that a time of
    /// day would not do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    left_ms: Option<u64>,
    /// Why a call was not answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum FrameKind {
    /// A call; the message follows.
    Call,
    /// The sender no longer waits for a call; nothing follows.
    Cancel,
    /// The answer to a call; the message follows.
    Answer,
    /// The call was not answered; nothing follows.
    Error,
    /// There were too many calls and this one was not begun; nothing follows.
    Busy,
}

/// One direction's conversion between tarpc's messages and frames.
pub(crate) trait FrameCodec {
    type Sent;
    type Received;

    /// What a message is for; messages without a body count as other calls.
    fn sent_kind(message: &Self::Sent) -> TrafficKind;
    fn received_kind(message: &Self::Received) -> TrafficKind;
    fn encode(message: Self::Sent) -> io::Result<Vec<u8>>;
    fn decode(frame: &[u8], call_most: Duration) -> io::Result<Self::Received>;
}

/// The frames of a connection's client.
pub(crate) struct ClientCodec;

/// The frames of a connection's server.
pub(crate) struct ServerCodec;

impl FrameCodec for ClientCodec {
    type Sent = ClientMessage<VmPeerRequest>;
    type Received = Response<VmPeerResponse>;

    fn sent_kind(message: &Self::Sent) -> TrafficKind {
        call_kind(message)
    }

    fn received_kind(message: &Self::Received) -> TrafficKind {
        answer_kind(message)
    }

    fn encode(message: Self::Sent) -> io::Result<Vec<u8>> {
        match message {
            ClientMessage::Request(request) => {
                let left = request.context.deadline.saturating_duration_since(Instant::now());
                let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
                let head = head(request.id, FrameKind::Call);
                write_frame(&FrameHead { left_ms: Some(left_ms), ..head }, Some(&request.message))
            }
            ClientMessage::Cancel { request_id, .. } => {
                write_frame(&head(request_id, FrameKind::Cancel), None::<&()>)
            }
            _ => Err(io::Error::other("unknown kind of message")),
        }
    }

    fn decode(frame: &[u8], _: Duration) -> io::Result<Self::Received> {
        let (head, rest) = read_head(frame)?;
        let message = match head.kind {
            FrameKind::Answer => read_message(rest).map_err(|error| unreadable(&error)),
            FrameKind::Error => Err(server_error(head.error.unwrap_or_default())),
            FrameKind::Busy => {
                Err(ServerError::new(io::ErrorKind::WouldBlock, "too many calls".to_owned()))
            }
            FrameKind::Call | FrameKind::Cancel => return Err(invalid("a call came as an answer")),
        };
        Ok(Response { request_id: head.id, message })
    }
}

impl FrameCodec for ServerCodec {
    type Sent = Response<VmPeerResponse>;
    type Received = ClientMessage<VmPeerRequest>;

    fn sent_kind(message: &Self::Sent) -> TrafficKind {
        answer_kind(message)
    }

    fn received_kind(message: &Self::Received) -> TrafficKind {
        call_kind(message)
    }

    fn encode(response: Self::Sent) -> io::Result<Vec<u8>> {
        match response.message {
            Ok(message) => {
                write_frame(&head(response.request_id, FrameKind::Answer), Some(&message))
            }
            Err(error) if error.kind == io::ErrorKind::WouldBlock => {
                write_frame(&head(response.request_id, FrameKind::Busy), None::<&()>)
            }
            Err(error) => {
                let head = head(response.request_id, FrameKind::Error);
                write_frame(&FrameHead { error: Some(error.detail), ..head }, None::<&()>)
            }
        }
    }

    fn decode(frame: &[u8], call_most: Duration) -> io::Result<Self::Received> {
        let (head, rest) = read_head(frame)?;
        match head.kind {
            FrameKind::Call => {
                // A newer release may call what this one does not know; breaking the connection
                // would fail every other call on it.
                let message = read_message(rest).unwrap_or_else(|error| {
                    VmPeerRequest::Unsupported { detail: error.to_string() }
                });
                let left = head.left_ms.map_or(call_most, Duration::from_millis).min(call_most);
                let mut context = context::current();
                context.deadline = Instant::now() + left;
                Ok(ClientMessage::Request(Request { context, id: head.id, message }))
            }
            FrameKind::Cancel => Ok(ClientMessage::Cancel {
                trace_context: trace::Context::default(),
                request_id: head.id,
            }),
            FrameKind::Answer | FrameKind::Error | FrameKind::Busy => {
                Err(invalid("an answer came as a call"))
            }
        }
    }
}

fn call_kind(message: &ClientMessage<VmPeerRequest>) -> TrafficKind {
    use VmPeerRequest as Call;
    let ClientMessage::Request(request) = message else { return TrafficKind::Call };
    match request.message {
        Call::Probe { .. } => TrafficKind::Probe,
        Call::Reserve { .. } | Call::Withdraw { .. } | Call::Release { .. } | Call::Held { .. } => {
            TrafficKind::Grant
        }
        _ => TrafficKind::Call,
    }
}

fn answer_kind(response: &Response<VmPeerResponse>) -> TrafficKind {
    use VmPeerResponse as Answer;
    match response.message {
        Ok(Answer::Probe(_)) => TrafficKind::Probe,
        Ok(Answer::Reserve(_) | Answer::Withdraw(_) | Answer::Release(_) | Answer::Held(_)) => {
            TrafficKind::Grant
        }
        _ => TrafficKind::Call,
    }
}

fn head(id: u64, kind: FrameKind) -> FrameHead {
    FrameHead { id, kind, left_ms: None, error: None }
}

fn write_frame(head: &FrameHead, message: Option<&impl Serialize>) -> io::Result<Vec<u8>> {
    let mut frame = Vec::with_capacity(256);
    rmp_serde::encode::write_named(&mut frame, head).map_err(io::Error::other)?;
    if let Some(message) = message {
        rmp_serde::encode::write_named(&mut frame, message).map_err(io::Error::other)?;
    }
    Ok(frame)
}

fn read_head(frame: &[u8]) -> io::Result<(FrameHead, &[u8])> {
    let mut parser = rmp_serde::Deserializer::new(frame);
    parser.set_max_depth(MESSAGE_DEPTH);
    let head = FrameHead::deserialize(&mut parser).map_err(|error| invalid(&error.to_string()))?;
    Ok((head, parser.into_inner()))
}

fn read_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    let mut parser = rmp_serde::Deserializer::new(bytes);
    parser.set_max_depth(MESSAGE_DEPTH);
    T::deserialize(&mut parser)
}

fn unreadable(error: &rmp_serde::decode::Error) -> ServerError {
    server_error(format!("the answer is not understood: {error}"))
}

fn server_error(detail: String) -> ServerError {
    ServerError::new(io::ErrorKind::Other, detail)
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

/// A connection as tarpc sees it.
pub(crate) struct FrameTransport<S, C> {
    framed: Framed<S, LengthDelimitedCodec>,
    call_most: Duration,
    counters: Arc<PeerCounters>,
    codec: PhantomData<fn() -> C>,
}

impl<S: AsyncRead + AsyncWrite, C> FrameTransport<S, C> {
    pub(crate) fn new(stream: S, settings: &PeerSettings, counters: Arc<PeerCounters>) -> Self {
        let framed = LengthDelimitedCodec::builder()
            .max_frame_length(settings.frame_bytes)
            .new_framed(stream);
        let call_most = Duration::from_millis(settings.call_most_ms);
        Self { framed, call_most, counters, codec: PhantomData }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin, C: FrameCodec> Stream for FrameTransport<S, C> {
    type Item = io::Result<C::Received>;

    /// The next message. A closed connection is an error here: tarpc would otherwise let calls run
    /// on for a peer that is gone, and their grants would wait for the deadline.
    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let frame = match ready!(Pin::new(&mut self.framed).poll_next(context)) {
            Some(frame) => frame,
            None => return Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into()))),
        };
        let decoded = frame.and_then(|bytes| {
            let message = C::decode(&bytes, self.call_most)?;
            self.counters.count_received(C::received_kind(&message), bytes.len());
            Ok(message)
        });
        if let Err(error) = &decoded {
            self.counters.count_frame();
            event!(PeerRefused, reason = "broken_frame", detail = error);
        }
        Poll::Ready(Some(decoded))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin, C: FrameCodec> Sink<C::Sent> for FrameTransport<S, C> {
    type Error = io::Error;

    fn poll_ready(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Sink::<Bytes>::poll_ready(Pin::new(&mut self.framed), context)
    }

    fn start_send(mut self: Pin<&mut Self>, message: C::Sent) -> io::Result<()> {
        let kind = C::sent_kind(&message);
        let frame = C::encode(message)?;
        self.counters.count_sent(kind, frame.len());
        Pin::new(&mut self.framed).start_send(Bytes::from(frame))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Sink::<Bytes>::poll_flush(Pin::new(&mut self.framed), context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Sink::<Bytes>::poll_close(Pin::new(&mut self.framed), context)
    }
}

#[cfg(test)]
mod tests {
    use coltsfoothook_decision::id::RequestFingerprint;
    use coltsfoothook_decision::message::RevokeCall;
    use proptest::prelude::*;

    use super::*;

    const MOST: Duration = Duration::from_secs(5);

    fn call_frame() -> Vec<u8> {
        let fingerprint = RequestFingerprint(7);
        let call = RevokeCall { tenant: "t".into(), key: "k".into(), fingerprint };
        let mut context = context::current();
        context.deadline = Instant::now() + Duration::from_secs(90);
        let request = Request { context, id: 4, message: VmPeerRequest::Revoke { call } };
        ClientCodec::encode(ClientMessage::Request(request)).expect("a frame")
    }

    /// A sender that names an endless deadline would overflow the clock, or hold a place for ever.
    #[test]
    fn deadline_is_bounded() {
        let head = FrameHead { left_ms: Some(u64::MAX), ..head(1, FrameKind::Call) };
        let frame = write_frame(&head, Some(&"Status")).expect("a frame");
        let decoded = ServerCodec::decode(&frame, MOST).expect("a call");
        let ClientMessage::Request(request) = decoded else { panic!("no call") };
        assert!(matches!(
            request.message,
            VmPeerRequest::Status {} | VmPeerRequest::Unsupported { .. }
        ));
        assert!(request.context.deadline <= Instant::now() + MOST);
    }

    #[test]
    fn frame_comes_back() {
        let decoded = ServerCodec::decode(&call_frame(), MOST).expect("a call");
        let ClientMessage::Request(request) = decoded else { panic!("no call") };
        assert_eq!(request.id, 4);
        assert!(
            matches!(request.message, VmPeerRequest::Revoke { call } if call.key.as_str() == "k")
        );
    }

    /// Parsers recurse; a frame of nothing but opening brackets must not exhaust the stack.
    #[test]
    fn deep_frame() {
        let frame = [
            write_frame(&head(1, FrameKind::Call), None::<&()>).expect("a head"),
            vec![0x91; 1_000_000],
        ]
        .concat();
        let decoded = ServerCodec::decode(&frame, MOST).expect("a call");
        let ClientMessage::Request(request) = decoded else { panic!("no call") };
        assert!(matches!(request.message, VmPeerRequest::Unsupported { .. }));
        assert!(ServerCodec::decode(&vec![0x91; 1_000_000], MOST).is_err());
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(2_000))]

        /// Whatever arrives as a frame, the parsers answer and do not panic.
        #[test]
        fn any_frame(frame in prop::collection::vec(any::<u8>(), 0..200)) {
            let _ = ServerCodec::decode(&frame, MOST);
            let _ = ClientCodec::decode(&frame, MOST);
        }

        /// The same for frames that are nearly right.
        #[test]
        fn near_frame(at in 0usize..400, byte in any::<u8>(), cut in 0usize..400) {
            let mut frame = call_frame();
            let length = frame.len();
            frame[at % length] = byte;
            frame.truncate(length - cut % length);
            let _ = ServerCodec::decode(&frame, MOST);
            let _ = ClientCodec::decode(&frame, MOST);
        }
    }
}
