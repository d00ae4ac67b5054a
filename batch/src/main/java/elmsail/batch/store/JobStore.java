package elmsail.batch.store;

import elmsail.batch.messages.AbandonedJob;
import elmsail.batch.messages.ContentDigest;
import elmsail.batch.messages.HeartbeatMessage;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.TokenCount;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one store knows of its jobs, folded from the records it took and the heartbeats; the time is
 * given with each event.
 */
final class JobStore {
  /** Adds that are not followed by their job are forgotten after so long, in ms. */
  static final long ADD_MS = 5_000;

  /**
   * Jobs that no longer wait are reported for so long, in ms, to overrule stores that missed it.
   */
  private static final long TELL_ENDED_MS = 120_000;

  /** Adds whose job is being written stay for so long, in ms: a disk may stall. */
  private static final long WRITE_MS = 30_000;

  private static final long UNTAKEN_MS = 60_000;
  private static final int MOST_ADDS = 4_096;

  /** The fold of one job's records. */
  private static final class Lot {
    final long digest;
    final long firstSeen;
    long version;
    String route = "";
    long waiting;
    boolean open;
    String runner = "";
    long term;
    long shelfMs;
    long changed;
    long lastHeartbeat;

    Lot(long digest, long now) {
      this.digest = digest;
      this.firstSeen = now;
    }
  }

  /**
   * @param admitted whether its job is being written, so that only the time takes it off
   */
  private record Pending(TokenCount.Add add, long until, boolean admitted) {}

  /** One try to submit a job. */
  private record TryId(String job, long who) {
    static TryId of(TokenCount.Add add) {
      return new TryId(add.job(), add.who());
    }
  }

  private final Map<String, Lot> jobs = new HashMap<>();

  /** Adds of tries whose job is not taken yet, by try. */
  private final Map<TryId, Pending> adds = new LinkedHashMap<>();

  /**
   * Until when adds of withdrawn tries are passed over, by {@link TokenCount.Add#who}: a first
   * round may come late, behind its withdrawal.
   */
  private final Map<TryId, Long> withdrawn = new LinkedHashMap<>();

  /**
   * When jobs that were never taken here were added last: what came with their first rounds is
   * litter.
   */
  private final Map<String, Long> untaken = new HashMap<>();

  /** Keeps the add and answers the count of its route; null if there are too many adds. */
  byte[] added(TokenCount.Add add, long now) {
    expire(now);
    if (!jobs.containsKey(add.job()) && !withdrawn.containsKey(TryId.of(add))) {
      if (adds.size() >= MOST_ADDS && !adds.containsKey(TryId.of(add))) {
        return null;
      }
      Pending before = adds.remove(TryId.of(add));
      boolean admitted = before != null && before.admitted();
      adds.put(TryId.of(add), new Pending(add, now + (admitted ? WRITE_MS : ADD_MS), admitted));
      untaken.put(add.job(), now);
    }
    TokenCount count = new TokenCount();
    for (Lot job : jobs.values()) {
      if (job.route.equals(add.route()) && (job.waiting > 0 || now - job.changed < TELL_ENDED_MS)) {
        count.put(job.digest, job.version, job.waiting);
      }
    }
    for (Pending one : adds.values()) {
      if (one.add().route().equals(add.route())) {
        count.put(ContentDigest.of(one.add().job()), 0, one.add().tokens());
      }
    }
    return count.packed();
  }

  void withdrawn(TokenCount.Add add, long now) {
    expire(now);
    if (withdrawn.size() < MOST_ADDS) {
      withdrawn.put(TryId.of(add), now + ADD_MS);
    }
    Pending there = adds.get(TryId.of(add));
    if (there != null && !there.admitted()) {
      adds.remove(TryId.of(add));
    }
  }

  /**
   * A job's first record needs its add to be on this count; later ones follow from a decided one.
   */
  boolean admits(String job, JobRecord record, long now) {
    expire(now);
    if (record.version() > 1 || jobs.containsKey(job)) {
      return true;
    }
    for (Pending one : adds.values()) {
      TokenCount.Add add = one.add();
      if (add.job().equals(job)
          && add.route().equals(record.route())
          && add.tokens() >= record.waiting()) {
        adds.put(TryId.of(add), new Pending(add, now + WRITE_MS, true));
        return true;
      }
    }
    return false;
  }

  void taken(String id, JobRecord record, long now) {
    Lot job = jobs.get(id);
    if (job == null) {
      job = new Lot(ContentDigest.of(id), now);
      jobs.put(id, job);
    } else if (record.version() < job.version) {
      return;
    }
    job.version = record.version();
    job.route = record.route();
    job.waiting = record.waiting();
    job.open = record.open();
    job.runner = record.runner();
    job.term = record.term();
    job.shelfMs = record.shelfMs();
    job.changed = now;
    job.lastHeartbeat = now;
    forgetAdds(id);
    untaken.remove(id);
  }

  /**
   * A job of which only a promise is there, left by the process before this one or copied: dropped
   * like one that was added and never taken.
   */
  void promised(String id, long now) {
    untaken.putIfAbsent(id, now);
  }

  void onDropped(String id) {
    jobs.remove(id);
    forgetAdds(id);
    untaken.remove(id);
  }

  /** Hears a runner; the answers stand in the order of its jobs. */
  int[] answer(HeartbeatMessage heartbeat, long now) {
    int[] answers = new int[heartbeat.runs().size()];
    for (int i = 0; i < answers.length; i++) {
      HeartbeatMessage.Run run = heartbeat.runs().get(i);
      Lot job = jobs.get(run.job());
      if (job == null || job.term < run.term()) {
        answers[i] = HeartbeatMessage.UNKNOWN;
      } else if (job.term == run.term() && job.runner.equals(heartbeat.gateway()) && job.open) {
        job.lastHeartbeat = now;
        answers[i] = HeartbeatMessage.YOURS;
      } else {
        answers[i] = HeartbeatMessage.GONE;
      }
    }
    return answers;
  }

  List<AbandonedJob> abandoned(long silentMs, int most, long now) {
    List<AbandonedJob> abandoned = new ArrayList<>();
    for (Map.Entry<String, Lot> one : jobs.entrySet()) {
      Lot job = one.getValue();
      if (job.open && now - job.lastHeartbeat >= silentMs && abandoned.size() < most) {
        abandoned.add(new AbandonedJob(one.getKey(), job.term, now - job.lastHeartbeat));
      }
    }
    return abandoned;
  }

  /** Jobs that nobody needs any more: the caller drops them. */
  List<String> outlived(long statusMs, long slackMs, long now) {
    expire(now);
    List<String> outlived = new ArrayList<>();
    for (Map.Entry<String, Lot> one : jobs.entrySet()) {
      Lot job = one.getValue();
      long kept = (job.open ? Math.max(job.shelfMs, 0) : 0) + statusMs + slackMs;
      if (now - job.firstSeen > kept && (!job.open || now - job.lastHeartbeat > statusMs)) {
        outlived.add(one.getKey());
      }
    }
    for (Map.Entry<String, Long> one : untaken.entrySet()) {
      // Without its add a first record is not admitted, so no promise is needed against it.
      if (now - one.getValue() > UNTAKEN_MS && !hasAdd(one.getKey())) {
        outlived.add(one.getKey());
      }
    }
    return outlived;
  }

  private void forgetAdds(String job) {
    adds.values().removeIf(one -> one.add().job().equals(job));
  }

  private boolean hasAdd(String job) {
    return adds.values().stream().anyMatch(one -> one.add().job().equals(job));
  }

  int size() {
    return jobs.size();
  }

  private void expire(long now) {
    // In the order of their times: all stand for equally long.
    Iterator<Long> oldest = withdrawn.values().iterator();
    while (oldest.hasNext() && oldest.next() <= now) {
      oldest.remove();
    }
    Iterator<Pending> each = adds.values().iterator();
    while (each.hasNext()) {
      if (each.next().until() <= now) {
        each.remove();
      }
    }
  }
}
