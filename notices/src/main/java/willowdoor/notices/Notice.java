package willowdoor.notices;

/**
 * One notice; its bytes are shared by all that hold it and never written to.
 *
 * @param customer the customer's number, as in {@code X-Customer}
 * @param seq its count in the stream, from 1
 * @param body UTF-8 text
 */
public record Notice(long customer, StreamId stream, long seq, byte[] body) {
  /** What a notice costs to hold beside its text, bytes. */
  static final int OVERHEAD = 64;

  int cost() {
    return body.length + OVERHEAD;
  }
}
