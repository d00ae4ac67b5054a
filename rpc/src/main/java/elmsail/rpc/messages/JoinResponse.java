package elmsail.rpc.messages;

import io.protostuff.Tag;

/** Whether the receiver accepted a take-over, and the voter set that it knows now. */
public final class JoinResponse {
  /** Whether the take-over is in force here. */
  @Tag(1)
  public boolean accepted;

  /** The responder's instance id. */
  @Tag(2)
  public long instanceId;

  /**
   * The responder holds no voter slot, but has the take-over on its disk, and will vote under no
   * older voter set.
   */
  @Tag(3)
  public boolean recorded;

  /**
   * With {@link #recorded}: all its votes are in the voter slot whose present holder names it as
   * the previous one.
   */
  @Tag(4)
  public boolean replaced;

  /** The responder's voter set after the request. */
  @Tag(5)
  public VoterSet voterSet = new VoterSet();

  /** Whether the responder votes, as far as it knows. */
  @Tag(6)
  public boolean voting;
}
