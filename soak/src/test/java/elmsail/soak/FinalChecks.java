package elmsail.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The checks after the last fault: everything is read again at every node. */
final class FinalChecks {
  private static final long READ_TIMEOUT_MS = 6_000;
  private static final long POLL_MS = 150;
  private static final int EXACT_ITEMS = 10;
  private static final int OK = 200;

  private final SoakEnvironment environment;
  private final Findings findings;
  private final SoakClock clock;
  private final StallDetector stalls;
  private final Random random;
  private final long seed;

  FinalChecks(
      SoakEnvironment environment,
      Findings findings,
      SoakClock clock,
      StallDetector stalls,
      long seed) {
    this.environment = environment;
    this.findings = findings;
    this.clock = clock;
    this.stalls = stalls;
    this.random = new Random(seed);
    this.seed = seed;
  }

  /** Reads until all results of all accepted jobs are listed, or the deadline has passed. */
  void readUntilComplete(long untilMs) {
    for (SubmittedJob job : environment.jobs.accepted()) {
      while (!environment.batch.complete(job) && clock.nowMs() < untilMs) {
        readAll(job, environment.batch.anyMachine(random));
        SoakClock.pause(POLL_MS);
      }
    }
  }

  /** Reads each accepted job from its start at each gateway, and the configuration at each node. */
  void readAgain() {
    for (SubmittedJob job : environment.jobs.accepted()) {
      for (String machine : environment.batch.machines()) {
        checkReadInTime(readAll(job, machine), "job " + job.id() + " at " + machine);
      }
    }
    Operator operator =
        new Operator(environment.configs, environment.controls, clock, seed, () -> false);
    for (String node : environment.controls.keySet()) {
      TimeLimit limit = limit(READ_TIMEOUT_MS);
      long version = operator.read(node);
      while (version < environment.configs.newest() && !limit.isOver()) {
        SoakClock.pause(POLL_MS);
        version = operator.read(node);
      }
      findings.check(
          Invariant.CONFIG_KEPT,
          version >= environment.configs.newest(),
          clock.nowMs(),
          node + " reads " + version + " at the end, not " + environment.configs.newest());
    }
  }

  /** Reads all pages; returns false if a gateway does not respond in time. */
  private boolean readAll(SubmittedJob job, String machine) {
    TimeLimit limit = limit(READ_TIMEOUT_MS);
    int after = 0;
    while (!limit.isOver()) {
      JobRead read = environment.batch.read(job.id(), machine, after, false);
      if (read.status() == OK && read.deliveries().isEmpty()) {
        return true;
      }
      if (read.status() == OK) {
        after = read.nextToken();
      } else if (read.status() == 404) {
        return true;
      } else {
        SoakClock.pause(POLL_MS);
      }
    }
    return false;
  }

  private TimeLimit limit(long ms) {
    return new TimeLimit(clock, stalls::totalMs, ms);
  }

  private void checkReadInTime(boolean holds, String where) {
    findings.check(Invariant.RECOVERED, holds, clock.nowMs(), where + " is not read in time");
  }

  /** A job of exactly the limit is accepted, as nothing else waits any more. */
  void exactFit() {
    List<SubmittedJob.Item> items = new ArrayList<>();
    for (int i = 0; i < EXACT_ITEMS; i++) {
      items.add(
          BatchClient.item(random, SoakConfig.LIMITED, SoakConfig.LIMIT_TOKENS / EXACT_ITEMS));
    }
    SubmittedJob job = new SubmittedJob(BatchClient.hex(random), SoakConfig.LIMITED, items);
    environment.batch.recordSubmit(job);
    TimeLimit limit = limit(Bounds.EXACT_FIT_MS);
    boolean accepted = false;
    while (!accepted && !limit.isOver()) {
      accepted = environment.batch.submit(job, environment.batch.anyMachine(random)) == 202;
      SoakClock.pause(POLL_MS);
    }
    findings.check(
        Invariant.QUOTA_RETURNS,
        accepted,
        clock.nowMs(),
        "a job of " + SoakConfig.LIMIT_TOKENS + " tokens is not accepted");
    readUntilComplete(clock.nowMs() + Bounds.QUIET_MS);
  }
}
