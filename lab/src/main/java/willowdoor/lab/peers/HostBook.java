package willowdoor.lab.peers;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * The list of template servers with its versions; each change gives the next one. Without sockets.
 */
final class HostBook {

  private static final int MOST_CHANGES = 10_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  /** What is said of a server; its address hangs on who asks. */
  record Host(String id, String zone, int cell, String state, long startedMs) {}

  /** A message: the version it leads to, and the entries. */
  record News(long version, boolean full, Collection<Host> hosts) {

    /** As discovery words it, with the addresses that its reader sees. */
    ObjectNode json(Function<String, String> addressOf) {
      ObjectNode message = JSON.createObjectNode().put("version", version).put("full", full);
      ArrayNode servers = message.putArray("servers");
      for (Host host : hosts) {
        servers
            .addObject()
            .put("id", host.id())
            .put("addr", addressOf.apply(host.id()))
            .put("zone", host.zone())
            .put("kind", "lab")
            .put("cell", host.cell())
            .put("state", host.state())
            .put("weight", 1.0)
            .put("started_ms", host.startedMs());
      }
      return message;
    }
  }

  private final Map<String, Host> hosts = new LinkedHashMap<>();

  /** Who changed at each version from {@link #first} on. */
  private final List<String> changes = new ArrayList<>();

  private long first = 1;

  long version() {
    return first + changes.size() - 1;
  }

  Host get(String id) {
    return hosts.get(id);
  }

  void put(Host host) {
    hosts.put(host.id(), host);
    changes.add(host.id());
    if (changes.size() > MOST_CHANGES) {
      changes.remove(0);
      first++;
    }
  }

  News whole() {
    return new News(
        version(), true, hosts.values().stream().filter(h -> !h.state().equals("left")).toList());
  }

  /**
   * What changed after a version; the whole list where that is not known any more, or never was.
   */
  News since(long version) {
    if (version < first - 1 || version > version()) {
      return whole();
    }
    Set<String> changed =
        new LinkedHashSet<>(changes.subList((int) (version - first + 1), changes.size()));
    return new News(version(), false, changed.stream().map(hosts::get).toList());
  }
}
