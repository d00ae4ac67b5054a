package elmsail.rpc.messages;

import io.protostuff.Tag;

/** A blob kept beside a key. */
public final class BlobRequest {
  @Tag(1)
  public String set = "";

  @Tag(2)
  public String key = "";

  @Tag(3)
  public String name = "";

  @Tag(4)
  public VoterSet voterSet = new VoterSet();

  /** Also from one that knows to be replaced: its successor in the voter slot isn't voting. */
  @Tag(5)
  public boolean allowReplaced;
}
