package elmsail.notary;

import elmsail.inner.Answering;
import elmsail.inner.Caller;
import elmsail.inner.words.HelloAsk;
import elmsail.inner.words.HelloTold;
import elmsail.inner.words.Seating;
import elmsail.station.Timers;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * How a notary comes by the seating of "head": it asks the seeds until one knows it, or, at the first
 * start of all, until all of them have told their lives; from these each computes the same. A life that did
 * not begin at the first start founds nothing, and nothing is founded with it.
 */
final class HeadFounding {
  private static final long EVERY_MS = 100;
  private static final long TIMEOUT_MS = 400;
  private static final long SLOWEST_MS = 1_000;

  private final Caller caller;
  private final Timers timers;
  private final HelloTold own;
  private final List<String> seeds;
  private final Supplier<Seating> seating;
  private final Consumer<Seating> found;
  private final Consumer<Seating> learn;
  private final TreeMap<String, HelloTold> lives = new TreeMap<>();
  private long pause = EVERY_MS;
  private boolean founded;
  private boolean closed;

  /**
   * Makes one.
   *
   * @param own what this process says of itself; {@code firstStart} only once that is on its disk
   * @param seeds inner addresses, this one's too if it is one of them
   * @param seating as this process knows it now
   * @param found takes the first seating, once
   * @param learn takes a seating that another knows
   */
  HeadFounding(Caller caller, Timers timers, HelloTold own, List<String> seeds, Supplier<Seating> seating,
      Consumer<Seating> found, Consumer<Seating> learn) {
    this.caller = caller;
    this.timers = timers;
    this.own = own;
    this.seeds = List.copyOf(new TreeSet<>(seeds));
    this.seating = seating;
    this.found = found;
    this.learn = learn;
  }

  void start(Answering answering) {
    answering.on(HelloAsk.class, ask -> CompletableFuture.completedFuture(told()));
    ask();
  }

  private HelloTold told() {
    HelloTold told = new HelloTold();
    told.station = own.station;
    told.address = own.address;
    told.life = own.life;
    told.firstStart = own.firstStart;
    told.seating = seating.get();
    return told;
  }

  private void ask() {
    if (closed || !seating.get().seats.isEmpty()) {
      return;
    }
    HelloAsk ask = new HelloAsk();
    ask.station = own.station;
    ask.address = own.address;
    for (String seed : seeds) {
      if (seed.equals(own.address)) {
        heard(seed, told());
      } else if (!lives.containsKey(seed) || !own.firstStart) {
        caller.call(seed, ask, HelloTold.class, TIMEOUT_MS).thenAccept(told -> heard(seed, told));
      }
    }
    if (!own.firstStart) {
      pause = Math.min(SLOWEST_MS, pause * 3 / 2);
    }
    timers.after(pause, this::ask);
  }

  private void heard(String seed, HelloTold told) {
    if (closed || founded || !seating.get().seats.isEmpty()) {
      return;
    }
    if (told.seating != null && !told.seating.seats.isEmpty()) {
      learn.accept(told.seating);
      return;
    }
    if (told.firstStart && seed.equals(told.address)) {
      lives.put(seed, told);
    }
    if (own.firstStart && seeds.contains(own.address) && lives.size() == seeds.size()) {
      Seating first = new Seating();
      for (HelloTold one : lives.values()) {
        first.seats.add(SeatingValues.seat(one.address, one.station, one.life, 1));
      }
      founded = true;
      found.accept(first);
    }
  }

  void close() {
    closed = true;
  }
}
