package elmsail.controlplane;

import elmsail.runtime.Counters;

/** Counters of the usage reports. Updated on the event loop. */
final class UsageCounters {

  /** Usage reports that this node received from gateways. */
  final Counters.Counter reportsReceived;

  /** Windows whose counts this node has committed to the ledger. */
  final Counters.Counter windowsDecided;

  /** Windows whose report from this node the platform accepted. */
  final Counters.Counter windowsAccepted;

  /** Windows that this node skipped because they were too old to be reported. */
  final Counters.Counter windowsSkipped;

  /** Registers the counters with the process's counters. */
  UsageCounters(Counters counters) {
    reportsReceived = counters.counter("control_usage_reports_received");
    windowsDecided = counters.counter("control_usage_windows_decided");
    windowsAccepted = counters.counter("control_usage_windows_accepted");
    windowsSkipped = counters.counter("control_usage_windows_skipped");
  }
}
