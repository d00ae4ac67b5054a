package elmsail.consensus;

import elmsail.rpc.messages.BlobRequest;
import elmsail.rpc.messages.BlobResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ErrorCode;

/**
 * A blob from the nearest voter slot that has it; each next one is asked once the one before has
 * none.
 */
final class BlobRead extends QuorumOperation<byte[]> {
  /** A voter slot that is silent for so long is passed over, and its answer still taken. */
  private static final long NEXT_AFTER_MS = 250;

  private final String name;

  BlobRead(RegisterClient client, String key, String name, long timeoutMs) {
    super(client, key, timeoutMs);
    this.name = name;
  }

  @Override
  ErrorCode codeIfOver() {
    return ErrorCode.NO_QUORUM;
  }

  @Override
  void attempt(VoterSet voterSet) {
    new Attempt(voterSet).next();
  }

  private final class Attempt {
    private final int number = number();
    private final VoterSet voterSet;
    private final int[] order;
    private int asked;
    private int answered;
    private int without;

    Attempt(VoterSet voterSet) {
      this.voterSet = voterSet;
      order = client.nearestFirst(voterSet);
    }

    void next() {
      if (!current(number) || asked == order.length) {
        return;
      }
      BlobRequest request = new BlobRequest();
      request.set = client.set();
      request.key = key;
      request.name = name;
      request.voterSet = voterSet;
      int slot = order[asked++];
      if (!VoterSets.counts(voterSet, slot)) {
        answered(null);
        return;
      }
      int atMost = asked;
      client
          .caller
          .call(voterSet.voters.get(slot).address, request, BlobResponse.class, callMs())
          .whenComplete((response, failure) -> answered(response));
      client.timers.schedule(
          NEXT_AFTER_MS,
          () -> {
            if (asked == atMost) {
              next();
            }
          });
    }

    private void answered(BlobResponse response) {
      if (!current(number)) {
        if (response != null) {
          late(response.voterSet);
        }
        return;
      }
      answered++;
      if (response != null && response.found) {
        done(response.bytes);
        return;
      }
      if (response != null && renewed(voterSet, response.voterSet)) {
        return;
      }
      if (response != null && response.voting && ++without >= VoterSets.blocking(order.length)) {
        done(null);
      } else if (answered == order.length) {
        backOff();
      } else {
        next();
      }
    }
  }
}
