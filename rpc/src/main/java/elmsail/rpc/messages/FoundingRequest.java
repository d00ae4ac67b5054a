package elmsail.rpc.messages;

import io.protostuff.Tag;

/**
 * A round of the seeds' single agreement on the first voters of "head": a promise is asked for, or
 * the acceptance of a proposal.
 */
public final class FoundingRequest {
  @Tag(1)
  public long ballot;

  /** False: a promise is asked for. */
  @Tag(2)
  public boolean accept;

  @Tag(3)
  public VoterSet proposal = new VoterSet();
}
