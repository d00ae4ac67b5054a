package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * One TCP connection between two processes. Requests go one way, from the process that opened it,
 * and responses the other way; each side first sends a hello. Used on its channel's loop only.
 *
 * <p>Whatever is wrong with the bytes received closes this connection and affects no other.
 */
final class RpcConnection extends ChannelInboundHandlerAdapter {

  /** The owner of connections; called on the loop. */
  interface Listener {

    /**
     * A REQUEST frame was received.
     *
     * @throws ElmsailException with MALFORMED if it cannot be decoded: the connection closes then
     */
    void onRequest(RpcConnection connection, Frame request);

    /** The peer's hello was received, and the process called is the intended one. */
    void onHandshakeComplete(RpcConnection connection);

    /** The connection has closed; called once. */
    void onClosed(RpcConnection connection);
  }

  /** Small, so that a slow reader's progress becomes visible soon. */
  static final int SEND_BUFFER_BYTES = 256 << 10;

  /** How many requests of one connection may be handled at a time. */
  static final int MAX_OPEN_REQUESTS = 1_024;

  /** The peer that this process called; null on an accepted connection. */
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

  /** The code that open calls fail with once the connection has closed. */
  private ErrorCode closeReason = ErrorCode.CONNECTION_LOST;

  private int openRequests;

  private RpcConnection(Peer peer, Handshake handshake, Listener listener, RpcContext context) {
    this.peer = peer;
    this.handshake = handshake;
    this.listener = listener;
    codec = context.codec();
    counters = context.counters();
    outbound = new OutboundQueue(counters, this::close);
    keepalive = new KeepaliveMonitor(context, outbound, calls, peer != null, this::close);
  }

  /** A connection that this process opens to a peer, to send it calls. */
  static RpcConnection outbound(
      Peer peer, Handshake handshake, Listener listener, RpcContext context) {
    return new RpcConnection(peer, handshake, listener, context);
  }

  /** A connection that another process opened, to send calls to this one. */
  static RpcConnection accepted(Handshake handshake, Listener listener, RpcContext context) {
    return new RpcConnection(null, handshake, listener, context);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    outbound.channel(channel);
  }

  /** Whether this process opened the connection. */
  boolean isOutbound() {
    return peer != null;
  }

  /** Detects that the peer has become unresponsive. */
  KeepaliveMonitor keepalive() {
    return keepalive;
  }

  /** Whether the process at the other end has identified itself as the intended one. */
  boolean isHandshakeComplete() {
    return handshake.isComplete();
  }

  /** The instance id of the process called; known once the handshake is complete. */
  long peerInstanceId() {
    return handshake.peerInstanceId();
  }

  /** Sends the first frame: the process that is intended, or on the accepting side this one. */
  void sendHello() {
    outbound.write(Frame.hello(handshake.localHello()));
  }

  /**
   * Sends a request, unless the connection has closed or too much is queued on it.
   *
   * @param frame owned by the connection if this returns true, otherwise still by the caller
   * @return whether it was sent
   */
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

  /** The call has failed on this side: a response to it will be dropped. */
  void abandon(PendingCall call) {
    calls.remove(call.callId);
  }

  /** Counts one more request as open; false if there are too many. */
  boolean tryBeginRequest() {
    if (openRequests >= MAX_OPEN_REQUESTS) {
      return false;
    }
    openRequests++;
    return true;
  }

  /** Ends an open request with its response. */
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

  /** Ends an open request with an error code. */
  void respondFailure(long callId, ErrorCode code) {
    openRequests--;
    if (closed) {
      counters.undeliveredResponses++;
    } else {
      writeUnbounded(Frame.failure(callId, code));
    }
  }

  /** Responds to a request for which {@link #tryBeginRequest} returned false. */
  void rejectRequest(long callId) {
    writeUnbounded(Frame.failure(callId, ErrorCode.RESOURCE_EXHAUSTED));
  }

  /** Closes the connection; its open calls fail once the channel is inactive. */
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

  /** Writes a small frame whatever is queued; a peer that lets even these pile up is cut off. */
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
      case Frame.FAILURE -> onFailure(frame);
      case Frame.PING -> writeUnbounded(Frame.withoutPayload(Frame.PONG, 0));
      default -> {
        // A pong needs no more than to have been received.
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

  private void onFailure(Frame frame) {
    PendingCall call = calls.remove(frame.callId());
    if (call == null) {
      counters.lateResponses++;
    } else {
      call.onPeerFailure(frame.errorCode());
    }
  }

  private void onProtocolError(ErrorCode code) {
    switch (code) {
      case MISDIRECTED -> counters.misdirectedConnections++;
      case UNSUPPORTED_VERSION -> counters.unsupportedVersions++;
      default -> counters.malformedConnections++;
    }
    if (code == ErrorCode.MISDIRECTED || code == ErrorCode.UNSUPPORTED_VERSION) {
      closeReason = code;
      if (!isOutbound()) {
        sendHelloAndClose();
        return;
      }
    }
    close();
  }

  /** Tells the caller which process this is: nothing that it sent has been executed. */
  private void sendHelloAndClose() {
    markClosed();
    channel
        .writeAndFlush(Frame.hello(handshake.localHello()))
        .addListener((ChannelFuture written) -> channel.close());
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    close();
    for (PendingCall call : calls.close()) {
      call.fail(closeReason, "the connection closed before a response");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    close();
  }
}
