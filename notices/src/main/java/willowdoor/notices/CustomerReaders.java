package willowdoor.notices;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A customer's readers at this front door: the main group, which keeps up, the groups of slow
 * readers, and the readers that are served individually.
 */
final class CustomerReaders {
  private static final long MOVE_ORDER_TTL_MS = 10_000;

  /**
   * Maximum number of a customer's readers that wait for a move at a slow front door. Nothing is
   * written to a waiting reader until its move event can be sent.
   */
  private static final int MAX_LEAVING = 5;

  /** A reader counts as lagging above this lag, in ms. */
  private static final long LAGGING_MS = 1_000;

  /** Number of a customer's readers, and how many of them lag. */
  record LagSample(int readers, int lagging) {}

  /** Operations of the enclosing front door. */
  interface Callbacks {
    /**
     * Requests the range from a front door that may hold it.
     *
     * @return whether there is such a front door
     */
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

  /** Returns the bytes in the windows of all groups. */
  long groupBytes() {
    return mainGroup.bytes() + slowGroups.values().stream().mapToLong(Group::bytes).sum();
  }

  /**
   * Adds a reader.
   *
   * @param resume the position to resume from, or null if the reader begins now
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

  /** Handles events that were added to the front door's order. */
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

  void bytesTaken(Reader reader, long bytes, long nowMs) {
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
      reader.individual.onFetched(answer);
      deliver(reader, nowMs);
    }
  }

  /**
   * Writes to a reader that is served individually, and adds the reader to its group once it has
   * caught up with the group.
   */
  private void deliver(Reader reader, long nowMs) {
    // The limit of bytes in flight is lower for slow readers, so that a move event reaches them
    // soon.
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

  /** Removes a reader from its group, so that it does not hold up the others. */
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
   * Samples the progress of every reader, and regroups or moves slow readers.
   *
   * @param frontDoorSlow whether the front door itself is slow
   */
  LagSample sample(boolean frontDoorSlow, long nowMs) {
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
      if (!frontDoorSlow) {
        detachSlowReaders(mainGroup, nowMs);
        slowGroups.values().forEach(group -> detachSlowReaders(group, nowMs));
      }
      leaving = (int) all.stream().filter(reader -> reader.pendingMove != null).count();
      for (Reader reader : new ArrayList<>(all)) {
        regroup(reader, frontDoorSlow, nowMs);
      }
    }
    for (Reader reader : new ArrayList<>(individualReaders)) {
      deliver(reader, nowMs);
    }
    boolean burst = shortTermRate > 3 * longTermRate;
    return new LagSample(all.size(), burst ? 0 : lagging);
  }

  /**
   * Reports streams that no peer has offered here as open-ended gaps: notices published on them
   * since the reader's position are not available.
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
    // Compare the group's members with the individually served readers that are not marked slow. A
    // reader that is ahead because the group is held up shows which rate is possible; a reader
    // that is behind is checked like a member.
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
        // Most readers of the group are slow, so the reader continues individually, ahead of them.
        leave.add(reader);
      }
    }
    leave.forEach(reader -> detach(reader, nowMs));
    leave.forEach(reader -> deliver(reader, nowMs));
  }

  private void regroup(Reader reader, boolean frontDoorSlow, long nowMs) {
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
        || frontDoorSlow
        || reader.slowClass != null && reader.group == null && !reader.movedHere) {
      // Few bytes are in flight to an individually served reader, but a single chunk may exceed
      // the limit.
      if (reader.inFlightBytes() <= limits.inflightBytes() / 8 + Limits.MAX_BODY / 4
          || frontDoorSlow && leaving < MAX_LEAVING) {
        reader.pendingMove =
            assignment.decide(
                reader.key,
                retained.customer,
                back ? null : reader.slowClass,
                frontDoorSlow,
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
   * Sends a reader its move order once all bytes in flight are taken. Drops an order that is no
   * longer valid.
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
