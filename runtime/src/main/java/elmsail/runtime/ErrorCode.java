package elmsail.runtime;

import java.util.Optional;

/**
 * What went wrong, as a closed list: callers decide by the code alone, logs and metrics count it,
 * and exit codes and HTTP replies are derived from it. Each code says what a caller should do.
 */
public enum ErrorCode {
  /**
   * The settings or the command line cannot be used. Don't retry: the operator has to correct it.
   */
  INVALID_SETTINGS("BAD_SETTINGS"),

  /** A configuration or a request of an operator or client violates the protocol. Don't retry. */
  INVALID_ARGUMENT("BAD_CALL"),

  /** No byte of the call left this process. Any call may be retried, here or at another peer. */
  NOT_SENT("UNSENT"),

  /**
   * The call was sent, and its connection was lost before a response. The peer may have executed
   * it: retry idempotent calls only.
   */
  CONNECTION_LOST("BROKEN"),

  /**
   * The call was sent, and no response came in time. The peer may have executed it or may still do
   * so: retry idempotent calls only.
   */
  TIMEOUT("SILENT"),

  /** The peer has no capacity for the call and did not execute it. Retry later or elsewhere. */
  RESOURCE_EXHAUSTED("FULL"),

  /**
   * The peer holds no voter slot, or lost its durable state and has not joined again. It did not
   * execute the call: use another voter, or learn the current voter set.
   */
  NOT_A_VOTER("NOT_SEATED"),

  /**
   * Fewer than a majority responded, and no accept was sent: nothing has changed and nothing will.
   * Any change may be retried after a backoff.
   */
  NO_QUORUM("NOT_REACHED"),

  /**
   * An accept was sent, and fewer than a majority acknowledged it: the change may be committed, now
   * or later. Read before deciding, or repeat the very same change.
   */
  OUTCOME_UNKNOWN("UNCLEAR"),

  /** Another change was committed first. Read the current value and decide anew. */
  CONFLICT("LOST_RACE"),

  /**
   * The disk refused a write, is full, or holds data that cannot be read. Nothing that relied on
   * the write was acknowledged; the operator has to look at the disk.
   */
  STORAGE_FAILURE("DISK"),

  /**
   * Bytes that are no valid frame or message. The connection they came on must not be used further.
   */
  MALFORMED("GARBLED"),

  /** Another process than the intended one responds at the address. Resolve the address again. */
  MISDIRECTED("MISDIRECTED"),

  /** The peer speaks a protocol version that is not known here. Retry at another peer. */
  UNSUPPORTED_VERSION("UNSUPPORTED_VERSION"),

  /** A defect of the tier itself: report it. Only this code carries a stack trace. */
  INTERNAL("FAULT");

  private final String wireName;

  ErrorCode(String wireName) {
    this.wireName = wireName;
  }

  /**
   * The code's name between processes and in replies. It stays when the constant is renamed:
   * processes of earlier versions read it.
   */
  public String wireName() {
    return wireName;
  }

  /** The code with that {@link #wireName()}; empty if this version knows none. */
  public static Optional<ErrorCode> fromWireName(String wireName) {
    for (ErrorCode code : values()) {
      if (code.wireName.equals(wireName)) {
        return Optional.of(code);
      }
    }
    return Optional.empty();
  }
}
