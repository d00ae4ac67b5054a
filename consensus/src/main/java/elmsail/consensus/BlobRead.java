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
  private static final long HEDGE_DELAY_MS = 250;

  private final String name;

  BlobRead(RegisterClient client, String key, String name, long timeoutMs) {
    super(client, key, timeoutMs);
    this.name = name;
  }

  @Override
  ErrorCode timeoutErrorCode() {
    return ErrorCode.NO_QUORUM;
  }

  @Override
  void attempt(VoterSet voterSet) {
    new Attempt(voterSet).requestNext();
  }

  private final class Attempt {
    private final int attemptNumber = attemptNumber();
    private final VoterSet voterSet;
    private final int[] nearestFirst;
    private int requested;
    private int answered;
    private int missing;

    Attempt(VoterSet voterSet) {
      this.voterSet = voterSet;
      nearestFirst = client.slotsNearestFirst(voterSet);
    }

    void requestNext() {
      if (!isCurrent(attemptNumber) || requested == nearestFirst.length) {
        return;
      }
      BlobRequest request = new BlobRequest();
      request.set = client.set();
      request.key = key;
      request.name = name;
      request.voterSet = voterSet;
      int slot = nearestFirst[requested++];
      if (!VoterSets.isCounted(voterSet, slot)) {
        answered(null);
        return;
      }
      int requestedSoFar = requested;
      client
          .rpcClient
          .call(voterSet.voters.get(slot).address, request, BlobResponse.class, callTimeoutMs())
          .whenComplete((response, failure) -> answered(response));
      client.timers.schedule(
          HEDGE_DELAY_MS,
          () -> {
            if (requested == requestedSoFar) {
              requestNext();
            }
          });
    }

    private void answered(BlobResponse response) {
      if (!isCurrent(attemptNumber)) {
        if (response != null) {
          learnFromLateResponse(response.voterSet);
        }
        return;
      }
      answered++;
      if (response != null && response.found) {
        complete(response.bytes);
        return;
      }
      if (response != null && retryUnderNewerVoterSet(voterSet, response.voterSet)) {
        return;
      }
      if (response != null
          && response.voting
          && ++missing >= VoterSets.blockingSize(nearestFirst.length)) {
        complete(null);
      } else if (answered == nearestFirst.length) {
        retryAfterBackoff();
      } else {
        requestNext();
      }
    }
  }
}
