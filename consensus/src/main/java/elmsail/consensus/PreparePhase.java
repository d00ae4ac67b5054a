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
 * Sends one first round to all voters: directly, or, where it carries large blobs, through the
 * nearest voter. Where that voter fails, or has not answered in time, the same round goes directly
 * as well: voters answer a repeated promise as they did the first time.
 */
final class PreparePhase {
  /** Hears of each voter once. */
  interface VoteListener {
    /** The voter's answer; null where there is none. */
    void onVote(int slot, VoteResponse vote);

    /** A majority has promised, and the round is on its way to this voter too. */
    void onPending(int slot);
  }

  /** A relay is waited for so long, and longer by the round's bytes at the slowest rate. */
  private static final long RELAY_TIMEOUT_MS = 200;

  private static final long MIN_BYTES_PER_MS = 500;

  /** A relay gives up on the voters so long before its caller gives up on it. */
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
  private Timers.Timer relayTimer;

  /**
   * @param callTimeoutMs for how long a voter that is asked directly is waited for
   * @param relayTimeoutMs for how long a relay is, as its round may share a narrow link with others
   * @param isCurrent whether the round still matters; else it is not sent again
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
        RELAY_TIMEOUT_MS + client.relaySelector.onRelayStarted(bytes) / MIN_BYTES_PER_MS;
    relayTimer = client.timers.schedule(relayWaitMs, () -> onRelayFailed(relay));
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

  /** A relay that reached no majority may be cut off itself: the others are asked directly. */
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
    for (int i = 0; i < responded.length; i++) {
      if (VoterSets.isCounted(voterSet, i) && !responded[i]) {
        int slot = i;
        client
            .rpcClient
            .call(voterSet.voters.get(i).address, request, VoteResponse.class, callTimeoutMs)
            .whenComplete((vote, failure) -> onVote(slot, vote));
      }
    }
  }

  private void onVote(int slot, VoteResponse vote) {
    if (slot >= 0 && slot < responded.length && !responded[slot]) {
      responded[slot] = true;
      listener.onVote(slot, vote);
    }
  }
}
