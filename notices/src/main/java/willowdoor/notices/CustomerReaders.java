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
final class CustomerReaders {
  private static final long MOVE_ORDER_TTL_MS = 10_000;

  /**
   * Of a customer at a slow front door; those that are to go are not written to until they can be
   * told.
   */
  private static final int MAX_LEAVING = 5;

  /** A customer's readers count as lagging alike above this median, ms. */
  private static final long LAGGING_MS = 1_000;

  /** What the readers of a customer say of the front door. */
  record LagSample(int readers, int lagging) {}

  /** What readers need of the front door around them. */
  interface Callbacks {
    /** Asks who may have it. @return whether there is anybody */
    boolean fetch(IndividualDelivery.MissingRange range);

    void close(Reader reader, String reason);
  }

  final RetainedNotices retained;
  private final Limits limits;
  private final ServerSentEvents events;
  private final Assignment assignment;
  private final Callbacks callbacks;
  private final Consumer<Effect> effects;
  private final Group mainGroup;
  private final Map<PaceClass, Group> slowGroups = new EnumMap<>(PaceClass.class);
  private final Set<Reader> all = new LinkedHashSet<>();
  private final Set<Reader> individualReaders = new LinkedHashSet<>();
  private long arrivedBytes;
  private double shortTermRate;
  private double longTermRate;
  private long sampledMs;
  private int leaving;

  CustomerReaders(
      RetainedNotices retained,
      Limits limits,
      ServerSentEvents events,
      Assignment assignment,
      Callbacks callbacks,
      Consumer<Effect> effects,
      long nowMs) {
    this.retained = retained;
    this.limits = limits;
    this.events = events;
    this.assignment = assignment;
    this.callbacks = callbacks;
    this.effects = effects;
    this.sampledMs = nowMs;
    this.mainGroup = new Group(limits, events, retained.end(), retained.latestPosition());
    for (PaceClass pace : PaceClass.values()) {
      slowGroups.put(pace, new Group(limits, events, retained.end(), retained.latestPosition()));
    }
  }

  boolean isEmpty() {
    return all.isEmpty();
  }

  int individualReaders() {
    return individualReaders.size();
  }

  /** Bytes that groups hold. */
  long groupBytes() {
    return mainGroup.bytes() + slowGroups.values().stream().mapToLong(Group::bytes).sum();
  }

  /**
   * A reader has come.
   *
   * @param resume from where, null where it begins now
   */
  void add(Reader reader, Position resume, long nowMs) {
    all.add(reader);
    individualReaders.add(reader);
    reader.individual =
        resume == null
            ? new IndividualDelivery(events, retained.latestPosition(), retained.end())
            : IndividualDelivery.resume(events, resume, retained);
    for (int i = 0; resume != null && i < resume.size(); i++) {
      if (retained.stream(resume.id(i)) == null) {
        reader.unknownStreams = reader.unknownStreams.with(resume.id(i), resume.count(i));
      }
    }
    reader.write(
        new Reader.Chunk(events.open(reader.key, reader.position), reader.position, null, 0, nowMs),
        effects);
    deliver(reader, nowMs);
  }

  void remove(Reader reader, long nowMs) {
    all.remove(reader);
    individualReaders.remove(reader);
    if (reader.group != null) {
      Group group = reader.group;
      group.leave(reader);
      advance(group, nowMs);
    }
  }

  /** Events have come into the order. */
  void appended(long bytes, long nowMs) {
    arrivedBytes += bytes;
    advance(mainGroup, nowMs);
    for (Group group : slowGroups.values()) {
      advance(group, nowMs);
    }
    for (Reader reader : new ArrayList<>(individualReaders)) {
      deliver(reader, nowMs);
    }
  }

  private void advance(Group group, long nowMs) {
    while (group.fill(retained, nowMs)) {
      for (Reader reader : group.readers()) {
        group.writeTo(reader, effects);
      }
    }
  }

  void taken(Reader reader, long bytes, long nowMs) {
    Group group = reader.group;
    boolean finished = reader.onTaken(bytes);
    if (group == null) {
      deliver(reader, nowMs);
    } else {
      if (finished) {
        advance(group, nowMs);
      }
      group.writeTo(reader, effects);
    }
  }

  void fetched(PeerMessage.Fetched answer, long nowMs) {
    for (Reader reader : new ArrayList<>(individualReaders)) {
      reader.individual.fetched(answer);
      deliver(reader, nowMs);
    }
  }

  /** Writes to a reader that reads alone, and puts it into its group once it is where that is. */
  private void deliver(Reader reader, long nowMs) {
    // What is under way to a slow one is kept little, so it can be told soon that it is to move.
    int maxInFlight =
        reader.slowClass == null ? limits.inflightBytes() : limits.inflightBytes() / 8;
    while (reader.individual != null
        && reader.pendingMove == null
        && !reader.closing
        && reader.inFlightBytes() < maxInFlight) {
      IndividualDelivery.MissingRange range = reader.individual.nextRequest(nowMs);
      if (range != null && !callbacks.fetch(range)) {
        reader.individual.markUnavailable();
      }
      if (!reader.individual.hasPendingFetch() && reader.canJoinGroup() && join(reader, nowMs)) {
        return;
      }
      Reader.Chunk chunk = reader.individual.next(retained, nowMs);
      if (chunk == null) {
        return;
      }
      reader.write(chunk, effects);
    }
  }

  private boolean join(Reader reader, long nowMs) {
    Group group =
        reader.slowClass == null
            ? mainGroup
            : reader.movedHere || assignment.isTargetHere(retained.customer, reader.slowClass)
                ? slowGroups.get(reader.slowClass)
                : null;
    reader.individual.skip(retained);
    long order = reader.individual.nextEvent();
    if (group == null || order < retained.first() || !group.join(reader, order)) {
      return false;
    }
    reader.individual = null;
    individualReaders.remove(reader);
    reader.progress.startNewGroup();
    advance(group, nowMs);
    group.writeTo(reader, effects);
    return true;
  }

  /** Puts a reader out of its group, so that it holds up nobody. */
  private void detach(Reader reader, long nowMs) {
    Group group = reader.group;
    if (group != null) {
      reader.individual = new IndividualDelivery(events, reader.position, group.leave(reader));
      individualReaders.add(reader);
      advance(group, nowMs);
    }
    reader.progress.startNewGroup();
  }

  /**
   * Looks at every reader.
   *
   * @param doorSlow whether the front door itself is the slow one
   */
  LagSample sample(boolean doorSlow, long nowMs) {
    double span = Math.max(1, nowMs - sampledMs);
    shortTermRate += (arrivedBytes * 1e3 / span - shortTermRate) * Math.min(1, span / 1_000);
    longTermRate += (arrivedBytes * 1e3 / span - longTermRate) * Math.min(1, span / 30_000);
    arrivedBytes = 0;
    sampledMs = nowMs;
    int lagging = 0;
    for (Reader reader : all) {
      long lag = lagMs(reader, nowMs);
      reader.progress.sample(reader.inFlightBytes() > 0, lag, nowMs);
      lagging += reader.slowClass == null && lag > LAGGING_MS ? 1 : 0;
      if (reader.unknownStreams != Position.NONE && nowMs - reader.sinceMs >= Limits.END_WAIT_MS) {
        reportUnknownStreams(reader, nowMs);
      }
    }
    if (limits.regroup()) {
      if (!doorSlow) {
        detachSlowReaders(mainGroup, nowMs);
        slowGroups.values().forEach(group -> detachSlowReaders(group, nowMs));
      }
      leaving = (int) all.stream().filter(reader -> reader.pendingMove != null).count();
      for (Reader reader : new ArrayList<>(all)) {
        regroup(reader, doorSlow, nowMs);
      }
    }
    for (Reader reader : new ArrayList<>(individualReaders)) {
      deliver(reader, nowMs);
    }
    boolean burst = shortTermRate > 3 * longTermRate;
    return new LagSample(all.size(), burst ? 0 : lagging);
  }

  /**
   * Tells a reader of streams that nobody has offered here: what came on them since is not to be
   * had.
   */
  private void reportUnknownStreams(Reader reader, long nowMs) {
    for (int i = 0; i < reader.unknownStreams.size() && !reader.closing; i++) {
      StreamId id = reader.unknownStreams.id(i);
      if (retained.stream(id) == null) {
        byte[] bytes =
            events.gap(id, reader.unknownStreams.count(i) + 1, Entry.OPEN_ENDED, reader.position);
        reader.write(new Reader.Chunk(bytes, reader.position, null, 0, nowMs), effects);
      }
    }
    reader.unknownStreams = Position.NONE;
  }

  private long lagMs(Reader reader, long nowMs) {
    return reader.group != null
        ? reader.group.lagMs(reader, nowMs)
        : reader.individual.lagMs(retained, nowMs);
  }

  private void detachSlowReaders(Group group, long nowMs) {
    // Beside its members, those that read alone without being slow: one that is ahead, as the group
    // is held
    // up, tells what pace is possible; one that is behind is judged like a member.
    List<Reader> measured = new ArrayList<>(group.readers());
    int members = measured.size();
    for (Reader reader : individualReaders) {
      if (group == mainGroup && reader.slowClass == null && !reader.individual.hasPendingFetch()) {
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
      rate[i] = reader.progress.rate();
    }
    ReaderProgress.Median middle = ReaderProgress.Median.of(lagMs.clone(), lagBytes.clone(), rate);
    boolean heldUp = group.heldUp(nowMs);
    List<Reader> leave = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      Reader reader = measured.get(i);
      if (reader.progress.isSlow(lagMs[i], lagBytes[i], middle, limits.windowBytes(), nowMs)) {
        reader.slowClass = PaceClass.of(reader.progress.rate());
        reader.movedHere = false;
        leave.add(reader);
      } else if (heldUp && lagMs[i] == 0 && i < members) {
        // Most of its group are slow: it goes ahead of them, by itself.
        leave.add(reader);
      }
    }
    leave.forEach(reader -> detach(reader, nowMs));
    leave.forEach(reader -> deliver(reader, nowMs));
  }

  private void regroup(Reader reader, boolean doorSlow, long nowMs) {
    if (reader.closing) {
      return;
    }
    if (reader.progress.stalledForMs(nowMs) >= Limits.STALLED_MS) {
      detach(reader, nowMs);
      callbacks.close(reader, "took next to nothing for " + Limits.STALLED_MS / 1_000 + " s");
      return;
    }
    if (reader.pendingMove != null) {
      sendMove(reader, nowMs);
      return;
    }
    boolean back = reader.slowClass != null && reader.progress.keepsUp(limits.keepUpMs(), nowMs);
    if (back && (assignment.isSelf(reader.home) || assignment.view().member(reader.home) == null)) {
      reader.slowClass = null;
      reader.movedHere = false;
      detach(reader, nowMs);
    } else if (back
        || doorSlow
        || reader.slowClass != null && reader.group == null && !reader.movedHere) {
      // Little is kept under way to one that reads alone, and a piece may have gone over that.
      if (reader.inFlightBytes() <= limits.inflightBytes() / 8 + Limits.MAX_BODY / 4
          || doorSlow && leaving < MAX_LEAVING) {
        reader.pendingMove =
            assignment.decide(
                reader.key,
                retained.customer,
                back ? null : reader.slowClass,
                doorSlow,
                reader.home,
                reader.moves,
                nowMs - reader.sinceMs,
                nowMs);
        reader.pendingMoveMs = nowMs;
        if (reader.pendingMove != null) {
          leaving++;
          detach(reader, nowMs);
        }
      }
    }
  }

  /**
   * Tells a reader its order once it has taken what was under way; an order that does not hold any
   * more is dropped.
   */
  private void sendMove(Reader reader, long nowMs) {
    MoveOrder order = reader.pendingMove;
    if (!assignment.isValid(order, nowMs) || nowMs - reader.pendingMoveMs > MOVE_ORDER_TTL_MS) {
      reader.pendingMove = null;
    } else if (reader.inFlightBytes() == 0 && assignment.tryIssue(order, nowMs)) {
      String address = assignment.view().member(order.target()).clients();
      byte[] bytes = events.move(address, order, reader.position);
      reader.write(new Reader.Chunk(bytes, reader.position, null, 0, nowMs), effects);
      callbacks.close(reader, "moved");
    }
  }
}
