package elmsail.notary;

import elmsail.inner.words.Seat;
import elmsail.register.Views;
import elmsail.rehearsal.HandTimers;
import elmsail.rehearsal.Node;
import elmsail.rehearsal.SimDisk;
import elmsail.rehearsal.SimNet;
import elmsail.station.Settings;
import elmsail.station.http.HttpCall;
import elmsail.station.http.HttpReply;
import elmsail.timetable.pull.Puller;
import elmsail.timetable.pull.VaultPart;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** Notaries, vaults and clerks on simulated links and disks, on one clock moved by hand. */
final class World {
  static final String EMPTY = "{\"servers\":[],\"next_token\":null}";

  final HandTimers timers = new HandTimers();
  final SimNet net;
  final Map<String, SimDisk> disks = new TreeMap<>();
  final Map<String, HeadOffice> offices = new TreeMap<>();
  final Map<String, VaultHouse> vaults = new TreeMap<>();
  final Map<String, Puller> clerks = new TreeMap<>();
  final Map<String, Node> nodes = new TreeMap<>();
  String carrierSays = EMPTY;
  int carrierCalls;
  private final long seed;
  private final List<String> seeds = new ArrayList<>();
  private long whos = 1_000;

  World(long seed, int seedCount) {
    this.seed = seed;
    net = new SimNet(seed, timers);
    for (int i = 1; i <= seedCount; i++) {
      seeds.add(ip("n" + i) + ":8166");
    }
  }

  static String ip(String name) {
    int kind = switch (name.charAt(0)) {
      case 'n' -> 1;
      case 'v' -> 2;
      default -> 3;
    };
    return "10." + kind + ".0." + name.substring(1);
  }

  private Settings settings(String name, boolean firstStart, boolean disk) {
    boolean head = name.startsWith("n");
    boolean vault = name.startsWith("v");
    return new Settings(name, "r", vault ? "vault" : "counter",
        Set.of(head ? "head_office" : vault ? "vault" : "counter"), ip(name), "z" + name.substring(1), "r",
        Map.of(), head ? Map.of("control", ip(name) + ":8166") : Map.of(), 7720, 7735, seeds, firstStart,
        true,
        new Settings.Limits(1, 400, 4_000, 1_000, 64), disk ? "/data" : null, Set.of(), 1,
        new Settings.Bounds(3_000, 4_000, 5_000, 3_000, 8_000, 200, 2_000, 120, 120_000, 3_000, 1_000, 0.1,
            2_000),
        new Settings.Carrier("10.9.0.1:8169", 40, 800));
  }

  private SimDisk disk(String name, Node node) {
    SimDisk disk = disks.get(name);
    if (disk == null) {
      disk = new SimDisk(seed * 31 + name.hashCode(), timers);
      disks.put(name, disk);
    }
    return disk.open(node.timers());
  }

  String address(String name) {
    return ip(name) + (name.startsWith("n") ? ":7721" : ":7720");
  }

  private Node node(String name) {
    Node node = net.node(address(name));
    nodes.put(name, node);
    return node;
  }

  void notary(String name, boolean firstStart) {
    notary(name, firstStart, true);
  }

  void notary(String name, boolean firstStart, boolean disk) {
    Node node = node(name);
    HeadOffice office = new HeadOffice(settings(name, firstStart, disk), node.timers(), node.caller(),
        node.answering(), disk ? disk(name, node) : null, this::carrier, whos++);
    offices.put(name, office);
    office.start();
  }

  private CompletableFuture<HttpReply> carrier(String address, String path, long timeoutMs) {
    carrierCalls++;
    CompletableFuture<HttpReply> reply = new CompletableFuture<>();
    byte[] body = carrierSays.getBytes(StandardCharsets.UTF_8);
    timers.after(5, () -> reply.complete(new HttpReply(200, Map.of(), body)));
    return reply;
  }

  void vault(String name, boolean firstStart) {
    Node node = node(name);
    VaultHouse house = new VaultHouse(settings(name, firstStart, true), node.timers(), node.caller(),
        node.answering(), disk(name, node), new Views() { });
    vaults.put(name, house);
    house.start();
  }

  void clerk(String name) {
    Node node = node(name);
    Puller puller = new Puller(node.caller(), node.timers(), settings(name, true, false), "clerk", whos++,
        () -> VaultPart.NONE, null);
    clerks.put(name, puller);
    puller.start();
  }

  void kill(String name) {
    net.kill(address(name), true);
  }

  void wipe(String name) {
    net.kill(address(name), false);
    disks.get(name).wipe();
  }

  /** True if it came about within so many ms. */
  boolean until(long ms, BooleanSupplier holds) {
    long end = timers.now() + ms;
    while (!holds.getAsBoolean() && timers.now() < end) {
      timers.pass(1);
    }
    return holds.getAsBoolean();
  }

  CompletableFuture<HttpReply> begin(String notary, String method, String path, String basedOn, String body) {
    Map<String, String> headers = basedOn == null ? Map.of() : Map.of("elmsail-based-on", basedOn);
    return offices.get(notary).operators().handle(
        new HttpCall(method, path, Map.of(), headers, body.getBytes(StandardCharsets.UTF_8)));
  }

  CompletableFuture<HttpReply> sent(String notary, String basedOn, long edition) {
    return begin(notary, "POST", "/Timetable.Replace", basedOn, timetable(edition));
  }

  /** Status, or -1 if there was no answer within a second. */
  int status(CompletableFuture<HttpReply> reply) {
    return until(1_000, reply::isDone) ? reply.join().status() : -1;
  }

  int replace(String notary, long basedOn, long edition) {
    return status(begin(notary, "POST", "/Timetable.Replace", String.valueOf(basedOn), timetable(edition)));
  }

  /** The operator goes from door to door. */
  int replaceAnywhere(long basedOn, long edition) {
    for (int i = 0; i < 30; i++) {
      int status = replace("n" + (i % seeds.size() + 1), basedOn, edition);
      if (status == 200 || status == 400 || status == 412) {
        return status;
      }
      timers.pass(100);
    }
    return -1;
  }

  String read(String notary) {
    CompletableFuture<HttpReply> reply = begin(notary, "GET", "/Timetable.Read", null, "");
    int status = status(reply);
    return status == 200 ? new String(reply.join().body(), StandardCharsets.UTF_8) : String.valueOf(status);
  }

  int retire(String notary, String vault) {
    return status(begin(notary, "POST", "/Retire.Begin/" + vault, null, "{\"over_s\":10}"));
  }

  String retired(String notary, String vault) {
    CompletableFuture<HttpReply> reply = begin(notary, "GET", "/Retire.Read/" + vault, null, "");
    int status = status(reply);
    return status == 200 ? new String(reply.join().body(), StandardCharsets.UTF_8) : String.valueOf(status);
  }

  /** Stations and incarnations of the seats as the vault knows them, with a star where one is not seated. */
  String shelf(String vault) {
    StringBuilder seats = new StringBuilder();
    for (Seat seat : vaults.get(vault).keeper().seating().seats) {
      VaultHouse house = vaults.get(seat.station);
      seats.append(seats.isEmpty() ? "" : " ").append(seat.station).append('/').append(seat.incarnation);
      seats.append(house != null && house.keeper().seated() ? "" : "*");
    }
    return seats.toString();
  }

  static String timetable(long edition) {
    return "{\"edition\":" + edition + ",\"routes\":[{\"name\":\"r" + edition
        + "\",\"depot\":\"a.example\",\"lane_prefix\":\"/a/\",\"route_class\":\"safe\",\"give_up_ms\":2000,"
        + "\"due_ms\":250,\"precedence\":0,\"postal_line\":\"p\",\"tries\":2}],\"postal_lines\":[{\"name\":"
        + "\"p\","
        + "\"health\":\"/health\",\"berth_cap\":210,\"protocol\":\"h1\",\"sealed\":false}],\"limits\":"
        + "{\"envelope_bytes\":16384,\"parcel_bytes\":4194304,\"envelope_ms\":3000,\"idle_ms\":15000}}";
  }
}
