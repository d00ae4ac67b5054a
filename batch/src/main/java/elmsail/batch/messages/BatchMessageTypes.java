package elmsail.batch.messages;

import elmsail.rpc.messages.OpaqueMessage;

/** The kinds of messages about jobs, and their making. */
public final class BatchMessageTypes {
  /**
   * Gateway to store: a {@code HeartbeatMessage}; answered with a number for each job in its order.
   */
  public static final String HEARTBEAT = "lots/beat";

  /** Gateway to store: how many ms without a heartbeat; answered with {@code AbandonedJob}s. */
  public static final String ABANDONED = "lots/orphans";

  /** Gateway to store: the job's add is off, as it was refused. */
  public static final String WITHDRAW = "lots/withdraw";

  /** Gateway to gateway: a job that the other runs was ended. */
  public static final String CANCELLED = "lots/ended";

  /** The answer of a store that has no say at present. */
  public static final String NOT_A_VOTER = "lots/not-seated";

  private BatchMessageTypes() {}

  /** A message of that kind. */
  public static OpaqueMessage message(String kind, byte[] bytes) {
    OpaqueMessage message = new OpaqueMessage();
    message.kind = kind;
    message.bytes = bytes;
    return message;
  }
}
