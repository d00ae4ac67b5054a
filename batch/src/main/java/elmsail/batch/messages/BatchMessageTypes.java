package elmsail.batch.messages;

import elmsail.rpc.messages.OpaqueMessage;

/** The kinds of notes about jobs, and their making. */
public final class BatchMessageTypes {
  /**
   * Door to keeper: a {@code HeartbeatMessage}; answered with a number for each job in its order.
   */
  public static final String BEAT = "lots/beat";

  /** Door to keeper: how many ms unheard; answered with {@code AbandonedJob}s. */
  public static final String ORPHANS = "lots/orphans";

  /** Door to keeper: the job's add is off, as it was refused. */
  public static final String WITHDRAW = "lots/withdraw";

  /** Door to gateway: a job that the other runs was ended. */
  public static final String ENDED = "lots/ended";

  /** The answer of a keeper that has no say at present. */
  public static final String NOT_SEATED = "lots/not-seated";

  private BatchMessageTypes() {}

  /** A message of that kind. */
  public static OpaqueMessage note(String kind, byte[] bytes) {
    OpaqueMessage note = new OpaqueMessage();
    note.kind = kind;
    note.bytes = bytes;
    return note;
  }
}
