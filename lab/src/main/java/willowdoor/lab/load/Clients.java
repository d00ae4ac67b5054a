package willowdoor.lab.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.HdrHistogram.Histogram;
import willowdoor.lab.fleet.Fleet;
import willowdoor.lab.net.OwnLoop;
import willowdoor.lab.record.Entry;
import willowdoor.lab.record.Recorder;

/**
 * The customers' clients: requests begin at times that are drawn, whatever became of those before.
 * Each goes to one of its customer's front doors that is known to be there; one that is gone is
 * noticed late. All on one loop.
 */
public final class Clients implements Fleet.Listener, Closeable {

  private static final int MOST_TRIES = 3;

  /** Latencies up to a minute are told apart. */
  private static final long MOST_US = 60_000_000;

  /**
   * How requests of a class went: latencies of those served in microseconds, and how many ended
   * how.
   */
  public record Figures(Histogram served, Map<String, Integer> ended) {}

  private final OwnLoop own = new OwnLoop();
  private final EventLoop loop = own.loop();
  private final LoadSpec spec;
  private final Recorder records;
  private final RandomGenerator random;
  private final List<String> doors;
  private final Map<String, Connections> connections = new LinkedHashMap<>();
  private final Set<String> there = new LinkedHashSet<>();
  private final Set<String> running = new LinkedHashSet<>();
  private final Map<String, List<Ask.Customer>> customers = new TreeMap<>();
  private final Map<String, Ask.Type> types = new LinkedHashMap<>();
  private final Drawn plans;
  private final Drawn classes;
  private final int mostUnits;
  private final Map<String, Figures> figures = new TreeMap<>();
  private double ratePerS;
  private double nextUs;
  private boolean stopped;
  private int open;

  /**
   * Clients of these front doors, in the order that customers' sets count them; nothing begins yet.
   *
   * @param unreached whether a connection from that address never got what was last written to it
   *     to its door
   */
  public Clients(
      LoadSpec spec,
      JsonNode settings,
      Map<String, InetSocketAddress> doors,
      Predicate<SocketAddress> unreached,
      Recorder records,
      long seed) {
    this.spec = spec;
    this.records = records;
    this.doors = List.copyOf(doors.keySet());
    ratePerS = spec.ratePerS();
    random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    settings
        .path("Profiles")
        .forEach(
            p ->
                types.put(
                    p.path("Name").asText(),
                    new Ask.Type(
                        p.path("Name").asText(),
                        p.path("Repeat").asText().equals("pure"),
                        p.path("Repeat").asText().equals("token"),
                        p.path("DeadlineMs").asInt())));
    mostUnits = settings.path("Extra").path("MaxUnits").asInt(1);
    plans = new Drawn(spec.plans());
    classes = new Drawn(spec.classes());
    int spread = Math.min(spec.spread(), doors.size());
    for (int i = 0; i < spec.customers(); i++) {
      Ask.Customer customer =
          new Ask.Customer(
              String.format("%016x", random.nextLong(1L << 33)),
              plans.next(random),
              random.nextInt(doors.size()),
              spread);
      customers.computeIfAbsent(customer.plan(), p -> new ArrayList<>()).add(customer);
    }
    doors.forEach(
        (id, address) ->
            connections.put(
                id,
                new Connections(
                    own, address, spec.connections(), records.clock(), unreached, this::ended)));
    types
        .keySet()
        .forEach(t -> figures.put(t, new Figures(new Histogram(MOST_US, 3), new TreeMap<>())));
  }

  public EventLoop loop() {
    return loop;
  }

  /** A process that has begun is not taken in before it is ready. */
  @Override
  public void begun(String door) {
    // Nothing to do.
  }

  @Override
  public void up(String door) {
    loop.execute(
        () -> {
          running.add(door);
          if (connections.containsKey(door)) {
            there.add(door);
          }
        });
  }

  @Override
  public void down(String door) {
    loop.execute(
        () -> {
          running.remove(door);
          loop.schedule(
              () -> {
                if (!running.contains(door)) {
                  there.remove(door);
                }
              },
              spec.noticeMs(),
              TimeUnit.MILLISECONDS);
        });
  }

  public void begin() {
    loop.execute(
        () -> {
          nextUs = records.clock().nowUs();
          later();
        });
  }

  /** Changes how many requests begin in a second. */
  public void rate(double perS) {
    loop.execute(
        () -> {
          boolean paused = ratePerS <= 0;
          ratePerS = perS;
          if (paused && !stopped) {
            nextUs = records.clock().nowUs();
            later();
          }
        });
  }

  /**
   * Begins nothing more; true once all that was begun has ended, false where it has not in the
   * time.
   */
  public boolean finish(long limitMs) throws InterruptedException {
    loop.execute(() -> stopped = true);
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
    while (loop.submit(() -> open).sync().getNow() > 0) {
      if (System.nanoTime() > until) {
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(5);
    }
    return true;
  }

  /** How requests went, by class; to be asked for once all have ended. */
  public Map<String, Figures> figures() {
    return figures;
  }

  private void later() {
    if (ratePerS <= 0 || stopped) {
      return;
    }
    nextUs += -Math.log(1 - random.nextDouble()) * 1e6 / ratePerS;
    long wait = (long) nextUs - records.clock().nowUs();
    loop.schedule(
        () -> {
          if (!stopped) {
            ask();
            later();
          }
        },
        Math.max(0, wait),
        TimeUnit.MICROSECONDS);
  }

  private void ask() {
    List<Ask.Customer> of = customers.get(plans.next(random));
    Ask.Type type = types.get(classes.next(random));
    int units = 1 + random.nextInt(mostUnits);
    String id = String.format("%016x", random.nextLong());
    int at = random.nextInt(1 << 20);
    if (of != null) {
      begin(id, type, of.get(at % of.size()), units, type.deadlineMs(), 0);
    }
  }

  private void begin(
      String id, Ask.Type type, Ask.Customer customer, int units, int timeoutMs, int tries) {
    open++;
    List<String> set = new ArrayList<>();
    for (int i = 0; i < customer.spread(); i++) {
      String door = doors.get((customer.first() + i) % doors.size());
      if (there.contains(door)) {
        set.add(door);
      }
    }
    String door = set.isEmpty() ? "" : set.get(random.nextInt(set.size()));
    Ask ask = new Ask(id, type, customer, units, timeoutMs, door, tries);
    if (door.isEmpty()) {
      ended(ask, 0, "unreachable", "");
    } else {
      connections.get(door).send(ask);
    }
  }

  private void ended(Ask ask, int status, String how, String body) {
    open--;
    long now = records.clock().nowUs();
    long begin = ask.begin == 0 ? now : ask.begin;
    records.write(
        new Entry.Asked(
            begin,
            now,
            ask.id,
            ask.type.name(),
            ask.customer.plan(),
            ask.customer.id(),
            ask.units,
            ask.timeoutMs,
            ask.door,
            ask.taken,
            status,
            how,
            body,
            ask.resent));
    Figures of = figures.get(ask.type.name());
    of.ended().merge(status > 0 ? Integer.toString(status) : how, 1, Integer::sum);
    if (status == 200) {
      of.served().recordValue(Math.min(MOST_US, now - begin));
    }
    if (spec.retry()
        && !stopped
        && ask.tries + 1 < MOST_TRIES
        && status != 200
        && (ask.type.safe() || status == 429 || status == 503 || !ask.taken)) {
      int left = ask.timeoutMs - (int) ((now - begin) / 1_000);
      int wait = 100 + random.nextInt(200);
      if (left > wait + 50) {
        String id = String.format("%016x", random.nextLong());
        loop.schedule(
            () -> begin(id, ask.type, ask.customer, ask.units, left - wait, ask.tries + 1),
            wait,
            TimeUnit.MILLISECONDS);
      }
    }
  }

  @Override
  public void close() {
    own.close();
  }
}
