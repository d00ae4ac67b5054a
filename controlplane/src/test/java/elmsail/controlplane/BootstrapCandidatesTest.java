package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import elmsail.rpc.messages.HelloRequest;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.StringJoiner;
import org.junit.jupiter.api.Test;

class BootstrapCandidatesTest {
  private final BootstrapCandidates candidates = new BootstrapCandidates(5, 0);

  private static HelloRequest hello(String name, String zone) {
    HelloRequest hello = new HelloRequest();
    hello.machine = name;
    hello.address = name + ":1";
    hello.zone = zone;
    hello.instanceId = name.hashCode();
    hello.hasDisk = true;
    hello.firstStart = true;
    return hello;
  }

  private void receiveHellos(long now, String... names) {
    for (String name : names) {
      candidates.onHello(hello(name, "zone " + name.charAt(0)), now);
    }
  }

  private String proposed(long now) {
    VoterSet set = candidates.proposal(now).orElse(null);
    if (set == null) {
      return null;
    }
    StringJoiner names = new StringJoiner(" ");
    for (Voter voter : set.voters) {
      names.add(voter.machine);
    }
    return names.toString();
  }

  @Test
  void votersAreSpreadOverZones() {
    receiveHellos(0, "a1", "a2", "a3", "a4", "a5");
    assertThat("more candidates may still arrive", proposed(0), is(nullValue()));
    receiveHellos(250, "a1", "a2", "b1", "b2", "c1", "c2");
    assertThat(proposed(BootstrapCandidates.ZONE_SPREAD_WAIT_MS), equalTo("a1 a2 b1 b2 c1"));
  }

  @Test
  void votersAreSpreadOverFourUnevenZones() {
    receiveHellos(0, "a1", "a2", "b1", "b2", "c1", "d1");
    assertThat(proposed(0), is(nullValue()));
    assertThat(proposed(BootstrapCandidates.ZONE_SPREAD_WAIT_MS), equalTo("a1 a2 b1 c1 d1"));
  }

  @Test
  void reducedSetIsOddAndProposedOnlyAfterDelay() {
    receiveHellos(2_900, "a1", "b1", "c1", "c2");
    assertThat(proposed(2_999), is(nullValue()));
    assertThat(proposed(BootstrapCandidates.REDUCED_SET_AFTER_MS), equalTo("a1 b1 c1"));
  }

  @Test
  void disklessLateAndSilentNodesAreNoCandidates() {
    HelloRequest diskless = hello("a1", "z");
    diskless.hasDisk = false;
    HelloRequest later = hello("a2", "z");
    later.firstStart = false;
    candidates.onHello(diskless, 3_000);
    candidates.onHello(later, 3_000);
    receiveHellos(1_900, "b1");
    assertThat(proposed(3_000), is(nullValue()));
    receiveHellos(3_000, "c1");
    assertThat(proposed(3_000), equalTo("c1"));
  }
}
