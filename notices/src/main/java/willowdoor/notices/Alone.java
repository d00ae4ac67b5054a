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
final class Alone {
  /** What a stream lacks for a reader. */
  record Lack(StreamId stream, long from, long to) {}

  private static final long ASK_AGAIN_MS = 500;

  private final ServerSentEvents events;
  private Position at;
  private long order;

  /** What this front door never had and another may have: up to the stream's base here. */
  private final Map<StreamId, Lack> elsewhere = new LinkedHashMap<>();

  private final ArrayDeque<Notice> fetched = new ArrayDeque<>();
  private Lack fetchedGap;

  /** When it last asked, and since when it has waited; -1 where it does not. */
  private long askedMs = -1;

  private long waitsMs = -1;

  /** One that goes on from a group, or begins now. */
  Alone(ServerSentEvents events, Position at, long order) {
    this.events = events;
    this.at = at;
    this.order = order;
  }

  /** One that resumes from what it says. */
  static Alone resume(ServerSentEvents events, Position at, Retained retained) {
    // Before the first event held, so that what is held no more is looked at first.
    Alone alone = new Alone(events, at, retained.first() - 1);
    for (Stream stream : retained.streams()) {
      if (at.of(stream.id) < stream.base) {
        alone.elsewhere.put(stream.id, new Lack(stream.id, at.of(stream.id) + 1, stream.base));
      }
    }
    return alone;
  }

  /** What was kept here once and is not any more, for a reader at that position. */
  static List<Lack> lacks(Position at, Retained retained) {
    List<Lack> lacks = new ArrayList<>();
    for (int i = 0; i < retained.dropped().size(); i++) {
      StreamId id = retained.dropped().id(i);
      Stream stream = retained.stream(id);
      long from = Math.max(at.of(id), stream == null ? 0 : stream.base) + 1;
      if (retained.dropped().count(i) >= from && (stream != null || at.has(id))) {
        lacks.add(new Lack(id, from, retained.dropped().count(i)));
      }
    }
    return lacks;
  }

  /** The next event, null where there is none now. */
  Reader.Piece next(Retained retained, long nowMs) {
    if (fetchedGap != null) {
      Lack gap = fetchedGap;
      fetchedGap = null;
      return gap(gap, nowMs);
    }
    if (!fetched.isEmpty()) {
      return notice(fetched.remove(), nowMs);
    }
    if (!elsewhere.isEmpty()) {
      return null;
    }
    if (order < retained.first()) {
      List<Lack> lacks = lacks(at, retained);
      if (!lacks.isEmpty()) {
        return gap(lacks.get(0), nowMs);
      }
      order = retained.first();
    }
    skip(retained);
    if (order >= retained.end()) {
      return null;
    }
    Entry entry = retained.get(order++);
    return entry.notice() != null
        ? notice(entry.notice(), nowMs)
        : gap(
            new Lack(entry.stream(), Math.max(entry.from(), at.of(entry.stream()) + 1), entry.to()),
            nowMs);
  }

  /** Goes over what the reader has had already. */
  void skip(Retained retained) {
    while (order >= retained.first()
        && order < retained.end()
        && retained.get(order).to() <= at.of(retained.get(order).stream())) {
      order++;
    }
  }

  private Reader.Piece notice(Notice notice, long nowMs) {
    at = at.with(notice.stream(), notice.seq());
    return new Reader.Piece(events.notice(notice, at), at, null, order, nowMs);
  }

  private Reader.Piece gap(Lack lack, long nowMs) {
    if (lack.to() != Entry.OPEN) {
      at = at.with(lack.stream(), lack.to());
    }
    return new Reader.Piece(
        events.gap(lack.stream(), lack.from(), lack.to(), at), at, null, order, nowMs);
  }

  /**
   * What to ask another front door for now, null where nothing is lacking or an answer is awaited.
   */
  Lack ask(long nowMs) {
    if (waitsMs >= 0 && nowMs - waitsMs >= Limits.FETCH_MS) {
      gone();
    }
    if (elsewhere.isEmpty()
        || fetchedGap != null
        || !fetched.isEmpty()
        || askedMs >= 0 && nowMs - askedMs < ASK_AGAIN_MS) {
      return null;
    }
    askedMs = nowMs;
    waitsMs = waitsMs < 0 ? nowMs : waitsMs;
    return elsewhere.values().iterator().next();
  }

  /**
   * Another front door's answer; one to another question, or that brings nothing, is passed over.
   */
  void fetched(PeerMessage.Fetched answer) {
    Lack lack = elsewhere.isEmpty() ? null : elsewhere.values().iterator().next();
    if (waitsMs < 0
        || lack == null
        || !lack.stream().equals(answer.stream())
        || lack.from() != answer.after() + 1) {
      return;
    }
    long upTo = Math.max(answer.after(), Math.min(answer.gapTo(), lack.to()));
    if (upTo > answer.after()) {
      fetchedGap = new Lack(lack.stream(), lack.from(), upTo);
    }
    for (Notice notice : answer.notices()) {
      if (notice.seq() == upTo + 1
          && notice.seq() <= lack.to()
          && notice.stream().equals(lack.stream())) {
        fetched.add(notice);
        upTo++;
      }
    }
    if (upTo > answer.after()) {
      askedMs = -1;
      waitsMs = -1;
    }
    if (upTo == lack.to()) {
      elsewhere.remove(lack.stream());
    } else {
      elsewhere.put(lack.stream(), new Lack(lack.stream(), upTo + 1, lack.to()));
    }
  }

  /** What is asked for cannot be had. */
  void gone() {
    Lack lack = elsewhere.values().iterator().next();
    elsewhere.remove(lack.stream());
    fetchedGap = lack;
    askedMs = -1;
    waitsMs = -1;
  }

  boolean lacksElsewhere() {
    return !elsewhere.isEmpty() || !fetched.isEmpty() || fetchedGap != null;
  }

  /** The next event of the front door's order. */
  long order() {
    return order;
  }

  long lagMs(Retained retained, long nowMs) {
    long next = Math.max(order, retained.first());
    return next >= retained.end() ? 0 : nowMs - retained.get(next).atMs();
  }
}
