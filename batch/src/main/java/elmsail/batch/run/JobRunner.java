package elmsail.batch.run;

import elmsail.batch.BatchItem;
import elmsail.batch.ItemServers;
import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.JobRecord;
import elmsail.config.Route;
import elmsail.config.RoutingConfig;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Runs the items of this gateway's jobs: starts them as there is room, the jobs that are due first
 * before the others, gathers their texts, and gives them to be listed.
 */
public final class JobRunner {
  /** How soon places are looked for again, where there were none; a run that ends looks at once. */
  private static final long LOOK_MS = 40;

  private static final long AGAIN_MS = 20;
  private static final long MOST_BACKOFF_MS = 200;

  private final BatchContext context;
  private final BodyLoader bodies;
  private final HeldBytes held;
  private final ResultRecorder listing;
  private final Map<String, RunningJob> jobs = new HashMap<>();
  private final TreeMap<RunningJob, RunningJob> byDue = new TreeMap<>();
  private final long startMs;
  private final long letMs;
  private ItemServers servers;
  private boolean pumpSet;

  /**
   * @param changed hears the id of each job in which something was listed or that was stopped
   */
  public JobRunner(BatchContext context, BatchJobClient store, Consumer<String> changed) {
    this.context = context;
    this.held = new HeldBytes(context.invariants());
    this.bodies = new BodyLoader(context, store, () -> pumpSoon(0));
    this.listing = new ResultRecorder(context, store, this, changed);
    this.startMs = context.cancelMs() * 6 / 10;
    this.letMs = context.cancelMs() * 8 / 10;
  }

  /** Sets where items are sent from now on; before this none is started. */
  public void setServers(ItemServers given) {
    servers = given;
    pumpSoon(0);
  }

  /**
   * Runs the job from now on: the record says that this gateway does.
   *
   * @param ageMs the job's, at the least
   * @param confirmedAt when it surely was open and this gateway's, by the steady clock
   */
  public void adopt(String id, JobRecord record, long ageMs, long confirmedAt) {
    RunningJob before = jobs.get(id);
    if (before != null && before.term >= record.term() || !record.open()) {
      return;
    }
    stop(id);
    long now = context.timers().now();
    RunningJob job = new RunningJob(id, record, now - ageMs, confirmedAt, now);
    jobs.put(id, job);
    byDue.put(job, job);
    pumpSoon(0);
  }

  /** Stops running it: its runs are cut off, and what is not listed yet is left. */
  public void stop(String id) {
    RunningJob job = jobs.remove(id);
    if (job == null) {
      return;
    }
    byDue.remove(job);
    JobEndLog.report(job, context.timers().now());
    job.stopped = true;
    held.add(-job.release());
    held.check(jobs.size());
  }

  /**
   * Takes a decided record read after the moment given: goes on if the job is still open and ours.
   */
  public void recordRead(String id, JobRecord record, long readAt) {
    RunningJob job = jobs.get(id);
    if (job == null) {
      return;
    }
    if (record == null || !record.open() || record.term() != job.term) {
      stop(id);
      return;
    }
    job.confirmed(readAt);
    pumpSoon(0);
  }

  /** Whether this gateway runs the job at present. */
  public boolean runs(String id) {
    return jobs.containsKey(id);
  }

  /** How many jobs this gateway runs at present. */
  public int size() {
    return jobs.size();
  }

  List<RunningJob> running() {
    return new ArrayList<>(byDue.keySet());
  }

  /** Cuts runs that may not have reached a server yet, of jobs long not known to be ours. */
  void letGo(RunningJob job) {
    if (context.timers().now() - job.confirmedAt <= letMs) {
      return;
    }
    for (ItemRun item : job.items) {
      if (item.underWay && !item.answered) {
        item.cancel();
        job.timeline.cut();
        job.underWay--;
        job.ready.add(item.index);
      }
    }
  }

  void unheld(long bytes) {
    held.add(-bytes);
  }

  void pumpSoon(long ms) {
    if (!pumpSet) {
      pumpSet = true;
      context
          .timers()
          .schedule(
              ms,
              () -> {
                pumpSet = false;
                pump();
              });
    }
  }

  private void pump() {
    RoutingConfig config = context.known().config();
    if (servers == null || config == null || jobs.isEmpty()) {
      return;
    }
    Map<String, Integer> room = new HashMap<>();
    boolean left = false;
    for (RunningJob job : running()) {
      if (!job.stopped && !job.ready.isEmpty()) {
        if (job.batchItems == null && job.outlived(context.timers().now())) {
          giveUp(job);
        } else if (job.batchItems == null) {
          job.timeline.stalled(JobTimeline.Stall.BODY);
          bodies.fetch(job);
        } else {
          startSome(job, config, room);
        }
        left |= !job.stopped && !job.ready.isEmpty();
      }
    }
    if (left) {
      pumpSoon(LOOK_MS);
    }
  }

  /** Nobody gave its body in all its time: what is not listed yet is undeliverable. */
  private void giveUp(RunningJob job) {
    while (!job.ready.isEmpty()) {
      ItemRun item = job.items[job.ready.poll()];
      if (!item.done) {
        finish(job, item, false);
      }
    }
  }

  private void startSome(RunningJob job, RoutingConfig config, Map<String, Integer> room) {
    long now = context.timers().now();
    boolean confirmed = now - job.confirmedAt <= startMs;
    while (!job.stopped && !job.ready.isEmpty()) {
      ItemRun item = job.items[job.ready.peek()];
      if (item.done || item.underWay) {
        job.ready.poll();
        continue;
      }
      BatchItem batchItem = job.batchItems.get(item.index);
      Route route = config.find(job.record.host(), batchItem.lane());
      if (route == null && config.edition() <= job.record.edition()) {
        return;
      }
      if (route == null || job.outlived(now)) {
        job.ready.poll();
        finish(job, item, false);
        continue;
      }
      Integer places = room.get(route.name());
      if (places == null) {
        places = servers.room(route);
      }
      if (!confirmed || places <= 0 || held.full()) {
        room.put(route.name(), places);
        job.timeline.stalled(JobTimeline.Stall.of(confirmed, places));
        return;
      }
      job.ready.poll();
      if (start(job, item, route, batchItem)) {
        room.put(route.name(), places - 1);
      } else {
        job.ready.add(item.index);
        room.put(route.name(), 0);
        return;
      }
    }
  }

  private boolean start(RunningJob job, ItemRun item, Route route, BatchItem batchItem) {
    int run = ++item.run;
    item.underWay = true;
    item.answered = false;
    item.sentAt = context.timers().now();
    job.underWay++;
    ItemServers.Running running =
        servers.start(
            route,
            batchItem,
            item.last,
            new ItemServers.RunListener() {
              @Override
              public void event(long id, byte[] data) {
                if (item.run == run) {
                  kept(job, item, id, data);
                }
              }

              @Override
              public void ended(ItemServers.Ended how) {
                if (item.run == run) {
                  item.running = null;
                  item.cancel();
                  job.underWay--;
                  job.timeline.ended(how, item.sentAt, context.timers().now());
                  over(job, item, how, route);
                }
              }
            });
    if (running == null) {
      if (item.run == run) {
        item.run++;
        item.underWay = false;
        job.underWay--;
      }
      return false;
    }
    job.timeline.sent(item.sentAt);
    if (item.run == run && item.underWay) {
      item.running = running;
    } else if (item.run > run) {
      running.cancel();
    }
    return true;
  }

  private void kept(RunningJob of, ItemRun to, long id, byte[] data) {
    int before = to.bytes();
    boolean next = to.event(id, data);
    of.timeline.event(context.timers().now());
    held.add(to.bytes() - before);
    if (!next) {
      to.cancel();
      of.timeline.cut();
      of.underWay--;
      held.add(-to.bytes());
      to.forgetText();
      again(of, to);
    }
  }

  private void over(RunningJob job, ItemRun item, ItemServers.Ended how, Route route) {
    switch (how) {
      case WHOLE -> {
        if (item.any()) {
          finish(job, item, true);
        } else {
          again(job, item);
        }
      }
      case NEVER -> finish(job, item, false);
      case FAILED -> {
        item.failures++;
        if (item.failures >= Math.max(1, route.tries())) {
          finish(job, item, false);
        } else {
          listing.soon(job); // it runs again once that is recorded
        }
      }
      default -> again(job, item);
    }
    pumpSoon(0);
  }

  /**
   * Takes what the job's record now says of failures. An item that failed is free to run only then:
   * whoever runs the job next counts on from the record, so each change of hands hides one failure
   * at most.
   */
  void recordedFailures(RunningJob job) {
    for (ItemRun item : job.takeRecordedFailures()) {
      again(job, item);
    }
  }

  private void finish(RunningJob job, ItemRun item, boolean delivered) {
    held.add(-item.bytes());
    job.finish(item, delivered);
    held.add(job.finished.get(item.index).text().length);
    listing.soon(job);
  }

  private void again(RunningJob job, ItemRun item) {
    item.vain = item.answered ? 0 : item.vain + 1;
    long backoff = Math.min(MOST_BACKOFF_MS, AGAIN_MS << Math.min(item.vain, 5));
    context
        .timers()
        .schedule(
            context.about(backoff),
            () -> {
              if (!job.stopped && !item.done && !item.underWay) {
                job.ready.add(item.index);
                pumpSoon(0);
              }
            });
  }
}
