package willowdoor.members;

/** Protocol counters; the constant names in lower case are the metric keys. */
enum Count {
  PROBES,
  ACKED,
  ASKED_OTHERS,
  FAILED_PROBES,
  ABSENT_PROBES,
  RELAYED,
  /** Ping requests that were ignored because too many probes on behalf of others were running. */
  RELAY_FULL,
  NACKS,
  /**
   * From here to {@link #REFUTED}: suspicions that this process started or received, and their
   * outcome.
   */
  ACCUSED,
  SUSPECTED,
  CONFIRMED,
  FOUND_FAILED,
  REFUTED,
  HELD_UP,
  EXCHANGES,
  ANSWERS,
  /** Responses that were suppressed by the rate limit. */
  ANSWERS_SPARED,
  RAISED_GENERATION,
  TWIN,
  SUPERSEDED,
  /**
   * From here to {@link #SEND_DROPPED}: datagrams and their bytes, and datagrams that were not sent
   * because the socket's queue was full or the socket rejected them.
   */
  SENT,
  RECEIVED,
  SENT_BYTES,
  RECEIVED_BYTES,
  SEND_DROPPED,
  /** From here to {@link #OLD_GENERATION}: dropped datagrams, by reason. */
  TOO_LONG,
  CHECKSUM,
  MALFORMED,
  OTHER_PROTOCOL,
  OTHER_FLEET,
  UNKNOWN_ADDRESS,
  OTHER_NAME,
  NOT_FOR_ME,
  OLD_GENERATION,
  /** Statements about names that this roster does not contain. */
  UNKNOWN_MEMBER,
  /** Changes that were not logged because there were too many. */
  UNLOGGED
}
