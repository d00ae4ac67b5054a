package elmsail.config;

import java.util.List;

/**
 * One route of a configuration; times in ms, those not given are 0.
 *
 * @param host {@code depot}, lower case
 * @param prefix {@code lane_prefix}
 * @param shares the services and their weights (one with weight 1 for {@code postal_line})
 * @param tries servers that one try of a client may be sent to; for a job's item, answers of 500
 *     before it is dead
 * @param mostWaiting tokens of jobs that may wait, 0: no limit
 */
public record Route(
    String name,
    String host,
    String prefix,
    Kind kind,
    long giveUpMs,
    long dueMs,
    int precedence,
    List<Share> shares,
    int tries,
    boolean resume,
    long gapAimMs,
    long runDueMs,
    long shelfMs,
    long mostWaiting) {

  /** From {@code route_class}. */
  public enum Kind {
    SAFE,
    UNSAFE,
    STREAM,
    SACK
  }

  /** A service and its weight. */
  public record Share(String service, double weight) {}

  /** Whether what may have run may be run again. */
  public boolean repeatable() {
    return kind == Kind.SAFE || kind == Kind.STREAM && resume;
  }
}
