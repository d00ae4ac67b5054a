package elmsail.rpc.messages;

import io.protostuff.Tag;

/**
 * One phase of the seeds' single-decree agreement on the initial voters of "head": a prepare or an
 * accept.
 */
public final class FoundingRequest {
  @Tag(1)
  public long ballot;

  /** Whether this is an accept; otherwise a prepare. */
  @Tag(2)
  public boolean accept;

  @Tag(3)
  public VoterSet proposal = new VoterSet();
}
