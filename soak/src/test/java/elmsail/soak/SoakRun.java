package elmsail.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import willowdoor.lab.fleet.Loopback;

/** One run from one seed: start, load under faults, recovery, final checks, stop. */
final class SoakRun {
  private static final long START_MS = 90_000;
  private static final long RECOVER_MS = 12_000;
  private static final long POLL_MS = 100;
  private static final long CALL_MS = 1_000;
  private static final long JOIN_MS = 10_000;

  /** Between signals beside outages, so that most gateways answer. */
  private static final int MAX_SIGNAL_PAUSE_MS = 5_000;

  private final SoakPlan plan;
  private final Path folder;
  private final SoakClock clock = new SoakClock();
  private final Findings findings = new Findings();
  private final FaultHistory faults = new FaultHistory();
  private volatile boolean loadOver;
  private String disturbanceSummary = "";
  private volatile boolean readsOver;

  private SoakRun(SoakPlan plan, Path folder) {
    this.plan = plan;
    this.folder = folder;
  }

  /** Plays the run; its folder is emptied before, and after it if nothing was broken. */
  static SoakOutcome play(SoakPlan plan) throws IOException {
    Path folder = Path.of(System.getProperty("soak.folder", "target/soak"), folderName(plan));
    return new SoakRun(plan, folder).play();
  }

  private static String folderName(SoakPlan plan) {
    String prefix = plan.disturbance() == SoakPlan.Disturbance.OUTAGES ? "outages-" : "";
    return prefix + plan.seed();
  }

  private SoakOutcome play() throws IOException {
    SoakFolder.empty(folder);
    String summary;
    List<String> stallTimes;
    int accepted;
    try (Loopback loopback = Loopback.claim();
        StallDetector stalls = new StallDetector(clock, faults)) {
      Topology topology = new Topology(loopback, plan.scale());
      BuildSelector builds = BuildSelector.ofSystemProperties(plan.seed(), topology.machines());
      try (SoakEnvironment environment = new SoakEnvironment(topology, findings, faults, clock);
          Cluster cluster =
              new Cluster(topology, folder, plan.seed(), builds, findings, faults, clock)) {
        runWorkload(environment, topology, cluster, stalls);
        scanLogs(cluster);
        summary = summary(environment, stalls) + builds.summary();
        accepted = environment.jobs.accepted().size();
        stallTimes = stalls.described();
      }
    }
    List<Violation> violations = findings.violations();
    SoakFolder.write(folder, "summary.txt", List.of(summary));
    SoakFolder.write(folder, "stalls.txt", stallTimes);
    SoakFolder.write(
        folder, "violations.txt", violations.stream().map(Violation::toString).toList());
    if (violations.isEmpty()) {
      SoakFolder.delete(folder);
    }
    return new SoakOutcome(plan.seed(), violations, accepted, summary, folder);
  }

  private void runWorkload(
      SoakEnvironment environment, Topology topology, Cluster cluster, StallDetector stalls)
      throws IOException {
    cluster.startAll();
    if (!started(environment)) {
      return;
    }
    List<Thread> threads = load(environment);
    disturb(environment, topology, cluster);
    long healed = clock.nowMs();
    loadOver = true;
    boolean back = pollUntil(healed + RECOVER_MS, () -> isServing(environment));
    checkRecovered(back, "not all answer " + RECOVER_MS + " ms after the last fault");
    FinalChecks checks = new FinalChecks(environment, findings, clock, stalls, plan.seed());
    checks.readUntilComplete(healed + Bounds.QUIET_MS);
    SoakClock.pause(healed + Bounds.REPAIR_MS - clock.nowMs());
    readsOver = true;
    join(threads);
    checks.readAgain();
    checks.exactFit();
    long now = clock.nowMs();
    environment.jobs.checkAtEnd(now);
    environment.quota.checkAtEnd();
    environment.requests.checkAtEnd(now);
  }

  private void disturb(SoakEnvironment environment, Topology topology, Cluster cluster)
      throws IOException {
    try (ProcessorQuota quota = new ProcessorQuota(cluster.names(), cluster::runningPids)) {
      disturbanceSummary =
          switch (plan.disturbance()) {
            case FAULTS -> injectFaults(topology, cluster);
            case OUTAGES -> injectOutages(environment, topology, cluster);
          };
      disturbanceSummary += quota.summary();
    }
  }

  private String injectFaults(Topology topology, Cluster cluster) throws IOException {
    List<Fault> schedule =
        FaultScheduleGenerator.generate(
            plan.seed(), 500, plan.loadMs(), topology.machines(), topology.nodes());
    SoakFolder.write(folder, "schedule.txt", schedule.stream().map(Fault::toString).toList());
    new FaultInjector(cluster, clock).run(schedule);
    return schedule.size() + " faults";
  }

  /** Outages of the stores, and meanwhile signals to the other processes. */
  private String injectOutages(SoakEnvironment environment, Topology topology, Cluster cluster)
      throws IOException {
    SignalInjector signals =
        new SignalInjector(
            topology,
            cluster.processes(),
            faults,
            (machine, atMs) -> {},
            clock,
            plan.seed(),
            MAX_SIGNAL_PAUSE_MS);
    OutageInjector outages =
        new OutageInjector(
            topology,
            cluster.processes(),
            faults,
            environment.jobs::acceptedCount,
            clock,
            plan.seed());
    CompletableFuture<Void> signalled =
        CompletableFuture.runAsync(
            () -> {
              try {
                signals.run(plan.loadMs());
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            });
    outages.run(plan.loadMs());
    signalled.join();
    return plan.scale()
        + ", "
        + outages.outages()
        + " outages of all stores, "
        + signals.signals()
        + " signals";
  }

  private boolean started(SoakEnvironment environment) {
    Operator operator = operator(environment, 0, () -> false);
    long deadlineMs = clock.nowMs() + START_MS;
    boolean taken = pollUntil(deadlineMs, () -> operator.change(0));
    checkRecovered(taken, "the first configuration was not taken");
    boolean up = taken && pollUntil(deadlineMs, () -> isServing(environment));
    checkRecovered(up, "not all answer after the start");
    return up;
  }

  /** Whether all gateways serve requests and jobs, and all nodes return the configuration. */
  private boolean isServing(SoakEnvironment environment) {
    for (String machine : environment.batch.machines()) {
      if (!ready(environment, machine)
          || environment.batch.read("none", machine, 0, false).status() != 404) {
        return false;
      }
    }
    Operator operator = operator(environment, 1, () -> false);
    for (String node : environment.controls.keySet()) {
      if (operator.read(node) < environment.configs.newest()) {
        return false;
      }
    }
    return true;
  }

  private static boolean ready(SoakEnvironment environment, String machine) {
    try {
      return new HttpCall(environment.ready.get(machine), "GET", "/ready").send(CALL_MS).status()
          == 200;
    } catch (IOException e) {
      return false;
    }
  }

  private Operator operator(SoakEnvironment environment, int number, BooleanSupplier over) {
    return new Operator(
        environment.configs, environment.controls, clock, plan.seed() + number, over);
  }

  private List<Thread> load(SoakEnvironment environment) {
    List<Runnable> parts = new ArrayList<>();
    long seed = plan.seed() * 1_000;
    for (BatchWorker.Profile habit : BatchWorker.Profile.values()) {
      for (int i = 0; i < plan.workers(habit); i++) {
        parts.add(
            new BatchWorker(
                environment.batch, habit, clock, seed++, () -> loadOver, () -> readsOver));
      }
    }
    for (int i = 0; i < plan.burstClients(); i++) {
      parts.add(
          new BurstClient(
              environment.batch,
              environment,
              clock,
              seed++,
              i % 2 == 1,
              () -> loadOver,
              () -> readsOver));
    }
    for (int i = 0; i < plan.requestClients(); i++) {
      parts.add(
          new RequestClient(
              environment.requests, environment.fronts, clock, seed++, () -> loadOver));
    }
    parts.add(operator(environment, 2, () -> loadOver));
    parts.add(operator(environment, 3, () -> loadOver));
    List<Thread> threads = new ArrayList<>();
    for (Runnable part : parts) {
      Thread thread = new Thread(part, "load-" + threads.size());
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
    return threads;
  }

  private void join(List<Thread> threads) {
    boolean all =
        pollUntil(clock.nowMs() + JOIN_MS, () -> threads.stream().noneMatch(Thread::isAlive));
    checkRecovered(all, "a client does not end");
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
        + disturbanceSummary
        + ", jobs "
        + environment.jobs.accepted().size()
        + " accepted of "
        + environment.jobs.size()
        + ", refused at each try "
        + environment.jobs.refusedAtEachTry()
        + ", requests "
        + environment.requests.served()
        + " served of "
        + environment.requests.size()
        + ", configurations "
        + environment.configs.acknowledgedCount()
        + ", stalls "
        + stalls.stalls()
        + " to "
        + stalls.longestMs()
        + " ms, "
        + clock.nowMs()
        + " ms; checks "
        + findings.checks();
  }
}
