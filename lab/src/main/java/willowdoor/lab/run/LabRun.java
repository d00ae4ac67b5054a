package willowdoor.lab.run;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import willowdoor.lab.fleet.Fleet;
import willowdoor.lab.fleet.LaunchLine;
import willowdoor.lab.fleet.Loopback;
import willowdoor.lab.load.Clients;
import willowdoor.lab.load.Observer;
import willowdoor.lab.net.OwnLoop;
import willowdoor.lab.peers.CounterStandIn;
import willowdoor.lab.peers.DiscoveryStandIn;
import willowdoor.lab.peers.TemplateServers;
import willowdoor.lab.record.Entry;
import willowdoor.lab.record.LabClock;
import willowdoor.lab.record.Recorder;
import willowdoor.lab.relay.Relay;

/**
 * Plays a schedule: everything is opened in the order of the fields and closed in the reverse one,
 * and no process is left, whatever goes wrong on the way.
 */
public final class LabRun implements Closeable {

  private static final Logger LOG = LoggerFactory.getLogger(LabRun.class);

  /**
   * The longest that a planned end may take beyond the longest deadline, as the platform has it.
   */
  private static final long END_MS = 700;

  private static final long LATE_MS = 2_500;

  private final Schedule schedule;
  private final Deque<Closeable> open = new ArrayDeque<>();
  private final Recorder records;
  private final EventLoopGroup calls;
  private final Relay relay;
  private final FaultLog faults;
  private final Fleet fleet;
  private final Clients clients;
  private final CounterStandIn counter;
  private final Actions actions;
  private final Loopback net;
  private final Thread flushing;
  private Map<String, Relay.Sent> sent = new HashMap<>();
  private long sentUs;

  /** Opens all but the front doors, and writes to the folder, which is made. */
  public LabRun(Schedule schedule, LaunchLine launch, Path folder) throws IOException {
    this.schedule = schedule;
    try {
      records = keep(new Recorder(new LabClock(), folder));
      flushing = new Thread(records::flush, "records-end");
      Runtime.getRuntime().addShutdownHook(flushing);
      Files.writeString(folder.resolve("schedule.toml"), schedule.toml());
      net = keep(Loopback.claim());
      calls = keep(new OwnLoop()).loop();
      relay = keep(new Relay(schedule.seed));
      faults = new FaultLog(records);
      TemplateServers servers =
          keep(new TemplateServers(schedule.servers.spec(), records, schedule.seed));
      counter =
          keep(
              new CounterStandIn(
                  records, schedule.counter.callsPerS(), schedule.counter.queueMs()));
      DiscoveryStandIn discovery = keep(new DiscoveryStandIn(records));
      Wiring wiring = new Wiring(schedule, net, relay, discovery);
      fleet =
          keep(
              new Fleet(
                  launch,
                  net,
                  records,
                  folder.resolve("doors"),
                  calls,
                  wiring::config,
                  schedule.doors.flags()));
      wiring.servers(servers);
      List<String> doors = schedule.parties.doors();
      for (String door : doors) {
        wiring.door(door, counter);
        fleet.add(door);
      }
      wiring.peers(doors);
      clients =
          keep(
              new Clients(
                  schedule.load,
                  schedule.settings,
                  wiring.clientsSee(doors.subList(0, schedule.doors.count())),
                  relay::unreached,
                  records,
                  schedule.seed));
      fleet.listen(clients);
      fleet.listen(new Faces());
      actions =
          new Actions(
              schedule,
              new Actions.Stage(
                  fleet, relay, servers, counter, discovery, clients, net, calls, records.clock()),
              faults);
      Pulse.of(relay.loop(), records, "relay");
      Pulse.of(clients.loop(), records, "clients");
      long now = records.clock().nowUs();
      JsonNode settings = wiring.settings(0);
      records.write(
          new Entry.Run(
              now,
              now,
              schedule.name,
              schedule.seed,
              System.currentTimeMillis(),
              doors,
              settings,
              schedule.bounds));
    } catch (IOException | RuntimeException e) {
      close();
      throw e;
    }
  }

  private <T extends Closeable> T keep(T part) {
    open.push(part);
    return part;
  }

  /**
   * A front door that is gone refuses connections, at its faces as at its own address; clients are
   * refused until it is ready, as it does not listen to them before.
   */
  private final class Faces implements Fleet.Listener {
    @Override
    public void begun(String door) {
      CompletableFuture.runAsync(() -> follow(door));
    }

    @Override
    public void up(String door) {
      begun(door);
    }

    @Override
    public void down(String door) {
      begun(door);
    }

    private synchronized void follow(String door) {
      try {
        relay.refuse(door, Parties.CLIENTS::equals, !fleet.ready(door));
        relay.refuse(door, caller -> !caller.equals(Parties.CLIENTS), !fleet.alive(door));
      } catch (IOException e) {
        LOG.error("the relay's faces of {} cannot be changed", door, e);
      }
    }
  }

  /** Plays it to its end; what it showed stands in the records. */
  public Map<String, Clients.Figures> play() throws IOException, InterruptedException {
    startAll();
    List<Future<?>> repeated = new ArrayList<>();
    open.push(() -> repeated.forEach(f -> f.cancel(false)));
    for (Schedule.Observation o : schedule.observations) {
      for (String door : schedule.parties.doors()) {
        repeated.add(
            new Observer(calls, records, door, net.own(door, Loopback.OPERATORS), o.path())
                .every(o.everyMs()));
      }
    }
    traffic();
    repeated.add(calls.scheduleAtFixedRate(this::tick, 1, 1, TimeUnit.SECONDS));
    counter.begin();
    clients.begin();
    long begun = System.nanoTime();
    List<Step> steps = new ArrayList<>(schedule.steps);
    steps.sort(Comparator.comparingLong(Step::atMs));
    for (Step step : steps) {
      sleepUntil(begun, step.atMs());
      play(step);
    }
    sleepUntil(begun, schedule.runMs);
    long deadlineMs = longestDeadlineMs();
    if (!clients.finish(deadlineMs + LATE_MS)) {
      LOG.warn("requests were still open when the run was over");
    }
    repeated.forEach(f -> f.cancel(false));
    faults.close();
    traffic();
    fleet.end(Math.min(3_000, deadlineMs) + END_MS);
    return clients.figures();
  }

  private void play(Step step) {
    try {
      actions.play(step);
      records.flush();
    } catch (IOException e) {
      LOG.warn("{} could not be done: {}", step, e.getMessage());
    }
  }

  private long longestDeadlineMs() {
    long longest = 0;
    for (JsonNode type : schedule.settings.path("Profiles")) {
      longest = Math.max(longest, type.path("DeadlineMs").asLong());
    }
    return longest;
  }

  /** So many at once as the schedule says; one that does not get ready ends the run. */
  private void startAll() throws IOException, InterruptedException {
    List<String> doors = schedule.parties.doors().subList(0, schedule.doors.count());
    Deque<CompletableFuture<Boolean>> starting = new ArrayDeque<>();
    Deque<String> names = new ArrayDeque<>();
    for (String door : doors) {
      if (starting.size() >= schedule.doors.together()) {
        await(names.poll(), starting.poll());
      }
      names.add(door);
      starting.add(fleet.start(door));
    }
    while (!names.isEmpty()) {
      await(names.poll(), starting.poll());
    }
  }

  private static void await(String door, CompletableFuture<Boolean> ready) throws IOException {
    if (!ready.join()) {
      throw new IOException(door + " did not get ready: see its log");
    }
  }

  private static void sleepUntil(long begun, long atMs) throws InterruptedException {
    long left = begun + TimeUnit.MILLISECONDS.toNanos(atMs) - System.nanoTime();
    if (left > 0) {
      TimeUnit.NANOSECONDS.sleep(left);
    }
  }

  private void tick() {
    traffic();
    records.flush();
  }

  /** Records what each party has sent since it was last done. */
  private synchronized void traffic() {
    try {
      long now = records.clock().nowUs();
      Map<String, Relay.Sent> all = relay.sent();
      all.forEach(
          (party, s) -> {
            Relay.Sent before = sent.getOrDefault(party, new Relay.Sent(0, 0, 0));
            records.write(
                new Entry.Traffic(
                    sentUs,
                    now,
                    party,
                    s.datagrams() - before.datagrams(),
                    s.datagramBytes() - before.datagramBytes(),
                    s.streamBytes() - before.streamBytes()));
          });
      sent = all;
      sentUs = now;
    } catch (IOException e) {
      LOG.warn("the relay does not tell what went through", e);
    }
  }

  @Override
  public void close() throws IOException {
    IOException failed = null;
    while (!open.isEmpty()) {
      try {
        open.pop().close();
      } catch (IOException e) {
        failed = e;
      }
    }
    try {
      if (flushing != null) {
        Runtime.getRuntime().removeShutdownHook(flushing);
      }
    } catch (IllegalStateException e) {
      LOG.debug("already shutting down");
    }
    if (failed != null) {
      throw failed;
    }
  }
}
