package elmsail.rpc.messages;

import io.protostuff.Tag;

/** Asks a replica for one page of its records, in the order of their names, after a name. */
public final class StateTransferRequest {
  @Tag(1)
  public String set = "";

  @Tag(2)
  public String after = "";

  @Tag(3)
  public int maxBytes;

  @Tag(4)
  public VoterSet voterSet = new VoterSet();

  /** Whether blobs are listed by name, without their bytes. */
  @Tag(5)
  public boolean blobNamesOnly;

  /** Whether a replica responds that knows it was replaced: its successor does not vote yet. */
  @Tag(6)
  public boolean allowReplaced;
}
