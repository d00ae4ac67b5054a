package elmsail.controlplane;

import elmsail.consensus.Register;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import elmsail.runtime.http.SimpleHttpRequest;
import elmsail.runtime.http.HttpHandler;
import elmsail.runtime.http.SimpleHttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;

/**
 * {@code POST /Timetable.Replace} and {@code POST /Timetable.Amend}: changes the register, if the
 * order is on top of what is in force and valid. One handler for each, on the same key and under
 * the same terms.
 *
 * <p>200, 400 and 412 end an operator's order, so they are given only for what a decided value
 * proves ({@link ConfigHistory}); a change is declined only on a value that a majority accepted, or
 * that was written back to a majority at a higher ballot. All else is 503, or 504 where something
 * was sent that may have been accepted, and the order may be sent again, here or elsewhere.
 *
 * <p>Whether the body is valid is asked last. One that is in the history is acknowledged again
 * whatever this build thinks of it; one that would be next and is invalid is refused, which is
 * certain as long as all builds that run at the same time agree on what is valid. Only what no
 * build ever took is refused unasked: a call whose base is no number.
 */
final class ConfigOrderHandler implements HttpHandler {
  static final String KEY = "timetable";

  /** The operator moves on after a second without an answer. */
  private static final long ANSWER_WITHIN_MS = 900;

  private static final long LEAST_TRY_MS = 150;
  private static final long BETWEEN_TRIES_MS = 20;

  /** Which of the calls; it is part of an order's identity. */
  enum Call {
    REPLACE,
    AMEND
  }

  private final Register register;
  private final Call callKind;
  private final ConfigOrder.Reader reader;
  private final Timers timers;
  private final CommittedValue decided;
  private final LongConsumer tell;
  private final ControlPlaneCounters counters;

  /**
   * Makes one.
   *
   * @param callKind which call this handles
   * @param reader of its bodies
   * @param tell told of the edition that this call got decided
   * @param counters of this node
   */
  ConfigOrderHandler(
      Register register,
      Call callKind,
      ConfigOrder.Reader reader,
      Timers timers,
      CommittedValue decided,
      LongConsumer tell,
      ControlPlaneCounters counters) {
    this.register = register;
    this.callKind = callKind;
    this.reader = reader;
    this.timers = timers;
    this.decided = decided;
    this.tell = tell;
    this.counters = counters;
  }

  /** One call: what it wants and what became of it. */
  private static final class Order {
    final long basedOn;
    final byte[] digest;
    final long end;

    /** Null where the body is invalid, for the reason that {@link #invalid} gives. */
    final ConfigOrder change;

    final String invalid;
    final CompletableFuture<SimpleHttpResponse> reply = new CompletableFuture<>();
    int status;
    String why = "";
    boolean unclear;

    Order(long basedOn, byte[] digest, ConfigOrder change, String invalid, long end) {
      this.basedOn = basedOn;
      this.digest = digest;
      this.change = change;
      this.invalid = invalid;
      this.end = end;
    }

    Register.ProposedValue declined(int status, String why) {
      this.status = status;
      this.why = why;
      return new Register.ProposedValue(null, List.of());
    }
  }

  @Override
  public CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest call) {
    long basedOn = number(call.headers().get("elmsail-based-on"));
    if (basedOn < 0) {
      counters.orderEnded(400);
      return Replies.now(Replies.why(400, "Elmsail-Based-On"));
    }
    Order order = order(basedOn, call.body());
    attempt(order);
    order.reply.thenAccept(reply -> counters.orderEnded(reply.status()));
    return order.reply;
  }

  private Order order(long basedOn, byte[] sent) {
    long end = timers.now() + ANSWER_WITHIN_MS;
    byte[] digest =
        callKind == Call.AMEND
            ? ConfigHistory.amendmentDigest(basedOn, sent)
            : ConfigHistory.digest(basedOn, sent);
    try {
      ConfigOrder change = reader.read(sent);
      String invalid = change.edition() > 0 ? null : "edition: not above 0";
      return new Order(basedOn, digest, change, invalid, end);
    } catch (ElmsailException e) {
      return new Order(basedOn, digest, null, reasonInvalid(e), end);
    }
  }

  /** Why the operator's body is refused; other failures are not the operator's and go on. */
  private static String reasonInvalid(ElmsailException failure) {
    if (failure.code() != ErrorCode.INVALID_ARGUMENT && failure.code() != ErrorCode.MALFORMED) {
      throw failure;
    }
    return failure.code().wireName() + ": " + failure.detail();
  }

  private void attempt(Order order) {
    long left = order.end - timers.now();
    if (left < LEAST_TRY_MS) {
      order.reply.complete(
          order.unclear ? Replies.why(504, "unclear") : Replies.why(503, "not reached"));
      return;
    }
    register
        .change(KEY, found -> wanted(order, found), List.of(), null, left)
        .whenComplete((held, failed) -> done(order, held, failed));
  }

  private static Register.ProposedValue wanted(Order order, Register.ObservedState found) {
    ConfigHistory current = ConfigHistory.of(found.value());
    return switch (current.standing(order.basedOn, order.digest)) {
      case TAKEN -> order.declined(200, "");
      case NEXT -> next(order, current);
      case SUPERSEDED -> order.declined(412, "current: " + current.edition());
      case AHEAD -> order.declined(503, "not in force yet; current: " + current.edition());
      case FORGOTTEN -> order.declined(503, "too old to tell; current: " + current.edition());
    };
  }

  private static Register.ProposedValue next(Order order, ConfigHistory current) {
    if (order.invalid != null) {
      return order.declined(400, order.invalid);
    }
    long edition = order.change.edition();
    if (edition <= current.edition()) {
      return order.declined(400, "edition: not above " + current.edition());
    }
    byte[] changed;
    try {
      changed = order.change.appliedTo(current.bytes());
    } catch (ElmsailException e) {
      return order.declined(400, reasonInvalid(e));
    }
    order.status = 200;
    return new Register.ProposedValue(
        current.followedBy(edition, changed, order.digest).value(), List.of());
  }

  private void done(Order order, Register.CommittedState held, Throwable failed) {
    if (failed != null) {
      ErrorCode code = ElmsailException.codeOf(failed);
      order.unclear |=
          code != ErrorCode.NO_QUORUM && code != ErrorCode.NOT_SENT && code != ErrorCode.NOT_A_VOTER;
      timers.schedule(BETWEEN_TRIES_MS, () -> attempt(order));
      return;
    }
    decided.take(held.current());
    if (held.changed()) {
      tell.accept(order.change.edition());
    }
    order.reply.complete(
        order.status == 200 ? Replies.json(200, "{}") : Replies.why(order.status, order.why));
  }

  private static long number(String text) {
    if (text == null) {
      return -1;
    }
    try {
      return Long.parseLong(text.trim());
    } catch (NumberFormatException e) {
      return -1;
    }
  }
}
