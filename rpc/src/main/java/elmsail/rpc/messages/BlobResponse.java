package elmsail.rpc.messages;

import io.protostuff.Tag;

/**
 * The blob, or that this voter has none. That it has none counts only if it is a voter under the
 * requester's voter set.
 */
public final class BlobResponse {
  /** Whether the blob is stored here. */
  @Tag(1)
  public boolean found;

  /** The blob; null if not found. */
  @Tag(2)
  public byte[] bytes;

  /** Whether the responder votes. */
  @Tag(3)
  public boolean voting;

  /** The responder's voter set if it differs from the requester's; else empty. */
  @Tag(4)
  public VoterSet voterSet = new VoterSet();
}
