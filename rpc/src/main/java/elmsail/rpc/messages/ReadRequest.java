package elmsail.rpc.messages;

import io.protostuff.Tag;

/**
 * Asks a voter for the last accepted value of a key. The value is omitted if it was accepted at
 * {@link #knownBallot}.
 */
public final class ReadRequest {
  @Tag(1)
  public String set = "";

  @Tag(2)
  public String key = "";

  @Tag(3)
  public Ballot knownBallot = new Ballot();

  @Tag(4)
  public VoterSet voterSet = new VoterSet();

  /** Whether the value is omitted in any case. */
  @Tag(5)
  public boolean ballotOnly;
}
