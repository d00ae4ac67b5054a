package elmsail.clerk.servers;

import elmsail.timetable.ServerEntry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One incarnation of a server: its connections, and what is known of its load and health. */
public final class Server {
  private static final long FIRST_AVOID_MS = 250;
  private static final long MOST_AVOID_MS = 3_000;
  /** A told load counts half as much after so long. */
  private static final double HALF_LIFE_MS = 700;
  /** Where nothing was heard for so long while requests wait for their answer, the server may be dark. */
  private static final long QUIET_MS = 900;

  /** Items are started while no more than this share of the places is taken. */
  private static final double ITEMS_UP_TO = 0.6;

  private final ServerEntry entry;
  private final PrefixMemory memory;
  final ArrayDeque<ServerConnection> idle = new ArrayDeque<>();
  /** Tries that run or wait for a connection. */
  private final Set<Try> tries = new LinkedHashSet<>();
  /** Open, opening and idle ones. */
  int connections;
  private int items;
  private int readingTokens;
  private boolean gone;
  private long avoidedUntil = Long.MIN_VALUE;
  private long avoidMs;
  private long heardAt = Long.MIN_VALUE;
  private long loadAt = Long.MIN_VALUE;
  private int toldRunning;
  private int toldWaiting;
  private int ownWhenTold;

  Server(ServerEntry entry, long kvTokens) {
    this.entry = entry;
    memory = new PrefixMemory(kvTokens);
  }

  public ServerEntry entry() {
    return entry;
  }

  public String id() {
    return entry.id();
  }

  PrefixMemory memory() {
    return memory;
  }

  /** Closing, or not listed any more. */
  public boolean gone() {
    return gone;
  }

  void leave() {
    gone = true;
  }

  /** Tries that may be cancelled while one looks at them. */
  List<Try> tries() {
    return new ArrayList<>(tries);
  }

  public int open() {
    return tries.size();
  }

  public int items() {
    return items;
  }

  int readingTokens() {
    return readingTokens;
  }

  void begun(Try one) {
    tries.add(one);
    items += one.out().item() ? 1 : 0;
    readingTokens += anew(one);
  }

  void answering(Try one) {
    readingTokens -= anew(one);
  }

  void ended(Try one) {
    if (tries.remove(one)) {
      items -= one.out().item() ? 1 : 0;
      readingTokens -= one.answered() ? 0 : anew(one);
    }
  }

  private static int anew(Try one) {
    Prompt p = one.out().prompt();
    return p.total() - p.sharedTokens();
  }

  /** An answer of it began: it lives. */
  void heard(long now) {
    heardAt = now;
    avoidMs = 0;
    avoidedUntil = Long.MIN_VALUE;
  }

  /** Only bytes of an answer that began earlier. */
  void stirred(long now) {
    heardAt = now;
  }

  /** A connect or a request failed. */
  void failed(long now) {
    if (now >= avoidedUntil) {
      avoidMs = Math.min(MOST_AVOID_MS, Math.max(FIRST_AVOID_MS, 2 * avoidMs));
      avoidedUntil = now + avoidMs;
    }
  }

  /** Takes {@code RUNNING,WAITING,SLOTS}; what cannot be read is passed over. */
  void load(String told, long now) {
    int first = told.indexOf(',');
    int second = told.indexOf(',', first + 1);
    if (first <= 0 || second < 0) {
      return;
    }
    try {
      toldRunning = Integer.parseInt(told.substring(0, first).trim());
      toldWaiting = Integer.parseInt(told.substring(first + 1, second).trim());
      loadAt = now;
      ownWhenTold = open();
    } catch (NumberFormatException e) {
      loadAt = Long.MIN_VALUE;
    }
  }

  /** Whether to take it only where there is no other. */
  boolean avoided(long now) {
    return now < avoidedUntil || silent(now);
  }

  /** Whether it has said nothing at all for long to requests that wait for their answer. */
  public boolean silent(long now) {
    for (Try t : tries) {
      if (t.sent() && !t.answered()) {
        return now - Math.max(t.since(), heardAt) > QUIET_MS; // the oldest one that waits
      }
    }
    return false;
  }

  /** Estimate of the requests that run there, of all doors. */
  double running(long now) {
    if (loadAt == Long.MIN_VALUE) {
      return open();
    }
    double weight = weight(now);
    double told = Math.max(0, toldRunning + open() - ownWhenTold);
    return Math.max(open(), told * weight);
  }

  /** Estimate of the requests that wait there. */
  double waiting(long now) {
    return loadAt == Long.MIN_VALUE ? 0 : toldWaiting * weight(now);
  }

  private double weight(long now) {
    return HALF_LIFE_MS / (HALF_LIFE_MS + now - loadAt);
  }

  /**
   * How many items of lots may be started here now: in the places that plain requests leave.
   *
   * @param doors that start items, this one too
   */
  public int itemRoom(long now, int doors) {
    if (gone || avoided(now) || waiting(now) >= 1) {
      return 0;
    }
    int own = Math.max(2, entry.berths() / 2 / doors + 1) - items;
    int free = (int) (entry.berths() * ITEMS_UP_TO - running(now));
    return Math.max(0, Math.min(own, free));
  }
}
