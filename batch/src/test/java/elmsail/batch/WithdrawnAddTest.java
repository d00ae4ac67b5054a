package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.batch.messages.BatchMessageTypes;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.TokenCount;
import org.junit.jupiter.api.Test;

/** Adds of several tries at one store, in the orders that a network may bring them in. */
class WithdrawnAddTest {
  private static final TokenCount.Add ONE = new TokenCount.Add("r-lots", "job", 600, 1);
  private static final TokenCount.Add OTHER = new TokenCount.Add("r-lots", "job", 600, 2);

  private final SimWorld world = new SimWorld(1, 1, 1_000);
  private final SimJobStore store = world.stores.get(0);

  private void add(TokenCount.Add add) {
    store.views.onSideEffect(JobRecord.keyOf(add.job()), add.packed());
  }

  private void withdraw(TokenCount.Add add) {
    store.views.answer(BatchMessageTypes.message(BatchMessageTypes.WITHDRAW, add.packed()));
  }

  @Test
  void aWithdrawnAddIsGone() {
    add(ONE);
    withdraw(ONE);
    assertThat(SimWorld.waiting(store), is(0L));
  }

  @Test
  void aRoundThatComesBehindTheWithdrawalOfItsTryAddsNothing() {
    add(ONE);
    withdraw(ONE);
    add(ONE);
    assertThat(SimWorld.waiting(store), is(0L));
  }

  @Test
  void aWithdrawalTakesBackNoOtherTrysAdd() {
    add(ONE);
    add(OTHER);
    add(ONE);
    withdraw(ONE);
    assertThat(SimWorld.waiting(store), is(600L));
  }
}
