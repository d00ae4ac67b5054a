package elmsail.gateway.requests;

import elmsail.gateway.http.Headers;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Relays the responses of a request's attempts to the client as one response. Short responses are
 * buffered until they are complete, so that a truncated response can be retried; streams are
 * relayed as they arrive. Of a resumable stream only complete events are relayed, and the response
 * keeps the head and the postmark of the first server. Owned by the gateway's event loop.
 */
final class ResponseRelay {
  /** A response that is not a stream is buffered up to this size. */
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
  private ServerSentEventSplitter splitter = new ServerSentEventSplitter(this::onEvent);
  private HttpResponse head;
  private AttemptOutcome outcome;
  private CompositeByteBuf buffered;
  private Mode mode = Mode.NONE;
  private boolean hasStarted;
  private long lastEventId = -1;
  private boolean resuming;
  private boolean isOutOfOrder;
  private final Runnable startListener;
  private boolean startReported;

  /**
   * Creates the relay of one request.
   *
   * @param stream whether successful responses of any content type are relayed as they arrive
   * @param resumable whether another attempt may resume the stream
   * @param startListener called once, at the first byte of the body of a successful response
   */
  ResponseRelay(ResponseSink client, boolean stream, boolean resumable, Runnable startListener) {
    this.startListener = startListener;
    this.client = client;
    this.stream = stream;
    this.resumable = resumable;
  }

  ResponseSink client() {
    return client;
  }

  /** Whether the head of a response was sent to the client. */
  boolean hasStarted() {
    return hasStarted;
  }

  /** The id of the last event that was relayed, or -1. */
  long lastEventId() {
    return lastEventId;
  }

  /**
   * Whether an attempt that should have resumed the stream did not continue with the event after
   * the last relayed one, so that the response cannot be completed.
   */
  boolean isOutOfOrder() {
    return isOutOfOrder;
  }

  /** Whether more data can be sent to the client without long buffering. */
  boolean clientAcceptsData() {
    return !hasStarted || client.isWritable();
  }

  /**
   * Releases the buffered part of the last attempt's response and prepares for the next attempt.
   */
  void prepareNextAttempt() {
    discard();
    resuming = lastEventId >= 0;
  }

  /** Releases the buffered part of the response. */
  void discard() {
    if (buffered != null) {
      buffered.release();
      buffered = null;
    }
    splitter.discard();
    splitter = new ServerSentEventSplitter(this::onEvent);
    mode = Mode.NONE;
    head = null;
  }

  /** Receives the head of a response; returns false if the response must not be relayed. */
  boolean onHead(HttpResponse responseHead) {
    head = responseHead;
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
    boolean isEventStream = type != null && type.startsWith(Headers.EVENT_STREAM);
    if (success && (isEventStream || stream)) {
      mode = isEventStream && resumable ? Mode.EVENTS : Mode.RAW;
    } else {
      mode = Mode.BUFFER;
    }
    return !hasStarted || !success || mode == Mode.EVENTS;
  }

  private void reportStartOnce() {
    int status = head == null ? 0 : head.status().code();
    if (!startReported && status >= 200 && status < 300) {
      startReported = true;
      startListener.run();
    }
  }

  /** Takes ownership of bytes of the body; returns false if they must not be relayed. */
  boolean onData(ByteBuf bytes) {
    reportStartOnce();
    switch (mode) {
      case RAW -> {
        sendHeadOnce();
        client.sendData(bytes);
      }
      case EVENTS -> {
        return splitter.feed(bytes);
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
        buffered.release(); // not relayed in any case
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
      long length = mode == Mode.EVENTS ? -1 : HttpUtil.getContentLength(head, -1L);
      client.sendHead(head.status().code(), Headers.endToEnd(head.headers()), length);
    }
  }

  /**
   * Whether the response is an error that another server might not return, and no part of it has
   * been relayed.
   */
  boolean hasRetryableError() {
    return !hasStarted
        && mode == Mode.BUFFER
        && outcome == AttemptOutcome.RESPONDED
        && RetainedErrorResponse.isRetryable(head.status().code());
  }

  /** Removes the complete response from the relay; see {@link #hasRetryableError}. */
  RetainedErrorResponse takeError() {
    RetainedErrorResponse error =
        new RetainedErrorResponse(head, buffered == null ? Unpooled.EMPTY_BUFFER : buffered);
    buffered = null;
    return error;
  }

  /**
   * Handles the end of an attempt's complete response. If the outcome of the response allows,
   * relays the part that has not been relayed yet. Returns the outcome.
   */
  AttemptOutcome onComplete() {
    if (mode == Mode.EVENTS && splitter.hasPartialEvent()) {
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
      return AttemptOutcome.UNKNOWN; // only an event stream can resume an event stream
    }
    ByteBuf body = buffered == null ? Unpooled.EMPTY_BUFFER : buffered;
    buffered = null;
    hasStarted = true;
    client.sendResponse(head.status().code(), Headers.endToEnd(head.headers()), body);
    return AttemptOutcome.RESPONDED;
  }
}
