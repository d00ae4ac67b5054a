package willowdoor.lab.run;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import willowdoor.lab.load.LoadSpec;
import willowdoor.lab.peers.ServerSpec;

/**
 * What a run consists of: parties, load, steps. Read from TOML, strictly: whatever is not known,
 * missing or out of range is refused with the key's name.
 */
public final class Schedule {

  private static final Set<String> LINKS =
      Set.of("clients", "servers", "counter", "discovery", "peers", "peer_streams");
  private static final long MOST_RUN_MS = 3_600_000;

  /**
   * A further party with the name of a front door, on addresses of its own; it is started by a step
   * only.
   */
  record Twin(String id, String of) {}

  /**
   * The front doors, how many of them start at once, and what is put into their configurations:
   * into all, and then by name.
   */
  record Doors(
      int count,
      List<Twin> twins,
      int together,
      List<String> flags,
      ObjectNode limits,
      ObjectNode extra,
      Map<String, ObjectNode> only) {}

  record Servers(int count, int zones, ServerSpec spec) {}

  record Counter(double callsPerS, double queueMs) {}

  /** What is asked of each front door's operators' address, and how often. */
  record Observation(String path, long everyMs) {}

  private final ObjectNode document;
  final String name;
  final long seed;
  final long runMs;
  final Doors doors;
  final Servers servers;
  final Counter counter;
  final LoadSpec load;
  final ObjectNode settings;
  final Set<String> links;
  final List<Observation> observations;
  final Map<String, Double> bounds;
  final Parties parties;
  final List<Step> steps;

  private Schedule(ObjectNode document) throws BadSchedule {
    this.document = document;
    Keys keys = Keys.of(document);
    name = keys.text("name", null);
    seed = keys.whole("seed", 0, Long.MAX_VALUE, 1);
    runMs = keys.whole("run_ms", 100, MOST_RUN_MS, 10_000);
    doors = doors(keys.inner("doors"));
    settings = defaults();
    merge(settings, keys.raw("settings"));
    servers = servers(keys.inner("servers"), settings);
    Keys counted = keys.inner("counter");
    counter =
        new Counter(
            counted.number("calls_per_s", 0.1, 1e6, 2_000),
            counted.number("queue_ms", 0, 60_000, 200));
    counted.done();
    load = load(keys.inner("load"), settings);
    Keys relayed = keys.inner("relay");
    links = Set.copyOf(relayed.texts("links", List.copyOf(LINKS)));
    if (!LINKS.containsAll(links)) {
      throw new BadSchedule(
          "relay.links holds what is none of " + LINKS.stream().sorted().toList() + ": " + links);
    }
    relayed.done();
    observations = new ArrayList<>();
    for (Keys k : keys.list("observe")) {
      observations.add(new Observation(k.text("path", null), k.whole("every_ms", 10, 60_000, 200)));
      k.done();
    }
    Keys checked = keys.inner("checks");
    bounds =
        Map.of(
            "grace_ms",
            checked.number("grace_ms", 0, 60_000, 500),
            "quota_beyond",
            checked.number("quota_beyond", 0, 100, 0.2),
            "least_served",
            checked.number("least_served", 0, 1, 0.1));
    checked.done();
    parties =
        new Parties(doors.count(), doors.twins().stream().map(Twin::id).toList(), servers.count());
    if (!parties.doors().containsAll(doors.only().keySet())) {
      throw new BadSchedule("doors.only: there are no other front doors than " + parties.doors());
    }
    steps = new ArrayList<>();
    for (Keys k : keys.list("steps")) {
      steps.add(step(k));
    }
    keys.done();
  }

  public static Schedule read(Path file) throws IOException, BadSchedule {
    return parse(Files.readString(file));
  }

  static Schedule parse(String toml) throws BadSchedule {
    try {
      JsonNode document = new TomlMapper().readTree(toml);
      if (!(document instanceof ObjectNode object)) {
        throw new BadSchedule("the schedule is not a table");
      }
      return new Schedule(object);
    } catch (JsonProcessingException e) {
      throw new BadSchedule(
          "the schedule is not TOML: "
              + e.getOriginalMessage()
              + (e.getLocation() == null ? "" : " (line " + e.getLocation().getLineNr() + ")"));
    }
  }

  public String name() {
    return name;
  }

  /** The same with other steps, or with another seed. */
  Schedule with(long otherSeed, List<Step> otherSteps) throws BadSchedule {
    ObjectNode copy = document.deepCopy();
    copy.put("seed", otherSeed);
    copy.remove("steps");
    copy.set("steps", StepJson.write(otherSteps));
    return new Schedule(copy);
  }

  /** As TOML that reads as this one. */
  String toml() throws IOException {
    return new TomlMapper().writeValueAsString(document);
  }

  private static Doors doors(Keys keys) throws BadSchedule {
    int count = (int) keys.whole("count", 1, 150, 3);
    List<Twin> twins = new ArrayList<>();
    for (Keys k : keys.list("twins")) {
      Twin twin = new Twin(k.text("id", null), k.text("of", null));
      if (!Parties.isName(twin.id()) || twin.id().matches("n\\d+")) {
        throw new BadSchedule(
            k.path()
                + ".id is not a short word in small letters that no other party has: "
                + twin.id());
      }
      if (!twin.of().matches("n\\d{1,3}") || Integer.parseInt(twin.of().substring(1)) >= count) {
        throw new BadSchedule(k.path() + ".of is not the name of a front door: " + twin.of());
      }
      k.done();
      twins.add(twin);
    }
    Keys limits = keys.inner("limits");
    ObjectNode limited =
        new ObjectMapper()
            .createObjectNode()
            .put("cores", limits.number("cores", 0.01, 64, 1))
            .put("memory_mb", limits.whole("memory_mb", 16, 4_096, 192))
            .put("sockets", limits.whole("sockets", 64, 4_096, 384));
    limits.done();
    Map<String, ObjectNode> only = new LinkedHashMap<>();
    for (Keys k : keys.list("only")) {
      only.put(k.text("id", null), k.raw("extra"));
      k.done();
    }
    Doors doors =
        new Doors(
            count,
            twins,
            (int) keys.whole("together", 1, 150, 8),
            keys.texts("flags", List.of()),
            limited,
            keys.raw("extra"),
            only);
    keys.done();
    return doors;
  }

  private static Servers servers(Keys keys, JsonNode settings) throws BadSchedule {
    JsonNode rules = settings.path("Rules");
    JsonNode report = settings.path("LoadReport");
    ServerSpec spec =
        new ServerSpec(
            keys.number("mean_ms", 0.1, 60_000, 20),
            (int) keys.whole("width", 1, 10_000, 4),
            (int) keys.whole("queue", 0, 100_000, 32),
            (int) keys.whole("connections", 1, 100_000, 256),
            settings.path("Bounds").path("ConnIdleMs").asLong(15_000),
            rules.path("ColdFrom").asDouble(1),
            rules.path("ColdMs").asDouble(0),
            (int) keys.whole("body_bytes", 0, 65_536, 200),
            report.path("Source").asText().equals("inline")
                ? report.path("Names").path(0).asText()
                : "");
    Servers servers =
        new Servers(
            (int) keys.whole("count", 1, 1_000, 4), (int) keys.whole("zones", 1, 26, 1), spec);
    keys.done();
    return servers;
  }

  private static LoadSpec load(Keys keys, JsonNode settings) throws BadSchedule {
    LoadSpec load =
        new LoadSpec(
            keys.number("rate", 0, 1e6, 50),
            (int) keys.whole("customers", 1, 1_000_000, 50),
            (int) keys.whole("spread", 1, 150, 3),
            named(keys, "plans", settings.path("Tariffs")),
            named(keys, "classes", settings.path("Profiles")),
            (int) keys.whole("connections", 1, 10_000, 100),
            keys.whole("notice_ms", 0, 600_000, 2_000),
            keys.flag("retry", false));
    keys.done();
    return load;
  }

  /** Weights of what the settings name; all alike where none are given. */
  private static Map<String, Double> named(Keys keys, String key, JsonNode items)
      throws BadSchedule {
    Map<String, Double> alike = new LinkedHashMap<>();
    items.forEach(item -> alike.put(item.path("Name").asText(), 1.0));
    Map<String, Double> weights = keys.weights(key, alike);
    for (String name : weights.keySet()) {
      if (!alike.containsKey(name)) {
        throw new BadSchedule(
            "load." + key + '.' + name + ": the settings name only " + alike.keySet());
      }
    }
    return weights;
  }

  private Step step(Keys keys) throws BadSchedule {
    return StepJson.read(keys, parties, runMs);
  }

  private static ObjectNode defaults() {
    try (InputStream in = Schedule.class.getResourceAsStream("/willowdoor/lab/settings.json")) {
      return (ObjectNode) new ObjectMapper().readTree(in);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Tables are merged, all else is replaced. */
  static void merge(ObjectNode into, ObjectNode from) {
    from.fields()
        .forEachRemaining(
            field -> {
              if (field.getValue() instanceof ObjectNode table
                  && into.get(field.getKey()) instanceof ObjectNode old) {
                merge(old, table);
              } else {
                into.set(field.getKey(), field.getValue());
              }
            });
  }
}
