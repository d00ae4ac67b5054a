package elmsail.batch.run;

import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.AbandonedJob;
import elmsail.batch.messages.BatchMessageTypes;
import elmsail.batch.messages.ByteReader;
import elmsail.batch.messages.ByteWriter;
import elmsail.batch.messages.ContentDigest;
import elmsail.batch.messages.HeartbeatMessage;
import elmsail.batch.messages.JobRecord;
import elmsail.consensus.Register;
import elmsail.rpc.messages.OpaqueMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tells the keepers what this gateway runs, by which it knows that the jobs are still its own, and
 * takes over jobs whose runner is not heard any more.
 */
public final class FailoverMonitor {
  private static final long BEAT_MS = 500;
  private static final long LOOK_MS = 700;
  private static final long ANSWER_MS = 600;
  private static final long UNHEARD_MS = 2_000;
  private static final long RANK_MS = 400;

  /** A keeper alone in not having heard of a job for so long has missed a change of it. */
  private static final long STALE_MS = 6_000;

  private static final long CHANGE_MS = 1_500;
  private static final int MOST_TAKING = 8;

  /** Jobs of one beat; the rest are confirmed by reads. */
  private static final int MOST_RUNS = 1_000;

  private final BatchContext tools;
  private final BatchJobClient store;
  private final JobRunner runner;
  private final Set<String> taking = new HashSet<>();

  /** A monitor that does nothing before {@link #start}. */
  public FailoverMonitor(BatchContext tools, BatchJobClient store, JobRunner runner) {
    this.tools = tools;
    this.store = store;
    this.runner = runner;
  }

  /**
   * Begins both rounds, each after a time drawn about its period, so that gateways do not go in
   * step.
   */
  public void start() {
    tools.timers().after(tools.about(BEAT_MS), this::heartbeat);
    tools.timers().after(tools.about(LOOK_MS), this::look);
  }

  private void heartbeat() {
    tools.timers().after(BEAT_MS, this::heartbeat);
    List<RunningJob> jobs = runner.running();
    if (jobs.isEmpty()) {
      return;
    }
    long sent = tools.timers().now();
    List<RunningJob> response = jobs.size() > MOST_RUNS ? jobs.subList(0, MOST_RUNS) : jobs;
    List<HeartbeatMessage.Run> runs = new ArrayList<>(response.size());
    for (RunningJob job : response) {
      runs.add(new HeartbeatMessage.Run(job.id, job.term));
    }
    int[] yours = new int[response.size()];
    int majority = tools.majority();
    OpaqueMessage heartbeat =
        BatchMessageTypes.note(
            BatchMessageTypes.BEAT, new HeartbeatMessage(tools.self(), runs).packed());
    tools.askKeepers(
        heartbeat,
        ANSWER_MS,
        (slot, answer) -> {
          if (answer != null) {
            ByteReader from = new ByteReader(answer.bytes);
            for (int i = 0; i < yours.length && from.more(); i++) {
              long one = from.number();
              RunningJob job = response.get(i);
              if (one == HeartbeatMessage.YOURS && ++yours[i] == majority) {
                job.confirmed(sent);
              } else if (one == HeartbeatMessage.GONE) {
                read(job);
              }
            }
          }
        });
    for (RunningJob job : jobs) {
      runner.letGo(job);
      if (sent - job.confirmedAt > 2 * BEAT_MS) {
        read(job);
      }
    }
  }

  private void read(RunningJob job) {
    if (job.reading || job.stopped) {
      return;
    }
    job.reading = true;
    long began = tools.timers().now();
    store
        .read(job.id, ANSWER_MS)
        .whenComplete(
            (record, failed) -> {
              job.reading = false;
              if (failed == null && !job.stopped) {
                runner.heard(job.id, record, began);
              }
            });
  }

  private void look() {
    tools.timers().after(tools.about(LOOK_MS), this::look);
    int keepers = tools.keepers().size();
    if (keepers == 0) {
      return;
    }
    Map<String, List<AbandonedJob>> reported = new HashMap<>();
    int[] answers = new int[1];
    OpaqueMessage request =
        BatchMessageTypes.note(
            BatchMessageTypes.ORPHANS, new ByteWriter().number(UNHEARD_MS).packed());
    tools.askKeepers(
        request,
        ANSWER_MS,
        (slot, answer) -> {
          if (answer != null) {
            for (AbandonedJob one : AbandonedJob.unpacked(answer.bytes)) {
              reported.computeIfAbsent(one.job(), job -> new ArrayList<>()).add(one);
            }
          }
          if (++answers[0] == keepers) {
            reported.forEach(this::judge);
          }
        });
  }

  private void judge(String job, List<AbandonedJob> reports) {
    int rank = rank(job);
    long unheard = Long.MAX_VALUE;
    long term = 0;
    int ripe = 0;
    for (AbandonedJob one : reports) {
      term = Math.max(term, one.term());
      if (one.unheardMs() >= UNHEARD_MS + rank * RANK_MS) {
        ripe++;
        unheard = Math.min(unheard, one.unheardMs());
      }
    }
    if (taking.size() >= MOST_TAKING || taking.contains(job) || runner.runs(job)) {
      return;
    }
    if (ripe >= tools.majority()) {
      take(job, term, unheard);
    } else if (ripe > 0 && unheard > STALE_MS + rank * LOOK_MS) {
      mend(job);
    }
  }

  /** How many gateways come before this one in the job's own order of gateways. */
  private int rank(String job) {
    long own = ContentDigest.of(tools.self() + "|" + job);
    int before = 0;
    for (String door : tools.known().view().gateways) {
      if (!door.equals(tools.self()) && ContentDigest.of(door + "|" + job) > own) {
        before++;
      }
    }
    return before;
  }

  private void take(String job, long term, long unheardMs) {
    taking.add(job);
    long began = tools.timers().now();
    boolean[] proposed = new boolean[1];
    tools
        .register()
        .change(
            JobRecord.keyOf(job),
            found -> {
              JobRecord record = found.value() == null ? null : JobRecord.unpacked(found.value());
              if (record == null || !record.open() || record.term() != term) {
                return new Register.Wanted(null, List.of());
              }
              proposed[0] = true;
              return new Register.Wanted(
                  record.runBy(tools.self(), record.ageMs() + unheardMs).packed(), List.of());
            },
            List.of(),
            null,
            CHANGE_MS)
        .whenComplete(
            (held, failed) -> {
              taking.remove(job);
              JobRecord record = failed == null ? store.decided(job, held.now()) : null;
              if (proposed[0]
                  && record != null
                  && record.term() == term + 1
                  && record.runner().equals(tools.self())) {
                runner.adopt(job, record, record.ageMs(), began);
              }
            });
  }

  /** Writes a job's record once more, for a keeper that missed it. */
  private void mend(String job) {
    taking.add(job);
    tools
        .register()
        .change(
            JobRecord.keyOf(job),
            found -> {
              JobRecord record = found.value() == null ? null : JobRecord.unpacked(found.value());
              return record == null
                  ? new Register.Wanted(null, List.of())
                  : new Register.Wanted(record.again().packed(), List.of());
            },
            List.of(),
            null,
            CHANGE_MS)
        .whenComplete(
            (held, failed) -> {
              taking.remove(job);
              if (failed == null) {
                store.decided(job, held.now());
              }
            });
  }
}
