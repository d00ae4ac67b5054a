package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/**
 * Phase 2 of CASPaxos for one key: asks an acceptor to accept a value under a ballot. It may ask at
 * the same time for a promise of a later ballot, so that the proposer's next change saves phase 1.
 */
public final class AcceptRequest {
  /** The voter set, "head" or "shelf". */
  @Tag(1)
  public String set = "";

  @Tag(2)
  public String key = "";

  /** The ballot under which the value is proposed. */
  @Tag(3)
  public Ballot ballot = new Ballot();

  /** The ballot to be promised with the acceptance; round 0 if none is asked for. */
  @Tag(4)
  public Ballot nextBallot = new Ballot();

  /** The proposed value; null commits that the key has none. */
  @Tag(5)
  public byte[] value;

  /**
   * The voter set that the sender knows; a request under an older one than the receiver's is
   * rejected.
   */
  @Tag(6)
  public VoterSet voterSet = new VoterSet();

  /** Blobs to be stored beside the key together with the value. */
  @Tag(7)
  public List<Blob> blobs = new ArrayList<>();
}
