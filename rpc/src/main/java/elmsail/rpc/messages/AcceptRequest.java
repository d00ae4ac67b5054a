package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/** Second round at a key; {@code next} asks for a promise of the round after it (round 0: none). */
public final class AcceptRequest {
  @Tag(1)
  public String set = "";

  @Tag(2)
  public String key = "";

  @Tag(3)
  public Ballot ballot = new Ballot();

  @Tag(4)
  public Ballot nextBallot = new Ballot();

  @Tag(5)
  public byte[] value = {};

  @Tag(6)
  public VoterSet voterSet = new VoterSet();

  @Tag(7)
  public List<Blob> blobs = new ArrayList<>();
}
