package elmsail.controlplane;

import elmsail.runtime.Counters;

/** Counters of the calls that the lease holder makes to the platform. Updated on the event loop. */
final class DutyCounters {

  /** Calls that were sent. */
  final Counters.Counter calls;

  /** Calls that the platform rejected with 409, because another holder has used a higher term. */
  final Counters.Counter callsFenced;

  /** Calls that the platform rejected with 429, because of their rate. */
  final Counters.Counter callsRateLimited;

  /** Calls without a response, or with a status that leaves the outcome unknown. */
  final Counters.Counter callsUnknown;

  /** Registers the counters with the process's counters. */
  DutyCounters(Counters counters) {
    calls = counters.counter("control_duty_calls");
    callsFenced = counters.counter("control_duty_calls_fenced");
    callsRateLimited = counters.counter("control_duty_calls_rate_limited");
    callsUnknown = counters.counter("control_duty_calls_unclear");
  }
}
