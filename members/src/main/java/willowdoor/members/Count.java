package willowdoor.members;

/** What is counted. */
enum Count {
  PROBES,
  ACKED,
  ASKED_OTHERS,
  FAILED_PROBES,
  ABSENT_PROBES,
  RELAYED,
  /** Probes for others that were not taken on, as too many were. */
  RELAY_FULL,
  NACKS,
  /** Suspicions begun here and heard, and what became of them. */
  ACCUSED,
  SUSPECTED,
  CONFIRMED,
  FOUND_FAILED,
  REFUTED,
  HELD_UP,
  EXCHANGES,
  ANSWERS,
  /** Answers that were asked for too fast. */
  ANSWERS_SPARED,
  RAISED_GENERATION,
  TWIN,
  SUPERSEDED,
  /** Datagrams, and what was not sent as the socket's queue was full or refused it. */
  SENT,
  RECEIVED,
  SENT_BYTES,
  RECEIVED_BYTES,
  SEND_DROPPED,
  /** Dropped, by reason. */
  TOO_LONG,
  CHECKSUM,
  MALFORMED,
  OTHER_PROTOCOL,
  OTHER_FLEET,
  UNKNOWN_ADDRESS,
  OTHER_NAME,
  NOT_FOR_ME,
  OLD_GENERATION,
  /** Statements of names that this roster does not have. */
  UNKNOWN_MEMBER,
  /** Changes that the log left out, as there were too many. */
  UNLOGGED
}
