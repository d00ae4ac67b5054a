package elmsail.runtime;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AddressesTest {

  @Test
  void parsesIpv4AddressesWithPorts() {
    assertThat(
        Addresses.parse("10.200.0.79:8169").getAddress().getHostAddress(), is("10.200.0.79"));
    assertThat(Addresses.parse("10.200.0.79:65535").getPort(), is(65_535));
    assertThat(Addresses.isAddress("0.0.0.0:0"), is(true));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        ":",
        "1.2.3.4",
        "1.2.3.4:",
        "1.2.3:4",
        "1.2.3.4.5:6",
        "1..3.4:5",
        "1.2.3.4:65536",
        "1.2.3.4:99999999999",
        "1.2.3.4:-1",
        "localhost:80",
        "1.2.3.256:80",
        " 1.2.3.4:80",
        "1.2.3.4:80 "
      })
  void refusesTheRest(String address) {
    assertThat(Addresses.isAddress(address), is(false));
    assertThrows(ElmsailException.class, () -> Addresses.parse(address));
  }
}
