package elmsail.rpc.messages;

import io.protostuff.Tag;

/** What was accepted last at a key; the value is left out if it was accepted at {@code known}. */
public final class ReadRequest {
  @Tag(1)
  public String set = "";

  @Tag(2)
  public String key = "";

  @Tag(3)
  public Ballot knownBallot = new Ballot();

  @Tag(4)
  public VoterSet voterSet = new VoterSet();

  /** Only the ballot is wanted, never the value. */
  @Tag(5)
  public boolean ballotOnly;
}
