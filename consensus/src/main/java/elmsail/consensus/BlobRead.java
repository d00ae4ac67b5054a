package elmsail.consensus;

import elmsail.rpc.messages.BlobRequest;
import elmsail.rpc.messages.BlobResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ErrorCode;

/**
 * One read of a blob. Requests the blob from the voters one after the other, the nearest voter
 * first. The next request is sent when a voter lacks the blob or fails, or when its response is
 * late (a hedged request). The first response with the blob is the result, as blobs never change.
 */
final class BlobRead extends QuorumOperation<byte[]> {
  /** After this time without a response, the blob is requested from the next voter as well. */
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
  void startAttempt(VoterSet voterSet) {
    new BlobAttempt(voterSet).requestNext();
  }

  /** One pass over all voters. */
  private final class BlobAttempt extends Attempt {
    private final int[] nearestFirst;
    private int requested;
    private int concluded;

    /** The number of voters that responded as voting and lack the blob. */
    private int missing;

    BlobAttempt(VoterSet voterSet) {
      super(voterSet);
      nearestFirst = client.slotsNearestFirst(voterSet);
    }

    void requestNext() {
      if (!isCurrent() || requested == voters) {
        return;
      }
      BlobRequest request = new BlobRequest();
      request.set = client.set();
      request.key = key;
      request.name = name;
      request.voterSet = voterSet;
      int slot = nearestFirst[requested++];
      if (!VoterSets.isCounted(voterSet, slot)) {
        onResponse(null);
        return;
      }
      int requestedSoFar = requested;
      call(slot, request, BlobResponse.class)
          .whenComplete((response, failure) -> onResponse(response));
      client.timers.schedule(
          HEDGE_DELAY_MS,
          () -> {
            if (requested == requestedSoFar) {
              requestNext();
            }
          });
    }

    /**
     * Handles the response of one voter.
     *
     * @param response null if the voter did not respond or its slot doesn't count
     */
    private void onResponse(BlobResponse response) {
      if (!isCurrent()) {
        if (response != null) {
          learnFromLateResponse(response.voterSet);
        }
        return;
      }
      concluded++;
      if (response != null && response.found) {
        complete(response.bytes);
        return;
      }
      if (response != null && retryUnderNewerVoterSet(response.voterSet)) {
        return;
      }
      if (response != null && response.voting && ++missing >= VoterSets.blockingSize(voters)) {
        complete(null);
      } else if (concluded == voters) {
        retryAfterBackoff();
      } else {
        requestNext();
      }
    }
  }
}
