package elmsail.gateway.requests;

import elmsail.gateway.http.Headers;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/**
 * The answers of a request's attempts on their way to the client: short ones are held until they
 * are whole, so that a cut one can be tried again; streams go on as they come, from their first
 * bytes on. Where one may be resumed only whole events go on, and the answer stays one: head and
 * stamp are those of the first server.
 */
final class ResponseRelay {
  /** Up to so many bytes an answer that is no stream is held. */
  static final int MAX_BUFFERED_BYTES = 64 * 1024;

  private enum Mode {
    NONE,
    BUFFER,
    RAW,
    EVENTS
  }

  private final ResponseSink client;
  private final boolean stream;
  private final boolean resumable;
  private ServerSentEventSplitter events = new ServerSentEventSplitter(this::onEvent);
  private HttpResponse onHead;
  private AttemptOutcome outcome;
  private CompositeByteBuf buffered;
  private Mode mode = Mode.NONE;
  private boolean hasStarted;
  private long lastEventId = -1;
  private boolean resuming;
  private boolean isOutOfOrder;

  /**
   * For one request.
   *
   * @param stream whether successes go on as they come, whatever their type
   */
  ResponseRelay(ResponseSink client, boolean stream, boolean resumable) {
    this.client = client;
    this.stream = stream;
    this.resumable = resumable;
  }

  ResponseSink client() {
    return client;
  }

  /** Whether the client has the head of an answer. */
  boolean hasStarted() {
    return hasStarted;
  }

  /** The last event that the client has, or -1. */
  long lastEventId() {
    return lastEventId;
  }

  /** Whether a run that was to go on behind an event did not: nothing can mend the answer. */
  boolean isOutOfOrder() {
    return isOutOfOrder;
  }

  /** Whether the client takes more for now. */
  boolean clientAcceptsData() {
    return !hasStarted || client.isWritable();
  }

  void prepareNextAttempt() {
    discard();
    resuming = lastEventId >= 0;
  }

  /** Frees what is held of an answer. */
  void discard() {
    if (buffered != null) {
      buffered.release();
      buffered = null;
    }
    events.discard();
    events = new ServerSentEventSplitter(this::onEvent);
    mode = Mode.NONE;
    onHead = null;
  }

  /** False where the answer is none that may be passed on. */
  boolean onHead(HttpResponse responseHead) {
    onHead = responseHead;
    int status = responseHead.status().code();
    HttpHeaders headers = responseHead.headers();
    outcome =
        AttemptOutcome.ofResponse(
            status, headers.contains(Headers.NOT_RUN), headers.contains(Headers.POSTMARK));
    boolean success = status >= 200 && status < 300;
    if (success && outcome != AttemptOutcome.RESPONDED) {
      return false;
    }
    String type = headers.get("Content-Type");
    boolean events = type != null && type.startsWith(Headers.EVENT_STREAM);
    if (success && (events || stream)) {
      mode = events && resumable ? Mode.EVENTS : Mode.RAW;
    } else {
      mode = Mode.BUFFER;
    }
    return !hasStarted || !success || mode == Mode.EVENTS;
  }

  /** False where the answer must not go on. */
  boolean onData(ByteBuf bytes) {
    switch (mode) {
      case RAW -> {
        sendHeadOnce();
        client.sendData(bytes);
      }
      case EVENTS -> {
        return events.feed(bytes);
      }
      case BUFFER -> buffer(bytes);
      default -> bytes.release();
    }
    return true;
  }

  private void buffer(ByteBuf bytes) {
    if (buffered == null) {
      buffered = Unpooled.compositeBuffer(Integer.MAX_VALUE);
    }
    buffered.addComponent(true, bytes);
    if (buffered.readableBytes() > MAX_BUFFERED_BYTES) {
      if (outcome == AttemptOutcome.RESPONDED && !hasStarted) {
        ByteBuf all = buffered;
        buffered = null;
        sendHeadOnce();
        client.sendData(all);
        mode = Mode.RAW;
      } else {
        buffered.release(); // of no use to anybody
        buffered = null;
      }
    }
  }

  private boolean onEvent(long id, ByteBuf raw) {
    if (id >= 0) {
      if (resuming && id != lastEventId + 1) {
        raw.release();
        isOutOfOrder = true;
        return false;
      }
      resuming = false;
      lastEventId = id;
    }
    sendHeadOnce();
    client.sendData(raw);
    return true;
  }

  private void sendHeadOnce() {
    if (!hasStarted) {
      hasStarted = true;
      long length = mode == Mode.EVENTS ? -1 : HttpUtil.getContentLength(onHead, -1L);
      client.sendHead(onHead.status().code(), Headers.endToEnd(onHead.headers()), length);
    }
  }

  /** Whether the answer is an error that another server may mend, and the client has none of it. */
  boolean hasRetryableError() {
    return !hasStarted
        && mode == Mode.BUFFER
        && outcome == AttemptOutcome.RESPONDED
        && RetainedErrorResponse.isRetryable(onHead.status().code());
  }

  /** Takes the whole answer of the present try out of the relay; see {@link #hasRetryableError}. */
  RetainedErrorResponse takeError() {
    RetainedErrorResponse error =
        new RetainedErrorResponse(onHead, buffered == null ? Unpooled.EMPTY_BUFFER : buffered);
    buffered = null;
    return error;
  }

  /** The answer of the present attempt is whole: what it means, passed on if it is to be. */
  AttemptOutcome onComplete() {
    if (mode == Mode.EVENTS && events.hasPartialEvent()) {
      return AttemptOutcome.UNKNOWN;
    }
    if (hasStarted && (mode == Mode.RAW || mode == Mode.EVENTS)) {
      client.sendEnd();
      return AttemptOutcome.RESPONDED;
    }
    if (outcome != AttemptOutcome.RESPONDED) {
      return outcome;
    }
    if (hasStarted) {
      return AttemptOutcome.UNKNOWN; // an answer of another kind in the midst of a stream
    }
    ByteBuf body = buffered == null ? Unpooled.EMPTY_BUFFER : buffered;
    buffered = null;
    hasStarted = true;
    client.sendResponse(onHead.status().code(), Headers.endToEnd(onHead.headers()), body);
    return AttemptOutcome.RESPONDED;
  }
}
