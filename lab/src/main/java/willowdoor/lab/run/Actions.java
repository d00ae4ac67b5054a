package willowdoor.lab.run;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import willowdoor.lab.fleet.Fleet;
import willowdoor.lab.fleet.Loopback;
import willowdoor.lab.fleet.OneCall;
import willowdoor.lab.load.Clients;
import willowdoor.lab.peers.CounterStandIn;
import willowdoor.lab.peers.DiscoveryStandIn;
import willowdoor.lab.peers.Mode;
import willowdoor.lab.peers.TemplateServers;
import willowdoor.lab.record.LabClock;
import willowdoor.lab.relay.Faults;
import willowdoor.lab.relay.Pair;
import willowdoor.lab.relay.Relay;

/** Carries out steps, and has them recorded. */
final class Actions {

  private static final long CALL_MS = 2_000;

  /** All that a step may be done to. */
  record Stage(
      Fleet fleet,
      Relay relay,
      TemplateServers servers,
      CounterStandIn counter,
      DiscoveryStandIn discovery,
      Clients clients,
      Loopback net,
      EventLoopGroup calls,
      LabClock clock) {}

  private final Schedule schedule;
  private final Stage stage;
  private final FaultLog log;

  Actions(Schedule schedule, Stage stage, FaultLog log) {
    this.schedule = schedule;
    this.stage = stage;
    this.log = log;
  }

  /** Returns once it is in force; a start is when the process runs, not when it is ready. */
  void play(Step step) throws IOException {
    long begin = stage.clock().nowUs();
    RandomGenerator random =
        RandomGeneratorFactory.of("L64X128MixRandom")
            .create(schedule.seed ^ 31 * step.atMs() ^ (long) step.action().ordinal() << 40);
    List<String> targets = schedule.parties.resolve(step.targets(), List.of(), random);
    switch (step.action()) {
      case KILL, TERM, STOP, CONT, START, STARVE -> processes(step, targets, begin);
      case CUT,
          HEAL,
          RESET,
          DELAY,
          LIMIT,
          DROP,
          DUPLICATE,
          REORDER,
          GARBLE,
          BREAK_AFTER,
          REPLAY,
          STRAY ->
          network(step, targets, random, begin);
      default -> {
        peers(step, targets);
        log.done(begin, stage.clock().nowUs(), step, targets);
      }
    }
  }

  private void processes(Step step, List<String> doors, long begin) throws IOException {
    switch (step.action()) {
      case START -> {
        for (String door : doors) {
          stage.fleet().start(door);
        }
      }
      case STARVE -> {
        for (String door : doors) {
          stage.fleet().starve(door, step.number("share", 1), (long) step.number("for_ms", 0));
        }
      }
      default -> stage.fleet().signal(doors, step.action().name());
    }
    if (step.action() == Action.CONT || step.action() == Action.KILL) {
      doors.forEach(log::goOn);
    }
    if (step.action() == Action.STOP) {
      log.stopped(begin, step, doors);
    } else {
      long end =
          step.action() == Action.STARVE
              ? begin + LabClock.us(step.number("for_ms", 0))
              : stage.clock().nowUs();
      log.done(begin, end, step, doors);
    }
  }

  private void network(Step step, List<String> targets, RandomGenerator random, long begin)
      throws IOException {
    List<String> to =
        step.to() == null
            ? schedule.parties.resolve(List.of("all"), targets, random)
            : schedule.parties.resolve(step.to(), targets, random);
    String way = step.text("way", "both");
    Set<Pair> ways = new LinkedHashSet<>();
    for (String target : targets) {
      for (String other : to) {
        if (!target.equals(other)) {
          if (!way.equals("in")) {
            ways.add(new Pair(target, other));
          }
          if (!way.equals("out")) {
            ways.add(new Pair(other, target));
          }
        }
      }
    }
    Map<String, Object> args = new HashMap<>(step.args());
    args.put("to", to);
    Step resolved = new Step(step.atMs(), step.action(), targets, args);
    switch (step.action()) {
      case RESET -> stage.relay().reset(ways);
      case REPLAY -> {
        for (Pair each : ways) {
          for (byte[] data : stage.relay().first(each)) {
            stage.relay().forge(each, data);
          }
        }
      }
      case STRAY -> stray(ways);
      case HEAL -> {
        stage.relay().change(ways, f -> Faults.NONE);
        log.healed(ways);
      }
      default -> {
        stage.relay().change(ways, change(step));
        log.ways(begin, resolved, targets, ways);
        return;
      }
    }
    log.done(begin, stage.clock().nowUs(), resolved, targets);
  }

  /**
   * What others had sent comes to the receivers' own addresses from one that is in nobody's roster.
   */
  private void stray(Set<Pair> ways) throws IOException {
    try (DatagramSocket stranger =
        new DatagramSocket(stage.net().own("stranger", Loopback.PEERS))) {
      for (Pair way : ways) {
        for (byte[] data : stage.relay().first(way)) {
          stranger.send(
              new DatagramPacket(data, data.length, stage.net().own(way.to(), Loopback.PEERS)));
        }
      }
    }
  }

  private static UnaryOperator<Faults> change(Step step) {
    double share = step.number("share", 0);
    return switch (step.action()) {
      case CUT -> f -> f.cut(true);
      case DELAY -> f -> f.delay(step.number("ms", 0), step.number("jitter_ms", 0));
      case LIMIT -> f -> f.rate(step.number("bytes_per_s", 0));
      case DROP -> f -> f.drop(share);
      case DUPLICATE -> f -> f.duplicate(share);
      case REORDER -> f -> f.reorder(share);
      case GARBLE -> f -> f.garble(share);
      case BREAK_AFTER -> f -> f.breakAfter((long) step.number("bytes", 0));
      default -> throw new IllegalArgumentException(step.toString());
    };
  }

  private void peers(Step step, List<String> targets) throws IOException {
    switch (step.action()) {
      case SERVE ->
          targets.forEach(
              s ->
                  stage
                      .servers()
                      .mode(
                          s,
                          new Mode(
                              step.number("slow", 1),
                              step.number("failing", 0),
                              step.number("cutting", 0),
                              step.number("hanging", 0),
                              step.number("refusing", 0) > 0)));
      case SERVER_STOP -> {
        for (String server : targets) {
          stage.relay().refuse(server, c -> true, true);
          stage.servers().stop(server);
        }
      }
      case SERVER_START -> {
        for (String server : targets) {
          stage.servers().restart(server);
          stage.relay().refuse(server, c -> true, false);
          stage.discovery().state(server, "active", System.currentTimeMillis());
        }
      }
      case LEAVE -> targets.forEach(s -> stage.discovery().state(s, "leaving", 0));
      case JOIN -> targets.forEach(s -> stage.discovery().state(s, "active", 0));
      case COUNTER -> {
        stage.counter().outage(step.number("out", 0) > 0);
        stage.counter().capacity(step.number("calls_per_s", schedule.counter.callsPerS()));
        stage.counter().delay(step.number("delay_ms", 0));
      }
      case COUNTER_FORGET -> stage.counter().forget();
      case SILENCE -> stage.discovery().silence(targets, true);
      case SPEAK -> stage.discovery().silence(targets, false);
      case LOAD -> stage.clients().rate(step.number("rate", 0));
      case CALL -> call(step, targets);
      default -> throw new IllegalArgumentException(step.toString());
    }
  }

  private void call(Step step, List<String> doors) throws IOException {
    List<String> wrong = new ArrayList<>();
    for (String door : doors) {
      int status =
          OneCall.send(
                  stage.calls(),
                  stage.net().own(door, Loopback.OPERATORS),
                  step.text("method", "PUT"),
                  step.text("path", "/"),
                  step.text("body", ""),
                  CALL_MS)
              .join()
              .status();
      if (status != 200) {
        wrong.add(door + " answered " + status);
      }
    }
    if (!wrong.isEmpty()) {
      throw new IOException(String.join(", ", wrong));
    }
  }
}
