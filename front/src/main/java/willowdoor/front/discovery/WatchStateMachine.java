package willowdoor.front.discovery;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import willowdoor.front.discovery.WatchStateMachine.Effect.Close;
import willowdoor.front.discovery.WatchStateMachine.Effect.Deliver;
import willowdoor.front.discovery.WatchStateMachine.Effect.Open;

/**
 * Decides when the watch on the backend list is opened, considered broken and reopened, with one
 * attempt at a time. Times are milliseconds of one monotonic clock. The class reads no clock and
 * performs no I/O: it only returns the effects to execute, in order.
 *
 * <p>The platform's rules: a change missed by a silent watch counts as delivered 6 s after the
 * watch fell silent; otherwise a change counts as delivered as soon as the agent has it; and after
 * SIGHUP the data of the new address counts as delivered after 4 s. The table "The list's clock" in
 * docs/design.md adds up how this time is spent.
 *
 * <p>A timeout ends an attempt only when two consecutive checks find it expired. All received data
 * is read between two checks, so a pause of this process is not mistaken for silence of the agent.
 */
final class WatchStateMachine {

  /**
   * The agent runs on this machine and responds at once. The connect, the response head, and each
   * further part of an object that has started or is expected must follow within this time.
   */
  static final double RESPONSE_TIMEOUT_MS = 500;

  /**
   * The agent sends an empty line every 2 s: a watch that receives nothing for this long is broken.
   */
  static final double SILENCE_TIMEOUT_MS = 2_500;

  /**
   * An incomplete object is awaited no longer than this after the last complete object or line of
   * the watch.
   */
  static final double MAX_INCOMPLETE_MS = 4_200;

  /** An expected object must be complete this long after its attempt started. */
  static final double FIRST_OBJECT_TIMEOUT_MS = 1_500;

  /**
   * The same limit after two consecutive attempts with slowly arriving objects: this agent may be
   * that slow.
   */
  static final double SLOW_FIRST_OBJECT_TIMEOUT_MS = 3_500;

  /** Approximate delay before a broken watch is reopened. */
  static final double RECONNECT_DELAY_MS = 50;

  /** Approximate interval between the starts of consecutive failing attempts. */
  static final double ATTEMPT_INTERVAL_MS = 400;

  /**
   * Before the first update, the list may be as old as the configuration's list. The agent sends
   * the changes since then, if any, directly after its response head.
   */
  static final double FIRST_UPDATE_WAIT_MS = 75;

  /** If the agent does not respond at startup, the configuration's list is used after this time. */
  static final double STARTUP_WAIT_MS = 1_000;

  /**
   * After this many consecutive attempts on which an expected object did not start, the next
   * attempt expects none: this agent may send no object for an old version. Only that one attempt
   * does so, so that the end of an outage is still detected.
   */
  private static final int MAX_EMPTY_ATTEMPTS = 3;

  private static final int MAX_SLOW_ATTEMPTS = 2;

  /** An effect that the caller executes. */
  sealed interface Effect {

    /**
     * Connect to the agent and request the changes since this version. On a repeated attempt the
     * version is one below the last known version, so that an object is expected: a response head
     * with nothing after it then counts as silence.
     */
    record Open(long version) implements Effect {}

    /**
     * Close the current attempt. The flag states whether an unreadable or incomplete object was the
     * reason.
     */
    record Close(boolean unreadable) implements Effect {}

    /** Apply this update. */
    record Deliver(BackendListUpdate update) implements Effect {}
  }

  private enum Stage {
    IDLE,
    CONNECTING,
    REQUESTED,
    STREAMING
  }

  /** Returns a new random number from 0 to 1 on each call. */
  private final DoubleSupplier random;

  private long version;
  private Stage stage = Stage.IDLE;

  /** When the next attempt starts; used between attempts. */
  private double openAt = Double.POSITIVE_INFINITY;

  private double startedAt;
  private double openedAt;
  private double responseHeadAt;

  /**
   * When the current attempt last received data, and when it last received a complete object or
   * line.
   */
  private double lastReceivedAt;

  private double lastCompleteAt;

  /**
   * Whether an object is expected directly after the response head of the current attempt, because
   * an old version was requested.
   */
  private boolean objectExpected;

  /**
   * Whether the current attempt has received what it must receive first: the expected object, or
   * else any data.
   */
  private boolean confirmed;

  /**
   * Consecutive attempts on which an expected object did not start, and on which an object arrived
   * too slowly.
   */
  private int emptyAttempts;

  private int slowAttempts;
  private JsonObjectScanner scanner = new JsonObjectScanner();

  /** Whether the previous check found the deadline expired. */
  private boolean overdue;

  private boolean noUpdate;
  private boolean attempted;
  private String caughtUpReason;

  WatchStateMachine(long version, DoubleSupplier random) {
    this.version = version;
    this.random = random;
  }

  List<Effect> start(double now) {
    startedAt = now;
    return open(now);
  }

  /** Why the list is considered as recent as can be obtained; null until then. */
  String caughtUpReason() {
    return caughtUpReason;
  }

  /** Must be called about every 25 ms. */
  List<Effect> check(double now) {
    List<Effect> effects = List.of();
    if (stage == Stage.IDLE) {
      effects = now >= openAt ? open(now) : effects;
    } else if (now < deadline()) {
      overdue = false;
    } else if (overdue) {
      effects = List.of(timeOut(now));
    } else {
      overdue = true;
    }
    if (caughtUpReason == null) {
      checkCaughtUp(now);
    }
    return effects;
  }

  private double deadline() {
    if (stage != Stage.STREAMING) {
      return lastReceivedAt + RESPONSE_TIMEOUT_MS;
    }
    double next =
        lastReceivedAt
            + (scanner.insideObject() || objectExpected && !confirmed
                ? RESPONSE_TIMEOUT_MS
                : SILENCE_TIMEOUT_MS);
    if (confirmed) {
      return Math.min(next, lastCompleteAt + MAX_INCOMPLETE_MS);
    }
    double first =
        slowAttempts < MAX_SLOW_ATTEMPTS ? FIRST_OBJECT_TIMEOUT_MS : SLOW_FIRST_OBJECT_TIMEOUT_MS;
    return Math.min(
        next, openedAt + (objectExpected ? first : RESPONSE_TIMEOUT_MS + SILENCE_TIMEOUT_MS));
  }

  /** Ends an attempt whose deadline has expired. */
  private Close timeOut(double now) {
    boolean inside = scanner.insideObject();
    if (inside && now < lastReceivedAt + RESPONSE_TIMEOUT_MS) {
      slowAttempts++;
    } else if (stage == Stage.STREAMING && !inside && !confirmed) {
      emptyAttempts++;
    }
    return endAttempt(now, inside);
  }

  private void checkCaughtUp(double now) {
    boolean nothing =
        stage == Stage.STREAMING
            && !objectExpected
            && !scanner.insideObject()
            && now >= responseHeadAt + FIRST_UPDATE_WAIT_MS;
    if (nothing && noUpdate) {
      caughtUpReason = "discovery has nothing new";
    } else if (attempted && now >= startedAt + STARTUP_WAIT_MS) {
      caughtUpReason = "discovery has not answered: the list is the configured one";
    }
    noUpdate = nothing;
  }

  private List<Effect> open(double now) {
    stage = Stage.CONNECTING;
    openedAt = now;
    lastReceivedAt = now;
    scanner = new JsonObjectScanner();
    overdue = false;
    noUpdate = false;
    confirmed = false;
    objectExpected = attempted && version > 0 && emptyAttempts != MAX_EMPTY_ATTEMPTS;
    return List.of(new Open(objectExpected ? version - 1 : version));
  }

  private Close endAttempt(double now, boolean unreadable) {
    stage = Stage.IDLE;
    attempted = true;
    openAt =
        Math.max(
            now + RECONNECT_DELAY_MS * (0.5 + random.getAsDouble()),
            openedAt + ATTEMPT_INTERVAL_MS * (0.75 + 0.5 * random.getAsDouble()));
    return new Close(unreadable);
  }

  /** The current attempt's connection is open and the request was sent on it. */
  void onConnected(double now) {
    stage = Stage.REQUESTED;
    lastReceivedAt = now;
  }

  /** The head of a successful response was received. */
  void onResponseHead(double now) {
    stage = Stage.STREAMING;
    responseHeadAt = now;
    lastReceivedAt = now;
  }

  /** A part of the response body was received. */
  List<Effect> onBody(double now, byte[] part) {
    List<Effect> effects = new ArrayList<>(1);
    for (byte[] object : scanner.read(part)) {
      try {
        BackendListUpdate update = BackendListUpdate.parse(object, now);
        version = update.version();
        slowAttempts = 0;
        confirmed = true;
        lastCompleteAt = now;
        caughtUpReason =
            caughtUpReason == null ? "discovery's first list was received" : caughtUpReason;
        effects.add(new Deliver(update));
      } catch (IOException e) {
        effects.add(endAttempt(now, true));
        return effects;
      }
    }
    if (scanner.malformed()) {
      effects.add(endAttempt(now, true));
      return effects;
    }
    lastReceivedAt = now;
    lastCompleteAt = scanner.insideObject() ? lastCompleteAt : now;
    confirmed |= !objectExpected && !scanner.insideObject();
    emptyAttempts = confirmed ? 0 : emptyAttempts;
    return effects;
  }

  /** The current attempt's connection has failed or ended, or carries an invalid response. */
  List<Effect> onClosed(double now) {
    return stage == Stage.IDLE ? List.of() : List.of(endAttempt(now, scanner.insideObject()));
  }

  /**
   * The agent has another address from now on: the changes since the last version are requested
   * there.
   */
  List<Effect> onAddressChanged(double now) {
    List<Effect> effects = new ArrayList<>(onClosed(now));
    emptyAttempts = 0;
    slowAttempts = 0;
    effects.addAll(open(now));
    return effects;
  }
}
