package elmsail.rpc.messages;

import io.protostuff.Tag;

/** Reads what an acceptor has accepted last for one key. */
public final class ReadRequest {
  /** The voter set, "head" or "shelf". */
  @Tag(1)
  public String set = "";

  @Tag(2)
  public String key = "";

  /** The value is left out of the response if it was accepted under this ballot. */
  @Tag(3)
  public Ballot knownBallot = new Ballot();

  /**
   * The voter set that the sender knows; a request under an older one than the receiver's is
   * rejected.
   */
  @Tag(4)
  public VoterSet voterSet = new VoterSet();

  /** Whether only the ballot is wanted. */
  @Tag(5)
  public boolean ballotOnly;
}
