package elmsail.rpc.messages;

import java.util.ArrayList;
import java.util.List;

/** First round at a key. */
public final class PrepareRequest {
  public String set = "";
  public String key = "";
  public Ballot ballot = new Ballot();
  public VoterSet voterSet = new VoterSet();
  public List<Blob> blobs = new ArrayList<>();

  /**
   * What the keeper of the views needs to know before this is decided (waiting tokens): null or its
   * bytes.
   */
  public byte[] note;
}
