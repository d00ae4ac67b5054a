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
 * The present request of a client's connection, from its head until it is read and answered.
 * Submits the request to the policy and writes the single final answer. Owns the kept bytes of the
 * body until the request is submitted.
 */
final class Exchange implements PolicyDriver.Client {

  private static final Logger LOG = Logger.getLogger(Exchange.class.getName());

  /** This much of a body is kept until no further attempt may need it. */
  private static final int MAX_PREFIX_BYTES = 64 * 1024;

  private static final long MAX_BODY_BYTES = 48L << 20;

  private final ClientServer server;
  private final ClientConnection connection;
  private final Channel channel;
  private final ArrivalTime arrivalTime;
  private final ResponseWriter responseWriter;

  /** The request that is being read or answered; null between requests. */
  private HttpRequest head;

  /** The request's target in origin form. */
  private String target;

  private ParsedRequest parsed;

  /** Whether the end of the body has not arrived. */
  private boolean receiving;

  /** The number of body bytes that have arrived. */
  private long bodyBytes;

  /** The first bytes of the body, which are kept until the request is submitted. */
  private ByteBuf prefix = Unpooled.EMPTY_BUFFER;

  /** Receives the rest of the body; null before the request is submitted. */
  private OutgoingRequest outgoing;

  /** The request's id while the policy handles the request, else null. */
  private String pendingId;

  /** The backend's connection whose response is being streamed to the client, or null. */
  private Attempt.Connection streamSource;

  /** Whether the response has been written in full. */
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

  /** Whether the end of the body has not arrived. */
  boolean receiving() {
    return receiving;
  }

  /** Whether a response is being streamed to the client. */
  boolean answering() {
    return streamSource != null;
  }

  /** Whether the response has been written in full. */
  boolean answered() {
    return answered;
  }

  /**
   * Starts with the head of a request. The request is refused if the connection exceeds the limit
   * on connections.
   */
  void onHead(HttpRequest request, boolean overLimit) {
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
    } else if (overLimit || server.isOverloaded()) {
      if (overLimit) {
        responseWriter.closeAfterResponse();
      }
      sendRefusal(0);
    } else {
      parse(expects != null);
    }
  }

  /** Parses the head. A malformed request is answered at once, without waiting for its body. */
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

  /** Handles a piece of the request's body, or the end of the body. */
  void onBodyPiece(HttpContent piece) {
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
        // The response is already being sent, and the rest of the request is not needed.
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

  /**
   * Copies the piece, because a small piece that is retained would keep alive the larger buffer
   * that it was read into.
   */
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

  /** An internal fault fails only this request, not the process; its cause is logged. */
  void onFault(RuntimeException cause) {
    LOG.log(Level.SEVERE, "handling of a request failed", cause);
    if (pendingId != null && streamSource == null) {
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

  /** Submits the request to the policy, either complete or with as much of its body as is kept. */
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

  /** Called when the backend has room for the next piece. */
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
  public void sendResponse(HttpResponse response, ByteBuf body) {
    pendingId = null;
    responseWriter.sendResponse(response, body);
    onResponseWritten();
  }

  @Override
  public void sendRefusal(double retryAfterMs) {
    pendingId = null;
    responseWriter.sendRefusal(retryAfterMs);
    onResponseWritten();
  }

  @Override
  public void sendFailure() {
    pendingId = null;
    answer(HttpResponseStatus.BAD_GATEWAY);
  }

  @Override
  public void beginResponse(HttpResponse response, Attempt.Connection source) {
    streamSource = source;
    responseWriter.beginResponse(response);
  }

  @Override
  public void sendPiece(ByteBuf piece) {
    responseWriter.sendPiece(piece);
    if (!channel.isWritable()) {
      streamSource.setReading(false);
    }
  }

  @Override
  public void finishResponse() {
    pendingId = null;
    streamSource = null;
    responseWriter.finishResponse();
    onResponseWritten();
  }

  @Override
  public void abortResponse() {
    pendingId = null;
    streamSource = null;
    connection.reset();
  }

  private void answer(HttpResponseStatus status) {
    responseWriter.sendStatus(status);
    onResponseWritten();
  }

  /**
   * Called when the response is written. The rest of the request is read and dropped before the
   * next one.
   */
  private void onResponseWritten() {
    answered = true;
    arrivalTime.onAnswered(server.now());
    if (!receiving) {
      endIfReceived();
    } else if (outgoing != null) {
      connection.read();
    }
  }

  /** Ends the exchange if the request has arrived in full; else reads on. */
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

  /** Cancels the request, because its client no longer waits for the response. */
  void cancel() {
    streamSource = null;
    if (pendingId != null) {
      String id = pendingId;
      pendingId = null;
      server.driver().onClientDisconnected(id);
    }
  }

  /** Releases the kept bytes of the body, because the request will not be read any further. */
  void releasePrefix() {
    takePrefix().release();
  }

  /** Called when there is room for more of the response. */
  void onWritable() {
    if (streamSource != null) {
      streamSource.setReading(true);
    }
  }
}
