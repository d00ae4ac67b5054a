package elmsail.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class RoutingConfigReaderTest {
  private static final String VALID = SampleConfigs.config(7);

  private static RoutingConfig read(String text) {
    return RoutingConfigReader.read(SampleConfigs.bytes(text));
  }

  private static String rejectionMessage(byte[] bytes) {
    ElmsailException thrown =
        assertThrows(ElmsailException.class, () -> RoutingConfigReader.read(bytes));
    assertThat(thrown.code(), equalTo(ErrorCode.INVALID_ARGUMENT));
    return thrown.getMessage();
  }

  private static String rejectionMessage(String from, String to) {
    assertThat(VALID, containsString(from));
    return rejectionMessage(SampleConfigs.bytes(VALID.replace(from, to)));
  }

  @Test
  void readsAllFields() {
    RoutingConfig config = read(VALID);
    assertThat(config.version(), equalTo(7L));
    Route stream = config.routeByName("r-1");
    assertThat(stream.kind(), equalTo(Route.Kind.STREAM));
    assertThat(stream.host(), equalTo("nony24.example"));
    assertThat(stream.timeoutMs(), equalTo(2_000L));
    assertThat(stream.tokenGapTargetMs(), equalTo(150L));
    assertThat(stream.weightedServices(), hasSize(2));
    assertThat(stream.weightedServices().get(0).weight(), closeTo(90, 0));
    Route jobs = config.routeByName("r-2");
    assertThat(jobs.weightedServices(), equalTo(List.of(new Route.WeightedService("huvo11a", 1))));
    assertThat(jobs.itemTtlMs(), equalTo(7_500L));
    assertThat(jobs.completionTargetMs(), equalTo(4_000L));
    assertThat(jobs.maxWaitingTokens(), equalTo(9_000L));
    assertThat(jobs.priority(), equalTo(2));
    assertThat(jobs.maxAttempts(), equalTo(2));
    assertThat(
        config.services().get("huvo11a"),
        equalTo(new Service("huvo11a", "/health", 200, 24, 305_000)));
    assertThat(
        config.limits(), equalTo(new RoutingConfig.ClientLimits(16_384, 4_194_304, 3_000, 15_000)));
  }

  @Test
  void absentFieldsHaveDefaults() {
    RoutingConfig config =
        read(
            """
        {"edition":1,"postal_lines":[{"name":"s"}],"routes":[{"name":"r","depot":"H.example:80",
        "lane_prefix":"/","route_class":"safe","give_up_ms":0.5,"postal_line":"s","resume":null}]}""");
    Route route = config.routeByName("r");
    assertThat(route.host(), equalTo("h.example"));
    assertThat(route.maxAttempts(), equalTo(1));
    assertThat(route.priority(), equalTo(0));
    assertThat(route.timeoutMs(), equalTo(1L));
    assertThat(config.limits().idleTimeoutMs(), equalTo(15_000L));
    assertThat(config.services().get("s"), equalTo(new Service("s", "/health", 0, 0, 0)));
  }

  @Test
  void batchRouteNeedsNoTimeout() {
    assertThat(
        read(VALID.replace("\"give_up_ms\":5000,", "")).routeByName("r-2").timeoutMs(),
        equalTo(0L));
  }

  @Test
  void ignoresUnknownFields() {
    read(
        VALID.replace(
            "\"edition\":7", "\"edition\":7,\"newer\":{\"a\":[1,null,{\"b\":\"\\u00e9\"}]}"));
  }

  @Test
  void rejectsEveryTruncation() {
    byte[] complete = SampleConfigs.bytes(VALID);
    for (int length = 0; length < complete.length; length++) {
      rejectionMessage(Arrays.copyOf(complete, length));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"}", "{}", "x", ",", "\u0000", "// end", "# end", "\u00a0", "1", "null"})
  void rejectsTrailingContent(String trailing) {
    rejectionMessage(SampleConfigs.bytes(VALID + trailing));
    read(VALID + " \r\n\t");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "null",
        "[]",
        "7",
        "\"text\"",
        "edition=7",
        "{edition:7}",
        "{\"edition\"=7}",
        "{\"edition\":7,}",
        "{\"edition\":07}",
        "{\"edition\":+7}",
        "{\"edition\":NaN}",
        "{'edition':7}",
        "{\"edition\":7 \"routes\":[]}",
        "{\"edition\":7\n\"routes\":[]}",
        "/**/{}",
        "include \"a\"",
        "\ufeff{}",
        "{\"a\":\"\n\"}",
        "{\"a\":\"\\x\"}",
        "{\"a\":\"\\u12\"}",
        "{\"a\":1e}",
        "{\"a\":.5}",
        "{\"a\":${b}}",
        "{\"a\":tru}",
        "{\"a\":1 2}",
        "{\"a\":9223372036854775808}",
        "{\"a\":[-12345678901234567890123]}",
        "{\"a\":\"x\" \"y\"}"
      })
  void rejectsInvalidJson(String text) {
    rejectionMessage(SampleConfigs.bytes(text));
    if (text.startsWith("{\"a\"")) {
      rejectionMessage("{\"edition\"", text.substring(0, text.length() - 1) + ",\"edition\"");
    }
  }

  @Test
  void rejectsInvalidUtf8() {
    byte[] bytes = VALID.getBytes(StandardCharsets.UTF_8);
    for (byte invalidByte : new byte[] {(byte) 0xff, (byte) 0xc3, (byte) 0x80}) {
      byte[] corrupted = bytes.clone();
      corrupted[VALID.indexOf("r-1") + 1] = invalidByte;
      assertThat(rejectionMessage(corrupted), containsString("UTF-8"));
    }
    rejectionMessage(VALID.getBytes(StandardCharsets.UTF_16));
  }

  @Test
  void rejectsDeepNesting() {
    rejectionMessage(SampleConfigs.bytes("[".repeat(100_000)));
    rejectionMessage(
        "\"edition\":7", "\"deep\":" + "[".repeat(60) + "]".repeat(60) + ",\"edition\":7");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "\"edition\":7                 | \"edition\":7,\"edition\":7   | Duplicate",
        "\"depot\":\"nony24.example\"  | \"depot\":\"a\",\"depot\":\"b\" | Duplicate",
        "{\"berths\":24                | {\"x\":1,\"x\":1,\"berths\":24 | Duplicate",
        "\"share\":90                  | \"share\":90,\"\\u0073hare\":90 | Duplicate",
        "\"edition\":7,                | `` | edition: is missing",
        "\"edition\":7                 | \"edition\":0 | edition: ",
        "\"edition\":7                 | \"edition\":-7 | edition: ",
        "\"edition\":7                 | \"edition\":7.5 | edition: ",
        "\"edition\":7                 | \"edition\":\"7\" | edition: ",
        "\"edition\":7                 | \"edition\":null | edition: ",
        "\"edition\":7                 | \"edition\":1e400 | edition: ",
        "\"edition\":7                 | \"edition\":[7] | edition: ",
        "\"routes\"                    | \"ways\" | routes: is missing",
        "\"postal_lines\"              | \"lines\" | postal_lines: is missing",
        "\"routes\":[                  | \"routes\":[7, | routes[0]: is not an object",
        "\"postal_line\":\"huvo11a\",\"tries\" | \"postal_line\":\"x\",\"tries\" | routes[1].postal_line: ",
        "\"postal_line\":\"huvo11a\",\"share\":90 | \"postal_line\":\"x\",\"share\":90 | [0].postal_line: ",
        "\"postal_line\":\"huvo11a\",\"share\":90 | \"postal_line\":\"x\",\"share\":0 | [0].postal_line: ",
        "\"postal_line\":\"huvo11a\",\"tries\" | \"tries\" | routes[1].postal_line: is missing",
        "\"name\":\"huvo11a\"          | \"name\":\"other\" | the service huvo11a is not known",
        "\"share_out\":[               | \"share_out\":[{\"share\":1},"
            + " | share_out[0].postal_line: is missing",
        "\"share\":90                  | \"share\":-1 | routes[0].share_out[0].share: is below 0",
        "\"share\":90                  | \"share\":\"90\" | share: is not a number",
        "\"give_up_ms\":2000           | \"give_up_ms\":0 | routes[0].give_up_ms: is 0",
        "\"give_up_ms\":5000           | \"give_up_ms\":0 | routes[1].give_up_ms: is 0",
        "\"give_up_ms\":2000           | \"give_up_ms\":0.0 | routes[0].give_up_ms: is 0",
        "\"give_up_ms\":2000           | \"give_up_ms\":-5 | routes[0].give_up_ms: is below 0",
        "\"give_up_ms\":2000,          | `` | routes[0].give_up_ms: is missing",
        "\"give_up_ms\":2000           | \"give_up_ms\":null | routes[0].give_up_ms: is missing",
        "\"give_up_ms\":2000           | \"give_up_ms\":\"2000\" | routes[0].give_up_ms: is not a number",
        "\"name\":\"r-2\"              | \"name\":\"r-1\" | two routes are called r-1",
        "\"name\":\"r-2\",             | `` | routes[1].name: is missing",
        "\"lane_prefix\":\"/pufi791/\" | \"lane_prefix\":\"/pufi791\" | routes[1].lane_prefix: ",
        "\"lane_prefix\":\"/pufi791/\" | \"lane_prefix\":\"pufi791/\" | routes[1].lane_prefix: ",
        "\"lane_prefix\":\"/pufi791/\" | \"lane_prefix\":\"\" | routes[1].lane_prefix: ",
        "\"depot\":\"ficu95.example\"  | \"depot\":\"\" | routes[1].depot: ",
        "\"depot\":\"ficu95.example\"  | \"depot\":5 | routes[1].depot: is not a text",
        "\"route_class\":\"stream\"    | \"route_class\":\"steam\" | routes[0].route_class: ",
        "\"route_class\":\"stream\"    | \"route_class\":7 | routes[0].route_class: is not a text",
        "\"resume\":false              | \"resume\":\"false\" | routes[0].resume: is not true or false",
        "\"shelf_s\":7.5               | \"shelf_s\":-1 | routes[1].shelf_s: is below 0",
        "\"shelf_s\":7.5               | \"shelf_s\":\"7.5\" | routes[1].shelf_s: is not a number",
        "\"tries\":1                   | \"tries\":true | routes[0].tries: is not a number",
        "\"berth_cap\":200             | \"berth_cap\":{} | postal_lines[0].berth_cap: ",
        "\"engine\":{\"berths\"        | \"engine\":7,\"e\":{\"berths\" | postal_lines[0].engine: ",
        "\"limits\":{                  | \"limits\":[],\"l\":{ | limits: is not an object",
        "\"idle_ms\":15000             | \"idle_ms\":\"x\" | limits.idle_ms: is not a number"
      })
  void rejectsInvalidFieldsWithThePath(String from, String to, String expectedReason) {
    assertThat(rejectionMessage(from, to), containsString(expectedReason));
  }

  @Test
  void rejectsTwoRoutesWithTheSameHostAndPrefix() {
    String samePrefix = VALID.replace("/pufi791/", "/lohu930/");
    assertThat(
        rejectionMessage(
            SampleConfigs.bytes(samePrefix.replace("ficu95.example", "nony24.example"))),
        containsString("routes[1].lane_prefix: two routes"));
    assertThat(
        rejectionMessage(
            SampleConfigs.bytes(samePrefix.replace("ficu95.example", "NONY24.example:8080"))),
        containsString("routes[1].lane_prefix: two routes"));
    read(samePrefix);
  }

  @Test
  void rejectsWeightsThatAddUpToZero() {
    String oneZeroWeight = VALID.replace("\"share\":90", "\"share\":0");
    read(oneZeroWeight);
    assertThat(
        rejectionMessage(SampleConfigs.bytes(oneZeroWeight.replace("\"share\":10", "\"share\":0"))),
        containsString("routes[0].share_out: the weights"));
    assertThat(
        rejectionMessage("\"share_out\":[", "\"share_out\":[],\"x\":["),
        containsString("routes[0].share_out: the weights"));
  }

  @Test
  void rejectsTwoServicesWithTheSameName() {
    assertThat(
        rejectionMessage("\"postal_lines\":[", "\"postal_lines\":[{\"name\":\"huvo11a\"},"),
        containsString("postal_lines[1].name: two services"));
  }

  @Test
  void digestDependsOnEveryByte() {
    assertThat(
        ConfigDigest.of(new byte[0]),
        equalTo("e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"));
    assertThat(
        ConfigDigest.of(SampleConfigs.bytes(VALID))
            .equals(ConfigDigest.of(SampleConfigs.bytes(VALID + " "))),
        equalTo(false));
  }

  @Test
  void fleetSizeOfAServiceIsRead() {
    RoutingConfig config =
        read(
            """
            {"edition":1,"routes":[],"postal_lines":[{"name":"s",
            "fleet_size":{"floor":9,"ceiling":21,"boot_s":4.5}},{"name":"t"}]}""");
    assertThat(
        config.services().get("s").fleetSize(), equalTo(Optional.of(new FleetSize(9, 21, 4_500))));
    assertThat(config.services().get("t").fleetSize(), equalTo(Optional.empty()));
  }

  @Test
  void unstampedRouteRequiresNoKey() {
    RoutingConfig config =
        read(
            """
            {"edition":1,"routes":[{"name":"o","depot":"h","lane_prefix":"/o/","route_class":"safe",
            "give_up_ms":1,"postal_line":"s","unstamped":true},{"name":"k","depot":"h",
            "lane_prefix":"/k/","route_class":"safe","give_up_ms":1,"postal_line":"s",
            "unstamped":false}],"postal_lines":[{"name":"s"}]}""");
    assertThat(config.routeByName("o").isOpen(), equalTo(true));
    assertThat(config.routeByName("k").isOpen(), equalTo(false));
  }
}
