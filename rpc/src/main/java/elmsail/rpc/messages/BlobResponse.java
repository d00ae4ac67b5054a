package elmsail.rpc.messages;

import io.protostuff.Tag;

/**
 * The blob, or that there is none here; the latter counts only from a voter slot under the asker's
 * voter set.
 */
public final class BlobResponse {
  @Tag(1)
  public boolean found;

  @Tag(2)
  public byte[] bytes;

  @Tag(3)
  public boolean voting;

  /** Filled where the asker's is another. */
  @Tag(4)
  public VoterSet voterSet = new VoterSet();
}
