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
 * Handles the operators' calls {@code POST /Timetable.Replace} and {@code POST /Timetable.Amend}:
 * commits a change to the routing configuration if the change is valid and based on the current
 * version. Each call has its own handler; both change the same register key. Runs on the event
 * loop.
 *
 * <p>The statuses 200, 400 and 412 are final, so the handler returns them only if a committed value
 * proves them ({@link ConfigHistory}). A change is declined only on the basis of a value that a
 * majority accepted, or that was written back to a majority at a higher ballot. In all other cases
 * the status is 503, or 504 if a proposal was sent that may have been accepted; the operator may
 * then send the change again, to this node or to another.
 *
 * <p>The body is validated last. A change that is in the history is acknowledged again even if this
 * version of the program considers it invalid. An invalid change that is based on the current
 * version is rejected; the rejection is final as long as all program versions that run at the same
 * time agree on what is valid. Only a call whose base version is not a number is rejected at once,
 * because no program version ever committed such a change.
 */
final class ConfigChangeHandler implements HttpHandler {
  static final String KEY = "timetable";

  /** Below the operators' timeout of 1,000 ms. */
  private static final long REPLY_DEADLINE_MS = 900;

  private static final long MIN_ATTEMPT_MS = 150;
  private static final long RETRY_DELAY_MS = 20;

  /** The call by which a change was sent; part of the change's identity. */
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
   * Creates the handler of one call.
   *
   * @param register of the control-plane voters
   * @param changeKind the kind of change that this handler takes
   * @param changeReader parses the request bodies
   * @param committedConfig the configuration as last read; receives the values that calls commit
   * @param commitListener called with each version that a call through this handler committed
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

  /**
   * The status and the reason of the reply, decided on the basis of the value that the last attempt
   * read from the register.
   *
   * @param status 200 or an HTTP error status
   * @param reason of the error; empty for status 200
   */
  private record Decision(int status, String reason) {
    /** The change is in the history, or this call commits it. */
    static final Decision ACCEPTED = new Decision(200, "");

    /** No committed value has been read yet. */
    static final Decision UNDECIDED = new Decision(503, "not reached");

    SimpleHttpResponse toReply() {
      return status == 200 ? Replies.json(200, "{}") : Replies.error(status, reason);
    }
  }

  /** One call: its change and the decision of the last attempt. */
  private static final class PendingChange {
    final long baseVersion;
    final byte[] digest;
    final long deadlineMs;

    /** Null if the body is invalid; {@link #validationError} then holds the reason. */
    final ConfigChange change;

    final String validationError;
    final CompletableFuture<SimpleHttpResponse> reply = new CompletableFuture<>();
    Decision decision = Decision.UNDECIDED;
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

    /** Records the decision and leaves the register's value unchanged. */
    Register.ProposedValue decline(Decision declined) {
      decision = declined;
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

  /**
   * Returns why the operator's request body is invalid; rethrows any failure with another cause.
   */
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
        .change(KEY, observed -> proposedValue(pending, observed), List.of(), null, remainingMs)
        .whenComplete((outcome, failure) -> onAttemptCompleted(pending, outcome, failure));
  }

  private static Register.ProposedValue proposedValue(
      PendingChange pending, Register.ObservedState observed) {
    ConfigHistory current = ConfigHistory.decode(observed.value());
    return switch (current.statusOf(pending.baseVersion, pending.digest)) {
      case COMMITTED -> pending.decline(Decision.ACCEPTED);
      case APPLICABLE -> applyToCurrent(pending, current);
      case SUPERSEDED -> pending.decline(new Decision(412, "current: " + current.version()));
      case BASE_NOT_COMMITTED ->
          pending.decline(new Decision(503, "not in force yet; current: " + current.version()));
      case BASE_DROPPED_FROM_HISTORY ->
          pending.decline(new Decision(503, "too old to tell; current: " + current.version()));
    };
  }

  private static Register.ProposedValue applyToCurrent(
      PendingChange pending, ConfigHistory current) {
    if (pending.validationError != null) {
      return pending.decline(new Decision(400, pending.validationError));
    }
    long version = pending.change.version();
    if (version <= current.version()) {
      return pending.decline(new Decision(400, "edition: not above " + current.version()));
    }
    byte[] changed;
    try {
      changed = pending.change.applyTo(current.configBytes());
    } catch (ElmsailException e) {
      return pending.decline(new Decision(400, validationError(e)));
    }
    pending.decision = Decision.ACCEPTED;
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
    pending.reply.complete(pending.decision.toReply());
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
