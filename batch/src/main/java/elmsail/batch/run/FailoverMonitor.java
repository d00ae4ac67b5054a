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
 * Tells the stores what this gateway runs, by which it knows that the jobs are still its own, and
 * takes over jobs whose runner sends no heartbeats any more.
 */
public final class FailoverMonitor {
  private static final long HEARTBEAT_MS = 500;
  private static final long LOOK_MS = 700;
  private static final long ANSWER_MS = 600;
  private static final long SILENT_MS = 2_000;
  private static final long RANK_MS = 400;

  /** A store alone in having had no heartbeat of a job for so long has missed a change of it. */
  private static final long STALE_MS = 6_000;

  private static final long CHANGE_MS = 1_500;
  private static final int MOST_TAKING = 8;

  /** Jobs of one heartbeat; the rest are confirmed by reads. */
  private static final int MOST_RUNS = 1_000;

  private final BatchContext context;
  private final BatchJobClient store;
  private final JobRunner runner;
  private final Set<String> taking = new HashSet<>();

  /** A monitor that does nothing before {@link #start}. */
  public FailoverMonitor(BatchContext context, BatchJobClient store, JobRunner runner) {
    this.context = context;
    this.store = store;
    this.runner = runner;
  }

  /**
   * Begins both rounds, each after a time drawn about its period, so that gateways do not go in
   * step.
   */
  public void start() {
    context.timers().schedule(context.about(HEARTBEAT_MS), this::heartbeat);
    context.timers().schedule(context.about(LOOK_MS), this::look);
  }

  private void heartbeat() {
    context.timers().schedule(HEARTBEAT_MS, this::heartbeat);
    List<RunningJob> jobs = runner.running();
    if (jobs.isEmpty()) {
      return;
    }
    long sent = context.timers().now();
    List<RunningJob> reported = jobs.size() > MOST_RUNS ? jobs.subList(0, MOST_RUNS) : jobs;
    List<HeartbeatMessage.Run> runs = new ArrayList<>(reported.size());
    for (RunningJob job : reported) {
      runs.add(new HeartbeatMessage.Run(job.id, job.term));
    }
    int[] yours = new int[reported.size()];
    int majority = context.majority();
    OpaqueMessage heartbeat =
        BatchMessageTypes.message(
            BatchMessageTypes.HEARTBEAT, new HeartbeatMessage(context.self(), runs).packed());
    context.askStores(
        heartbeat,
        ANSWER_MS,
        (slot, answer) -> {
          if (answer != null) {
            ByteReader from = new ByteReader(answer.bytes);
            for (int i = 0; i < yours.length && from.more(); i++) {
              long one = from.number();
              RunningJob job = reported.get(i);
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
      if (sent - job.confirmedAt > 2 * HEARTBEAT_MS) {
        read(job);
      }
    }
  }

  private void read(RunningJob job) {
    if (job.reading || job.stopped) {
      return;
    }
    job.reading = true;
    long began = context.timers().now();
    store
        .read(job.id, ANSWER_MS)
        .whenComplete(
            (record, failed) -> {
              job.reading = false;
              if (failed == null && !job.stopped) {
                runner.recordRead(job.id, record, began);
              }
            });
  }

  private void look() {
    context.timers().schedule(context.about(LOOK_MS), this::look);
    int stores = context.stores().size();
    if (stores == 0) {
      return;
    }
    Map<String, List<AbandonedJob>> reported = new HashMap<>();
    int[] answers = new int[1];
    OpaqueMessage request =
        BatchMessageTypes.message(
            BatchMessageTypes.ABANDONED, new ByteWriter().number(SILENT_MS).packed());
    context.askStores(
        request,
        ANSWER_MS,
        (slot, answer) -> {
          if (answer != null) {
            for (AbandonedJob one : AbandonedJob.unpacked(answer.bytes)) {
              reported.computeIfAbsent(one.job(), job -> new ArrayList<>()).add(one);
            }
          }
          if (++answers[0] == stores) {
            reported.forEach(this::judge);
          }
        });
  }

  private void judge(String job, List<AbandonedJob> reports) {
    int rank = rank(job);
    long silent = Long.MAX_VALUE;
    long term = 0;
    int ripe = 0;
    for (AbandonedJob one : reports) {
      term = Math.max(term, one.term());
      if (one.silentMs() >= SILENT_MS + rank * RANK_MS) {
        ripe++;
        silent = Math.min(silent, one.silentMs());
      }
    }
    if (taking.size() >= MOST_TAKING || taking.contains(job) || runner.runs(job)) {
      return;
    }
    if (ripe >= context.majority()) {
      take(job, term, silent);
    } else if (ripe > 0 && silent > STALE_MS + rank * LOOK_MS) {
      mend(job);
    }
  }

  /** How many gateways come before this one in the job's own order of gateways. */
  private int rank(String job) {
    long own = ContentDigest.of(context.self() + "|" + job);
    int before = 0;
    for (String gateway : context.known().view().gateways) {
      if (!gateway.equals(context.self()) && ContentDigest.of(gateway + "|" + job) > own) {
        before++;
      }
    }
    return before;
  }

  private void take(String job, long term, long silentMs) {
    taking.add(job);
    long began = context.timers().now();
    boolean[] proposed = new boolean[1];
    context
        .register()
        .change(
            JobRecord.keyOf(job),
            found -> {
              JobRecord record = JobRecord.ofValue(found.value());
              if (record == null || !record.open() || record.term() != term) {
                return new Register.ProposedValue(null, List.of());
              }
              proposed[0] = true;
              return new Register.ProposedValue(
                  record.runBy(context.self(), record.ageMs() + silentMs).packed(), List.of());
            },
            List.of(),
            null,
            CHANGE_MS)
        .whenComplete(
            (held, failed) -> {
              taking.remove(job);
              JobRecord record = failed == null ? store.decided(job, held.current()) : null;
              if (proposed[0]
                  && record != null
                  && record.term() == term + 1
                  && record.runner().equals(context.self())) {
                runner.adopt(job, record, record.ageMs(), began);
              }
            });
  }

  /** Writes a job's record once more, for a store that missed it. */
  private void mend(String job) {
    taking.add(job);
    context
        .register()
        .change(
            JobRecord.keyOf(job),
            found -> {
              JobRecord record = JobRecord.ofValue(found.value());
              return record == null
                  ? new Register.ProposedValue(null, List.of())
                  : new Register.ProposedValue(record.again().packed(), List.of());
            },
            List.of(),
            null,
            CHANGE_MS)
        .whenComplete(
            (held, failed) -> {
              taking.remove(job);
              if (failed == null) {
                store.decided(job, held.current());
              }
            });
  }
}
