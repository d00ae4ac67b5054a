package elmsail.gateway.servers;

import elmsail.gateway.http.Headers;
import elmsail.gateway.http.RequestCounters;
import elmsail.runtime.Timers;
import elmsail.runtime.http.StrictResponseDecoder;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * One connection to a server: at most one request at a time. Whatever comes that is not the answer
 * to the present request, whole and in its place, closes it.
 */
final class ServerConnection extends SimpleChannelInboundHandler<HttpObject> {
  private static final int MISDIRECTED = 421;
  private static final int MOST_LINE = 4_096;
  private static final int MOST_HEAD = 16_384;
  private static final int MOST_PIECE = 32 * 1024;

  /** An idle connection is not used any more so long before the server closes it. */
  private static final long BEFORE_END_MS = 1_000;

  /** Or so large a part of short times. */
  private static final double PART_BEFORE_END = 0.4;

  /** Where the server told no time, it may be less than the second that can be told. */
  private static final long UNTOLD_MS = 1_000;

  /** A server that has answered early must go on reading the rest of the body so soon. */
  private static final long STUCK_BODY_MS = 2_000;

  private final ConnectionPool pool;
  private final Server server;
  private final StrictResponseDecoder decoder =
      new StrictResponseDecoder(MOST_LINE, MOST_HEAD, MOST_PIECE) {
        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
          return headOnly || super.isContentAlwaysEmpty(message);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
          endedInOrder |= event instanceof ChannelInputShutdownEvent;
          super.userEventTriggered(ctx, event); // puts out the end of an answer without a length
        }
      };
  private Channel channel;
  private Attempt current;
  private boolean inAnswer;
  private long answerBeganAt;
  private boolean informing;
  private boolean headOnly;
  private boolean keep;

  /** The answer has neither a length nor chunks: it ends with the connection. */
  private boolean untilEnd;

  /** The server has ended its direction, and not by a reset. */
  private boolean endedInOrder;

  /** Whether all of the last request has been written. */
  private boolean written;

  /** Set while the rest of an answered request's body is still being written. */
  private Timers.Timer finishing;

  /** The id of the last request, whose answer may come a second time. */
  private String lastId;

  /** Answered, but what came with the answer is not looked at yet. */
  private boolean answered;

  private long idleMs = UNTOLD_MS;
  private long idleSince;

  ServerConnection(ConnectionPool pool, Server server) {
    this.pool = pool;
    this.server = server;
  }

  void into(ChannelPipeline pipeline) {
    channel = pipeline.channel();
    pipeline.addLast(decoder, new HttpRequestEncoder(), this);
  }

  long idleSince() {
    return idleSince;
  }

  /** Whether the server will not close it just now. */
  boolean fresh(long now) {
    return now - idleSince < idleMs - Math.min(BEFORE_END_MS, idleMs * PART_BEFORE_END);
  }

  /**
   * Whether the last request had that id: a second answer to it would pass for the answer to one
   * that comes next. One to an earlier request has come before the last answer, and closed this.
   */
  boolean hasJustCarried(String requestId) {
    return requestId.equals(lastId);
  }

  boolean usable(long now) {
    return channel.isActive()
        && !decoder.isInsideMessage()
        && fresh(now)
        && (!(channel instanceof QuietSocketChannel quiet) || quiet.quiet());
  }

  void close() {
    server.idle.remove(this);
    channel.close();
  }

  /** Writes the request; from here on it counts as sent. */
  void carry(Attempt attempt) {
    current = attempt;
    lastId = attempt.out().id();
    written = false;
    attempt.on(channel);
    attempt.sending();
    channel.config().setAutoRead(!attempt.paused());
    FullHttpRequest message = attempt.out().message(server.id());
    headOnly = message.method().equals(HttpMethod.HEAD);
    ChannelFuture write = channel.writeAndFlush(message);
    if (write.isDone() && !write.isSuccess()) {
      pool.timers().execute(() -> unwritten(attempt)); // not within the call that begins the attempt
    } else {
      write.addListener(
          f -> {
            if (f.isSuccess()) {
              written();
            } else {
              unwritten(attempt);
            }
          });
    }
  }

  private void written() {
    written = true;
    if (finishing != null) {
      finishing.cancel();
      finishing = null;
      free();
    }
  }

  private void unwritten(Attempt attempt) {
    if (current == attempt) {
      broken(RequestCounters.Event.CLOSED_BY_SERVER);
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (part.decoderResult().isFailure()) {
      broken(RequestCounters.Event.UNREADABLE_ANSWER);
      return;
    }
    if (current == null || current.over()) {
      broken(RequestCounters.Event.FOREIGN_ANSWER);
      return;
    }
    if (part instanceof HttpResponse head && !begin(head)) {
      return;
    }
    if (part instanceof HttpContent content) {
      content(content);
    }
  }

  private boolean begin(HttpResponse head) {
    informing = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (informing) {
      if (head.status().code() == 101) {
        broken(RequestCounters.Event.UNREADABLE_ANSWER);
        return false;
      }
      return true;
    }
    if (!current.out().id().equals(head.headers().get(Headers.REQUEST_ID))) {
      broken(RequestCounters.Event.FOREIGN_ANSWER);
      return false;
    }
    int code = head.status().code();
    boolean empty = headOnly || code == 204 || code == 304;
    untilEnd =
        !empty && !HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head);
    inAnswer = true;
    keep = !untilEnd && HttpUtil.isKeepAlive(head);
    String response = head.headers().get("Keep-Alive");
    idleMs = response == null ? UNTOLD_MS : toldMs(response);
    long now = pool.timers().now();
    answerBeganAt = now;
    server.heard(now);
    if (current.judge(head, now)) {
      pool.counters().count(RequestCounters.Event.SERVER_ERRORED);
    }
    if (code == MISDIRECTED) {
      server.misplace();
    }
    String load = head.headers().get(Headers.SERVER_LOAD);
    if (load != null) {
      server.load(load, now);
    }
    current.head(head);
    return true;
  }

  static long toldMs(String keepAlive) {
    int at = keepAlive.indexOf("timeout=");
    if (at < 0) {
      return UNTOLD_MS;
    }
    int from = at + "timeout=".length();
    int to = from;
    while (to < keepAlive.length() && Character.isDigit(keepAlive.charAt(to))) {
      to++;
    }
    return Headers.number(keepAlive.substring(from, to), 0) * 1_000;
  }

  private void content(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (informing) {
      informing = !last;
      return;
    }
    if (!inAnswer) {
      return;
    }
    Attempt attempt = current;
    if (content.content().isReadable()) {
      server.stirred(pool.timers().now());
      attempt.data(content.content().retain());
    }
    if (last && untilEnd && !endedInOrder) {
      broken(RequestCounters.Event.CLOSED_BY_SERVER);
    } else if (last) {
      inAnswer = false;
      current = null;
      if (attempt.over()) {
        channel.close();
        return;
      }
      channel.config().setAutoRead(true);
      answered = keep;
      if (!keep) {
        channel.close();
      }
      pool.counters().count(RequestCounters.Event.TRY_ANSWERED);
      server.held(pool.timers().now() - answerBeganAt);
      attempt.whole();
    }
  }

  /** The connection is free only once all that came with the answer is read. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (answered && !decoder.isInsideMessage()) {
      answered = false;
      free();
    } else if (current == null && decoder.isInsideMessage()) {
      broken(RequestCounters.Event.FOREIGN_ANSWER);
    }
    ctx.fireChannelReadComplete();
  }

  /** Nothing else goes over it before the last request's body has gone out whole. */
  private void free() {
    if (!channel.isActive() || !pool.keeps(server)) {
      channel.close();
    } else if (written) {
      idleSince = pool.timers().now();
      server.idle.addLast(this);
    } else {
      long unwritten = unwrittenBytes();
      finishing = pool.timers().schedule(STUCK_BODY_MS, () -> goOnOrClose(unwritten));
    }
  }

  private void goOnOrClose(long unwrittenBefore) {
    long unwritten = unwrittenBytes();
    if (unwritten < unwrittenBefore) {
      finishing = pool.timers().schedule(STUCK_BODY_MS, () -> goOnOrClose(unwritten));
    } else {
      channel.close();
    }
  }

  private long unwrittenBytes() {
    ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
    return out == null ? 0 : out.totalPendingWriteBytes() - Math.max(0, out.currentProgress());
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
    if (event instanceof ChannelInputShutdownEvent) {
      broken(RequestCounters.Event.CLOSED_BY_SERVER);
    }
    super.userEventTriggered(ctx, event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    broken(RequestCounters.Event.CLOSED_BY_SERVER);
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    broken(
        cause instanceof java.io.IOException
            ? RequestCounters.Event.CLOSED_BY_SERVER
            : RequestCounters.Event.FAULT);
  }

  private void broken(RequestCounters.Event why) {
    Attempt attempt = current;
    current = null;
    answered = false;
    inAnswer = false;
    if (finishing != null) {
      finishing.cancel();
      finishing = null;
    }
    close();
    if (attempt != null && !attempt.over()) {
      pool.counters().count(why);
      server.broke(pool.timers().now());
      attempt.failed();
    }
  }
}
