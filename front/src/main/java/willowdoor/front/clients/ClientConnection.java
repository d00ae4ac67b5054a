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
 * One client's connection: a request at a time, each with the one final answer. Requests written
 * behind the present one wait. What it reads comes from {@link ReadAhead}, what it answers goes
 * through {@link AnswerWriter}, and it is ended by {@link LingeringClose} alone.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {

  private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());

  private final ClientServer server;
  private final Arrival arrival;
  private final ReadAhead input;
  private final ReceiveLimit receiveLimit;
  private final RequestDecoder decoder = new RequestDecoder();
  private Channel channel;
  private LingeringClose closing;
  private AnswerWriter answers;
  private Exchange exchange;
  private double openedAt;

  /** One connection too many: its first request is refused, and it ends. */
  private boolean over;

  /** A part was asked for that has not come. */
  private boolean wanted;

  /** The next request waits until there is room for its answer. */
  private boolean full;

  /** How many requests have come to their turn. */
  private long heads;

  ClientConnection(ClientServer server, PollTimes looks) {
    this.server = server;
    arrival = new Arrival(looks);
    input = new ReadAhead(looks, arrival, this::receiving, server::keeps);
    receiveLimit = new ReceiveLimit(this::overdue);
  }

  /** The bytes' way to this and back. */
  ChannelHandler[] handlers() {
    return new ChannelHandler[] {
      input, receiveLimit, decoder, new HttpResponseEncoder(), new FlowControlHandler(), this
    };
  }

  double openedAt() {
    return openedAt;
  }

  private void overdue() {
    if (!closing.begun() && (!exchange.open() || exchange.receiving())) {
      server.count(EventCounters.Event.CLIENT_SLOW);
      endWith(HttpResponseStatus.REQUEST_TIMEOUT, "request did not come in time");
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    closing = new LingeringClose(channel, input, () -> server.lingers(this));
    answers = new AnswerWriter(channel, this::mayBeKept);
    exchange = new Exchange(server, this, channel, arrival, answers);
    openedAt = server.now();
    over = server.opened(this);
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
    wanted = true;
    channel.read();
    if (exchange.receiving()) {
      receiveLimit.waits();
    }
  }

  /** What was read last may not have been a whole part. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (wanted) {
      channel.read();
    }
    ctx.fireChannelReadComplete();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    wanted = false;
    if (closing.begun()) {
      return;
    }
    if (part.decoderResult().isFailure()) {
      endWith(HttpResponseStatus.BAD_REQUEST, "malformed request");
      return;
    }
    try {
      if (part instanceof HttpRequest request) {
        receiveLimit.headCame();
        server.took(this);
        heads++;
        exchange.head(request, over);
      }
      if (part instanceof HttpContent piece) {
        exchange.piece(piece);
      } else if (!closing.begun()) {
        read();
      }
    } catch (RuntimeException e) {
      exchange.faulty(e);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (channel.isWritable()) {
      exchange.writable();
      if (full) {
        readNext();
      }
    }
    ctx.fireChannelWritabilityChanged();
  }

  /** The body of the present request has come whole. */
  void bodyCame() {
    receiveLimit.bodyCame();
    input.watch();
  }

  /** The present request is read and answered: the connection ends, or waits for the next one. */
  void next(boolean kept) {
    if (kept && (!input.overflowed() || begunBehind())) {
      server.answered(this);
      // Not at once: answers that come at once would nest as deep as the requests behind each
      // other.
      channel.eventLoop().execute(this::readNext);
    } else {
      end();
    }
  }

  /** Once the client has read its answers so far, but for what the sockets take. */
  private void readNext() {
    full = !channel.isWritable();
    if (!closing.begun() && !full) {
      read();
      if (!exchange.open() && decoder.begun()) {
        receiveLimit.begunAhead();
      }
    }
  }

  /** In a drain the connection is kept for what has come already, and ends behind that. */
  private boolean mayBeKept() {
    return !server.draining() && !input.overflowed() || begunBehind();
  }

  /** Whether anything has come behind the present request. */
  private boolean begunBehind() {
    return decoder.heads() > heads || decoder.begun() || input.holds();
  }

  /**
   * Answers what cannot be read any further, and lets the client read that before the connection
   * ends.
   */
  void endWith(HttpResponseStatus status, String reason) {
    exchange.release();
    boolean begun = exchange.answering();
    exchange.leave();
    if (begun) {
      closing.reset();
    } else if (exchange.answered()) {
      end();
    } else {
      server.took(this);
      answers.end(status, reason);
      closing.beginWithin();
    }
  }

  private void end() {
    server.took(this);
    closing.begin();
  }

  /** Ends it so that its client sees that the answer is not whole. */
  void cut() {
    closing.reset();
  }

  /** Whether its end has begun. */
  boolean ending() {
    return closing.begun();
  }

  /** Whether neither a request is on it nor a part of one has come. */
  boolean waits() {
    return unasked() && !receiveLimit.partial() && !begunBehind();
  }

  /** Ends the connection if no request is on it, and tells whether that is so. */
  boolean closeIfIdle() {
    boolean idle = waits() && !input.lastRead();
    if (idle) {
      end();
    }
    return idle;
  }

  /** Ends the connection though a part of a request may have come. */
  void closeIfUnasked() {
    if (unasked()) {
      end();
    }
  }

  /** Whether no whole head of a request is on it. */
  boolean unasked() {
    return !exchange.open() && !closing.begun();
  }

  /** Ends it at once, as descriptors run out. */
  void closeOutright() {
    closing.outright();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closing.over();
    exchange.release();
    server.closed(this);
    exchange.leave();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent) {
      if (exchange.answering() || exchange.receiving()) {
        server.count(EventCounters.Event.STREAM_IDLE);
      }
      if (!unasked() || full) {
        closing.outright();
      } else if (!input.lastRead()) {
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
    closing.outright();
  }
}
