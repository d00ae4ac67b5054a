package elmsail.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import willowdoor.lab.fleet.Loopback;

/** One run from one seed: start, load with troubles, quiet, checks, end. */
final class SoakRun {
  private static final long START_MS = 60_000;
  private static final long RECOVER_MS = 12_000;
  private static final long POLL_MS = 100;
  private static final long CALL_MS = 1_000;
  private static final long JOIN_MS = 10_000;

  private final SoakPlan plan;
  private final Path folder;
  private final SoakClock clock = new SoakClock();
  private final Findings findings = new Findings();
  private final TroubleLog troubles = new TroubleLog();
  private volatile boolean loadOver;
  private volatile boolean readsOver;

  private SoakRun(SoakPlan plan, Path folder) {
    this.plan = plan;
    this.folder = folder;
  }

  /** Plays the run; its folder is emptied before, and after it if nothing was broken. */
  static SoakOutcome play(SoakPlan plan) throws IOException {
    Path folder =
        Path.of(System.getProperty("soak.folder", "target/soak"), Long.toString(plan.seed()));
    return new SoakRun(plan, folder).play();
  }

  private SoakOutcome play() throws IOException {
    delete(folder);
    Files.createDirectories(folder);
    String summary;
    int accepted;
    try (Loopback loopback = Loopback.claim();
        StallWatch stalls = new StallWatch(clock, troubles)) {
      Topology topology = new Topology(loopback);
      List<Trouble> schedule =
          ScheduleDrawer.draw(
              plan.seed(), 500, plan.loadMs(), topology.machines(), topology.nodes());
      note("schedule.txt", schedule.stream().map(Trouble::toString).toList());
      try (StandIns standIns = new StandIns(topology, findings, troubles, clock);
          Cluster cluster = new Cluster(topology, folder, plan.seed(), findings, troubles, clock)) {
        live(standIns, cluster, schedule);
        scan(cluster);
        summary = summary(standIns, schedule, stalls);
        accepted = standIns.jobs.accepted().size();
      }
    }
    List<Violation> violations = findings.violations();
    note("summary.txt", List.of(summary));
    note("violations.txt", violations.stream().map(Violation::toString).toList());
    if (violations.isEmpty()) {
      delete(folder);
    }
    return new SoakOutcome(plan.seed(), violations, accepted, summary, folder);
  }

  private void live(StandIns standIns, Cluster cluster, List<Trouble> schedule) throws IOException {
    cluster.startAll();
    if (!started(standIns)) {
      return;
    }
    List<Thread> threads = load(standIns);
    new TroubleRunner(cluster, clock).run(schedule);
    long healed = clock.now();
    loadOver = true;
    boolean back = until(healed + RECOVER_MS, () -> answering(standIns));
    recovered(back, "not all answer " + RECOVER_MS + " ms after the last trouble");
    FinalChecks checks = new FinalChecks(standIns, findings, clock, plan.seed());
    checks.finish(healed + Bounds.QUIET_MS);
    readsOver = true;
    join(threads);
    checks.readAgain();
    checks.exactFit();
    long now = clock.now();
    standIns.jobs.close(now);
    standIns.quota.close();
    standIns.requests.close(now);
  }

  private boolean started(StandIns standIns) {
    Operator operator = operator(standIns, 0, () -> false);
    long until = clock.now() + START_MS;
    boolean taken = until(until, () -> operator.change(0));
    recovered(taken, "the first configuration was not taken");
    boolean up = taken && until(until, () -> answering(standIns));
    recovered(up, "not all answer after the start");
    return up;
  }

  /** Whether all gateways take requests and jobs, and all nodes tell the configuration. */
  private boolean answering(StandIns standIns) {
    Operator operator = operator(standIns, 1, () -> false);
    for (String machine : standIns.batch.machines()) {
      if (!ready(standIns, machine)
          || operator.read(machine) < standIns.configs.newest()
          || standIns.batch.read("none", machine, 0, false).status() != 404) {
        return false;
      }
    }
    return true;
  }

  private static boolean ready(StandIns standIns, String machine) {
    try {
      return new HttpCall(standIns.ready.get(machine), "GET", "/ready").send(CALL_MS).status()
          == 200;
    } catch (IOException e) {
      return false;
    }
  }

  private Operator operator(StandIns standIns, int number, BooleanSupplier over) {
    return new Operator(standIns.configs, standIns.controls, clock, plan.seed() + number, over);
  }

  private List<Thread> load(StandIns standIns) {
    List<Runnable> parts = new ArrayList<>();
    long seed = plan.seed() * 1_000;
    for (BatchWorker.Habit habit : BatchWorker.Habit.values()) {
      for (int i = 0; i < plan.workers(habit); i++) {
        parts.add(
            new BatchWorker(standIns.batch, habit, clock, seed++, () -> loadOver, () -> readsOver));
      }
    }
    for (int i = 0; i < plan.requestClients(); i++) {
      parts.add(
          new RequestClient(standIns.requests, standIns.fronts, clock, seed++, () -> loadOver));
    }
    parts.add(operator(standIns, 2, () -> loadOver));
    parts.add(operator(standIns, 3, () -> loadOver));
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
    boolean all = until(clock.now() + JOIN_MS, () -> threads.stream().noneMatch(Thread::isAlive));
    recovered(all, "a client does not end");
  }

  private boolean until(long atMs, BooleanSupplier condition) {
    while (!condition.getAsBoolean()) {
      if (clock.now() > atMs) {
        return false;
      }
      SoakClock.pause(POLL_MS);
    }
    return true;
  }

  private void recovered(boolean holds, String detail) {
    findings.check(Invariant.RECOVERED, holds, clock.now(), detail);
  }

  private void scan(Cluster cluster) throws IOException {
    for (Path log : cluster.logs()) {
      List<String> broken;
      try (Stream<String> lines = Files.lines(log, StandardCharsets.UTF_8)) {
        broken = lines.filter(LogScan::broken).limit(3).toList();
      }
      findings.check(
          Invariant.LOG_CLEAN, broken.isEmpty(), clock.now(), log.getFileName() + ": " + broken);
    }
  }

  private String summary(StandIns standIns, List<Trouble> schedule, StallWatch stalls) {
    return "seed "
        + plan.seed()
        + ": "
        + findings.violations().size()
        + " violations; "
        + schedule.size()
        + " troubles, jobs "
        + standIns.jobs.accepted().size()
        + " accepted of "
        + standIns.jobs.size()
        + ", requests "
        + standIns.requests.served()
        + " served of "
        + standIns.requests.size()
        + ", configurations "
        + standIns.configs.acknowledgedCount()
        + ", stalls "
        + stalls.stalls()
        + " to "
        + stalls.longestMs()
        + " ms, "
        + clock.now()
        + " ms; checks "
        + findings.checks();
  }

  private void note(String name, List<String> lines) throws IOException {
    Files.write(folder.resolve(name), lines);
  }

  private static void delete(Path folder) throws IOException {
    if (!Files.exists(folder)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
