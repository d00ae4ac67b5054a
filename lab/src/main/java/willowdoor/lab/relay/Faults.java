package willowdoor.lab.relay;

/**
 * What the network does to what one party sends another. Drops, duplicates, changes of order and of
 * bytes concern datagrams only; a stream is delayed, limited, cut or broken.
 *
 * @param delayMs how long everything takes
 * @param jitterMs up to how much longer, drawn evenly; datagrams may pass each other by it
 * @param bytesPerS what goes through in a second, 0 for no limit
 * @param drop the share of datagrams that are lost, from 0 to 1
 * @param duplicate the share that comes twice
 * @param reorder the share that the next one passes
 * @param garble the share in which some bytes are others
 * @param cut nothing comes through and nothing is said: connections stay open and silent, and go on
 *     once it is over
 * @param breakAfterBytes each connection is reset once it has carried that much this way, -1 for
 *     never
 */
public record Faults(
    double delayMs,
    double jitterMs,
    double bytesPerS,
    double drop,
    double duplicate,
    double reorder,
    double garble,
    boolean cut,
    long breakAfterBytes) {

  public static final Faults NONE = new Faults(0, 0, 0, 0, 0, 0, 0, false, -1);

  public Faults delay(double ms, double jitter) {
    return new Faults(
        ms, jitter, bytesPerS, drop, duplicate, reorder, garble, cut, breakAfterBytes);
  }

  public Faults rate(double limit) {
    return new Faults(
        delayMs, jitterMs, limit, drop, duplicate, reorder, garble, cut, breakAfterBytes);
  }

  public Faults drop(double share) {
    return new Faults(
        delayMs, jitterMs, bytesPerS, share, duplicate, reorder, garble, cut, breakAfterBytes);
  }

  public Faults duplicate(double share) {
    return new Faults(
        delayMs, jitterMs, bytesPerS, drop, share, reorder, garble, cut, breakAfterBytes);
  }

  public Faults reorder(double share) {
    return new Faults(
        delayMs, jitterMs, bytesPerS, drop, duplicate, share, garble, cut, breakAfterBytes);
  }

  public Faults garble(double share) {
    return new Faults(
        delayMs, jitterMs, bytesPerS, drop, duplicate, reorder, share, cut, breakAfterBytes);
  }

  public Faults cut(boolean on) {
    return new Faults(
        delayMs, jitterMs, bytesPerS, drop, duplicate, reorder, garble, on, breakAfterBytes);
  }

  public Faults breakAfter(long bytes) {
    return new Faults(delayMs, jitterMs, bytesPerS, drop, duplicate, reorder, garble, cut, bytes);
  }
}
