package elmsail.notary;

import elmsail.disk.Records;
import elmsail.disk.Records.Change;
import elmsail.inner.Answering;
import elmsail.inner.Caller;
import elmsail.inner.words.HelloTold;
import elmsail.inner.words.Seating;
import elmsail.register.Seatings;
import elmsail.register.SeatingRules;
import elmsail.register.SetKeeper;
import elmsail.register.Views;
import elmsail.station.Settings;
import elmsail.station.Timers;
import java.util.ArrayList;
import java.util.List;

/** This process's part in the set "head": a keeper where it has a disk, just the knowledge where not. */
final class HeadSeats implements Seatings {
  static final String SET = "head";

  /** On disk: this life began at the first start of the whole system. */
  private static final String BORN = "notary/born";

  private final Settings settings;
  private final Timers timers;
  private final Caller caller;
  private final Records records;
  private final SetKeeper keeper;
  private HeadFounding founding;
  private Seating learned = new Seating();
  private boolean born;

  /**
   * Makes one.
   *
   * @param records null where this process has no disk: it has no vote
   */
  HeadSeats(Settings settings, Timers timers, Caller caller, Answering answering, Records records) {
    this.settings = settings;
    this.timers = timers;
    this.caller = caller;
    this.records = records;
    this.keeper = records == null ? null : new SetKeeper(SET, records, new Views() { }, answering, caller,
        timers, settings.innerAddress(), settings.station());
    this.born = records != null && (settings.firstStart() || records.read(BORN) != null);
  }

  /** Answers the others only once it is on the disk whether this life may found. */
  void start(Answering answering) {
    if (born && records.read(BORN) == null) {
      records.write(List.of(new Change(BORN, new byte[] {1}))).thenRun(() -> begin(answering));
    } else {
      begin(answering);
    }
  }

  private void begin(Answering answering) {
    HelloTold own = new HelloTold();
    own.station = settings.station();
    own.address = settings.innerAddress();
    own.life = records == null ? 0 : records.life();
    own.firstStart = born;
    List<String> seeds = new ArrayList<>();
    for (String seed : settings.seeds()) {
      seeds.add(settings.headInner(seed));
    }
    founding = new HeadFounding(caller, timers, own, seeds, this::of, seating -> keeper.found(seating),
        this::told);
    founding.start(answering);
  }

  /** Whether this life, or the memory of this disk, began at the first start of all. */
  boolean born() {
    return born;
  }

  /** Whether this process votes now. */
  boolean seated() {
    return keeper != null && keeper.seated();
  }

  /** Whether it holds a seat, voting or not yet. */
  boolean holdsSeat() {
    return keeper != null && SeatingValues.seatOf(of(), settings.innerAddress()) >= 0;
  }

  @Override
  public Seating of() {
    return keeper == null ? learned : keeper.seating();
  }

  @Override
  public void told(Seating newer) {
    if (keeper == null) {
      learned = SeatingRules.merge(learned, newer);
    } else if (SeatingRules.newer(newer, keeper.seating())) {
      keeper.learn(newer);
    }
  }

  void close() {
    if (founding != null) {
      founding.close();
    }
  }
}
