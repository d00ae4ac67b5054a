package elmsail.controlplane;

import elmsail.consensus.Register;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import elmsail.runtime.http.HttpHandler;
import elmsail.runtime.http.SimpleHttpRequest;
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
final class ConfigChangeHandler implements HttpHandler {
  static final String KEY = "timetable";

  /** The operator moves on after a second without an answer. */
  private static final long REPLY_DEADLINE_MS = 900;

  private static final long MIN_ATTEMPT_MS = 150;
  private static final long RETRY_DELAY_MS = 20;

  /** Which of the calls; it is part of an order's identity. */
  enum ChangeKind {
    REPLACE,
    AMEND
  }

  private final Register register;
  private final ChangeKind changeKind;
  private final ConfigChange.Reader changeReader;
  private final Timers timers;
  private final CommittedValue committedConfig;
  private final LongConsumer commitListener;
  private final ControlPlaneCounters counters;

  /**
   * Makes one.
   *
   * @param changeKind which call this handles
   * @param changeReader of its bodies
   * @param commitListener told of the edition that this call got decided
   * @param counters of this node
   */
  ConfigChangeHandler(
      Register register,
      ChangeKind changeKind,
      ConfigChange.Reader changeReader,
      Timers timers,
      CommittedValue committedConfig,
      LongConsumer commitListener,
      ControlPlaneCounters counters) {
    this.register = register;
    this.changeKind = changeKind;
    this.changeReader = changeReader;
    this.timers = timers;
    this.committedConfig = committedConfig;
    this.commitListener = commitListener;
    this.counters = counters;
  }

  /** One call: what it wants and what became of it. */
  private static final class PendingChange {
    final long baseVersion;
    final byte[] digest;
    final long deadlineMs;

    /** Null where the body is invalid, for the reason that {@link #validationError} gives. */
    final ConfigChange change;

    final String validationError;
    final CompletableFuture<SimpleHttpResponse> reply = new CompletableFuture<>();
    int status;
    String reason = "";
    boolean outcomeUnknown;

    PendingChange(
        long baseVersion,
        byte[] digest,
        ConfigChange change,
        String validationError,
        long deadlineMs) {
      this.baseVersion = baseVersion;
      this.digest = digest;
      this.change = change;
      this.validationError = validationError;
      this.deadlineMs = deadlineMs;
    }

    Register.ProposedValue decline(int status, String reason) {
      this.status = status;
      this.reason = reason;
      return new Register.ProposedValue(null, List.of());
    }
  }

  @Override
  public CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest request) {
    long baseVersion = parseVersion(request.headers().get("elmsail-based-on"));
    if (baseVersion < 0) {
      counters.countChange(400);
      return Replies.completed(Replies.error(400, "Elmsail-Based-On"));
    }
    PendingChange pending = readChange(baseVersion, request.body());
    attempt(pending);
    pending.reply.thenAccept(response -> counters.countChange(response.status()));
    return pending.reply;
  }

  private PendingChange readChange(long baseVersion, byte[] body) {
    long deadlineMs = timers.now() + REPLY_DEADLINE_MS;
    byte[] digest =
        changeKind == ChangeKind.AMEND
            ? ConfigHistory.amendmentDigest(baseVersion, body)
            : ConfigHistory.replacementDigest(baseVersion, body);
    try {
      ConfigChange change = changeReader.read(body);
      String validationError = change.version() > 0 ? null : "edition: not above 0";
      return new PendingChange(baseVersion, digest, change, validationError, deadlineMs);
    } catch (ElmsailException e) {
      return new PendingChange(baseVersion, digest, null, validationError(e), deadlineMs);
    }
  }

  /** Why the operator's body is refused; other failures are not the operator's and go on. */
  private static String validationError(ElmsailException failure) {
    if (failure.code() != ErrorCode.INVALID_ARGUMENT && failure.code() != ErrorCode.MALFORMED) {
      throw failure;
    }
    return failure.code().wireName() + ": " + failure.detail();
  }

  private void attempt(PendingChange pending) {
    long remainingMs = pending.deadlineMs - timers.now();
    if (remainingMs < MIN_ATTEMPT_MS) {
      pending.reply.complete(
          pending.outcomeUnknown
              ? Replies.error(504, "unclear")
              : Replies.error(503, "not reached"));
      return;
    }
    register
        .change(KEY, found -> proposedValue(pending, found), List.of(), null, remainingMs)
        .whenComplete((outcome, failure) -> onAttemptCompleted(pending, outcome, failure));
  }

  private static Register.ProposedValue proposedValue(
      PendingChange pending, Register.ObservedState found) {
    ConfigHistory current = ConfigHistory.decode(found.value());
    return switch (current.statusOf(pending.baseVersion, pending.digest)) {
      case COMMITTED -> pending.decline(200, "");
      case APPLICABLE -> applyToCurrent(pending, current);
      case SUPERSEDED -> pending.decline(412, "current: " + current.version());
      case BASE_NOT_COMMITTED ->
          pending.decline(503, "not in force yet; current: " + current.version());
      case BASE_FORGOTTEN -> pending.decline(503, "too old to tell; current: " + current.version());
    };
  }

  private static Register.ProposedValue applyToCurrent(
      PendingChange pending, ConfigHistory current) {
    if (pending.validationError != null) {
      return pending.decline(400, pending.validationError);
    }
    long version = pending.change.version();
    if (version <= current.version()) {
      return pending.decline(400, "edition: not above " + current.version());
    }
    byte[] changed;
    try {
      changed = pending.change.applyTo(current.configBytes());
    } catch (ElmsailException e) {
      return pending.decline(400, validationError(e));
    }
    pending.status = 200;
    return new Register.ProposedValue(
        current.append(version, changed, pending.digest).encode(), List.of());
  }

  private void onAttemptCompleted(
      PendingChange pending, Register.CommittedState outcome, Throwable failure) {
    if (failure != null) {
      ErrorCode code = ElmsailException.codeOf(failure);
      pending.outcomeUnknown |=
          code != ErrorCode.NO_QUORUM
              && code != ErrorCode.NOT_SENT
              && code != ErrorCode.NOT_A_VOTER;
      timers.schedule(RETRY_DELAY_MS, () -> attempt(pending));
      return;
    }
    committedConfig.offer(outcome.current());
    if (outcome.changed()) {
      commitListener.accept(pending.change.version());
    }
    pending.reply.complete(
        pending.status == 200
            ? Replies.json(200, "{}")
            : Replies.error(pending.status, pending.reason));
  }

  private static long parseVersion(String text) {
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
