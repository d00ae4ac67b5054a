package elmsail.controlplane;

import elmsail.runtime.Counters;

/** The counters of the calls that the lease holder makes to the platform. Event loop only. */
final class DutyCounters {

  /** Calls that were sent. */
  final Counters.Counter calls;

  /** Calls that were refused since another holder has used a higher term: 409. */
  final Counters.Counter callsFenced;

  /** Calls that were refused for their rate: 429. */
  final Counters.Counter callsRateLimited;

  /** Calls without an answer, or with one that says nothing. */
  final Counters.Counter callsUnknown;

  /** Registers the counters with those of the process. */
  DutyCounters(Counters counters) {
    calls = counters.counter("control_duty_calls");
    callsFenced = counters.counter("control_duty_calls_fenced");
    callsRateLimited = counters.counter("control_duty_calls_rate_limited");
    callsUnknown = counters.counter("control_duty_calls_unclear");
  }
}
