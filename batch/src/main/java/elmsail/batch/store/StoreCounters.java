package elmsail.batch.store;

import elmsail.runtime.Counters;

/** The counters of a job store. Confined to the store's event loop. */
public final class StoreCounters {
  /** Messages of gateways that the store has answered. */
  public final Counters.Counter messagesAnswered;

  /** Messages of gateways that were rejected because this process was not a voter. */
  public final Counters.Counter messagesNotAVoter;

  /** Messages of gateways that could not be decoded. */
  public final Counters.Counter messagesMalformed;

  /** Registers the counters with the counters of the process. */
  public StoreCounters(Counters counters) {
    messagesAnswered = counters.counter("store_batch_messages_answered");
    messagesNotAVoter = counters.counter("store_batch_messages_not_seated");
    messagesMalformed = counters.counter("store_batch_messages_garbled");
  }
}
