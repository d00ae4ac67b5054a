package elmsail.rpc.messages;

import io.protostuff.Tag;

/**
 * A new process, or a new instance of one, takes over a voter slot. Acknowledged once the take-over
 * is on the receiver's disk.
 */
public final class JoinRequest {
  /** The voter set, "head" or "shelf". */
  @Tag(1)
  public String set = "";

  /** Index of the slot in the voter set. */
  @Tag(2)
  public int slot;

  /** The new holder, with the epoch to take the slot over with. */
  @Tag(3)
  public Voter voter = new Voter();
}
