package elmsail.rpc.messages;

import io.protostuff.Tag;

/** A seed's vote on the first voters of "head". */
public final class FoundingResponse {
  @Tag(1)
  public boolean granted;

  /** The highest ballot promised. */
  @Tag(2)
  public long promisedBallot;

  /** The ballot of the proposal accepted last; 0 if none was. */
  @Tag(3)
  public long acceptedBallot;

  @Tag(4)
  public VoterSet acceptedVoterSet = new VoterSet();
}
