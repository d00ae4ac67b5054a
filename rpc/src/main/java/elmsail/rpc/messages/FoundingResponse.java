package elmsail.rpc.messages;

import io.protostuff.Tag;

/** A seed's vote on the initial voters of "head". */
public final class FoundingResponse {
  /** Whether the promise was given or the proposal accepted. */
  @Tag(1)
  public boolean granted;

  /** The highest promised ballot. */
  @Tag(2)
  public long promisedBallot;

  /** The ballot of the last accepted proposal; 0 if there is none. */
  @Tag(3)
  public long acceptedBallot;

  /** The proposal accepted last; empty if none was. */
  @Tag(4)
  public VoterSet acceptedVoterSet = new VoterSet();
}
