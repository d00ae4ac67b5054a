package elmsail.lots.run;

import elmsail.inner.words.Note;
import elmsail.lots.store.LotStore;
import elmsail.lots.store.Tools;
import elmsail.lots.words.Beat;
import elmsail.lots.words.Digest;
import elmsail.lots.words.Kinds;
import elmsail.lots.words.LotRecord;
import elmsail.lots.words.Orphan;
import elmsail.lots.words.Packer;
import elmsail.lots.words.Unpacker;
import elmsail.register.Register;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tells the keepers what this door runs, by which it knows that the lots are still its own, and takes over
 * lots whose runner is not heard any more.
 */
public final class Watch {
  private static final long BEAT_MS = 500;
  private static final long LOOK_MS = 700;
  private static final long ANSWER_MS = 600;
  private static final long UNHEARD_MS = 2_000;
  private static final long RANK_MS = 400;
  /** A keeper alone in not having heard of a lot for so long has missed a change of it. */
  private static final long STALE_MS = 6_000;
  private static final long CHANGE_MS = 1_500;
  private static final int MOST_TAKING = 8;
  /** Lots of one beat; the rest are confirmed by reads. */
  private static final int MOST_RUNS = 1_000;

  private final Tools tools;
  private final LotStore store;
  private final LotRunner runner;
  private final Set<String> taking = new HashSet<>();

  public Watch(Tools tools, LotStore store, LotRunner runner) {
    this.tools = tools;
    this.store = store;
    this.runner = runner;
  }

  public void start() {
    tools.timers().after(tools.about(BEAT_MS), this::beat);
    tools.timers().after(tools.about(LOOK_MS), this::look);
  }

  private void beat() {
    tools.timers().after(BEAT_MS, this::beat);
    List<RunningLot> lots = runner.running();
    if (lots.isEmpty()) {
      return;
    }
    long sent = tools.timers().now();
    List<RunningLot> told = lots.size() > MOST_RUNS ? lots.subList(0, MOST_RUNS) : lots;
    List<Beat.Run> runs = new ArrayList<>(told.size());
    for (RunningLot lot : told) {
      runs.add(new Beat.Run(lot.id, lot.term));
    }
    int[] yours = new int[told.size()];
    int majority = tools.majority();
    Note beat = Kinds.note(Kinds.BEAT, new Beat(tools.self(), runs).packed());
    tools.askKeepers(beat, ANSWER_MS, (seat, answer) -> {
      if (answer != null) {
        Unpacker from = new Unpacker(answer.bytes);
        for (int i = 0; i < yours.length && from.more(); i++) {
          long one = from.number();
          RunningLot lot = told.get(i);
          if (one == Beat.YOURS && ++yours[i] == majority) {
            lot.confirmed(sent);
          } else if (one == Beat.GONE) {
            read(lot);
          }
        }
      }
    });
    for (RunningLot lot : lots) {
      runner.letGo(lot);
      if (sent - lot.confirmedAt > 2 * BEAT_MS) {
        read(lot);
      }
    }
  }

  private void read(RunningLot lot) {
    if (lot.reading || lot.stopped) {
      return;
    }
    lot.reading = true;
    long began = tools.timers().now();
    store.read(lot.id, ANSWER_MS).whenComplete((record, failed) -> {
      lot.reading = false;
      if (failed == null && !lot.stopped) {
        runner.heard(lot.id, record, began);
      }
    });
  }

  private void look() {
    tools.timers().after(tools.about(LOOK_MS), this::look);
    int keepers = tools.keepers().size();
    if (keepers == 0) {
      return;
    }
    Map<String, List<Orphan>> reported = new HashMap<>();
    int[] answers = new int[1];
    Note ask = Kinds.note(Kinds.ORPHANS, new Packer().number(UNHEARD_MS).packed());
    tools.askKeepers(ask, ANSWER_MS, (seat, answer) -> {
      if (answer != null) {
        for (Orphan one : Orphan.unpacked(answer.bytes)) {
          reported.computeIfAbsent(one.lot(), lot -> new ArrayList<>()).add(one);
        }
      }
      if (++answers[0] == keepers) {
        reported.forEach(this::judge);
      }
    });
  }

  private void judge(String lot, List<Orphan> reports) {
    int rank = rank(lot);
    long unheard = Long.MAX_VALUE;
    long term = 0;
    int ripe = 0;
    for (Orphan one : reports) {
      term = Math.max(term, one.term());
      if (one.unheardMs() >= UNHEARD_MS + rank * RANK_MS) {
        ripe++;
        unheard = Math.min(unheard, one.unheardMs());
      }
    }
    if (taking.size() >= MOST_TAKING || taking.contains(lot) || runner.runs(lot)) {
      return;
    }
    if (ripe >= tools.majority()) {
      take(lot, term, unheard);
    } else if (ripe > 0 && unheard > STALE_MS + rank * LOOK_MS) {
      mend(lot);
    }
  }

  /** How many doors come before this one in the lot's own order of doors. */
  private int rank(String lot) {
    long own = Digest.of(tools.self() + "|" + lot);
    int before = 0;
    for (String door : tools.known().roster().clerks) {
      if (!door.equals(tools.self()) && Digest.of(door + "|" + lot) > own) {
        before++;
      }
    }
    return before;
  }

  private void take(String lot, long term, long unheardMs) {
    taking.add(lot);
    long began = tools.timers().now();
    boolean[] proposed = new boolean[1];
    tools.register().change(LotRecord.keyOf(lot), found -> {
      LotRecord record = found.value() == null ? null : LotRecord.unpacked(found.value());
      if (record == null || !record.open() || record.term() != term) {
        return new Register.Wanted(null, List.of());
      }
      proposed[0] = true;
      return new Register.Wanted(record.runBy(tools.self(), record.ageMs() + unheardMs).packed(), List.of());
    }, List.of(), null, CHANGE_MS).whenComplete((held, failed) -> {
      taking.remove(lot);
      LotRecord record = failed == null ? store.decided(lot, held.now()) : null;
      if (proposed[0] && record != null && record.term() == term + 1
          && record.runner().equals(tools.self())) {
        runner.adopt(lot, record, record.ageMs(), began);
      }
    });
  }

  /** Writes a lot's record once more, for a keeper that missed it. */
  private void mend(String lot) {
    taking.add(lot);
    tools.register().change(LotRecord.keyOf(lot), found -> {
      LotRecord record = found.value() == null ? null : LotRecord.unpacked(found.value());
      return record == null ? new Register.Wanted(null, List.of())
          : new Register.Wanted(record.again().packed(), List.of());
    }, List.of(), null, CHANGE_MS).whenComplete((held, failed) -> {
      taking.remove(lot);
      if (failed == null) {
        store.decided(lot, held.now());
      }
    });
  }
}
