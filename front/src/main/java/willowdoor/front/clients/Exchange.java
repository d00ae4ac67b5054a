package willowdoor.front.clients;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.front.clients.RequestReader.BadRequest;
import willowdoor.front.requests.Asked;
import willowdoor.front.requests.Attempt;
import willowdoor.front.requests.Headers;
import willowdoor.front.requests.ModuleDriver;
import willowdoor.front.requests.Outgoing;

/**
 * The request that a client's connection is at, from its head on until it is read and answered:
 * takes it to the module and writes the one final answer. Owns what is kept of its body until that
 * goes to the module.
 */
final class Exchange implements ModuleDriver.Client {

  private static final Logger LOG = Logger.getLogger(Exchange.class.getName());

  /** So much of a body is kept until no further attempt may need it. */
  private static final int PREFIX = 64 * 1024;

  private static final long MOST_BODY = 48L << 20;

  private final ClientServer server;
  private final ClientConnection connection;
  private final Channel channel;
  private final Arrival arrival;
  private final AnswerWriter answers;

  /**
   * The request that is being read or answered, null between requests, and its target in origin
   * form.
   */
  private HttpRequest head;

  private String target;
  private Asked asked;

  /**
   * Its body has not ended; the bytes of it so far; those that are kept; and where the rest goes.
   */
  private boolean receiving;

  private long bodyBytes;
  private ByteBuf prefix = Unpooled.EMPTY_BUFFER;
  private Outgoing onward;

  /**
   * Its id while the module works on it, and whether its answer is under way, or written in whole.
   */
  private String current;

  private Attempt.Carrier answering;
  private boolean answered;

  Exchange(
      ClientServer server,
      ClientConnection connection,
      Channel channel,
      Arrival arrival,
      AnswerWriter answers) {
    this.server = server;
    this.connection = connection;
    this.channel = channel;
    this.arrival = arrival;
    this.answers = answers;
  }

  /** Whether a request is being read or answered. */
  boolean open() {
    return head != null;
  }

  /** Whether its body has not ended. */
  boolean receiving() {
    return receiving;
  }

  /** Whether an answer is being passed on as it comes. */
  boolean answering() {
    return answering != null;
  }

  /** Whether its answer is written in whole. */
  boolean answered() {
    return answered;
  }

  /** Begins with the head of a request, which is refused where the connection is one too many. */
  void head(HttpRequest request, boolean over) {
    head = request;
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
      connection.endWith(HttpResponseStatus.NOT_IMPLEMENTED, "unknown transfer coding");
    } else if (expects != null && !expects.equalsIgnoreCase("100-continue")) {
      connection.endWith(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation");
    } else if (HttpUtil.getContentLength(request, 0L) > MOST_BODY) {
      connection.endWith(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
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

  /** A piece of its body, or the end of that. */
  void piece(HttpContent piece) {
    boolean last = piece instanceof LastHttpContent;
    bodyBytes += piece.content().readableBytes();
    if (last) {
      receiving = false;
      connection.bodyCame();
    } else if (bodyBytes > MOST_BODY) {
      connection.endWith(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
      return;
    }
    if (answered) {
      next();
    } else if (onward != null) {
      if (current == null) {
        // Its answer is under way already, and the rest of the request of no use.
        if (!last) {
          connection.read();
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
        connection.read();
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

  /**
   * A fault of ours costs this request, not the connection or the process; its cause goes to the
   * log.
   */
  void faulty(RuntimeException cause) {
    LOG.log(Level.SEVERE, "request failed", cause);
    if (current != null && answering == null) {
      leave();
      answer(HttpResponseStatus.INTERNAL_SERVER_ERROR);
    } else {
      connection.closeOutright();
    }
  }

  private void up() {
    boolean get = head.method().equals(HttpMethod.GET);
    answer(
        !get
            ? HttpResponseStatus.METHOD_NOT_ALLOWED
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
    for (CharSequence name :
        new CharSequence[] {
          HttpHeaderNames.HOST,
          Headers.REQUEST_ID,
          Headers.REQUEST_CLASS,
          Headers.IDEMPOTENCY_KEY,
          HttpHeaderNames.CONTENT_TYPE
        }) {
      String value = head.headers().get(name);
      if (value != null) {
        headers.set(name, value);
      }
    }
    Outgoing.frame(
        headers,
        head.headers(),
        whole,
        prefix.readableBytes(),
        head.method().equals(HttpMethod.POST));
    ByteBuf kept = takePrefix();
    onward = new Outgoing(head.method(), target, headers, kept, whole, this::more);
    current = asked.id();
    server.driver().take(asked, onward, this);
  }

  /** The backend has room for the next piece. */
  private void more() {
    if (receiving && !connection.ending()) {
      connection.read();
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
    connection.cut();
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
      connection.read();
    }
  }

  /** It is read and answered. */
  private void next() {
    if (receiving) {
      connection.read();
    } else {
      boolean kept = answers.keepAlive();
      head = null;
      answered = false;
      connection.next(kept);
    }
  }

  /** Nobody waits for the present request's answer any more. */
  void leave() {
    answering = null;
    if (current != null) {
      String id = current;
      current = null;
      server.driver().clientLeft(id);
    }
  }

  /** Nothing of it will be read any more. */
  void release() {
    takePrefix().release();
  }

  /** There is room for more of the answer. */
  void writable() {
    if (answering != null) {
      answering.read(true);
    }
  }
}
