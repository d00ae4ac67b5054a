package elmsail.soak;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import willowdoor.lab.fleet.Loopback;

/**
 * One run from one seed: operators change the configuration while processes are signalled, and each
 * gateway has clients that keep their connections and show which version is in force there.
 */
final class ConfigSoakRun {
  private static final long START_MS = 90_000;
  private static final long RECOVER_MS = 12_000;
  private static final long POLL_MS = 100;
  private static final long CALL_MS = 1_000;
  private static final long JOIN_MS = 15_000;
  private static final int MAX_SIGNAL_PAUSE_MS = 1_200;

  private final ConfigSoakPlan plan;
  private final Path folder;
  private final SoakClock clock = new SoakClock();
  private final Findings findings = new Findings();
  private final FaultHistory faults = new FaultHistory();
  private final ProbeHistoryChecker probes = new ProbeHistoryChecker(findings, faults);
  private volatile boolean loadOver;
  private int signals;
  private String quotaSummary = "";

  private ConfigSoakRun(ConfigSoakPlan plan, Path folder) {
    this.plan = plan;
    this.folder = folder;
  }

  /** Plays the run; its folder is emptied before, and after it if nothing was broken. */
  static SoakOutcome play(ConfigSoakPlan plan) throws IOException {
    Path folder =
        Path.of(System.getProperty("soak.folder", "target/soak"), "config-" + plan.seed());
    return new ConfigSoakRun(plan, folder).play();
  }

  private SoakOutcome play() throws IOException {
    SoakFolder.empty(folder);
    String summary;
    try (Loopback loopback = Loopback.claim();
        StallDetector stalls = new StallDetector(clock, faults)) {
      Topology topology = new Topology(loopback, plan.scale());
      BuildSelector builds = BuildSelector.ofSystemProperties(plan.seed(), topology.machines());
      try (SoakEnvironment environment = new SoakEnvironment(topology, findings, faults, clock);
          Cluster cluster =
              new Cluster(topology, folder, plan.seed(), builds, findings, faults, clock)) {
        runWorkload(environment, topology, cluster);
        scanLogs(cluster);
        summary = summary(environment, stalls);
      }
    }
    List<Violation> violations = findings.violations();
    SoakFolder.write(folder, "summary.txt", List.of(summary));
    SoakFolder.write(
        folder, "violations.txt", violations.stream().map(Violation::toString).toList());
    if (violations.isEmpty()) {
      SoakFolder.delete(folder);
    }
    return new SoakOutcome(plan.seed(), violations, probes.probeCount(), summary, folder);
  }

  private void runWorkload(SoakEnvironment environment, Topology topology, Cluster cluster)
      throws IOException {
    cluster.startAll();
    if (!isStarted(environment)) {
      return;
    }
    List<Thread> threads = startLoad(environment);
    SignalInjector injector =
        new SignalInjector(
            topology,
            cluster.processes(),
            faults,
            probes::onStart,
            clock,
            plan.seed(),
            MAX_SIGNAL_PAUSE_MS);
    try (ProcessorQuota quota = new ProcessorQuota(cluster.names(), cluster::runningPids)) {
      injector.run(plan.loadMs());
      quotaSummary = quota.summary();
    }
    signals = injector.signals();
    long quietSinceMs = clock.nowMs();
    boolean recovered = pollUntil(quietSinceMs + RECOVER_MS, () -> isServing(environment));
    checkRecovered(recovered, "not all serve " + RECOVER_MS + " ms after the last signal");
    SoakClock.pause(Bounds.IN_TOUCH_MS + Bounds.IN_FORCE_MS);
    loadOver = true;
    boolean joined =
        pollUntil(clock.nowMs() + JOIN_MS, () -> threads.stream().noneMatch(Thread::isAlive));
    checkRecovered(joined, "a client does not end");
    readAtEnd(environment);
    probes.checkAtEnd();
  }

  private boolean isStarted(SoakEnvironment environment) {
    ConfigOperator operator = operator(environment, 0);
    long deadlineMs = clock.nowMs() + START_MS;
    boolean taken = pollUntil(deadlineMs, () -> operator.change(0, List.of()));
    checkRecovered(taken, "the first configuration was not taken");
    boolean serving = taken && pollUntil(deadlineMs, () -> isServing(environment));
    checkRecovered(serving, "not all serve after the start");
    return serving;
  }

  private boolean isServing(SoakEnvironment environment) {
    for (String machine : environment.batch.machines()) {
      if (!isReady(environment, machine)) {
        return false;
      }
    }
    return true;
  }

  private static boolean isReady(SoakEnvironment environment, String machine) {
    try {
      HttpCall call = new HttpCall(environment.ready.get(machine), "GET", "/ready");
      return call.send(CALL_MS).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  private ConfigOperator operator(SoakEnvironment environment, int number) {
    return new ConfigOperator(
        environment.configs,
        probes,
        environment.controls,
        plan.idleRoutes(),
        clock,
        plan.seed() * 100 + number,
        () -> loadOver);
  }

  private List<Thread> startLoad(SoakEnvironment environment) {
    List<Runnable> clients = new ArrayList<>();
    for (int i = 1; i <= plan.operators(); i++) {
      clients.add(operator(environment, i));
    }
    long seed = plan.seed() * 1_000;
    for (Map.Entry<String, InetSocketAddress> front : environment.clients.entrySet()) {
      clients.add(
          new ProbeClient(probes, front.getKey(), front.getValue(), clock, seed++, () -> loadOver));
      clients.add(
          new HangingClient(
              probes, front.getKey(), front.getValue(), clock, seed++, () -> loadOver));
    }
    List<Thread> threads = new ArrayList<>();
    for (Runnable client : clients) {
      Thread thread = new Thread(client, "load-" + threads.size());
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
    return threads;
  }

  /** Each control-plane node returns the newest acknowledged configuration, or a newer one. */
  private void readAtEnd(SoakEnvironment environment) {
    ConfigOperator operator = operator(environment, plan.operators() + 1);
    for (String node : environment.controls.keySet()) {
      boolean current =
          pollUntil(
              clock.nowMs() + Bounds.IN_TOUCH_MS,
              () -> {
                JsonNode config = operator.read(node);
                return config != null
                    && config.path("edition").asLong() >= environment.configs.newest();
              });
      findings.check(
          Invariant.CONFIG_KEPT,
          current,
          clock.nowMs(),
          node + " does not return " + environment.configs.newest() + " at the end");
    }
  }

  private boolean pollUntil(long atMs, BooleanSupplier condition) {
    while (!condition.getAsBoolean()) {
      if (clock.nowMs() > atMs) {
        return false;
      }
      SoakClock.pause(POLL_MS);
    }
    return true;
  }

  private void checkRecovered(boolean holds, String detail) {
    findings.check(Invariant.RECOVERED, holds, clock.nowMs(), detail);
  }

  private void scanLogs(Cluster cluster) throws IOException {
    for (Path log : cluster.logs()) {
      LogScan.check(log, findings, clock.nowMs());
    }
  }

  private String summary(SoakEnvironment environment, StallDetector stalls) {
    return "seed "
        + plan.seed()
        + ": "
        + findings.violations().size()
        + " violations; "
        + plan.scale()
        + ", signals "
        + signals
        + ", configurations "
        + environment.configs.acknowledgedCount()
        + ", probes "
        + probes.probeCount()
        + ", hanging requests "
        + probes.hangingCount()
        + ", stalls "
        + stalls.stalls()
        + " to "
        + stalls.longestMs()
        + " ms, "
        + clock.nowMs()
        + " ms; checks "
        + findings.checks()
        + quotaSummary;
  }
}
