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
final class PrepareRound {
  /** Hears of each voter once. */
  interface VoteListener {
    /** The voter's answer; null where there is none. */
    void voted(int slot, VoteResponse vote);

    /** A majority has promised, and the round is on its way to this voter too. */
    void underWay(int slot);
  }

  /** A relay is waited for so long, and longer by the round's bytes at the slowest rate. */
  private static final long RELAY_MS = 200;

  private static final long SLOWEST_BYTES_PER_MS = 500;

  /** A relay gives up on the voters so long before its caller gives up on it. */
  private static final long RELAY_MARGIN_MS = 100;

  private final RegisterClient client;
  private final VoterSet voterSet;
  private final PrepareRequest request;
  private final long callMs;
  private final long relayMs;
  private final BooleanSupplier wanted;
  private final VoteListener listener;
  private final boolean[] answered;
  private boolean direct;
  private Timers.Timer overdue;

  /**
   * @param callMs for how long a voter that is asked directly is waited for
   * @param relayMs for how long a relay is, as its round may share a narrow link with others
   * @param wanted whether the round still matters; else it is not sent again
   */
  PrepareRound(
      RegisterClient client,
      VoterSet voterSet,
      PrepareRequest request,
      long callMs,
      long relayMs,
      BooleanSupplier wanted,
      VoteListener listener) {
    this.client = client;
    this.voterSet = voterSet;
    this.request = request;
    this.callMs = callMs;
    this.relayMs = relayMs;
    this.wanted = wanted;
    this.listener = listener;
    answered = new boolean[voterSet.voters.size()];
  }

  void send() {
    Voter relay = client.relays.choose(voterSet, client.nearestFirst(voterSet), request.blobs);
    if (relay == null) {
      sendDirectly();
    } else {
      sendThrough(relay);
    }
  }

  private void sendThrough(Voter relay) {
    RelayedPrepareRequest relayed = new RelayedPrepareRequest();
    relayed.prepare = request;
    relayed.timeoutMs = Math.max(1, callMs - RELAY_MARGIN_MS);
    long bytes = RelayChoice.bytes(request.blobs);
    long patience = RELAY_MS + client.relays.begun(bytes) / SLOWEST_BYTES_PER_MS;
    overdue = client.timers.schedule(patience, () -> relayFailed(relay));
    client
        .caller
        .call(relay.address, relayed, RelayedPrepareResponse.class, relayMs)
        .whenComplete(
            (response, failure) -> {
              overdue.cancel();
              client.relays.ended(bytes);
              if (response == null) {
                relayFailed(relay);
              } else {
                relayed(relay, response);
              }
            });
  }

  private void relayFailed(Voter relay) {
    client.relays.failed(relay);
    sendDirectly();
  }

  /** A relay that reached no majority may be cut off itself: the others are asked directly. */
  private void relayed(Voter relay, RelayedPrepareResponse response) {
    int heard = Math.min(response.slots.size(), response.votes.size());
    for (int i = 0; i < heard; i++) {
      voted(response.slots.get(i), response.votes.get(i));
    }
    if (heard < VoterSets.majority(answered.length)) {
      relayFailed(relay);
      return;
    }
    for (int slot = 0; slot < answered.length && !direct; slot++) {
      if (VoterSets.counts(voterSet, slot) && !answered[slot]) {
        answered[slot] = true;
        listener.underWay(slot);
      }
    }
  }

  private void sendDirectly() {
    if (direct || !wanted.getAsBoolean()) {
      return;
    }
    direct = true;
    for (int i = 0; i < answered.length; i++) {
      if (VoterSets.counts(voterSet, i) && !answered[i]) {
        int slot = i;
        client
            .caller
            .call(voterSet.voters.get(i).address, request, VoteResponse.class, callMs)
            .whenComplete((vote, failure) -> voted(slot, vote));
      }
    }
  }

  private void voted(int slot, VoteResponse vote) {
    if (slot >= 0 && slot < answered.length && !answered[slot]) {
      answered[slot] = true;
      listener.voted(slot, vote);
    }
  }
}
