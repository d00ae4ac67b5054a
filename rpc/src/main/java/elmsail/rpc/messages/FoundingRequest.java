package elmsail.rpc.messages;

/**
 * A round of the seeds' single agreement on the first voters of "head": a promise is asked for, or
 * the acceptance of a proposal.
 */
public final class FoundingRequest {
  public long ballot;

  /** False: a promise is asked for. */
  public boolean accept;

  public VoterSet proposal = new VoterSet();
}
