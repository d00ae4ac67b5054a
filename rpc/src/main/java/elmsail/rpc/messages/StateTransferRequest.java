package elmsail.rpc.messages;

import io.protostuff.Tag;

/** A page of all that a set's member keeps, behind a name in order. */
public final class StateTransferRequest {
  @Tag(1)
  public String set = "";

  @Tag(2)
  public String after = "";

  @Tag(3)
  public int maxBytes;

  @Tag(4)
  public VoterSet voterSet = new VoterSet();

  /** Blobs' names without their bytes. */
  @Tag(5)
  public boolean blobNamesOnly;

  /** Also from one that knows to be replaced: its successor in the voter slot isn't voting. */
  @Tag(6)
  public boolean allowReplaced;
}
