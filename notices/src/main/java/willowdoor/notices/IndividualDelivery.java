package willowdoor.notices;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A reader that reads by itself: one that resumes, until it is where its group is, or a slow one.
 * It holds its position and at most one answer to a fetch.
 */
final class IndividualDelivery {
  /** What a stream lacks for a reader. */
  record MissingRange(StreamId stream, long from, long to) {}

  private static final long RETRY_MS = 500;

  private final ServerSentEvents events;
  private Position position;
  private long nextEvent;

  /** What this front door never had and another may have: up to the stream's base here. */
  private final Map<StreamId, MissingRange> toFetch = new LinkedHashMap<>();

  private final ArrayDeque<Notice> fetched = new ArrayDeque<>();
  private MissingRange fetchedGap;

  /** When it last asked, and since when it has waited; -1 where it does not. */
  private long requestedMs = -1;

  private long waitingSinceMs = -1;

  /** One that goes on from a group, or begins now. */
  IndividualDelivery(ServerSentEvents events, Position position, long nextEvent) {
    this.events = events;
    this.position = position;
    this.nextEvent = nextEvent;
  }

  /** One that resumes from what it says. */
  static IndividualDelivery resume(
      ServerSentEvents events, Position position, RetainedNotices retained) {
    // Before the first event held, so that what is held no more is looked at first.
    IndividualDelivery delivery = new IndividualDelivery(events, position, retained.first() - 1);
    for (Stream stream : retained.streams()) {
      if (position.of(stream.id) < stream.base) {
        delivery.toFetch.put(
            stream.id, new MissingRange(stream.id, position.of(stream.id) + 1, stream.base));
      }
    }
    return delivery;
  }

  /** What was kept here once and is not any more, for a reader at that position. */
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

  /** The next event, null where there is none now. */
  Reader.Chunk next(RetainedNotices retained, long nowMs) {
    if (fetchedGap != null) {
      MissingRange gap = fetchedGap;
      fetchedGap = null;
      return gap(gap, nowMs);
    }
    if (!fetched.isEmpty()) {
      return notice(fetched.remove(), nowMs);
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

  /** Goes over what the reader has had already. */
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
   * What to ask another front door for now, null where nothing is lacking or an answer is awaited.
   */
  MissingRange nextRequest(long nowMs) {
    if (waitingSinceMs >= 0 && nowMs - waitingSinceMs >= Limits.FETCH_MS) {
      markUnavailable();
    }
    if (toFetch.isEmpty()
        || fetchedGap != null
        || !fetched.isEmpty()
        || requestedMs >= 0 && nowMs - requestedMs < RETRY_MS) {
      return null;
    }
    requestedMs = nowMs;
    waitingSinceMs = waitingSinceMs < 0 ? nowMs : waitingSinceMs;
    return toFetch.values().iterator().next();
  }

  /**
   * Another front door's answer; one to another question, or that brings nothing, is passed over.
   */
  void fetched(PeerMessage.Fetched answer) {
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
        fetched.add(notice);
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

  /** What is asked for cannot be had. */
  void markUnavailable() {
    MissingRange range = toFetch.values().iterator().next();
    toFetch.remove(range.stream());
    fetchedGap = range;
    requestedMs = -1;
    waitingSinceMs = -1;
  }

  boolean hasPendingFetch() {
    return !toFetch.isEmpty() || !fetched.isEmpty() || fetchedGap != null;
  }

  /** The next event of the front door's order. */
  long nextEvent() {
    return nextEvent;
  }

  long lagMs(RetainedNotices retained, long nowMs) {
    long next = Math.max(nextEvent, retained.first());
    return next >= retained.end() ? 0 : nowMs - retained.get(next).atMs();
  }
}
