package elmsail.runtime;

/** What can go wrong, by its type: logs count these, answers and exit codes are made from them. */
public enum ErrorCode {
  /** The settings or the command line cannot be used. */
  INVALID_SETTINGS("BAD_SETTINGS"),
  /** A configuration or another call of an operator or client is not as the protocol says. */
  INVALID_ARGUMENT("BAD_CALL"),
  /** No byte of the call left this process. */
  NOT_SENT("UNSENT"),
  /** The call was sent, and its connection broke before an answer. */
  CONNECTION_LOST("BROKEN"),
  /** The call was sent, and no answer came in time. */
  TIMEOUT("SILENT"),
  /** The peer has no room for the call; it did nothing. */
  RESOURCE_EXHAUSTED("FULL"),
  /** The peer cannot answer: it has lost its memory, or holds no voter slot. */
  NOT_A_VOTER("NOT_SEATED"),
  /** Fewer than a majority answered, and nothing was asked to be taken: nothing has changed. */
  NO_QUORUM("NOT_REACHED"),
  /**
   * A value was sent out to be taken, and fewer than a majority said that they took it: it may hold
   * or not.
   */
  OUTCOME_UNKNOWN("UNCLEAR"),
  /** Another change was there first. */
  CONFLICT("LOST_RACE"),
  /** The disk refused, is full, or holds what cannot be read. */
  STORAGE_FAILURE("DISK"),
  /** A frame or message that is none. */
  MALFORMED("GARBLED"),
  /** Another process answers at that address than the one that was meant. */
  MISDIRECTED("MISDIRECTED"),
  /** The other side speaks a version of the protocol that is not known here. */
  UNSUPPORTED_VERSION("UNSUPPORTED_VERSION"),
  /** A fault of our own. */
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
}
