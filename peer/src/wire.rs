//! Frame format of calls between VMs.
//!
//! A frame consists of its length as a 32-bit big-endian number, a [`FrameHeader`] and, in calls
//! and successful responses, a message. Header and message are MessagePack with named fields. The
//! header is defined here rather than by tarpc, so that the wire format does not change with that
//! library, and so that a message which this release cannot decode still has an id to respond to.

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

/// Maximum nesting depth of headers and messages. The recursive parser would otherwise exhaust the
/// stack on a deeply nested frame.
const MESSAGE_DEPTH: usize = 64;

/// The first part of a frame.
#[derive(Debug, Serialize, Deserialize)]
struct FrameHeader {
    /// Identifies a call among those in flight on its connection.
    id: u64,
    /// Determines which message follows, if any.
    kind: FrameKind,
    /// Milliseconds until the call's deadline; the receiver's maximum if `None`. Relative, because
    /// the clocks of VMs differ.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    left_ms: Option<u64>,
    /// The error message of [`FrameKind::Error`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// The purpose of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum FrameKind {
    /// A call. A [`VmPeerRequest`] follows.
    Call,
    /// The sender cancels a call. No message follows.
    Cancel,
    /// The response to a call. A [`VmPeerResponse`] follows.
    Answer,
    /// The call failed in the server's RPC layer. No message follows.
    Error,
    /// The call was not started because too many were in flight. No message follows.
    Busy,
}

/// Conversion between tarpc's messages and frames, for one side of a connection.
pub(crate) trait FrameCodec {
    type Sent;
    type Received;

    /// Returns the traffic kind under which a message is counted; [`TrafficKind::Call`] for
    /// cancellations and errors.
    fn sent_kind(message: &Self::Sent) -> TrafficKind;
    fn received_kind(message: &Self::Received) -> TrafficKind;
    fn encode(message: Self::Sent) -> io::Result<Vec<u8>>;
    /// Decodes a frame; a server limits the deadline of a call to `max_call` from now.
    fn decode(frame: &[u8], max_call: Duration) -> io::Result<Self::Received>;
}

/// Sends calls and receives responses.
pub(crate) struct ClientCodec;

/// Receives calls and sends responses.
pub(crate) struct ServerCodec;

impl FrameCodec for ClientCodec {
    type Sent = ClientMessage<VmPeerRequest>;
    type Received = Response<VmPeerResponse>;

    fn sent_kind(message: &Self::Sent) -> TrafficKind {
        call_kind(message)
    }

    fn received_kind(message: &Self::Received) -> TrafficKind {
        response_kind(message)
    }

    fn encode(message: Self::Sent) -> io::Result<Vec<u8>> {
        match message {
            ClientMessage::Request(request) => {
                let time_left = request.context.deadline.saturating_duration_since(Instant::now());
                let left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
                let header = header(request.id, FrameKind::Call);
                write_frame(
                    &FrameHeader { left_ms: Some(left_ms), ..header },
                    Some(&request.message),
                )
            }
            ClientMessage::Cancel { request_id, .. } => {
                write_frame(&header(request_id, FrameKind::Cancel), None::<&()>)
            }
            _ => Err(io::Error::other("unsupported kind of tarpc message")),
        }
    }

    fn decode(frame: &[u8], _: Duration) -> io::Result<Self::Received> {
        let (header, rest) = read_header(frame)?;
        let message = match header.kind {
            FrameKind::Answer => read_message(rest).map_err(|error| undecodable(&error)),
            FrameKind::Error => Err(server_error(header.error.unwrap_or_default())),
            FrameKind::Busy => {
                Err(ServerError::new(io::ErrorKind::WouldBlock, "too many calls".to_owned()))
            }
            FrameKind::Call | FrameKind::Cancel => return Err(invalid("client received a call")),
        };
        Ok(Response { request_id: header.id, message })
    }
}

impl FrameCodec for ServerCodec {
    type Sent = Response<VmPeerResponse>;
    type Received = ClientMessage<VmPeerRequest>;

    fn sent_kind(message: &Self::Sent) -> TrafficKind {
        response_kind(message)
    }

    fn received_kind(message: &Self::Received) -> TrafficKind {
        call_kind(message)
    }

    fn encode(response: Self::Sent) -> io::Result<Vec<u8>> {
        match response.message {
            Ok(message) => {
                write_frame(&header(response.request_id, FrameKind::Answer), Some(&message))
            }
            Err(error) if error.kind == io::ErrorKind::WouldBlock => {
                write_frame(&header(response.request_id, FrameKind::Busy), None::<&()>)
            }
            Err(error) => {
                let header = header(response.request_id, FrameKind::Error);
                write_frame(&FrameHeader { error: Some(error.detail), ..header }, None::<&()>)
            }
        }
    }

    fn decode(frame: &[u8], max_call: Duration) -> io::Result<Self::Received> {
        let (header, rest) = read_header(frame)?;
        match header.kind {
            FrameKind::Call => {
                // The sender may run a newer release with other methods. An error here would close
                // the connection and fail all other calls on it.
                let message = read_message(rest).unwrap_or_else(|error| {
                    VmPeerRequest::Unsupported { detail: error.to_string() }
                });
                let time_left =
                    header.left_ms.map_or(max_call, Duration::from_millis).min(max_call);
                let mut context = context::current();
                context.deadline = Instant::now() + time_left;
                Ok(ClientMessage::Request(Request { context, id: header.id, message }))
            }
            FrameKind::Cancel => Ok(ClientMessage::Cancel {
                trace_context: trace::Context::default(),
                request_id: header.id,
            }),
            FrameKind::Answer | FrameKind::Error | FrameKind::Busy => {
                Err(invalid("server received a response"))
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

fn response_kind(response: &Response<VmPeerResponse>) -> TrafficKind {
    use VmPeerResponse as Answer;
    match response.message {
        Ok(Answer::Probe(_)) => TrafficKind::Probe,
        Ok(Answer::Reserve(_) | Answer::Withdraw(_) | Answer::Release(_) | Answer::Held(_)) => {
            TrafficKind::Grant
        }
        _ => TrafficKind::Call,
    }
}

/// Returns a header without optional fields.
fn header(id: u64, kind: FrameKind) -> FrameHeader {
    FrameHeader { id, kind, left_ms: None, error: None }
}

fn write_frame(header: &FrameHeader, message: Option<&impl Serialize>) -> io::Result<Vec<u8>> {
    let mut frame = Vec::with_capacity(256);
    rmp_serde::encode::write_named(&mut frame, header).map_err(io::Error::other)?;
    if let Some(message) = message {
        rmp_serde::encode::write_named(&mut frame, message).map_err(io::Error::other)?;
    }
    Ok(frame)
}

/// Decodes the header and returns the bytes after it.
fn read_header(frame: &[u8]) -> io::Result<(FrameHeader, &[u8])> {
    let mut parser = rmp_serde::Deserializer::new(frame);
    parser.set_max_depth(MESSAGE_DEPTH);
    let header =
        FrameHeader::deserialize(&mut parser).map_err(|error| invalid(&error.to_string()))?;
    Ok((header, parser.into_inner()))
}

fn read_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    let mut parser = rmp_serde::Deserializer::new(bytes);
    parser.set_max_depth(MESSAGE_DEPTH);
    T::deserialize(&mut parser)
}

fn undecodable(error: &rmp_serde::decode::Error) -> ServerError {
    server_error(format!("cannot decode the response: {error}"))
}

fn server_error(detail: String) -> ServerError {
    ServerError::new(io::ErrorKind::Other, detail)
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

/// A connection as a tarpc transport, which also counts traffic and invalid frames.
pub(crate) struct FrameTransport<S, C> {
    framed: Framed<S, LengthDelimitedCodec>,
    max_call: Duration,
    counters: Arc<PeerCounters>,
    codec: PhantomData<fn() -> C>,
}

impl<S: AsyncRead + AsyncWrite, C> FrameTransport<S, C> {
    pub(crate) fn new(stream: S, settings: &PeerSettings, counters: Arc<PeerCounters>) -> Self {
        let framed = LengthDelimitedCodec::builder()
            .max_frame_length(settings.frame_bytes)
            .new_framed(stream);
        let max_call = Duration::from_millis(settings.call_most_ms);
        Self { framed, max_call, counters, codec: PhantomData }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin, C: FrameCodec> Stream for FrameTransport<S, C> {
    type Item = io::Result<C::Received>;

    /// Returns the next message, or an error when the peer has disconnected. If the stream ended
    /// without an error, tarpc would let that peer's calls run on, and their grants would be held
    /// until the calls' deadlines.
    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let frame = match ready!(Pin::new(&mut self.framed).poll_next(context)) {
            Some(frame) => frame,
            None => return Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into()))),
        };
        let decoded = frame.and_then(|bytes| {
            let message = C::decode(&bytes, self.max_call)?;
            self.counters.count_received(C::received_kind(&message), bytes.len());
            Ok(message)
        });
        if let Err(error) = &decoded {
            self.counters.count_broken_frame();
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

    const MAX_CALL: Duration = Duration::from_secs(5);

    fn call_frame() -> Vec<u8> {
        let fingerprint = RequestFingerprint(7);
        let call = RevokeCall { tenant: "t".into(), key: "k".into(), fingerprint };
        let mut context = context::current();
        context.deadline = Instant::now() + Duration::from_secs(90);
        let request = Request { context, id: 4, message: VmPeerRequest::Revoke { call } };
        ClientCodec::encode(ClientMessage::Request(request)).expect("a frame")
    }

    /// An excessive deadline must not overflow the clock or keep a request queued without limit.
    #[test]
    fn deadline_is_bounded() {
        let header = FrameHeader { left_ms: Some(u64::MAX), ..header(1, FrameKind::Call) };
        let frame = write_frame(&header, Some(&"Status")).expect("a frame");
        let decoded = ServerCodec::decode(&frame, MAX_CALL).expect("a call");
        let ClientMessage::Request(request) = decoded else { panic!("not a request") };
        assert!(matches!(
            request.message,
            VmPeerRequest::Status {} | VmPeerRequest::Unsupported { .. }
        ));
        assert!(request.context.deadline <= Instant::now() + MAX_CALL);
    }

    #[test]
    fn call_round_trip() {
        let decoded = ServerCodec::decode(&call_frame(), MAX_CALL).expect("a call");
        let ClientMessage::Request(request) = decoded else { panic!("not a request") };
        assert_eq!(request.id, 4);
        assert!(
            matches!(request.message, VmPeerRequest::Revoke { call } if call.key.as_str() == "k")
        );
    }

    /// Deeply nested arrays in a message or in place of the header must not exhaust the parser's
    /// stack.
    #[test]
    fn deeply_nested_frame() {
        let frame = [
            write_frame(&header(1, FrameKind::Call), None::<&()>).expect("a header"),
            vec![0x91; 1_000_000],
        ]
        .concat();
        let decoded = ServerCodec::decode(&frame, MAX_CALL).expect("a call");
        let ClientMessage::Request(request) = decoded else { panic!("not a request") };
        assert!(matches!(request.message, VmPeerRequest::Unsupported { .. }));
        assert!(ServerCodec::decode(&vec![0x91; 1_000_000], MAX_CALL).is_err());
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(2_000))]

        /// Decoding arbitrary bytes does not panic.
        #[test]
        fn arbitrary_bytes(frame in prop::collection::vec(any::<u8>(), 0..200)) {
            let _ = ServerCodec::decode(&frame, MAX_CALL);
            let _ = ClientCodec::decode(&frame, MAX_CALL);
        }

        /// Decoding a valid frame with one changed byte, truncated at any point, does not panic.
        #[test]
        fn corrupted_frame(at in 0usize..400, byte in any::<u8>(), cut in 0usize..400) {
            let mut frame = call_frame();
            let length = frame.len();
            frame[at % length] = byte;
            frame.truncate(length - cut % length);
            let _ = ServerCodec::decode(&frame, MAX_CALL);
            let _ = ClientCodec::decode(&frame, MAX_CALL);
        }
    }
}
