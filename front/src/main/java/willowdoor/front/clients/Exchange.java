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
import willowdoor.front.clients.RequestReader.BadRequestException;
import willowdoor.front.requests.Attempt;
import willowdoor.front.requests.Headers;
import willowdoor.front.requests.OutgoingRequest;
import willowdoor.front.requests.ParsedRequest;
import willowdoor.front.requests.PolicyDriver;

/**
 * The request that a client's connection is at, from its head on until it is read and answered:
 * takes it to the module and writes the one final answer. Owns what is kept of its body until that
 * goes to the module.
 */
final class Exchange implements PolicyDriver.Client {

  private static final Logger LOG = Logger.getLogger(Exchange.class.getName());

  /** So much of a body is kept until no further attempt may need it. */
  private static final int MAX_PREFIX_BYTES = 64 * 1024;

  private static final long MAX_BODY_BYTES = 48L << 20;

  private final ClientServer server;
  private final ClientConnection connection;
  private final Channel channel;
  private final ArrivalTime arrivalTime;
  private final ResponseWriter responseWriter;

  /**
   * The request that is being read or answered, null between requests, and its target in origin
   * form.
   */
  private HttpRequest head;

  private String target;
  private ParsedRequest parsed;

  /**
   * Its body has not ended; the bytes of it so far; those that are kept; and where the rest goes.
   */
  private boolean receiving;

  private long bodyBytes;
  private ByteBuf prefix = Unpooled.EMPTY_BUFFER;
  private OutgoingRequest outgoing;

  /**
   * Its id while the module works on it, and whether its answer is under way, or written in whole.
   */
  private String pendingId;

  private Attempt.Connection answering;
  private boolean answered;

  Exchange(
      ClientServer server,
      ClientConnection connection,
      Channel channel,
      ArrivalTime arrivalTime,
      ResponseWriter responseWriter) {
    this.server = server;
    this.connection = connection;
    this.channel = channel;
    this.arrivalTime = arrivalTime;
    this.responseWriter = responseWriter;
  }

  /** Whether a request is being read or answered. */
  boolean isOpen() {
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
    responseWriter.setRequest(request);
    receiving = true;
    answered = false;
    bodyBytes = 0;
    outgoing = null;
    HttpHeaders headers = request.headers();
    String coding = headers.get(HttpHeaderNames.TRANSFER_ENCODING);
    String expects = headers.get(HttpHeaderNames.EXPECT);
    if (coding != null && !coding.equalsIgnoreCase("chunked")) {
      connection.endWithError(HttpResponseStatus.NOT_IMPLEMENTED, "unknown transfer coding");
    } else if (expects != null && !expects.equalsIgnoreCase("100-continue")) {
      connection.endWithError(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation");
    } else if (HttpUtil.getContentLength(request, 0L) > MAX_BODY_BYTES) {
      connection.endWithError(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
    } else if (target.equals("/up")) {
      answerReadinessCheck();
    } else if (over || server.isOverloaded()) {
      if (over) {
        responseWriter.closeAfterResponse();
      }
      sendRefusal(0);
    } else {
      parse(expects != null);
    }
  }

  /** What is not a request is told so at once, whatever is still to come of it. */
  private void parse(boolean expects) {
    try {
      parsed = server.read(head, target);
    } catch (BadRequestException e) {
      responseWriter.sendStatus(HttpResponseStatus.BAD_REQUEST, e.getMessage());
      onResponseWritten();
      return;
    }
    if (expects) {
      responseWriter.sendContinue();
    }
  }

  /** A piece of its body, or the end of that. */
  void piece(HttpContent piece) {
    boolean last = piece instanceof LastHttpContent;
    bodyBytes += piece.content().readableBytes();
    if (last) {
      receiving = false;
      connection.onBodyEnd();
    } else if (bodyBytes > MAX_BODY_BYTES) {
      connection.endWithError(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
      return;
    }
    if (answered) {
      endIfReceived();
    } else if (outgoing != null) {
      if (pendingId == null) {
        // Its answer is under way already, and the rest of the request of no use.
        if (!last) {
          connection.read();
        }
      } else {
        outgoing.onClientPiece(piece.retain());
      }
    } else {
      bufferPiece(piece.content());
      if (last || prefix.readableBytes() >= MAX_PREFIX_BYTES) {
        submit(last);
        if (outgoing == null) {
          requestMore();
        }
      } else {
        connection.read();
      }
    }
  }

  /** Copied, as small pieces would keep the larger buffers that they were read into. */
  private void bufferPiece(ByteBuf piece) {
    if (piece.isReadable()) {
      server.addBufferedBytes(piece.readableBytes());
      prefix = prefix.isReadable() ? prefix : channel.alloc().buffer(piece.readableBytes());
      prefix.writeBytes(piece);
    }
  }

  private ByteBuf takePrefix() {
    ByteBuf taken = prefix;
    prefix = Unpooled.EMPTY_BUFFER;
    server.addBufferedBytes(-taken.readableBytes());
    return taken;
  }

  /**
   * A fault of ours costs this request, not the connection or the process; its cause goes to the
   * log.
   */
  void onFault(RuntimeException cause) {
    LOG.log(Level.SEVERE, "request failed", cause);
    if (pendingId != null && answering == null) {
      cancel();
      answer(HttpResponseStatus.INTERNAL_SERVER_ERROR);
    } else {
      connection.closeNow();
    }
  }

  private void answerReadinessCheck() {
    boolean get = head.method().equals(HttpMethod.GET);
    answer(
        !get
            ? HttpResponseStatus.METHOD_NOT_ALLOWED
            : server.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
  }

  /** Hands the request to the module: whole, or with as much of its body as can be kept. */
  private void submit(boolean whole) {
    if (server.driver().isPending(parsed.id())) {
      takePrefix().release();
      responseWriter.sendStatus(HttpResponseStatus.BAD_REQUEST, "Request-Id is in use");
      onResponseWritten();
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
    OutgoingRequest.setFraming(
        headers,
        head.headers(),
        whole,
        prefix.readableBytes(),
        head.method().equals(HttpMethod.POST));
    ByteBuf submitted = takePrefix();
    outgoing =
        new OutgoingRequest(head.method(), target, headers, submitted, whole, this::requestMore);
    pendingId = parsed.id();
    server.driver().submit(parsed, outgoing, this);
  }

  /** The backend has room for the next piece. */
  private void requestMore() {
    if (receiving && !connection.isClosing()) {
      connection.read();
    }
  }

  @Override
  public double arrivedAt() {
    return arrivalTime.arrivedAt();
  }

  @Override
  public void sendResponse(HttpResponse from, ByteBuf body) {
    pendingId = null;
    responseWriter.sendResponse(from, body);
    onResponseWritten();
  }

  @Override
  public void sendRefusal(double holdOffMs) {
    pendingId = null;
    responseWriter.sendRefusal(holdOffMs);
    onResponseWritten();
  }

  @Override
  public void sendFailure() {
    pendingId = null;
    answer(HttpResponseStatus.BAD_GATEWAY);
  }

  @Override
  public void beginResponse(HttpResponse from, Attempt.Connection carrier) {
    answering = carrier;
    responseWriter.beginResponse(from);
  }

  @Override
  public void sendPiece(ByteBuf piece) {
    responseWriter.sendPiece(piece);
    if (!channel.isWritable()) {
      answering.setReading(false);
    }
  }

  @Override
  public void finishResponse() {
    pendingId = null;
    answering = null;
    responseWriter.finishResponse();
    onResponseWritten();
  }

  @Override
  public void abortResponse() {
    pendingId = null;
    answering = null;
    connection.reset();
  }

  private void answer(HttpResponseStatus status) {
    responseWriter.sendStatus(status);
    onResponseWritten();
  }

  /** The answer is written. What is left of its request is read and dropped before the next one. */
  private void onResponseWritten() {
    answered = true;
    arrivalTime.onAnswered(server.now());
    if (!receiving) {
      endIfReceived();
    } else if (outgoing != null) {
      connection.read();
    }
  }

  /** It is read and answered. */
  private void endIfReceived() {
    if (receiving) {
      connection.read();
    } else {
      boolean keepAlive = responseWriter.keepAlive();
      head = null;
      answered = false;
      connection.onExchangeEnd(keepAlive);
    }
  }

  /** Nobody waits for the present request's answer any more. */
  void cancel() {
    answering = null;
    if (pendingId != null) {
      String id = pendingId;
      pendingId = null;
      server.driver().onClientDisconnected(id);
    }
  }

  /** Nothing of it will be read any more. */
  void releasePrefix() {
    takePrefix().release();
  }

  /** There is room for more of the answer. */
  void onWritable() {
    if (answering != null) {
      answering.setReading(true);
    }
  }
}
