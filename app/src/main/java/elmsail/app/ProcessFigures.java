package elmsail.app;

import elmsail.rpc.RpcEndpoint;
import elmsail.runtime.Counters;
import elmsail.runtime.LoopDelay;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.ProcessMetrics;

/** The figures that every process tells, whatever its role. */
final class ProcessFigures {
  private static final int MEGABYTE = 1 << 20;

  private ProcessFigures() {}

  /** Makes the process's metrics; called once, on the loop. */
  static ProcessMetrics start(NettyEventLoop loop, RpcEndpoint links) {
    ProcessMetrics metrics = ProcessMetrics.logged(loop);
    Counters counters = metrics.counters();
    long startedAt = loop.now();
    counters.registerGauge("process_uptime_s", () -> (loop.now() - startedAt) / 1_000);
    counters.registerGauge("process_heap_used_mb", ProcessFigures::heapUsedMb);
    counters.registerCounter("loop_faults", loop::faultCount);
    LoopDelay.start(loop, counters);
    links.counters().registerWith(counters);
    return metrics;
  }

  private static long heapUsedMb() {
    Runtime runtime = Runtime.getRuntime();
    return (runtime.totalMemory() - runtime.freeMemory()) / MEGABYTE;
  }
}
