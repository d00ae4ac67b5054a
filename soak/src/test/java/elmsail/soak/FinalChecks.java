package elmsail.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** What is looked at once the troubles are over: everything is read again, everywhere. */
final class FinalChecks {
  private static final long ANSWER_MS = 6_000;
  private static final long POLL_MS = 150;
  private static final int EXACT_ITEMS = 10;
  private static final int OK = 200;

  private final StandIns standIns;
  private final Findings findings;
  private final SoakClock clock;
  private final Random random;
  private final long seed;

  FinalChecks(StandIns standIns, Findings findings, SoakClock clock, long seed) {
    this.standIns = standIns;
    this.findings = findings;
    this.clock = clock;
    this.random = new Random(seed);
    this.seed = seed;
  }

  /** Reads until all accepted jobs are listed whole, or the time is over. */
  void finish(long untilMs) {
    for (SubmittedJob job : standIns.jobs.accepted()) {
      while (!standIns.batch.complete(job) && clock.now() < untilMs) {
        readAll(job, standIns.batch.anyMachine(random));
        SoakClock.pause(POLL_MS);
      }
    }
  }

  /** Reads each accepted job from its start at each gateway, and the configuration at each node. */
  void readAgain() {
    for (SubmittedJob job : standIns.jobs.accepted()) {
      for (String machine : standIns.batch.machines()) {
        answered(readAll(job, machine), "job " + job.id() + " at " + machine);
      }
    }
    Operator operator = new Operator(standIns.configs, standIns.controls, clock, seed, () -> false);
    for (String node : standIns.controls.keySet()) {
      long until = clock.now() + ANSWER_MS;
      long edition = operator.read(node);
      while (edition < standIns.configs.newest() && clock.now() < until) {
        SoakClock.pause(POLL_MS);
        edition = operator.read(node);
      }
      findings.check(
          Invariant.CONFIG_KEPT,
          edition >= standIns.configs.newest(),
          clock.now(),
          node + " reads " + edition + " at the end, not " + standIns.configs.newest());
    }
  }

  /** All pages; false if a gateway doesn't answer in time. */
  private boolean readAll(SubmittedJob job, String machine) {
    long until = clock.now() + ANSWER_MS;
    int after = 0;
    while (clock.now() < until) {
      JobRead read = standIns.batch.read(job.id(), machine, after, false);
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

  private void answered(boolean holds, String where) {
    findings.check(Invariant.RECOVERED, holds, clock.now(), where + " is not read in time");
  }

  /** A job of exactly what may wait is accepted, as nothing else waits any more. */
  void exactFit() {
    List<SubmittedJob.Item> items = new ArrayList<>();
    for (int i = 0; i < EXACT_ITEMS; i++) {
      items.add(
          BatchClient.item(random, SoakConfig.LIMITED, SoakConfig.LIMIT_TOKENS / EXACT_ITEMS));
    }
    SubmittedJob job = new SubmittedJob(BatchClient.hex(random), SoakConfig.LIMITED, items);
    standIns.batch.announce(job);
    long until = clock.now() + Bounds.EXACT_FIT_MS;
    boolean accepted = false;
    while (!accepted && clock.now() < until) {
      accepted = standIns.batch.submit(job, standIns.batch.anyMachine(random)) == 202;
      SoakClock.pause(POLL_MS);
    }
    findings.check(
        Invariant.QUOTA_RETURNS,
        accepted,
        clock.now(),
        "a job of " + SoakConfig.LIMIT_TOKENS + " tokens is not accepted");
    finish(clock.now() + Bounds.QUIET_MS);
  }
}
