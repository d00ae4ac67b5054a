package willowdoor.notices;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Delivers events to one reader outside a group: a reader that resumes, until it has caught up with
 * its group, or a slow reader. Holds the reader's position and at most one result of a fetch.
 */
final class IndividualDelivery {
  /** A range of notices of a stream that a reader has not received. */
  record MissingRange(StreamId stream, long from, long to) {}

  private static final long RETRY_MS = 500;

  private final ServerSentEvents events;
  private Position position;
  private long nextEvent;

  /**
   * Ranges that this front door never held and another may hold: per stream, up to the stream's
   * base here.
   */
  private final Map<StreamId, MissingRange> toFetch = new LinkedHashMap<>();

  private final ArrayDeque<Notice> onFetched = new ArrayDeque<>();
  private MissingRange fetchedGap;

  /**
   * Time of the last fetch request, and start of the wait for a result; -1 if none is outstanding.
   */
  private long requestedMs = -1;

  private long waitingSinceMs = -1;

  /** Continues after the reader left a group, or begins with the current position. */
  IndividualDelivery(ServerSentEvents events, Position position, long nextEvent) {
    this.events = events;
    this.position = position;
    this.nextEvent = nextEvent;
  }

  /** Resumes from the position that the reader sent. */
  static IndividualDelivery resume(
      ServerSentEvents events, Position position, RetainedNotices retained) {
    // Start before the first retained event, so that evicted events are reported first.
    IndividualDelivery delivery = new IndividualDelivery(events, position, retained.first() - 1);
    for (Stream stream : retained.streams()) {
      if (position.of(stream.id) < stream.base) {
        delivery.toFetch.put(
            stream.id, new MissingRange(stream.id, position.of(stream.id) + 1, stream.base));
      }
    }
    return delivery;
  }

  /** Returns the ranges that were evicted here and that a reader at this position lacks. */
  static List<MissingRange> missingRanges(Position position, RetainedNotices retained) {
    List<MissingRange> ranges = new ArrayList<>();
    for (int i = 0; i < retained.evictedPosition().size(); i++) {
      StreamId id = retained.evictedPosition().id(i);
      Stream stream = retained.stream(id);
      long from = Math.max(position.of(id), stream == null ? 0 : stream.base) + 1;
      if (retained.evictedPosition().count(i) >= from && (stream != null || position.has(id))) {
        ranges.add(new MissingRange(id, from, retained.evictedPosition().count(i)));
      }
    }
    return ranges;
  }

  /** Returns the next event, or null if there is none now. */
  Reader.Chunk next(RetainedNotices retained, long nowMs) {
    if (fetchedGap != null) {
      MissingRange gap = fetchedGap;
      fetchedGap = null;
      return gap(gap, nowMs);
    }
    if (!onFetched.isEmpty()) {
      return notice(onFetched.remove(), nowMs);
    }
    if (!toFetch.isEmpty()) {
      return null;
    }
    if (nextEvent < retained.first()) {
      List<MissingRange> ranges = missingRanges(position, retained);
      if (!ranges.isEmpty()) {
        return gap(ranges.get(0), nowMs);
      }
      nextEvent = retained.first();
    }
    skip(retained);
    if (nextEvent >= retained.end()) {
      return null;
    }
    Entry entry = retained.get(nextEvent++);
    return entry.notice() != null
        ? notice(entry.notice(), nowMs)
        : gap(
            new MissingRange(
                entry.stream(),
                Math.max(entry.from(), position.of(entry.stream()) + 1),
                entry.to()),
            nowMs);
  }

  /** Skips events that the reader has already received. */
  void skip(RetainedNotices retained) {
    while (nextEvent >= retained.first()
        && nextEvent < retained.end()
        && retained.get(nextEvent).to() <= position.of(retained.get(nextEvent).stream())) {
      nextEvent++;
    }
  }

  private Reader.Chunk notice(Notice notice, long nowMs) {
    position = position.with(notice.stream(), notice.seq());
    return new Reader.Chunk(events.notice(notice, position), position, null, nextEvent, nowMs);
  }

  private Reader.Chunk gap(MissingRange range, long nowMs) {
    if (range.to() != Entry.OPEN_ENDED) {
      position = position.with(range.stream(), range.to());
    }
    return new Reader.Chunk(
        events.gap(range.stream(), range.from(), range.to(), position),
        position,
        null,
        nextEvent,
        nowMs);
  }

  /**
   * Returns the range to request from another front door now, or null if nothing is missing or a
   * result is awaited.
   */
  MissingRange nextRequest(long nowMs) {
    if (waitingSinceMs >= 0 && nowMs - waitingSinceMs >= Limits.FETCH_MS) {
      markUnavailable();
    }
    if (toFetch.isEmpty()
        || fetchedGap != null
        || !onFetched.isEmpty()
        || requestedMs >= 0 && nowMs - requestedMs < RETRY_MS) {
      return null;
    }
    requestedMs = nowMs;
    waitingSinceMs = waitingSinceMs < 0 ? nowMs : waitingSinceMs;
    return toFetch.values().iterator().next();
  }

  /**
   * Handles a fetch result of another front door. Ignores a result that belongs to another request
   * or brings nothing new.
   */
  void onFetched(PeerMessage.Fetched answer) {
    MissingRange range = toFetch.isEmpty() ? null : toFetch.values().iterator().next();
    if (waitingSinceMs < 0
        || range == null
        || !range.stream().equals(answer.stream())
        || range.from() != answer.after() + 1) {
      return;
    }
    long upTo = Math.max(answer.after(), Math.min(answer.gapTo(), range.to()));
    if (upTo > answer.after()) {
      fetchedGap = new MissingRange(range.stream(), range.from(), upTo);
    }
    for (Notice notice : answer.notices()) {
      if (notice.seq() == upTo + 1
          && notice.seq() <= range.to()
          && notice.stream().equals(range.stream())) {
        onFetched.add(notice);
        upTo++;
      }
    }
    if (upTo > answer.after()) {
      requestedMs = -1;
      waitingSinceMs = -1;
    }
    if (upTo == range.to()) {
      toFetch.remove(range.stream());
    } else {
      toFetch.put(range.stream(), new MissingRange(range.stream(), upTo + 1, range.to()));
    }
  }

  /** Reports the requested range as a gap, because no front door can provide it. */
  void markUnavailable() {
    MissingRange range = toFetch.values().iterator().next();
    toFetch.remove(range.stream());
    fetchedGap = range;
    requestedMs = -1;
    waitingSinceMs = -1;
  }

  boolean hasPendingFetch() {
    return !toFetch.isEmpty() || !onFetched.isEmpty() || fetchedGap != null;
  }

  /** Returns the number of the next event in the front door's order. */
  long nextEvent() {
    return nextEvent;
  }

  long lagMs(RetainedNotices retained, long nowMs) {
    long next = Math.max(nextEvent, retained.first());
    return next >= retained.end() ? 0 : nowMs - retained.get(next).atMs();
  }
}
