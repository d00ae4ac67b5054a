package willowdoor.front;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import io.netty.channel.socket.ServerSocketChannel;
import java.io.IOException;
import java.math.BigInteger;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;
import willowdoor.front.discovery.BackendListUpdate;
import willowdoor.front.loop.Descriptors;
import willowdoor.front.loop.Transport;
import willowdoor.policy.GatewayApi.Settings;
import willowdoor.wire.Address;
import willowdoor.wire.JsonFields;
import willowdoor.wire.WireSettings;

/** The configuration of a gateway process, read from the file that {@code GW_CONFIG} names. */
record Config(
    String name,
    SocketAddress listen,
    InetSocketAddress management,
    InetSocketAddress discovery,
    SocketAddress counter,
    long seed,
    Descriptors descriptors,
    Settings settings,
    double connectLimitMs,
    double idleLimitMs,
    BackendListUpdate known) {

  /** The default if the configuration names no limit: the platform's largest. */
  private static final int DEFAULT_SOCKETS = 1_024;

  /**
   * Reads the file. Throws an IOException with a readable message if the configuration does not
   * allow the gateway to serve.
   */
  static Config read(Path file) throws IOException {
    Map<String, Object> fields;
    try (JsonParser in = new JsonFactory().createParser(Files.readAllBytes(file))) {
      fields = JsonFields.document(in);
    } catch (NoSuchFileException e) {
      throw new IOException("there is no file " + file, e);
    }
    return of(fields);
  }

  /**
   * Returns the listening socket for clients if the platform passes one to the process, else null.
   */
  static ServerSocketChannel inherited() throws IOException {
    String descriptor = System.getenv("GW_ACCEPT_FD");
    try {
      return descriptor == null || descriptor.isEmpty()
          ? null
          : Transport.adopt(Integer.parseInt(descriptor));
    } catch (NumberFormatException e) {
      throw new IOException("GW_ACCEPT_FD is not a number: '" + descriptor + "'", e);
    }
  }

  static Config of(Map<String, Object> fields) throws IOException {
    Map<String, Object> settings = JsonFields.child(fields, "settings");
    Settings parsed = WireSettings.read(settings);
    if (parsed.classes().isEmpty() || parsed.plans().isEmpty()) {
      throw new IOException("settings contain no request classes or no plans");
    }
    requireNames(settings, "Profiles");
    requireNames(settings, "Tariffs");
    Map<String, Object> bounds = JsonFields.child(settings, "Bounds");
    InetSocketAddress counter =
        fields.get("counter") == null && !parsed.options().sharedCounter()
            ? null
            : address(fields, "counter");
    InetSocketAddress management =
        fields.get("management") == null ? null : address(fields, "management");
    return new Config(
        JsonFields.text(fields, "name"),
        address(fields, "listen"),
        management,
        address(fields, "discovery"),
        counter,
        seed(fields),
        descriptors(JsonFields.child(fields, "limits")),
        parsed,
        JsonFields.number(bounds, "DialTimeoutMs", 250),
        JsonFields.number(bounds, "ConnIdleMs", 15_000),
        known(JsonFields.child(fields, "known")));
  }

  /**
   * Returns this configuration with other peers, without a management address and without
   * discovery.
   */
  Config withPeers(SocketAddress listen, SocketAddress counter, BackendListUpdate servers) {
    return new Config(
        name,
        listen,
        null,
        null,
        counter,
        seed,
        descriptors,
        settings,
        connectLimitMs,
        idleLimitMs,
        servers);
  }

  /**
   * Describes the effective settings in one line: times in milliseconds, quotas in units per second
   * and burst.
   */
  String describe() {
    StringBuilder text =
        new StringBuilder("front door ")
            .append(settings.selfIndex())
            .append(" of ")
            .append(settings.gateways())
            .append(", calls ")
            .append(settings.options().counterTimeoutMs());
    settings
        .classes()
        .forEach(
            c ->
                text.append(", ")
                    .append(c.name())
                    .append(' ')
                    .append(c.objectiveMs())
                    .append('/')
                    .append(c.deadlineMs()));
    settings
        .plans()
        .forEach(
            p ->
                text.append(", ")
                    .append(p.name())
                    .append(' ')
                    .append(p.rate())
                    .append('/')
                    .append(p.burst())
                    .append(" open ")
                    .append(p.maxOpen()));
    return text.toString();
  }

  private static void requireNames(Map<String, Object> settings, String list) throws IOException {
    int place = 0;
    for (Map<String, Object> item : JsonFields.children(settings, list)) {
      if (JsonFields.text(item, "Name").isEmpty()) {
        throw new IOException("settings." + list + "[" + place + "].Name is missing");
      }
      place++;
    }
  }

  private static Descriptors descriptors(Map<String, Object> limits) throws IOException {
    Object sockets = limits.get("sockets");
    if (sockets != null && !(sockets instanceof Number)) {
      throw new IOException("limits.sockets is not a number: " + sockets);
    }
    return Descriptors.of((int) JsonFields.number(limits, "sockets", DEFAULT_SOCKETS));
  }

  private static BackendListUpdate known(Map<String, Object> list) throws IOException {
    try {
      return BackendListUpdate.of(list);
    } catch (IOException e) {
      throw new IOException("known: " + e.getMessage(), e);
    }
  }

  private static long seed(Map<String, Object> fields) throws IOException {
    String seed = JsonFields.text(fields, "seed");
    try {
      return new BigInteger(seed, 16).longValue();
    } catch (NumberFormatException e) {
      throw new IOException("seed is not a hexadecimal number: '" + seed + "'", e);
    }
  }

  private static InetSocketAddress address(Map<String, Object> fields, String name)
      throws IOException {
    String text = JsonFields.text(fields, name);
    InetSocketAddress address = Address.parse(text);
    if (address == null) {
      throw new IOException(name + " is not an address and port: '" + text + "'");
    }
    return address;
  }
}
