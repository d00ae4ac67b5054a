package elmsail.runtime;

import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigParseOptions;
import com.typesafe.config.ConfigSyntax;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads a process's settings (JSON). Whatever is wrong is a BAD_SETTINGS that names the path of its
 * key; fields that are not known are passed over; nothing is filled in from variables or
 * properties.
 */
public final class SettingsFile {

  /** The variable that names the file. */
  public static final String VARIABLE = "ELMSAIL_SETTINGS";

  /** Settings are a few kilobytes; what is much larger is no settings file. */
  private static final long MOST_BYTES = 4 * 1024 * 1024;

  private SettingsFile() {}

  /**
   * @throws ElmsailException BAD_SETTINGS if it cannot be read or used
   */
  public static Settings read(Path file) {
    String text;
    try {
      if (Files.size(file) > MOST_BYTES) {
        throw new ElmsailException(ErrorCode.BAD_SETTINGS, file + " is too large");
      }
      text = Files.readString(file, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.BAD_SETTINGS, "cannot read " + file + ": " + e, e);
    }
    return parse(text);
  }

  /**
   * @throws ElmsailException BAD_SETTINGS if it is not JSON, or a field is missing or of another
   *     kind
   */
  public static Settings parse(String json) {
    Map<String, Object> root;
    try {
      root =
          ConfigFactory.parseString(
                  json, ConfigParseOptions.defaults().setSyntax(ConfigSyntax.JSON))
              .root()
              .unwrapped();
    } catch (ConfigException e) {
      throw new ElmsailException(ErrorCode.BAD_SETTINGS, "not JSON: " + e.getMessage(), e);
    }
    return settings(new Fields("", root));
  }

  private static Settings settings(Fields root) {
    String zone = root.text("zone");
    Map<String, String> zones = root.texts("zones");
    List<Object> ports = root.list("inner_ports");
    if (ports.size() != 2) {
      throw Fields.fault("inner_ports", "expected the first and the last port");
    }
    int first = (int) Fields.whole("inner_ports.0", ports.get(0), 1, 65_535);
    int last = (int) Fields.whole("inner_ports.1", ports.get(1), 1, 65_535);
    if (last < first + 1) {
      throw Fields.fault("inner_ports", "expected two ports or more");
    }
    String region = root.textOr("region", zones.getOrDefault(zone, zone));
    return new Settings(
        root.text("station"),
        root.textOr("role", ""),
        root.textOr("machine_class", ""),
        names(root.path("serves"), root.list("serves")),
        ip(root),
        zone,
        region,
        zones,
        slots(root.child("mail_slots")),
        first,
        last,
        seeds(root),
        root.yes("first_start", false),
        root.yes("counted", true),
        limits(root.child("limits")),
        root.textOr("data_dir", null),
        names(root.path("clauses"), root.listOrEmpty("clauses")),
        (int) root.child("bear_losses").wholeOr("machines", 1, 0, 1_000),
        bounds(root.child("bounds")),
        platform(root.childOrNull("carrier_api")));
  }

  private static String ip(Fields root) {
    String ip = root.text("ip");
    if (!Addresses.isIp(ip)) {
      throw Fields.fault("ip", "not an IPv4 number: " + ip);
    }
    return ip;
  }

  private static Map<String, String> slots(Fields fields) {
    Map<String, String> slots = new LinkedHashMap<>();
    for (String name : fields.names()) {
      String address = fields.textOr(name, null);
      if (address != null) {
        slots.put(name, address(fields.path(name), address));
      }
    }
    return Map.copyOf(slots);
  }

  private static List<String> seeds(Fields root) {
    List<String> seeds = new ArrayList<>();
    List<Object> given = root.listOrEmpty("seed_stations");
    for (int i = 0; i < given.size(); i++) {
      String path = "seed_stations." + i;
      seeds.add(address(path, Fields.text(path, given.get(i))));
    }
    return List.copyOf(seeds);
  }

  private static Settings.Limits limits(Fields limits) {
    return new Settings.Limits(
        limits.numberOr("cpu_share", 0.5, 0.001, 1_000),
        (int) limits.wholeOr("memory_mb", 256, 1, 1 << 30),
        (int) limits.wholeOr("fds", 1_024, 1, 1 << 30),
        limits.numberOr("link_mbps", 1_000, 0.001, 1e9),
        (int) limits.wholeOr("disk_mb", 64, 0, 1 << 30));
  }

  private static Settings.Bounds bounds(Fields bounds) {
    return new Settings.Bounds(
        bounds.ms("in_touch_ms", 3_000),
        bounds.ms("ack_ms", 4_000),
        bounds.seconds("catch_up_s", 5),
        bounds.ms("drain_ms", 3_000),
        bounds.seconds("grace_s", 8),
        bounds.ms("lost_slack_ms", 200),
        bounds.ms("in_force_ms", 2_000),
        bounds.ms("pass_ms", 120),
        bounds.seconds("status_s", 120),
        bounds.ms("cancel_ms", 3_000),
        bounds.ms("settle_ms", 1_000),
        bounds.numberOr("quota_over", 0.1, 0, 1_000),
        bounds.seconds("reuse_after_s", 2));
  }

  private static Settings.Platform platform(Fields platform) {
    if (platform == null) {
      return null;
    }
    return new Settings.Platform(
        address(platform.path("address"), platform.text("address")),
        platform.numberOr("per_s", 10, 0.001, 1e9),
        platform.ms("lag_ms", 1_000));
  }

  private static Set<String> names(String path, List<Object> given) {
    Set<String> names = new LinkedHashSet<>();
    for (int i = 0; i < given.size(); i++) {
      names.add(Fields.text(path + "." + i, given.get(i)));
    }
    return Set.copyOf(names);
  }

  private static String address(String path, String address) {
    if (!Addresses.isAddress(address)) {
      throw Fields.fault(path, "not an address ip:port: " + address);
    }
    return address;
  }
}
