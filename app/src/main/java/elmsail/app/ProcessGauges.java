package elmsail.app;

import elmsail.rpc.RpcEndpoint;
import elmsail.runtime.Counters;
import elmsail.runtime.LoopDelay;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.ProcessMetrics;

/** The metrics that every process exports, whatever its role. */
final class ProcessGauges {
  private static final int BYTES_PER_MEGABYTE = 1 << 20;

  private ProcessGauges() {}

  /** Creates the process's metrics. To be called once, on the loop. */
  static ProcessMetrics register(NettyEventLoop loop, RpcEndpoint rpc) {
    ProcessMetrics metrics = ProcessMetrics.logged(loop);
    Counters counters = metrics.counters();
    long startedAtMs = loop.now();
    counters.registerGauge("process_uptime_s", () -> (loop.now() - startedAtMs) / 1_000);
    counters.registerGauge("process_heap_used_mb", ProcessGauges::heapUsedMb);
    counters.registerCounter("loop_faults", loop::faultCount);
    LoopDelay.start(loop, counters);
    rpc.counters().registerWith(counters);
    return metrics;
  }

  private static long heapUsedMb() {
    Runtime runtime = Runtime.getRuntime();
    return (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MEGABYTE;
  }
}
