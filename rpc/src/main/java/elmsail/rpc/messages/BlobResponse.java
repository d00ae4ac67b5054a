package elmsail.rpc.messages;

/**
 * The blob, or that there is none here; the latter counts only from a voter slot under the asker's
 * voter set.
 */
public final class BlobResponse {
  public boolean known;
  public byte[] bytes;
  public boolean voting;

  /** Filled where the asker's is another. */
  public VoterSet voterSet = new VoterSet();
}
