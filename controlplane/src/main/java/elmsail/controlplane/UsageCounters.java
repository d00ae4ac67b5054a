package elmsail.controlplane;

import elmsail.runtime.Counters;

/** The counters of the reports of use. Updated on the event loop. */
final class UsageCounters {

  /** Reports that gateways sent to this node. */
  final Counters.Counter reportsReceived;

  /** Windows whose counts this node has decided. */
  final Counters.Counter windowsDecided;

  /** Windows that the platform has taken in from this node. */
  final Counters.Counter windowsAccepted;

  /** Windows that this node found too old to be reported. */
  final Counters.Counter windowsSkipped;

  /** Registers the counters with those of the process. */
  UsageCounters(Counters counters) {
    reportsReceived = counters.counter("control_usage_reports_received");
    windowsDecided = counters.counter("control_usage_windows_decided");
    windowsAccepted = counters.counter("control_usage_windows_accepted");
    windowsSkipped = counters.counter("control_usage_windows_skipped");
  }
}
