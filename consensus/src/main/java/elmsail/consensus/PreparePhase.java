package elmsail.consensus;

import elmsail.rpc.messages.PrepareRequest;
import elmsail.rpc.messages.RelayedPrepareRequest;
import elmsail.rpc.messages.RelayedPrepareResponse;
import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Timers;
import java.util.function.BooleanSupplier;

/**
 * The prepare phase of one ballot: sends the prepare to all voters, directly or, if it carries
 * large blobs, through the nearest voter ({@link PrepareRelay}). If that voter fails or is late,
 * the same prepare is sent directly as well, which is safe as voters respond to a repeated prepare
 * as they did to the first. Runs on the client's event loop.
 */
final class PreparePhase {
  /** Is notified once for each voter whose slot counts. */
  interface VoteListener {
    /**
     * The voter responded, or failed to.
     *
     * @param vote null if the voter did not respond
     */
    void onVote(int slot, VoteResponse vote);

    /** A majority promised through the relay, and the prepare is on its way to this voter too. */
    void onPending(int slot);
  }

  /**
   * After this time, and that of the bytes at {@link #MIN_BYTES_PER_MS}, the prepare is sent
   * directly too.
   */
  private static final long RELAY_WAIT_MS = 200;

  private static final long MIN_BYTES_PER_MS = 500;

  /** By how much a relay's own timeout is shorter than a call's, so that its votes arrive. */
  private static final long RELAY_MARGIN_MS = 100;

  private final RegisterClient client;
  private final VoterSet voterSet;
  private final PrepareRequest request;
  private final long callTimeoutMs;
  private final long relayTimeoutMs;
  private final BooleanSupplier isCurrent;
  private final VoteListener listener;
  private final boolean[] responded;
  private boolean sentDirectly;

  /**
   * @param callTimeoutMs of a call to a voter
   * @param relayTimeoutMs of the call to a relay; longer, as it may share a narrow link with others
   * @param isCurrent whether the prepare still matters; if not, it is not sent directly any more
   */
  PreparePhase(
      RegisterClient client,
      VoterSet voterSet,
      PrepareRequest request,
      long callTimeoutMs,
      long relayTimeoutMs,
      BooleanSupplier isCurrent,
      VoteListener listener) {
    this.client = client;
    this.voterSet = voterSet;
    this.request = request;
    this.callTimeoutMs = callTimeoutMs;
    this.relayTimeoutMs = relayTimeoutMs;
    this.isCurrent = isCurrent;
    this.listener = listener;
    responded = new boolean[voterSet.voters.size()];
  }

  void send() {
    Voter relay =
        client.relaySelector.select(voterSet, client.slotsNearestFirst(voterSet), request.blobs);
    if (relay == null) {
      sendDirectly();
    } else {
      sendViaRelay(relay);
    }
  }

  private void sendViaRelay(Voter relay) {
    RelayedPrepareRequest relayed = new RelayedPrepareRequest();
    relayed.prepare = request;
    relayed.timeoutMs = Math.max(1, callTimeoutMs - RELAY_MARGIN_MS);
    long bytes = RelaySelector.totalBytes(request.blobs);
    long relayWaitMs =
        RELAY_WAIT_MS + client.relaySelector.onRelayStarted(bytes) / MIN_BYTES_PER_MS;
    Timers.Timer relayTimer = client.timers.schedule(relayWaitMs, () -> onRelayFailed(relay));
    client
        .rpcClient
        .call(relay.address, relayed, RelayedPrepareResponse.class, relayTimeoutMs)
        .whenComplete(
            (response, failure) -> {
              relayTimer.cancel();
              client.relaySelector.onRelayEnded(bytes);
              if (response == null) {
                onRelayFailed(relay);
              } else {
                onRelayResponse(relay, response);
              }
            });
  }

  private void onRelayFailed(Voter relay) {
    client.relaySelector.onRelayFailed(relay);
    sendDirectly();
  }

  /** A relay that got no majority of votes may be partitioned itself: sends to the others. */
  private void onRelayResponse(Voter relay, RelayedPrepareResponse response) {
    int voteCount = Math.min(response.slots.size(), response.votes.size());
    for (int i = 0; i < voteCount; i++) {
      onVote(response.slots.get(i), response.votes.get(i));
    }
    if (voteCount < VoterSets.majoritySize(responded.length)) {
      onRelayFailed(relay);
      return;
    }
    for (int slot = 0; slot < responded.length && !sentDirectly; slot++) {
      if (VoterSets.isCounted(voterSet, slot) && !responded[slot]) {
        responded[slot] = true;
        listener.onPending(slot);
      }
    }
  }

  private void sendDirectly() {
    if (sentDirectly || !isCurrent.getAsBoolean()) {
      return;
    }
    sentDirectly = true;
    for (int slot = 0; slot < responded.length; slot++) {
      if (VoterSets.isCounted(voterSet, slot) && !responded[slot]) {
        sendDirectly(slot);
      }
    }
  }

  private void sendDirectly(int slot) {
    client
        .rpcClient
        .call(voterSet.voters.get(slot).address, request, VoteResponse.class, callTimeoutMs)
        .whenComplete((vote, failure) -> onVote(slot, vote));
  }

  /** The slot may come from a relay, so it is checked. */
  private void onVote(int slot, VoteResponse vote) {
    if (slot >= 0 && slot < responded.length && !responded[slot]) {
      responded[slot] = true;
      listener.onVote(slot, vote);
    }
  }
}
