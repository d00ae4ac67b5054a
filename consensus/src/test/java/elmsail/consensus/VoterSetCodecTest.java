package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

class VoterSetCodecTest {
  private static VoterSet voterSet() {
    Voter slot = new Voter();
    slot.address = "10.0.0.1:7";
    slot.machine = "s";
    slot.instanceId = 5;
    slot.epoch = 3;
    slot.previousAddress = "10.0.0.2:7";
    slot.previousInstanceId = -4;
    slot.previousEpoch = 2;
    VoterSet voterSet = new VoterSet();
    voterSet.voters.add(slot);
    return voterSet;
  }

  @Test
  void theOneBeforeIsKept() {
    VoterSet read = VoterSetCodec.voterSet(VoterSetCodec.of(voterSet()));
    assertThat(VoterSets.same(read, voterSet()), is(true));
    assertThat(read.voters.get(0).previousAddress, is("10.0.0.2:7"));
    assertThat(read.voters.get(0).previousInstanceId, is(-4L));
    assertThat(read.voters.get(0).previousEpoch, is(2));
  }

  @Test
  void aRecordWithoutItIsReadToo() {
    byte[] bytes = VoterSetCodec.of(voterSet());
    int before = 2 + "10.0.0.2:7".length() + Long.BYTES + Integer.BYTES;
    VoterSet read = VoterSetCodec.voterSet(Arrays.copyOf(bytes, bytes.length - before));
    assertThat(VoterSets.same(read, voterSet()), is(true));
    assertThat(read.voters.get(0).previousInstanceId, is(0L));
  }
}
