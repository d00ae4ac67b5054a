package elmsail.batch.messages;

import elmsail.rpc.messages.OpaqueMessage;

/**
 * The kinds of the RPC messages about batch jobs. A response has the kind of its request or is
 * {@link #NOT_A_VOTER}. The texts are sent on the wire and must not change.
 */
public final class BatchMessageTypes {
  /**
   * Gateway to store: a {@link HeartbeatMessage}. The response contains a varint for each job of
   * the message: one of the status constants of {@link HeartbeatMessage}.
   */
  public static final String HEARTBEAT = "lots/beat";

  /**
   * Gateway to store: a varint with the minimum time without a heartbeat, in ms. The response is a
   * list of {@link AbandonedJob}s.
   */
  public static final String ABANDONED = "lots/orphans";

  /** Gateway to store: withdraws the {@link WaitingTokens.Reservation} in the message. */
  public static final String WITHDRAW = "lots/withdraw";

  /** Gateway to gateway: the id of a job that a client has cancelled and that the receiver runs. */
  public static final String CANCELLED = "lots/ended";

  /** The response of a store that is currently not a voter of its set. */
  public static final String NOT_A_VOTER = "lots/not-seated";

  private BatchMessageTypes() {}

  /**
   * Creates a message of the given kind.
   *
   * @param bytes the contents of the message, which are not copied
   */
  public static OpaqueMessage message(String kind, byte[] bytes) {
    OpaqueMessage message = new OpaqueMessage();
    message.kind = kind;
    message.bytes = bytes;
    return message;
  }
}
