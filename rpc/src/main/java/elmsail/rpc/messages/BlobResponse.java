package elmsail.rpc.messages;

import io.protostuff.Tag;

/**
 * The blob, or that it is absent here. Absence counts only from a voter under the voter set of the
 * request.
 */
public final class BlobResponse {
  @Tag(1)
  public boolean found;

  @Tag(2)
  public byte[] bytes;

  @Tag(3)
  public boolean voting;

  /** Filled if it differs from the request's. */
  @Tag(4)
  public VoterSet voterSet = new VoterSet();
}
