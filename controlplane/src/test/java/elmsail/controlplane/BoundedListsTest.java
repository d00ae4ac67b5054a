package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.rpc.messages.PullRequest;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Lists that grow with what comes and goes: what happens at their bounds. */
class BoundedListsTest {

  @Test
  void afterTheLastStationTheListIsStillReadable() {
    Set<String> names = new LinkedHashSet<>();
    for (int i = 0; i < DecommissionList.MOST - 1; i++) {
      names.add("vault-" + i);
    }
    byte[] full = DecommissionList.with(names, "last");
    Set<String> read = DecommissionList.of(full);
    assertThat(read, hasSize(DecommissionList.MOST));
    ElmsailException thrown =
        assertThrows(ElmsailException.class, () -> DecommissionList.with(read, "one more"));
    assertThat(thrown.code(), is(ErrorCode.RESOURCE_EXHAUSTED));
  }

  private static PullRequest pull(String role, int number) {
    PullRequest request = new PullRequest();
    request.role = role;
    request.address = "10.2." + number / 250 + "." + number % 250 + ":7720";
    request.machine = "s" + number;
    request.zone = "z";
    request.instanceId = number;
    return request;
  }

  @Test
  void whoWasHeardLongestAgoMakesRoom() {
    HeartbeatTable heard = new HeartbeatTable();
    int all = HeartbeatTable.MOST + 200;
    for (int i = 0; i < all; i++) {
      heard.note(pull("store", i), 1_000 + i);
      heard.note(pull("gateway", i), 1_000 + i);
      heard.note(pull("store", 0), 1_000 + i);
    }
    List<HeartbeatTable.Member> stores = new ArrayList<>(heard.stores());
    assertThat(stores, hasSize(HeartbeatTable.MOST));
    assertThat("the newest", heard.station("s" + (all - 1)), notNullValue());
    assertThat("heard all the time", heard.station("s0"), notNullValue());
    assertThat("silent longest", heard.station("s1"), nullValue());
    assertThat(heard.gateways(1_000 + all, 60_000), hasSize(HeartbeatTable.MOST));
  }
}
