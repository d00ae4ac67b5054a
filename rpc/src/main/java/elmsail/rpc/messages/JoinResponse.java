package elmsail.rpc.messages;

import io.protostuff.Tag;

/** Whether the claim was accepted, and the voter set as the responder now knows it. */
public final class JoinResponse {
  @Tag(1)
  public boolean accepted;

  /** The instance that responds. */
  @Tag(2)
  public long instanceId;

  /**
   * Whether the responder, which holds no voter slot, has the claim on disk and will vote under no
   * older voter set.
   */
  @Tag(3)
  public boolean recorded;

  /**
   * Together with {@link #recorded}: whether the responder still has all its votes of the voter
   * slot whose present holder names it as its predecessor.
   */
  @Tag(4)
  public boolean replaced;

  @Tag(5)
  public VoterSet voterSet = new VoterSet();

  /** Whether the responder votes, as far as it knows. */
  @Tag(6)
  public boolean voting;
}
