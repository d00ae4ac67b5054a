package willowdoor.purge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PurgeApiTest {
  private static final PurgeId ID = PurgeId.of("00000000b4d65521", "k-1");

  private static PurgeApi.Call read(String method, String path, String body, String... headers) {
    Map<String, String> all =
        new HashMap<>(
            Map.of(
                "x-customer",
                "00000000b4d65521",
                "idempotency-key",
                "k-1",
                "request-timeout-ms",
                "480"));
    for (int i = 0; i < headers.length; i += 2) {
      all.put(headers[i], headers[i + 1]);
    }
    return PurgeApi.read(method, path, all::get, body.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void readsPurgeAndStatusCalls() {
    assertEquals(
        new PurgeApi.PurgeCall(ID, new Scope("00000000b4d65521", "/"), 480),
        read("POST", "/-/purge", " {\"all\":true} "));
    assertEquals(
        new PurgeApi.PurgeCall(ID, new Scope("00000000b4d65521", "/preview/a?x=%20"), 60_000),
        read(
            "POST",
            "/-/purge",
            "{\"prefix\":\"/preview/a?x=%20\"}",
            "request-timeout-ms",
            "900000"));
    assertEquals(
        new PurgeApi.StatusCall(ID, "00000000b4d65521", 480), read("GET", "/-/purge/" + ID, ""));
  }

  @ParameterizedTest
  @CsvSource(
      quoteCharacter = '`',
      value = {
        "400, POST, `{}`, all",
        "400, POST, `{\"all\":false}`, all",
        "400, POST, `{\"all\":true} x`, all",
        "400, POST, `{\"all\":true,\"prefix\":\"/\"}`, all",
        "400, POST, `[]`, all",
        "400, POST, `{\"all\":tru`, all",
        "400, POST, ``, all",
        "400, POST, `{\"prefix\":\"preview\"}`, begin with /",
        "405, PUT, ``, POST",
        "400, POST, `{\"prefix\":\"/a/../b\"}`, it purges nothing",
        "400, POST, `{\"prefix\":\"/%61\"}`, purges nothing"
      })
  void reportsWhyARequestIsInvalid(int status, String method, String body, String words) {
    PurgeApi.Response answer =
        assertInstanceOf(PurgeApi.Response.class, read(method, "/-/purge", body));
    String text = new String(answer.body(), StandardCharsets.UTF_8);
    assertEquals(status + " true", answer.status() + " " + text.contains(words), text);
  }

  @Test
  void rejectsInvalidHeadersBodiesAndPaths() {
    String all = "{\"all\":true}";
    for (PurgeApi.Call call :
        List.of(
            read("POST", "/-/purge", all, "x-customer", "B4D6"),
            read("POST", "/-/purge", all, "idempotency-key", null),
            read("POST", "/-/purge", all, "idempotency-key", "a b"),
            read("POST", "/-/purge", all, "request-timeout-ms", "0"),
            read("GET", "/-/purge/" + ID, "", "request-timeout-ms", "-1"))) {
      assertEquals(400, assertInstanceOf(PurgeApi.Response.class, call).status());
    }
    assertEquals(413, ((PurgeApi.Response) read("POST", "/-/purge", " ".repeat(5_000))).status());
    assertEquals(404, ((PurgeApi.Response) read("GET", "/-/purge/12", "")).status());
    assertEquals(405, ((PurgeApi.Response) read("POST", "/-/purge/" + ID, "")).status());
  }

  @Test
  void writesOneResponsePerOutcome() {
    Map<Outcome, String> answers =
        Map.of(
            new Outcome.Complete(ID, 97, List.of(3, 17)),
            "200 {\"id\":\""
                + ID
                + "\",\"state\":\"complete\",\"confirmed\":97,\"ran_out\":[3,17]}",
            new Outcome.Pending(ID),
            "202 {\"id\":\"" + ID + "\",\"state\":\"pending\"}",
            new Outcome.Unavailable(ID, Outcome.FailureReason.NO_MAJORITY),
            "503 {\"error\":\"nothing is promised: too few keepers answered; try again with the same key\"}",
            new Outcome.Rejected(ID, Outcome.FailureReason.KEY_USED),
            "409 {\"error\":\"this Idempotency-Key was used for another purge\"}",
            new Outcome.Rejected(ID, Outcome.FailureReason.TOO_MANY),
            "429 {\"error\":\"too many purges of this customer are waiting\"}");
    answers.forEach(
        (outcome, expected) -> {
          PurgeApi.Response answer = PurgeApi.response(outcome);
          assertEquals(
              expected, answer.status() + " " + new String(answer.body(), StandardCharsets.UTF_8));
        });
    assertEquals(
        "/-/purge/" + ID, PurgeApi.response(new Outcome.Pending(ID)).headers().get("Location"));
    assertEquals(404, PurgeApi.response(new Outcome.Unknown(ID)).status());
  }
}
