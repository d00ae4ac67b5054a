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
  interface Owner {
    /** Fails with GARBLED if the ask cannot be read. */
    void asked(RpcConnection connection, Frame request);

    /** The other side has said hello, and the process called is the one that was meant. */
    void introduced(RpcConnection connection);

    void closed(RpcConnection connection);
  }

  /** Small, so that what a slow peer has taken shows soon. */
  static final int SEND_BYTES = 256 << 10;

  static final int MOST_ASKS = 1_024;

  /** Null on the side that accepted. */
  final Peer peer;

  private final Owner owner;
  private final Codec codec;
  private final RpcCounters counts;
  private final FrameReader reader = new FrameReader();
  private final CallTable<PendingCall> calls = new CallTable<>();
  private final OutboundQueue out;
  private final Handshake handshake;
  private final Liveness liveness;
  private Channel channel;
  private boolean closed;

  /** What open calls fail with once the connection has ended. */
  private ErrorCode endedBy = ErrorCode.BROKEN;

  private int asks;

  RpcConnection(
      Peer peer, Handshake handshake, Owner owner, Timers timers, Codec codec, RpcCounters counts) {
    this.peer = peer;
    this.handshake = handshake;
    this.out = new OutboundQueue(counts, this::close);
    this.owner = owner;
    this.codec = codec;
    this.counts = counts;
    liveness = new Liveness(timers, counts, out, calls, peer != null, this::close);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    out.channel(channel);
  }

  /** Looks after the connection, see {@link Liveness}. */
  Liveness liveness() {
    return liveness;
  }

  /** Whether the process meant has answered as such. */
  boolean introduced() {
    return handshake.complete();
  }

  /** The instance that answers; known once it has introduced itself. */
  long peerInstanceId() {
    return handshake.peerInstanceId();
  }

  /** Says which process is meant, or which this one is. */
  void sayHello() {
    out.write(Frame.hello(handshake.own()));
  }

  /** Whether the call could be queued; the frame is taken over if so. */
  boolean send(PendingCall call, ByteBuf frame) {
    if (closed || !out.fits(frame.readableBytes()) || !calls.add(call.number, call)) {
      return false;
    }
    call.connection = this;
    liveness.called();
    out.write(frame);
    return true;
  }

  /** The call has failed: its answer is not waited for. */
  void forget(PendingCall call) {
    calls.remove(call.number);
  }

  /** Whether there is room for one more ask to be answered. */
  boolean beginAsk() {
    if (asks >= MOST_ASKS) {
      return false;
    }
    asks++;
    return true;
  }

  void answer(long call, Object answer) {
    asks--;
    if (closed) {
      counts.unheard++;
      return;
    }
    ByteBuf frame;
    try {
      frame = Frame.message(codec, Frame.ANSWER, call, answer);
    } catch (ElmsailException e) {
      writeSmall(Frame.failure(call, e.code()));
      return;
    }
    if (out.fits(frame.readableBytes())) {
      out.write(frame);
    } else {
      frame.release();
      writeSmall(Frame.failure(call, ErrorCode.FULL));
    }
  }

  void fail(long call, ErrorCode code) {
    asks--;
    if (closed) {
      counts.unheard++;
    } else {
      writeSmall(Frame.failure(call, code));
    }
  }

  /** An ask that there was no room for. */
  void refuse(long call) {
    writeSmall(Frame.failure(call, ErrorCode.FULL));
  }

  void close() {
    markClosed();
    channel.close();
  }

  private void markClosed() {
    if (!closed) {
      closed = true;
      liveness.end();
      owner.closed(this);
    }
  }

  /** A frame that is not refused: if even these pile up, nobody reads. */
  private void writeSmall(ByteBuf frame) {
    out.write(frame);
    if (out.overflows()) {
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
      counts.bytesIn += in.readableBytes();
      liveness.heard();
      Frame frame = reader.next(in);
      while (frame != null && !closed) {
        take(frame);
        frame = reader.next(in);
      }
    } catch (ElmsailException e) {
      refuseConnection(e.code());
    } finally {
      in.release();
    }
  }

  private void take(Frame frame) {
    handshake.admit(frame);
    switch (frame.kind()) {
      case Frame.HELLO -> owner.introduced(this);
      case Frame.ASK -> {
        liveness.asked();
        owner.asked(this, frame);
      }
      case Frame.ANSWER -> answered(frame);
      case Frame.FAILURE -> {
        PendingCall call = calls.remove(frame.call());
        if (call == null) {
          counts.late++;
        } else {
          call.refused(frame.code());
        }
      }
      case Frame.PING -> writeSmall(Frame.bare(Frame.PONG, 0));
      default -> {
        // A pong was heard, which is all that it is for.
      }
    }
  }

  private void answered(Frame frame) {
    if (calls.find(frame.call()) == null) {
      counts.late++;
      return;
    }
    Object answer = codec.read(frame.type(), frame.payload(), 0, frame.payload().length);
    calls.remove(frame.call()).answered(answer);
  }

  /** Ends this connection, and nothing else, for what came over it. */
  private void refuseConnection(ErrorCode code) {
    switch (code) {
      case MISDIRECTED -> counts.misdirected++;
      case UNSUPPORTED_VERSION -> counts.unsupportedVersions++;
      default -> counts.garbled++;
    }
    if (code == ErrorCode.MISDIRECTED || code == ErrorCode.UNSUPPORTED_VERSION) {
      endedBy = code;
      if (peer == null) {
        sayWhoThisIsAndClose();
        return;
      }
    }
    close();
  }

  /** So that the caller learns why: nothing that it sent has been looked at. */
  private void sayWhoThisIsAndClose() {
    markClosed();
    channel
        .writeAndFlush(Frame.hello(handshake.own()))
        .addListener((ChannelFuture f) -> channel.close());
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    close();
    for (PendingCall call : calls.close()) {
      call.fail(endedBy, "connection closed");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    close();
  }
}
