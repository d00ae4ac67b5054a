package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One connection. The side that opened it watches over it: it pings when nothing was heard, and
 * closes it when that brings nothing; the other side answers, and closes only what has long been
 * left.
 */
final class RpcConnection extends ChannelInboundHandlerAdapter {

  /** Who the links belong to. */
  interface Owner {
    /** Fails with GARBLED if the ask cannot be read. */
    void asked(RpcConnection link, Frame request);

    void closed(RpcConnection link);
  }

  /** All in ms. */
  static final long PING_AFTER = 400;

  static final long CLOSE_AFTER = 1_200;
  static final long IN_USE_FOR = 5_000;
  static final long IDLE_FOR = 60_000;

  /** An accepted connection that its opener has not used, nor closed. */
  static final long LEFT_FOR = 2 * IDLE_FOR;

  /** An accepted connection whose answers nobody takes. */
  static final long STUCK_FOR = 10_000;

  static final long LOOK_FOR = 10;

  static final long MOST_QUEUED_BYTES = 8 << 20;

  /** Small, so that what a slow peer has taken shows soon. */
  static final int SEND_BYTES = 256 << 10;

  static final int MOST_CALLS = 4_096;
  static final int MOST_ASKS = 1_024;

  /** Null on the side that accepted. */
  final Peer peer;

  private final Owner owner;
  private final Timers timers;
  private final Codec codec;
  private final RpcCounters counts;
  private final FrameReader reader = new FrameReader();
  private final Map<Long, PendingCall> calls = new LinkedHashMap<>();
  private Channel channel;
  private boolean closed;
  private boolean everHeard;
  private long lastHeard;
  private long lastUsed;

  /** Since when something is outstanding; -1 if nothing is. */
  private long since = -1;

  private boolean pinged;
  private boolean suspected;
  private boolean flushing;
  private int asks;

  /** Bytes of frames that the socket has not taken whole. */
  private long queued;

  private long accepted;
  private long taken;
  private boolean backlog;

  RpcConnection(Peer peer, Owner owner, Timers timers, Codec codec, RpcCounters counts) {
    this.peer = peer;
    this.owner = owner;
    this.timers = timers;
    this.codec = codec;
    this.counts = counts;
    lastHeard = timers.now();
    lastUsed = lastHeard;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  boolean everHeard() {
    return everHeard;
  }

  /** Whether the call could be queued; the frame is taken over if so. */
  boolean send(PendingCall call, ByteBuf frame) {
    if (closed || calls.size() >= MOST_CALLS || !fits(frame.readableBytes())) {
      return false;
    }
    call.link = this;
    calls.put(call.number, call);
    lastUsed = timers.now();
    if (since < 0) {
      since = lastUsed;
    }
    write(frame);
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
    if (fits(frame.readableBytes())) {
      write(frame);
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
    if (!closed) {
      closed = true;
      owner.closed(this);
    }
    channel.close();
  }

  /** The process was held up for so long: what the peer said meanwhile has not been looked at. */
  void forgive(long ms) {
    long now = timers.now();
    lastHeard = Math.min(now, lastHeard + ms);
    if (since >= 0) {
      since = Math.min(now, since + ms);
    }
  }

  /** Looks after the link; true if it needs that again soon. */
  boolean sweep() {
    long now = timers.now();
    progress(now);
    if (peer == null) {
      long quiet = now - lastHeard;
      if (quiet >= LEFT_FOR || quiet >= STUCK_FOR && queued > 0) {
        close();
      }
      return false;
    }
    if (!outstanding()) {
      since = -1;
      if (now - lastUsed >= IN_USE_FOR) {
        if (now - lastUsed >= IDLE_FOR) {
          close();
        }
        return false;
      }
    } else if (since < 0) {
      since = now;
    }
    long quiet = now - Math.max(lastHeard, since);
    if (quiet >= CLOSE_AFTER && outstanding()) {
      if (!suspected) {
        suspected = true;
        long at = now + LOOK_FOR;
        timers.after(LOOK_FOR, () -> judge(at));
      }
    } else if (quiet >= PING_AFTER && !pinged) {
      ping(now);
    }
    return true;
  }

  private void ping(long now) {
    pinged = true;
    counts.pings++;
    if (since < 0) {
      since = now;
    }
    write(Frame.bare(Frame.PING, 0));
  }

  private void judge(long at) {
    long now = timers.now();
    if (now - at > RpcEndpoint.HELD_UP) {
      timers.after(LOOK_FOR, () -> judge(now + LOOK_FOR));
      return;
    }
    suspected = false;
    progress(now);
    if (!closed && outstanding() && now - Math.max(lastHeard, since) >= CLOSE_AFTER) {
      counts.silentLinks++;
      close();
    }
  }

  private boolean outstanding() {
    return pinged || queued > 0 || !calls.isEmpty();
  }

  /** Bytes that the socket takes after it was full were acknowledged by the peer's machine. */
  private void progress(long now) {
    ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
    long part = out == null ? 0 : Math.max(0, out.currentProgress());
    long gone = accepted - queued + part;
    if (backlog && gone > taken) {
      lastHeard = now;
    }
    taken = gone;
    backlog = queued - part > 0;
  }

  private boolean fits(int bytes) {
    return queued == 0 || queued + bytes <= MOST_QUEUED_BYTES;
  }

  /** A frame that is not refused: if even these pile up, nobody reads. */
  private void writeSmall(ByteBuf frame) {
    write(frame);
    if (queued > 2 * MOST_QUEUED_BYTES + Frame.MOST_BYTES) {
      close();
    }
  }

  private void write(ByteBuf frame) {
    int bytes = frame.readableBytes();
    queued += bytes;
    accepted += bytes;
    counts.bytesOut += bytes;
    channel
        .write(frame)
        .addListener(
            (ChannelFuture f) -> {
              queued -= bytes;
              if (!f.isSuccess()) {
                close();
              }
            });
    if (!flushing) {
      flushing = true;
      channel.eventLoop().execute(this::flush);
    }
  }

  private void flush() {
    flushing = false;
    channel.flush();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ByteBuf in = (ByteBuf) message;
    try {
      counts.bytesIn += in.readableBytes();
      everHeard = true;
      pinged = false;
      lastHeard = timers.now();
      Frame frame = reader.next(in);
      while (frame != null && !closed) {
        take(frame);
        frame = reader.next(in);
      }
    } catch (ElmsailException e) {
      counts.garbled++;
      close();
    } finally {
      in.release();
    }
  }

  private void take(Frame frame) {
    switch (frame.kind()) {
      case Frame.ASK -> {
        lastUsed = lastHeard;
        owner.asked(this, frame);
      }
      case Frame.ANSWER -> {
        if (!calls.containsKey(frame.call())) {
          counts.late++;
          return;
        }
        Object answer = codec.read(frame.type(), frame.payload(), 0, frame.payload().length);
        calls.remove(frame.call()).answered(answer);
      }
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

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    close();
    PendingCall[] open = calls.values().toArray(new PendingCall[0]);
    calls.clear();
    for (PendingCall call : open) {
      call.fail(ErrorCode.BROKEN, "connection closed");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    close();
  }
}
