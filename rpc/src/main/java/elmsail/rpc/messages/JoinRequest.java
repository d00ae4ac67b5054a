package elmsail.rpc.messages;

import io.protostuff.Tag;

/**
 * A new process, or a new instance of one, takes a voter slot: acknowledged only once it is on
 * disk.
 */
public final class JoinRequest {
  @Tag(1)
  public String set = "";

  @Tag(2)
  public int slot;

  @Tag(3)
  public Voter voter = new Voter();
}
