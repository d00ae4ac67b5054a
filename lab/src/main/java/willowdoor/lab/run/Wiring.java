package willowdoor.lab.run;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import willowdoor.lab.fleet.ConfigTemplate;
import willowdoor.lab.fleet.Loopback;
import willowdoor.lab.peers.CounterStandIn;
import willowdoor.lab.peers.DiscoveryStandIn;
import willowdoor.lab.peers.TemplateServers;
import willowdoor.lab.relay.Relay;

/**
 * Who reaches whom where: opens the relay's faces for the links that the schedule names, and writes
 * each front door's configuration with the addresses that it sees.
 */
final class Wiring {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Schedule schedule;
  private final Loopback net;
  private final Relay relay;
  private final DiscoveryStandIn discovery;
  private final RandomGenerator seeds;

  Wiring(Schedule schedule, Loopback net, Relay relay, DiscoveryStandIn discovery) {
    this.schedule = schedule;
    this.net = net;
    this.relay = relay;
    this.discovery = discovery;
    seeds = RandomGeneratorFactory.of("L64X128MixRandom").create(schedule.seed ^ 0x646f6f7273L);
  }

  private boolean relayed(String link) {
    return schedule.links.contains(link);
  }

  private static String zone(int number, int zones) {
    return String.valueOf((char) ('a' + number % zones));
  }

  void servers(TemplateServers servers) throws IOException {
    int number = 0;
    for (String id : schedule.parties.servers()) {
      servers.add(id, net.own(id, Loopback.SERVICE));
      discovery.put(id, zone(number, schedule.servers.zones()), number / 2, "active", 0);
      number++;
    }
  }

  /**
   * Opens what a front door calls: its agent of discovery, its address of the counter, the servers.
   */
  void door(String id, CounterStandIn counter) throws IOException {
    InetSocketAddress agent = net.own(Parties.DISCOVERY + ' ' + id, Loopback.SERVICE);
    InetSocketAddress counts = net.own(Parties.COUNTER + ' ' + id, Loopback.SERVICE);
    discovery.listen(
        id,
        agent,
        server -> Loopback.text(at("servers", id, server, net.own(server, Loopback.SERVICE))));
    counter.listen(id, counts);
    open("discovery", id, Parties.DISCOVERY, agent);
    open("counter", id, Parties.COUNTER, counts);
    for (String server : schedule.parties.servers()) {
      open("servers", id, server, net.own(server, Loopback.SERVICE));
    }
    open("clients", Parties.CLIENTS, id, net.own(id, Loopback.CLIENTS));
  }

  /** Opens the ways between front doors, for datagrams and streams at the same faces. */
  void peers(List<String> doors) throws IOException {
    for (int i = 0; i < doors.size(); i++) {
      String a = doors.get(i);
      for (String b : doors.subList(i + 1, doors.size())) {
        InetSocketAddress addressOfA = net.own(a, Loopback.PEERS);
        InetSocketAddress addressOfB = net.own(b, Loopback.PEERS);
        if (relayed("peers")) {
          relay.datagrams(a, addressOfA, net.face(a, b), b, addressOfB, net.face(b, a));
        }
        open("peer_streams", a, b, addressOfB);
        open("peer_streams", b, a, addressOfA);
      }
    }
  }

  private void open(String link, String caller, String called, InetSocketAddress target)
      throws IOException {
    if (relayed(link)) {
      relay.stream(caller, called, net.face(caller, called), target);
    }
  }

  /** Where the caller reaches the other. */
  private InetSocketAddress at(
      String link, String caller, String called, InetSocketAddress target) {
    return relayed(link) ? net.face(caller, called) : target;
  }

  /** Where clients reach each front door that they know of. */
  Map<String, InetSocketAddress> clientsSee(List<String> doors) {
    Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    doors.forEach(
        d -> addresses.put(d, at("clients", Parties.CLIENTS, d, net.own(d, Loopback.CLIENTS))));
    return addresses;
  }

  /** What the front door's next process is told; its seed is new each time. */
  ObjectNode config(String id) {
    int index = index(id);
    ObjectNode config =
        JSON.createObjectNode()
            .put("name", name(id))
            .put("listen", Loopback.text(net.own(id, Loopback.CLIENTS)))
            .put("management", Loopback.text(net.own(id, Loopback.OPERATORS)))
            .put(
                "discovery",
                Loopback.text(
                    at(
                        "discovery",
                        id,
                        Parties.DISCOVERY,
                        net.own(Parties.DISCOVERY + ' ' + id, Loopback.SERVICE))))
            .put(
                "counter",
                Loopback.text(
                    at(
                        "counter",
                        id,
                        Parties.COUNTER,
                        net.own(Parties.COUNTER + ' ' + id, Loopback.SERVICE))));
    synchronized (seeds) {
      config.put("seed", String.format("%016x", seeds.nextLong()));
    }
    config.set("limits", schedule.doors.limits());
    config.set("known", discovery.known(id));
    config.set("settings", settings(index));
    ObjectNode extra = schedule.doors.extra().deepCopy();
    Schedule.merge(extra, schedule.doors.only().getOrDefault(id, JSON.createObjectNode()));
    Schedule.merge(config, (ObjectNode) template(id).fill(extra));
    return config;
  }

  ObjectNode settings(int index) {
    return schedule
        .settings
        .deepCopy()
        .put("Balancers", schedule.doors.count())
        .put("SelfIndex", index)
        .put("MyZone", zone(index, schedule.servers.zones()));
  }

  private String name(String id) {
    return schedule.doors.twins().stream()
        .filter(t -> t.id().equals(id))
        .map(Schedule.Twin::of)
        .findFirst()
        .orElse(id);
  }

  private int index(String id) {
    return Integer.parseInt(name(id).substring(1));
  }

  private ConfigTemplate template(String id) {
    List<Map<String, String>> peers = new ArrayList<>();
    for (int i = 0; i < schedule.doors.count(); i++) {
      String peer = "n" + i;
      boolean self = peer.equals(name(id));
      peers.add(
          Map.of(
              "peer",
              peer,
              "peer_index",
              Integer.toString(i),
              "peer_address",
              Loopback.text(
                  self
                      ? net.own(id, Loopback.PEERS)
                      : at("peers", id, peer, net.own(peer, Loopback.PEERS)))));
    }
    return new ConfigTemplate(
        Map.of(
            "name",
            name(id),
            "index",
            Integer.toString(index(id)),
            "address",
            Loopback.text(net.own(id, Loopback.PEERS)),
            "listen_address",
            Loopback.text(net.own(id, Loopback.CLIENTS)),
            "count",
            Integer.toString(schedule.doors.count())),
        peers);
  }
}
