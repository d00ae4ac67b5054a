package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.batch.messages.BatchMessageTypes;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.WaitingTokens;
import org.junit.jupiter.api.Test;

/**
 * Reservations and withdrawals of several attempts arrive at one store in the orders in which a
 * network may deliver them. A reservation that arrives after its withdrawal must not count.
 */
class WithdrawnReservationTest {
  private static final WaitingTokens.Reservation FIRST =
      new WaitingTokens.Reservation("r-lots", "job", 600, 1);
  private static final WaitingTokens.Reservation SECOND =
      new WaitingTokens.Reservation("r-lots", "job", 600, 2);

  private final SimBatchCluster cluster = new SimBatchCluster(1, 1, 1_000);
  private final SimJobStore store = cluster.stores.get(0);

  private void reserve(WaitingTokens.Reservation reservation) {
    store.service.onSideEffect(JobRecord.registerKey(reservation.jobId()), reservation.encode());
  }

  private void withdraw(WaitingTokens.Reservation reservation) {
    store.service.handle(
        BatchMessageTypes.message(BatchMessageTypes.WITHDRAW, reservation.encode()));
  }

  @Test
  void aWithdrawnReservationDoesNotCount() {
    reserve(FIRST);
    withdraw(FIRST);
    assertThat(SimBatchCluster.waitingTokens(store), is(0L));
  }

  @Test
  void aReservationThatArrivesAfterItsWithdrawalDoesNotCount() {
    reserve(FIRST);
    withdraw(FIRST);
    reserve(FIRST);
    assertThat(SimBatchCluster.waitingTokens(store), is(0L));
  }

  @Test
  void aWithdrawalLeavesTheReservationOfAnotherAttempt() {
    reserve(FIRST);
    reserve(SECOND);
    reserve(FIRST);
    withdraw(FIRST);
    assertThat(SimBatchCluster.waitingTokens(store), is(600L));
  }
}
