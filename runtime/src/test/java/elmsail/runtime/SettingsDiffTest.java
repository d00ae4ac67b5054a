package elmsail.runtime;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsDiffTest {
  private static final Settings BEFORE = SettingsFile.parse(SettingsFileTest.with("\"other\":1"));

  private static Settings with(String field) {
    return SettingsFile.parse(SettingsFileTest.with(field));
  }

  @Test
  void equalSettingsDifferInNothing() {
    assertThat(SettingsDiff.changedFields(BEFORE, with("\"other\":2")), empty());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "station       | 'other'",
        "role          | 'other'",
        "machine_class | 'other'",
        "serves        | ['other']",
        "ip            | '10.7.7.7'",
        "zone          | 'other'",
        "region        | 'other'",
        "zones         | {'other':'r'}",
        "mail_slots    | {'front':'10.7.7.7:1'}",
        "inner_ports   | [100,200]",
        "seed_stations | ['10.7.7.7:2']",
        "counted       | false",
        "limits        | {'fds':77}",
        "data_dir      | '/other'",
        "clauses       | ['other']",
        "bear_losses   | {'machines':7}",
        "bounds        | {'ack_ms':77}",
        "carrier_api   | {'address':'10.7.7.7:3'}",
      },
      quoteCharacter = '`')
  void eachFieldIsNamedAsInTheFile(String name, String value) {
    List<String> changed =
        SettingsDiff.changedFields(BEFORE, with("\"" + name + "\":" + value.replace('\'', '"')));
    assertThat(changed.contains(name), is(true));
  }

  /** Every component is compared but the one that speaks of a start alone. */
  @Test
  void noComponentIsForgotten() {
    Settings other =
        new Settings(
            "x",
            "x",
            "x",
            Set.of("x"),
            "9.9.9.9",
            "x",
            "x",
            Map.of("x", "x"),
            Map.of("x", "x"),
            1,
            2,
            List.of("x"),
            BEFORE.firstStart(),
            !BEFORE.counted(),
            new Settings.Limits(9, 9, 9, 9, 9),
            "x",
            Set.of("x"),
            99,
            new Settings.Bounds(9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9),
            new Settings.Platform("9.9.9.9:9", 9, 9));
    int components = Settings.class.getRecordComponents().length;
    // Two components stand for the internal ports, and first_start is not compared.
    assertThat(SettingsDiff.changedFields(BEFORE, other), hasSize(components - 2));
    assertThat(Arrays.asList(Settings.class.getRecordComponents()), hasSize(20));
  }

  @Test
  void seedsAreNamedAlone() {
    assertThat(
        SettingsDiff.changedFields(BEFORE, with("\"seed_stations\":[\"10.7.7.7:2\"]")),
        contains(SettingsDiff.SEEDS));
  }
}
