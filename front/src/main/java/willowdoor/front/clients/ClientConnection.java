package willowdoor.front.clients;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.front.clients.RequestReader.BadRequest;
import willowdoor.front.loop.Looks;
import willowdoor.front.loop.Tally;
import willowdoor.front.requests.Asked;
import willowdoor.front.requests.Attempt;
import willowdoor.front.requests.Headers;
import willowdoor.front.requests.ModuleDriver;
import willowdoor.front.requests.Outgoing;

/**
 * One client's connection: a request at a time, each with the one final answer. Requests written behind the
 * present one wait. What it reads comes from {@link ReadAhead}, what it answers goes through
 * {@link AnswerWriter}, and it is ended by {@link LingeringClose} alone.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> implements ModuleDriver.Client {

  private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());
  /** So much of a body is kept until no further attempt may need it. */
  private static final int PREFIX = 64 * 1024;
  private static final long MOST_BODY = 48L << 20;

  private final ClientServer server;
  private final Arrival arrival;
  private final ReadAhead input;
  private final ReceiveLimit receiveLimit;
  private final RequestDecoder decoder = new RequestDecoder();
  private Channel channel;
  private LingeringClose closing;
  private AnswerWriter answers;
  private double openedAt;
  /** One connection too many: its first request is refused, and it ends. */
  private boolean over;
  /** The request that is being read or answered, null between requests, and its target in origin form. */
  private HttpRequest head;
  private String target;
  private Asked asked;
  /** Its body has not ended; the bytes of it so far; those that are kept; and where the rest goes. */
  private boolean receiving;
  private long bodyBytes;
  private ByteBuf prefix = Unpooled.EMPTY_BUFFER;
  private Outgoing onward;
  /** Its id while the module works on it, and whether its answer is under way, or written in whole. */
  private String current;
  private Attempt.Carrier answering;
  private boolean answered;
  /** A part was asked for that has not come. */
  private boolean wanted;
  /** How many requests have come to their turn. */
  private long heads;

  ClientConnection(ClientServer server, Looks looks) {
    this.server = server;
    arrival = new Arrival(looks);
    input = new ReadAhead(looks, arrival, () -> receiving, server::keeps);
    receiveLimit = new ReceiveLimit(this::overdue);
  }

  /** The bytes' way to this and back. */
  ChannelHandler[] handlers() {
    return new ChannelHandler[] {input, receiveLimit, decoder, new HttpResponseEncoder(),
        new FlowControlHandler(), this};
  }

  double openedAt() {
    return openedAt;
  }

  private void overdue() {
    if (!closing.begun() && (head == null || receiving)) {
      server.count(Tally.Event.CLIENT_SLOW);
      endWith(HttpResponseStatus.REQUEST_TIMEOUT, "request did not come in time");
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    closing = new LingeringClose(channel, input);
    answers = new AnswerWriter(channel, this::mayBeKept);
    openedAt = server.now();
    over = server.opened(this);
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    ctx.fireChannelActive();
    read();
  }

  /** Asks for the next part: the pieces of a request, or the head of the next one. */
  private void read() {
    wanted = true;
    channel.read();
    if (receiving) {
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
        head(request);
      }
      if (part instanceof HttpContent piece) {
        piece(piece);
      } else if (!closing.begun()) {
        read();
      }
    } catch (RuntimeException e) {
      faulty(e);
    }
  }

  private void head(HttpRequest request) {
    receiveLimit.headCame();
    server.took(this);
    head = request;
    heads++;
    target = RequestReader.originForm(request.uri());
    answers.answers(request);
    receiving = true;
    answered = false;
    bodyBytes = 0;
    onward = null;
    HttpHeaders headers = request.headers();
    String coding = headers.get(HttpHeaderNames.TRANSFER_ENCODING);
    String expects = headers.get(HttpHeaderNames.EXPECT);
    if (coding != null && !coding.equalsIgnoreCase("chunked")) {
      endWith(HttpResponseStatus.NOT_IMPLEMENTED, "unknown transfer coding");
    } else if (expects != null && !expects.equalsIgnoreCase("100-continue")) {
      endWith(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation");
    } else if (HttpUtil.getContentLength(request, 0L) > MOST_BODY) {
      endWith(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
    } else if (target.equals("/up")) {
      up();
    } else if (over || server.full()) {
      if (over) {
        answers.last();
      }
      refused(0);
    } else {
      ask(expects != null);
    }
  }

  /** What is not a request is told so at once, whatever is still to come of it. */
  private void ask(boolean expects) {
    try {
      asked = server.read(head, target);
    } catch (BadRequest e) {
      answers.status(HttpResponseStatus.BAD_REQUEST, e.getMessage());
      written();
      return;
    }
    if (expects) {
      answers.goOn();
    }
  }

  private void piece(HttpContent piece) {
    boolean last = piece instanceof LastHttpContent;
    bodyBytes += piece.content().readableBytes();
    if (last) {
      receiving = false;
      receiveLimit.bodyCame();
      input.watch();
    } else if (bodyBytes > MOST_BODY) {
      endWith(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
      return;
    }
    if (answered) {
      next();
    } else if (onward != null) {
      if (current == null) {
        // Its answer is under way already, and the rest of the request of no use.
        if (!last) {
          read();
        }
      } else {
        onward.pass(piece.retain());
      }
    } else {
      keep(piece.content());
      if (last || prefix.readableBytes() >= PREFIX) {
        take(last);
        if (onward == null) {
          more();
        }
      } else {
        read();
      }
    }
  }

  /** Copied, as small pieces would keep the larger buffers that they were read into. */
  private void keep(ByteBuf piece) {
    if (piece.isReadable()) {
      server.keeps(piece.readableBytes());
      prefix = prefix.isReadable() ? prefix : channel.alloc().buffer(piece.readableBytes());
      prefix.writeBytes(piece);
    }
  }

  private ByteBuf takePrefix() {
    ByteBuf kept = prefix;
    prefix = Unpooled.EMPTY_BUFFER;
    server.keeps(-kept.readableBytes());
    return kept;
  }

  /** A fault of ours costs this request, not the connection or the process; its cause goes to the log. */
  private void faulty(RuntimeException cause) {
    LOG.log(Level.SEVERE, "request failed", cause);
    if (current != null && answering == null) {
      leave();
      answer(HttpResponseStatus.INTERNAL_SERVER_ERROR);
    } else {
      closing.outright();
    }
  }

  private void up() {
    boolean get = head.method().equals(HttpMethod.GET);
    answer(!get ? HttpResponseStatus.METHOD_NOT_ALLOWED
        : server.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
  }

  /** Hands the request to the module: whole, or with as much of its body as can be kept. */
  private void take(boolean whole) {
    if (server.driver().holds(asked.id())) {
      takePrefix().release();
      answers.status(HttpResponseStatus.BAD_REQUEST, "Request-Id is in use");
      written();
      return;
    }
    HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
    for (CharSequence name : new CharSequence[] {HttpHeaderNames.HOST, Headers.REQUEST_ID,
        Headers.REQUEST_CLASS, Headers.IDEMPOTENCY_KEY, HttpHeaderNames.CONTENT_TYPE}) {
      String value = head.headers().get(name);
      if (value != null) {
        headers.set(name, value);
      }
    }
    Outgoing.frame(headers, head.headers(), whole, prefix.readableBytes(),
        head.method().equals(HttpMethod.POST));
    ByteBuf kept = takePrefix();
    onward = new Outgoing(head.method(), target, headers, kept, whole, this::more);
    current = asked.id();
    server.driver().take(asked, onward, this);
  }

  /** The backend has room for the next piece. */
  private void more() {
    if (receiving && !closing.begun()) {
      read();
    }
  }

  @Override
  public double cameAt() {
    return arrival.cameAt();
  }

  @Override
  public void served(HttpResponse from, ByteBuf body) {
    current = null;
    answers.served(from, body);
    written();
  }

  @Override
  public void refused(double holdOffMs) {
    current = null;
    answers.refused(holdOffMs);
    written();
  }

  @Override
  public void failed() {
    current = null;
    answer(HttpResponseStatus.BAD_GATEWAY);
  }

  @Override
  public void begin(HttpResponse from, Attempt.Carrier carrier) {
    answering = carrier;
    answers.begin(from);
  }

  @Override
  public void piece(ByteBuf piece) {
    answers.piece(piece);
    if (!channel.isWritable()) {
      answering.read(false);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (answering != null && channel.isWritable()) {
      answering.read(true);
    }
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void finish() {
    current = null;
    answering = null;
    answers.finish();
    written();
  }

  @Override
  public void cut() {
    current = null;
    answering = null;
    closing.reset();
  }

  private void answer(HttpResponseStatus status) {
    answers.status(status);
    written();
  }

  /** The answer is written. What is left of its request is read and dropped before the next one. */
  private void written() {
    answered = true;
    arrival.answered(server.now());
    if (!receiving) {
      next();
    } else if (onward != null) {
      read();
    }
  }

  /** The present request is read and answered: its connection ends, or waits for the next one. */
  private void next() {
    if (receiving) {
      read();
    } else if (answers.keepAlive() && (!input.overflowed() || begunBehind())) {
      head = null;
      answered = false;
      server.answered(this);
      // Not at once: answers that come at once would nest as deep as the requests behind each other.
      channel.eventLoop().execute(this::readNext);
    } else {
      end();
    }
  }

  private void readNext() {
    if (!closing.begun()) {
      read();
      if (head == null && decoder.begun()) {
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

  /** Answers what cannot be read any further, and lets the client read that before the connection ends. */
  private void endWith(HttpResponseStatus status, String reason) {
    takePrefix().release();
    boolean begun = answering != null;
    leave();
    if (begun) {
      closing.reset();
    } else if (answered) {
      end();
    } else {
      answers.end(status, reason);
      server.lingers(this);
      closing.beginWithin();
    }
  }

  private void end() {
    server.lingers(this);
    closing.begin();
  }

  /** Whether neither a request is on it nor a part of one has come. */
  boolean waits() {
    return unasked() && !receiveLimit.partial();
  }

  /** Ends the connection if no request is on it; one that is answered while draining ends by itself. */
  void closeIfIdle() {
    if (waits() && !input.lastRead()) {
      end();
    }
  }

  /** Ends the connection though a part of a request may have come. */
  void closeIfUnasked() {
    if (unasked()) {
      end();
    }
  }

  /** Whether no whole head of a request is on it. */
  boolean unasked() {
    return head == null && !closing.begun();
  }

  /** Ends it at once, as descriptors run out. */
  void closeOutright() {
    closing.outright();
  }

  /** Nobody waits for the present request's answer any more. */
  private void leave() {
    answering = null;
    if (current != null) {
      String id = current;
      current = null;
      server.driver().clientLeft(id);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closing.over();
    takePrefix().release();
    server.closed(this);
    leave();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent) {
      if (answering != null || receiving) {
        server.count(Tally.Event.STREAM_IDLE);
      }
      if (unasked()) {
        end();
      } else {
        closing.outright();
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
