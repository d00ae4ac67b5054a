package elmsail.rpc.messages;

/** A seed's vote on the first voters of "head". */
public final class FoundingResponse {
  public boolean granted;

  /** The highest ballot promised. */
  public long promised;

  /** The ballot of the proposal accepted last; 0 if none was. */
  public long acceptedBallot;

  public VoterSet accepted = new VoterSet();
}
