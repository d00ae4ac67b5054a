package elmsail.rpc.messages;

import io.protostuff.Tag;

/**
 * Claims a voter slot for a new process, or for a new instance of a process that lost its disk.
 * Acknowledged only once the claim is on the receiver's disk.
 */
public final class JoinRequest {
  @Tag(1)
  public String set = "";

  @Tag(2)
  public int slot;

  @Tag(3)
  public Voter voter = new Voter();
}
