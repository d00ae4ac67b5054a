package willowdoor.front.clients;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.front.loop.EventCounters;
import willowdoor.front.loop.PollTimes;

/**
 * One client's connection. It handles one request at a time, and each gets exactly one final
 * answer; requests that are pipelined behind the present one wait. Input comes from {@link
 * ReadAhead}, responses go through {@link ResponseWriter}, and only {@link LingeringClose} ends the
 * connection.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {

  private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());

  private final ClientServer server;
  private final ArrivalTime arrivalTime;
  private final ReadAhead input;
  private final ReceiveTimeout receiveTimeout;
  private final RequestDecoder decoder = new RequestDecoder();
  private Channel channel;
  private LingeringClose closing;
  private ResponseWriter responseWriter;
  private Exchange exchange;
  private double openedAt;

  /**
   * The connection exceeds the limit on connections: its first request is refused, and the
   * connection ends.
   */
  private boolean overLimit;

  /** The next part of a request was requested from the pipeline and has not arrived. */
  private boolean readPending;

  /** The next request is not read until there is room for its response. */
  private boolean writeBlocked;

  /** The number of requests whose handling has begun. */
  private long requestsStarted;

  ClientConnection(ClientServer server, PollTimes polls) {
    this.server = server;
    arrivalTime = new ArrivalTime(polls);
    input = new ReadAhead(polls, arrivalTime, this::receiving, server::addBufferedBytes);
    receiveTimeout = new ReceiveTimeout(this::onReceiveTimeout);
  }

  /** The handlers of the pipeline, from the socket to this handler. */
  ChannelHandler[] handlers() {
    return new ChannelHandler[] {
      input, receiveTimeout, decoder, new HttpResponseEncoder(), new FlowControlHandler(), this
    };
  }

  double openedAt() {
    return openedAt;
  }

  private void onReceiveTimeout() {
    if (!closing.begun() && (!exchange.isOpen() || exchange.receiving())) {
      server.count(EventCounters.Event.CLIENT_SLOW);
      endWithError(HttpResponseStatus.REQUEST_TIMEOUT, "request did not come in time");
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    closing = new LingeringClose(channel, input, () -> server.onLingering(this));
    responseWriter = new ResponseWriter(channel, this::mayKeepAlive);
    exchange = new Exchange(server, this, channel, arrivalTime, responseWriter);
    openedAt = server.now();
    overLimit = server.register(this);
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    ctx.fireChannelActive();
    read();
  }

  private boolean receiving() {
    return exchange.receiving();
  }

  /**
   * Requests the next part: a piece of the present request's body, or the head of the next request.
   */
  void read() {
    readPending = true;
    channel.read();
    if (exchange.receiving()) {
      receiveTimeout.onBodyReadRequested();
    }
  }

  /** The bytes that were read last may not have completed a part. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (readPending) {
      channel.read();
    }
    ctx.fireChannelReadComplete();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    readPending = false;
    if (closing.begun()) {
      return;
    }
    if (part.decoderResult().isFailure()) {
      endWithError(HttpResponseStatus.BAD_REQUEST, "malformed request");
      return;
    }
    try {
      if (part instanceof HttpRequest request) {
        receiveTimeout.onHeadEnd();
        server.markBusy(this);
        requestsStarted++;
        exchange.onHead(request, overLimit);
      }
      if (part instanceof HttpContent piece) {
        exchange.onBodyPiece(piece);
      } else if (!closing.begun()) {
        read();
      }
    } catch (RuntimeException e) {
      exchange.onFault(e);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (channel.isWritable()) {
      exchange.onWritable();
      if (writeBlocked) {
        readNext();
      }
    }
    ctx.fireChannelWritabilityChanged();
  }

  /** Called when the body of the present request has arrived in full. */
  void onBodyEnd() {
    receiveTimeout.onBodyEnd();
    input.watchForClose();
  }

  /**
   * Called when the present request is read and answered. The connection then ends or waits for the
   * next request.
   */
  void onExchangeEnd(boolean keepAlive) {
    if (keepAlive && (!input.overflowed() || nextRequestBegun())) {
      server.markIdle(this);
      // Deferred: a direct call would recurse once for each pipelined request that is answered at
      // once.
      channel.eventLoop().execute(this::readNext);
    } else {
      end();
    }
  }

  /**
   * Reads the next request, unless responses that the client has not read fill the output buffer.
   */
  private void readNext() {
    writeBlocked = !channel.isWritable();
    if (!closing.begun() && !writeBlocked) {
      read();
      if (!exchange.isOpen() && decoder.hasPartialInput()) {
        receiveTimeout.onNextHeadBegun();
      }
    }
  }

  /**
   * Whether the connection may stay open after the response. In a drain it stays open for requests
   * that have already arrived, and ends after them.
   */
  private boolean mayKeepAlive() {
    return !server.draining() && !input.overflowed() || nextRequestBegun();
  }

  /** Whether any byte of the next request has arrived. */
  private boolean nextRequestBegun() {
    return decoder.decodedHeads() > requestsStarted
        || decoder.hasPartialInput()
        || input.hasBuffered();
  }

  /**
   * Answers input that cannot be read any further with an error, and lets the client read the error
   * before the connection ends.
   */
  void endWithError(HttpResponseStatus status, String reason) {
    exchange.releasePrefix();
    boolean responseBegun = exchange.answering();
    exchange.cancel();
    if (responseBegun) {
      closing.reset();
    } else if (exchange.answered()) {
      end();
    } else {
      server.markBusy(this);
      responseWriter.sendLastError(status, reason);
      closing.beginWithTimeout();
    }
  }

  private void end() {
    server.markBusy(this);
    closing.begin();
  }

  /** Resets the connection, so that the client can tell that the response is incomplete. */
  void reset() {
    closing.reset();
  }

  /** Whether the close of the connection has begun. */
  boolean isClosing() {
    return closing.begun();
  }

  /** Whether there is no request on the connection and no part of one has arrived. */
  boolean isIdle() {
    return hasNoRequest() && !receiveTimeout.partialHead() && !nextRequestBegun();
  }

  /** Ends the connection if it is idle. Returns whether it was. */
  boolean closeIfIdle() {
    boolean idle = isIdle() && !input.readDirectly();
    if (idle) {
      end();
    }
    return idle;
  }

  /**
   * Ends the connection unless a request's complete head has arrived, even if a part of a head has.
   */
  void closeIfNoRequest() {
    if (hasNoRequest()) {
      end();
    }
  }

  /** Whether no request with a complete head is on the connection, and its close has not begun. */
  boolean hasNoRequest() {
    return !exchange.isOpen() && !closing.begun();
  }

  /** Closes the connection at once, as descriptors run out. */
  void closeNow() {
    closing.closeNow();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closing.onClosed();
    exchange.releasePrefix();
    server.remove(this);
    exchange.cancel();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent) {
      if (exchange.answering() || exchange.receiving()) {
        server.count(EventCounters.Event.STREAM_IDLE);
      }
      if (!hasNoRequest() || writeBlocked) {
        closing.closeNow();
      } else if (!input.readDirectly()) {
        end();
      }
    } else {
      ctx.fireUserEventTriggered(event);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof RuntimeException) {
      LOG.log(Level.SEVERE, "handling of a client's connection failed", cause);
    }
    closing.closeNow();
  }
}
