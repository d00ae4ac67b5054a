package elmsail.rpc.messages;

/** A blob kept beside a key. */
public final class BlobRequest {
  public String set = "";
  public String key = "";
  public String name = "";
  public VoterSet voterSet = new VoterSet();

  /** Also from one that knows to be replaced: its successor in the voter slot isn't voting. */
  public boolean ofReplaced;
}
