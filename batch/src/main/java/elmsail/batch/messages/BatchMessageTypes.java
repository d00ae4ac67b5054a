package elmsail.batch.messages;

import elmsail.rpc.messages.OpaqueMessage;

/**
 * The kinds of the RPC messages about batch jobs. A response has the kind of its request, or {@link
 * #NOT_A_VOTER}. The texts are on the wire and do not change.
 */
public final class BatchMessageTypes {
  /**
   * Gateway to store: a {@link HeartbeatMessage}; the response has a varint for each of its jobs.
   */
  public static final String HEARTBEAT = "lots/beat";

  /**
   * Gateway to store: a varint, the least time without a heartbeat in ms; the response is a list of
   * {@link AbandonedJob}s.
   */
  public static final String ABANDONED = "lots/orphans";

  /** Gateway to store: the {@link WaitingTokens.Reservation} of a rejected attempt is withdrawn. */
  public static final String WITHDRAW = "lots/withdraw";

  /** Gateway to gateway: the id of a job that the receiver runs and that a client has cancelled. */
  public static final String CANCELLED = "lots/ended";

  /** The response of a store that is no voter of its set at present. */
  public static final String NOT_A_VOTER = "lots/not-seated";

  private BatchMessageTypes() {}

  /**
   * A message of that kind.
   *
   * @param bytes are not copied
   */
  public static OpaqueMessage message(String kind, byte[] bytes) {
    OpaqueMessage message = new OpaqueMessage();
    message.kind = kind;
    message.bytes = bytes;
    return message;
  }
}
