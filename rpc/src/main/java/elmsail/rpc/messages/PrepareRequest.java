package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/** Phase 1 of CASPaxos for one key: asks an acceptor to promise a ballot. */
public final class PrepareRequest {
  /** The voter set, "head" or "shelf". */
  @Tag(1)
  public String set = "";

  @Tag(2)
  public String key = "";

  /** The ballot to be promised. */
  @Tag(3)
  public Ballot ballot = new Ballot();

  /**
   * The voter set that the sender knows; a request under an older one than the receiver's is
   * rejected.
   */
  @Tag(4)
  public VoterSet voterSet = new VoterSet();

  /** Blobs to be stored beside the key, so that phase 2 need not carry them. */
  @Tag(5)
  public List<Blob> blobs = new ArrayList<>();

  /**
   * What the acceptor's side-effect handler needs before it promises, such as an amount to reserve;
   * null if nothing.
   */
  @Tag(6)
  public byte[] sideEffect;
}
