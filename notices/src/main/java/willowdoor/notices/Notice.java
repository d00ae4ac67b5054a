package willowdoor.notices;

/**
 * One notice. Its bytes are shared by all holders and must not be changed.
 *
 * @param customer the customer's number, as in {@code X-Customer}
 * @param seq count of the notice in its stream, from 1
 * @param body UTF-8 text
 */
public record Notice(long customer, StreamId stream, long seq, byte[] body) {
  /** Memory that a retained notice takes besides its body, in bytes. */
  static final int OVERHEAD = 64;

  int cost() {
    return body.length + OVERHEAD;
  }
}
