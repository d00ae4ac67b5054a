package elmsail.controlplane;

import elmsail.runtime.Counters;

/** What a control-plane node counts; on the loop. */
final class ControlPlaneCounters {

  /** Pulls of other processes that were answered. */
  final Counters.Counter pullsAnswered;

  /** Pulls that were refused, as there is no contact with a majority of the voters. */
  final Counters.Counter pullsRefused;

  /** Operators' configuration orders that were acknowledged: 200. */
  final Counters.Counter changesCommitted;

  /** Orders that were refused, so that nothing of them was taken: 400, 412 and 503. */
  final Counters.Counter changesRejected;

  /** Orders of which it is unclear whether they were taken: 504. */
  final Counters.Counter changesOutcomeUnknown;

  /** Lists of servers that were read from the platform. */
  final Counters.Counter serverListReads;

  /** Calls for the list of servers that failed. */
  final Counters.Counter serverListFailures;

  /** Times that a process was told to join the voters of the stores. */
  final Counters.Counter joinsDirected;

  /** Takes its counters from those of the process. */
  ControlPlaneCounters(Counters counters) {
    pullsAnswered = counters.counter("control_pulls_answered");
    pullsRefused = counters.counter("control_pulls_no_contact");
    changesCommitted = counters.counter("control_orders_acknowledged");
    changesRejected = counters.counter("control_orders_refused");
    changesOutcomeUnknown = counters.counter("control_orders_unclear");
    serverListReads = counters.counter("control_lists_read");
    serverListFailures = counters.counter("control_lists_failed");
    joinsDirected = counters.counter("control_joins_directed");
  }

  /** Counts how an operator's order ended, by the status of its answer. */
  void countChange(int status) {
    switch (status) {
      case 200 -> changesCommitted.add(1);
      case 504 -> changesOutcomeUnknown.add(1);
      default -> changesRejected.add(1);
    }
  }
}
