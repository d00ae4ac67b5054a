package elmsail.rpc.messages;

import io.protostuff.Tag;

/** Asks a voter for a blob of a key. */
public final class BlobRequest {
  @Tag(1)
  public String set = "";

  @Tag(2)
  public String key = "";

  @Tag(3)
  public String name = "";

  @Tag(4)
  public VoterSet voterSet = new VoterSet();

  /** Whether a voter responds that knows it was replaced: its successor does not vote yet. */
  @Tag(5)
  public boolean allowReplaced;
}
