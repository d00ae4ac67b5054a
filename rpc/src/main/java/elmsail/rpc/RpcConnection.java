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
 * One connection between two processes: requests in one direction, responses in the other. Confined
 * to the event loop.
 */
final class RpcConnection extends ChannelInboundHandlerAdapter {

  /** The owner of the connections. */
  interface Listener {
    /** A request came; throws {@code MALFORMED} if it cannot be decoded. */
    void onRequest(RpcConnection connection, Frame request);

    /** The other side's hello came, and the called process is the intended one. */
    void onHandshakeComplete(RpcConnection connection);

    void onClosed(RpcConnection connection);
  }

  /** Small, so that write progress to a slow peer is visible soon. */
  static final int SEND_BUFFER_BYTES = 256 << 10;

  static final int MAX_OPEN_REQUESTS = 1_024;

  /** Null on the accepting side. */
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

  /** The code that open calls fail with when the connection closes. */
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

  /** The monitor of this connection. */
  KeepaliveMonitor keepalive() {
    return keepalive;
  }

  /** Whether the intended process has identified itself. */
  boolean isHandshakeComplete() {
    return handshake.isComplete();
  }

  /** The peer's instance; known once the handshake is complete. */
  long peerInstanceId() {
    return handshake.peerInstanceId();
  }

  /** Sends the hello: the intended process, or this one on the accepting side. */
  void sendHello() {
    outbound.write(Frame.hello(handshake.localHello()));
  }

  /** Queues a call; the connection owns the frame if this returns true. */
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

  /** Forgets a failed call: its response will be ignored. */
  void abandon(PendingCall call) {
    calls.remove(call.callId);
  }

  /** Begins to handle a request; false if too many are in progress. */
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

  /** Rejects a request because too many are in progress. */
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

  /** Writes a frame regardless of the limit; closes the connection if even these pile up. */
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
        // A pong needs no handling: any received bytes count as a sign of life.
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

  /** Closes the connection because of what was received on it. */
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

  /** Tells the client why the connection closes: nothing that it sent was executed. */
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
