package elmsail.rpc.messages;

import io.protostuff.Tag;

/** Reads one page of all records that a member of a voter set stores, in the order of names. */
public final class StateTransferRequest {
  /** The voter set, "head" or "shelf". */
  @Tag(1)
  public String set = "";

  /** The last name of the page before; empty for the first page. */
  @Tag(2)
  public String after = "";

  /** The size at which the page ends; one record may exceed it. */
  @Tag(3)
  public int maxBytes;

  /**
   * The voter set that the sender knows; a request under an older one than the receiver's is
   * rejected.
   */
  @Tag(4)
  public VoterSet voterSet = new VoterSet();

  /** Whether blobs are to be sent without their bytes. */
  @Tag(5)
  public boolean blobNamesOnly;

  /**
   * Also from a voter that knows that it is being replaced, while its successor does not vote yet.
   */
  @Tag(6)
  public boolean allowReplaced;
}
