package willowdoor.notices;

/**
 * One stream of notices: all that one front door took for one customer, without a hole. A front
 * door numbers its streams over all customers, so this names the customer too.
 *
 * @param member the front door's number in the roster, 0 to 9,999
 * @param generation the front door's generation: a process started anew under the same number has a
 *     higher one
 * @param serial the stream's number there, from 1
 */
public record StreamId(int member, long generation, int serial) implements Comparable<StreamId> {
  public static final int MAX_MEMBER = 9_999;

  /** As far as a number is exact in every reader's language. */
  public static final long MAX_NUMBER = (1L << 53) - 1;

  public StreamId {
    if (member < 0
        || member > MAX_MEMBER
        || generation < 0
        || generation > MAX_NUMBER
        || serial < 1) {
      throw new IllegalArgumentException(
          "not a stream: " + member + "." + generation + "." + serial);
    }
  }

  @Override
  public int compareTo(StreamId other) {
    int byMember = Integer.compare(member, other.member);
    int byGeneration = Long.compare(generation, other.generation);
    int bySerial = Integer.compare(serial, other.serial);
    return byMember != 0 ? byMember : byGeneration != 0 ? byGeneration : bySerial;
  }

  /** As in an event's id: numbers to the base 36. */
  String text() {
    return Integer.toString(member, 36)
        + '.'
        + Long.toString(generation, 36)
        + '.'
        + Integer.toString(serial, 36);
  }
}
