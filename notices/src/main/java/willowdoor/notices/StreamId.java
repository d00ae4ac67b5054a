package willowdoor.notices;

/**
 * Identifies a stream of notices: all notices that one front door accepted for one customer,
 * without a gap. A front door numbers its streams over all customers, so the id determines the
 * customer too.
 *
 * @param member the front door's number in the roster, 0 to 9,999
 * @param generation the front door's generation: a process restarted under the same number has a
 *     higher one
 * @param serial number of the stream at the front door, from 1
 */
public record StreamId(int member, long generation, int serial) implements Comparable<StreamId> {
  public static final int MAX_MEMBER = 9_999;

  /** Largest integer that is exact in the number types of all clients' languages. */
  public static final long MAX_NUMBER = (1L << 53) - 1;

  public StreamId {
    if (member < 0
        || member > MAX_MEMBER
        || generation < 0
        || generation > MAX_NUMBER
        || serial < 1) {
      throw new IllegalArgumentException(
          "invalid stream id: " + member + "." + generation + "." + serial);
    }
  }

  @Override
  public int compareTo(StreamId other) {
    int byMember = Integer.compare(member, other.member);
    int byGeneration = Long.compare(generation, other.generation);
    int bySerial = Integer.compare(serial, other.serial);
    return byMember != 0 ? byMember : byGeneration != 0 ? byGeneration : bySerial;
  }

  /** Returns the id as in an event id: numbers in base 36. */
  String text() {
    return Integer.toString(member, 36)
        + '.'
        + Long.toString(generation, 36)
        + '.'
        + Integer.toString(serial, 36);
  }
}
