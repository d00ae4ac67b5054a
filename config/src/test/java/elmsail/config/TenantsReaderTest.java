package elmsail.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TenantsReaderTest {
  private static RoutingConfig read(String senders) {
    String config = SampleConfigs.config(7);
    String extended = config.substring(0, config.length() - 1) + ",\"senders\":" + senders + "}";
    return RoutingConfigReader.read(SampleConfigs.bytes(extended));
  }

  @Test
  void findsTheTenantOfEachKey() {
    RoutingConfig config =
        read(
            """
            [{"name":"a","passes":["k1","k2"],"precedence":3},{"name":"b","passes":["k3"]}]""");
    assertThat(config.requiresKeys(), is(true));
    assertThat(config.tenantByKey("k1"), equalTo(Optional.of(new Tenant("a", 3))));
    assertThat(config.tenantByKey("k2"), equalTo(Optional.of(new Tenant("a", 3))));
    assertThat(config.tenantByKey("k3"), equalTo(Optional.of(new Tenant("b", 0))));
    assertThat(config.tenantByKey("K3"), equalTo(Optional.empty()));
    assertThat(config.tenantByKey("a"), equalTo(Optional.empty()));
  }

  @Test
  void prioritiesAreDistinctAndAscending() {
    RoutingConfig config =
        read(
            """
            [{"name":"a","passes":["k1","k2"],"precedence":3},{"name":"b","passes":["k3"]},
             {"name":"c","passes":["k4"],"precedence":3},{"name":"keyless","precedence":9}]""");
    assertThat(config.tenantPriorities(), equalTo(List.of(0, 3)));
    assertThat(read("[]").tenantPriorities(), equalTo(List.of()));
    assertThat("without batch routes", config.routePriorities(), equalTo(List.of(0)));
  }

  @Test
  void configurationWithoutTenantsRequiresNoKeys() {
    RoutingConfig config = RoutingConfigReader.read(SampleConfigs.bytes(SampleConfigs.config(7)));
    assertThat(config.requiresKeys(), is(false));
    assertThat(config.tenantByKey("k1"), equalTo(Optional.empty()));
  }

  @ParameterizedTest
  @ValueSource(strings = {"[]", "[{\"name\":\"a\",\"passes\":[]}]", "[{\"name\":\"a\"}]"})
  void tenantListWithoutKeysStillRequiresKeys(String senders) {
    RoutingConfig config = read(senders);
    assertThat(config.requiresKeys(), is(true));
    assertThat(config.tenantByKey("k1"), equalTo(Optional.empty()));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "[{\"name\":\"a\",\"passes\":[\"secret\"]},{\"name\":\"b\",\"passes\":[\"x\",\"secret\"]}]",
        "[{\"name\":\"a\",\"passes\":[\"secret\"]},{\"name\":\"a\",\"passes\":[\"x\"]}]",
        "[{\"passes\":[\"secret\"]}]",
        "[{\"name\":\"a\",\"passes\":\"secret\"}]",
        "[{\"name\":\"a\",\"passes\":[\"secret\",7]}]",
        "[{\"name\":\"a\",\"passes\":[\"secret\",\"\"]}]",
        "{\"secret\":7}",
      })
  void rejectionOfInvalidTenantsContainsNoKey(String senders) {
    ElmsailException rejection = assertThrows(ElmsailException.class, () -> read(senders));
    assertThat(rejection.code(), is(ErrorCode.INVALID_ARGUMENT));
    assertThat(rejection.getMessage(), containsString("senders"));
    assertThat(rejection.getMessage(), not(containsString("secret")));
  }

  @Test
  void acceptsAKeyListedTwiceByOneTenant() {
    RoutingConfig config = read("[{\"name\":\"a\",\"passes\":[\"k1\",\"k1\"]}]");
    assertThat(config.tenantByKey("k1"), equalTo(Optional.of(new Tenant("a", 0))));
  }
}
