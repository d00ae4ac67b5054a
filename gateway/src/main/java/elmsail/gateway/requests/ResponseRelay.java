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
  static final int MOST_HELD = 64 * 1024;

  private enum Mode {
    NONE,
    HOLD,
    RAW,
    EVENTS
  }

  private final ResponseSink client;
  private final boolean stream;
  private final boolean resumable;
  private EventSplitter events = new EventSplitter(this::event);
  private HttpResponse head;
  private Outcome outcome;
  private CompositeByteBuf held;
  private Mode mode = Mode.NONE;
  private boolean begun;
  private long lastEvent = -1;
  private boolean joins;
  private boolean outOfOrder;

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
  boolean begun() {
    return begun;
  }

  /** The last event that the client has, or -1. */
  long lastEvent() {
    return lastEvent;
  }

  /** Whether a run that was to go on behind an event did not: nothing can mend the answer. */
  boolean outOfOrder() {
    return outOfOrder;
  }

  /** Whether the client takes more for now. */
  boolean wanted() {
    return !begun || client.writable();
  }

  void nextTry() {
    drop();
    joins = lastEvent >= 0;
  }

  /** Frees what is held of an answer. */
  void drop() {
    if (held != null) {
      held.release();
      held = null;
    }
    events.clear();
    events = new EventSplitter(this::event);
    mode = Mode.NONE;
    head = null;
  }

  /** False where the answer is none that may be passed on. */
  boolean head(HttpResponse answer) {
    head = answer;
    int status = answer.status().code();
    HttpHeaders headers = answer.headers();
    outcome =
        Outcome.answered(
            status, headers.contains(Headers.NOT_RUN), headers.contains(Headers.POSTMARK));
    boolean success = status >= 200 && status < 300;
    if (success && outcome != Outcome.ANSWERED) {
      return false;
    }
    String type = headers.get("Content-Type");
    boolean events = type != null && type.startsWith(Headers.EVENT_STREAM);
    if (success && (events || stream)) {
      mode = events && resumable ? Mode.EVENTS : Mode.RAW;
    } else {
      mode = Mode.HOLD;
    }
    return !begun || !success || mode == Mode.EVENTS;
  }

  /** False where the answer must not go on. */
  boolean data(ByteBuf bytes) {
    switch (mode) {
      case RAW -> {
        begin();
        client.data(bytes);
      }
      case EVENTS -> {
        return events.feed(bytes);
      }
      case HOLD -> hold(bytes);
      default -> bytes.release();
    }
    return true;
  }

  private void hold(ByteBuf bytes) {
    if (held == null) {
      held = Unpooled.compositeBuffer(Integer.MAX_VALUE);
    }
    held.addComponent(true, bytes);
    if (held.readableBytes() > MOST_HELD) {
      if (outcome == Outcome.ANSWERED && !begun) {
        ByteBuf all = held;
        held = null;
        begin();
        client.data(all);
        mode = Mode.RAW;
      } else {
        held.release(); // of no use to anybody
        held = null;
      }
    }
  }

  private boolean event(long id, ByteBuf raw) {
    if (id >= 0) {
      if (joins && id != lastEvent + 1) {
        raw.release();
        outOfOrder = true;
        return false;
      }
      joins = false;
      lastEvent = id;
    }
    begin();
    client.data(raw);
    return true;
  }

  private void begin() {
    if (!begun) {
      begun = true;
      long length = mode == Mode.EVENTS ? -1 : HttpUtil.getContentLength(head, -1L);
      client.head(head.status().code(), Headers.endToEnd(head.headers()), length);
    }
  }

  /** Whether the answer is an error that another server may mend, and the client has none of it. */
  boolean holdsFailure() {
    return !begun
        && mode == Mode.HOLD
        && outcome == Outcome.ANSWERED
        && HeldFailure.retryable(head.status().code());
  }

  /** Takes the whole answer of the present try out of the relay; see {@link #holdsFailure}. */
  HeldFailure takeFailure() {
    HeldFailure taken = new HeldFailure(head, held == null ? Unpooled.EMPTY_BUFFER : held);
    held = null;
    return taken;
  }

  /** The answer of the present attempt is whole: what it means, passed on if it is to be. */
  Outcome whole() {
    if (mode == Mode.EVENTS && events.partial()) {
      return Outcome.SENT;
    }
    if (begun && (mode == Mode.RAW || mode == Mode.EVENTS)) {
      client.end();
      return Outcome.ANSWERED;
    }
    if (outcome != Outcome.ANSWERED) {
      return outcome;
    }
    if (begun) {
      return Outcome.SENT; // an answer of another kind in the midst of a stream
    }
    ByteBuf body = held == null ? Unpooled.EMPTY_BUFFER : held;
    held = null;
    begun = true;
    client.whole(head.status().code(), Headers.endToEnd(head.headers()), body);
    return Outcome.ANSWERED;
  }
}
