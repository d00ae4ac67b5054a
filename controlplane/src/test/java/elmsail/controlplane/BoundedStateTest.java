package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.config.watch.PeerRole;
import elmsail.rpc.messages.PullRequest;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Collections that grow as machines and gateways come and go are limited in size; covers the
 * behaviour at the limits.
 */
class BoundedStateTest {

  @Test
  void fullDecommissionListIsStillReadable() {
    Set<String> names = new LinkedHashSet<>();
    for (int i = 0; i < DecommissionList.MAX_MACHINES - 1; i++) {
      names.add("vault-" + i);
    }
    byte[] full = DecommissionList.encodeWith(names, "last");
    Set<String> read = DecommissionList.decode(full);
    assertThat(read, hasSize(DecommissionList.MAX_MACHINES));
    ElmsailException thrown =
        assertThrows(ElmsailException.class, () -> DecommissionList.encodeWith(read, "one more"));
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
  void memberWithOldestHeartbeatIsDropped() {
    HeartbeatTable heartbeats = new HeartbeatTable(PeerRole.STORE);
    int storeCount = HeartbeatTable.MAX_MEMBERS + 200;
    for (int i = 0; i < storeCount; i++) {
      heartbeats.onHeartbeat(pull("store", i), 1_000 + i);
      heartbeats.onHeartbeat(pull("gateway", i), 1_000 + i);
      heartbeats.onHeartbeat(pull("store", 0), 1_000 + i);
    }
    List<HeartbeatTable.Member> stores = new ArrayList<>(heartbeats.members());
    assertThat(stores, hasSize(HeartbeatTable.MAX_MEMBERS));
    assertThat(
        "newest heartbeat", heartbeats.memberOnMachine("s" + (storeCount - 1)), notNullValue());
    assertThat(
        "repeated heartbeats until the end", heartbeats.memberOnMachine("s0"), notNullValue());
    assertThat("oldest heartbeat", heartbeats.memberOnMachine("s1"), nullValue());
    assertThat(
        heartbeats.gatewaysWithin(1_000 + storeCount, 60_000), hasSize(HeartbeatTable.MAX_MEMBERS));
  }
}
