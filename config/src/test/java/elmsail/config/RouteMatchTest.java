package elmsail.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.nullValue;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class RouteMatchTest {
  private static RoutingConfig configOf(String... hostsAndPrefixes) {
    StringBuilder routes = new StringBuilder();
    for (String hostAndPrefix : hostsAndPrefixes) {
      int slash = hostAndPrefix.indexOf('/');
      routes
          .append(routes.length() == 0 ? "" : ",")
          .append("{\"name\":\"")
          .append(hostAndPrefix)
          .append("\",\"depot\":\"")
          .append(hostAndPrefix, 0, slash)
          .append("\",\"lane_prefix\":\"")
          .append(hostAndPrefix.substring(slash))
          .append("\",\"route_class\":\"safe\",\"give_up_ms\":1,\"postal_line\":\"s\"}");
    }
    return RoutingConfigReader.read(
        SampleConfigs.bytes(
            "{\"edition\":1,\"postal_lines\":[{\"name\":\"s\"}],\"routes\":[" + routes + "]}"));
  }

  private static String matchedRoute(RoutingConfig config, String host, String path) {
    return config.match(host, path).map(Route::name).orElse(null);
  }

  @Test
  void longestPrefixWins() {
    RoutingConfig config =
        configOf("a.example/x/", "a.example/x/y/z/", "a.example/x/y/", "b.example/x/y/");
    assertThat(matchedRoute(config, "a.example", "/x/y/z/1"), equalTo("a.example/x/y/z/"));
    assertThat(matchedRoute(config, "a.example", "/x/y/z"), equalTo("a.example/x/y/"));
    assertThat(matchedRoute(config, "a.example", "/x/y"), equalTo("a.example/x/"));
    assertThat(matchedRoute(config, "a.example", "/x/"), equalTo("a.example/x/"));
    assertThat(matchedRoute(config, "a.example", "/x"), nullValue());
    assertThat(matchedRoute(config, "a.example", "/X/"), nullValue());
    assertThat(matchedRoute(config, "b.example", "/x/z/"), nullValue());
    assertThat(matchedRoute(config, "c.example", "/x/"), nullValue());
    assertThat(matchedRoute(config, null, "/x/"), nullValue());
  }

  @Test
  void ignoresCaseAndPortOfTheHost() {
    RoutingConfig config = configOf("a.example/");
    assertThat(matchedRoute(config, "A.Example", "/"), equalTo("a.example/"));
    assertThat(matchedRoute(config, "a.example:8161", "/q"), equalTo("a.example/"));
    assertThat(matchedRoute(config, "A.EXAMPLE:", "/q"), equalTo("a.example/"));
    assertThat(matchedRoute(config, "a.example.", "/q"), nullValue());
    assertThat(matchedRoute(config, "a.example", "*"), nullValue());
    assertThat(matchedRoute(config, ":", "/"), nullValue());
    assertThat(matchedRoute(configOf("[::1]/"), "[::1]", "/"), equalTo("[::1]/"));
    assertThat(matchedRoute(configOf("[::1]/"), "[::1]:80", "/"), equalTo("[::1]/"));
  }

  @Provide
  Arbitrary<List<String>> prefixes() {
    return paths().map(path -> path + "/").list().ofMinSize(1).ofMaxSize(12);
  }

  @Provide
  Arbitrary<String> paths() {
    return Arbitraries.of("a", "b", "ab")
        .list()
        .ofMaxSize(4)
        .map(
            parts -> {
              StringBuilder path = new StringBuilder();
              for (String part : parts) {
                path.append('/').append(part);
              }
              return path.toString();
            });
  }

  @Property(tries = 300)
  void agreesWithALinearSearch(
      @ForAll("prefixes") List<String> prefixes, @ForAll("paths") String path) {
    Set<String> hostsAndPrefixes = new LinkedHashSet<>();
    String best = null;
    for (String prefix : prefixes) {
      hostsAndPrefixes.add("h" + prefix);
      if (path.startsWith(prefix) && (best == null || prefix.length() + 1 > best.length())) {
        best = "h" + prefix;
      }
    }
    RoutingConfig config = configOf(new ArrayList<>(hostsAndPrefixes).toArray(new String[0]));
    assertThat(matchedRoute(config, "h", path), equalTo(best));
  }
}
