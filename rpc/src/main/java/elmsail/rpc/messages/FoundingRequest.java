package elmsail.rpc.messages;

import io.protostuff.Tag;

/**
 * One phase of the single agreement by which the seeds choose the first voters of "head": asks for
 * a promise, or for the acceptance of a proposal.
 */
public final class FoundingRequest {
  @Tag(1)
  public long ballot;

  /** Whether {@link #proposal} is to be accepted; otherwise a promise is asked for. */
  @Tag(2)
  public boolean accept;

  /** The proposed voters; empty if a promise is asked for. */
  @Tag(3)
  public VoterSet proposal = new VoterSet();
}
