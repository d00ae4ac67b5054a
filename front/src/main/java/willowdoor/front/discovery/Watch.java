package willowdoor.front.discovery;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import willowdoor.front.discovery.Watch.Effect.Close;
import willowdoor.front.discovery.Watch.Effect.Deliver;
import willowdoor.front.discovery.Watch.Effect.Open;

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
final class Watch {

  /**
   * The agent is on this machine and answers at once: a connect, the answer's head, and each
   * further part of an object that has begun or is owed follow within this.
   */
  static final double ANSWER_MS = 500;

  /** Empty lines come every 2 s: a watch on which nothing came for so long is broken. */
  static final double SILENT_MS = 2_500;

  /**
   * An object that drips in is waited for no longer than this after the last whole line of the
   * watch.
   */
  static final double WHOLE_MS = 4_200;

  /** An object that is owed is to be whole so long after its try began. */
  static final double OWED_MS = 1_500;

  /** The same where objects have dripped in for two tries in a row: this agent may be that slow. */
  static final double SLOW_MS = 3_500;

  /** A watch that broke is opened again after about this. */
  static final double AGAIN_MS = 50;

  /** Tries that fail follow each other at about this distance, from one opening to the next. */
  static final double APART_MS = 400;

  /**
   * Before the first word the list may be as old as the configuration's. The agent tells what
   * changed since right behind its answer's head, if anything did.
   */
  static final double NEWS_MS = 75;

  /** Where nobody answers at the start, the configuration's list has to do after this. */
  static final double KNOWN_MS = 1_000;

  /**
   * After so many tries in a row that owed an object and brought none behind the head, one does not
   * owe any: this agent may have none for an old version. One only, so that an outage's end is seen
   * all the same.
   */
  private static final int MOST_BARE = 3;

  private static final int MOST_DRIPPED = 2;

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
    record Deliver(RosterNews news) implements Effect {}
  }

  private enum Stage {
    BETWEEN,
    CONNECTING,
    ASKED,
    ANSWERED
  }

  /** From nought to one, drawn anew each time. */
  private final DoubleSupplier chance;

  private long version;
  private Stage stage = Stage.BETWEEN;

  /** When the next try begins, between tries. */
  private double openAt = Double.POSITIVE_INFINITY;

  private double startedAt;
  private double openedAt;
  private double headAt;

  /** The present try's last sign of life, and its last whole object or line. */
  private double lifeAt;

  private double wholeAt;

  /**
   * Whether the agent owes an object right behind the present try's head, as it was asked for an
   * old one.
   */
  private boolean owed;

  /**
   * Whether the present try has brought what it had to first: the object owed, or else any sign of
   * life.
   */
  private boolean proven;

  /**
   * Tries in a row on which an owed object did not begin, and on which one dripped in for too long.
   */
  private int bare;

  private int dripped;
  private ListScanner scanner = new ListScanner();

  /** What the look before found. */
  private boolean overdue;

  private boolean quiet;
  private boolean tried;
  private String caughtUp;

  Watch(long version, DoubleSupplier chance) {
    this.version = version;
    this.chance = chance;
  }

  List<Effect> start(double now) {
    startedAt = now;
    return open(now);
  }

  /** How it is known that the list is as new as can be had; null while it is not. */
  String caughtUp() {
    return caughtUp;
  }

  /** To be called every 25 ms or so. */
  List<Effect> look(double now) {
    List<Effect> effects = List.of();
    if (stage == Stage.BETWEEN) {
      effects = now >= openAt ? open(now) : effects;
    } else if (now < limit()) {
      overdue = false;
    } else if (overdue) {
      effects = List.of(giveUp(now));
    } else {
      overdue = true;
    }
    if (caughtUp == null) {
      catchUp(now);
    }
    return effects;
  }

  private double limit() {
    if (stage != Stage.ANSWERED) {
      return lifeAt + ANSWER_MS;
    }
    double next = lifeAt + (scanner.inside() || owed && !proven ? ANSWER_MS : SILENT_MS);
    if (proven) {
      return Math.min(next, wholeAt + WHOLE_MS);
    }
    double first = dripped < MOST_DRIPPED ? OWED_MS : SLOW_MS;
    return Math.min(next, openedAt + (owed ? first : ANSWER_MS + SILENT_MS));
  }

  /** Ends a try that a limit has passed on. */
  private Close giveUp(double now) {
    boolean inside = scanner.inside();
    if (inside && now < lifeAt + ANSWER_MS) {
      dripped++;
    } else if (stage == Stage.ANSWERED && !inside && !proven) {
      bare++;
    }
    return end(now, inside);
  }

  private void catchUp(double now) {
    boolean nothing =
        stage == Stage.ANSWERED && !owed && !scanner.inside() && now >= headAt + NEWS_MS;
    if (nothing && quiet) {
      caughtUp = "discovery has nothing new";
    } else if (tried && now >= startedAt + KNOWN_MS) {
      caughtUp = "discovery has not answered: the list is the configured one";
    }
    quiet = nothing;
  }

  private List<Effect> open(double now) {
    stage = Stage.CONNECTING;
    openedAt = now;
    lifeAt = now;
    scanner = new ListScanner();
    overdue = false;
    quiet = false;
    proven = false;
    owed = tried && version > 0 && bare != MOST_BARE;
    return List.of(new Open(owed ? version - 1 : version));
  }

  private Close end(double now, boolean unreadable) {
    stage = Stage.BETWEEN;
    tried = true;
    openAt =
        Math.max(
            now + AGAIN_MS * (0.5 + chance.getAsDouble()),
            openedAt + APART_MS * (0.75 + 0.5 * chance.getAsDouble()));
    return new Close(unreadable);
  }

  /** The present try's connection has come up, and the agent was asked on it. */
  void connected(double now) {
    stage = Stage.ASKED;
    lifeAt = now;
  }

  /** The head of a good answer has come. */
  void answered(double now) {
    stage = Stage.ANSWERED;
    headAt = now;
    lifeAt = now;
  }

  /** A part of the answer's body has come. */
  List<Effect> body(double now, byte[] part) {
    List<Effect> effects = new ArrayList<>(1);
    for (byte[] object : scanner.read(part)) {
      try {
        RosterNews news = RosterNews.parse(object, now);
        version = news.version();
        dripped = 0;
        proven = true;
        wholeAt = now;
        caughtUp = caughtUp == null ? "discovery's first list has come" : caughtUp;
        effects.add(new Deliver(news));
      } catch (IOException e) {
        effects.add(end(now, true));
        return effects;
      }
    }
    if (scanner.junk()) {
      effects.add(end(now, true));
      return effects;
    }
    lifeAt = now;
    wholeAt = scanner.inside() ? wholeAt : now;
    proven |= !owed && !scanner.inside();
    bare = proven ? 0 : bare;
    return effects;
  }

  /** The present try's connection has failed or ended, or carries what is no good answer. */
  List<Effect> ended(double now) {
    return stage == Stage.BETWEEN ? List.of() : List.of(end(now, scanner.inside()));
  }

  /**
   * The agent is at another address from now on: what changed since the last version is asked
   * there.
   */
  List<Effect> moved(double now) {
    List<Effect> effects = new ArrayList<>(ended(now));
    bare = 0;
    dripped = 0;
    effects.addAll(open(now));
    return effects;
  }
}
