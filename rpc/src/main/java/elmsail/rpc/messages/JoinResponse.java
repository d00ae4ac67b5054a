package elmsail.rpc.messages;

/** Whether the claim holds here, and the voter set as it now is here. */
public final class JoinResponse {
  public boolean held;

  /** The instance that answers. */
  public long instanceId;

  /** Holds no voter slot, but has the claim on its disk, and will vote under no older voter set. */
  public boolean noted;

  /**
   * With {@code noted}: has all its votes in the voter slot whose present holder names it as the
   * one before.
   */
  public boolean replaced;

  public VoterSet voterSet = new VoterSet();

  /** Whether the one that answers votes, as far as it knows. */
  public boolean voting;
}
