package elmsail.batch.api;

import elmsail.batch.client.BatchContext;
import elmsail.batch.messages.BatchMessageTypes;
import elmsail.batch.messages.WaitingTokens;
import elmsail.rpc.messages.Voter;
import java.util.ArrayList;
import java.util.List;

/**
 * Withdraws a reservation from all stores. Calls to stores that do not respond are retried a
 * limited number of times. At a store that none of the calls reaches, the reservation expires by
 * its time to live. Confined to the gateway's event loop.
 */
final class ReservationWithdrawal {
  private static final int MAX_ATTEMPTS = 4;
  private static final long RETRY_DELAY_MS = 400;
  private static final long RESPONSE_TIMEOUT_MS = 400;

  private final BatchContext context;
  private final WaitingTokens.Reservation reservation;

  ReservationWithdrawal(BatchContext context, WaitingTokens.Reservation reservation) {
    this.context = context;
    this.reservation = reservation;
  }

  /** Sends the withdrawal to all known stores. */
  void start() {
    send(context.stores(), MAX_ATTEMPTS);
  }

  private void send(List<Voter> stores, int attemptsLeft) {
    List<Voter> unanswered = new ArrayList<>();
    context.callEach(
        stores,
        BatchMessageTypes.message(BatchMessageTypes.WITHDRAW, reservation.encode()),
        RESPONSE_TIMEOUT_MS,
        response -> {
          if (!response.isPresent()) {
            unanswered.add(response.store());
          }
        },
        () -> {
          if (!unanswered.isEmpty() && attemptsLeft > 1) {
            context.timers().schedule(RETRY_DELAY_MS, () -> send(unanswered, attemptsLeft - 1));
          }
        });
  }
}
