package elmsail.rpc.messages;

import io.protostuff.Tag;

/** Reads one blob that is stored beside a key. */
public final class BlobRequest {
  /** The voter set, "head" or "shelf". */
  @Tag(1)
  public String set = "";

  @Tag(2)
  public String key = "";

  @Tag(3)
  public String name = "";

  /**
   * The voter set that the sender knows; a request under an older one than the receiver's is
   * rejected.
   */
  @Tag(4)
  public VoterSet voterSet = new VoterSet();

  /**
   * Also from a voter that knows that it is being replaced, while its successor does not vote yet.
   */
  @Tag(5)
  public boolean allowReplaced;
}
