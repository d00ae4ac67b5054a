package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/** First round at a key. */
public final class PrepareRequest {
  @Tag(1)
  public String set = "";

  @Tag(2)
  public String key = "";

  @Tag(3)
  public Ballot ballot = new Ballot();

  @Tag(4)
  public VoterSet voterSet = new VoterSet();

  @Tag(5)
  public List<Blob> blobs = new ArrayList<>();

  /**
   * What the keeper of the views needs to know before this is decided (waiting tokens): null or its
   * bytes.
   */
  @Tag(6)
  public byte[] sideEffect;
}
