package elmsail.gateway.servers;

import elmsail.gateway.http.Headers;
import elmsail.gateway.http.RequestCounters;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;

/**
 * One connection to a server, with at most one request at a time. Any received data that is not
 * part of the one complete response to this request closes the connection. All methods run on the
 * channel's event loop.
 */
final class ServerConnection extends SimpleChannelInboundHandler<HttpObject> {
  private final ConnectionPool pool;
  private final Server server;
  private final ServerResponseDecoder decoder = new ServerResponseDecoder();
  private final KeepAlive keepAlive = new KeepAlive();
  private Channel channel;
  private BodyWriteMonitor bodyWrite;

  /** The attempt whose response is not complete yet, or null. */
  private Attempt current;

  /** Id of the last request, whose response may be sent a second time by a faulty server. */
  private String lastRequestId;

  private boolean inInformationalResponse;
  private boolean inResponse;
  private long responseStartedAt;

  /** Whether the connection may be reused after the current response. */
  private boolean reusable;

  /**
   * Whether the response has neither a length nor chunks, so that it ends when the server closes
   * the connection.
   */
  private boolean closeDelimited;

  /**
   * Whether the response is complete but bytes read together with it may still have to be decoded.
   */
  private boolean responseComplete;

  ServerConnection(ConnectionPool pool, Server server) {
    this.pool = pool;
    this.server = server;
  }

  /** Adds the connection's handlers to a new channel. */
  void addTo(ChannelPipeline pipeline) {
    channel = pipeline.channel();
    bodyWrite = new BodyWriteMonitor(pool.timers(), channel, this::release);
    pipeline.addLast(decoder, new HttpRequestEncoder(), this);
  }

  long idleSince() {
    return keepAlive.idleSince();
  }

  /** Whether the server will not close the idle connection soon. */
  boolean isFresh(long now) {
    return keepAlive.isFresh(now);
  }

  /**
   * Whether the last request had this id. A second response to the last request would be mistaken
   * for the response to a new request with the same id. A second response to an earlier request
   * would have been received before the last response and would have closed the connection.
   */
  boolean lastCarried(String requestId) {
    return requestId.equals(lastRequestId);
  }

  /** Whether the idle connection can carry a request now. */
  boolean isUsable(long now) {
    return channel.isActive()
        && !decoder.isInsideMessage()
        && isFresh(now)
        && (!(channel instanceof IdleCheckSocketChannel idle) || idle.hasNothingUnread());
  }

  void close() {
    server.idleConnections.remove(this);
    channel.close();
  }

  /** Writes the attempt's request, which counts as sent from now on. */
  void send(Attempt attempt) {
    current = attempt;
    lastRequestId = attempt.request().id();
    bodyWrite.start();
    attempt.bindTo(channel);
    attempt.markSent();
    channel.config().setAutoRead(!attempt.isPaused());
    FullHttpRequest request = attempt.request().toHttpRequest(server.id());
    decoder.expectHeadResponse(request.method().equals(HttpMethod.HEAD));
    ChannelFuture write = channel.writeAndFlush(request);
    if (write.isDone() && !write.isSuccess()) {
      // The listener must not be called within the call that starts the attempt.
      pool.timers().execute(() -> onWriteFailed(attempt));
    } else {
      write.addListener(
          done -> {
            if (done.isSuccess()) {
              bodyWrite.onWritten();
            } else {
              onWriteFailed(attempt);
            }
          });
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

  /** Handles the head of a response; returns false if the connection was closed because of it. */
  private boolean onHead(HttpResponse head) {
    HttpResponseStatus status = head.status();
    inInformationalResponse = status.codeClass() == HttpStatusClass.INFORMATIONAL;
    if (inInformationalResponse) {
      boolean isUpgrade = status.code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code();
      if (isUpgrade) {
        fail(RequestCounters.Event.UNREADABLE_RESPONSE);
      }
      return !isUpgrade;
    }
    if (!current.request().id().equals(head.headers().get(Headers.REQUEST_ID))) {
      fail(RequestCounters.Event.FOREIGN_RESPONSE);
      return false;
    }
    closeDelimited = isCloseDelimited(head);
    inResponse = true;
    reusable = !closeDelimited && HttpUtil.isKeepAlive(head);
    keepAlive.onResponse(head.headers().get("Keep-Alive"));
    responseStartedAt = pool.timers().now();
    recordAtServer(head, responseStartedAt);
    current.onHead(head);
    return true;
  }

  private boolean isCloseDelimited(HttpResponse head) {
    int code = head.status().code();
    boolean bodiless =
        decoder.expectsHeadResponse()
            || code == HttpResponseStatus.NO_CONTENT.code()
            || code == HttpResponseStatus.NOT_MODIFIED.code();
    return !bodiless
        && !HttpUtil.isContentLengthSet(head)
        && !HttpUtil.isTransferEncodingChunked(head);
  }

  private void recordAtServer(HttpResponse head, long now) {
    server.health().recordResponse(now);
    if (current.recordResult(head, now)) {
      pool.counters().count(RequestCounters.Event.SERVER_EJECTED);
    }
    if (head.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
      server.health().recordMisdirected();
    }
    String load = head.headers().get(Headers.SERVER_LOAD);
    if (load != null) {
      server.load().recordReport(load, now);
    }
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
      server.health().recordBytes(pool.timers().now());
      attempt.onData(content.content().retain());
    }
    if (last && closeDelimited && !decoder.isInputShutDown()) {
      fail(RequestCounters.Event.CLOSED_BY_SERVER);
    } else if (last) {
      onResponseComplete(attempt);
    }
  }

  private void onResponseComplete(Attempt attempt) {
    inResponse = false;
    current = null;
    if (attempt.isFinished()) {
      channel.close();
      return;
    }
    channel.config().setAutoRead(true);
    responseComplete = reusable;
    if (!reusable) {
      channel.close();
    }
    pool.counters().count(RequestCounters.Event.ATTEMPT_ANSWERED);
    server.load().recordSlotHoldTime(pool.timers().now() - responseStartedAt);
    attempt.onComplete();
  }

  /**
   * The connection becomes idle only after all bytes that were read together with the response are
   * handled.
   */
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

  /**
   * Makes the connection idle, at the latest when the last request's body is completely written, or
   * closes it.
   */
  private void release() {
    if (!channel.isActive() || !pool.keepsConnections(server)) {
      channel.close();
    } else if (bodyWrite.isWritten()) {
      keepAlive.startIdle(pool.timers().now());
      server.idleConnections.addLast(this);
    } else {
      bodyWrite.closeIfStalled();
    }
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

  /** Handles a connection reset or an internal error of the gateway; the connection is closed. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail(
        cause instanceof IOException
            ? RequestCounters.Event.CLOSED_BY_SERVER
            : RequestCounters.Event.FAULT);
  }

  /** Closes the connection and fails the attempt on it, if there is one. */
  private void fail(RequestCounters.Event reason) {
    Attempt attempt = current;
    current = null;
    responseComplete = false;
    inResponse = false;
    bodyWrite.cancel();
    close();
    if (attempt != null && !attempt.isFinished()) {
      pool.counters().count(reason);
      server.recordBrokenResponse(pool.timers().now());
      attempt.onFailure();
    }
  }
}
