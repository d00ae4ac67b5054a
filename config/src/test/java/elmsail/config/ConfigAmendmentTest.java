package elmsail.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Amendments of a configuration: what they change, what they keep, and which are rejected. */
class ConfigAmendmentTest {
  private static final String BEFORE =
      """
      {"edition": 7, "strange": {"a": [1, 2.50]}, "routes": [
        {"name":"r-1", "own": 1e3, "depot":"a.example"},
        {"depot":"b.example", "name":"r-2", "text":"} ] \\" ü"}
      ], "postal_lines":[{"name":"p"}], "plain":[1,"x",{"y":[]}], "limits":{"idle_ms":15000}}""";

  private static String amended(String before, String amendment) {
    byte[] after =
        ConfigAmendment.read(SampleConfigs.bytes(amendment)).applyTo(SampleConfigs.bytes(before));
    return new String(after, StandardCharsets.UTF_8);
  }

  private static String rejectionMessage(String before, String amendment) {
    ElmsailException failure =
        assertThrows(ElmsailException.class, () -> amended(before, amendment));
    assertThat(failure.code(), is(ErrorCode.INVALID_ARGUMENT));
    return failure.getMessage();
  }

  @Test
  void replacesAddsAndRemovesItemsAndKeepsAllOtherText() {
    String after =
        amended(
            BEFORE,
            """
            {"edition":9,"deliver":{"routes":[{"name":"r-3","n":1.10},{"name":"r-1","own":2}]},
            "withdraw":{"routes":["r-2"]}}""");
    assertThat(
        after,
        equalTo(
            "{\"edition\":9,\"strange\":{\"a\": [1, 2.50]},\"routes\":[{\"name\":\"r-1\",\"own\":2},"
                + "{\"name\":\"r-3\",\"n\":1.10}],\"postal_lines\":[{\"name\":\"p\"}],"
                + "\"plain\":[1,\"x\",{\"y\":[]}],\"limits\":{\"idle_ms\":15000}}"));
  }

  @Test
  void keepsUnknownFieldsOfItemsThatAreNotAmended() {
    String after = amended(BEFORE, "{\"edition\":9,\"withdraw\":{\"routes\":[\"r-1\"]}}");
    assertThat(
        after,
        containsString("[{\"depot\":\"b.example\", \"name\":\"r-2\", \"text\":\"} ] \\\" ü\"}]"));
  }

  @Test
  void createsAMissingList() {
    String after = amended(BEFORE, "{\"edition\":9,\"deliver\":{\"teams\":[{\"name\":\"t\"}]}}");
    assertThat(after, containsString(",\"teams\":[{\"name\":\"t\"}]}"));
  }

  @Test
  void changesOnlyTheVersionIfNoItemIsNamed() {
    assertThat(amended(BEFORE, "{\"edition\":9}"), containsString("{\"edition\":9,\"strange\""));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '~',
      value = {
        "{\"deliver\":{}} | edition: is missing",
        "{\"edition\":0} | edition: is not a whole number above 0",
        "{\"edition\":9,\"deliver\":[]} | deliver: is not an object",
        "{\"edition\":9,\"deliver\":{\"routes\":{}}} | deliver.routes: is not a list",
        "{\"edition\":9,\"deliver\":{\"routes\":[{\"depot\":\"x\"}]}} | deliver.routes: is not a list",
        "{\"edition\":9,\"deliver\":{\"routes\":[{\"name\":1}]}} | deliver.routes: is not a list",
        "{\"edition\":9,\"deliver\":{\"routes\":[{\"name\":\"a\"},{\"name\":\"a\"}]}} | deliver.routes: is",
        "{\"edition\":9,\"deliver\":{\"limits\":{\"idle_ms\":1}}} | deliver.limits: is not a list",
        "{\"edition\":9,\"deliver\":{\"limits\":[{\"name\":\"a\"}]}} | current.limits: is not a list",
        "{\"edition\":9,\"deliver\":{\"edition\":[{\"name\":\"a\"}]}} | current.edition: is not a list",
        "{\"edition\":9,\"deliver\":{\"plain\":[{\"name\":\"a\"}]}} | current.plain: is not a list",
        "{\"edition\":9,\"withdraw\":{\"routes\":\"r-1\"}} | withdraw.routes: is not a list",
        "{\"edition\":9,\"withdraw\":{\"routes\":[1]}} | withdraw.routes: holds what is not a name",
        "{\"edition\":9,\"withdraw\":{\"routes\":[\"r-9\"]}} | withdraw.routes: there is no r-9",
        "{\"edition\":9,\"withdraw\":{\"none\":[\"r-1\"]}} | withdraw.none: there is no r-1",
        "{\"edition\":9,\"withdraw\":{\"routes\":[\"r-1\",\"r-1\"]}} | withdraw.routes: r-1 is named twice",
        "{\"edition\":9,\"deliver\":{\"routes\":[{\"name\":\"r-1\"}]},\"withdraw\":{\"routes\":[\"r-1\"]}}"
            + " | withdraw.routes: r-1 is named twice",
        "{\"edition\":9 | the configuration is not whole JSON",
        "{\"edition\":9,\"edition\":9} | the configuration is not whole JSON",
        "[] | the configuration is not a JSON object"
      })
  void rejectsInvalidAmendmentsWithThePath(String amendment, String expectedReason) {
    assertThat(rejectionMessage(BEFORE, amendment), containsString(expectedReason));
  }

  @Test
  void leavesValidationOfTheResultToTheReader() {
    String config = SampleConfigs.config(7);
    String withoutService =
        amended(config, "{\"edition\":9,\"withdraw\":{\"postal_lines\":[\"huvo11a\"]}}");
    ElmsailException failure =
        assertThrows(
            ElmsailException.class,
            () -> RoutingConfigReader.read(SampleConfigs.bytes(withoutService)));
    assertThat(failure.getMessage(), containsString("the service huvo11a is not known"));
  }

  @Test
  void readerReadsAnAmendedConfiguration() {
    String after =
        amended(SampleConfigs.config(7), "{\"edition\":9,\"withdraw\":{\"routes\":[\"r-2\"]}}");
    RoutingConfig read = RoutingConfigReader.read(SampleConfigs.bytes(after));
    assertThat(read.version(), is(9L));
    assertThat(read.routeByName("r-1"), notNullValue());
    assertThat(read.routeByName("r-2"), nullValue());
  }

  /**
   * Model test: after any sequence of amendments, the list has the same items as a map with the
   * same changes.
   */
  @Test
  void sequencesOfAmendmentsAgreeWithAMapModel() {
    for (int seed = 1; seed <= 50; seed++) {
      Random random = new Random(seed);
      TreeMap<String, Integer> model = new TreeMap<>();
      String config = "{\"edition\":1,\"routes\":[]}";
      for (int step = 2; step < 40; step++) {
        String name = "r" + random.nextInt(8);
        String change;
        if (model.containsKey(name) && random.nextBoolean()) {
          model.remove(name);
          change = "\"withdraw\":{\"routes\":[\"" + name + "\"]}";
        } else {
          model.put(name, step);
          change = "\"deliver\":{\"routes\":[{\"name\":\"" + name + "\",\"v\":" + step + "}]}";
        }
        config = amended(config, "{\"edition\":" + step + "," + change + "}");
        ConfigDocument document = ConfigDocument.read(SampleConfigs.bytes(config));
        TreeMap<String, Integer> found = new TreeMap<>();
        document
            .fields()
            .get("routes")
            .items()
            .forEach(
                (key, item) ->
                    found.put(key, Integer.parseInt(item.text().replaceAll(".*\"v\":|}", ""))));
        assertThat("seed " + seed, found, equalTo(model));
      }
    }
  }
}
