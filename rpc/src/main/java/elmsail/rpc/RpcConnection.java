package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * One connection between two processes: frames of calls in one direction, of answers in the other.
 */
final class RpcConnection extends ChannelInboundHandlerAdapter {

  /** Who the connections belong to. */
  interface Listener {
    /** Fails with GARBLED if the ask cannot be read. */
    void onRequest(RpcConnection connection, Frame request);

    /** The other side has said hello, and the process called is the one that was meant. */
    void onHandshakeComplete(RpcConnection connection);

    void onClosed(RpcConnection connection);
  }

  /** Small, so that what a slow peer has taken shows soon. */
  static final int SEND_BUFFER_BYTES = 256 << 10;

  static final int MAX_OPEN_REQUESTS = 1_024;

  /** Null on the side that accepted. */
  final Peer peer;

  private final Listener listener;
  private final MessageCodec codec;
  private final RpcCounters counters;
  private final FrameDecoder frameDecoder = new FrameDecoder();
  private final CallTable<PendingCall> calls = new CallTable<>();
  private final OutboundQueue outbound;
  private final Handshake handshake;
  private final KeepaliveMonitor keepalive;
  private Channel channel;
  private boolean closed;

  /** What open calls fail with once the connection has ended. */
  private ErrorCode closeReason = ErrorCode.CONNECTION_LOST;

  private int openRequests;

  RpcConnection(
      Peer peer,
      Handshake handshake,
      Listener owner,
      Timers timers,
      MessageCodec codec,
      RpcCounters counters) {
    this.peer = peer;
    this.handshake = handshake;
    this.outbound = new OutboundQueue(counters, this::close);
    this.listener = owner;
    this.codec = codec;
    this.counters = counters;
    keepalive = new KeepaliveMonitor(timers, counters, outbound, calls, peer != null, this::close);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    outbound.channel(channel);
  }

  /** Looks after the connection, see {@link KeepaliveMonitor}. */
  KeepaliveMonitor keepalive() {
    return keepalive;
  }

  /** Whether the process meant has answered as such. */
  boolean isHandshakeComplete() {
    return handshake.isComplete();
  }

  /** The instance that answers; known once it has introduced itself. */
  long peerInstanceId() {
    return handshake.peerInstanceId();
  }

  /** Says which process is meant, or which this one is. */
  void sendHello() {
    outbound.write(Frame.hello(handshake.localHello()));
  }

  /** Whether the call could be queued; the frame is taken over if so. */
  boolean send(PendingCall call, ByteBuf frame) {
    if (closed
        || !outbound.hasCapacityFor(frame.readableBytes())
        || !calls.add(call.callId, call)) {
      return false;
    }
    call.connection = this;
    keepalive.onRequestSent();
    outbound.write(frame);
    return true;
  }

  /** The call has failed: its answer is not waited for. */
  void abandon(PendingCall call) {
    calls.remove(call.callId);
  }

  /** Whether there is room for one more ask to be answered. */
  boolean tryBeginRequest() {
    if (openRequests >= MAX_OPEN_REQUESTS) {
      return false;
    }
    openRequests++;
    return true;
  }

  void respond(long callId, Object response) {
    openRequests--;
    if (closed) {
      counters.undeliveredResponses++;
      return;
    }
    ByteBuf frame;
    try {
      frame = Frame.message(codec, Frame.RESPONSE, callId, response);
    } catch (ElmsailException e) {
      writeUnbounded(Frame.failure(callId, e.code()));
      return;
    }
    if (outbound.hasCapacityFor(frame.readableBytes())) {
      outbound.write(frame);
    } else {
      frame.release();
      writeUnbounded(Frame.failure(callId, ErrorCode.RESOURCE_EXHAUSTED));
    }
  }

  void respondFailure(long callId, ErrorCode code) {
    openRequests--;
    if (closed) {
      counters.undeliveredResponses++;
    } else {
      writeUnbounded(Frame.failure(callId, code));
    }
  }

  /** An ask that there was no room for. */
  void rejectRequest(long callId) {
    writeUnbounded(Frame.failure(callId, ErrorCode.RESOURCE_EXHAUSTED));
  }

  void close() {
    markClosed();
    channel.close();
  }

  private void markClosed() {
    if (!closed) {
      closed = true;
      keepalive.onClosed();
      listener.onClosed(this);
    }
  }

  /** A frame that is not refused: if even these pile up, nobody reads. */
  private void writeUnbounded(ByteBuf frame) {
    outbound.write(frame);
    if (outbound.isOverflowing()) {
      close();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ByteBuf in = (ByteBuf) message;
    if (closed) {
      in.release();
      return;
    }
    try {
      counters.bytesReceived += in.readableBytes();
      keepalive.onBytesReceived();
      Frame frame = frameDecoder.next(in);
      while (frame != null && !closed) {
        onFrame(frame);
        frame = frameDecoder.next(in);
      }
    } catch (ElmsailException e) {
      onProtocolError(e.code());
    } finally {
      in.release();
    }
  }

  private void onFrame(Frame frame) {
    handshake.onFrame(frame);
    switch (frame.kind()) {
      case Frame.HELLO -> listener.onHandshakeComplete(this);
      case Frame.REQUEST -> {
        keepalive.onRequestReceived();
        listener.onRequest(this, frame);
      }
      case Frame.RESPONSE -> onResponse(frame);
      case Frame.FAILURE -> {
        PendingCall call = calls.remove(frame.callId());
        if (call == null) {
          counters.lateResponses++;
        } else {
          call.onPeerFailure(frame.errorCode());
        }
      }
      case Frame.PING -> writeUnbounded(Frame.withoutPayload(Frame.PONG, 0));
      default -> {
        // A pong was heard, which is all that it is for.
      }
    }
  }

  private void onResponse(Frame frame) {
    if (calls.find(frame.callId()) == null) {
      counters.lateResponses++;
      return;
    }
    Object response = codec.read(frame.type(), frame.payload(), 0, frame.payload().length);
    calls.remove(frame.callId()).onResponse(response);
  }

  /** Ends this connection, and nothing else, for what came over it. */
  private void onProtocolError(ErrorCode code) {
    switch (code) {
      case MISDIRECTED -> counters.misdirectedConnections++;
      case UNSUPPORTED_VERSION -> counters.unsupportedVersions++;
      default -> counters.malformedConnections++;
    }
    if (code == ErrorCode.MISDIRECTED || code == ErrorCode.UNSUPPORTED_VERSION) {
      closeReason = code;
      if (peer == null) {
        sendHelloAndClose();
        return;
      }
    }
    close();
  }

  /** So that the caller learns why: nothing that it sent has been looked at. */
  private void sendHelloAndClose() {
    markClosed();
    channel
        .writeAndFlush(Frame.hello(handshake.localHello()))
        .addListener((ChannelFuture f) -> channel.close());
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    close();
    for (PendingCall call : calls.close()) {
      call.fail(closeReason, "connection closed");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    close();
  }
}
