package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import willowdoor.policy.GatewayApi.Rules;
import willowdoor.policy.GatewayApi.Settings;

/**
 * WIRE rule 4 for the sum of all processes: what they send to a cold backend in any window of
 * TipAfterMs.
 */
class FleetSlowStartTest {
  private static final int BACKENDS = 24;

  /** A backend bears one request at a time at least, so this much a second. */
  private static final double LEAST_CAPACITY = 1000 / FleetSlowStartModel.SERVICE_MS;

  private static final Rules USUAL = new Rules(8, 0.2, 10_000, 3, 2000);
  private static final List<Rules> SHAPES =
      List.of(
          USUAL,
          new Rules(8, 0.1, 20_000, 2, 1000),
          new Rules(8, 0.1, 3_000, 4, 4000),
          new Rules(8, 0.49, 5_000, 3, 2000),
          new Rules(8, 1, 8_000, 2, 4000),
          new Rules(8, 0.18, 18_000, 2, 2000));

  private static FleetSlowStartModel fleet(int processes) {
    return new FleetSlowStartModel(processes, BACKENDS, 10.0 * BACKENDS, USUAL, 17 + processes);
  }

  private static Executable holds(String what, FleetSlowStartModel m, double capacity) {
    double excess = m.worstExcess(capacity);
    return () ->
        assertTrue(
            excess <= 0,
            what
                + ", "
                + m.share.length
                + " processes, "
                + m.rules
                + ": "
                + Math.round(excess * 10) / 10.0
                + " over the budget and its chance");
  }

  /** Some start at once while all processes run. */
  private static void replace(FleetSlowStartModel m, int several) {
    for (int i = 0; i < several; i++) {
      m.put(i, m.now);
    }
    m.tellAll();
  }

  // Every process saves what it may send while it sends nothing there, then all send as much as
  // they may.
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 14, 20, 30, 100, 300})
  void whatAllSavedUpStaysInTheBudget(int processes) {
    List<Executable> checks = new ArrayList<>();
    for (Rules rules : SHAPES) {
      for (double perSecond : new double[] {1, 4, 30}) { // to a warm one, from all
        for (boolean uneven : new boolean[] {false, true}) {
          for (boolean restarted : new boolean[] {false, true}) {
            double excess = excessOfSaved(processes, rules, perSecond, uneven, restarted);
            checks.add(
                () ->
                    assertTrue(
                        excess <= 0,
                        perSecond
                            + " a second, uneven "
                            + uneven
                            + ", restarted "
                            + restarted
                            + ", "
                            + rules
                            + ": "
                            + Math.round(excess * 10) / 10.0
                            + " over"));
          }
        }
      }
    }
    assertAll(checks);
  }

  /**
   * Twelve backends, of which one starts; the others are sent to throughout. All processes save for
   * a while, then for a window they send to the cold one whenever they may.
   */
  private static double excessOfSaved(
      int processes, Rules rules, double perSecond, boolean uneven, boolean restarted) {
    SplittableRandom random = new SplittableRandom(5);
    double[] share = new FleetSlowStartModel(processes, 12, 1, rules, 1).share;
    if (uneven) {
      share = new FleetSlowStartModel(processes, 12, 1, rules, 1).uneven().share;
    }
    GatewayProcess[] all = new GatewayProcess[processes];
    for (int i = 0; i < processes; i++) {
      all[i] = new GatewayProcess(processes, i, rules, 1_000_000, 0);
      for (double t = 0; t < 16_000; t += 250) {
        all[i].warm(1_000_000 + t, 250 * perSecond * 11 * share[i] / 1000, random);
      }
    }
    double began = 1_016_000;
    double worst = Double.NEGATIVE_INFINITY;
    List<Double> sent = new ArrayList<>();
    for (GatewayProcess p : all) {
      p.begin(began);
    }
    double window = rules.overloadAfterMs();
    for (double t = 0; t < rules.warmUpMs(); t += 50) {
      double now = began + t;
      for (int i = 0; i < processes; i++) {
        if (restarted && random.nextDouble() < 0.02) { // every 2.5 s in the mean
          all[i] = new GatewayProcess(processes, i, rules, now, began);
        }
        all[i].warm(now, 50 * perSecond * 11 * share[i] / 1000, random);
        boolean spends = t % (3 * window) > 2 * window;
        for (boolean room = all[i].room(now); spends && room; room = all[i].room(now)) {
          all[i].coldRoom.onSend(all[i].cold);
          all[i].ctx.load.onAnswer(FleetSlowStartModel.SERVICE_MS, now);
          sent.add(now);
        }
      }
      double n = 0;
      for (double at = now - window; at < now; at += 10) {
        n +=
            rules.overloadMultiple()
                * 0.01
                * perSecond
                * Math.min(
                    1,
                    rules.warmUpStartShare()
                        + (1 - rules.warmUpStartShare())
                            * Math.max(0, at - began)
                            / rules.warmUpMs());
      }
      long in = sent.stream().filter(at -> at > now - window).count();
      worst = Math.max(worst, in - (n + 2 * Math.sqrt(n) + 2));
    }
    return worst;
  }

  /** The part of a process that bounds what a cold backend gets. */
  private static final class GatewayProcess {
    final Context ctx;
    final List<Backend> usual = new ArrayList<>();
    final SlowStart coldRoom;
    final Backend cold;
    int turn;

    GatewayProcess(int processes, int self, Rules rules, double now, double began) {
      Settings s = PolicyHarness.settings(false, processes, false, self);
      ctx =
          new Context(
              new Settings(
                  processes, self, "a", 4, 0, false, s.classes(), s.plans(), s.allowed(), rules),
              31 + self);
      ctx.now = now;
      ctx.load.servingBackends = 12;
      for (int i = 0; i < 12; i++) {
        usual.add(new Backend(ctx, i));
      }
      cold = usual.get(0);
      coldRoom = new SlowStart(ctx, usual);
      begin(began);
    }

    void begin(double began) {
      cold.startedMs = began;
      cold.warmUpCreditedAt = ctx.now;
      coldRoom.onSubsetChanged();
    }

    void warm(double now, double mean, SplittableRandom random) {
      ctx.now = now;
      int n = 0;
      for (double p = random.nextDouble(); p > Math.exp(-mean); p *= random.nextDouble()) {
        n++;
      }
      for (int i = 0; i < n; i++) {
        coldRoom.onSend(usual.get(1 + turn++ % 11));
        ctx.load.onAnswer(FleetSlowStartModel.SERVICE_MS, now);
      }
    }

    boolean room(double now) {
      ctx.now = now;
      return coldRoom.maySend(cold);
    }
  }

  // The whole module at every process, in each of the ways in which backends become cold.
  @ParameterizedTest
  @ValueSource(ints = {2, 14, 30, 100})
  void theSumOfAllStaysInTheBudget(int processes) {
    List<Executable> checks = new ArrayList<>();
    for (Rules rules : SHAPES) {
      scenario(checks, "one starts", processes, rules, m -> replace(m, 1));
      scenario(checks, "six in ten start", processes, rules, m -> replace(m, BACKENDS * 6 / 10));
    }
    scenario(checks, "the whole fleet starts", processes, USUAL, m -> replace(m, BACKENDS));
    scenario(
        checks,
        "one after another",
        processes,
        USUAL,
        m -> {
          for (int i = 0; i < 14; i++) {
            long id = 1000L + i;
            int gone = i;
            m.in(
                400 * i,
                () -> {
                  m.put(id, m.now);
                  m.tellAll();
                });
            m.in(400 * i + 300, () -> m.list.remove((long) gone));
          }
        });
    scenario(
        checks,
        "processes restart",
        processes,
        USUAL,
        m -> {
          replace(m, 6);
          for (int i = 0; i < 3 * processes; i++) {
            int which = i % processes;
            m.in(2500 * (i / processes) + m.random.nextInt(2500), () -> m.start(which));
          }
        });
    scenario(
        checks,
        "further attempts",
        processes,
        USUAL,
        m -> {
          m.failing = 0.15;
          replace(m, 6);
        });
    scenario(
        checks,
        "out of reach when told of",
        processes,
        USUAL,
        m -> {
          replace(m, 12);
          m.down.addAll(m.startedAt.keySet());
          m.in(3000, m.down::clear);
        });
    for (Rules rules : SHAPES) {
      scenario(
          checks,
          "the warm ones go",
          processes,
          rules,
          m -> {
            replace(m, 2);
            m.in(3000, () -> m.down.addAll(m.list.keySet().stream().filter(id -> id > 1).toList()));
          });
      scenario(
          checks,
          "few before many",
          processes,
          rules,
          m -> {
            m.perSecond /= 6;
            m.run(10_000);
            replace(m, 2);
            m.in(
                2500,
                () -> {
                  m.perSecond *= 6;
                  m.down.addAll(m.list.keySet().stream().filter(id -> id > 1).toList());
                });
          });
    }
    scenario(
        checks,
        "a ban ends",
        processes,
        USUAL,
        m -> {
          m.banAll(3, true);
          m.in(
              3000,
              () -> {
                m.startedAt.put(3L, m.now);
                m.banAll(3, false);
              });
        });
    assertAll(checks);
  }

  /**
   * Evenly used processes are held to what a warm one got in the mean, others to the most that one
   * got.
   */
  private static void scenario(
      List<Executable> checks,
      String what,
      int processes,
      Rules rules,
      Consumer<FleetSlowStartModel> change) {
    for (boolean uneven : new boolean[] {false, true}) {
      FleetSlowStartModel m =
          new FleetSlowStartModel(processes, BACKENDS, 3.0 * BACKENDS, rules, 17 + processes);
      if (uneven) {
        m.uneven();
      }
      m.startAll().run(18_000);
      double capacity =
          uneven ? m.mostCarried(m.now - 16_000, m.now) : m.carried(m.now - 16_000, m.now);
      change.accept(m);
      m.run(8_000);
      checks.add(holds(what + (uneven ? ", uneven" : ", even"), m, capacity));
    }
  }

  // None was told of, so it shows in failed connects; a few out of reach for long come back cold.
  @ParameterizedTest
  @ValueSource(ints = {2, 14, 100})
  void thoseNotToldOfAreHeldToTheBudgetOnceTheirConnectsFailed(int processes) {
    FleetSlowStartModel m = fleet(processes).startAll();
    m.run(10_000);
    double capacity = m.carried(m.now - 8000, m.now);
    m.down.addAll(List.of(0L, 1L, 2L, 3L));
    m.run(9_000);
    m.down.clear();
    for (long i = 0; i < 4; i++) {
      m.startedAt.put(i, m.now);
    }
    m.run(8_000);
    assertAll(holds("not told of", m, capacity));
  }

  // A fleet that has measured nothing before backends that have all just started.
  @ParameterizedTest
  @ValueSource(ints = {2, 14, 30, 100})
  void aFleetThatHasMeasuredNothingStaysInTheBudget(int processes) {
    FleetSlowStartModel m = fleet(processes);
    replaceBefore(m);
    m.startAll().run(10_000);
    assertAll(holds("all new", m, LEAST_CAPACITY));
    double sent = m.startedAt.keySet().stream().mapToInt(id -> m.sent(id, 0, m.now)).sum();
    double due = BACKENDS * m.due(0, LEAST_CAPACITY, m.now - 10_000, m.now);
    assertTrue(sent > 0.3 * due, "they are used: " + sent + " of " + due);
  }

  private static void replaceBefore(FleetSlowStartModel m) {
    for (int i = 0; i < BACKENDS; i++) {
      m.put(i, m.now);
    }
  }

  // Few or many processes, evenly used or not: those that start get their share as they warm up, by
  // what the
  // same ones got before. A hundred processes get to use what they earn later, and lose some of it.
  @ParameterizedTest
  @ValueSource(ints = {2, 3, 14, 30, 100})
  void coldOnesGetTheirShare(int processes) {
    List<Executable> checks = new ArrayList<>();
    for (double perSecond : new double[] {10, 3}) {
      for (int several : new int[] {6, 14}) {
        for (boolean uneven : new boolean[] {false, true}) {
          FleetSlowStartModel m = fleet(processes);
          m.perSecond = perSecond * BACKENDS;
          if (uneven) {
            m.uneven();
          }
          double share = shareOfDue(m, several);
          double least = processes > 30 ? 0.38 : 0.72;
          checks.add(
              () ->
                  assertTrue(
                      share > least && share < 1.2,
                      several
                          + " cold, "
                          + perSecond
                          + " a second, uneven "
                          + uneven
                          + ": "
                          + share
                          + " of their share"));
        }
      }
    }
    assertAll(checks);
  }

  private static double shareOfDue(FleetSlowStartModel m, int several) {
    m.startAll().run(18_000);
    double from = m.now;
    double before = 0; // a second
    for (long id = 0; id < several; id++) {
      before += m.sent(id, from - 16_000, from) / 16.0;
    }
    double warmBefore = m.carried(from - 16_000, from);
    replace(m, several);
    m.run(8_000);
    double due = m.due(0, before, from, m.now) * m.carried(from, m.now) / warmBefore;
    double sent = m.startedAt.keySet().stream().mapToInt(id -> m.sent(id, from, m.now)).sum();
    return sent / due;
  }
}
