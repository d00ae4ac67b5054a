package elmsail.controlplane;

import elmsail.runtime.Counters;

/** What a control-plane node counts; on the loop. */
final class ControlPlaneCounters {

  /** Pulls of other processes that were answered. */
  final Counters.Counter pullsAnswered;

  /** Pulls that were refused, as there is no contact with a majority of the voters. */
  final Counters.Counter pullsNoContact;

  /** Operators' configuration orders that were acknowledged: 200. */
  final Counters.Counter ordersAcknowledged;

  /** Orders that were refused, so that nothing of them was taken: 400, 412 and 503. */
  final Counters.Counter ordersRefused;

  /** Orders of which it is unclear whether they were taken: 504. */
  final Counters.Counter ordersUnclear;

  /** Lists of servers that were read from the platform. */
  final Counters.Counter listsRead;

  /** Calls for the list of servers that failed. */
  final Counters.Counter listsFailed;

  /** Times that a process was told to join the voters of the stores. */
  final Counters.Counter joinsDirected;

  /** Takes its counters from those of the process. */
  ControlPlaneCounters(Counters counters) {
    pullsAnswered = counters.counter("control_pulls_answered");
    pullsNoContact = counters.counter("control_pulls_no_contact");
    ordersAcknowledged = counters.counter("control_orders_acknowledged");
    ordersRefused = counters.counter("control_orders_refused");
    ordersUnclear = counters.counter("control_orders_unclear");
    listsRead = counters.counter("control_lists_read");
    listsFailed = counters.counter("control_lists_failed");
    joinsDirected = counters.counter("control_joins_directed");
  }

  /** Counts how an operator's order ended, by the status of its answer. */
  void orderEnded(int status) {
    switch (status) {
      case 200 -> ordersAcknowledged.add(1);
      case 504 -> ordersUnclear.add(1);
      default -> ordersRefused.add(1);
    }
  }
}
