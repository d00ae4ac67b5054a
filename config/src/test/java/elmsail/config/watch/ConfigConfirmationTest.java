package elmsail.config.watch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.rpc.messages.PullResponse;
import org.junit.jupiter.api.Test;

class ConfigConfirmationTest {
  private final ConfigConfirmation confirmation = new ConfigConfirmation();

  private static PullResponse response(long version, long ageMs) {
    PullResponse response = new PullResponse();
    response.configVersion = version;
    response.configConfirmedAgeMs = ageMs;
    return response;
  }

  @Test
  void nothingIsConfirmedBeforeTheFirstResponse() {
    assertThat(confirmation.ageMs(1_000), is(Long.MAX_VALUE));
  }

  @Test
  void ageIsMeasuredFromTheSendTimeOfTheRequestMinusTheStatedAge() {
    confirmation.onResponse(response(7, 300), 7, 5_000);
    assertThat(confirmation.ageMs(6_100), is(1_400L));
  }

  @Test
  void confirmsAlsoIfTheMomentPrecedesTheStartOfTheSteadyClock() {
    confirmation.onResponse(response(7, 300), 7, 100);
    assertThat(confirmation.ageMs(110), is(310L));
  }

  @Test
  void latestConfirmedMomentIsKeptInAnyOrderOfResponses() {
    confirmation.onResponse(response(7, 100), 7, 5_000);
    confirmation.onResponse(response(7, 1_400), 7, 5_200);
    assertThat(confirmation.ageMs(6_000), is(1_100L));
  }

  @Test
  void versionThatCouldNotBeDecodedConfirmsNothing() {
    confirmation.onResponse(response(8, 0), 7, 5_000);
    assertThat(confirmation.ageMs(5_000), is(Long.MAX_VALUE));
  }

  @Test
  void responseWithAnOlderVersionConfirmsANewerKnownOne() {
    confirmation.onResponse(response(7, 50), 8, 5_000);
    assertThat(confirmation.ageMs(5_000), is(50L));
  }

  @Test
  void responseWithoutAnAgeConfirmsNothing() {
    confirmation.onResponse(response(7, -1), 7, 5_000);
    assertThat(confirmation.ageMs(5_000), is(Long.MAX_VALUE));
  }

  @Test
  void nothingIsConfirmedWithoutAConfiguration() {
    confirmation.onResponse(response(0, 10), 0, 5_000);
    assertThat(confirmation.ageMs(5_000), is(Long.MAX_VALUE));
  }
}
