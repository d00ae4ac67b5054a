package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/**
 * Asks a voter to accept a value at a key: the second phase of a ballot. With {@link #nextBallot}
 * it also asks for the promise of the proposer's next ballot (round 0: none), which saves the
 * prepare phase of the proposer's next change.
 */
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
