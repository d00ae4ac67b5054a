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
  private static final int MAX_LINE_BYTES = 4_096;
  private static final int MAX_HEAD_BYTES = 16_384;
  private static final int MAX_CHUNK_BYTES = 32 * 1024;

  /** An idle connection is not used any more so long before the server closes it. */
  private static final long MAX_EXPIRY_MARGIN_MS = 1_000;

  /** Or so large a part of short times. */
  private static final double EXPIRY_MARGIN_RATIO = 0.4;

  /** Where the server told no time, it may be less than the second that can be told. */
  private static final long DEFAULT_KEEP_ALIVE_MS = 1_000;

  /** A server that has answered early must go on reading the rest of the body so soon. */
  private static final long BODY_STALL_TIMEOUT_MS = 2_000;

  private final ConnectionPool pool;
  private final Server server;
  private final StrictResponseDecoder decoder =
      new StrictResponseDecoder(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES) {
        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
          return isHeadRequest || super.isContentAlwaysEmpty(message);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
          inputShutDown |= event instanceof ChannelInputShutdownEvent;
          super.userEventTriggered(ctx, event); // puts out the end of an answer without a length
        }
      };
  private Channel channel;
  private Attempt current;
  private boolean inResponse;
  private long responseStartedAt;
  private boolean inInformationalResponse;
  private boolean isHeadRequest;
  private boolean keepAlive;

  /** The answer has neither a length nor chunks: it ends with the connection. */
  private boolean closeDelimited;

  /** The server has ended its direction, and not by a reset. */
  private boolean inputShutDown;

  /** Whether all of the last request has been written. */
  private boolean requestWritten;

  /** Set while the rest of an answered request's body is still being written. */
  private Timers.Timer bodyStallTimer;

  /** The id of the last request, whose answer may come a second time. */
  private String lastRequestId;

  /** Answered, but what came with the answer is not looked at yet. */
  private boolean responseComplete;

  private long keepAliveMs = DEFAULT_KEEP_ALIVE_MS;
  private long idleSince;

  ServerConnection(ConnectionPool pool, Server server) {
    this.pool = pool;
    this.server = server;
  }

  void addTo(ChannelPipeline pipeline) {
    channel = pipeline.channel();
    pipeline.addLast(decoder, new HttpRequestEncoder(), this);
  }

  long idleSince() {
    return idleSince;
  }

  /** Whether the server will not close it just now. */
  boolean isFresh(long now) {
    return now - idleSince
        < keepAliveMs - Math.min(MAX_EXPIRY_MARGIN_MS, keepAliveMs * EXPIRY_MARGIN_RATIO);
  }

  /**
   * Whether the last request had that id: a second answer to it would pass for the answer to one
   * that comes next. One to an earlier request has come before the last answer, and closed this.
   */
  boolean lastCarried(String requestId) {
    return requestId.equals(lastRequestId);
  }

  boolean isUsable(long now) {
    return channel.isActive()
        && !decoder.isInsideMessage()
        && isFresh(now)
        && (!(channel instanceof IdleCheckSocketChannel quiet) || quiet.hasNothingUnread());
  }

  void close() {
    server.idleConnections.remove(this);
    channel.close();
  }

  /** Writes the request; from here on it counts as sent. */
  void send(Attempt attempt) {
    current = attempt;
    lastRequestId = attempt.request().id();
    requestWritten = false;
    attempt.bindTo(channel);
    attempt.markSent();
    channel.config().setAutoRead(!attempt.isPaused());
    FullHttpRequest message = attempt.request().toHttpRequest(server.id());
    isHeadRequest = message.method().equals(HttpMethod.HEAD);
    ChannelFuture write = channel.writeAndFlush(message);
    if (write.isDone() && !write.isSuccess()) {
      pool.timers()
          .execute(() -> onWriteFailed(attempt)); // not within the call that begins the attempt
    } else {
      write.addListener(
          f -> {
            if (f.isSuccess()) {
              requestWritten();
            } else {
              onWriteFailed(attempt);
            }
          });
    }
  }

  private void requestWritten() {
    requestWritten = true;
    if (bodyStallTimer != null) {
      bodyStallTimer.cancel();
      bodyStallTimer = null;
      release();
    }
  }

  private void onWriteFailed(Attempt attempt) {
    if (current == attempt) {
      fail(RequestCounters.Event.CLOSED_BY_SERVER);
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (part.decoderResult().isFailure()) {
      fail(RequestCounters.Event.UNREADABLE_RESPONSE);
      return;
    }
    if (current == null || current.isFinished()) {
      fail(RequestCounters.Event.FOREIGN_RESPONSE);
      return;
    }
    if (part instanceof HttpResponse head && !onHead(head)) {
      return;
    }
    if (part instanceof HttpContent content) {
      onContent(content);
    }
  }

  private boolean onHead(HttpResponse head) {
    inInformationalResponse = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (inInformationalResponse) {
      if (head.status().code() == 101) {
        fail(RequestCounters.Event.UNREADABLE_RESPONSE);
        return false;
      }
      return true;
    }
    if (!current.request().id().equals(head.headers().get(Headers.REQUEST_ID))) {
      fail(RequestCounters.Event.FOREIGN_RESPONSE);
      return false;
    }
    int code = head.status().code();
    boolean empty = isHeadRequest || code == 204 || code == 304;
    closeDelimited =
        !empty && !HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head);
    inResponse = true;
    keepAlive = !closeDelimited && HttpUtil.isKeepAlive(head);
    String response = head.headers().get("Keep-Alive");
    keepAliveMs = response == null ? DEFAULT_KEEP_ALIVE_MS : keepAliveTimeoutMs(response);
    long now = pool.timers().now();
    responseStartedAt = now;
    server.recordResponse(now);
    if (current.recordResult(head, now)) {
      pool.counters().count(RequestCounters.Event.SERVER_EJECTED);
    }
    if (code == MISDIRECTED) {
      server.markMisdirected();
    }
    String load = head.headers().get(Headers.SERVER_LOAD);
    if (load != null) {
      server.recordReportedLoad(load, now);
    }
    current.onHead(head);
    return true;
  }

  static long keepAliveTimeoutMs(String keepAlive) {
    int at = keepAlive.indexOf("timeout=");
    if (at < 0) {
      return DEFAULT_KEEP_ALIVE_MS;
    }
    int from = at + "timeout=".length();
    int to = from;
    while (to < keepAlive.length() && Character.isDigit(keepAlive.charAt(to))) {
      to++;
    }
    return Headers.parseNonNegative(keepAlive.substring(from, to), 0) * 1_000;
  }

  private void onContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (inInformationalResponse) {
      inInformationalResponse = !last;
      return;
    }
    if (!inResponse) {
      return;
    }
    Attempt attempt = current;
    if (content.content().isReadable()) {
      server.recordBytes(pool.timers().now());
      attempt.onData(content.content().retain());
    }
    if (last && closeDelimited && !inputShutDown) {
      fail(RequestCounters.Event.CLOSED_BY_SERVER);
    } else if (last) {
      inResponse = false;
      current = null;
      if (attempt.isFinished()) {
        channel.close();
        return;
      }
      channel.config().setAutoRead(true);
      responseComplete = keepAlive;
      if (!keepAlive) {
        channel.close();
      }
      pool.counters().count(RequestCounters.Event.ATTEMPT_ANSWERED);
      server.recordSlotHoldTime(pool.timers().now() - responseStartedAt);
      attempt.onComplete();
    }
  }

  /** The connection is free only once all that came with the answer is read. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (responseComplete && !decoder.isInsideMessage()) {
      responseComplete = false;
      release();
    } else if (current == null && decoder.isInsideMessage()) {
      fail(RequestCounters.Event.FOREIGN_RESPONSE);
    }
    ctx.fireChannelReadComplete();
  }

  /** Nothing else goes over it before the last request's body has gone out whole. */
  private void release() {
    if (!channel.isActive() || !pool.keepsConnections(server)) {
      channel.close();
    } else if (requestWritten) {
      idleSince = pool.timers().now();
      server.idleConnections.addLast(this);
    } else {
      long unwrittenBytes = unwrittenBytes();
      bodyStallTimer =
          pool.timers().schedule(BODY_STALL_TIMEOUT_MS, () -> checkBodyProgress(unwrittenBytes));
    }
  }

  private void checkBodyProgress(long unwrittenBytesBefore) {
    long unwrittenBytes = unwrittenBytes();
    if (unwrittenBytes < unwrittenBytesBefore) {
      bodyStallTimer =
          pool.timers().schedule(BODY_STALL_TIMEOUT_MS, () -> checkBodyProgress(unwrittenBytes));
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
      fail(RequestCounters.Event.CLOSED_BY_SERVER);
    }
    super.userEventTriggered(ctx, event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    fail(RequestCounters.Event.CLOSED_BY_SERVER);
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail(
        cause instanceof java.io.IOException
            ? RequestCounters.Event.CLOSED_BY_SERVER
            : RequestCounters.Event.FAULT);
  }

  private void fail(RequestCounters.Event reason) {
    Attempt attempt = current;
    current = null;
    responseComplete = false;
    inResponse = false;
    if (bodyStallTimer != null) {
      bodyStallTimer.cancel();
      bodyStallTimer = null;
    }
    close();
    if (attempt != null && !attempt.isFinished()) {
      pool.counters().count(reason);
      server.recordBrokenResponse(pool.timers().now());
      attempt.onFailure();
    }
  }
}
