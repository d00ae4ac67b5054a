package willowdoor.notices;

import java.util.Arrays;

/**
 * A reader's position in each stream of its customer: an immutable vector. Its text is an event id:
 * {@code member.generation.serial.count} for each stream in base 36, joined by {@code _}; the
 * event's own stream comes first, the others in order.
 */
final class Position {
  static final int MAX_STREAMS = 64;
  static final int MAX_TEXT = 4_096;
  static final Position NONE = new Position(new StreamId[0], new long[0]);

  private final StreamId[] ids;
  private final long[] counts;

  private Position(StreamId[] ids, long[] counts) {
    this.ids = ids;
    this.counts = counts;
  }

  /** Returns the count of the last notice received of a stream, or 0 if there is none. */
  long of(StreamId id) {
    int at = Arrays.binarySearch(ids, id);
    return at < 0 ? 0 : counts[at];
  }

  boolean has(StreamId id) {
    return Arrays.binarySearch(ids, id) >= 0;
  }

  int size() {
    return ids.length;
  }

  StreamId id(int i) {
    return ids[i];
  }

  long count(int i) {
    return counts[i];
  }

  Position with(StreamId id, long count) {
    int at = Arrays.binarySearch(ids, id);
    if (at >= 0) {
      long[] changed = counts.clone();
      changed[at] = count;
      return new Position(ids, changed);
    }
    int place = -at - 1;
    StreamId[] moreIds = new StreamId[ids.length + 1];
    long[] moreCounts = new long[ids.length + 1];
    System.arraycopy(ids, 0, moreIds, 0, place);
    System.arraycopy(counts, 0, moreCounts, 0, place);
    moreIds[place] = id;
    moreCounts[place] = count;
    System.arraycopy(ids, place, moreIds, place + 1, ids.length - place);
    System.arraycopy(counts, place, moreCounts, place + 1, ids.length - place);
    return new Position(moreIds, moreCounts);
  }

  Position without(StreamId id) {
    int at = Arrays.binarySearch(ids, id);
    if (at < 0) {
      return this;
    }
    StreamId[] fewerIds = new StreamId[ids.length - 1];
    long[] fewerCounts = new long[ids.length - 1];
    for (int i = 0, to = 0; i < ids.length; i++) {
      if (i != at) {
        fewerIds[to] = ids[i];
        fewerCounts[to++] = counts[i];
      }
    }
    return new Position(fewerIds, fewerCounts);
  }

  /**
   * Returns the lesser count of each stream. A stream that one of the two positions lacks is left
   * out, which means from its start.
   */
  Position min(Position other) {
    Position both = NONE;
    for (int i = 0; i < ids.length; i++) {
      if (other.has(ids[i])) {
        both = both.with(ids[i], Math.min(counts[i], other.of(ids[i])));
      }
    }
    return both;
  }

  /**
   * Returns the position as an event id.
   *
   * @param own the event's own stream, or null if it has none
   */
  String text(StreamId own) {
    StringBuilder text = new StringBuilder(24 * Math.max(1, ids.length));
    if (own != null && has(own)) {
      text.append(own.text()).append('.').append(Long.toString(of(own), 36));
    } else {
      text.append('-');
    }
    for (int i = 0; i < ids.length; i++) {
      if (!ids[i].equals(own)) {
        text.append('_').append(ids[i].text()).append('.').append(Long.toString(counts[i], 36));
      }
    }
    return text.toString();
  }

  /**
   * Parses an event id, exactly as {@link #text} writes it.
   *
   * @throws IllegalArgumentException for any other text; the message can be sent to the client
   */
  static Position parse(String text) {
    if (text.length() > MAX_TEXT) {
      throw new IllegalArgumentException("the event id is longer than " + MAX_TEXT + " characters");
    }
    String[] parts = text.split("_", MAX_STREAMS + 2);
    if (parts.length > MAX_STREAMS + 1) {
      throw new IllegalArgumentException(
          "the event id names more than " + MAX_STREAMS + " streams");
    }
    Position position = NONE;
    StreamId own = null;
    try {
      for (int i = 0; i < parts.length; i++) {
        if (i == 0 && parts[i].equals("-")) {
          continue;
        }
        String[] numbers = parts[i].split("\\.", 5);
        if (numbers.length != 4) {
          throw new IllegalArgumentException();
        }
        StreamId id =
            new StreamId(
                Integer.parseInt(numbers[0], 36),
                Long.parseLong(numbers[1], 36),
                Integer.parseInt(numbers[2], 36));
        long count = Long.parseLong(numbers[3], 36);
        if (count < 0 || count > StreamId.MAX_NUMBER || position.has(id)) {
          throw new IllegalArgumentException();
        }
        position = position.with(id, count);
        own = i == 0 ? id : own;
      }
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException("the event id is not one that a front door gave", e);
    }
    // A position has exactly one text: no sign, no leading zero, no capital letters, no other
    // order.
    if (!position.text(own).equals(text)) {
      throw new IllegalArgumentException("the event id is not one that a front door gave");
    }
    return position;
  }

  @Override
  public String toString() {
    return text(null);
  }
}
