package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/** Asks a voter for the promise of a ballot at a key: the first phase of a ballot. */
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
   * A side effect for the voter's listener, applied with the promise and before the value is
   * committed (the reservation of waiting tokens); null if there is none.
   */
  @Tag(6)
  public byte[] sideEffect;
}
