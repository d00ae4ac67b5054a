package elmsail.batch.store;

import elmsail.runtime.Counters;

/** What a store counts of batch jobs; on the loop. */
public final class StoreCounters {

  /** Gateways' messages about jobs that were answered. */
  public final Counters.Counter messagesAnswered;

  /** Gateways' messages about jobs that were refused, as this process holds no vote. */
  public final Counters.Counter messagesNotAVoter;

  /** Gateways' messages about jobs that could not be read. */
  public final Counters.Counter messagesMalformed;

  /** Takes its counters from those of the process. */
  public StoreCounters(Counters counters) {
    messagesAnswered = counters.counter("store_batch_messages_answered");
    messagesNotAVoter = counters.counter("store_batch_messages_not_seated");
    messagesMalformed = counters.counter("store_batch_messages_garbled");
  }
}
