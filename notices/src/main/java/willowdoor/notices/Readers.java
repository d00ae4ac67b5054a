package willowdoor.notices;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A customer's readers at this front door: the group that keeps pace, the groups of slow ones, and
 * those alone.
 */
final class Readers {
  private static final long ORDER_MS = 10_000;

  /**
   * Of a customer at a slow front door; those that are to go are not written to until they can be
   * told.
   */
  private static final int MAX_LEAVING = 5;

  /** A customer's readers count as lagging alike above this median, ms. */
  private static final long ALIKE_MS = 1_000;

  /** What the readers of a customer say of the front door. */
  record Look(int readers, int lagging) {}

  /** What readers need of the front door around them. */
  interface Around {
    /** Asks who may have it. @return whether there is anybody */
    boolean fetch(Alone.Lack lack);

    void close(Reader reader, String reason);
  }

  final Retained retained;
  private final Limits limits;
  private final ServerSentEvents events;
  private final Assignment assignment;
  private final Around around;
  private final Consumer<Effect> effects;
  private final Group main;
  private final Map<PaceClass, Group> slow = new EnumMap<>(PaceClass.class);
  private final Set<Reader> all = new LinkedHashSet<>();
  private final Set<Reader> alone = new LinkedHashSet<>();
  private long arrivedBytes;
  private double arrivalsNow;
  private double arrivalsLong;
  private long lookedMs;
  private int leaving;

  Readers(
      Retained retained,
      Limits limits,
      ServerSentEvents events,
      Assignment assignment,
      Around around,
      Consumer<Effect> effects,
      long nowMs) {
    this.retained = retained;
    this.limits = limits;
    this.events = events;
    this.assignment = assignment;
    this.around = around;
    this.effects = effects;
    this.lookedMs = nowMs;
    this.main = new Group(limits, events, retained.end(), retained.seen());
    for (PaceClass pace : PaceClass.values()) {
      slow.put(pace, new Group(limits, events, retained.end(), retained.seen()));
    }
  }

  boolean isEmpty() {
    return all.isEmpty();
  }

  int alone() {
    return alone.size();
  }

  /** Bytes that groups hold. */
  long held() {
    return main.bytes() + slow.values().stream().mapToLong(Group::bytes).sum();
  }

  /**
   * A reader has come.
   *
   * @param resume from where, null where it begins now
   */
  void add(Reader reader, Position resume, long nowMs) {
    all.add(reader);
    alone.add(reader);
    reader.alone =
        resume == null
            ? new Alone(events, retained.seen(), retained.end())
            : Alone.resume(events, resume, retained);
    for (int i = 0; resume != null && i < resume.size(); i++) {
      if (retained.stream(resume.id(i)) == null) {
        reader.unproven = reader.unproven.with(resume.id(i), resume.count(i));
      }
    }
    reader.write(
        new Reader.Piece(events.open(reader.key, reader.at), reader.at, null, 0, nowMs), effects);
    pump(reader, nowMs);
  }

  void remove(Reader reader, long nowMs) {
    all.remove(reader);
    alone.remove(reader);
    if (reader.group != null) {
      Group group = reader.group;
      group.leave(reader);
      advance(group, nowMs);
    }
  }

  /** Events have come into the order. */
  void appended(long bytes, long nowMs) {
    arrivedBytes += bytes;
    advance(main, nowMs);
    for (Group group : slow.values()) {
      advance(group, nowMs);
    }
    for (Reader reader : new ArrayList<>(alone)) {
      pump(reader, nowMs);
    }
  }

  private void advance(Group group, long nowMs) {
    while (group.fill(retained, nowMs)) {
      for (Reader reader : group.readers()) {
        group.feed(reader, effects);
      }
    }
  }

  void taken(Reader reader, long bytes, long nowMs) {
    Group group = reader.group;
    boolean finished = reader.took(bytes);
    if (group == null) {
      pump(reader, nowMs);
    } else {
      if (finished) {
        advance(group, nowMs);
      }
      group.feed(reader, effects);
    }
  }

  void fetched(PeerMessage.Fetched answer, long nowMs) {
    for (Reader reader : new ArrayList<>(alone)) {
      reader.alone.fetched(answer);
      pump(reader, nowMs);
    }
  }

  /** Writes to a reader that reads alone, and puts it into its group once it is where that is. */
  private void pump(Reader reader, long nowMs) {
    // What is under way to a slow one is kept little, so it can be told soon that it is to move.
    int most = reader.slow == null ? limits.inflightBytes() : limits.inflightBytes() / 8;
    while (reader.alone != null
        && reader.order == null
        && !reader.closing
        && reader.outBytes() < most) {
      Alone.Lack lack = reader.alone.ask(nowMs);
      if (lack != null && !around.fetch(lack)) {
        reader.alone.gone();
      }
      if (!reader.alone.lacksElsewhere() && reader.joinable() && join(reader, nowMs)) {
        return;
      }
      Reader.Piece piece = reader.alone.next(retained, nowMs);
      if (piece == null) {
        return;
      }
      reader.write(piece, effects);
    }
  }

  private boolean join(Reader reader, long nowMs) {
    Group group =
        reader.slow == null
            ? main
            : reader.guest || assignment.here(retained.customer, reader.slow)
                ? slow.get(reader.slow)
                : null;
    reader.alone.skip(retained);
    long order = reader.alone.order();
    if (group == null || order < retained.first() || !group.join(reader, order)) {
      return false;
    }
    reader.alone = null;
    alone.remove(reader);
    reader.pace.fresh();
    advance(group, nowMs);
    group.feed(reader, effects);
    return true;
  }

  /** Puts a reader out of its group, so that it holds up nobody. */
  private void aside(Reader reader, long nowMs) {
    Group group = reader.group;
    if (group != null) {
      reader.alone = new Alone(events, reader.at, group.leave(reader));
      alone.add(reader);
      advance(group, nowMs);
    }
    reader.pace.fresh();
  }

  /**
   * Looks at every reader.
   *
   * @param doorSlow whether the front door itself is the slow one
   */
  Look look(boolean doorSlow, long nowMs) {
    double span = Math.max(1, nowMs - lookedMs);
    arrivalsNow += (arrivedBytes * 1e3 / span - arrivalsNow) * Math.min(1, span / 1_000);
    arrivalsLong += (arrivedBytes * 1e3 / span - arrivalsLong) * Math.min(1, span / 30_000);
    arrivedBytes = 0;
    lookedMs = nowMs;
    int lagging = 0;
    for (Reader reader : all) {
      long lag = lagMs(reader, nowMs);
      reader.pace.look(reader.outBytes() > 0, lag, nowMs);
      lagging += reader.slow == null && lag > ALIKE_MS ? 1 : 0;
      if (reader.unproven != Position.NONE && nowMs - reader.sinceMs >= Limits.END_WAIT_MS) {
        tellUnproven(reader, nowMs);
      }
    }
    if (limits.regroup()) {
      if (!doorSlow) {
        judge(main, nowMs);
        slow.values().forEach(group -> judge(group, nowMs));
      }
      leaving = (int) all.stream().filter(reader -> reader.order != null).count();
      for (Reader reader : new ArrayList<>(all)) {
        regroup(reader, doorSlow, nowMs);
      }
    }
    for (Reader reader : new ArrayList<>(alone)) {
      pump(reader, nowMs);
    }
    boolean burst = arrivalsNow > 3 * arrivalsLong;
    return new Look(all.size(), burst ? 0 : lagging);
  }

  /**
   * Tells a reader of streams that nobody has offered here: what came on them since is not to be
   * had.
   */
  private void tellUnproven(Reader reader, long nowMs) {
    for (int i = 0; i < reader.unproven.size() && !reader.closing; i++) {
      StreamId id = reader.unproven.id(i);
      if (retained.stream(id) == null) {
        byte[] bytes = events.gap(id, reader.unproven.count(i) + 1, Entry.OPEN, reader.at);
        reader.write(new Reader.Piece(bytes, reader.at, null, 0, nowMs), effects);
      }
    }
    reader.unproven = Position.NONE;
  }

  private long lagMs(Reader reader, long nowMs) {
    return reader.group != null
        ? reader.group.lagMs(reader, nowMs)
        : reader.alone.lagMs(retained, nowMs);
  }

  private void judge(Group group, long nowMs) {
    // Beside its members, those that read alone without being slow: one that is ahead, as the group
    // is held
    // up, tells what pace is possible; one that is behind is judged like a member.
    List<Reader> measured = new ArrayList<>(group.readers());
    int members = measured.size();
    for (Reader reader : alone) {
      if (group == main && reader.slow == null && !reader.alone.lacksElsewhere()) {
        measured.add(reader);
      }
    }
    int n = measured.size();
    if (n < 2) {
      return;
    }
    long[] lagMs = new long[n];
    long[] lagBytes = new long[n];
    double[] rate = new double[n];
    for (int i = 0; i < n; i++) {
      Reader reader = measured.get(i);
      lagMs[i] = lagMs(reader, nowMs);
      lagBytes[i] = i < members ? group.lagBytes(reader) : 0;
      rate[i] = reader.pace.rate();
    }
    Pace.Middle middle = Pace.Middle.of(lagMs.clone(), lagBytes.clone(), rate);
    boolean held = group.heldUp(nowMs);
    List<Reader> leave = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      Reader reader = measured.get(i);
      if (reader.pace.slow(lagMs[i], lagBytes[i], middle, limits.windowBytes(), nowMs)) {
        reader.slow = PaceClass.of(reader.pace.rate());
        reader.guest = false;
        leave.add(reader);
      } else if (held && lagMs[i] == 0 && i < members) {
        // Most of its group are slow: it goes ahead of them, by itself.
        leave.add(reader);
      }
    }
    leave.forEach(reader -> aside(reader, nowMs));
    leave.forEach(reader -> pump(reader, nowMs));
  }

  private void regroup(Reader reader, boolean doorSlow, long nowMs) {
    if (reader.closing) {
      return;
    }
    if (reader.pace.hopelessFor(nowMs) >= Limits.HOPELESS_MS) {
      aside(reader, nowMs);
      around.close(reader, "took next to nothing for " + Limits.HOPELESS_MS / 1_000 + " s");
      return;
    }
    if (reader.order != null) {
      tell(reader, nowMs);
      return;
    }
    boolean back = reader.slow != null && reader.pace.keeps(limits.keepPaceMs(), nowMs);
    if (back && (assignment.isHere(reader.home) || assignment.view().member(reader.home) == null)) {
      reader.slow = null;
      reader.guest = false;
      aside(reader, nowMs);
    } else if (back || doorSlow || reader.slow != null && reader.group == null && !reader.guest) {
      // Little is kept under way to one that reads alone, and a piece may have gone over that.
      if (reader.outBytes() <= limits.inflightBytes() / 8 + Limits.MAX_BODY / 4
          || doorSlow && leaving < MAX_LEAVING) {
        reader.order =
            assignment.decide(
                reader.key,
                retained.customer,
                back ? null : reader.slow,
                doorSlow,
                reader.home,
                reader.moves,
                nowMs - reader.sinceMs,
                nowMs);
        reader.orderMs = nowMs;
        if (reader.order != null) {
          leaving++;
          aside(reader, nowMs);
        }
      }
    }
  }

  /**
   * Tells a reader its order once it has taken what was under way; an order that does not hold any
   * more is dropped.
   */
  private void tell(Reader reader, long nowMs) {
    MoveOrder order = reader.order;
    if (!assignment.stands(order, nowMs) || nowMs - reader.orderMs > ORDER_MS) {
      reader.order = null;
    } else if (reader.outBytes() == 0 && assignment.tell(order, nowMs)) {
      String address = assignment.view().member(order.target()).clients();
      byte[] bytes = events.move(address, order, reader.at);
      reader.write(new Reader.Piece(bytes, reader.at, null, 0, nowMs), effects);
      around.close(reader, "moved");
    }
  }
}
