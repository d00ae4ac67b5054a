package elmsail.lots.run;

import elmsail.lots.ItemServers;
import elmsail.lots.Piece;
import elmsail.lots.store.LotStore;
import elmsail.lots.store.Tools;
import elmsail.lots.words.LotRecord;
import elmsail.timetable.Route;
import elmsail.timetable.Timetable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Runs the items of this door's lots: starts them as there is room, the lots that are due first before the
 * others, gathers their texts, and gives them to be listed.
 */
public final class LotRunner {
  /** How soon places are looked for again, where there were none; a run that ends looks at once. */
  private static final long LOOK_MS = 40;
  private static final long AGAIN_MS = 20;
  private static final long FETCH_MS = 1_500;
  private static final int MOST_FETCHES = 2;
  private static final long MOST_HELD = 16L << 20;
  private static final long MOST_BACKOFF_MS = 200;

  private final Tools tools;
  private final LotStore store;
  private final Listing listing;
  private final Map<String, RunningLot> lots = new HashMap<>();
  private final TreeMap<RunningLot, RunningLot> byDue = new TreeMap<>();
  private final long startMs;
  private final long letMs;
  private ItemServers servers;
  private boolean pumpSet;
  private int fetches;
  private long held;

  /** @param changed hears the id of each lot in which something was listed or that was stopped */
  public LotRunner(Tools tools, LotStore store, Consumer<String> changed) {
    this.tools = tools;
    this.store = store;
    this.listing = new Listing(tools, store, this, changed);
    this.startMs = tools.cancelMs() * 6 / 10;
    this.letMs = tools.cancelMs() * 8 / 10;
  }

  public void setServers(ItemServers given) {
    servers = given;
    pumpSoon(0);
  }

  /**
   * Runs the lot from now on: the record says that this door does.
   *
   * @param ageMs the lot's, at the least
   * @param confirmedAt when it surely was open and this door's, by the steady clock
   */
  public void adopt(String id, LotRecord record, long ageMs, long confirmedAt) {
    RunningLot before = lots.get(id);
    if (before != null && before.term >= record.term() || !record.open()) {
      return;
    }
    stop(id);
    RunningLot lot = new RunningLot(id, record, tools.timers().now() - ageMs, confirmedAt);
    lots.put(id, lot);
    byDue.put(lot, lot);
    pumpSoon(0);
  }

  /** Stops running it: its runs are cut off, and what is not listed yet is left. */
  public void stop(String id) {
    RunningLot lot = lots.remove(id);
    if (lot == null) {
      return;
    }
    byDue.remove(lot);
    lot.stopped = true;
    for (ItemRun item : lot.items) {
      held -= item.bytes();
      item.forgetText();
      item.cancel();
    }
    for (RunningLot.Finished one : lot.finished.values()) {
      held -= one.text().length;
    }
    lot.finished.clear();
  }

  /** Takes a decided record read after the moment given: goes on if the lot is still open and ours. */
  public void heard(String id, LotRecord record, long readAt) {
    RunningLot lot = lots.get(id);
    if (lot == null) {
      return;
    }
    if (record == null || !record.open() || record.term() != lot.term) {
      stop(id);
      return;
    }
    lot.confirmed(readAt);
    pumpSoon(0);
  }

  public boolean runs(String id) {
    return lots.containsKey(id);
  }

  public int size() {
    return lots.size();
  }

  List<RunningLot> running() {
    return new ArrayList<>(byDue.keySet());
  }

  /** Cuts runs that may not have reached a server yet, of lots long not known to be ours. */
  void letGo(RunningLot lot) {
    if (tools.timers().now() - lot.confirmedAt <= letMs) {
      return;
    }
    for (ItemRun item : lot.items) {
      if (item.underWay && !item.heard) {
        item.cancel();
        lot.underWay--;
        lot.ready.add(item.index);
      }
    }
  }

  void unheld(long bytes) {
    held -= bytes;
  }

  void pumpSoon(long ms) {
    if (!pumpSet) {
      pumpSet = true;
      tools.timers().after(ms, () -> {
        pumpSet = false;
        pump();
      });
    }
  }

  private void pump() {
    Timetable timetable = tools.known().timetable();
    if (servers == null || timetable == null || lots.isEmpty()) {
      return;
    }
    Map<String, Integer> room = new HashMap<>();
    boolean left = false;
    for (RunningLot lot : running()) {
      if (!lot.stopped && !lot.ready.isEmpty()) {
        if (lot.pieces == null) {
          fetch(lot);
        } else {
          startSome(lot, timetable, room);
        }
        left |= !lot.stopped && !lot.ready.isEmpty();
      }
    }
    if (left) {
      pumpSoon(LOOK_MS);
    }
  }

  private void fetch(RunningLot lot) {
    if (lot.fetching || fetches >= MOST_FETCHES) {
      return;
    }
    lot.fetching = true;
    fetches++;
    store.pieces(lot.id, lot.record, FETCH_MS).whenComplete((pieces, failed) -> {
      fetches--;
      if (failed == null) {
        lot.fetching = false;
        lot.pieces = pieces;
        pumpSoon(0);
      } else {
        tools.timers().after(tools.about(MOST_BACKOFF_MS), () -> {
          lot.fetching = false;
          pumpSoon(0);
        });
      }
    });
  }

  private void startSome(RunningLot lot, Timetable timetable, Map<String, Integer> room) {
    long now = tools.timers().now();
    boolean confirmed = now - lot.confirmedAt <= startMs;
    while (!lot.stopped && !lot.ready.isEmpty()) {
      ItemRun item = lot.items[lot.ready.peek()];
      if (item.done || item.underWay) {
        lot.ready.poll();
        continue;
      }
      Piece piece = lot.pieces.get(item.index);
      Route route = timetable.find(lot.record.host(), piece.lane());
      if (route == null && timetable.edition() <= lot.record.edition()) {
        return;
      }
      if (route == null || lot.record.shelfMs() > 0 && lot.ageMs(now) > lot.record.shelfMs()) {
        lot.ready.poll();
        finish(lot, item, false);
        continue;
      }
      Integer places = room.get(route.name());
      if (places == null) {
        places = servers.room(route);
      }
      if (!confirmed || places <= 0 || held > MOST_HELD) {
        room.put(route.name(), places);
        return;
      }
      lot.ready.poll();
      if (start(lot, item, route, piece)) {
        room.put(route.name(), places - 1);
      } else {
        lot.ready.add(item.index);
        room.put(route.name(), 0);
        return;
      }
    }
  }

  private boolean start(RunningLot lot, ItemRun item, Route route, Piece piece) {
    int run = ++item.run;
    item.underWay = true;
    item.heard = false;
    lot.underWay++;
    ItemServers.Running running = servers.start(route, piece, item.last, new ItemServers.Heard() {
      @Override
      public void event(long id, byte[] data) {
        if (item.run == run) {
          kept(lot, item, id, data);
        }
      }

      @Override
      public void ended(ItemServers.Ended how) {
        if (item.run == run) {
          item.running = null;
          item.cancel();
          lot.underWay--;
          over(lot, item, how, route);
        }
      }
    });
    if (running == null) {
      if (item.run == run) {
        item.run++;
        item.underWay = false;
        lot.underWay--;
      }
      return false;
    }
    if (item.run == run && item.underWay) {
      item.running = running;
    } else if (item.run > run) {
      running.cancel();
    }
    return true;
  }

  private void kept(RunningLot of, ItemRun to, long id, byte[] data) {
    int before = to.bytes();
    boolean next = to.event(id, data);
    held += to.bytes() - before;
    if (!next) {
      to.cancel();
      of.underWay--;
      held -= to.bytes();
      to.forgetText();
      again(of, to);
    }
  }

  private void over(RunningLot lot, ItemRun item, ItemServers.Ended how, Route route) {
    switch (how) {
      case WHOLE -> {
        if (item.any()) {
          finish(lot, item, true);
        } else {
          again(lot, item);
        }
      }
      case NEVER -> finish(lot, item, false);
      case FAILED -> {
        item.failures++;
        if (item.failures >= Math.max(1, route.tries())) {
          finish(lot, item, false);
        } else {
          again(lot, item);
        }
      }
      default -> again(lot, item);
    }
    pumpSoon(0);
  }

  private void finish(RunningLot lot, ItemRun item, boolean delivered) {
    held -= item.bytes();
    lot.finish(item, delivered);
    held += lot.finished.get(item.index).text().length;
    listing.soon(lot);
  }

  private void again(RunningLot lot, ItemRun item) {
    item.vain = item.heard ? 0 : item.vain + 1;
    long backoff = Math.min(MOST_BACKOFF_MS, AGAIN_MS << Math.min(item.vain, 5));
    tools.timers().after(tools.about(backoff), () -> {
      if (!lot.stopped && !item.done && !item.underWay) {
        lot.ready.add(item.index);
        pumpSoon(0);
      }
    });
  }
}
