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
 * Reads a process's settings (JSON) with Typesafe Config. An error is {@code INVALID_SETTINGS} and
 * names the path of the key; unknown fields are ignored; nothing is substituted from environment
 * variables or system properties.
 */
public final class SettingsFile {

  /** The environment variable that names the file. */
  public static final String ENVIRONMENT_VARIABLE = "ELMSAIL_SETTINGS";

  /** Settings are a few kilobytes; a much larger file is none. */
  private static final long MAX_BYTES = 4 * 1024 * 1024;

  private SettingsFile() {}

  /**
   * Reads and checks a file.
   *
   * @throws ElmsailException {@code INVALID_SETTINGS} if it cannot be read or used
   */
  public static Settings read(Path file) {
    String text;
    try {
      if (Files.size(file) > MAX_BYTES) {
        throw new ElmsailException(ErrorCode.INVALID_SETTINGS, file + " is too large");
      }
      text = Files.readString(file, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.INVALID_SETTINGS, "cannot read " + file + ": " + e, e);
    }
    return parse(text);
  }

  /**
   * Checks the content of a settings file.
   *
   * @throws ElmsailException {@code INVALID_SETTINGS} if it is not JSON, or a field is missing, of
   *     another type, or out of range
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
      throw new ElmsailException(ErrorCode.INVALID_SETTINGS, "not JSON: " + e.getMessage(), e);
    }
    return settings(new SettingsObject("", root));
  }

  private static Settings settings(SettingsObject root) {
    String zone = root.string("zone");
    Map<String, String> zones = root.stringMap("zones");
    List<Object> ports = root.list("inner_ports");
    if (ports.size() != 2) {
      throw SettingsObject.invalid("inner_ports", "expected the first and the last port");
    }
    int first = (int) SettingsObject.integer("inner_ports.0", ports.get(0), 1, 65_535);
    int last = (int) SettingsObject.integer("inner_ports.1", ports.get(1), 1, 65_535);
    if (last < first + 1) {
      throw SettingsObject.invalid("inner_ports", "expected two ports or more");
    }
    String region = root.stringOr("region", zones.getOrDefault(zone, zone));
    return new Settings(
        root.string("station"),
        root.stringOr("role", ""),
        root.stringOr("machine_class", ""),
        names(root.pathOf("serves"), root.list("serves")),
        ip(root),
        zone,
        region,
        zones,
        listenAddresses(root.child("mail_slots")),
        first,
        last,
        seeds(root),
        root.booleanOr("first_start", false),
        root.booleanOr("counted", true),
        limits(root.child("limits")),
        root.stringOr("data_dir", null),
        names(root.pathOf("clauses"), root.listOrEmpty("clauses")),
        (int) root.child("bear_losses").integerOr("machines", 1, 0, 1_000),
        bounds(root.child("bounds")),
        platform(root.childOrNull("carrier_api")));
  }

  private static String ip(SettingsObject root) {
    String ip = root.string("ip");
    if (!Addresses.isIpv4(ip)) {
      throw SettingsObject.invalid("ip", "not an IPv4 number: " + ip);
    }
    return ip;
  }

  private static Map<String, String> listenAddresses(SettingsObject fields) {
    Map<String, String> slots = new LinkedHashMap<>();
    for (String name : fields.names()) {
      String address = fields.stringOr(name, null);
      if (address != null) {
        slots.put(name, address(fields.pathOf(name), address));
      }
    }
    return Map.copyOf(slots);
  }

  private static List<String> seeds(SettingsObject root) {
    List<String> seeds = new ArrayList<>();
    List<Object> given = root.listOrEmpty("seed_stations");
    for (int i = 0; i < given.size(); i++) {
      String path = "seed_stations." + i;
      seeds.add(address(path, SettingsObject.string(path, given.get(i))));
    }
    return List.copyOf(seeds);
  }

  private static Settings.Limits limits(SettingsObject limits) {
    return new Settings.Limits(
        limits.numberOr("cpu_share", 0.5, 0.001, 1_000),
        (int) limits.integerOr("memory_mb", 256, 1, 1 << 30),
        (int) limits.integerOr("fds", 1_024, 1, 1 << 30),
        limits.numberOr("link_mbps", 1_000, 0.001, 1e9),
        (int) limits.integerOr("disk_mb", 64, 0, 1 << 30));
  }

  private static Settings.Bounds bounds(SettingsObject bounds) {
    return new Settings.Bounds(
        bounds.millisOr("in_touch_ms", 3_000),
        bounds.millisOr("ack_ms", 4_000),
        bounds.secondsAsMillisOr("catch_up_s", 5),
        bounds.millisOr("drain_ms", 3_000),
        bounds.secondsAsMillisOr("grace_s", 8),
        bounds.millisOr("lost_slack_ms", 200),
        bounds.millisOr("in_force_ms", 2_000),
        bounds.millisOr("pass_ms", 120),
        bounds.secondsAsMillisOr("status_s", 120),
        bounds.millisOr("cancel_ms", 3_000),
        bounds.millisOr("settle_ms", 1_000),
        bounds.numberOr("quota_over", 0.1, 0, 1_000),
        bounds.secondsAsMillisOr("reuse_after_s", 2),
        bounds.booleanOr("revoked_everywhere", false) ? bounds.millisOr("revoke_ms", 5_000) : 0,
        bounds.secondsAsMillisOr("report_window_s", 0),
        bounds.secondsAsMillisOr("usage_late_s", 0),
        bounds.millisOr("lease_ms", Settings.Bounds.DEFAULT_LEASE_MS));
  }

  private static Settings.Platform platform(SettingsObject platform) {
    if (platform == null) {
      return null;
    }
    return new Settings.Platform(
        address(platform.pathOf("address"), platform.string("address")),
        platform.numberOr("per_s", 10, 0.001, 1e9),
        platform.millisOr("lag_ms", 1_000),
        names(platform.pathOf("rounds"), platform.listOrEmpty("rounds")),
        platform.numberOr("round_per_s", 0, 0, 1e9));
  }

  private static Set<String> names(String path, List<Object> given) {
    Set<String> names = new LinkedHashSet<>();
    for (int i = 0; i < given.size(); i++) {
      names.add(SettingsObject.string(path + "." + i, given.get(i)));
    }
    return Set.copyOf(names);
  }

  private static String address(String path, String address) {
    if (!Addresses.isAddress(address)) {
      throw SettingsObject.invalid(path, "not an address ip:port: " + address);
    }
    return address;
  }
}
