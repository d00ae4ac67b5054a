package elmsail.rpc.messages;

import io.protostuff.Tag;

/** Whether the claim holds here, and the voter set as it now is here. */
public final class JoinResponse {
  @Tag(1)
  public boolean accepted;

  /** The instance that answers. */
  @Tag(2)
  public long instanceId;

  /** Holds no voter slot, but has the claim on its disk, and will vote under no older voter set. */
  @Tag(3)
  public boolean recorded;

  /**
   * With {@code noted}: has all its votes in the voter slot whose present holder names it as the
   * one before.
   */
  @Tag(4)
  public boolean replaced;

  @Tag(5)
  public VoterSet voterSet = new VoterSet();

  /** Whether the one that answers votes, as far as it knows. */
  @Tag(6)
  public boolean voting;
}
