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
import willowdoor.front.loop.Looks;
import willowdoor.front.loop.Tally;

/**
 * One client's connection: a request at a time, each with the one final answer. Requests written
 * behind the present one wait. What it reads comes from {@link ReadAhead}, what it answers goes
 * through {@link ResponseWriter}, and it is ended by {@link LingeringClose} alone.
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

  /** One connection too many: its first request is refused, and it ends. */
  private boolean overLimit;

  /** A part was asked for that has not come. */
  private boolean readPending;

  /** The next request waits until there is room for its answer. */
  private boolean writeBlocked;

  /** How many requests have come to their turn. */
  private long requestsStarted;

  ClientConnection(ClientServer server, Looks polls) {
    this.server = server;
    arrivalTime = new ArrivalTime(polls);
    input = new ReadAhead(polls, arrivalTime, this::receiving, server::addBufferedBytes);
    receiveTimeout = new ReceiveTimeout(this::onReceiveTimeout);
  }

  /** The bytes' way to this and back. */
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
      server.count(Tally.Event.CLIENT_SLOW);
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

  /** Asks for the next part: the pieces of a request, or the head of the next one. */
  void read() {
    readPending = true;
    channel.read();
    if (exchange.receiving()) {
      receiveTimeout.onBodyReadRequested();
    }
  }

  /** What was read last may not have been a whole part. */
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
        exchange.head(request, overLimit);
      }
      if (part instanceof HttpContent piece) {
        exchange.piece(piece);
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

  /** The body of the present request has come whole. */
  void onBodyEnd() {
    receiveTimeout.onBodyEnd();
    input.watchForClose();
  }

  /** The present request is read and answered: the connection ends, or waits for the next one. */
  void onExchangeEnd(boolean keepAlive) {
    if (keepAlive && (!input.overflowed() || nextRequestBegun())) {
      server.markIdle(this);
      // Not at once: answers that come at once would nest as deep as the requests behind each
      // other.
      channel.eventLoop().execute(this::readNext);
    } else {
      end();
    }
  }

  /** Once the client has read its answers so far, but for what the sockets take. */
  private void readNext() {
    writeBlocked = !channel.isWritable();
    if (!closing.begun() && !writeBlocked) {
      read();
      if (!exchange.isOpen() && decoder.hasPartialInput()) {
        receiveTimeout.onNextHeadBegun();
      }
    }
  }

  /** In a drain the connection is kept for what has come already, and ends behind that. */
  private boolean mayKeepAlive() {
    return !server.draining() && !input.overflowed() || nextRequestBegun();
  }

  /** Whether anything has come behind the present request. */
  private boolean nextRequestBegun() {
    return decoder.decodedHeads() > requestsStarted
        || decoder.hasPartialInput()
        || input.hasBuffered();
  }

  /**
   * Answers what cannot be read any further, and lets the client read that before the connection
   * ends.
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

  /** Ends it so that its client sees that the answer is not whole. */
  void reset() {
    closing.reset();
  }

  /** Whether its end has begun. */
  boolean isClosing() {
    return closing.begun();
  }

  /** Whether neither a request is on it nor a part of one has come. */
  boolean isIdle() {
    return hasNoRequest() && !receiveTimeout.partialHead() && !nextRequestBegun();
  }

  /** Ends the connection if no request is on it, and tells whether that is so. */
  boolean closeIfIdle() {
    boolean idle = isIdle() && !input.readDirectly();
    if (idle) {
      end();
    }
    return idle;
  }

  /** Ends the connection though a part of a request may have come. */
  void closeIfNoRequest() {
    if (hasNoRequest()) {
      end();
    }
  }

  /** Whether no whole head of a request is on it. */
  boolean hasNoRequest() {
    return !exchange.isOpen() && !closing.begun();
  }

  /** Ends it at once, as descriptors run out. */
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
        server.count(Tally.Event.STREAM_IDLE);
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
      LOG.log(Level.SEVERE, "request failed", cause);
    }
    closing.closeNow();
  }
}
