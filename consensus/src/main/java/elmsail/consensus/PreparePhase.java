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
 * The prepare phase of one ballot. Sends the prepare request to all voters: directly, or through
 * the nearest voter ({@link PrepareRelay}) if the request carries large blobs. If the relay fails
 * or is late, the same request is also sent directly. This is safe because voters give a repeated
 * prepare request the same response as the first. Runs on the client's event loop.
 */
final class PreparePhase {
  /** Notified once for each voter whose slot counts (see {@link VoterSets#isCounted}). */
  interface VoteListener {
    /**
     * Called when the voter responded, or its call failed.
     *
     * @param vote null if the voter did not respond
     */
    void onVote(int slot, VoteResponse vote);

    /**
     * Called when a majority promised through the relay, and the relay's request to this voter is
     * still in flight.
     */
    void onPending(int slot);
  }

  /**
   * The prepare request is also sent directly if the relay has not responded after this time plus
   * the time that the bytes in flight take at {@link #MIN_BYTES_PER_MS}.
   */
  private static final long RELAY_WAIT_MS = 200;

  private static final long MIN_BYTES_PER_MS = 500;

  /**
   * The relay's timeout for its calls to the voters is shorter than a call's timeout by this time,
   * so that its response arrives in time.
   */
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
   * @param callTimeoutMs the timeout of a call to a voter
   * @param relayTimeoutMs the timeout of the call to a relay; longer than that of a voter, as the
   *     request may share a link of low bandwidth with others
   * @param isCurrent whether the prepare phase is still needed; if not, the request is not sent
   *     directly any more
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

  /**
   * Passes on the votes. A relay that received votes from less than a majority may be partitioned
   * itself, so the request is then sent directly to the other voters.
   */
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

  /** Passes on a vote. The slot number may come from a relay, so its range is checked. */
  private void onVote(int slot, VoteResponse vote) {
    if (slot >= 0 && slot < responded.length && !responded[slot]) {
      responded[slot] = true;
      listener.onVote(slot, vote);
    }
  }
}
