package willowdoor.front.discovery;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import willowdoor.front.discovery.WatchStateMachine.Effect.Close;
import willowdoor.front.discovery.WatchStateMachine.Effect.Deliver;
import willowdoor.front.discovery.WatchStateMachine.Effect.Open;

/**
 * When the watch of the list is opened, taken for broken and opened anew: one try at a time. Times
 * are milliseconds on one clock that never goes back; it reads none, and does nothing but tell what
 * to do, in order.
 *
 * <p>The platform's terms: what a silent watch misses counts as told 6 s after it fell silent, what
 * the agent has counts at once otherwise, and 4 s after SIGHUP what the next address has. The table
 * "The list's clock" in docs/design.md adds up what is spent of that.
 *
 * <p>A limit ends a try only at the second look in a row that finds it passed: between two looks
 * all that has come is read, so a pause of this process is not taken for the agent's silence.
 */
final class WatchStateMachine {

  /**
   * The agent is on this machine and answers at once: a connect, the answer's head, and each
   * further part of an object that has begun or is owed follow within this.
   */
  static final double RESPONSE_TIMEOUT_MS = 500;

  /** Empty lines come every 2 s: a watch on which nothing came for so long is broken. */
  static final double SILENCE_TIMEOUT_MS = 2_500;

  /**
   * An object that drips in is waited for no longer than this after the last whole line of the
   * watch.
   */
  static final double MAX_INCOMPLETE_MS = 4_200;

  /** An object that is owed is to be whole so long after its try began. */
  static final double FIRST_OBJECT_TIMEOUT_MS = 1_500;

  /** The same where objects have dripped in for two tries in a row: this agent may be that slow. */
  static final double SLOW_FIRST_OBJECT_TIMEOUT_MS = 3_500;

  /** A watch that broke is opened again after about this. */
  static final double RECONNECT_DELAY_MS = 50;

  /** Tries that fail follow each other at about this distance, from one opening to the next. */
  static final double ATTEMPT_INTERVAL_MS = 400;

  /**
   * Before the first word the list may be as old as the configuration's. The agent tells what
   * changed since right behind its answer's head, if anything did.
   */
  static final double FIRST_UPDATE_WAIT_MS = 75;

  /** Where nobody answers at the start, the configuration's list has to do after this. */
  static final double STARTUP_WAIT_MS = 1_000;

  /**
   * After so many tries in a row that owed an object and brought none behind the head, one does not
   * owe any: this agent may have none for an old version. One only, so that an outage's end is seen
   * all the same.
   */
  private static final int MAX_EMPTY_ATTEMPTS = 3;

  private static final int MAX_SLOW_ATTEMPTS = 2;

  /** What is to be done. */
  sealed interface Effect {

    /**
     * Connect to the agent, and ask for what changed after this version. On a further try that is
     * the version before the last known one, so that an object is owed: a head with nothing behind
     * it is then silence.
     */
    record Open(long version) implements Effect {}

    /** End the present try; an object that could not be read may be the reason. */
    record Close(boolean unreadable) implements Effect {}

    /** Act on these news. */
    record Deliver(BackendListUpdate update) implements Effect {}
  }

  private enum Stage {
    IDLE,
    CONNECTING,
    REQUESTED,
    STREAMING
  }

  /** From nought to one, drawn anew each time. */
  private final DoubleSupplier random;

  private long version;
  private Stage stage = Stage.IDLE;

  /** When the next try begins, between tries. */
  private double openAt = Double.POSITIVE_INFINITY;

  private double startedAt;
  private double openedAt;
  private double responseHeadAt;

  /** The present try's last sign of life, and its last whole object or line. */
  private double lastReceivedAt;

  private double lastCompleteAt;

  /**
   * Whether the agent owes an object right behind the present try's head, as it was asked for an
   * old one.
   */
  private boolean objectExpected;

  /**
   * Whether the present try has brought what it had to first: the object owed, or else any sign of
   * life.
   */
  private boolean confirmed;

  /**
   * Tries in a row on which an owed object did not begin, and on which one dripped in for too long.
   */
  private int emptyAttempts;

  private int slowAttempts;
  private JsonObjectScanner scanner = new JsonObjectScanner();

  /** What the look before found. */
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

  /** How it is known that the list is as new as can be had; null while it is not. */
  String caughtUpReason() {
    return caughtUpReason;
  }

  /** To be called every 25 ms or so. */
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

  /** Ends a try that a limit has passed on. */
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

  /** The present try's connection has come up, and the agent was asked on it. */
  void onConnected(double now) {
    stage = Stage.REQUESTED;
    lastReceivedAt = now;
  }

  /** The head of a good answer has come. */
  void onResponseHead(double now) {
    stage = Stage.STREAMING;
    responseHeadAt = now;
    lastReceivedAt = now;
  }

  /** A part of the answer's body has come. */
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
            caughtUpReason == null ? "discovery's first list has come" : caughtUpReason;
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

  /** The present try's connection has failed or ended, or carries what is no good answer. */
  List<Effect> onClosed(double now) {
    return stage == Stage.IDLE ? List.of() : List.of(endAttempt(now, scanner.insideObject()));
  }

  /**
   * The agent is at another address from now on: what changed since the last version is asked
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
