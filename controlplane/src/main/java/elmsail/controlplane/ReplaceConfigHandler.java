package elmsail.controlplane;

import elmsail.config.RoutingConfig;
import elmsail.consensus.Register;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import elmsail.runtime.http.HttpCall;
import elmsail.runtime.http.HttpHandler;
import elmsail.runtime.http.HttpReply;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongConsumer;

/**
 * {@code POST /RoutingConfig.Replace}: checks the body, then changes the register. Every retry goes
 * through a first round of its own, which settles what became of the try before: so 412 and 400 are
 * sure.
 */
final class ReplaceConfigHandler implements HttpHandler {
  static final String KEY = "timetable";

  /** The operator moves on after a second without an answer. */
  private static final long ANSWER_WITHIN_MS = 900;

  private static final long LEAST_TRY_MS = 150;
  private static final long BETWEEN_TRIES_MS = 20;

  private final Register register;
  private final Function<byte[], RoutingConfig> reader;
  private final Timers timers;
  private final CommittedValue decided;
  private final LongConsumer tell;

  /**
   * Makes one.
   *
   * @param reader throws BAD_CALL for a configuration that is invalid
   * @param tell told of the edition that this call got decided
   */
  ReplaceConfigHandler(
      Register register,
      Function<byte[], RoutingConfig> reader,
      Timers timers,
      CommittedValue decided,
      LongConsumer tell) {
    this.register = register;
    this.reader = reader;
    this.timers = timers;
    this.decided = decided;
    this.tell = tell;
  }

  /** One call: what it wants and what became of it. */
  private static final class Order {
    final long edition;
    final long basedOn;
    final byte[] sent;
    final byte[] digest;
    final long end;
    final CompletableFuture<HttpReply> reply = new CompletableFuture<>();
    int status;
    String why = "";
    boolean unclear;

    Order(long edition, long basedOn, byte[] sent, long end) {
      this.edition = edition;
      this.basedOn = basedOn;
      this.sent = sent;
      this.digest = ConfigHistory.digest(sent);
      this.end = end;
    }
  }

  @Override
  public CompletableFuture<HttpReply> handle(HttpCall call) {
    long basedOn = number(call.headers().get("elmsail-based-on"));
    if (basedOn < 0) {
      return Replies.now(Replies.why(400, "Elmsail-Based-On"));
    }
    long edition;
    try {
      edition = reader.apply(call.body()).edition();
    } catch (ElmsailException e) {
      if (e.code() != ErrorCode.BAD_CALL && e.code() != ErrorCode.GARBLED) {
        throw e;
      }
      return Replies.now(Replies.why(400, e.getMessage()));
    }
    if (edition <= 0) {
      return Replies.now(Replies.why(400, "edition: not above 0"));
    }
    Order order = new Order(edition, basedOn, call.body(), timers.now() + ANSWER_WITHIN_MS);
    attempt(order);
    return order.reply;
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

  private static Register.Wanted wanted(Order order, Register.Found found) {
    ConfigHistory current = ConfigHistory.of(found.value());
    if (current.taken(order.edition, order.digest)) {
      order.status = 200;
      return new Register.Wanted(null, List.of());
    }
    if (order.basedOn != current.edition()) {
      order.status = 412;
      order.why = "current: " + current.edition();
      return new Register.Wanted(null, List.of());
    }
    if (order.edition <= current.edition()) {
      order.status = 400;
      order.why = "edition: not above " + current.edition();
      return new Register.Wanted(null, List.of());
    }
    order.status = 200;
    return new Register.Wanted(
        current.followedBy(order.edition, order.sent, order.digest).value(), List.of());
  }

  private void done(Order order, Register.Held held, Throwable failed) {
    if (failed != null) {
      ErrorCode code = ElmsailException.codeOf(failed);
      order.unclear |=
          code != ErrorCode.NOT_REACHED && code != ErrorCode.UNSENT && code != ErrorCode.NOT_SEATED;
      timers.after(BETWEEN_TRIES_MS, () -> attempt(order));
      return;
    }
    decided.take(held.now());
    if (held.changed()) {
      tell.accept(order.edition);
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
