package elmsail.lots.keep;

import elmsail.lots.words.Beat;
import elmsail.lots.words.Count;
import elmsail.lots.words.Digest;
import elmsail.lots.words.LotRecord;
import elmsail.lots.words.Orphan;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one keeper knows of its lots, folded from what it took and heard; the time is given with each
 * event.
 */
final class Shelf {
  /** Adds that are not followed by their lot are forgotten after so long, in ms. */
  static final long ADD_MS = 5_000;
  /** Lots that no longer wait are told of for so long, in ms, to overrule keepers that missed it. */
  private static final long TELL_ENDED_MS = 120_000;
  /** Adds whose lot is being written stay for so long, in ms: a disk may stall. */
  private static final long WRITE_MS = 30_000;
  private static final long UNTAKEN_MS = 60_000;
  private static final int MOST_ADDS = 4_096;

  /** The fold of one lot's records. */
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
    long heard;

    Lot(long digest, long now) {
      this.digest = digest;
      this.firstSeen = now;
    }
  }

  /** @param admitted whether its lot is being written, so that only the time takes it off */
  private record Pending(Count.Add add, long until, boolean admitted) {
  }

  private final Map<String, Lot> lots = new HashMap<>();
  private final Map<String, Pending> adds = new LinkedHashMap<>();
  /** When lots that were never taken here were added last: what came with their first rounds is litter. */
  private final Map<String, Long> untaken = new HashMap<>();

  /** Notes the add and tells the count of its route; null if there are too many adds. */
  byte[] added(Count.Add add, long now) {
    expire(now);
    if (!lots.containsKey(add.lot())) {
      if (adds.size() >= MOST_ADDS && !adds.containsKey(add.lot())) {
        return null;
      }
      Pending before = adds.remove(add.lot());
      boolean admitted = before != null && before.admitted();
      adds.put(add.lot(), new Pending(add, now + (admitted ? WRITE_MS : ADD_MS), admitted));
      untaken.put(add.lot(), now);
    }
    Count count = new Count();
    for (Lot lot : lots.values()) {
      if (lot.route.equals(add.route()) && (lot.waiting > 0 || now - lot.changed < TELL_ENDED_MS)) {
        count.put(lot.digest, lot.version, lot.waiting);
      }
    }
    for (Pending one : adds.values()) {
      if (one.add().route().equals(add.route())) {
        count.put(Digest.of(one.add().lot()), 0, one.add().tokens());
      }
    }
    return count.packed();
  }

  void withdrawn(Count.Add add) {
    Pending there = adds.get(add.lot());
    if (there != null && !there.admitted() && there.add().who() == add.who()) {
      adds.remove(add.lot());
    }
  }

  /** A lot's first record needs its add to be on this count; later ones follow from a decided one. */
  boolean admits(String lot, LotRecord record, long now) {
    expire(now);
    if (record.version() > 1 || lots.containsKey(lot)) {
      return true;
    }
    Pending add = adds.get(lot);
    if (add == null || !add.add().route().equals(record.route()) || add.add().tokens() < record.waiting()) {
      return false;
    }
    adds.put(lot, new Pending(add.add(), now + WRITE_MS, true));
    return true;
  }

  void taken(String id, LotRecord record, long now) {
    Lot lot = lots.get(id);
    if (lot == null) {
      lot = new Lot(Digest.of(id), now);
      lots.put(id, lot);
    } else if (record.version() < lot.version) {
      return;
    }
    lot.version = record.version();
    lot.route = record.route();
    lot.waiting = record.waiting();
    lot.open = record.open();
    lot.runner = record.runner();
    lot.term = record.term();
    lot.shelfMs = record.shelfMs();
    lot.changed = now;
    lot.heard = now;
    adds.remove(id);
    untaken.remove(id);
  }

  void dropped(String id) {
    lots.remove(id);
    adds.remove(id);
    untaken.remove(id);
  }

  /** Hears a runner; the answers stand in the order of its lots. */
  int[] heard(Beat beat, long now) {
    int[] told = new int[beat.runs().size()];
    for (int i = 0; i < told.length; i++) {
      Beat.Run run = beat.runs().get(i);
      Lot lot = lots.get(run.lot());
      if (lot == null || lot.term < run.term()) {
        told[i] = Beat.UNKNOWN;
      } else if (lot.term == run.term() && lot.runner.equals(beat.door()) && lot.open) {
        lot.heard = now;
        told[i] = Beat.YOURS;
      } else {
        told[i] = Beat.GONE;
      }
    }
    return told;
  }

  List<Orphan> orphans(long unheardMs, int most, long now) {
    List<Orphan> orphans = new ArrayList<>();
    for (Map.Entry<String, Lot> one : lots.entrySet()) {
      Lot lot = one.getValue();
      if (lot.open && now - lot.heard >= unheardMs && orphans.size() < most) {
        orphans.add(new Orphan(one.getKey(), lot.term, now - lot.heard));
      }
    }
    return orphans;
  }

  /** Lots that nobody needs any more: the caller drops them. */
  List<String> outlived(long statusMs, long slackMs, long now) {
    expire(now);
    List<String> outlived = new ArrayList<>();
    for (Map.Entry<String, Lot> one : lots.entrySet()) {
      Lot lot = one.getValue();
      long kept = (lot.open ? Math.max(lot.shelfMs, 0) : 0) + statusMs + slackMs;
      if (now - lot.firstSeen > kept && (!lot.open || now - lot.heard > statusMs)) {
        outlived.add(one.getKey());
      }
    }
    for (Map.Entry<String, Long> one : untaken.entrySet()) {
      // Without its add a first record is not admitted, so no promise is needed against it.
      if (now - one.getValue() > UNTAKEN_MS && !adds.containsKey(one.getKey())) {
        outlived.add(one.getKey());
      }
    }
    return outlived;
  }

  int size() {
    return lots.size();
  }

  private void expire(long now) {
    Iterator<Pending> each = adds.values().iterator();
    while (each.hasNext()) {
      if (each.next().until() <= now) {
        each.remove();
      }
    }
  }
}
