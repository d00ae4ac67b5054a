package elmsail.rpc.messages;

import java.util.ArrayList;
import java.util.List;

/** Second round at a key; {@code next} asks for a promise of the round after it (round 0: none). */
public final class AcceptRequest {
  public String set = "";
  public String key = "";
  public Ballot ballot = new Ballot();
  public Ballot next = new Ballot();
  public byte[] value = {};
  public VoterSet voterSet = new VoterSet();
  public List<Blob> blobs = new ArrayList<>();
}
