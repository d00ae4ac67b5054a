package elmsail.consensus;

import elmsail.rpc.messages.AcceptRequest;
import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.List;

/**
 * Sends the accept request of one ballot once to each voter. A voter stores a value only together
 * with all its blobs, so the accept request carries the blobs of the prepare phase to the voters
 * that did not receive them in that phase.
 */
final class AcceptPhase {
  /** Sends an accept to the voter of a slot. */
  interface Sender {
    void send(int slot, AcceptRequest request);
  }

  private final AcceptRequest request;
  private final List<Blob> prepareBlobs;
  private final List<Blob> valueBlobs;
  private final Sender sender;
  private final boolean[] sent;

  /**
   * @param request without blobs
   * @param prepareBlobs the blobs that were sent with the prepare phase
   * @param valueBlobs the blobs of the value, which no voter has yet
   */
  AcceptPhase(
      VoterSet voterSet,
      AcceptRequest request,
      List<Blob> prepareBlobs,
      List<Blob> valueBlobs,
      Sender sender) {
    this.request = request;
    this.prepareBlobs = prepareBlobs;
    this.valueBlobs = valueBlobs;
    this.sender = sender;
    sent = new boolean[voterSet.voters.size()];
    for (int slot = 0; slot < sent.length; slot++) {
      sent[slot] = !VoterSets.isCounted(voterSet, slot);
    }
  }

  /** The accept request as sent, without its blobs. */
  AcceptRequest request() {
    return request;
  }

  /**
   * Sends the accept request to a voter, unless the request was sent before or the slot doesn't
   * count (see {@link VoterSets#isCounted}).
   *
   * @param hasPrepareBlobs whether the voter received the blobs of the prepare phase
   */
  void send(int slot, boolean hasPrepareBlobs) {
    if (sent[slot]) {
      return;
    }
    sent[slot] = true;
    sender.send(slot, withBlobs(hasPrepareBlobs ? valueBlobs : allBlobs()));
  }

  private List<Blob> allBlobs() {
    if (prepareBlobs.isEmpty()) {
      return valueBlobs;
    }
    List<Blob> all = new ArrayList<>(prepareBlobs);
    all.addAll(valueBlobs);
    return all;
  }

  private AcceptRequest withBlobs(List<Blob> blobs) {
    if (blobs.isEmpty()) {
      return request;
    }
    AcceptRequest copy = new AcceptRequest();
    copy.set = request.set;
    copy.key = request.key;
    copy.ballot = request.ballot;
    copy.nextBallot = request.nextBallot;
    copy.value = request.value;
    copy.voterSet = request.voterSet;
    copy.blobs = blobs;
    return copy;
  }
}
